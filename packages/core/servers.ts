/**
 * The host's table of backend servers: what each is running as far as this
 * host can know, and whether it may be given more.
 */
import * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** One backend server as this host sees it. */
export interface ServerState {
  readonly info: events.ServerInfo;
  readonly pool: config.PoolPart;
  /** Requests of this host that it is running. */
  running: number;
  /** Prompt tokens of this host that it has not yet taken in. */
  prompting: number;
  /** Suspect requests among them. */
  suspects: number;
  /** Last load report, the time it arrived and what this host had running then. */
  report?: events.LoadReport & { readonly ownRunning: number };
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
  /** When it last came into use, for the slow start. */
  admittedAt: number;
  /** Moving average of the time between tokens, in ms; 0 before the first sample. */
  tokenMs: number;
}

/** What this host may use of one pool. */
export interface PoolState {
  readonly part: config.PoolPart;
  /** Slots granted to this host for the classes that are held back. */
  limits: ReadonlyMap<string, number>;
  /** Slots of all its live servers. */
  totalSlots: number;
  running: number;
  readonly runningByClass: Map<string, number>;
  lowestTierElsewhere: number;
  recallForTier: number;
  queuedElsewhere: readonly events.TierCount[];
  /** Moving average of the time between tokens over its servers, in ms. */
  tokenMs: number;
}

/** All backend servers and pools that the host knows. */
export class ServerTable {
  readonly #servers = new Map<string, ServerState>();
  readonly #pools = new Map<string, PoolState>();
  #byTarget = new Map<string, ServerState[]>();
  #infos: readonly events.ServerInfo[] = [];

