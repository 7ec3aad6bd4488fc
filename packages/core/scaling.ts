/**
 * The autoscaler: how many backend servers each pool should have. Spot pools
 * carry what they can; ordinary pools keep enough for the upper tiers to get
 * through the loss of every spot server of the failure domain, with the slots
 * that other failure domains lend.
 */
import type * as config from "./config.ts";

/** Load that a server is planned for, as a share of its slots. */
const TARGET_UTILISATION = 0.7;
/**
 * Part of the upper tiers' demand that stands on ordinary servers while there
 * are spot servers. Not all of it: spot servers are reclaimed a failure domain
 * at a time, and then the others lend slots.
 */
const RESERVE_SHARE = 0.4;
/** The most that was needed within this time is kept, in ms. */
const SCALE_DOWN_AFTER_MS = 60_000;
/** Lowest tier (largest number) whose work ordinary servers hold in reserve. */
export const RESERVE_TIER = 2;

/** Demand for a pool, over all hosts of the failure domain. */
export interface PoolLoad {
  readonly part: config.PoolPart;
  readonly servers: number;
  /** Requests running and queued. */
  readonly demand: number;
  /** The part of it that is of the upper tiers. */
  readonly upperDemand: number;
}

/** How many servers a pool should have. */
export interface DesiredCount {
  readonly pool: string;
  readonly count: number;
}

/** State that the autoscaler keeps between rounds. */
export interface ScalingState {
  /** Counts that each pool needed within the last minute. */
  readonly recent: ReadonlyMap<string, readonly NeededCount[]>;
}

interface NeededCount {
  readonly count: number;
  /** Monotonic ms. */
  readonly at: number;
}

/** State before the first round. */
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
  const groups = new Set(loads.map(getGroupKey));
  const wanted = [...groups].flatMap((key) =>
    computeGroup(loads.filter((load) => getGroupKey(load) === key))
  );
  const recent = new Map(wanted.map(({ load, count }) => {
    const { name } = load.part;
    const kept = (state.recent.get(name) ?? [])
      .filter((needed) => now - needed.at < SCALE_DOWN_AFTER_MS);
    return [name, [...kept, { count, at: now }]];
  }));
  // Up at once, down to the most that was needed of late: a short lull does
  // not send servers away that are missed a moment later, and a short peak
  // does not keep them for ever.
  const desired = [...recent].map(([pool, needed]) => ({
    pool,
    count: Math.max(...needed.map((one) => one.count)),
  }));
  return { desired, state: { recent } };
}

function getGroupKey(load: PoolLoad): string {
  return load.part.targets.toSorted().join(",");
}

function computeGroup(
  loads: readonly PoolLoad[],
): { readonly load: PoolLoad; readonly count: number }[] {
  const demand = sum(loads.map((load) => load.demand));
  const upper = sum(loads.map((load) => load.upperDemand));
  const spot = loads.filter((load) => load.part.spot);
  const ordinary = loads.filter((load) => !load.part.spot);
  // The reserve stands on ordinary servers; the rest prefers spot servers. It
  // may fill them: when spot servers are reclaimed, lower work gives way there.
  const usable = spot.some((load) => load.part.maxServers > 0);
  const reserve = usable ? upper * RESERVE_SHARE : demand;
  const ordinaryCounts = spread(ordinary, reserve);
  const carried = sum(
    ordinaryCounts.map(({ load, count }) => count * load.part.slots),
  ) * TARGET_UTILISATION;
  const rest = Math.max(0, demand - carried);
  const spotCounts = spread(spot, rest);
  const spotCarried = sum(
    spotCounts.map(({ load, count }) => count * load.part.slots),
  ) * TARGET_UTILISATION;
  const missing = Math.max(0, rest - spotCarried);
  const more = missing > 0
    ? spread(ordinary, reserve + missing)
    : ordinaryCounts;
  return [...more, ...spotCounts];
}

/** Servers for a demand, the cheapest pool first, within each pool's bounds. */
function spread(
  loads: readonly PoolLoad[],
  demand: number,
): { readonly load: PoolLoad; readonly count: number }[] {
  let left = demand;
  return loads.toSorted((a, b) => getSlotCost(a) - getSlotCost(b)).map(
    (load) => {
      const each = load.part.slots * TARGET_UTILISATION;
      const needed = Math.ceil(Math.max(0, left) / each);
      const count = Math.min(
        load.part.maxServers,
        Math.max(load.part.minServers, needed),
      );
      left -= count * each;
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
