/** Stateful fuzzing of the dispatcher against an oracle of what must hold. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 1_500);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);

const CLASSES: core.ClassPart[] = [1, 2, 3].map((tier) =>
  testing.buildClass(tier, { share: tier === 1 ? 0 : 0.1 })
);
const { POOL } = testing;
const POOLS: core.PoolPart[] = [
  { ...POOL, name: "engines", serves: "engine", targets: ["model"] },
  { ...POOL, name: "rooms", serves: "service", targets: ["rooms"] },
];
/** A pool of another failure domain, from which slots are lent. */
const FAR_POOL: core.PoolPart = {
  ...POOL,
  name: "far",
  failureDomain: "b",
  serves: "engine",
  targets: ["model"],
};
const FAR_SERVERS: core.ServerInfo[] = ["f1", "f2"].map((name) => ({
  name,
  pool: "far",
  url: "",
  state: "live",
}));
const SERVERS: core.ServerInfo[] = ["e1", "e2", "e3", "r1", "r2"].map((
  name,
) => ({
  name,
  pool: name.startsWith("e") ? "engines" : "rooms",
  url: "",
  state: "live",
}));

const FAILURES = [
  "not_sent",
  "refused",
  "connection_lost",
  "server_error",
  "timeout",
  "crossed",
] as const;

type Step =
  | {
    kind: "arrive";
    tier: number;
    customer: number;
    call: boolean;
    repeatable: boolean;
    poison: number;
  }
  | { kind: "advance"; ms: number }
  | { kind: "finish"; pick: number }
  | {
    kind: "fail";
    pick: number;
    failure: core.AttemptFailure;
    tokens: number;
  }
  /** The end of an attempt that was given up, arriving late. */
  | { kind: "late"; pick: number; whole: boolean }
  | { kind: "cancel"; pick: number }
  | { kind: "withdraw"; customer: number }
  | { kind: "server"; pick: number; state: "live" | "leaving" | "gone" }
  | {
    kind: "grant";
    from: number;
    slots: number;
    lowest: number;
    recall: number;
    elsewhere: number;
  }
  | { kind: "lost" }
  /** Another failure domain's answer: slots of each class on its servers. */
  | { kind: "lend"; slots: number; servers: number }
  | { kind: "report"; pick: number; running: number };

