/** Tests what a host does with servers that ask for rest. */
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

function askForRest(
  dispatcher: core.Dispatcher,
  { server, restMs, now }: {
    readonly server: string;
    readonly restMs: number;
    readonly now: number;
  },
): core.DispatchEffect[] {
  return dispatcher.handle({
    kind: "responded",
    server,
    signals: { ...core.NO_SIGNALS, restsMs: [restMs] },
    sentAt: now,
    succeeded: false,
  }, now);
}

function arrive(
  dispatcher: core.Dispatcher,
  { id, now }: { readonly id: string; readonly now: number },
): core.DispatchEffect[] {
  const request = {
    ...testing.buildRequest(id, { tier: 1 }),
    arrivedAt: now,
    startBy: now + 1_000,
  };
  return dispatcher.handle({ kind: "arrived", request }, now);
}

function listStarted(effects: readonly core.DispatchEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "start" ? [effect.server.name] : []
  );
}

tap.test("a server gets nothing until the longest rest that it asked for is over", (t) => {
  const dispatcher = testing.startDispatcher();
  askForRest(dispatcher, { server: "r1", restMs: 3_000, now: 0 });
  askForRest(dispatcher, { server: "r1", restMs: 500, now: 100 });
  const early = [1, 2, 3].flatMap((n) =>
    listStarted(arrive(dispatcher, { id: `a${n}`, now: 1_000 + n }))
  );
  t.same(early, ["r2", "r2"]);
  t.notOk(dispatcher.maySendTo("r1", 2_999));
  t.ok(dispatcher.maySendTo("r1", 3_000));
  t.ok(dispatcher.maySendTo("r2", 0));
  t.notOk(dispatcher.maySendTo("gone", 0));
  const later = dispatcher.handle({ kind: "ticked" }, 3_001);
  const more = listStarted([
    ...later,
    ...arrive(dispatcher, { id: "b1", now: 3_002 }),
  ]);
  t.same(more, ["r1"], "it starts slowly");
  t.end();
});

// Guards against requests that wait longer than they may, and callers that come back too early.
tap.test("requests that no server takes in time are refused at once", (t) => {
  const dispatcher = testing.startDispatcher();
  ["a1", "a2", "a3", "a4", "a5"].forEach((id) =>
    arrive(dispatcher, { id, now: 0 })
  );
  t.same(dispatcher.countOpen(), { queued: 1, running: 4 });
  t.same(askForRest(dispatcher, { server: "r1", restMs: 4_000, now: 10 }), []);
  const effects = askForRest(dispatcher, {
    server: "r2",
    restMs: 2_500,
    now: 10,
  });
  t.match(effects, [{
    kind: "refuse",
    requestId: "a5",
    refusal: { code: "overloaded", ran: "no", retryAfterMs: 2_500 },
  }]);
  t.match(arrive(dispatcher, { id: "b1", now: 510 }), [{
    kind: "refuse",
    refusal: { code: "overloaded", ran: "no", retryAfterMs: 2_000 },
  }]);
  t.match(
    listRefused(arrive(dispatcher, { id: "b2", now: 1_700 })),
    [],
    "one that may wait until the rest is over is queued",
  );
  t.end();
});

// Guards against a server that counts as failed because a request for it was withheld.
tap.test("a withheld request is retried elsewhere and says nothing of its server", (t) => {
  const dispatcher = testing.startDispatcher();
  const [start] = arrive(dispatcher, { id: "a1", now: 0 });
  const first = start.kind === "start" ? start.server.name : "";
  for (let attempt = 1; attempt <= 12; attempt += 1) {
    const effects = dispatcher.handle({
      kind: "failed",
      requestId: "a1",
      attempt,
      failure: "withheld",
      answerStarted: false,
      resumable: false,
    }, attempt);
    const [next] = listStarted(effects);
    t.equal(next === first, attempt % 2 === 0, "the servers take turns");
  }
  t.ok(dispatcher.inspect().servers.every((server) => server.ejections === 0));
  t.end();
});

// Guards against an overdue request that is refused as if its servers rested.
tap.test("an overdue retry is not refused for rests that nobody asked for", (t) => {
  const dispatcher = testing.startDispatcher();
  arrive(dispatcher, { id: "a1", now: 0 });
  const effects = dispatcher.handle({
    kind: "failed",
    requestId: "a1",
    attempt: 1,
    failure: "not_sent",
    answerStarted: false,
    resumable: false,
  }, 1_500);
  t.same(listRefused(effects), []);
  t.equal(listStarted(effects).length, 1);
  t.end();
});

// Guards against a rest that a host forgets because the server's entry expired
// during an outage of the store and came back.
tap.test("a rest outlasts the server's absence from the list", (t) => {
  const dispatcher = testing.startDispatcher();
  askForRest(dispatcher, { server: "r1", restMs: 3_000, now: 0 });
  const listed = ["r1", "r2"].map((name): core.ServerInfo => ({
    name,
    pool: "rooms",
    url: "",
    state: "live",
  }));
  [[listed[1]], listed].forEach((servers) =>
    dispatcher.handle({ kind: "servers_changed", servers }, 10)
  );
  t.notOk(dispatcher.maySendTo("r1", 20));
  const started = [1, 2, 3].flatMap((n) =>
    listStarted(arrive(dispatcher, { id: `a${n}`, now: 20 + n }))
  );
  t.same(started, ["r2", "r2"]);
  t.end();
});

function listRefused(effects: readonly core.DispatchEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "refuse" ? [effect.requestId] : []
  );
}

tap.test("a rest is bounded, and one of an unknown server changes nothing", (t) => {
  t.equal(core.findRest({ restsMs: [] }), undefined);
  t.equal(core.findRest({ restsMs: [1, 5] }), 5);
  t.equal(core.findRest({ restsMs: [Infinity] }), core.MAX_REST_MS);
  const dispatcher = testing.startDispatcher();
  t.same(askForRest(dispatcher, { server: "x", restMs: 9, now: 0 }), []);
  t.end();
});
