/** Tests what a host does that has lost its links to the servers. */
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const PEERS: readonly core.PeerHost[] = [
  { host: "h1", failureDomain: "b", targets: ["rooms"], queued: 0 },
  { host: "h2", failureDomain: "b", targets: ["rooms"], queued: 3 },
];

/** A dispatcher of a host, with the effects of all events so far. */
function startHost() {
  const dispatcher = testing.startDispatcher({ tracksLinks: true });
  const servers = dispatcher.inspect().servers
    .map(({ info }) => ({ ...info, failureDomain: "a" }));
  dispatcher.handle({ kind: "servers_changed", servers }, 0);
  const effects: core.DispatchEffect[] = [];
  const send = (event: core.DispatchEvent, now: number) => {
    const added = dispatcher.handle(event, now);
    effects.push(...added);
    return added;
  };
  const setReachable = (reachable: boolean, now: number) =>
    ["r1", "r2"].forEach((server) =>
      send({ kind: "connection_tried", server, reachable }, now)
    );
  const open = (id: string, now: number, options = {}) =>
    send({
      kind: "arrived",
      request: {
        ...testing.buildRequest(id, { tier: 1 }),
        arrivedAt: now,
        startBy: now + 1_000,
        ...options,
      },
    }, now);
  const list = <Kind extends core.DispatchEffect["kind"]>(kind: Kind) =>
    effects.filter((effect): effect is Extract<
      core.DispatchEffect,
      { kind: Kind }
    > => effect.kind === kind);
  return { dispatcher, send, setReachable, open, list };
}

// Guards against requests that wait for servers which this host cannot reach.
tap.test("requests go to other hosts while the links are lost", (t) => {
  const { send, setReachable, open, list } = startHost();
  setReachable(false, 0);
  t.same(list("links_changed").map(({ change }) => change), ["lost"]);
  send({ kind: "peers_changed", peers: PEERS }, 10);
  open("a", 10);
  t.match(list("hand_over"), [{ sent: 0, peers: ["h1", "h2"] }]);
  t.equal(list("start").length, 0);
  t.end();
});

// Guards against a loop between two hosts, and against a body that reaches a host
// outside the regions of its route.
tap.test("a request is handed over once, and only where it may run", (t) => {
  const { send, setReachable, open, list } = startHost();
  setReachable(false, 0);
  send({ kind: "peers_changed", peers: PEERS }, 10);
  open("a", 10, { handedOver: true });
  open("b", 10, { allowedDomains: ["a"] });
  open("c", 10, { target: "other" });
  t.same(list("hand_over"), []);
  open("d", 10, { allowedDomains: ["a", "b"] });
  t.same(list("hand_over").map(({ request }) => request.id), ["d"]);
  t.end();
});

// Guards against a request that crashes servers and does so at further hosts too.
tap.test("a suspect request is not handed over", (t) => {
  const { send, setReachable, open, list } = startHost();
  const marks = [{ fingerprint: "a", server: "r9" }];
  send({ kind: "suspected", marks }, 0);
  setReachable(false, 0);
  send({ kind: "peers_changed", peers: PEERS }, 10);
  open("a#1", 10_100);
  open("b", 10_100);
  t.same(list("hand_over").map(({ request }) => request.id), ["b"]);
  t.end();
});

// Guards against a booking that runs twice because its first attempt hangs behind
// the cut, and against repeatable requests that wait there until their deadline.
tap.test("requests that hang behind the cut move only if they may repeat", (t) => {
  const { send, setReachable, open, list } = startHost();
  open("lookup", 0);
  open("booking", 0, { repeatable: false });
  t.equal(list("start").length, 2);
  setReachable(false, 100);
  send({ kind: "peers_changed", peers: PEERS }, 110);
  for (let now = 150; now <= 10_000; now += 50) send({ kind: "ticked" }, now);
  const moved = list("hand_over").map((
    { request, sent },
  ) => [request.id, sent]);
  t.same(moved, [["lookup", 1]]);
  t.same(list("stop").map(({ requestId }) => requestId), ["lookup"]);
  t.equal(list("start").length, 2, "neither started again here");
  t.end();
});

// Guards against a retry budget that is filled by both hosts of a request.
tap.test("the first attempt of a handed request is counted once", (t) => {
  const counted: string[] = [];
  const budget = {
    recordFirst: (target: string) => void counted.push(target),
    take: () => true,
  };
  const dispatcher = testing.startDispatcher({ budget });
  const request = testing.buildRequest("a", { tier: 1 });
  dispatcher.handle({ kind: "arrived", request }, 0);
  const handed = { ...request, id: "b", handedOver: true };
  dispatcher.handle({ kind: "arrived", request: handed }, 0);
  t.same(counted, ["rooms"]);
  t.end();
});

