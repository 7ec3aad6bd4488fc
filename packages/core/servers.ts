/** Table of the backend servers and pools that a host uses. */
import * as lru from "lru-cache";
import * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import * as partition from "./partition.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/** All backend servers and pools known to a host. */
export class ServerTable {
  readonly #host: string;
  readonly #failureDomain: string;
  readonly #lentByDomain = new Map<string, readonly events.ServerInfo[]>();
  #hosts: readonly string[] = [];
  readonly #servers = new Map<string, serverState.ServerState>();
  readonly #pools = new Map<string, serverState.PoolState>();
  #poolsByTarget = new Map<string, serverState.PoolState[]>();
  #byTarget = new Map<string, serverState.ServerState[]>();
  #preferredByTarget = new Map<string, serverState.ServerState[]>();
  #infos: readonly events.ServerInfo[] = [];
  /**
   * Servers that have announced their leaving, whatever state they are listed
   * with. They are remembered when they are no longer listed, because an entry
   * that expired during a store outage comes back.
   */
  readonly #leaving = new lru.LRUCache<string, true>(constants.SERVER_CACHE);

  /** Ends of the rests that servers asked for, monotonic ms; remembered like their leaving. */
  readonly #rests = new lru.LRUCache<string, number>(constants.SERVER_CACHE);

  constructor(
    { host, failureDomain }: {
      readonly host: string;
      readonly failureDomain: string;
    },
  ) {
    this.#host = host;
    this.#failureDomain = failureDomain;
  }

  /** Sets the live hosts of the failure domain. */
  setHosts(hosts: readonly string[]): void {
    this.#hosts = hosts;
    this.#allocateAllPreferredSlots();
  }

  /** Sets the pools of a configuration; pools that remain keep their state. */
  setPools(pools: ReadonlyMap<string, config.PoolPart>): void {
    [...this.#pools.keys()].filter((name) => !pools.has(name))
      .forEach((name) => this.#pools.delete(name));
    pools.forEach((part, name) => {
      const known = this.#pools.get(name);
      const remote = part.failureDomain !== this.#failureDomain;
      this.#pools.set(
        name,
        known ? { ...known, part } : serverState.createPoolState(part, remote),
      );
    });
    this.#poolsByTarget = indexByTarget(
      this.listPools(),
      (pool) => pool.part.targets,
    );
    this.#applyInfos();
  }

  /** Sets the backend servers of this failure domain, as listed by the fleet. */
  setServers(infos: readonly events.ServerInfo[], now: number): void {
    this.#infos = infos;
    this.#applyInfos();
    infos.forEach(({ name, coldMs = 0 }) => {
      const server = this.#servers.get(name);
      if (server === undefined || coldMs === 0) return;
      server.coldUntil = Math.max(server.coldUntil, now + coldMs);
      server.listedColdUntil = Math.max(server.listedColdUntil, now + coldMs);
    });
  }

  /** Sets the backend servers that another failure domain lends. */
  setLentServers(
    failureDomain: string,
    infos: readonly events.ServerInfo[],
  ): void {
    this.#lentByDomain.set(failureDomain, infos);
    this.#applyInfos();
  }

  /** Leaves a server alone until the given time; see {@link serverState.suspendServer}. */
  recordRest(name: string, until: number): void {
    this.#rests.set(name, Math.max(until, this.#rests.get(name) ?? until));
    const server = this.#servers.get(name);
    if (server !== undefined) serverState.suspendServer(server, until);
  }

