/** Simulates a failure domain that stops responding, and counts the attempts that are lost there. */
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

/**
 * Sends requests one after the other; servers in the `unreachable` failure
 * domains accept no connection. Returns the server of each attempt.
 */
function sendRequests(
  dispatcher: core.Dispatcher,
  { count, at, unreachable }: {
    readonly count: number;
    readonly at: number;
    readonly unreachable: ReadonlySet<string>;
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
      const isUnreachable = unreachable.has(server.failureDomain ?? "");
      effects = dispatcher.handle(
        isUnreachable
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

// Guards against requests that time out at one server after another of an
// unreachable failure domain.
tap.test("an unresponsive failure domain is ejected after two servers", (t) => {
  const dispatcher = startHost(DOMAINS);
  const tried = sendRequests(dispatcher, {
    count: 200,
    at: 1_000,
    unreachable: new Set(["b"]),
  });
  t.equal(countIn(tried, "b"), 2);
  t.equal(
    countIn(tried, "a") + countIn(tried, "c"),
    200,
    "all requests are served",
  );
  t.end();
});

// Guards against a failure domain that stays ejected after it has recovered.
tap.test("a failure domain that responds again is used again", (t) => {
  const dispatcher = startHost(DOMAINS);
  sendRequests(dispatcher, {
    count: 50,
    at: 1_000,
    unreachable: new Set(["b"]),
  });
  const tried = sendRequests(dispatcher, {
    count: 200,
    at: 4_000,
    unreachable: new Set(),
  });
  t.ok(countIn(tried, "b") > 0);
  t.end();
});

// Guards against a host that ejects all servers of a pool at once: some of them
// may still respond.
tap.test("the last failure domain of a pool is not ejected", (t) => {
  const dispatcher = startHost(["b"]);
  const tried = sendRequests(dispatcher, {
    count: 50,
    at: 1_000,
    unreachable: new Set(["b"]),
  });
  t.equal(
    new Set(tried).size,
    SERVERS_EACH,
    "each server is ejected separately",
  );
  t.end();
});

// Guards against the ejection of a healthy failure domain in which two servers
// crashed.
tap.test("a failure domain in which a server answers is not unreachable", (t) => {
  const detector = new core.DomainFailureDetector();
  t.notOk(detector.recordUnresponsive({ name: "b1", failureDomain: "b" }, 0));
  detector.recordResponse("b");
  t.notOk(detector.recordUnresponsive({ name: "b2", failureDomain: "b" }, 100));
  t.notOk(
    detector.recordUnresponsive({ name: "b3", failureDomain: "b" }, 2_500),
    "too long after the previous server",
  );
  t.ok(detector.recordUnresponsive({ name: "b4", failureDomain: "b" }, 2_600));
  t.end();
});