const pick = fc.nat({ max: 30 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant("arrive" as const),
      tier: fc.integer({ min: 1, max: 3 }),
      customer: fc.nat({ max: 2 }),
      call: fc.boolean(),
      repeatable: fc.boolean(),
      poison: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("advance" as const),
      ms: fc.constantFrom(1, 20, 200, 600, 3_000),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("finish" as const), pick }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("fail" as const),
      pick,
      failure: fc.constantFrom(...FAILURES),
      tokens: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("late" as const),
      pick,
      whole: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("cancel" as const), pick }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("withdraw" as const),
      customer: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("server" as const),
      pick,
      state: fc.constantFrom(
        "live" as const,
        "leaving" as const,
        "gone" as const,
      ),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("grant" as const),
      from: fc.nat({ max: 3 }),
      slots: fc.nat({ max: 3 }),
      lowest: fc.nat({ max: 3 }),
      recall: fc.nat({ max: 3 }),
      elsewhere: fc.nat({ max: 3 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("lost" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("lend" as const),
      slots: fc.nat({ max: 2 }),
      servers: fc.nat({ max: 2 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("report" as const),
      pick,
      running: fc.nat({ max: 3 }),
    }),
  },
);

interface Running {
  readonly request: core.Request;
  readonly attempt: number;
  readonly server: string;
}

/** What is true of each request, by an independent account. */
class Oracle {
  readonly open = new Map<string, core.Request>();
  readonly finals = new Map<string, number>();
  readonly mayHaveRun = new Set<string>();
  readonly running = new Map<string, Running>();
  readonly withdrawn = new Set<string>();
  readonly lostServers = new Map<string, Set<string>>();
  readonly states = new Map(SERVERS.map((server) => [server.name, "live"]));
  limits = new Map<string, number>();
  lent = { slots: 0, servers: [] as readonly core.ServerInfo[], at: 0 };

  check(condition: boolean, message: string): void {
    if (!condition) throw new Error(message);
  }

  takeEffect(effect: core.DispatchEffect, now: number): void {
    switch (effect.kind) {
      case "start":
        return this.#takeStart(effect, now);
      case "stop":
        this.running.delete(effect.requestId);
        this.mayHaveRun.add(effect.requestId);
        return;
      case "refuse":
        return this.#takeRefusal(effect.requestId, effect.refusal);
      case "suspect":
      case "ask_capacity":
        return;
    }
  }

  #listNear(): Running[] {
    return [...this.running.values()].filter((one) => !isFar(one.server));
  }

  /** What runs in another failure domain was granted there, and lately. */
  #checkLent(request: core.Request, server: string, now: number): void {
    const own =
      [...this.running.values()].filter((one) =>
        isFar(one.server) && one.request.className === request.className
      ).length;
    this.check(own < this.lent.slots, "more running elsewhere than granted");
    this.check(
      now - this.lent.at <= core.constants.GRANT_VALID_MS,
      "an old grant of another failure domain was used",
    );
    this.check(
      this.lent.servers.some((info) => info.name === server),
      "a server that was not lent was used",
    );
    this.check(
      !this.lostServers.has(request.fingerprint),
      "a suspect was sent to another failure domain",
    );
  }

  #takeStart(
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
    now: number,
  ): void {
    const { request, server } = effect;
    if (isFar(server.name)) this.#checkLent(request, server.name, now);
    this.check(this.open.has(request.id), "started a closed request");
    this.check(!this.running.has(request.id), "two attempts at one time");
    this.check(
      request.repeatable || !this.mayHaveRun.has(request.id),
      "a request that may not be repeated ran twice",
    );
    this.check(
      isFar(server.name) || this.states.get(server.name) === "live",
      "work on a leaving server",
    );
    this.check(!this.withdrawn.has(request.keyId), "work for a withdrawn key");
    const lost = this.lostServers.get(request.fingerprint)?.size ?? 0;
    this.check(
      lost < core.constants.POISON_LIMIT,
      "a poison request took a third server",
    );
    const copies =
      [...this.running.values()].filter((one) =>
        one.request.fingerprint === request.fingerprint
      ).length;
    this.check(lost === 0 || copies === 0, "two copies of a suspect at a time");
    const own =
      this.#listNear().filter((one) =>
        one.request.kind === request.kind &&
        one.request.className === request.className
      ).length;
    const limit = this.limits.get(request.className) ?? Infinity;
    const share = this.#countShare(request);
    this.check(
      isFar(server.name) || own < Math.max(limit, share),
      "more running than granted",
    );
    this.running.set(request.id, {
      request,
      attempt: effect.attempt,
      server: server.name,
    });
  }

  /** Slots that a class may take in its turns, whatever was granted. */
  #countShare(request: core.Request): number {
    const live =
      SERVERS.filter((server) =>
        this.states.get(server.name) === "live" &&
        (server.pool === "engines") === (request.kind === "generate")
      ).length;
    const share =
      CLASSES.find((part) => part.name === request.className)?.share ?? 0;
    return Math.ceil(share * live * POOL.slots);
  }

  #takeRefusal(requestId: string, refusal: core.Refusal): void {
    const request = this.open.get(requestId);
    this.check(request !== undefined, "refused a closed request");
    this.check(
      refusal.ran !== "no" || !this.mayHaveRun.has(requestId),
      `"not run" of a request that may have run`,
    );
    const forLoad = refusal.code === "overloaded" ||
      refusal.code === "deadline_exceeded";
    if (forLoad && request !== undefined) this.#checkTier(request);
    this.close(requestId);
  }

  /** No lower tier holds a slot beyond its share, where it could give way. */
  #checkTier(refused: core.Request): void {
    const same = this.#listNear().filter((one) =>
      one.request.kind === refused.kind
    );
    const live =
      SERVERS.filter((server) =>
        this.states.get(server.name) === "live" &&
        (server.pool === "engines") === (refused.kind === "generate")
      ).length;
    const slots = live * POOL.slots;
    const lower = same.filter((one) => {
      const own = same.filter((other) =>
        other.request.className === one.request.className
      ).length;
      const share = CLASSES.find((part) =>
        part.name === one.request.className
      )?.share ?? 0;
      return one.request.tier > refused.tier && one.request.repeatable &&
        own > Math.min(
            Math.ceil(share * slots),
            this.limits.get(one.request.className) ?? Infinity,
          );
    });
    this.check(lower.length === 0, "refused while lower work held a slot");
  }

  close(requestId: string): void {
    this.open.delete(requestId);
    this.finals.set(requestId, (this.finals.get(requestId) ?? 0) + 1);
  }
}

