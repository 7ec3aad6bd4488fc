/** Whether a request that arrives can still make its target, and who gives way. */
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import type * as serverState from "./server_state.ts";
import * as constants from "./constants.ts";

/** What must be known to find the pools that may serve something. */
export interface Routed {
  readonly target: string;
  /** Empty means every pool with the target. */
  readonly pools: readonly string[];
}

/** What an arriving request would wait behind. */
export interface Backlog {
  /** Queued requests of its tier or a higher one for the same target. */
  readonly ahead: number;
  /** Expected time one of them holds a slot, in ms. */
  readonly serviceMs: number;
  /** Slots that serve the target. */
  readonly slots: number;
}

/**
 * Estimates how long a request waits for a slot, in ms.
 *
 * @example
 * estimateWait({ ahead: 10, serviceMs: 1000, slots: 5 }); // 2000
 */
export function estimateWait(backlog: Backlog): number {
  if (backlog.ahead === 0) return 0;
  if (backlog.slots <= 0) return Number.POSITIVE_INFINITY;
  return (backlog.ahead / backlog.slots) * backlog.serviceMs;
}

/**
 * Counts what an arriving request would wait behind: the queues of this host
 * and of the others, against all slots of the pools, since every host's queue
 * draws on them.
 *
 * @example
 * measureBacklog(request, { lanes, pools, serviceMs: 900 });
 */
export function measureBacklog(
  wanted: request.Request,
  options: {
    readonly lanes: readonly queue.Lane[];
    readonly pools: readonly serverState.PoolState[];
    readonly serviceMs: number;
  },
): Backlog {
  const before = options.lanes.filter((lane) =>
    lane.target === wanted.target &&
    (lane.tier < wanted.tier || (lane.tier === wanted.tier && !lane.late))
  );
  const here = before
    .reduce((sum, lane) => sum + countAhead(lane, wanted), 0);
  const waiting = options.lanes
    .filter((lane) => lane.tier <= wanted.tier && lane.target === wanted.target)
    .reduce((sum, lane) => sum + lane.size, 0);
  // A queued request is demand for each pool that could serve it, so the
  // largest count over the pools is the number of requests.
  const elsewhere = Math.max(
    0,
    ...options.pools.map((pool) =>
      pool.queuedElsewhere.filter((one) => one.tier <= wanted.tier)
        .reduce((sum, one) => sum + one.count, 0)
    ),
  );
  // The other hosts' queues hold the same customers in about the same parts.
  const part = waiting === 0 ? 1 : here / waiting;
  return {
    ahead: here + elsewhere * part,
    serviceMs: options.serviceMs,
    slots: options.pools.reduce((sum, pool) => sum + pool.totalSlots, 0),
  };
}

function countAhead(lane: queue.Lane, wanted: request.Request): number {
  return lane.className === wanted.className
    ? lane.countAhead(wanted.customer)
    : lane.size;
}

/**
 * Counts the slots that a class keeps in a pool whatever higher tiers ask.
 * Rounded up, so that no class with a share starves in a small pool.
 *
 * @example
 * countGuaranteedSlots(0.05, 40); // 2
 */
export function countGuaranteedSlots(share: number, slots: number): number {
  return Math.ceil(share * slots);
}

/**
 * Whether lower work runs, on this host or another, in one of the pools. As
 * long as it does, a request of `tier` is not refused for want of capacity.
 *
 * @example
 * hasLowerWork(request.tier, pools);
 */
export function hasLowerWork(
  tier: number,
  pools: readonly serverState.PoolState[],
): boolean {
  return pools.some((pool) => pool.lowestTierElsewhere > tier);
}

/**
 * Returns when to come back: as long as the backlog takes, within bounds.
 *
 * @example
 * computeRetryAfter(350); // 1000
 */
export function computeRetryAfter(
  waitMs: number,
  leastMs: number = constants.RETRY_AFTER_MIN_MS,
): number {
  if (!Number.isFinite(waitMs)) return constants.RETRY_AFTER_MAX_MS;
  return Math.min(
    constants.RETRY_AFTER_MAX_MS,
    Math.max(leastMs, Math.ceil(waitMs)),
  );
}
