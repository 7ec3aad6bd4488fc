/** Runs the autoscaler in virtual time and adds up the cost of the servers. */
import * as core from "@banyangrade/core";
import type * as backendModule from "./backend.ts";
import type * as figureRecorder from "./figure_recorder.ts";
import type * as scenarios from "./scenario.ts";
import type * as timelineModule from "./timeline.ts";

/** Interval between two rounds of the autoscaler, in ms. */
const SCALING_INTERVAL_MS = 5_000;
/** Time from the order of a server until it is ready, in ms. */
const STARTUP_MS = 30_000;
/** Time from the decision to remove a server until it stops, in ms. */
const SHUTDOWN_DELAY_MS = 20_000;
/** Interval between two additions to the cost, in ms. */
const COST_INTERVAL_MS = 1_000;
const MS_PER_HOUR = 3_600_000;

/** Options of {@link startScaling} and {@link recordCost}. */
export interface ScalingOptions {
  readonly scenario: scenarios.Scenario;
  readonly timeline: timelineModule.Timeline;
  readonly recorder: figureRecorder.FigureRecorder;
  readonly backend: backendModule.Backend;
  readonly getAllocator: (failureDomain: string) => core.CapacityAllocator;
  /** Called when a server is marked as leaving. */
  readonly onChange: () => void;
}

/**
 * Adds the cost of the engines to the recorder every second.
 *
 * @example
 * recordCost(options);
 */
export function recordCost(options: ScalingOptions): void {
  const { backend, recorder, timeline } = options;
  const perHour = backend.servers.filter((server) =>
    server.pool.serves === "engine" && !server.gone
  ).reduce((sum, server) => sum + server.pool.costPerHour, 0);
  recorder.cost += perHour * COST_INTERVAL_MS / MS_PER_HOUR;
  timeline.after(COST_INTERVAL_MS, () => recordCost(options));
}

/**
 * Runs the autoscaler of a failure domain every five seconds.
 *
 * @example
 * startScaling("rosenheim", options);
 */
export function startScaling(
  failureDomain: string,
  options: ScalingOptions,
): void {
  runScalingRound(failureDomain, { ...options, state: core.INITIAL_SCALING });
}

function runScalingRound(
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
  timeline.after(
    SCALING_INTERVAL_MS,
    () => runScalingRound(failureDomain, next),
  );
}

/**
 * Lists the servers of a pool that run or are starting, without the leaving
 * ones.
 */
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
    timeline.after(STARTUP_MS, () => backend.restart(server));
  }
  ordered.slice(count).forEach((server) => {
    server.info = { ...server.info, state: "leaving" };
    options.onChange();
    timeline.after(SHUTDOWN_DELAY_MS, () => {
      server.gone = true;
      backend.crash(server, Number.POSITIVE_INFINITY);
    });
  });
}