function isFar(server: string): boolean {
  return FAR_SERVERS.some((info) => info.name === server);
}

class Harness {
  readonly oracle = new Oracle();
  readonly dispatcher = new core.Dispatcher({
    failureDomain: "a",
    host: "h0",
    random: utils.createRandom(1),
  });
  now = 0;
  count = 0;

  /** With `lending`, another failure domain may lend slots. */
  constructor({ lending }: { readonly lending: boolean }) {
    const pools = lending ? [...POOLS, FAR_POOL] : POOLS;
    this.send({
      kind: "configured",
      configuration: testing.buildConfiguration([...CLASSES, ...pools]),
    });
    this.send({ kind: "servers_changed", servers: SERVERS });
    this.send({ kind: "hosts_changed", hosts: ["h0", "h1"] });
  }

  send(event: core.DispatchEvent): void {
    this.dispatcher.handle(event, this.now)
      .forEach((effect) => this.oracle.takeEffect(effect, this.now));
  }

  run(next: Step): void {
    switch (next.kind) {
      case "arrive":
        return this.#runArrive(next);
      case "advance":
        this.now += next.ms;
        return this.send({ kind: "ticked" });
      case "finish":
        return this.#runFinish(next.pick);
      case "fail":
        return this.#runFail(next);
      case "late":
        return this.#runLate(next);
      case "cancel":
        return this.#runCancel(next.pick);
      case "withdraw":
        this.oracle.withdrawn.add(`key${next.customer}`);
        return this.send({
          kind: "key_withdrawn",
          keyId: `key${next.customer}`,
        });
      case "server":
        return this.#runServer(next);
      case "grant":
        return this.#runGrant(next);
      case "lost":
        this.oracle.limits = new Map();
        return this.send({ kind: "grants_lost" });
      case "lend":
        return this.#runLend(next);
      case "report":
        return this.send({
          kind: "load_reported",
          report: {
            server: SERVERS[next.pick % SERVERS.length].name,
            running: next.running,
            waiting: 0,
            cacheFree: 1,
          },
        });
    }
  }

