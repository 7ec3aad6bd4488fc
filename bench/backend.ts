/**
 * Backend servers in virtual time: engines by their model, plain services by
 * drawn times, and what is lost when a server goes.
 */
import type * as core from "@banyangrade/core";
import * as engineModel from "@banyangrade/engine/model.ts";
import * as utils from "@banyangrade/utils";
import type * as measureModule from "./measure.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Time until a poison request brings its server down, in ms. */
const POISON_MS = 200;
/** Time that the server is down after that, in ms. */
const POISON_DOWN_MS = 20_000;
/** Time until an attempt at a server that is gone fails, in ms. */
const REFUSED_MS = 1;

/** One backend server. */
export interface Server {
  info: core.ServerInfo;
  /** Ordered away and paid for no longer. */
  gone: boolean;
  readonly pool: core.PoolPart;
  readonly engine: engineModel.EngineModel;
  readonly work: Map<string, Work>;
  alive: boolean;
  stepping: boolean;
}

/** A host, as far as servers know it. */
export interface WorkOwner {
  readonly name: string;
  /** Where each of its running requests is. */
  readonly places: Map<string, { server: Server; key: string }>;
}

/** An attempt at a server. */
export interface Work {
  readonly host: WorkOwner;
  readonly request: core.Request;
  readonly attempt: number;
  readonly offset: number;
  tokens: number;
}

/** Options of {@link Backend}. */
export interface BackendOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly measure: measureModule.Measure;
  readonly random: utils.Random;
  /** Whether engines are told the requests' tiers. */
  readonly priorities: boolean;
  readonly getOutputTokens: (requestId: string) => number;
  /** Tells a host of the progress or the end of its attempt. */
  readonly onEvent: (host: WorkOwner, event: core.DispatchEvent) => void;
  /** Told when a server came or went. */
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

  /** Lists the servers of a pool that work and are not leaving. */
  listLive(pool: core.PoolPart): Server[] {
    return this.servers.filter((server) =>
      server.pool === pool && server.alive && server.info.state === "live"
    );
  }

  /** Lists the attempts that run in a failure domain for a target. */
  listWork(
    failureDomain: string,
    target: string,
  ): { readonly work: Work; readonly pool: core.PoolPart }[] {
    return this.servers.filter((server) =>
      server.alive && server.pool.failureDomain === failureDomain &&
      server.pool.targets.includes(target)
    ).flatMap((server) =>
      [...server.work.values()].map((work) => ({ work, pool: server.pool }))
    );
  }

  /** Begins an attempt. */
  start(
    host: WorkOwner,
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
  ): void {
    const { timeline } = this.#options;
    const { request, attempt, offset } = effect;
    const work = { host, request, attempt, offset, tokens: 0 };
    const server = this.servers.find((one) =>
      one.info.name === effect.server.name
    );
    if (server === undefined || !server.alive) {
      timeline.after(REFUSED_MS, () => this.#fail(work, "not_sent"));
      return;
    }
    const key = `${request.id}#${attempt}`;
    server.work.set(key, work);
    host.places.set(request.id, { server, key });
    if (request.fingerprint === "poison") {
      this.#crashSoon(server, { key, work });
    }
    if (request.kind === "call") return this.#startCall(server, { key, work });
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

  /** Ends an attempt that its host gave up. */
  stop(host: WorkOwner, requestId: string): void {
    const place = host.places.get(requestId);
    if (place === undefined) return;
    // The tokens stay with the caller; what is lost is the prompt's work.
    place.server.work.delete(place.key);
    place.server.engine.cancel(place.key);
    host.places.delete(requestId);
  }

  /** Takes a server down with all it runs; it is back after `downMs`, if finite. */
  crash(server: Server, downMs: number): void {
    if (!server.alive) return;
    server.alive = false;
    const lost = [...server.work.values()];
    server.work.clear();
    server.engine.clear();
    server.stepping = false;
    lost.forEach((work) => this.#fail(work, "connection_lost"));
    this.#options.onChange();
    if (Number.isFinite(downMs)) {
      this.#options.timeline.after(downMs, () => this.restart(server));
    }
  }

  /** Brings a server back, unless it was ordered away. */
  restart(server: Server): void {
    if (server.gone) return;
    server.alive = true;
    this.#options.onChange();
  }

  #crashSoon(
    server: Server,
    { key, work }: { readonly key: string; readonly work: Work },
  ): void {
    this.#options.timeline.after(POISON_MS, () => {
      if (server.work.get(key) !== work) return;
      this.#options.measure.poisoned.add(server.info.name);
      this.crash(server, POISON_DOWN_MS);
    });
  }

  /** A plain service runs its slots side by side; the rest wait in it. */
  #startCall(
    server: Server,
    { key, work }: { readonly key: string; readonly work: Work },
  ): void {
    const { random, scenario, timeline } = this.#options;
    const busy = Math.max(1, server.work.size / server.pool.slots);
    const ms = utils.drawExponential(random, scenario.serviceMs * busy);
    timeline.after(ms, () => {
      if (server.work.get(key) !== work) return;
      server.work.delete(key);
      work.tokens = 1;
      this.#finish(server, work);
    });
  }

  #step(server: Server): void {
    server.stepping = server.alive && !server.engine.isIdle();
    if (!server.stepping) return;
    const result = server.engine.step();
    this.#options.timeline.after(result.ms, () => {
      if (!server.alive) return;
      result.tokens.forEach((key) => this.#passToken(server, key));
      result.finished.forEach((key) => {
        const work = server.work.get(key);
        if (work === undefined) return;
        server.work.delete(key);
        this.#finish(server, work);
      });
      this.#step(server);
    });
  }

  #passToken(server: Server, key: string): void {
    const work = server.work.get(key);
    if (work === undefined) return;
    work.tokens += 1;
    const { attempt, tokens, request: { id: requestId } } = work;
    this.#options.measure.recordToken(requestId, this.#options.timeline.now);
    this.#options.onEvent(work.host, {
      kind: "progressed",
      requestId,
      attempt,
      tokens,
    });
  }

  #finish(server: Server, work: Work): void {
    const { measure, timeline } = this.#options;
    const { id: requestId } = work.request;
    const tokens = work.offset + work.tokens;
    work.host.places.delete(requestId);
    if (server.pool.spot) measure.spotTokens += work.tokens;
    measure.recordFinished(requestId, { now: timeline.now, tokens });
    this.#options.onEvent(work.host, {
      kind: "finished",
      requestId,
      attempt: work.attempt,
      tokens,
    });
  }

  #fail(work: Work, failure: core.AttemptFailure): void {
    const { id: requestId } = work.request;
    work.host.places.delete(requestId);
    if (!this.#options.priorities) {
      this.#options.measure.recordLost(work.tokens);
    }
    this.#options.onEvent(work.host, {
      kind: "failed",
      requestId,
      attempt: work.attempt,
      failure,
      answerStarted: work.tokens + work.offset > 0,
      resumable: work.request.kind === "generate",
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
    work: new Map(),
    alive: true,
    stepping: false,
  };
}
