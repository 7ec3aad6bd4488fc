/** State of backend servers and pools as a host sees them, and the conditions for sending requests to them. */
import type * as brittleRecords from "./brittle_records.ts";
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as request from "./request.ts";

/** One backend server as this host sees it. */
export interface ServerState {
  readonly info: events.ServerInfo;
  readonly pool: config.PoolPart;
  /** Number of requests of this host that the server is running. */
  running: number;
  /** Number of running requests of this host by tier; the tier is the index. */
  readonly runningByTier: number[];
  /** Prompt tokens of this host that await prefill. */
  prompting: number;
  /** Number of its slots that this host prefers to use. */
  preferredSlots: number;
  /** Running requests and prompt tokens that await prefill of all other hosts, as reported at time `at`. */
  elsewhere?: {
    readonly running: number;
    readonly prompting: number;
    readonly at: number;
  };
  /** Number of suspect requests among the running ones of this host. */
  suspects: number;
  /** Last load report, with the number of requests that this host was running when it arrived. */
  report?: events.LoadReport & { readonly ownRunning: number };
  /** Number of failures since the last success. */
  consecutiveFailures: number;
  /** Number of ejections since the last success; the ejection time grows with it. */
  ejections: number;
  /** Time until which the server is ejected, monotonic ms. */
  ejectedUntil: number;
  /** Time at which the slow start of the server begins, monotonic ms. */
  admittedAt: number;
  /** Time until which the server has asked this host to send it nothing, monotonic ms. */
  restUntil: number;
  /** Time until which the server is considered cold, monotonic ms. */
  coldUntil: number;
  /** Time until which the server is cold by its entry in the list, monotonic ms. */
  listedColdUntil: number;
  /** Whether the server has responded since its last ejection or its last attempt without a response. */
  isResponding: boolean;
  /** Earliest time of the next attempt if the server is ejected and does not respond, monotonic ms. */
  retryAt: number;
  /** Time until which the server is avoided because it refused a call as full, monotonic ms. */
  fullUntil: number;
  /** Moving average of the time between tokens, in ms; 0 before the first sample. */
  tokenMs: number;
  /** When the server last sent data to this host, monotonic ms. */
  lastResponseAt: number;
  /** When nothing last listened at its address, monotonic ms; undefined if something always did. */
  refusedAt?: number;
  /** Since when the server is overdue; undefined if it has answered since, or never was. */
  overdueSince?: number;
  /** Time until which an overdue server is avoided, monotonic ms. */
  overdueUntil?: number;
  /**
   * Time until which the server counts as untried, because its failure domain was
   * ejected and has not answered since; monotonic ms.
   */
  untriedUntil?: number;
  /** Time until which a request tries the failure domain of an untried server, monotonic ms. */
  trialUntil?: number;
}

/** State of one pool, with the slots that this host may use. */
export interface PoolState {
  readonly part: config.PoolPart;
  /** Whether the pool belongs to another failure domain. */
  readonly remote: boolean;
  /** Time at which the demand for the current grant was sent. */
  grantedAt: number;
  /** Slots granted to this host by class; classes without an entry are not limited. */
  limits: ReadonlyMap<string, number>;
  /** Number of slots of all its live servers. */
  totalSlots: number;
  /** Number of requests of this host that the pool is running. */
  running: number;
  readonly runningByClass: Map<string, number>;
  /** Lowest tier that other hosts run beyond its guaranteed share; 0 if there is none. */
  lowestTierElsewhere: number;
  /** Tier that waits for slots which this host uses beyond its grant; 0 if there is none. */
  recallForTier: number;
  /** Number of requests queued at other hosts, by tier. */
  queuedElsewhere: readonly events.TierCount[];
  /** Classes that were granted fewer slots than demanded. */
  short: readonly string[];
  /** Moving average of the time between tokens of all its servers, in ms. */
  tokenMs: number;
}

/**
 * Creates the state of a pool without grants.
 *
 * @example
 * const pool = createPoolState(part, false);
 */
export function createPoolState(
  part: config.PoolPart,
  remote: boolean,
): PoolState {
  return {
    part,
    remote,
    grantedAt: Number.NEGATIVE_INFINITY,
    limits: new Map(),
    totalSlots: 0,
    running: 0,
    runningByClass: new Map(),
    lowestTierElsewhere: 0,
    recallForTier: 0,
    queuedElsewhere: [],
    short: [],
    tokenMs: 0,
  };
}

