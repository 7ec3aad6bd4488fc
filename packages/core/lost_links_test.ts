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
function startHost(options: Pick<testing.StartOptions, "suspects"> = {}) {
  const dispatcher = testing.startDispatcher({ tracksLinks: true, ...options });
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

const LOST = {
  kind: "failed",
  attempt: 1,
  failure: "connection_lost",
  answerStarted: false,
  resumable: false,
} as const;

/** Starts two hosts, of which the first loses two servers and then its links. */
function startCutHost() {
  const cut = startHost();
  const other = startHost();
  cut.open("a", 0, { repeatable: false });
  cut.open("b", 0, { repeatable: false });
  const [serverOfA, serverOfB] = cut.list("start").map(({ server }) =>
    server.name
  );
  cut.send({ ...LOST, requestId: "a" }, 10);
  cut.setReachable(false, 20);
  cut.send({ ...LOST, requestId: "b" }, 30);
  return { cut, other, serverOfA, serverOfB };
}

/** Lists the marks of a host as it shares them. */
function listShared({ dispatcher, list }: ReturnType<typeof startHost>) {
  return list("suspect").map(({ mark }) =>
    dispatcher.isDoubted(mark.server) ? { ...mark, doubtful: true } : mark
  );
}

// Guards against requests that all hosts refuse as poison because their servers
// were cut off from one host.
tap.test("suspects of a cut are withdrawn once another host hears of their servers", (t) => {
  const { cut, other, serverOfA, serverOfB } = startCutHost();
  t.not(serverOfA, serverOfB);
  const shared = listShared(cut);
  t.same(shared.map(({ doubtful }) => doubtful), [true, true]);
  other.send({ kind: "suspected", marks: shared }, 600);
  t.ok(other.dispatcher.isDoubted(serverOfA));
  other.send({
    kind: "connection_tried",
    server: serverOfA,
    reachable: true,
  }, 900);
  other.send({
    kind: "responded",
    server: serverOfB,
    signals: core.NO_SIGNALS,
    sentAt: 800,
    succeeded: true,
  }, 900);
  other.send({ kind: "ticked" }, 950);
  const wrongLosses = other.dispatcher.listWrongLosses(950);
  t.same(Object.keys(wrongLosses).toSorted(), [serverOfA, serverOfB].sort());
  cut.send({ kind: "suspected", marks: [], wrongLosses }, 1_500);
  t.same(cut.list("losses_withdrawn").map(({ loss }) => loss.at), [10, 30]);
  t.notOk(cut.dispatcher.isDoubted(serverOfA));
  // The marks still arrive by way of hosts that have not heard of it.
  other.send({ kind: "suspected", marks: shared }, 2_000);
  t.notOk(other.dispatcher.isDoubted(serverOfA));
  t.end();
});

// Guards against news that go round for ever, and doubts that never end, because the
// time of a loss changes a little each time that a host's clock is corrected.
tap.test("a loss is the same one by a clock that is corrected", (t) => {
  const { send, dispatcher, list } = startHost();
  const shift = (at: number) => {
    const mark = { fingerprint: "a", server: "r1", at, doubtful: true };
    send({ kind: "suspected", marks: [mark] }, 600 + at);
    send({ kind: "ticked" }, 600 + at);
  };
  [0, 20, 40].forEach(shift);
  send({ kind: "connection_tried", server: "r1", reachable: true }, 3_000);
  [60, 80].forEach((at) => shift(at));
  send({ kind: "ticked" }, 13_100);
  t.notOk(dispatcher.isDoubted("r1"));
  [0, 20, 40].forEach((ms) =>
    send({
      kind: "suspected",
      marks: [],
      wrongLosses: { r1: ms, r2: ms },
    }, 13_200 + ms)
  );
  t.same(list("losses_withdrawn").map(({ loss }) => loss.server), ["r1", "r2"]);
  t.end();
});

// Guards against poison that counts as a cut because the server that it ended is
// back before its entry changes.
tap.test("a server that is heard of late has ended if its entry goes", (t) => {
  const { cut, other, serverOfA, serverOfB } = startCutHost();
  other.send({ kind: "suspected", marks: listShared(cut) }, 600);
  other.send({
    kind: "connection_tried",
    server: serverOfA,
    reachable: true,
  }, 3_000);
  const servers = other.dispatcher.inspect().servers.map(({ info }) => info)
    .filter(({ name }) => name !== serverOfA);
  other.send({ kind: "ticked" }, 3_050);
  t.ok(other.dispatcher.isDoubted(serverOfA));
  other.send({ kind: "servers_changed", servers }, 4_500);
  other.send({ kind: "ticked" }, 4_550);
  t.notOk(other.dispatcher.isDoubted(serverOfA));
  t.same(other.dispatcher.listWrongLosses(4_600), {});
  const confirmed = other.list("suspects_changed")
    .filter(({ change }) => change === "confirmed");
  t.same(confirmed.flatMap(({ marks }) => marks.map(({ server }) => server)), [
    serverOfA,
  ]);
  // The other server stays listed and in doubt until it is heard of for long.
  other.send({
    kind: "connection_tried",
    server: serverOfB,
    reachable: true,
  }, 5_000);
  other.send({ kind: "ticked" }, 14_900);
  t.ok(other.dispatcher.isDoubted(serverOfB));
  other.send({ kind: "ticked" }, 15_050);
  t.same(Object.keys(other.dispatcher.listWrongLosses(15_050)), [serverOfB]);
  t.end();
});

// Guards against a sound request that is refused as poison, and against one that
// ends a fourth server, while it is in doubt whether servers have ended.
tap.test("a request in doubt is refused as not run, or left to hosts with links", (t) => {
  const marks = ["r1", "r2"].map((server) => ({
    fingerprint: "a",
    server,
    at: 0,
    doubtful: true,
  }));
  const suspects = { poisonLimit: 2, holdsRemote: false };
  const whole = startHost({ suspects });
  whole.send({ kind: "suspected", marks }, 300);
  whole.open("a#1", 310);
  t.match(whole.list("refuse").map(({ refusal }) => refusal), [
    { code: "suspect_request", ran: "no" },
  ]);
  whole.send({ kind: "ticked" }, 600);
  t.same(
    whole.list("try_links").flatMap(({ servers }) =>
      servers.map(({ name }) => name)
    ).toSorted(),
    ["r1", "r2"],
  );
  const cut = startHost({ suspects });
  cut.setReachable(false, 0);
  cut.send({ kind: "peers_changed", peers: PEERS }, 10);
  cut.send({ kind: "suspected", marks }, 300);
  cut.open("a#1", 310);
  t.same(cut.list("refuse"), []);
  t.same(cut.list("hand_over").map(({ request }) => request.id), ["a#1"]);
  cut.open("a#2", 320, { handedOver: true });
  t.match(cut.list("refuse").map(({ refusal }) => refusal), [
    { code: "suspect_request", ran: "no" },
  ]);
  const gone = { fingerprint: "b", server: "r0", at: 0 };
  const alsoMarked = { ...marks[0], fingerprint: "b" };
  cut.send({ kind: "suspected", marks: [gone, alsoMarked] }, 330);
  cut.open("b#1", 340);
  t.match(cut.list("refuse").map(({ requestId }) => requestId), ["a#2", "b#1"]);
  t.end();
});

// Guards against sound requests that are refused as poison by hosts that have not
// noticed a cut yet.
tap.test("a request is refused as poison only after the time in which a cut is noticed", (t) => {
  const { send, open, list } = startHost({
    suspects: { poisonLimit: 2, holdsRemote: false },
  });
  const marks = ["r1", "r2"].map((server) => ({
    fingerprint: "a",
    server,
    at: 0,
  }));
  send({ kind: "suspected", marks }, 300);
  open("a#1", 310);
  open("a#2", 2_000);
  t.same(list("refuse").map(({ refusal }) => refusal.code), [
    "suspect_request",
    "poison_request",
  ]);
  t.end();
});

// Guards against sound requests that are refused because all servers were lost at
// once, and that no host tells the others of when they complete.
tap.test("a request that completes is no suspect at any host", (t) => {
  const options = {
    suspects: {
      poisonLimit: 2,
      isolateAfter: 2,
      holdsRemote: false,
      sparesAnswered: true,
    },
  };
  const one = startHost(options);
  const other = startHost(options);
  const finish = (requestId: string, now: number) =>
    one.send({ kind: "finished", requestId, attempt: 1, tokens: 1 }, now);
  one.open("a#1", 0);
  finish("a#1", 50);
  const marks = ["r1", "r2"].map((server) => ({
    fingerprint: "a",
    server,
    at: 100,
  }));
  [one, other].forEach(({ send }) => send({ kind: "suspected", marks }, 200));
  one.open("a#2", 2_000);
  other.open("a#3", 2_000);
  t.same(
    one.list("refuse"),
    [],
    "it completed before, and both were lost at once",
  );
  t.equal(other.list("refuse").length, 1);
  finish("a#2", 2_050);
  t.match(one.list("suspect_answered"), [{ fingerprint: "a", at: 2_050 }]);
  const answered = one.dispatcher.listAnsweredRequests(2_060);
  other.send({ kind: "suspected", marks, answered }, 2_100);
  other.open("a#4", 2_200);
  t.equal(other.list("refuse").length, 1);
  other.send({ kind: "suspected", marks }, 2_300);
  other.open("a#5", 2_400);
  t.equal(other.list("refuse").length, 1, "its marks arrive again");
  t.end();
});

// Guards against a frequent request that is refused for good because it was in flight
// wherever a poison request ended a server.
tap.test("a request that has completed is not refused for the ends of another one", (t) => {
  const { send, open, list } = startHost({
    suspects: {
      poisonLimit: 2,
      isolateAfter: 2,
      holdsRemote: false,
      sparesAnswered: true,
    },
  });
  open("a#1", 0);
  send({ kind: "finished", requestId: "a#1", attempt: 1, tokens: 1 }, 50);
  const listMarks = (fingerprint: string) =>
    ["r8", "r9"].map((server, n) => ({
      fingerprint,
      server,
      at: 100 + 3_000 * n,
    }));
  send({ kind: "suspected", marks: listMarks("a") }, 5_000);
  open("a#2", 5_100);
  t.equal(list("refuse").length, 1, "no other request explains it");
  send({ kind: "suspected", marks: listMarks("poison") }, 5_200);
  open("a#3", 5_300);
  open("poison#1", 5_300);
  t.same(list("refuse").map(({ requestId }) => requestId), ["a#2", "poison#1"]);
  t.end();
});

/** Starts a host whose links to three servers were lost when these ended; others answer at their addresses later. */
function startEndedServers() {
  let isListCurrent = false;
  const dispatcher = testing.startDispatcher({
    tracksLinks: true,
    suspects: { poisonLimit: 3, isolateAfter: 2, holdsRemote: false },
    isListCurrent: () => isListCurrent,
  });
  const names = ["r1", "r2", "r3"];
  const servers = names.map((name) => ({
    name,
    pool: "rooms",
    url: "",
    state: "live" as const,
  }));
  dispatcher.handle({ kind: "servers_changed", servers }, 0);
  const marks = names.map((server) => ({
    fingerprint: "poison",
    server,
    at: 10,
    doubtful: true,
  }));
  dispatcher.handle({ kind: "suspected", marks }, 100);
  names.forEach((server) =>
    dispatcher.handle(
      { kind: "connection_tried", server, reachable: true },
      3_000,
    )
  );
  const tickUntil = (from: number, until: number) => {
    for (let now = from; now <= until; now += 100) {
      dispatcher.handle({ kind: "ticked" }, now);
    }
  };
  const setCurrent = () => {
    isListCurrent = true;
  };
  return { dispatcher, names, tickUntil, setCurrent };
}

// Guards against ends that are withdrawn after a store outage, in which the entries
// of servers that ended stay listed and others answer at their addresses.
tap.test("servers stay in doubt while the list is not current", (t) => {
  const { dispatcher, tickUntil, setCurrent } = startEndedServers();
  tickUntil(3_100, 19_900);
  t.equal(dispatcher.countPoisonRequests(), 1);
  setCurrent();
  tickUntil(20_000, 29_800);
  t.equal(dispatcher.countPoisonRequests(), 1, "not settled yet");
  tickUntil(29_900, 30_300);
  t.equal(dispatcher.countPoisonRequests(), 0, "still listed 10 s later");
  t.end();
});

// Guards against a host with an old list that withdraws ends of which others are sure.
tap.test("a withdrawal of the loss of a server that is gone is ignored", (t) => {
  const { dispatcher, names, tickUntil, setCurrent } = startEndedServers();
  setCurrent();
  dispatcher.handle({ kind: "servers_changed", servers: [] }, 4_000);
  tickUntil(4_000, 4_500);
  const wrongLosses = Object.fromEntries(names.map((name) => [name, 10]));
  dispatcher.handle({ kind: "suspected", marks: [], wrongLosses }, 5_000);
  t.equal(dispatcher.countPoisonRequests(), 1);
  t.end();
});

/** Starts a host with one server, which it loses under a request once every four seconds. */
function countPoisonAfterLosses(
  { isRestarted }: { readonly isRestarted: boolean },
) {
  const { dispatcher, send, open } = startHost({
    suspects: { poisonLimit: 3, isolateAfter: 9, holdsRemote: false },
  });
  const servers = [
    { name: "r1", pool: "rooms", url: "", state: "live" },
  ] as const;
  send({ kind: "servers_changed", servers }, 0);
  const setReachable = (reachable: boolean, now: number) =>
    send({
      kind: "connection_tried",
      server: "r1",
      reachable,
      refused: !reachable,
    }, now);
  [0, 4_000, 8_000].forEach((now) => {
    open(`a#${now}`, now, { repeatable: false });
    send({ ...LOST, requestId: `a#${now}` }, now + 10);
    if (!isRestarted) return;
    setReachable(false, now + 1_000);
    setReachable(true, now + 3_000);
  });
  return dispatcher.countPoisonRequests();
}

// Guards against a sound request that is refused because one server resets its
// connections again and again, and against poison that ends a server several times
// before its entry changes.
tap.test("a server counts again only if its process has ended in between", (t) => {
  t.equal(countPoisonAfterLosses({ isRestarted: false }), 0);
  t.equal(countPoisonAfterLosses({ isRestarted: true }), 1);
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
