/** A failure domain that falls silent, replayed: how many requests are sent there in vain. */
import * as tapModule from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const POOL: core.PoolPart = { ...testing.POOL, slots: 40 };
const DOMAINS = ["a", "b", "c"];
const SERVERS_EACH = 8;

function startHost(domains: readonly string[]): core.Dispatcher {
  const dispatcher = testing.startDispatcher({ pools: [POOL] });
  const servers = domains.flatMap((failureDomain) =>
    Array.from({ length: SERVERS_EACH }, (_, index): core.ServerInfo => ({
      name: `${failureDomain}${index}`,
      pool: POOL.name,
      url: "",
      state: "live",
      failureDomain,
    }))
  );
  dispatcher.handle({ kind: "servers_changed", servers }, 0);
  return dispatcher;
}

/** Sends requests one after the other; servers of `silent` take no connection. Returns where attempts went. */
function sendRequests(
  dispatcher: core.Dispatcher,
  { count, at, silent }: {
    readonly count: number;
    readonly at: number;
    readonly silent: ReadonlySet<string>;
  },
): string[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `r${at}-${index}`;
    const request = {
      ...testing.buildRequest(id, { tier: 1 }),
      arrivedAt: at,
      startBy: at + 5_000,
    };
    const tried: string[] = [];
    let effects = dispatcher.handle({ kind: "arrived", request }, at);
    for (;;) {
      const start = effects.find((effect) => effect.kind === "start");
      if (start?.kind !== "start") return tried;
      const { attempt, server } = start;
      tried.push(server.name);
      const isSilent = silent.has(server.failureDomain ?? "");
      effects = dispatcher.handle(
        isSilent
          ? {
            kind: "failed",
            requestId: id,
            attempt,
            failure: "not_sent",
            answerStarted: false,
            resumable: false,
          }
          : { kind: "finished", requestId: id, attempt, tokens: 0 },
        at,
      );
    }
  }).flat();
}

function countIn(tried: readonly string[], failureDomain: string): number {
  return tried.filter((name) => name.startsWith(failureDomain)).length;
}

// Guards against requests that wait in vain at one server after the other of a failure domain that is cut off.
tap.test("a silent failure domain is given up after two servers", (t) => {
  const dispatcher = startHost(DOMAINS);
  const tried = sendRequests(dispatcher, {
    count: 200,
    at: 1_000,
    silent: new Set(["b"]),
  });
  t.equal(countIn(tried, "b"), 2);
  t.equal(countIn(tried, "a") + countIn(tried, "c"), 200, "all are served");
  t.end();
});

// Guards against a failure domain that stays given up after it is back.
tap.test("a failure domain that is back is used again", (t) => {
  const dispatcher = startHost(DOMAINS);
  sendRequests(dispatcher, { count: 50, at: 1_000, silent: new Set(["b"]) });
  const tried = sendRequests(dispatcher, {
    count: 200,
    at: 4_000,
    silent: new Set(),
  });
  t.ok(countIn(tried, "b") > 0);
  t.end();
});

// Guards against a host that gives up all servers that it knows: those that are left are better than none.
tap.test("the last failure domain of a pool is not given up", (t) => {
  const dispatcher = startHost(["b"]);
  const tried = sendRequests(dispatcher, {
    count: 50,
    at: 1_000,
    silent: new Set(["b"]),
  });
  t.equal(new Set(tried).size, SERVERS_EACH, "each is given up by itself");
  t.end();
});

// Guards against a healthy failure domain that is given up for two servers that crashed.
tap.test("a failure domain in which others answer is not silent", (t) => {
  const silences = new core.DomainSilences();
  t.notOk(silences.recordSilent({ name: "b1", failureDomain: "b" }, 0));
  silences.recordHeard("b");
  t.notOk(silences.recordSilent({ name: "b2", failureDomain: "b" }, 100));
  t.notOk(
    silences.recordSilent({ name: "b3", failureDomain: "b" }, 2_500),
    "too long after the one before",
  );
  t.ok(silences.recordSilent({ name: "b4", failureDomain: "b" }, 2_600));
  t.end();
});
