/**
 * Work for other failure domains. A host whose own failure domain has no room
 * for what waits, and no lower work that could give way, asks the capacity
 * leader of another one for slots, and runs there only what it was granted. So
 * the same division tier by tier that holds between hosts holds there too.
 */
import * as admission from "./admission.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/** Demand for the pools of another failure domain. */
export interface DomainDemand {
  readonly failureDomain: string;
  readonly demands: readonly events.PoolDemand[];
  /** Whether work waits for them, not only runs there. */
  readonly waiting: boolean;
}

/**
 * Lists what this host runs in other failure domains and, for the one in
 * `turn`, what it would run there: one is asked at a time, so that a request is
 * not granted slots everywhere at once.
 *
 * @example
 * const asked = listOverflow(state, 7);
 */
export function listOverflow(
  state: hostState.HostState,
  turn: number,
): DomainDemand[] {
  const pools = state.table.listPools().filter((pool) => pool.foreign);
  const domains = [...new Set(pools.map((pool) => pool.part.failureDomain))];
  const stuck = domains.length === 0 ? [] : listStuckLanes(state);
  return domains.map((failureDomain, place) => {
    const lanes = place === turn % domains.length ? stuck : [];
    const demands = pools
      .filter((pool) => pool.part.failureDomain === failureDomain)
      .map((pool) => buildDemand(state, { pool, lanes }))
      .filter((demand) => demand.classes.length > 0);
    return { failureDomain, demands, waiting: lanes.length > 0 };
  }).filter((domain) => domain.demands.length > 0);
}

/** Lanes that wait although nothing in this failure domain can give way. */
function listStuckLanes(state: hostState.HostState): queue.Lane[] {
  return state.queue.listWaiting().filter((lane) => {
    const head = lane.peek()?.request;
    if (head === undefined) return false;
    if (hostState.countOwnSlots(state, head) === 0) return true;
    const pools = hostState.listPoolsFor(state, head);
    return hostState.isLate(state, head) &&
      !admission.hasLowerWork(head.tier, pools) &&
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
 * slots of another one: some were granted and are free, or it may have more, or
 * it was not asked of late. A host that knows that there are none says so at
 * once.
 *
 * @example
 * if (mayOverflow(state, request)) queue();
 */
export function mayOverflow(
  state: hostState.HostState,
  wanted: request.Request,
): boolean {
  const { now } = state;
  return state.table.listPools().some((pool) => {
    if (!pool.foreign || !hostState.isServedBy(wanted, pool)) return false;
    const known = now - pool.grantedAt < constants.OVERFLOW_KNOWN_MS;
    return !known || !pool.short.includes(wanted.className) ||
      serverState.isWithinGrant(pool, { className: wanted.className, now });
  });
}

/**
 * Whether this failure domain has any server for a request, busy or not.
 *
 * @example
 * hasNear(state, request);
 */
export function hasNear(
  state: hostState.HostState,
  wanted: request.Request,
): boolean {
  return state.table.listFor(wanted.target)
    .some((server) => server.pool.failureDomain === state.failureDomain);
}
