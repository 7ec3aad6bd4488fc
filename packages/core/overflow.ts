/**
 * Overflow to other failure domains. A host asks the capacity leader of another
 * failure domain for slots if its own failure domain has no room for its queued
 * requests and runs no lower-tier requests that could be preempted. The host
 * runs only as many requests there as were granted, so slots are divided tier by
 * tier as between the hosts of one failure domain.
 */
import * as admissionEstimates from "./admission_estimates.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/** Demand of this host for the pools of another failure domain. */
export interface DomainDemand {
  readonly failureDomain: string;
  readonly demands: readonly events.PoolDemand[];
  /** Whether requests are queued for these pools, rather than only running there. */
  readonly waiting: boolean;
}

/**
 * Lists the running requests of this host in other failure domains. The queued
 * requests are listed for one failure domain only, which changes with `round`,
 * so that a request is not granted slots in several failure domains at once.
 *
 * @example
 * const asked = listOverflow(state, 7);
 */
export function listOverflow(
  state: hostState.HostState,
  round: number,
): DomainDemand[] {
  const pools = state.table.listPools().filter((pool) => pool.remote);
  const domains = [...new Set(pools.map((pool) => pool.part.failureDomain))];
  const blocked = domains.length === 0 ? [] : listBlockedLanes(state);
  return domains.map((failureDomain, index) => {
    const lanes = index === round % domains.length ? blocked : [];
    const demands = pools
      .filter((pool) => pool.part.failureDomain === failureDomain)
      .map((pool) => buildDemand(state, { pool, lanes }))
      .filter((demand) => demand.classes.length > 0);
    return { failureDomain, demands, waiting: lanes.length > 0 };
  }).filter((domain) => domain.demands.length > 0);
}

/** Lists lanes that cannot start in time, with nothing to preempt in this failure domain. */
function listBlockedLanes(state: hostState.HostState): queue.Lane[] {
  return state.queue.listNonEmptyLanes().filter((lane) => {
    const head = lane.peek()?.request;
    if (head === undefined) return false;
    if (hostState.countOwnSlots(state, head) === 0) return true;
    const pools = hostState.listPoolsFor(state, head);
    return hostState.isPreemptionDue(state, head) &&
      !admissionEstimates.hasLowerTierWorkElsewhere(head.tier, pools) &&
      hostState.findVictim(state, head) === undefined;
  });
}

function buildDemand(
  state: hostState.HostState,
  { pool, lanes }: {
    readonly pool: serverState.PoolState;
    readonly lanes: readonly queue.Lane[];
  },
): events.PoolDemand {
  const classes = [...state.classes.values()].map((part) => ({
    className: part.name,
    tier: part.tier,
    running: pool.runningByClass.get(part.name) ?? 0,
    queued: lanes
      .filter((lane) => lane.className === part.name)
      .filter((lane) => hostState.isServedBy(lane, pool))
      .reduce((sum, lane) => sum + lane.size, 0),
  })).filter((demand) => demand.running + demand.queued > 0);
  return {
    pool: pool.part.name,
    classes,
    servers: state.table.listShared(pool.part.name),
  };
}

/**
 * Whether a request that this failure domain cannot serve in time may wait for
 * slots of another one. It may if granted slots are free, if the last grant
 * covered the demand of its class, or if there is no recent grant. Otherwise the
 * host refuses the request immediately.
 *
 * @example
 * if (mayOverflow(state, request)) queue();
 */
export function mayOverflow(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  const { now } = state;
  return state.table.listPools().some((pool) => {
    if (!pool.remote || !hostState.isServedBy(request, pool)) return false;
    const isGrantKnown =
      now - pool.grantedAt < constants.OVERFLOW_REPORT_VALID_MS;
    return !isGrantKnown || !pool.short.includes(request.className) ||
      serverState.isWithinGrant(pool, { className: request.className, now });
  });
}

/**
 * Whether this failure domain has any backend server for a request, busy or not.
 *
 * @example
 * hasLocalServer(state, request);
 */
export function hasLocalServer(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  return state.table.listFor(request.target)
    .some((server) => server.pool.failureDomain === state.failureDomain);
}
