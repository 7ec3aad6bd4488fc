/** Tests when hosts learn, keep and forget the limits of servers. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;
/** The first numbers of a small seed are close to 1. */
const SEED = utils.hashSeed("limits");

function createLimits(hosts?: number): core.ServerLimits {
  const limits = new core.ServerLimits({ random: utils.createRandom(SEED) });
  if (hosts !== undefined) limits.setHosts(hosts);
  return limits;
}

function buildReport(
  changes: Partial<core.LimitReport> = {},
): core.LimitReport {
  return { perSecond: 1, sentAt: 0, succeeded: true, ...changes };
}

/** Whether a host may not send the server two requests at a time. */
function isLimited(limits: core.ServerLimits, now: number): boolean {
  if (limits.mayUse("s", now)) limits.use("s");
  return !limits.mayUse("s", now);
}

tap.test("a limit holds until the server no longer names it", (t) => {
  const limits = createLimits(9);
  t.notOk(isLimited(limits, 0));
  limits.recordResponse("s", buildReport(), 100);
  t.ok(isLimited(limits, 100));
  // The request was sent before the limit was named.
  const before = buildReport({ perSecond: undefined, sentAt: 50 });
  limits.recordResponse("s", before, 300);
  t.ok(isLimited(limits, 300));
  // A refusal of a full server names no limit although it still applies.
  const refusal = { perSecond: undefined, sentAt: 400, succeeded: false };
  limits.recordResponse("s", refusal, 500);
  t.ok(isLimited(limits, 500));
  const ended = buildReport({ perSecond: undefined, sentAt: 600 });
  limits.recordResponse("s", ended, 700);
  t.notOk(isLimited(limits, 700));
  t.end();
});

// Guards against a host that has just started and uses the whole limit.
tap.test("a limited server gets nothing before the number of hosts is known", (t) => {
  const limits = createLimits();
  limits.recordResponse("s", buildReport({ perSecond: 50 }), 0);
  t.notOk(limits.mayUse("s", 0));
  t.notOk(limits.mayUse("s", 60_000));
  limits.setHosts(1);
  t.ok([0, 40, 80].some((ms) => limits.mayUse("s", 61_000 + ms)));
  t.end();
});

// Guards against a server that is never used again, and against one that a huge limit floods.
tap.test("a limit of zero or beyond all rates is bounded", (t) => {
  const limits = createLimits(1);
  limits.recordResponse("s", buildReport({ perSecond: 0 }), 0);
  t.notOk(limits.mayUse("s", 0));
  const later = Array.from({ length: 600 }, (_, index) => index * 100);
  t.ok(later.some((ms) => limits.mayUse("s", ms)), "it is asked again");
  limits.recordResponse("s", buildReport({ perSecond: Infinity }), 60_000);
  t.ok(limits.mayUse("s", 60_001));
  t.end();
});

// Guards against a limit that outlasts its server's need in a large fleet, whose
// hosts send the server one request in a few minutes.
tap.test("hosts learn limits and their ends from each other", (t) => {
  const [one, other, old] = [createLimits(9), createLimits(9), createLimits(9)];
  one.recordResponse("s", buildReport(), 1_000);
  other.merge(one.listOwn(2_000));
  t.ok(isLimited(other, 2_000));
  t.same(other.listOwn(2_000), [], "only what a host saw itself is passed on");
  const ended = buildReport({ perSecond: undefined, sentAt: 9_000 });
  other.recordResponse("s", ended, 9_100);
  old.recordResponse("s", buildReport(), 8_000);
  [one, old].forEach((limits) => limits.merge(other.listOwn(10_000)));
  t.notOk(isLimited(one, 10_000));
  t.ok(isLimited(old, 10_000), "the end is hardly newer than the limit");
  t.same(one.listOwn(10_000), []);
  t.same(other.listOwn(60_000), [], "an old end is no longer passed on");
  one.merge([{ server: "unknown", at: 1 }]);
  t.end();
});

/** Starts the dispatcher of one of many hosts, whose servers "r1" and "r2" have these limits. */
function startLimited(
  limits: Readonly<Record<string, number>>,
): core.Dispatcher {
  const dispatcher = testing.startDispatcher({ seed: SEED });
  const load = { running: {}, prompting: {}, asOf: 0 } as const;
  dispatcher.handle({ kind: "load_shared", hosts: 195, ...load }, 0);
  Object.entries(limits).forEach(([server, perSecond]) =>
    setLimit(dispatcher, { server, perSecond })
  );
  return dispatcher;
}

