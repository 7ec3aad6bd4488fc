/** Failures of the choice of a server, seen on the bench, one test each. */
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

/** Servers that a dispatcher starts these requests on at once. */
function startAll(
  dispatcher: core.Dispatcher,
  requests: readonly core.Request[],
): string[] {
  return requests.flatMap((request) =>
    dispatcher.handle({ kind: "arrived", request }, 0)
  ).flatMap((effect) => effect.kind === "start" ? [effect.server.name] : []);
}

/** Seeds of the drawn pairs; a rule must hold for each. */
const SEEDS = [...Array(20).keys()];

tap.t.test("two hosts do not fill the same engine between reports", (t) => {
  // An explanation of a clash waits 2 s for its first token although another
  // engine is idle. Two hosts had filled the same engine in the second between
  // two reports of its load; what was too much waited inside it.
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
});

tap.t.test("what other hosts run is not given a second time", (t) => {
  // The same wait, when a host spills over to engines that others prefer.
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

/** Reports tokens of a stream at even times. */
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

tap.t.test("a slow engine is known before its first answer is whole", (t) => {
  // Tokens of clash explanations come at a third of the speed for minutes. The
  // host learned an engine's speed from whole answers only, and went on
  // sending to the slow one until the first of them had ended.
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
  // One choice in fifty probes whether the engine is still slow.
  t.ok(chosen.filter((isSlow) => isSlow).length <= 1);
  t.end();
});

tap.t.test("a long prompt keeps away from streams of a higher tier", (t) => {
  // A label's tokens stop for half a second: a dossier's prompt was taken in
  // by the same engine, although another one ran only dossiers.
  const beside = SEEDS.map((seed) => {
    const dispatcher = testing.startDispatcher({ seed, pools: [ENGINES] });
    const running = [buildGenerate("label"), buildGenerate("old", 2)];
    const [label] = startAll(dispatcher, running);
    running.forEach(({ id }) =>
      sendTokens(dispatcher, id, { count: 1, tokenMs: 0 })
    );
    const dossier = { ...buildGenerate("dossier", 2), promptTokens: 6_000 };
    return startAll(dispatcher, [dossier])[0] === label;
  });
  // Both drawn pairs may be the label's engine twice, one time in sixteen.
  t.ok(beside.filter((isBeside) => isBeside).length <= 4);
  t.end();
});

tap.t.test("others' load takes none of this host's connections", (t) => {
  // Sixty hosts share an engine's connections, so each may give it six requests
  // at a time. Six that the others ran there were taken for this host's own: it
  // sent nothing to engines with ten free slots, and refused its callers.
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
  const requests = Array.from({ length: 12 }, (_, n) => buildGenerate(`r${n}`));
  t.equal(startAll(dispatcher, requests).length, 6, "its own limit");
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
});