// Guards against sound servers that all hosts use less because this host cannot
// reach them.
tap.test("a host without links reports no failures of servers", (t) => {
  const { dispatcher, send, setReachable, open } = startHost();
  open("a", 0);
  send({
    kind: "failed",
    requestId: "a",
    attempt: 1,
    failure: "connection_lost",
    answerStarted: false,
    resumable: false,
  }, 10);
  t.not(Object.keys(dispatcher.listOutcomes(20).servers).length, 0);
  setReachable(false, 20);
  t.same(dispatcher.listOutcomes(30).servers, {});
  t.end();
});

// Guards against requests that all hosts refuse as poison because their servers
// were cut off from one host; and against poison that is forgotten by it.
tap.test("suspects of a cut are withheld until their servers answer or are gone", (t) => {
  const { dispatcher, send, setReachable, open, list } = startHost();
  const fail = (requestId: string, now: number) =>
    send({
      kind: "failed",
      requestId,
      attempt: 1,
      failure: "connection_lost",
      answerStarted: false,
      resumable: false,
    }, now);
  open("a", 0, { repeatable: false });
  open("b", 0, { repeatable: false });
  const [{ server: serverOfA }, { server: serverOfB }] = list("start");
  t.not(serverOfA.name, serverOfB.name);
  fail("a", 10);
  setReachable(false, 20);
  fail("b", 30);
  t.equal(list("suspect").length, 1, "before the cut was known");
  t.same(list("suspects_withdrawn").flatMap(({ marks }) => marks), [
    { fingerprint: "a", server: serverOfA.name },
  ]);
  setReachable(true, 3_000);
  send({
    kind: "responded",
    server: serverOfA.name,
    signals: core.NO_SIGNALS,
    sentAt: 3_000,
    succeeded: true,
  }, 3_010);
  const servers = dispatcher.inspect().servers.map(({ info }) => info)
    .filter(({ name }) => name !== serverOfB.name);
  send({ kind: "servers_changed", servers }, 3_020);
  send({ kind: "ticked" }, 3_050);
  t.same(list("suspect").slice(1).map(({ mark }) => mark), [
    { fingerprint: "b", server: serverOfB.name },
  ]);
  t.end();
});

// Guards against orders for more servers because requests hang behind a cut, or
// because two hosts count them.
tap.test("a host without links reports no demand that others serve", (t) => {
  const { dispatcher, send, setReachable, open } = startHost();
  open("a", 0);
  const count = () => {
    const { short = 0, long = 0 } = dispatcher.countByTarget().rooms ?? {};
    return short + long;
  };
  t.equal(count(), 1);
  setReachable(false, 20);
  t.equal(count(), 1, "no other host serves it");
  send({ kind: "peers_changed", peers: PEERS }, 30);
  t.equal(count(), 0);
  t.end();
});

// Guards against servers that stay ejected, or count as restarted and cold, for
// seconds after the links are back.
tap.test("servers are in use with a slow start once the links are back", (t) => {
  const { dispatcher, setReachable, open, send } = startHost();
  open("a", 0);
  open("b", 0);
  ["a", "b"].forEach((requestId) =>
    send({
      kind: "failed",
      requestId,
      attempt: 1,
      failure: "not_sent",
      answerStarted: false,
      resumable: false,
    }, 10)
  );
  setReachable(false, 10);
  const list = () => dispatcher.inspect().servers;
  t.ok(list().some(({ ejectedUntil }) => ejectedUntil > 100));
  setReachable(true, 100);
  t.same(list().map(({ ejectedUntil }) => ejectedUntil > 100), [false, false]);
  t.same(list().map(({ admittedAt }) => admittedAt), [100, 100]);
  t.same(list().map(({ coldUntil }) => coldUntil > 100), [false, false]);
  t.end();
});

// Guards against a host that looks for other hosts for good, because the last
// servers of a service went while its links were lost.
tap.test("links to a service without servers are not lost", (t) => {
  const { dispatcher, setReachable, send } = startHost();
  setReachable(false, 0);
  t.equal(dispatcher.hasFullShare(10), false);
  send({ kind: "servers_changed", servers: [] }, 20);
  send({ kind: "ticked" }, 50);
  t.equal(dispatcher.hasFullShare(60), true);
  t.end();
});
