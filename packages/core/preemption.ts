/** Choice of the running attempt that is preempted for a higher tier. */
import * as admissionEstimates from "./admission_estimates.ts";
import type * as attempts from "./attempts.ts";
import type * as config from "./config.ts";
import type * as serverState from "./server_state.ts";

/** Options of {@link findVictim}: the tier that needs a slot, and the pools that can provide it. */
export interface VictimOptions {
  readonly tier: number;
  readonly pools: readonly serverState.PoolState[];
  readonly classes: ReadonlyMap<string, config.ClassPart>;
}

/**
 * Finds the running attempt to preempt for `tier`: the most recently started
 * attempt of the lowest tier, because it loses the least work. An attempt that may
 * not be repeated, or that runs within its class's guaranteed slots, is never
 * preempted.
 *
 * @example
 * const victim = findVictim(table.list(), { tier: 1, pools, classes });
 */
export function findVictim(
  running: readonly attempts.Attempt[],
  options: VictimOptions,
): attempts.Attempt | undefined {
  const pools = new Map(options.pools.map((pool) => [pool.part.name, pool]));
  return running
    .filter((attempt) => attempt.request.tier > options.tier)
    .filter((attempt) => attempt.request.repeatable)
    .filter((attempt) => {
      const pool = pools.get(attempt.pool);
      return pool !== undefined && exceedsShare(attempt, pool, options);
    })
    .reduce<attempts.Attempt | undefined>(
      (best, attempt) =>
        best === undefined || isBetterVictim(attempt, best) ? attempt : best,
      undefined,
    );
}

/** Whether a candidate is of a lower tier than the best victim so far, or started later. */
function isBetterVictim(
  candidate: attempts.Attempt,
  best: attempts.Attempt,
): boolean {
  if (candidate.request.tier !== best.request.tier) {
    return candidate.request.tier > best.request.tier;
  }
  return candidate.startedAt > best.startedAt;
}

/** Whether the attempt's class runs more in the pool than it is guaranteed. */
function exceedsShare(
  attempt: attempts.Attempt,
  pool: serverState.PoolState,
  options: VictimOptions,
): boolean {
  const className = attempt.request.className;
  const share = options.classes.get(className)?.share ?? 0;
  const running = pool.runningByClass.get(className) ?? 0;
  // The guarantee covers the failure domain; the limit granted to this host is
  // its part of it.
  const guaranteed = admissionEstimates.countGuaranteedSlots(
    share,
    pool.totalSlots,
  );
  const limit = pool.limits.get(className) ?? Number.POSITIVE_INFINITY;
  return running > Math.min(guaranteed, limit);
}
