/** Tests of the software versions that may go on with a stream. */
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const LIFE_MS = core.STREAM_LIFE_MS;

function listServers(
  ...software: readonly (string | undefined)[]
): core.ListedServer[] {
  return software.map((version, index) => ({
    id: `s${index}`,
    service: "planner",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 2,
    state: "ready",
    startedAt: 7,
    spot: false,
    coldMs: undefined,
    revision: 1,
    ...(version !== undefined && { software: version }),
  }));
}

tap.test("a server without a version counts as a version of its own beside others", (t) => {
  const resolve = (...software: readonly (string | undefined)[]) =>
    core.resolveSoftware(listServers(...software));
  t.same(resolve(undefined, undefined), ["", ""]);
  t.same(resolve("v1", undefined, undefined), ["v1", "?s1@7", "?s2@7"]);
  t.end();
});

// Guards against a version that is forgotten as soon as its servers are gone, while
// callers still have streams of it.
tap.test("a version that is gone counts for the life of a stream", (t) => {
  const versions = new core.SoftwareVersions();
  const describe = (now: number, fresh = true) =>
    versions.describe("planner", { now, fresh }).kind;
  t.equal(describe(0), "unsure", "no list yet");
  versions.record(listServers("v1"), 0);
  t.equal(describe(1_000), "young");
  t.equal(describe(LIFE_MS), "single");
  t.equal(describe(LIFE_MS, false), "unsure");
  versions.record(listServers("v1", "v1.1"), LIFE_MS);
  t.equal(describe(LIFE_MS), "several");
  versions.record(listServers("v1"), LIFE_MS + 500);
  t.equal(describe(2 * LIFE_MS), "several");
  t.equal(describe(2 * LIFE_MS + 501), "single");
  t.end();
});

tap.test("a young host takes over that its only version has served alone", (t) => {
  const versions = new core.SoftwareVersions();
  versions.record(listServers("v1"), 0);
  t.same(versions.listYoung(1_000), ["planner"]);
  versions.acceptView("planner", "v2");
  t.same(versions.listYoung(1_000), ["planner"], "another version");
  versions.acceptView("planner", "v1");
  t.same(versions.listYoung(1_000), []);
  t.equal(
    versions.describe("planner", { now: 1_000, fresh: true }).kind,
    "single",
  );
  t.end();
});

// Guards against the refusal of all streams after all hosts were lost together,
// where only the store has a word of the time before.
tap.test("a young host takes over what was published before it started", (t) => {
  const single = { kind: "single", software: "v1" } as const;
  const accept = (published: readonly core.PublishedViews[]) => {
    const versions = new core.SoftwareVersions();
    versions.record(listServers("v1"), 0);
    versions.acceptPublished(published, 100);
    return versions.describe("planner", { now: 100, fresh: true }).kind;
  };
  t.equal(accept([]), "young");
  t.equal(accept([{ planner: single }, { other: single }]), "single");
  t.equal(
    accept([{ planner: single }, { planner: { kind: "several" } }]),
    "young",
  );
  t.equal(accept([{ planner: { kind: "young", software: "v1" } }]), "young");
  t.equal(accept([{ planner: { kind: "single", software: "v2" } }]), "young");
  t.equal(
    accept([{ planner: single }, {
      planner: { kind: "single", software: "v2" },
    }]),
    "young",
  );
  t.end();
});

// Guards against a host that guesses: one that is cut off, one that has just
// started, and one that has not seen a version that others know.
tap.test("a stream that no host knows goes on only where no version can have begun it but one", (t) => {
  const single = { kind: "single", software: "v1" } as const;
  const young = { kind: "young", software: "v1" } as const;
  const several = { kind: "several" } as const;
  const unsure = { kind: "unsure" } as const;
  const resolve = (
    own: core.VersionView,
    others: readonly core.VersionView[],
    asked = true,
  ) => core.resolveVersion({ own, others, asked }).kind;
  t.equal(resolve(single, [], false), "known");
  t.equal(resolve(single, []), "unknown", "no answer");
  t.equal(resolve(single, [unsure]), "unknown", "no answer in touch");
  t.equal(resolve(single, [young]), "known");
  t.equal(resolve(young, [young]), "unknown");
  t.equal(resolve(young, [single]), "known");
  t.equal(resolve(unsure, [single]), "known");
  t.equal(resolve(single, [single, several]), "unknown");
  t.equal(resolve(several, [single]), "unknown");
  t.equal(resolve(single, [{ kind: "young", software: "v2" }]), "unknown");
  t.end();
});

// Guards against memory that grows with the streams of a fleet.
tap.test("streams are forgotten after their life, and sooner if there are many", (t) => {
  const origins = new core.StreamOrigins();
  origins.record([1, "v1"], 0);
  origins.record([2, "v1"], LIFE_MS - 1);
  origins.record([3, "v1"], LIFE_MS);
  t.equal(origins.find(1), "v1", "at least its life");
  origins.record([4, "v1"], 2 * LIFE_MS);
  t.equal(origins.find(1), undefined);
  t.equal(origins.find(3), "v1");
  const many = Array.from(
    { length: 450_000 },
    (_, index) => [10 + index, "v1"] as const,
  );
  origins.accept(many, 2 * LIFE_MS + 1);
  t.ok(origins.countStreams() <= 400_000);
  t.same(origins.takePending().map(([stream]) => stream), [1, 2, 3, 4]);
  t.same(origins.takePending(), []);
  t.end();
});

