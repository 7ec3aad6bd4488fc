/** Estimates for admission control: queue wait, guaranteed slots and Retry-After times. */
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import type * as serverState from "./server_state.ts";
import * as constants from "./constants.ts";

/** Selects the pools that may serve a request or a lane. */
export interface PoolSelector {
  readonly target: string;
  /** Names of pools; empty means every pool with the target. */
  readonly pools: readonly string[];
}

/** The queue ahead of an arriving request. */
export interface Backlog {
  /** Requests for the same target that would be served first. */
  readonly ahead: number;
  /** Expected time that a request holds a slot, in ms. */
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
 * Measures the queue ahead of an arriving request. Counts the queues of all hosts
 * against all slots of the pools, because every host's queue uses these slots.
 *
 * @example
 * measureBacklog(request, { lanes, pools, serviceMs: 900 });
 */
export function measureBacklog(
  request: request.Request,
  options: {
    readonly lanes: readonly queue.Lane[];
    readonly pools: readonly serverState.PoolState[];
    readonly serviceMs: number;
  },
): Backlog {
  const lanesAhead = options.lanes.filter((lane) =>
    lane.target === request.target &&
    (lane.tier < request.tier ||
      (lane.tier === request.tier && !lane.missedTarget))
  );
  const aheadHere = lanesAhead
    .reduce((sum, lane) => sum + countAhead(lane, request), 0);
  const queuedHere = options.lanes
    .filter((lane) =>
      lane.tier <= request.tier && lane.target === request.target
    )
    .reduce((sum, lane) => sum + lane.size, 0);
  // A queued request counts as demand for each pool that could serve it, so the
  // number of requests is the largest count of one pool, not the sum.
  const queuedElsewhere = Math.max(
    0,
    ...options.pools.map((pool) =>
      pool.queuedElsewhere.filter((demand) => demand.tier <= request.tier)
        .reduce((sum, demand) => sum + demand.count, 0)
    ),
  );
  // Other hosts' queues are assumed to hold each customer's requests in the same
  // proportion as the queue of this host.
  const aheadShare = queuedHere === 0 ? 1 : aheadHere / queuedHere;
  return {
    ahead: aheadHere + queuedElsewhere * aheadShare,
    serviceMs: options.serviceMs,
    slots: options.pools.reduce((sum, pool) => sum + pool.totalSlots, 0),
  };
}

/** Counts the requests of a lane that would be served before an arriving request. */
function countAhead(lane: queue.Lane, request: request.Request): number {
  return lane.className === request.className
    ? lane.countAhead(request.customer)
    : lane.size;
}

/**
 * Counts the slots of a pool that are guaranteed to a class whatever the demand of
 * higher tiers. Rounded up, so that no class with a share starves in a small pool.
 *
 * @example
 * countGuaranteedSlots(0.05, 40); // 2
 */
export function countGuaranteedSlots(share: number, slots: number): number {
  return Math.ceil(share * slots);
}

/**
 * Whether other hosts run work of a tier lower than `tier` beyond its guaranteed
 * share in one of the pools. While they do, a request of `tier` is not refused for
 * lack of capacity.
 *
 * @example
 * hasLowerTierWorkElsewhere(request.tier, pools);
 */
export function hasLowerTierWorkElsewhere(
  tier: number,
  pools: readonly serverState.PoolState[],
): boolean {
  return pools.some((pool) => pool.lowestTierElsewhere > tier);
}

/**
 * Computes the Retry-After time in ms: the expected wait, within bounds.
 *
 * @example
 * computeRetryAfter(350); // 1000
 */
export function computeRetryAfter(
  waitMs: number,
  minMs: number = constants.RETRY_AFTER_MIN_MS,
): number {
  if (!Number.isFinite(waitMs)) return constants.RETRY_AFTER_MAX_MS;
  return Math.min(
    constants.RETRY_AFTER_MAX_MS,
    Math.max(minMs, Math.ceil(waitMs)),
  );
}
