/**
 * Autoscaler that computes how many backend servers each pool should have. Spot
 * pools carry as much load as they can. Ordinary (on-demand) pools keep enough
 * servers for the upper tiers to survive the loss of every spot server of the
 * failure domain, together with slots borrowed from other failure domains.
 */
import type * as config from "./config.ts";

/** Planned utilisation of a server, as a share of its slots. */
const TARGET_UTILISATION = 0.7;
/**
 * Share of the upper tiers' demand for which ordinary servers are kept while spot
 * servers are available. Less than all of it is enough, because spot servers are
 * reclaimed in one failure domain at a time and the other failure domains then
 * lend slots.
 */
const RESERVE_SHARE = 0.4;
/** Period in ms over which the peak need of a pool is kept. */
const SCALE_DOWN_DELAY_MS = 60_000;
/** Lowest tier (largest number) whose demand counts towards the reserve of ordinary servers. */
export const RESERVE_TIER = 2;

/** Demand for a pool over all hosts of the failure domain. */
export interface PoolLoad {
  readonly part: config.PoolPart;
  readonly servers: number;
  /** Number of requests running and queued. */
  readonly demand: number;
  /** Number of those requests that belong to the upper tiers. */
  readonly upperDemand: number;
}

/** Number of servers that a pool should have. */
export interface DesiredCount {
  readonly pool: string;
  readonly count: number;
}

/** State that the autoscaler keeps between planning rounds. */
export interface ScalingState {
  /** Counts that each pool needed within the last `SCALE_DOWN_DELAY_MS`. */
  readonly recent: ReadonlyMap<string, readonly NeededCount[]>;
}

interface NeededCount {
  readonly count: number;
  /** Monotonic time in ms. */
  readonly at: number;
}

/** State before the first planning round. */
export const INITIAL_SCALING: ScalingState = { recent: new Map() };

/**
 * Computes the desired counts of all pools that offer the same targets.
 *
 * @example
 * const { desired, state } = computeDesired(loads, { state: INITIAL_SCALING, now });
 */
export function computeDesired(
  loads: readonly PoolLoad[],
  { state, now }: { readonly state: ScalingState; readonly now: number },
): { readonly desired: readonly DesiredCount[]; readonly state: ScalingState } {
  const groups = new Set(loads.map(getTargetsKey));
  const needs = [...groups].flatMap((key) =>
    computeGroup(loads.filter((load) => getTargetsKey(load) === key))
  );
  const recent = new Map(needs.map(({ load, count }) => {
    const { name } = load.part;
    const kept = (state.recent.get(name) ?? [])
      .filter((needed) => now - needed.at < SCALE_DOWN_DELAY_MS);
    return [name, [...kept, { count, at: now }]];
  }));
  // Scales up at once, and down to the peak need of the recent period, so that a
  // short lull does not remove servers that are needed again a moment later and a
  // short peak does not keep servers for good.
  const desired = [...recent].map(([pool, needed]) => ({
    pool,
    count: Math.max(...needed.map((one) => one.count)),
  }));
  return { desired, state: { recent } };
}

function getTargetsKey(load: PoolLoad): string {
  return load.part.targets.toSorted().join(",");
}

function computeGroup(
  loads: readonly PoolLoad[],
): { readonly load: PoolLoad; readonly count: number }[] {
  const demand = sum(loads.map((load) => load.demand));
  const upper = sum(loads.map((load) => load.upperDemand));
  const spot = loads.filter((load) => load.part.spot);
  const ordinary = loads.filter((load) => !load.part.spot);
  // Ordinary servers carry the reserve, and spot servers are preferred for the
  // remaining demand. Lower tiers may use the ordinary servers too: they are
  // preempted there when spot servers are reclaimed.
  const hasSpot = spot.some((load) => load.part.maxServers > 0);
  const reserve = hasSpot ? upper * RESERVE_SHARE : demand;
  const ordinaryCounts = spread(ordinary, reserve);
  const ordinaryCapacity = sum(
    ordinaryCounts.map(({ load, count }) => count * load.part.slots),
  ) * TARGET_UTILISATION;
  const rest = Math.max(0, demand - ordinaryCapacity);
  const spotCounts = spread(spot, rest);
  const spotCapacity = sum(
    spotCounts.map(({ load, count }) => count * load.part.slots),
  ) * TARGET_UTILISATION;
  const missing = Math.max(0, rest - spotCapacity);
  const allOrdinary = missing > 0
    ? spread(ordinary, reserve + missing)
    : ordinaryCounts;
  return [...allOrdinary, ...spotCounts];
}

/** Spreads a demand over pools, cheapest slot first, within the server limits of each pool. */
function spread(
  loads: readonly PoolLoad[],
  demand: number,
): { readonly load: PoolLoad; readonly count: number }[] {
  let left = demand;
  return loads.toSorted((a, b) => getSlotCost(a) - getSlotCost(b)).map(
    (load) => {
      const serverCapacity = load.part.slots * TARGET_UTILISATION;
      const needed = Math.ceil(Math.max(0, left) / serverCapacity);
      const count = Math.min(
        load.part.maxServers,
        Math.max(load.part.minServers, needed),
      );
      left -= count * serverCapacity;
      return { load, count };
    },
  );
}

function getSlotCost(load: PoolLoad): number {
  return load.part.costPerHour / load.part.slots;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
