/**
 * Simulates backend servers in virtual time: engines by the engine model, other
 * services by randomly drawn durations, and the attempts lost in a crash.
 */
import type * as core from "@banyangrade/core";
import * as engineModel from "@banyangrade/engine/latency_model.js";
import * as utils from "@banyangrade/utils";
import type * as figureRecorder from "./figure_recorder.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Time until a poison request crashes its server, in ms. */
const POISON_CRASH_DELAY_MS = 200;
/** Time for which a server is down after a poison request, in ms. */
const POISON_DOWNTIME_MS = 20_000;
/** Time until an attempt on a server that is down fails, in ms. */
const CONNECTION_REFUSED_MS = 1;

/** A simulated backend server. */
export interface Server {
  info: core.ServerInfo;
  /** Whether the autoscaler removed the server, which then costs nothing. */
  gone: boolean;
  readonly pool: core.PoolPart;
  readonly engine: engineModel.EngineModel;
  readonly tasks: Map<string, Task>;
  alive: boolean;
  stepping: boolean;
}

/** The host that sent an attempt. */
export interface TaskOwner {
  readonly name: string;
  /** The server and the key of each running request, by request id. */
  readonly locations: Map<string, { server: Server; key: string }>;
}

/** An attempt that runs on a server. */
export interface Task {
  readonly host: TaskOwner;
  readonly request: core.Request;
  readonly attempt: number;
  readonly offset: number;
  tokens: number;
}

/** Options of {@link Backend}. */
export interface BackendOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly recorder: figureRecorder.FigureRecorder;
  readonly random: utils.Random;
  /** Whether engines receive the tiers of the requests. */
  readonly priorities: boolean;
  readonly getOutputTokens: (requestId: string) => number;
  /** Called with the progress and the end of each attempt. */
  readonly onEvent: (host: TaskOwner, event: core.DispatchEvent) => void;
  /** Called when a server starts or stops. */
  readonly onChange: () => void;
}

/** All backend servers of a run. */
export class Backend {
  readonly servers: Server[] = [];
  readonly #options: BackendOptions;

  constructor(options: BackendOptions) {
    this.#options = options;
    options.scenario.pools.forEach((pool) => {
      const count = options.scenario.servers.get(pool.name) ?? 0;
      for (let index = 0; index < count; index += 1) this.add(pool, index);
    });
  }

  /** Adds a server. */
  add(pool: core.PoolPart, index: number): Server {
    const server = createServer(pool, index);
    this.servers.push(server);
    return server;
  }

  /** Lists the servers of a pool that are up and not leaving. */
  listLive(pool: core.PoolPart): Server[] {
    return this.servers.filter((server) =>
      server.pool === pool && server.alive && server.info.state === "live"
    );
  }

  /**
   * Lists the attempts that run on the servers of a failure domain that serve a
   * target.
   */
  listTasks(
    failureDomain: string,
    target: string,
  ): { readonly task: Task; readonly pool: core.PoolPart }[] {
    return this.servers.filter((server) =>
      server.alive && server.pool.failureDomain === failureDomain &&
      server.pool.targets.includes(target)
    ).flatMap((server) =>
      [...server.tasks.values()].map((task) => ({
        task,
        pool: server.pool,
      }))
    );
  }

  /** Starts an attempt. */
  start(
    host: TaskOwner,
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
  ): void {
    const { timeline } = this.#options;
    const { request, attempt, offset } = effect;
    const task = { host, request, attempt, offset, tokens: 0 };
    const server = this.servers.find((one) =>
      one.info.name === effect.server.name
    );
    if (server === undefined || !server.alive) {
      timeline.after(
        CONNECTION_REFUSED_MS,
        () => this.#fail(task, "not_sent"),
      );
      return;
    }
    const key = `${request.id}#${attempt}`;
    server.tasks.set(key, task);
    host.locations.set(request.id, { server, key });
    if (request.fingerprint === "poison") {
      this.#scheduleCrash(server, { key, task });
    }
    if (request.kind === "call") return this.#startCall(server, { key, task });
    const outputTokens = this.#options.getOutputTokens(request.id) - offset;
    server.engine.add({
      id: key,
      promptTokens: request.promptTokens + offset,
      prefix: request.prefix,
      outputTokens: Math.max(1, outputTokens),
      priority: this.#options.priorities ? request.tier : 0,
    });
    if (!server.stepping) this.#step(server);
  }

