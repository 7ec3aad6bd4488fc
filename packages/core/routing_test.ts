/** Regression tests of server selection; each guards against a failure seen in the benchmark. */
import * as tap from "tap";
import type * as core from "./mod.ts";
import * as testing from "./testing.ts";

const ENGINES: core.PoolPart = {
  ...testing.POOL,
  name: "engines",
  serves: "engine",
  targets: ["model"],
};

function buildGenerate(id: string, tier = 1): core.Request {
  return {
    ...testing.buildRequest(id, { tier }),
    kind: "generate",
    target: "model",
    promptTokens: 100,
    maxTokens: 100,
  };
}

/** Lists the servers on which a dispatcher starts these requests immediately. */
function startAll(
  dispatcher: core.Dispatcher,
  requests: readonly core.Request[],
): string[] {
  return requests.flatMap((request) =>
    dispatcher.handle({ kind: "arrived", request }, 0)
  ).flatMap((effect) => effect.kind === "start" ? [effect.server.name] : []);
}

/** Seeds of the random pairs of servers; each property must hold for all seeds. */
const SEEDS = [...Array(20).keys()];

tap.t.test(
  "two hosts do not overfill the same engine between two load reports",
  (t) => {
    // Guards against a first token that takes 2 s although another engine is idle.
    // Two hosts filled the same engine in the second between two load reports, and
    // the requests beyond its slots were queued inside the engine.
    const all = SEEDS.map((seed) =>
      ["h0", "h1"].flatMap((host) => {
        const options = { host, seed, pools: [ENGINES] };
        const dispatcher = testing.startDispatcher(options);
        dispatcher.handle({ kind: "hosts_changed", hosts: ["h0", "h1"] }, 0);
        return startAll(dispatcher, [1, 2].map((n) => buildGenerate(`r${n}`)));
      }).toSorted().join(" ")
    );
    t.same([...new Set(all)], ["e1 e1 e2 e2"]);
    t.end();
  },
);

tap.t.test("slots that other hosts use are not used a second time", (t) => {
  // Guards against the same delay when a host uses engines that other hosts
  // prefer without counting the requests of those hosts.
  const dispatcher = testing.startDispatcher({ pools: [ENGINES] });
  dispatcher.handle({
    kind: "granted",
    asOf: 0,
    grants: [{
      pool: "engines",
      limits: [],
      lowestTierElsewhere: 0,
      queuedElsewhere: [],
      short: [],
      recallForTier: 0,
      runningElsewhere: [
        { server: "e1", running: 2 },
        { server: "e2", running: 1 },
      ],
    }],
  }, 0);
  const requests = [1, 2, 3].map((n) => buildGenerate(`r${n}`));
  t.same(startAll(dispatcher, requests), ["e2"]);
  t.end();
});

/** Reports tokens of a stream at regular intervals. */
function sendTokens(
  dispatcher: core.Dispatcher,
  requestId: string,
  { count, tokenMs }: { readonly count: number; readonly tokenMs: number },
): void {
  [...Array(count).keys()].forEach((step) =>
    dispatcher.handle({
      kind: "progressed",
      requestId,
      attempt: 1,
      tokens: step + 1,
    }, step * tokenMs)
  );
}

tap.t.test(
  "a slow engine is detected before its first response is complete",
  (t) => {
    // Guards against streams at a third of the normal token rate for minutes. The
    // host measured the token rate only over complete responses, and kept sending
    // requests to the slow engine until the first response was complete.
    const chosen = SEEDS.map((seed) => {
      const options = { seed, pools: [ENGINES] };
      const dispatcher = testing.startDispatcher(options);
      const [slow] = startAll(
        dispatcher,
        ["a", "b"].map((n) => buildGenerate(n)),
      );
      sendTokens(dispatcher, "a", { count: 20, tokenMs: 90 });
      sendTokens(dispatcher, "b", { count: 20, tokenMs: 30 });
      return startAll(dispatcher, [buildGenerate("next")])[0] === slow;
    });
    // One selection in fifty probes whether the engine is still slow.
    t.ok(chosen.filter((isSlow) => isSlow).length <= 1);
    t.end();
  },
);

tap.t.test(
  "a long prompt avoids engines with streams of a higher tier",
  (t) => {
    // Guards against a stream of a high tier whose tokens pause for half a second.
    // Its engine processed the prompt of a long request of a lower tier, although
    // another engine was running only requests of that tier.
    const beside = SEEDS.map((seed) => {
      const dispatcher = testing.startDispatcher({ seed, pools: [ENGINES] });
      const running = [buildGenerate("label"), buildGenerate("old", 2)];
      const [label] = startAll(dispatcher, running);
      running.forEach(({ id }) =>
        sendTokens(dispatcher, id, { count: 1, tokenMs: 0 })
      );
      const longPrompt = {
        ...buildGenerate("dossier", 2),
        promptTokens: 6_000,
      };
      return startAll(dispatcher, [longPrompt])[0] === label;
    });
    // With a probability of 1/16 both random pairs contain only the engine of
    // the high tier.
    t.ok(beside.filter((isBeside) => isBeside).length <= 4);
    t.end();
  },
);

tap.t.test(
  "load of other hosts does not count against this host's connection limit",
  (t) => {
    // Guards against a host that refuses requests although engines have ten free
    // slots. Sixty hosts share an engine's connections, so each host may run six
    // requests on it. Six requests of other hosts were counted against this
    // host's own limit.
    const dispatcher = testing.startDispatcher({ seed: 1, pools: [ENGINES] });
    const engine = {
      name: "e1",
      pool: "engines",
      url: "http://e1",
      state: "live",
      slots: 16,
      ownLimit: 6,
    } as const;
    dispatcher.handle({ kind: "servers_changed", servers: [engine] }, 0);
    dispatcher.handle({
      kind: "load_shared",
      hosts: 2,
      prompting: {},
      running: { e1: 6 },
      asOf: 0,
    }, 0);
    const requests = Array.from(
      { length: 12 },
      (_, n) => buildGenerate(`r${n}`),
    );
    t.equal(
      startAll(dispatcher, requests).length,
      6,
      "the host's own connection limit",
    );
    dispatcher.handle({
      kind: "load_shared",
      hosts: 2,
      prompting: {},
      running: { e1: 13 },
      asOf: 0,
    }, 0);
    const full = testing.startDispatcher({ seed: 1, pools: [ENGINES] });
    full.handle({ kind: "servers_changed", servers: [engine] }, 0);
    full.handle({
      kind: "load_shared",
      hosts: 2,
      prompting: {},
      running: { e1: 13 },
      asOf: 0,
    }, 0);
    t.equal(startAll(full, requests).length, 3, "the engine's slots");
    t.end();
  },
);