const SERVERS: readonly core.ServerInfo[] = ["v1", "v1", "v2", "v2"].map(
  (software, index) => ({
    name: `r${index}`,
    pool: "rooms",
    url: "",
    state: "live",
    software,
  }),
);

/** Starts a dispatcher with two servers of each version, and a stream that has begun. */
function startStream() {
  const dispatcher = testing.startDispatcher();
  dispatcher.handle({ kind: "servers_changed", servers: SERVERS }, 0);
  const request = {
    ...testing.buildRequest("stream", { tier: 1 }),
    resumable: true,
  };
  const started = findStart(dispatcher.handle({ kind: "arrived", request }, 0));
  const begun = { requestId: "stream", attempt: 1, tokens: 2 } as const;
  dispatcher.handle({ kind: "progressed", ...begun }, 10);
  return { dispatcher, software: started?.server.software };
}

function findStart(effects: readonly core.DispatchEffect[]) {
  return effects.flatMap((effect) =>
    effect.kind === "start" ? [effect] : []
  )[0];
}

function failAttempt(dispatcher: core.Dispatcher, attempt = 1) {
  return dispatcher.handle({
    kind: "failed",
    requestId: "stream",
    attempt,
    failure: "connection_lost",
    answerStarted: true,
    resumable: true,
  }, 20);
}

// Guards against a stream that is resumed, within one answer, at a server of
// another version, also when the servers of its own have no room.
tap.test("a stream that has begun waits for a server of its version", (t) => {
  const { dispatcher, software } = startStream();
  const own = SERVERS.filter((server) => server.software === software);
  const restMs = 200;
  own.forEach(({ name: server }) =>
    dispatcher.handle({
      kind: "responded",
      server,
      signals: { ...core.NO_SIGNALS, restsMs: [restMs] },
      sentAt: 0,
      succeeded: false,
    }, 15)
  );
  const resumed = findStart(failAttempt(dispatcher)) ??
    findStart(dispatcher.handle({ kind: "ticked" }, 20 + 2 * restMs));
  t.equal(resumed?.server.software, software);
  t.end();
});

// Guards against a stream that waits for a version without servers, and then for
// its deadline.
tap.test("a stream is refused when the last server of its version goes", (t) => {
  const { dispatcher, software } = startStream();
  const others = SERVERS.filter((server) => server.software !== software);
  dispatcher.handle({ kind: "servers_changed", servers: others }, 15);
  const refused = failAttempt(dispatcher).find(({ kind }) => kind === "refuse");
  t.match(refused, { requestId: "stream", refusal: { ran: "unknown" } });
  t.equal(dispatcher.countOpen().queued, 0);
  const late = {
    ...testing.buildRequest("late", { tier: 1 }),
    software: software as string,
  };
  const admitted = dispatcher.handle({ kind: "arrived", request: late }, 30);
  t.match(admitted[0], {
    kind: "refuse",
    refusal: { code: "no_capacity", ran: "no" },
  });
  t.end();
});

// Guards against requests that are queued when their version's last server goes.
tap.test("queued streams are refused when the last server of their version goes", (t) => {
  const dispatcher = testing.startDispatcher();
  dispatcher.handle({ kind: "servers_changed", servers: SERVERS }, 0);
  const requests = Array.from({ length: 6 }, (_, index) => ({
    ...testing.buildRequest(`r${index}`, { tier: 1 }),
    software: "v1",
  }));
  requests.forEach((request) =>
    dispatcher.handle({ kind: "arrived", request }, 0)
  );
  t.equal(dispatcher.countOpen().queued, 2);
  const effects = dispatcher.handle({
    kind: "servers_changed",
    servers: SERVERS.slice(2),
  }, 10);
  t.equal(effects.filter(({ kind }) => kind === "refuse").length, 2);
  t.end();
});

// Guards against other requests that wait behind one whose version is full.
tap.test("a stream that waits for its version does not delay others", (t) => {
  const dispatcher = testing.startDispatcher();
  dispatcher.handle({ kind: "servers_changed", servers: SERVERS }, 0);
  const bound = Array.from({ length: 5 }, (_, index) => ({
    ...testing.buildRequest(`b${index}`, { tier: 1 }),
    software: "v1",
  }));
  bound.forEach((request) =>
    dispatcher.handle({ kind: "arrived", request }, 0)
  );
  const free = testing.buildRequest("free", { tier: 1 });
  const start = findStart(
    dispatcher.handle({ kind: "arrived", request: free }, 1),
  );
  t.equal(start?.server.software, "v2");
  t.end();
});
