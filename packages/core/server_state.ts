/** One server and one pool as a host sees them, and what follows from that. */
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as request from "./request.ts";

/** One backend server as this host sees it. */
export interface ServerState {
  readonly info: events.ServerInfo;
  readonly pool: config.PoolPart;
  /** Requests of this host that it is running. */
  running: number;
  /** Its requests by tier, the tier being the index. */
  readonly runningByTier: number[];
  /** Prompt tokens of this host that it has not yet taken in. */
  prompting: number;
  /** Slots of it that this host prefers over those of other servers. */
  homeSlots: number;
  /** What other hosts run on it, and the prompt tokens of theirs that it has not yet read, as was told at `at`. */
  elsewhere?: {
    readonly running: number;
    readonly prompting: number;
    readonly at: number;
  };
  /** Suspect requests among them. */
  suspects: number;
  /** Last load report, the time it arrived and what this host had running then. */
  report?: events.LoadReport & { readonly ownRunning: number };
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
  /** When it last came into use, for the slow start. */
  admittedAt: number;
  /** Until when it is taken for cold, monotonic ms. */
  coldUntil: number;
  /** Moving average of the time between tokens, in ms; 0 before the first sample. */
  tokenMs: number;
}

/** What this host may use of one pool. */
export interface PoolState {
  readonly part: config.PoolPart;
  /** Whether it stands in another failure domain. */
  readonly foreign: boolean;
  /** When the demand was sent that its grant answers. */
  grantedAt: number;
  /** Slots granted to this host for the classes that are held back. */
  limits: ReadonlyMap<string, number>;
  /** Slots of all its live servers. */
  totalSlots: number;
  running: number;
  readonly runningByClass: Map<string, number>;
  lowestTierElsewhere: number;
  recallForTier: number;
  queuedElsewhere: readonly events.TierCount[];
  /** Classes that got fewer slots than were asked for. */
  short: readonly string[];
  /** Moving average of the time between tokens over its servers, in ms. */
  tokenMs: number;
}

/**
 * Makes the state of a pool of which nothing is granted yet.
 *
 * @example
 * const pool = createPoolState(part, false);
 */
export function createPoolState(
  part: config.PoolPart,
  foreign: boolean,
): PoolState {
  return {
    part,
    foreign,
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
 * Estimates what a server is running: this host's own work and what the
 * capacity leader told of the others'. Without recent word from the leader it
 * goes by the server's report, which lags, so this host's own starts and ends
 * since then are added; it can never be less than what this host itself has
 * running there.
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
  const since = server.running - server.report.ownRunning;
  return Math.max(server.running, reported + since);
}

/**
 * Estimates the prompt tokens that a server has not yet read, of all hosts.
 *
 * @example
 * const tokens = estimatePrompting(server, now);
 */
export function estimatePrompting(server: ServerState, now: number): number {
  const { elsewhere, prompting } = server;
  const known = elsewhere !== undefined &&
    now - elsewhere.at < constants.GRANT_VALID_MS;
  return prompting + (known ? elsewhere.prompting : 0);
}

/**
 * Returns the slots of a server: its own where it names them, else its pool's.
 *
 * @example
 * const share = server.running / getSlots(server);
 */
export function getSlots(server: ServerState): number {
  return server.info.slots ?? server.pool.slots;
}

/**
 * Returns how many requests the server may hold now: its pool's slots, fewer
 * during its slow start.
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
 * Whether the server is in use: neither leaving nor ejected.
 *
 * @example
 * servers.filter((server) => isInUse(server, now));
 */
export function isInUse(server: ServerState, now: number): boolean {
  return server.info.state === "live" && now >= server.ejectedUntil;
}

/**
 * Whether a server is taken for cold, and its pool bounds what cold ones get.
 *
 * @example
 * const turns = isCold(server, now) ? coldTurns : undefined;
 */
export function isCold(server: ServerState, now: number): boolean {
  return now < server.coldUntil && server.pool.coldStart !== undefined;
}

/**
 * Gives a server no work until a moment.
 *
 * @example
 * withdrawServer(server, now + constants.EJECT_MS);
 */
export function withdrawServer(server: ServerState, until: number): void {
  server.ejectedUntil = until;
  server.admittedAt = until;
}

/**
 * Does the same with a server that took no connection: it may have ended, and
 * what comes back under its name has just started.
 *
 * @example
 * abandonServer(server, now + constants.EJECT_MS);
 */
export function abandonServer(server: ServerState, until: number): void {
  withdrawServer(server, until);
  const startMs = server.pool.coldStart?.startMs ?? 0;
  server.coldUntil = Math.max(server.coldUntil, until + startMs);
}

/**
 * Whether a server stands where a request may run.
 *
 * @example
 * servers.filter((server) => mayRunAt(server, request));
 */
export function mayRunAt(
  { info: { failureDomain } }: ServerState,
  { homes }: Pick<request.Request, "homes">,
): boolean {
  if (homes === undefined) return true;
  return failureDomain !== undefined && homes.includes(failureDomain);
}

/**
 * Whether the server may be given one more request: it is not leaving, not
 * ejected, and holds less than what keeps it busy.
 *
 * @example
 * servers.filter((server) => hasRoom(server, now));
 */
export function hasRoom(server: ServerState, now: number): boolean {
  return isInUse(server, now) &&
    // What the other hosts run there takes none of this host's connections.
    server.running < (server.info.ownLimit ?? Number.POSITIVE_INFINITY) &&
    estimateLoad(server, now) < getCapacity(server, now);
}

/**
 * Whether the host's grant allows one more request of a class in a pool. In
 * its own failure domain a host without a grant uses what it sees; in another
 * one it uses only what it was granted, and only while the grant is fresh: its
 * leader may have given the slots to a higher tier since.
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
  if (!pool.foreign) return limit === undefined || running < limit;
  const fresh = now - pool.grantedAt <= constants.GRANT_VALID_MS;
  return fresh && limit !== undefined && running < limit;
}

/**
 * Records a whole answer: the server is well.
 *
 * @example
 * recordSuccess(server);
 */
export function recordSuccess(server: ServerState): void {
  server.consecutiveFailures = 0;
  server.ejections = 0;
}