  /** Takes over the pools of a configuration. */
  setPools(pools: ReadonlyMap<string, config.PoolPart>): void {
    [...this.#pools.keys()].filter((name) => !pools.has(name))
      .forEach((name) => this.#pools.delete(name));
    pools.forEach((part, name) => {
      const known = this.#pools.get(name);
      this.#pools.set(name, known ? { ...known, part } : createPoolState(part));
    });
    this.setServers(this.#infos);
  }

  /** Takes over the fleet's list of servers. */
  setServers(infos: readonly events.ServerInfo[]): void {
    this.#infos = infos;
    const listed = new Set(infos.map((info) => info.name));
    [...this.#servers.keys()].filter((name) => !listed.has(name))
      .forEach((name) => this.#servers.delete(name));
    infos.forEach((info) => this.#setServer(info));
    this.#indexTargets();
    this.#pools.forEach((pool) => {
      pool.totalSlots = countLiveSlots(this.#servers, pool.part.name);
    });
  }

  #setServer(info: events.ServerInfo): void {
    const pool = this.#pools.get(info.pool)?.part;
    if (pool === undefined) {
      this.#servers.delete(info.name);
      return;
    }
    const known = this.#servers.get(info.name);
    this.#servers.set(
      info.name,
      known ? Object.assign(known, { info, pool }) : {
        info,
        pool,
        running: 0,
        prompting: 0,
        suspects: 0,
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: 0,
        admittedAt: Number.NEGATIVE_INFINITY,
        tokenMs: 0,
      },
    );
  }

  #indexTargets(): void {
    this.#byTarget = new Map();
    this.#servers.forEach((server) =>
      server.pool.targets.forEach((target) => {
        const list = this.#byTarget.get(target);
        if (list === undefined) this.#byTarget.set(target, [server]);
        else list.push(server);
      })
    );
  }

  get(name: string): ServerState | undefined {
    return this.#servers.get(name);
  }

  getPool(name: string): PoolState | undefined {
    return this.#pools.get(name);
  }

  listPools(): PoolState[] {
    return [...this.#pools.values()];
  }

  listServers(): ServerState[] {
    return [...this.#servers.values()];
  }

  /** Lists the servers that offer a target, leaving and ejected ones included. */
  listFor(target: string): readonly ServerState[] {
    return this.#byTarget.get(target) ?? [];
  }

  /** Whether any server that offers a target may be given one more request. */
  hasRoomFor(target: string, now: number): boolean {
    return this.listFor(target).some((server) => hasRoom(server, now));
  }

  /** Records that an attempt began. */
  recordStart(server: ServerState, className: string): void {
    server.running += 1;
    const pool = this.#pools.get(server.info.pool);
    if (pool === undefined) return;
    pool.running += 1;
    pool.runningByClass.set(
      className,
      (pool.runningByClass.get(className) ?? 0) + 1,
    );
  }

  /** Records that an attempt ended, however it ended. */
  recordEnd(serverName: string, poolName: string, className: string): void {
    const server = this.#servers.get(serverName);
    if (server !== undefined) server.running -= 1;
    const pool = this.#pools.get(poolName);
    if (pool === undefined) return;
    pool.running -= 1;
    pool.runningByClass.set(
      className,
      (pool.runningByClass.get(className) ?? 1) - 1,
    );
  }

  /** Records a whole answer and how long it took between tokens. */
  recordSuccess(server: ServerState, tokenMs: number): void {
    server.consecutiveFailures = 0;
    server.ejections = 0;
    if (tokenMs <= 0) return;
    server.tokenMs = computeAverage(server.tokenMs, tokenMs);
    const pool = this.#pools.get(server.info.pool);
    if (pool !== undefined) {
      pool.tokenMs = computeAverage(pool.tokenMs, tokenMs);
    }
  }

  /** Records a failure; a server that fails again and again is ejected. */
  recordFailure(server: ServerState, now: number): void {
    server.consecutiveFailures += 1;
    if (server.consecutiveFailures < constants.EJECT_AFTER_FAILURES) return;
    const ms = Math.min(
      constants.EJECT_MAX_MS,
      constants.EJECT_MS * 2 ** server.ejections,
    );
    server.ejections += 1;
    server.consecutiveFailures = constants.EJECT_AFTER_FAILURES - 1;
    server.ejectedUntil = now + ms;
    server.admittedAt = now + ms;
  }

  /** Takes over a load report. */
  recordReport(report: events.LoadReport): void {
    const server = this.#servers.get(report.server);
    if (server === undefined) return;
    server.report = { ...report, ownRunning: server.running };
  }
}

function createPoolState(part: config.PoolPart): PoolState {
  return {
    part,
    limits: new Map(),
    totalSlots: 0,
    running: 0,
    runningByClass: new Map(),
    lowestTierElsewhere: 0,
    recallForTier: 0,
    queuedElsewhere: [],
    tokenMs: 0,
  };
}

function countLiveSlots(
  servers: ReadonlyMap<string, ServerState>,
  pool: string,
): number {
  return [...servers.values()]
    .filter(({ info }) => info.pool === pool && info.state === "live")
    .reduce((sum, server) => sum + server.pool.slots, 0);
}

/**
 * Whether the host's grant allows one more request of a class in a pool.
 *
 * @example
 * isWithinGrant(pool, "lookup");
 */
export function isWithinGrant(pool: PoolState, className: string): boolean {
  const limit = pool.limits.get(className);
  return limit === undefined ||
    (pool.runningByClass.get(className) ?? 0) < limit;
}

function computeAverage(average: number, sample: number): number {
  if (average === 0) return sample;
  return average + constants.EWMA_WEIGHT * (sample - average);
}

/**
 * Estimates what a server is running. A report lags, so this host's own starts
 * and ends since the report are added; it can never be less than what this
 * host itself has running there.
 *
 * @example
 * const load = estimateLoad(server);
 */
export function estimateLoad(server: ServerState): number {
  if (server.report === undefined) return server.running;
  const reported = server.report.running + server.report.waiting;
  const since = server.running - server.report.ownRunning;
  return Math.max(server.running, reported + since);
}

/**
 * Returns how many requests the server may hold now: its pool's slots, fewer
 * during its slow start.
 *
 * @example
 * const free = getCapacity(server, now) - estimateLoad(server);
 */
export function getCapacity(server: ServerState, now: number): number {
  const age = now - server.admittedAt;
  if (age >= constants.SLOW_START_MS) {
    return server.pool.slots;
  }
  const share = Math.max(0, age) / constants.SLOW_START_MS;
  return Math.max(1, Math.floor(server.pool.slots * share));
}

/**
 * Whether the server may be given one more request: it is not leaving, not
 * ejected, and holds less than what keeps it busy.
 *
 * @example
 * servers.filter((server) => hasRoom(server, now));
 */
export function hasRoom(server: ServerState, now: number): boolean {
  return server.info.state === "live" &&
    now >= server.ejectedUntil &&
    estimateLoad(server) < getCapacity(server, now);
}
