/** Test helper: simulates many hosts that place requests on engines of different speeds and exchange their statuses once per second. */
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const DOMAINS = ["a", "b", "c"];
const SLOTS = 16;
/** Length of a simulation step, in ms. */
const STEP_MS = 5;
/** Interval of the statuses of hosts, and delay after which other hosts have them, in ms. */
const STATUS_MS = { interval: 1_000, delay: 500 };
/** Time between two events of a stream at an engine with factor 1, in ms. */
const EVENT_MS = 33;
/** Prompt tokens that an engine with factor 1 prefills per ms. */
const PREFILL_TOKENS_PER_MS = 61.2;
/** Transient slow phases of an engine: factor, duration in ms, and share of the time. */
const SLOW_PHASE = { factor: 2.5, ms: 600, share: 0.15 };
/** Time for which an idle connection of a host to an engine stays open, in ms. */
const CONNECTION_IDLE_MS = 10_000;

/** Options of {@link simulateEngines}. */
export interface EngineSimulationOptions {
  /** Factors of the times of the engines, in turn. */
  readonly factors: readonly number[];
  readonly engines: number;
  readonly hosts: number;
  readonly perSecond: { readonly short: number; readonly long: number };
  readonly seconds: number;
  readonly seed: number;
  /** An engine that becomes permanently slower at a time, in ms. */
  readonly slowdown?: {
    readonly engine: number;
    readonly at: number;
    readonly factor: number;
  };
  /** Changes a status before other hosts receive it; a host whose status is dropped is not heard of. */
  readonly changeStatus?: (
    status: core.HostStatus,
    host: number,
  ) => core.HostStatus | undefined;
}

/** A request that started its response. */
export interface SimulatedStart {
  readonly isShort: boolean;
  readonly firstMs: number;
  /** Index of the engine. */
  readonly engine: number;
  readonly isRemote: boolean;
  readonly isNewConnection: boolean;
  readonly arrivedAt: number;
}

/** Figures of a simulation. */
export interface EngineSimulation {
  readonly starts: readonly SimulatedStart[];
  /** Largest time that an engine needed for the prompts that awaited prefill, in ms, after the first 4 s. */
  readonly maxBacklogMs: number;
  /** Requests that were not answered, by the end of the run or at all. */
  readonly unanswered: number;
  /** Dispatchers of the hosts at the end. */
  readonly dispatchers: readonly core.Dispatcher[];
}

interface SimulatedRequest {
  readonly id: string;
  readonly attempt: number;
  readonly host: number;
  readonly isShort: boolean;
  readonly promptTokens: number;
  readonly arrivedAt: number;
  readonly events: number;
  readonly isNewConnection: boolean;
  promptLeft: number;
  produced: number;
  reported: number;
}

interface SimulatedEngine {
  readonly name: string;
  readonly factor: number;
  readonly failureDomain: string;
  /** Offset of its slow phases, in ms. */
  readonly phase: number;
  requests: SimulatedRequest[];
}

/**
 * Runs hosts with the real dispatcher against simulated engines.
 *
 * @example
 * simulateEngines({ factors: [0.7, 0.7, 1.7], engines: 63, hosts: 45, ...rest }).maxBacklogMs;
 */
export function simulateEngines(
  options: EngineSimulationOptions,
): EngineSimulation {
  return new Simulation(options).run();
}

class Simulation {
  readonly #options: EngineSimulationOptions;
  readonly #random: utils.Random;
  readonly #engines: readonly SimulatedEngine[];
  readonly #dispatchers: readonly core.Dispatcher[];
  readonly #statuses = new core.HostStatuses();
  /** When each connection of a host to an engine was last used. */
  readonly #connections: Map<string, number>[];
  readonly #pending = new Map<
    string,
    { readonly isShort: boolean; readonly promptTokens: number }
  >();
  readonly #starts: SimulatedStart[] = [];
  #now = 0;
  #arrived = 0;
  #maxBacklogMs = 0;

