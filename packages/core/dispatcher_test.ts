/** Failures that the fuzzer found in the dispatcher, one test each. */
import * as tap from "tap";
import type * as core from "./mod.ts";
import * as testing from "./testing.ts";

function listKinds(effects: readonly core.DispatchEffect[]): string[] {
  return effects.map((effect) => effect.kind);
}

tap.t.test(
  "after a pause lower work gives way before a higher tier is refused",
  (t) => {
    // Parents get "overloaded" for lookups while redrafts hold every slot. The
    // host was stopped for longer than the lookups may wait; at its next look at
    // the time it refused what was overdue before it let it preempt.
    const dispatcher = testing.startDispatcher();
    [1, 2, 3, 4].forEach((n) =>
      dispatcher.handle({
        kind: "arrived",
        request: testing.buildRequest(`low${n}`, { tier: 2 }),
      }, 0)
    );
    dispatcher.handle({
      kind: "arrived",
      request: testing.buildRequest("high", { tier: 1 }),
    }, 0);
    const effects = dispatcher.handle({ kind: "ticked" }, 60_000);
    t.ok(listKinds(effects).includes("stop"), "lower work is preempted");
    t.ok(
      effects.some((effect) =>
        effect.kind === "start" && effect.request.id === "high"
      ),
      "the lookup starts",
    );
    t.end();
  },
);

tap.t.test(
  "a server over its capacity is freed until the higher tier starts",
  (t) => {
    // A counter check is refused although long dossiers run on the same host.
    // The servers' reports show other hosts' work beside them, so stopping one
    // dossier made no room, and the host gave up after the first.
    const dispatcher = testing.startDispatcher();
    [1, 2, 3, 4].forEach((n) =>
      dispatcher.handle({
        kind: "arrived",
        request: testing.buildRequest(`low${n}`, { tier: 2 }),
      }, 0)
    );
    ["r1", "r2"].forEach((server) =>
      dispatcher.handle({
        kind: "load_reported",
        report: { server, running: 3, waiting: 0, cacheFree: 1 },
      }, 0)
    );
    dispatcher.handle({
      kind: "arrived",
      request: testing.buildRequest("high", { tier: 1 }),
    }, 0);
    const effects = dispatcher.handle({ kind: "ticked" }, 900);
    t.ok(listKinds(effects).filter((kind) => kind === "stop").length >= 2);
    t.equal(listKinds(effects).filter((kind) => kind === "start").length, 1);
    t.end();
  },
);

tap.t.test("a request that took two servers is not admitted again", (t) => {
  // Engines go down one after the other. A request that brings down whatever
  // runs it is sent again by its caller to the same host, which had counted
  // two lost servers but looked only at the list that other hosts had sent.
  const dispatcher = testing.startDispatcher();
  dispatcher.handle({
    kind: "arrived",
    request: testing.buildRequest("poison#1", { tier: 1 }),
  }, 0);
  [1, 2].forEach((attempt) =>
    dispatcher.handle({
      kind: "failed",
      requestId: "poison#1",
      attempt,
      failure: "connection_lost",
      answerStarted: false,
      resumable: false,
    }, 0)
  );
  const effects = dispatcher.handle({
    kind: "arrived",
    request: testing.buildRequest("poison#2", { tier: 1 }),
  }, 0);
  t.match(effects, [{ kind: "refuse", refusal: { code: "poison_request" } }]);
  t.end();
});

tap.t.test("work that may not be repeated is never preempted", (t) => {
  // A room is booked twice. A lookup preempted a running booking, which was
  // put back into the queue and sent to a second server.
  const dispatcher = testing.startDispatcher();
  [1, 2, 3, 4].forEach((n) =>
    dispatcher.handle({
      kind: "arrived",
      request: testing.buildRequest(`book${n}`, { tier: 2, repeatable: false }),
    }, 0)
  );
  dispatcher.handle({
    kind: "arrived",
    request: testing.buildRequest("high", { tier: 1 }),
  }, 0);
  const effects = dispatcher.handle({ kind: "ticked" }, 900);
  t.notOk(listKinds(effects).includes("stop"));
  t.end();
});

tap.t.test(
  "a backlog does not make every later request miss its target",
  (t) => {
    // An overload has ended, and still every summary comes too late. The queue
    // holds requests that have missed their target; served first, they keep the
    // fresh ones waiting until these have missed it too.
    const dispatcher = testing.startDispatcher();
    [1, 2, 3, 4, 5, 6, 7, 8].forEach((n) =>
      dispatcher.handle({
        kind: "arrived",
        request: testing.buildRequest(`old${n}`, { tier: 1 }),
      }, 0)
    );
    dispatcher.handle({ kind: "ticked" }, 600);
    dispatcher.handle({
      kind: "arrived",
      request: {
        ...testing.buildRequest("fresh", { tier: 1 }),
        arrivedAt: 600,
        startBy: 1_600,
      },
    }, 600);
    const effects = dispatcher.handle({
      kind: "finished",
      requestId: "old1",
      attempt: 1,
      tokens: 0,
    }, 610);
    t.match(effects[0], { kind: "start", request: { id: "fresh" } });
    t.end();
  },
);

tap.t.test(
  "an overdue request behind its lane's head has lower work preempted",
  (t) => {
    // A booking could not be sent and came back to the queue after its time to
    // start. Another customer's booking was the head of the lane and not late,
    // so nothing was preempted, and the first was refused beside a redraft.
    const dispatcher = testing.startDispatcher();
    const send = (id: string, tier: number, customer: string, at: number) =>
      dispatcher.handle({
        kind: "arrived",
        request: {
          ...testing.buildRequest(id, { tier, repeatable: tier > 1 }),
          customer,
          weight: customer === "a" ? 0.25 : 1,
          arrivedAt: at,
          startBy: at + 1_000,
        },
      }, at);
    // Its smaller weight makes the first customer's next turn come later.
    send("first", 1, "a", 0);
    [1, 2, 3].forEach((n) => send(`low${n}`, 2, "c", 0));
    [1, 2].forEach((n) => send(`head${n}`, 1, "b", 1_000));
    const failed = dispatcher.handle({
      kind: "failed",
      requestId: "first",
      attempt: 1,
      failure: "not_sent",
      answerStarted: false,
      resumable: false,
    }, 1_001);
    const effects = [
      ...failed,
      ...dispatcher.handle({ kind: "ticked" }, 1_002),
    ];
    const refused = effects.some((effect) =>
      effect.kind === "refuse" && effect.requestId === "first"
    );
    t.notOk(refused);
    t.ok(effects.some((effect) => effect.kind === "stop"), "low work stops");
    t.end();
  },
);