/**
 * Estimates the number of requests that a server is running: those of this host
 * plus those of other hosts according to the last recent count. Without a recent
 * count the estimate uses the server's last load report and adds the requests
 * that this host has started and ended since then. It is never less than the
 * number of requests that this host is running on the server.
 *
 * @example
 * const load = estimateLoad(server, now);
 */
export function estimateLoad(server: ServerState, now: number): number {
  const { elsewhere } = server;
  if (
    elsewhere !== undefined && now - elsewhere.at < constants.GRANT_VALID_MS
  ) {
    return server.running + elsewhere.running;
  }
  if (server.report === undefined) return server.running;
  const reported = server.report.running + server.report.waiting;
  const changeSinceReport = server.running - server.report.ownRunning;
  return Math.max(server.running, reported + changeSinceReport);
}

/**
 * Estimates the prompt tokens of all hosts that await prefill on a server.
 *
 * @example
 * const tokens = estimatePrompting(server, now);
 */
export function estimatePrompting(server: ServerState, now: number): number {
  const { elsewhere, prompting } = server;
  const isRecent = elsewhere !== undefined &&
    now - elsewhere.at < constants.GRANT_VALID_MS;
  return prompting + (isRecent ? elsewhere.prompting : 0);
}

/**
 * Returns the number of slots of a server: its own if it declares it, otherwise
 * that of its pool.
 *
 * @example
 * const share = server.running / getSlots(server);
 */
export function getSlots(server: ServerState): number {
  return server.info.slots ?? server.pool.slots;
}

/**
 * Returns the names by which a server and its service are known as brittle.
 *
 * @example
 * brittle.isBrittle(toBrittleTarget(server), now);
 */
export function toBrittleTarget(
  { info: { name, pool } }: Pick<ServerState, "info">,
): brittleRecords.BrittleTarget {
  return { server: name, service: pool };
}

/**
 * Returns how many requests a server may run now: its slots, or fewer during its
 * slow start.
 *
 * @example
 * const free = getCapacity(server, now) - estimateLoad(server, now);
 */
export function getCapacity(server: ServerState, now: number): number {
  const age = now - server.admittedAt;
  if (age >= constants.SLOW_START_MS) {
    return getSlots(server);
  }
  const share = Math.max(0, age) / constants.SLOW_START_MS;
  return Math.max(1, Math.floor(getSlots(server) * share));
}

/**
 * Whether a server is in its slow start.
 *
 * @example
 * servers.some((server) => isStartingSlowly(server, now));
 */
export function isStartingSlowly(server: ServerState, now: number): boolean {
  return now - server.admittedAt < constants.SLOW_START_MS;
}

/**
 * Whether the load of a server is below its capacity. During the slow start of
 * a plain service its capacity bounds the requests of this host only. If it
 * bounded those of all hosts, requests of other hosts would keep the server at
 * its first slot.
 */
function isBelowCapacity(server: ServerState, now: number): boolean {
  const load = estimateLoad(server, now);
  const capacity = getCapacity(server, now);
  if (server.pool.serves === "engine") return load < capacity;
  return server.running < capacity && load < getSlots(server);
}

/**
 * Whether a server is in use: neither leaving nor ejected.
 *
 * @example
 * servers.filter((server) => isInUse(server, now));
 */
export function isInUse(server: ServerState, now: number): boolean {
  return server.info.state === "live" && now >= server.ejectedUntil;
}

/**
 * Whether a server is overdue: an attempt waits there beyond its limit or did so
 * recently, and the server has sent nothing since; see `unresponsive_servers.ts`.
 *
 * @example
 * servers.filter((server) => !isOverdue(server, now));
 */
export function isOverdue(server: ServerState, now: number): boolean {
  return server.overdueSince !== undefined &&
    now < (server.overdueUntil ?? Number.NEGATIVE_INFINITY);
}

/**
 * Whether a server's failure domain was ejected and has not answered since.
 *
 * @example
 * if (isUntried(server, now)) recordTrial(state, server);
 */
export function isUntried({ untriedUntil }: ServerState, now: number): boolean {
  return untriedUntil !== undefined && now < untriedUntil;
}

/**
 * Whether a request avoids a server while another one is usable: the server is
 * overdue, or its failure domain is untried. One request at a time tries such a
 * domain. An at-most-once request does not, because it would wait there until its
 * deadline.
 *
 * @example
 * servers.filter((server) => !isAvoided(server, { now, repeatable: true }));
 */