  #runArrive(next: Extract<Step, { kind: "arrive" }>): void {
    const keyId = `key${next.customer}`;
    // The front refuses withdrawn keys before the dispatcher sees them.
    if (this.oracle.withdrawn.has(keyId)) return;
    this.count += 1;
    const request: core.Request = {
      id: `r${this.count}`,
      customer: `c${next.customer}`,
      keyId,
      className: `tier${next.tier}`,
      tier: next.tier,
      target: next.call ? "rooms" : "model",
      kind: next.call ? "call" : "generate",
      pools: [],
      promptTokens: 10,
      maxTokens: 10,
      prefix: "",
      fingerprint: next.poison === 0 ? `poison/${next.call}` : `f${this.count}`,
      repeatable: !next.call || next.repeatable,
      arrivedAt: this.now,
      startBy: this.now + 1_000,
      targetMs: 500,
      targetBetweenMs: 50,
      weight: 1,
    };
    this.oracle.open.set(request.id, request);
    this.send({ kind: "arrived", request });
  }

  #pickRunning(at: number): Running | undefined {
    const running = [...this.oracle.running.values()];
    return running.length === 0 ? undefined : running[at % running.length];
  }

  #runFinish(at: number): void {
    const one = this.#pickRunning(at);
    if (one === undefined) return;
    const { id: requestId } = one.request;
    this.oracle.running.delete(requestId);
    this.oracle.lostServers.delete(one.request.fingerprint);
    this.oracle.close(requestId);
    this.send({ kind: "finished", requestId, attempt: one.attempt, tokens: 5 });
  }

  #runFail(next: Extract<Step, { kind: "fail" }>): void {
    const one = this.#pickRunning(next.pick);
    if (one === undefined) return;
    const { id: requestId, fingerprint } = one.request;
    const { attempt } = one;
    const unrun = next.failure === "not_sent" || next.failure === "refused";
    const tokens = unrun ? 0 : next.tokens;
    if (tokens > 0) {
      this.send({ kind: "progressed", requestId, attempt, tokens });
    }
    this.oracle.running.delete(requestId);
    if (!unrun) this.oracle.mayHaveRun.add(requestId);
    if (next.failure === "connection_lost") {
      const lost = this.oracle.lostServers.get(fingerprint) ?? new Set();
      this.oracle.lostServers.set(fingerprint, lost.add(one.server));
    }
    this.send({
      kind: "failed",
      requestId,
      attempt,
      failure: next.failure,
      answerStarted: tokens > 0,
      resumable: one.request.kind === "generate",
    });
  }

  #runLate(next: Extract<Step, { kind: "late" }>): void {
    const retried = [...this.oracle.running.values()]
      .filter((one) => one.attempt > 1);
    if (retried.length === 0) return;
    const one = retried[next.pick % retried.length];
    const ended = { requestId: one.request.id, attempt: one.attempt - 1 };
    this.send(
      next.whole ? { kind: "finished", ...ended, tokens: 5 } : {
        kind: "failed",
        ...ended,
        failure: "connection_lost",
        answerStarted: false,
        resumable: false,
      },
    );
  }

  #runCancel(at: number): void {
    const open = [...this.oracle.open.keys()];
    if (open.length === 0) return;
    const requestId = open[at % open.length];
    this.oracle.close(requestId);
    this.send({ kind: "cancelled", requestId });
  }

  #runServer(next: Extract<Step, { kind: "server" }>): void {
    const server = SERVERS[next.pick % SERVERS.length];
    this.oracle.states.set(server.name, next.state);
    const servers = SERVERS.flatMap((info) => {
      const state = this.oracle.states.get(info.name);
      return state === "live" || state === "leaving"
        ? [{ ...info, state }]
        : [];
    }) as core.ServerInfo[];
    this.send({ kind: "servers_changed", servers });
  }

  #runGrant(next: Extract<Step, { kind: "grant" }>): void {
    const limited = CLASSES.slice(next.from);
    this.oracle.limits = new Map(
      limited.map((part) => [part.name, next.slots]),
    );
    const grants = POOLS.map((pool) => ({
      pool: pool.name,
      limits: limited.map((part) => ({
        className: part.name,
        slots: next.slots,
      })),
      lowestTierElsewhere: next.lowest,
      queuedElsewhere: [],
      short: [],
      recallForTier: next.recall,
      runningElsewhere: SERVERS.filter((info) => info.pool === pool.name)
        .map((info) => ({ server: info.name, running: next.elsewhere })),
    }));
    this.send({ kind: "granted", grants, asOf: this.now });
  }

  #runLend(next: Extract<Step, { kind: "lend" }>): void {
    const servers = FAR_SERVERS.slice(0, next.servers);
    this.oracle.lent = { slots: next.slots, servers, at: this.now };
    this.send({
      kind: "overflow_granted",
      failureDomain: "b",
      servers,
      asOf: this.now,
      grants: [{
        pool: FAR_POOL.name,
        limits: CLASSES.map((part) => ({
          className: part.name,
          slots: next.slots,
        })),
        lowestTierElsewhere: 0,
        queuedElsewhere: [],
        short: [],
        recallForTier: 0,
        runningElsewhere: [],
      }],
    });
  }

  /** Lets all time run out: every request must have got exactly one end. */
  settle(): void {
    for (let round = 0; round < 200 && this.oracle.open.size > 0; round += 1) {
      this.#runFinish(0);
      this.now += 500;
      this.send({ kind: "ticked" });
    }
    this.oracle.check(this.oracle.open.size === 0, "a request got no end");
    this.oracle.check(
      [...this.oracle.finals.values()].every((count) => count === 1),
      "a request got two ends",
    );
    const left = this.dispatcher.countOpen();
    this.oracle.check(left.running + left.queued === 0, "state left behind");
    const busy = this.dispatcher.inspect().pools.some((pool) =>
      pool.running !== 0
    );
    this.oracle.check(!busy, "slots left in use");
  }
}

tap.t.test("the dispatcher keeps its promises in any history", {
  timeout: 600_000,
}, (t) => {
  fc.assert(
    fc.property(
      // Alone, a failure domain must decide at once what else may wait for word
      // of others.
      fc.boolean(),
      fc.array(step, { minLength: 1, maxLength: 60, size: "max" }),
      (lending, steps) => {
        const harness = new Harness({ lending });
        steps.forEach((next) => harness.run(next));
        harness.settle();
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass(`${RUNS} histories, seed ${SEED}`);
  t.end();
});
