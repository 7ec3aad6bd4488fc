/** Work for other failure domains runs only where it was granted. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const OWN: core.PoolPart = { ...testing.POOL, name: "own" };
const FAR: core.PoolPart = {
  ...testing.POOL,
  name: "far",
  failureDomain: "b",
};
const LENT: core.ServerInfo = {
  name: "f9",
  pool: "far",
  url: "",
  state: "live",
};

/** A host whose failure domain has lost all its servers. */
function startBare(): core.Dispatcher {
  const dispatcher = testing.startDispatcher({ pools: [OWN, FAR] });
  dispatcher.handle({ kind: "servers_changed", servers: [] }, 0);
  return dispatcher;
}

function arrive(
  dispatcher: core.Dispatcher,
  id: string,
  now: number,
): core.DispatchEffect[] {
  const request = {
    ...testing.buildRequest(id, { tier: 1 }),
    arrivedAt: now,
    startBy: now + 1_000,
  };
  return dispatcher.handle({ kind: "arrived", request }, now);
}

function grant(
  dispatcher: core.Dispatcher,
  options: { readonly slots: number; readonly now: number },
): core.DispatchEffect[] {
  return dispatcher.handle({
    kind: "overflow_granted",
    failureDomain: "b",
    asOf: options.now,
    servers: [LENT],
    grants: [{
      pool: "far",
      limits: [{ className: "tier1", slots: options.slots }],
      lowestTierElsewhere: 0,
      queuedElsewhere: [],
      short: options.slots === 0 ? ["tier1"] : [],
      recallForTier: 0,
      runningElsewhere: [],
    }],
  }, options.now);
}

function listStarted(effects: readonly core.DispatchEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "start"
      ? [`${effect.request.id}@${effect.server.name}`]
      : []
  );
}

tap.t.test(
  "a failure domain that lost its servers is served by another",
  (t) => {
    // Parents at Rosenheim get "no capacity" for every lookup, though Weilheim
    // has idle workers: hosts knew only the servers of their failure domain.
    const dispatcher = startBare();
    t.same(
      arrive(dispatcher, "r1", 0).filter(({ kind }) => kind === "refuse"),
      [],
    );
    const [asked] = dispatcher.listOverflow(0);
    t.match(asked, {
      failureDomain: "b",
      demands: [{ pool: "far", classes: [{ className: "tier1", queued: 1 }] }],
    });
    t.same(listStarted(grant(dispatcher, { slots: 1, now: 1 })), ["r1@f9"]);
    t.end();
  },
);

tap.t.test("without slots elsewhere a request is refused at once", (t) => {
  // A caller waits until its deadline for slots that no failure domain has.
  const dispatcher = startBare();
  grant(dispatcher, { slots: 0, now: 0 });
  t.match(arrive(dispatcher, "r1", 1), [{
    kind: "refuse",
    refusal: { code: "no_capacity", ran: "no" },
  }]);
  t.end();
});

tap.t.test("a grant that is used up is no reason to refuse", (t) => {
  // Lookups are refused at Rosenheim while Weilheim has idle slots: the host
  // took the two slots that it had asked for to be all there were.
  const dispatcher = startBare();
  grant(dispatcher, { slots: 1, now: 0 });
  arrive(dispatcher, "r1", 1);
  const effects = arrive(dispatcher, "r2", 1);
  t.notOk(effects.some((effect) => effect.kind === "refuse"));
  const [asked] = dispatcher.listOverflow(0);
  t.match(asked, { demands: [{ classes: [{ running: 1, queued: 1 }] }] });
  t.end();
});

tap.t.test("an old grant of another failure domain is not used", (t) => {
  // A cut separates two failure domains. The lender gives its slots to its own
  // counter checks; the borrower, who hears nothing, went on filling them.
  const dispatcher = startBare();
  grant(dispatcher, { slots: 1, now: 0 });
  const late = core.constants.GRANT_VALID_MS + 1;
  t.same(listStarted(arrive(dispatcher, "r1", late)), []);
  t.end();
});

tap.t.test("more than was granted does not start", (t) => {
  const dispatcher = startBare();
  grant(dispatcher, { slots: 1, now: 0 });
  const started = ["r1", "r2"].flatMap((id) =>
    listStarted(arrive(dispatcher, id, 1))
  );
  t.same(started, ["r1@f9"]);
  t.end();
});

tap.t.test("a suspect request is not sent to other failure domains", (t) => {
  // One poison request took two engines in each of four failure domains.
  const dispatcher = startBare();
  dispatcher.handle({
    kind: "suspected",
    marks: [{ fingerprint: "poison", server: "o1" }],
  }, 0);
  const now = core.constants.SUSPECT_HOLD_MS + 1;
  grant(dispatcher, { slots: 1, now });
  t.same(listStarted(arrive(dispatcher, "poison", now)), []);
  t.end();
});

/** One class of one host, as drawn. */
interface Drawn {
  readonly host: string;
  readonly visiting: boolean;
  readonly className: string;
  readonly tier: number;
  readonly wanted: number;
  readonly running: number;
}

const DRAWN = fc.record({
  host: fc.constantFrom("h1", "h2", "v1", "v2"),
  tier: fc.integer({ min: 1, max: 3 }),
  wanted: fc.nat({ max: 12 }),
  running: fc.nat({ max: 12 }),
}).map((one): Drawn => ({
  ...one,
  visiting: one.host.startsWith("v"),
  className: `tier${one.tier}`,
  wanted: Math.max(one.wanted, one.running),
}));

/** Slots that each class of each host got, from its limits without headroom. */
function allocate(claims: readonly Drawn[], slots: number): Map<Drawn, number> {
  const allocator = new core.CapacityAllocator();
  ["h1", "h2", "v1", "v2"].forEach((host) =>
    allocator.setDemand(host, {
      now: 0,
      visiting: host.startsWith("v"),
      demands: [{
        pool: "p",
        servers: [],
        classes: claims.filter((one) => one.host === host)
          .map((one) => ({ ...one, queued: one.wanted - one.running })),
      }],
    })
  );
  const capacity = { pool: "p", slots, shares: new Map(), servers: [] };
  const grants = allocator.allocate([capacity], 0);
  return new Map(claims.map((one) => {
    const limits = grants.get(one.host)?.[0].limits ?? [];
    const own = limits.find((limit) => limit.className === one.className);
    return [one, own?.slots ?? 0];
  }));
}

tap.t.test("visitors get only what no one before them wants", (t) => {
  const property = fc.property(
    fc.uniqueArray(DRAWN, { selector: (one) => `${one.host}${one.tier}` }),
    fc.nat({ max: 20 }),
    (claims, slots) => {
      const given = allocate(claims, slots);
      const goesBefore = (a: Drawn, b: Drawn) =>
        a.tier < b.tier || (a.tier === b.tier && !a.visiting && b.visiting);
      const sum = claims.filter((one) => one.visiting)
        .reduce((total, one) => total + (given.get(one) ?? 0), 0);
      const fair = claims.every((visitor) =>
        !visitor.visiting || (given.get(visitor) ?? 0) === 0 ||
        claims.every((other) =>
          !goesBefore(other, visitor) ||
          (given.get(other) ?? 0) >= other.wanted
        )
      );
      return sum <= slots && fair;
    },
  );
  fc.assert(property, { seed: 20_261_203, numRuns: 2_000 });
  t.pass("2000 divisions");
  t.end();
});