export function isAvoided(
  server: ServerState,
  { now, repeatable }: {
    readonly now: number;
    readonly repeatable: boolean;
  },
): boolean {
  const { trialUntil = Number.NEGATIVE_INFINITY } = server;
  const mayTry = repeatable && now >= trialUntil;
  return isOverdue(server, now) || (isUntried(server, now) && !mayTry);
}

/**
 * Whether a server is considered cold and its pool limits the requests to cold
 * servers.
 *
 * @example
 * const permits = isCold(server, now) ? coldPermits : undefined;
 */
export function isCold(server: ServerState, now: number): boolean {
  return now < server.coldUntil && server.pool.coldStart !== undefined;
}

/**
 * Ejects a server: it gets no requests until the given time, then starts slowly.
 *
 * @example
 * ejectServer(server, now + constants.EJECT_MS);
 */
export function ejectServer(server: ServerState, until: number): void {
  server.ejectedUntil = until;
  server.admittedAt = until;
  server.isResponding = false;
}

/**
 * Leaves a server alone until the given time, as it asked for; then it starts
 * slowly. A shorter rest than one that is already granted changes nothing.
 *
 * @example
 * suspendServer(server, now + 3_000);
 */
export function suspendServer(server: ServerState, until: number): void {
  server.restUntil = Math.max(server.restUntil, until);
  if (until > server.ejectedUntil) ejectServer(server, until);
}

/**
 * Whether a request that was assigned to a server may still be sent there: the
 * server has neither asked for rest nor started to leave since.
 *
 * @example
 * maySendTo(server, now);
 */
export function maySendTo(server: ServerState, now: number): boolean {
  return server.info.state === "live" && now >= server.restUntil;
}

/**
 * Ejects a server that accepts no connections and marks it as cold for the time
 * after the ejection: its process may have ended, so the process that next
 * answers under its name has just started.
 *
 * @example
 * ejectUnreachableServer(server, now + constants.EJECT_MS);
 */
export function ejectUnreachableServer(
  server: ServerState,
  until: number,
): void {
  ejectServer(server, until);
  const startMs = server.pool.coldStart?.startMs ?? 0;
  server.coldUntil = Math.max(server.coldUntil, until + startMs);
}

/**
 * Whether a server is in a failure domain in which a request may run, and has the
 * software version that began its stream, if it has begun.
 *
 * @example
 * servers.filter((server) => mayRunAt(server, request));
 */
export function mayRunAt(
  { info: { failureDomain, software: version = "" } }: ServerState,
  { allowedDomains, software }: Pick<
    request.Request,
    "allowedDomains" | "software"
  >,
): boolean {
  if (software !== undefined && software !== version) return false;
  if (allowedDomains === undefined) return true;
  return failureDomain !== undefined && allowedDomains.includes(failureDomain);
}

/**
 * Whether a server may be sent one more request: it is in use, below this host's
 * connection limit, its load is below its capacity, and it did not just refuse a
 * request as full.
 *
 * @example
 * servers.filter((server) => hasRoom(server, now));
 */
export function hasRoom(server: ServerState, now: number): boolean {
  return isInUse(server, now) && now >= server.fullUntil &&
    // Requests of other hosts do not count against this host's connections.
    server.running < (server.info.ownLimit ?? Number.POSITIVE_INFINITY) &&
    isBelowCapacity(server, now);
}

/**
 * Whether this host's grant allows one more request of a class in a pool. In its
 * own failure domain a host without a grant is limited only by the load that it
 * sees. In another failure domain it uses only granted slots, and only while the
 * grant is recent, because the capacity leader there may have granted the slots
 * to a higher tier since.
 *
 * @example
 * isWithinGrant(pool, { className: "lookup", now });
 */
export function isWithinGrant(
  pool: PoolState,
  { className, now }: { readonly className: string; readonly now: number },
): boolean {
  const limit = pool.limits.get(className);
  const running = pool.runningByClass.get(className) ?? 0;
  if (!pool.remote) return limit === undefined || running < limit;
  const fresh = now - pool.grantedAt <= constants.GRANT_VALID_MS;
  return fresh && limit !== undefined && running < limit;
}

/**
 * Records a complete response, which resets the failure counts of a server.
 *
 * @example
 * recordSuccess(server);
 */
export function recordSuccess(server: ServerState): void {
  server.consecutiveFailures = 0;
  server.ejections = 0;
}