function setLimit(
  dispatcher: core.Dispatcher,
  { server, perSecond }: {
    readonly server: string;
    readonly perSecond: number;
  },
): void {
  dispatcher.handle({
    kind: "responded",
    server,
    signals: { ...core.NO_SIGNALS, limitsPerSecond: [perSecond] },
    sentAt: 0,
    succeeded: true,
  }, 0);
}

// Guards against retries and resumed streams that go to a limited server without a permit.
tap.test("a retry does not go to a limited server without a permit", (t) => {
  const dispatcher = startLimited({ r1: 0.5 });
  const request = testing.buildRequest("q1", { tier: 1 });
  const effects = dispatcher.handle({ kind: "arrived", request }, 1);
  t.match(effects, [{ kind: "start", server: { name: "r2" } }]);
  setLimit(dispatcher, { server: "r2", perSecond: 0.5 });
  const event = {
    kind: "failed",
    requestId: "q1",
    attempt: 1,
    failure: "refused",
    answerStarted: false,
    resumable: false,
  } as const;
  const later = [
    ...dispatcher.handle(event, 2),
    ...dispatcher.handle({ kind: "ticked" }, 100),
  ];
  t.notOk(later.some(({ kind }) => kind === "start"));
  t.match(later.filter(({ kind }) => kind === "refuse"), [{
    requestId: "q1",
    refusal: { code: "overloaded", ran: "no", retryAfterMs: 4_000 },
  }]);
  t.same(dispatcher.countOpen(), { queued: 0, running: 0 });
  t.end();
});

// Guards against a limit that a host forgets because the server's entry expired
// during an outage of the store and came back.
tap.test("a limit outlasts the server's absence from the list", (t) => {
  const dispatcher = startLimited({ r1: 0.5 });
  t.equal(dispatcher.listLimits(0).length, 1);
  const listed = ["r1", "r2"].map((name): core.ServerInfo => ({
    name,
    pool: "rooms",
    url: "",
    state: "live",
  }));
  const change = (servers: readonly core.ServerInfo[]) =>
    dispatcher.handle({ kind: "servers_changed", servers }, 10);
  change([listed[1]]);
  t.same(dispatcher.listLimits(10), [], "nothing is said of absent servers");
  change(listed);
  const started = [1, 2, 3].flatMap((n) => {
    const request = testing.buildRequest(`a${n}`, { tier: 1 });
    return dispatcher.handle({ kind: "arrived", request }, 20 + n);
  }).flatMap((effect) => effect.kind === "start" ? [effect.server.name] : []);
  t.same(started, ["r2", "r2"]);
  t.end();
});

// Guards against hosts that exceed a limit because each response draws the time of
// the next permit anew.
tap.test("a limit that is named again leaves the permits as they are", (t) => {
  const limits = createLimits(9);
  let sent = 0;
  for (let now = 0; now < 180_000; now += 100) {
    limits.recordResponse("s", buildReport({ perSecond: 1 }), now);
    if (!limits.mayUse("s", now)) continue;
    limits.use("s");
    sent += 1;
  }
  // Half of the limit, divided by nine hosts, over 180 s.
  t.ok(sent >= 9 && sent <= 11, `${sent} requests`);
  t.end();
});

// Guards against requests that wait for a permit that does not come in time, and
// callers that come back before any host has one.
tap.test("callers are told when to come back if all servers are limited", (t) => {
  const dispatcher = startLimited({ r1: 0.5, r2: 0.8 });
  const request = testing.buildRequest("q1", { tier: 1 });
  t.match(dispatcher.handle({ kind: "arrived", request }, 1), [{
    kind: "refuse",
    refusal: { code: "overloaded", ran: "no", retryAfterMs: 2_500 },
  }], "half of the larger limit: one request in 2.5 s over all hosts");
  t.end();
});

tap.test("a request waits for a permit that comes in time", (t) => {
  const limits = createLimits(1);
  limits.recordResponse("s", buildReport({ perSecond: 4 }), 0);
  const waitMs = limits.getWaitMs("s", 0);
  t.ok(waitMs > 0 && waitMs <= 500);
  t.notOk(limits.mayUse("s", waitMs - 1));
  t.ok(limits.mayUse("s", waitMs + 1));
  t.equal(limits.getWaitMs("s", waitMs + 1), 0);
  t.equal(limits.getWaitMs("unlimited", 0), 0);
  t.end();
});