  /** Cancels an attempt that its host stopped. */
  stop(host: TaskOwner, requestId: string): void {
    const location = host.locations.get(requestId);
    if (location === undefined) return;
    // The caller keeps the tokens received so far; only the prefill is lost.
    location.server.tasks.delete(location.key);
    location.server.engine.cancel(location.key);
    host.locations.delete(requestId);
  }

  /**
   * Crashes a server with all its attempts; restarts it after `downMs`, if
   * finite.
   */
  crash(server: Server, downMs: number): void {
    if (!server.alive) return;
    server.alive = false;
    const lost = [...server.tasks.values()];
    server.tasks.clear();
    server.engine.clear();
    server.stepping = false;
    lost.forEach((task) => this.#fail(task, "connection_lost"));
    this.#options.onChange();
    if (Number.isFinite(downMs)) {
      this.#options.timeline.after(downMs, () => this.restart(server));
    }
  }

  /** Restarts a server, unless the autoscaler removed it. */
  restart(server: Server): void {
    if (server.gone) return;
    server.alive = true;
    this.#options.onChange();
  }

  #scheduleCrash(
    server: Server,
    { key, task }: {
      readonly key: string;
      readonly task: Task;
    },
  ): void {
    this.#options.timeline.after(POISON_CRASH_DELAY_MS, () => {
      if (server.tasks.get(key) !== task) return;
      this.#options.recorder.poisoned.add(server.info.name);
      this.crash(server, POISON_DOWNTIME_MS);
    });
  }

  /**
   * Runs a call on a service that is not an engine. Its mean duration grows in
   * proportion to the load above the number of slots.
   */
  #startCall(
    server: Server,
    { key, task }: {
      readonly key: string;
      readonly task: Task;
    },
  ): void {
    const { random, scenario, timeline } = this.#options;
    const loadFactor = Math.max(1, server.tasks.size / server.pool.slots);
    const ms = utils.drawExponential(random, scenario.serviceMs * loadFactor);
    timeline.after(ms, () => {
      if (server.tasks.get(key) !== task) return;
      server.tasks.delete(key);
      task.tokens = 1;
      this.#finish(server, task);
    });
  }

  #step(server: Server): void {
    server.stepping = server.alive && !server.engine.isIdle();
    if (!server.stepping) return;
    const result = server.engine.step();
    this.#options.timeline.after(result.ms, () => {
      if (!server.alive) return;
      result.tokens.forEach((key) => this.#handleToken(server, key));
      result.finished.forEach((key) => {
        const task = server.tasks.get(key);
        if (task === undefined) return;
        server.tasks.delete(key);
        this.#finish(server, task);
      });
      this.#step(server);
    });
  }

  #handleToken(server: Server, key: string): void {
    const task = server.tasks.get(key);
    if (task === undefined) return;
    task.tokens += 1;
    const { attempt, tokens, request: { id: requestId } } = task;
    this.#options.recorder.recordToken(requestId, this.#options.timeline.now);
    this.#options.onEvent(task.host, {
      kind: "progressed",
      requestId,
      attempt,
      tokens,
    });
  }

  #finish(server: Server, task: Task): void {
    const { recorder, timeline } = this.#options;
    const { id: requestId } = task.request;
    const tokens = task.offset + task.tokens;
    task.host.locations.delete(requestId);
    if (server.pool.spot) recorder.spotTokens += task.tokens;
    recorder.recordFinished(requestId, { now: timeline.now, tokens });
    this.#options.onEvent(task.host, {
      kind: "finished",
      requestId,
      attempt: task.attempt,
      tokens,
    });
  }

  #fail(task: Task, failure: core.AttemptFailure): void {
    const { id: requestId } = task.request;
    task.host.locations.delete(requestId);
    if (!this.#options.priorities) {
      this.#options.recorder.recordDiscarded(task.tokens);
    }
    this.#options.onEvent(task.host, {
      kind: "failed",
      requestId,
      attempt: task.attempt,
      failure,
      answerStarted: task.tokens + task.offset > 0,
      resumable: task.request.kind === "generate",
    });
  }
}

function createServer(pool: core.PoolPart, index: number): Server {
  return {
    info: {
      name: `${pool.name}-${index}`,
      pool: pool.name,
      url: "",
      state: "live",
    },
    pool,
    gone: false,
    engine: new engineModel.EngineModel(),
    tasks: new Map(),
    alive: true,
    stepping: false,
  };
}
