/** A failure domain that comes back cold in a burst, replayed over many hosts. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const HOSTS = 78;
const DOMAINS = ["a", "b", "c", "d"];
const ENGINES_EACH = 10;
/** Requests a second of all hosts. */
const PER_SECOND = 450;
/** When the failure domain comes back, and how long it is cold, in ms. */
const RETURNS_AT = 3_000;
const COLD_MS = 3_000;
/** Time that a request runs, in ms. */
const RUNS_MS = 1_500;
/** Between two words of the other hosts, in ms. */
const WORD_MS = 1_000;
const MOST_PER_SECOND = 20;

function startHosts(coldStart: core.ColdStart | undefined): core.Dispatcher[] {
  return Array.from({ length: HOSTS }, (_, index) => {
    const failureDomain = DOMAINS[index % DOMAINS.length];
    const pool: core.PoolPart = {
      ...testing.POOL,
      serves: "engine",
      // A pool reaches over all failure domains, and is each host's own.
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

interface Started {
  readonly host: number;
  readonly requestId: string;
  readonly attempt: number;
  readonly server: string;
  readonly endsAt: number;
}

function countByServer(started: readonly Started[]): Record<string, number> {
  const counts: Record<string, number> = {};
  started.forEach(({ server }) => {
    counts[server] = (counts[server] ?? 0) + 1;
  });
  return counts;
}

/** Replays the burst; returns when each engine of the failure domain was given something, and how many requests started. */
function replayReturn(coldStart?: core.ColdStart) {
  const hosts = startHosts(coldStart);
  const draws = utils.createRandom(5);
  const given = new Map<string, number[]>();
  let running: Started[] = [];
  let started = 0;
  const carryOut = (
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
      const endsAt = now + RUNS_MS;
      running.push({ host, requestId, attempt, server: name, endsAt });
      started += 1;
      if (failureDomain !== "d") return;
      given.set(name, [...given.get(name) ?? [], now]);
    });
  const tellAll = (
    now: number,
    build: (host: number) => core.DispatchEvent,
  ) => hosts.forEach((_, host) => carryOut(host, { event: build(host), now }));
  const buildWord = (host: number, now: number): core.DispatchEvent => ({
    kind: "load_shared",
    hosts: HOSTS,
    running: countByServer(running.filter((one) => one.host !== host)),
    prompting: {},
    asOf: now,
  });
  const gapMs = 1_000 / PER_SECOND;
  let returned = false;
  tellAll(0, () => ({
    kind: "servers_changed",
    servers: listEngines(["a", "b", "c"]),
  }));
  const count = Math.ceil((RETURNS_AT + COLD_MS) / gapMs);
  for (let index = 0; index < count; index += 1) {
    const now = index * gapMs;
    const ended = running.filter(({ endsAt }) => endsAt <= now);
    running = running.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ host, requestId, attempt }) =>
      carryOut(host, {
        event: { kind: "finished", requestId, attempt, tokens: 10 },
        now,
      })
    );
    if (Math.floor(now / WORD_MS) > Math.floor((now - gapMs) / WORD_MS)) {
      tellAll(now, (host) => buildWord(host, now));
    }
    if (!returned && now >= RETURNS_AT) {
      returned = true;
      const servers = listEngines(DOMAINS, COLD_MS);
      tellAll(now, () => ({ kind: "servers_changed", servers }));
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
    carryOut(draws.below(HOSTS), { event, now });
  }
  return { given: [...given.values()], started };
}

function countMost(times: readonly number[]): number {
  return Math.max(
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

// Guards against servers that crash as they come back, because every host finds them idle at once.
tap.test("servers that come back cold in a burst get no more than they bear", (t) => {
  const bare = replayReturn();
  t.ok(
    Math.max(...bare.given.map(countMost)) > MOST_PER_SECOND,
    "they would get more",
  );
  const spared = replayReturn({
    startMs: COLD_MS,
    mostPerSecond: MOST_PER_SECOND,
  });
  t.ok(Math.max(...spared.given.map(countMost)) <= MOST_PER_SECOND);
  t.ok(spared.given.flat().length > 30, "they carry a part");
  t.equal(spared.started, bare.started, "and nothing waits");
  t.end();
});