  constructor(options: EngineSimulationOptions) {
    this.#options = options;
    this.#random = utils.createRandom(utils.hashSeed(`load-${options.seed}`));
    this.#engines = Array.from({ length: options.engines }, (_, index) => ({
      name: `engine-${index}@1`,
      factor: options.factors[index % options.factors.length],
      failureDomain: DOMAINS[Math.floor(index / 3) % DOMAINS.length],
      phase: this.#random.below(SLOW_PHASE.ms / SLOW_PHASE.share),
      requests: [],
    }));
    this.#connections = Array.from({ length: options.hosts }, () => new Map());
    this.#dispatchers = Array.from(
      { length: options.hosts },
      (_, host) => this.#createDispatcher(host),
    );
  }

  run(): EngineSimulation {
    const { seconds, hosts } = this.#options;
    while (this.#now < 1_000 * seconds) {
      this.#arriveAll();
      this.#engines.forEach((engine) => this.#advance(engine));
      for (let host = 0; host < hosts; host += 1) this.#sendStatus(host);
      this.#now += STEP_MS;
    }
    return {
      starts: this.#starts,
      maxBacklogMs: this.#maxBacklogMs,
      unanswered: this.#arrived - this.#starts.length,
      dispatchers: this.#dispatchers,
    };
  }

  #createDispatcher(host: number): core.Dispatcher {
    const { seed } = this.#options;
    const failureDomain = DOMAINS[host % DOMAINS.length];
    const dispatcher = new core.Dispatcher({
      failureDomain,
      host: `h${host}`,
      random: utils.createRandom(utils.hashSeed(`host-${host}-${seed}`)),
      comparesPrompts: true,
      isConnected: (server) => this.#isConnected(host, server),
    });
    const pool = {
      ...testing.POOL,
      serves: "engine" as const,
      slots: SLOTS,
      failureDomain,
    };
    const configuration = testing.buildConfiguration([
      testing.buildClass(1),
      testing.buildClass(2),
      pool,
    ]);
    dispatcher.handle({ kind: "configured", configuration }, 0);
    dispatcher.handle({
      kind: "servers_changed",
      servers: this.#engines.map(({ name, failureDomain }) => ({
        name,
        failureDomain,
        pool: pool.name,
        url: "",
        state: "live",
      })),
    }, 0);
    dispatcher.setDivision("rooms", { kind: "divided", shortShare: 0.4 });
    return dispatcher;
  }

  #isConnected(host: number, server: string): boolean {
    const usedAt = this.#connections[host].get(server);
    return usedAt !== undefined && this.#now - usedAt < CONNECTION_IDLE_MS;
  }

  #arriveAll(): void {
    const { short, long } = this.#options.perSecond;
    const draw = (rate: number) => this.#random.next() < rate * STEP_MS / 1_000;
    if (draw(short / 2)) this.#arrive(true);
    if (draw(short / 2)) this.#arrive(true);
    if (draw(long)) this.#arrive(false);
  }

  #arrive(isShort: boolean): void {
    const host = this.#random.below(this.#options.hosts);
    const id = `r${this.#arrived}`;
    const promptTokens = isShort ? 600 : 6_000 + this.#random.below(6_000);
    const prefix = isShort || this.#random.below(2) === 0
      ? ""
      : `session-${this.#random.below(300)}`;
    this.#arrived += 1;
    this.#pending.set(id, { isShort, promptTokens });
    const request: core.Request = {
      ...testing.buildRequest(id, { tier: isShort ? 1 : 2 }),
      kind: "generate",
      promptTokens,
      prefix,
      arrivedAt: this.#now,
      startBy: this.#now + 3_000,
    };
    this.#handle(host, { kind: "arrived", request });
  }

  #handle(host: number, event: core.DispatchEvent): void {
    this.#dispatchers[host].handle(event, this.#now).forEach((effect) => {
      if (effect.kind === "start") this.#start(host, effect);
    });
  }

  #start(
    host: number,
    { request, attempt, server }: Extract<
      core.DispatchEffect,
      { kind: "start" }
    >,
  ): void {
    const known = this.#pending.get(request.id);
    const engine = this.#engines.find(({ name }) => name === server.name);
    if (known === undefined || engine === undefined) return;
    engine.requests.push({
      id: request.id,
      attempt,
      host,
      ...known,
      arrivedAt: request.arrivedAt,
      events: known.isShort ? 30 : 45,
      isNewConnection: !this.#isConnected(host, server.name),
      promptLeft: known.promptTokens,
      produced: 0,
      reported: 0,
    });
    this.#connections[host].set(server.name, this.#now);
  }

  /** Advances an engine: it prefills prompts one after another while it decodes. */
  #advance(engine: SimulatedEngine): void {
    const cycleMs = SLOW_PHASE.ms / SLOW_PHASE.share;
    const isSlow = (this.#now + engine.phase) % cycleMs < SLOW_PHASE.ms;
    const factor = this.#getFactor(engine) * (isSlow ? SLOW_PHASE.factor : 1);
    let prefill = PREFILL_TOKENS_PER_MS * STEP_MS / factor;
    const admitted = engine.requests.slice(0, SLOTS);
    const backlog = engine.requests
      .reduce((sum, { promptLeft }) => sum + promptLeft, 0);
    const isPrefilling = backlog > 0;
    if (this.#now > 4_000) {
      const backlogMs = backlog * engine.factor / PREFILL_TOKENS_PER_MS;
      this.#maxBacklogMs = Math.max(this.#maxBacklogMs, backlogMs);
    }
    const decoded = STEP_MS / (factor * EVENT_MS * (isPrefilling ? 1.5 : 1));
    admitted.forEach((request) => {
      if (request.promptLeft === 0) request.produced += decoded;
      const used = Math.min(prefill, request.promptLeft);
      request.promptLeft -= used;
      prefill -= used;
      if (request.promptLeft === 0 && request.produced === 0) {
        request.produced = 1;
        this.#recordFirst(engine, request);
      }
    });
    admitted.forEach((request) => this.#report(engine, request));
  }

  /** Returns the factor of an engine's times outside of its slow phases. */
  #getFactor(engine: SimulatedEngine): number {
    const { slowdown } = this.#options;
    const isSlower = slowdown !== undefined && this.#now >= slowdown.at &&
      this.#engines[slowdown.engine] === engine;
    return engine.factor * (isSlower ? slowdown.factor : 1);
  }

  #recordFirst(engine: SimulatedEngine, request: SimulatedRequest): void {
    const { isShort, isNewConnection, arrivedAt, host } = request;
    this.#starts.push({
      isShort,
      isNewConnection,
      arrivedAt,
      firstMs: this.#now - arrivedAt,
      engine: this.#engines.indexOf(engine),
      isRemote: engine.failureDomain !== DOMAINS[host % DOMAINS.length],
    });
  }

  #report(engine: SimulatedEngine, request: SimulatedRequest): void {
    const tokens = Math.min(request.events, Math.floor(request.produced));
    if (tokens === request.reported) return;
    request.reported = tokens;
    const event = { requestId: request.id, attempt: request.attempt, tokens };
    this.#connections[request.host].set(engine.name, this.#now);
    this.#handle(request.host, { kind: "progressed", ...event });
    if (tokens < request.events) return;
    engine.requests = engine.requests.filter((one) => one !== request);
    this.#handle(request.host, { kind: "finished", ...event });
  }

  /** Publishes the status of a host when it is due, and takes in those of the others half an interval later. */
  #sendStatus(host: number): void {
    const phase = (this.#now + 7 * STEP_MS * host) % STATUS_MS.interval;
    if (phase === 0) this.#publishStatus(host);
    if (phase !== STATUS_MS.delay) return;
    const others = this.#statuses.sum(this.#now, { without: `h${host}` });
    this.#handle(host, {
      kind: "load_shared",
      hosts: others.hosts + 1,
      running: others.running,
      prompting: others.prompting,
      paces: others.paces ?? {},
      asOf: this.#now,
    });
  }

  #publishStatus(host: number): void {
    const dispatcher = this.#dispatchers[host];
    const status: core.HostStatus = {
      host: `h${host}`,
      incarnation: "1",
      at: this.#now,
      demand: {},
      running: dispatcher.countByEngine(),
      prompting: dispatcher.countPendingPrefill(),
      usage: {},
      suspects: [],
      paces: dispatcher.listPaces(this.#now),
    };
    const { changeStatus } = this.#options;
    const sent = changeStatus ? changeStatus(status, host) : status;
    if (sent === undefined) return;
    this.#statuses.record(sent, { now: this.#now, direct: true });
  }
}
