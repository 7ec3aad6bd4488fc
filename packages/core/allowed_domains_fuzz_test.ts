/** Tests of requests that may run only in certain failure domains. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const DOMAINS = ["a", "b", "c"];
const REGIONS = new Map([["a", "north"], ["b", "north"], ["c", "south"]]);

tap.test("the allowed regions are those that route and customer have in common", (t) => {
  const list = (route?: string[], customer?: string[]) =>
    core.listAllowedDomains({
      route: { regions: route },
      customer: { regions: customer },
      regions: REGIONS,
    });
  t.equal(list(), undefined);
  t.same(list(["north"]), ["a", "b"]);
  t.same(list(undefined, ["south"]), ["c"]);
  t.same(list(["north", "south"], ["south"]), ["c"]);
  t.same(list(["north"], ["south"]), []);
  t.end();
});

const SERVER = fc.record({
  failureDomain: fc.constantFrom(...DOMAINS),
  state: fc.constantFrom<core.ServerInfo["state"]>("live", "leaving"),
});
const STEP = fc.oneof(
  fc.record({
    kind: fc.constant("arrives" as const),
    allowedDomains: fc.option(fc.subarray(DOMAINS), { nil: undefined }),
  }),
  fc.record({
    kind: fc.constant("fails" as const),
    failure: fc.constantFrom<core.AttemptFailure>(
      "not_sent",
      "refused",
      "connection_lost",
    ),
  }),
  fc.record({
    kind: fc.constant("servers" as const),
    servers: fc.array(SERVER, { maxLength: 6 }),
  }),
);

type Start = Extract<core.DispatchEffect, { kind: "start" }>;

// Guards against a retried or queued request that starts outside the regions in
// which it may run, after servers fail or the list of servers changes.
tap.test("no attempt starts outside the allowed failure domains of its request", (t) => {
  fc.assert(
    fc.property(fc.array(STEP, { maxLength: 40 }), (steps) => {
      const dispatcher = testing.startDispatcher();
      const started: Start[] = [];
      steps.forEach((step, index) => {
        const now = 50 * index;
        dispatcher.handle(buildEvent(step, { index, now, started }), now)
          .forEach((effect) => {
            if (effect.kind === "start") started.push(effect);
          });
      });
      return started.every((
        { request: { allowedDomains }, server: { failureDomain } },
      ) =>
        allowedDomains === undefined ||
        allowedDomains.includes(failureDomain ?? "")
      );
    }),
    { numRuns: RUNS, seed: 31 },
  );
  t.end();
});

type Step = typeof STEP extends fc.Arbitrary<infer One> ? One : never;

function buildEvent(
  step: Step,
  { index, now, started }: {
    readonly index: number;
    readonly now: number;
    readonly started: readonly Start[];
  },
): core.DispatchEvent {
  switch (step.kind) {
    case "arrives":
      return {
        kind: "arrived",
        request: {
          ...testing.buildRequest(`r${index}`, { tier: 1 }),
          allowedDomains: step.allowedDomains,
          arrivedAt: now,
          startBy: now + 5_000,
        },
      };
    case "fails": {
      const last = started.at(-1);
      return {
        kind: "failed",
        requestId: last?.request.id ?? "none",
        attempt: last?.attempt ?? 1,
        failure: step.failure,
        answerStarted: false,
        resumable: false,
      };
    }
    case "servers":
      return {
        kind: "servers_changed",
        servers: step.servers.map((server, place) => ({
          name: `s${index}-${place}`,
          pool: testing.POOL.name,
          url: "",
          ...server,
        })),
      };
  }
}

// Guards against a caller that waits until its deadline although no server is in
// a failure domain in which its request may run.
tap.test("a request without a server in its allowed failure domains is refused as not run", (t) => {
  const dispatcher = testing.startDispatcher();
  const request = {
    ...testing.buildRequest("r1", { tier: 1 }),
    allowedDomains: ["south"],
  };
  const [refused] = dispatcher.handle({ kind: "arrived", request }, 0);
  t.match(refused, {
    kind: "refuse",
    refusal: { code: "no_capacity", ran: "no" },
  });
  t.end();
});
