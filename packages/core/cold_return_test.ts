/** Simulates many hosts while a failure domain comes back cold during a burst of requests. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const HOSTS = 78;
const DOMAINS = ["a", "b", "c", "d"];
const ENGINES_EACH = 10;
/** Request rate of all hosts together, per second. */
const REQUESTS_PER_SECOND = 450;
/** Time at which the failure domain comes back, in ms. */
const RETURNS_AT = 3_000;
/** Time for which its servers are cold after that, in ms. */
const COLD_MS = 3_000;
/** Run time of a request, in ms. */
const RUN_MS = 1_500;
/** Interval between two load reports of the other hosts, in ms. */
const LOAD_REPORT_MS = 1_000;
const MOST_PER_SECOND = 20;

function startHosts(
  coldStart: core.ColdStartLimits | undefined,
): core.Dispatcher[] {
  return Array.from({ length: HOSTS }, (_, index) => {
    const failureDomain = DOMAINS[index % DOMAINS.length];
    const pool: core.PoolPart = {
      ...testing.POOL,
      serves: "engine",
      // The servers of the pool are in all failure domains; each host sees the
      // pool as one of its own failure domain.
      failureDomain,
      slots: 32,
      ...(coldStart && { coldStart }),
    };
    const dispatcher = new core.Dispatcher({
      failureDomain,
      host: `h${index}`,
      random: utils.createRandom(index + 1),
      comparesPrompts: true,
      preempts: false,
    });
    const configuration = testing.buildConfiguration([
      testing.buildClass(1),
      pool,
    ]);
    dispatcher.handle({ kind: "configured", configuration }, 0);
    return dispatcher;
  });
}

function listEngines(
  domains: readonly string[],
  coldMs = 0,
): core.ServerInfo[] {
  return domains.flatMap((failureDomain) =>
    Array.from({ length: ENGINES_EACH }, (_, index): core.ServerInfo => ({
      name: `${failureDomain}${index}`,
      pool: testing.POOL.name,
      url: "",
      state: "live",
      failureDomain,
      coldMs: failureDomain === "d" ? coldMs : 0,
    }))
  );
}

interface RunningRequest {
  readonly host: number;
  readonly requestId: string;
  readonly attempt: number;
  readonly server: string;
  readonly endsAt: number;
}

function countByServer(
  running: readonly RunningRequest[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  running.forEach(({ server }) => {
    counts[server] = (counts[server] ?? 0) + 1;
  });
  return counts;
}

/**
 * Simulates the burst. Returns the times at which each engine of the failure
 * domain that comes back was sent a request, and the number of requests that
 * started in all failure domains.
 */
function replayReturn(coldStart?: core.ColdStartLimits) {
  const hosts = startHosts(coldStart);
  const random = utils.createRandom(5);
  const sentTimes = new Map<string, number[]>();
  let running: RunningRequest[] = [];
  let started = 0;
  const handleEvent = (
    host: number,
    { event, now }: {
      readonly event: core.DispatchEvent;
      readonly now: number;
    },
  ) =>
    hosts[host].handle(event, now).forEach((effect) => {
      if (effect.kind !== "start") return;
      const { name, failureDomain } = effect.server;
      const requestId = effect.request.id;
      const { attempt } = effect;
      const endsAt = now + RUN_MS;
      running.push({ host, requestId, attempt, server: name, endsAt });
      started += 1;
      if (failureDomain !== "d") return;
      sentTimes.set(name, [...sentTimes.get(name) ?? [], now]);
    });
  const sendToAll = (
    now: number,
    build: (host: number) => core.DispatchEvent,
  ) =>
    hosts.forEach((_, host) => handleEvent(host, { event: build(host), now }));
  const buildLoadReport = (host: number, now: number): core.DispatchEvent => ({
    kind: "load_shared",
    hosts: HOSTS,
    running: countByServer(running.filter((request) => request.host !== host)),
    prompting: {},
    asOf: now,
  });
  const gapMs = 1_000 / REQUESTS_PER_SECOND;
  let returned = false;
  sendToAll(0, () => ({
    kind: "servers_changed",
    servers: listEngines(["a", "b", "c"]),
  }));
  const count = Math.ceil((RETURNS_AT + COLD_MS) / gapMs);
  for (let index = 0; index < count; index += 1) {
    const now = index * gapMs;
    const ended = running.filter(({ endsAt }) => endsAt <= now);
    running = running.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ host, requestId, attempt }) =>
      handleEvent(host, {
        event: { kind: "finished", requestId, attempt, tokens: 10 },
        now,
      })
    );
    if (
      Math.floor(now / LOAD_REPORT_MS) >
        Math.floor((now - gapMs) / LOAD_REPORT_MS)
    ) {
      sendToAll(now, (host) => buildLoadReport(host, now));
    }
    if (!returned && now >= RETURNS_AT) {
      returned = true;
      const servers = listEngines(DOMAINS, COLD_MS);
      sendToAll(now, () => ({ kind: "servers_changed", servers }));
    }
    const request: core.Request = {
      ...testing.buildRequest(`r${index}`, { tier: 1 }),
      kind: "generate",
      promptTokens: 600,
      maxTokens: 100,
      arrivedAt: now,
      startBy: now + 5_000,
    };
    const event = { kind: "arrived", request } as const;
    handleEvent(random.below(HOSTS), { event, now });
  }
  return { sentTimes: [...sentTimes.values()], started };
}

function countMost(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

// Guards against servers that crash as soon as they come back: every host sees
// them idle at the same time and sends them its requests.
tap.test("servers that come back cold in a burst are not overloaded", (t) => {
  const unlimited = replayReturn();
  t.ok(
    Math.max(...unlimited.sentTimes.map(countMost)) > MOST_PER_SECOND,
    "without a limit, the servers are overloaded",
  );
  const limited = replayReturn({
    startMs: COLD_MS,
    mostPerSecond: MOST_PER_SECOND,
  });
  t.ok(Math.max(...limited.sentTimes.map(countMost)) <= MOST_PER_SECOND);
  t.ok(
    limited.sentTimes.flat().length > 30,
    "the cold servers take a part of the load",
  );
  t.equal(limited.started, unlimited.started, "the limit delays no request");
  t.end();
});