  /**
   * Records that a server has announced its leaving. It is in use again only as
   * another incarnation, which has another name.
   */
  recordLeaving(name: string): void {
    if (!this.#servers.has(name) || this.#leaving.has(name)) return;
    this.#leaving.set(name, true);
    this.#applyInfos();
  }

  #applyInfos(): void {
    const infos = [...this.#infos, ...[...this.#lentByDomain.values()].flat()];
    const listed = new Set(infos.map((info) => info.name));
    [...this.#servers.keys()].filter((name) => !listed.has(name))
      .forEach((name) => this.#servers.delete(name));
    infos.map((info) =>
      this.#leaving.has(info.name)
        ? { ...info, state: "leaving" as const }
        : info
    ).forEach((info) => this.#setServer(info));
    this.#byTarget = indexByTarget(
      [...this.#servers.values()],
      (server) => server.pool.targets,
    );
    this.#pools.forEach((pool) => {
      pool.totalSlots = countLiveSlots(this.#servers, pool.part.name);
    });
    this.#allocateAllPreferredSlots();
  }

  #allocateAllPreferredSlots(): void {
    this.#pools.forEach((_, pool) => this.#allocatePreferredSlots(pool));
    const preferred = [...this.#servers.values()]
      .filter((server) => server.preferredSlots > 0);
    this.#preferredByTarget = indexByTarget(
      preferred,
      (server) => server.pool.targets,
    );
  }

  #allocatePreferredSlots(pool: string): void {
    const live = this.#listByPool(pool).filter(({ info }) =>
      info.state === "live"
    );
    const preferred = partition.computePreferredSlots(
      live.map(({ info, pool: { slots } }) => ({ name: info.name, slots })),
      { hosts: this.#hosts, host: this.#host },
    );
    this.#listByPool(pool).forEach((server) => {
      server.preferredSlots = preferred.get(server.info.name) ?? 0;
    });
  }

  #listByPool(pool: string): serverState.ServerState[] {
    return [...this.#servers.values()].filter(({ info }) => info.pool === pool);
  }

  /**
   * Lists the servers of a pool for which this host needs the counts of other
   * hosts: all servers of a small pool, otherwise those that it prefers or uses.
   * The list is empty for plain services: their calls end before the counts
   * arrive, so the counts would only keep slots idle.
   */
  listShared(pool: string): events.ServerCount[] {
    if (this.#pools.get(pool)?.part.serves === "service") return [];
    const own = this.#listByPool(pool);
    const all = own.length <= constants.MAX_SHARED_SERVERS;
    return own.filter((server) =>
      all || server.preferredSlots > 0 || server.running > 0
    ).map(({ info, running }) => ({ server: info.name, running }));
  }

  /** Records how many requests other hosts ran on servers at time `at`. */
  recordElsewhere(counts: readonly events.ServerCount[], at: number): void {
    counts.forEach(({ server, running }) => {
      const known = this.#servers.get(server);
      if (known !== undefined) known.elsewhere = { running, prompting: 0, at };
    });
  }

  /** Records the load of all other hosts at time `at`, except for plain services, whose calls end before the counts arrive. */
  recordAllElsewhere(
    { running, prompting }: {
      readonly running: Readonly<Record<string, number>>;
      readonly prompting: Readonly<Record<string, number>>;
    },
    at: number,
  ): void {
    this.#servers.forEach((server, name) => {
      if (server.pool.serves === "service") return;
      server.elsewhere = {
        running: running[name] ?? 0,
        prompting: prompting[name] ?? 0,
        at,
      };
    });
  }

  #setServer(info: events.ServerInfo): void {
    const pool = this.#pools.get(info.pool)?.part;
    if (pool === undefined) {
      this.#servers.delete(info.name);
      return;
    }
    const known = this.#servers.get(info.name);
    if (known !== undefined) return void Object.assign(known, { info, pool });
    const server: serverState.ServerState = {
      info,
      pool,
      running: 0,
      preferredSlots: 0,
      runningByTier: [],
      prompting: 0,
      suspects: 0,
      consecutiveFailures: 0,
      ejections: 0,
      ejectedUntil: 0,
      restUntil: 0,
      admittedAt: Number.NEGATIVE_INFINITY,
      listedColdUntil: 0,
      coldUntil: Number.NEGATIVE_INFINITY,
      isResponding: false,
      retryAt: Number.NEGATIVE_INFINITY,
      fullUntil: Number.NEGATIVE_INFINITY,
      tokenMs: 0,
      lastResponseAt: Number.NEGATIVE_INFINITY,
    };
    const restUntil = this.#rests.get(info.name);
    if (restUntil !== undefined) serverState.suspendServer(server, restUntil);
    this.#servers.set(info.name, server);
  }

  get(name: string): serverState.ServerState | undefined {
    return this.#servers.get(name);
  }

  getPool(name: string): serverState.PoolState | undefined {
    return this.#pools.get(name);
  }

  listPools(): serverState.PoolState[] {
    return [...this.#pools.values()];
  }

  /** Lists the pools that serve a target. */
  listPoolsFor(target: string): readonly serverState.PoolState[] {
    return this.#poolsByTarget.get(target) ?? [];
  }

  listServers(): serverState.ServerState[] {
    return [...this.#servers.values()];
  }

  /** Lists the servers that serve a target, including leaving and ejected ones. */
  listFor(target: string): readonly serverState.ServerState[] {
    return this.#byTarget.get(target) ?? [];
  }

  /** Lists the servers in the pools and failure domains in which a request may run, including leaving and ejected ones. */
  listEligible(
    request: Pick<
      request.Request,
      "target" | "pools" | "allowedDomains" | "software"
    >,
  ): readonly serverState.ServerState[] {
    const { target, pools } = request;
    return this.listFor(target).filter((server) =>
      serverState.mayRunAt(server, request) &&
      (pools.length === 0 || pools.includes(server.info.pool))
    );
  }

  /** Lists the servers that serve a target and have preferred slots of this host. */
  listPreferredFor(target: string): readonly serverState.ServerState[] {
    return this.#preferredByTarget.get(target) ?? [];
  }

  /** Whether any server that serves a target may be sent one more request. */
  hasRoomFor(target: string, now: number): boolean {
    return this.listFor(target).some((server) =>
      serverState.hasRoom(server, now)
    );
  }

  /** Records the start of an attempt. */
  recordStart(
    server: serverState.ServerState,
    { className, tier }: Pick<request.Request, "className" | "tier">,
  ): void {
    server.running += 1;
    server.runningByTier[tier] = (server.runningByTier[tier] ?? 0) + 1;
    const pool = this.#pools.get(server.info.pool);
    if (pool === undefined) return;
    pool.running += 1;
    pool.runningByClass.set(
      className,
      (pool.runningByClass.get(className) ?? 0) + 1,
    );
  }

  /** Records the end of an attempt, whatever its outcome. */
  recordEnd(ended: {
    readonly server: string;
    readonly pool: string;
    readonly request: Pick<request.Request, "className" | "tier">;
  }): void {
    const { className, tier } = ended.request;
    const server = this.#servers.get(ended.server);
    if (server !== undefined) {
      server.running -= 1;
      server.runningByTier[tier] = (server.runningByTier[tier] ?? 1) - 1;
    }
    const pool = this.#pools.get(ended.pool);
    if (pool === undefined) return;
    pool.running -= 1;
    pool.runningByClass.set(
      className,
      (pool.runningByClass.get(className) ?? 1) - 1,
    );
  }

  /** Adds a sample of the time between tokens of a server, in ms. */
  recordSpeed(server: serverState.ServerState, tokenMs: number): void {
    server.tokenMs = computeAverage(server.tokenMs, tokenMs);
    const pool = this.#pools.get(server.info.pool);
    if (pool !== undefined) {
      pool.tokenMs = computeAverage(pool.tokenMs, tokenMs);
    }
  }

  /**
   * Records a failed attempt. A server is ejected after several consecutive
   * failures, or at once if it accepts no connections or is no longer at its
   * address.
   */
  recordFailure(
    server: serverState.ServerState,
    { failure, now }: {
      readonly failure: events.AttemptFailure;
      readonly now: number;
    },
  ): void {
    // Several attempts may fail by the same loss of a server; it counts once.
    if (now < server.ejectedUntil) return;
    const isAbsent = failure === "not_sent" || failure === "misdirected";
    server.consecutiveFailures += isAbsent ? constants.EJECT_AFTER_FAILURES : 1;
    if (server.consecutiveFailures < constants.EJECT_AFTER_FAILURES) return;
    const ms = Math.min(
      constants.EJECT_MAX_MS,
      constants.EJECT_MS * 2 ** server.ejections,
    );
    server.ejections += 1;
    server.consecutiveFailures = constants.EJECT_AFTER_FAILURES - 1;
    if (failure === "not_sent") {
      serverState.ejectUnreachableServer(server, now + ms);
    } else serverState.ejectServer(server, now + ms);
  }

  /**
   * Uses the servers of a pool again that were ejected while this host could not
   * reach them, with a slow start. They have not restarted, or they would have
   * another name. Rests that they asked for continue.
   */
  admitReachable(pool: string, now: number): void {
    this.#listByPool(pool).forEach((server) => {
      server.consecutiveFailures = 0;
      server.ejections = 0;
      server.untriedUntil = undefined;
      server.overdueUntil = undefined;
      server.coldUntil = server.listedColdUntil;
      server.ejectedUntil = Math.min(
        server.ejectedUntil,
        Math.max(now, server.restUntil),
      );
      server.admittedAt = Math.max(now, server.ejectedUntil);
    });
  }

  /** Records a load report of a server. */
  recordReport(report: events.LoadReport): void {
    const server = this.#servers.get(report.server);
    if (server === undefined) return;
    server.report = { ...report, ownRunning: server.running };
  }
}

function indexByTarget<Entry>(
  entries: readonly Entry[],
  getTargets: (entry: Entry) => readonly string[],
): Map<string, Entry[]> {
  const index = new Map<string, Entry[]>();
  entries.forEach((entry) =>
    getTargets(entry).forEach((target) => {
      const list = index.get(target);
      if (list === undefined) index.set(target, [entry]);
      else list.push(entry);
    })
  );
  return index;
}

function countLiveSlots(
  servers: ReadonlyMap<string, serverState.ServerState>,
  pool: string,
): number {
  return [...servers.values()]
    .filter(({ info }) => info.pool === pool && info.state === "live")
    .reduce((sum, server) => sum + serverState.getSlots(server), 0);
}

function computeAverage(average: number, sample: number): number {
  if (average === 0) return sample;
  return average + constants.EWMA_WEIGHT * (sample - average);
}
