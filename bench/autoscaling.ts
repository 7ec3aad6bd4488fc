/** The autoscaler's orders in virtual time, and what the servers cost. */
import * as core from "@banyangrade/core";
import type * as backendModule from "./backend.ts";
import type * as measureModule from "./measure.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Between two rounds of the autoscaler, in ms. */
const SCALE_MS = 5_000;
/** Between an order and a new server's readiness, in ms. */
const BOOT_MS = 30_000;
/** Between a server's notice to leave and its end, when it was ordered away, in ms. */
const LEAVE_MS = 20_000;
/** Between two additions to the cost, in ms. */
const COST_MS = 1_000;
const MS_PER_HOUR = 3_600_000;

/** Options of {@link startScaling} and {@link startCost}. */
export interface ScalingOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly measure: measureModule.Measure;
  readonly backend: backendModule.Backend;
  readonly getAllocator: (failureDomain: string) => core.CapacityAllocator;
  /** Told when a server was marked as leaving. */
  readonly onChange: () => void;
}

/**
 * Adds up what the engines cost, second by second.
 *
 * @example
 * startCost(options);
 */
export function startCost(options: ScalingOptions): void {
  const { backend, measure, timeline } = options;
  const perHour = backend.servers.filter((server) =>
    server.pool.serves === "engine" && !server.gone
  ).reduce((sum, server) => sum + server.pool.costPerHour, 0);
  measure.cost += perHour * COST_MS / MS_PER_HOUR;
  timeline.after(COST_MS, () => startCost(options));
}

/**
 * Orders servers for a failure domain every few seconds.
 *
 * @example
 * startScaling("rosenheim", options);
 */
export function startScaling(
  failureDomain: string,
  options: ScalingOptions,
): void {
  runRound(failureDomain, { ...options, state: core.INITIAL_SCALING });
}

function runRound(
  failureDomain: string,
  options: ScalingOptions & { readonly state: core.ScalingState },
): void {
  const { scenario, timeline, backend, state } = options;
  const allocator = options.getAllocator(failureDomain);
  const pools = scenario.pools.filter((pool) =>
    pool.failureDomain === failureDomain && pool.maxServers > 0
  );
  const loads = pools.map((part) => ({
    part,
    servers: listOrdered(backend, part).length,
    demand: allocator.sumDemand(part.name),
    upperDemand: allocator.sumDemand(part.name, core.RESERVE_TIER),
  }));
  const computed = core.computeDesired(loads, { state, now: timeline.now });
  computed.desired.forEach(({ pool, count }) => {
    const part = pools.find((one) => one.name === pool);
    if (part !== undefined) orderServers(part, { ...options, count });
  });
  const next = { ...options, state: computed.state };
  timeline.after(SCALE_MS, () => runRound(failureDomain, next));
}

/** Servers of a pool that are there or on their way and not leaving. */
function listOrdered(
  backend: backendModule.Backend,
  pool: core.PoolPart,
): backendModule.Server[] {
  return backend.servers.filter((server) =>
    server.pool === pool && !server.gone && server.info.state === "live"
  );
}

function orderServers(
  pool: core.PoolPart,
  options: ScalingOptions & { readonly count: number },
): void {
  const { backend, timeline, count } = options;
  const ordered = listOrdered(backend, pool);
  for (let index = ordered.length; index < count; index += 1) {
    const server = backend.add(pool, backend.servers.length);
    server.alive = false;
    timeline.after(BOOT_MS, () => backend.restart(server));
  }
  ordered.slice(count).forEach((server) => {
    server.info = { ...server.info, state: "leaving" };
    options.onChange();
    timeline.after(LEAVE_MS, () => {
      server.gone = true;
      backend.crash(server, Number.POSITIVE_INFINITY);
    });
  });
}
