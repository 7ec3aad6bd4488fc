/** Which running work gives way to a higher tier. */
import * as admission from "./admission.ts";
import type * as attempts from "./attempts.ts";
import type * as config from "./config.ts";
import type * as serverState from "./server_state.ts";

/** For whom, and where, a slot is wanted. */
export interface VictimOptions {
  readonly tier: number;
  readonly pools: readonly serverState.PoolState[];
  readonly classes: ReadonlyMap<string, config.ClassPart>;
}

/**
 * Finds the running attempt that gives way to `tier`: of the lowest tier, and
 * of those the one started last, since it loses least. Work that may not be
 * repeated and a class's guaranteed slots are never taken.
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

function isBetterVictim(
  candidate: attempts.Attempt,
  best: attempts.Attempt,
): boolean {
  if (candidate.request.tier !== best.request.tier) {
    return candidate.request.tier > best.request.tier;
  }
  return candidate.startedAt > best.startedAt;
}

function exceedsShare(
  attempt: attempts.Attempt,
  pool: serverState.PoolState,
  options: VictimOptions,
): boolean {
  const className = attempt.request.className;
  const share = options.classes.get(className)?.share ?? 0;
  const running = pool.runningByClass.get(className) ?? 0;
  // The guarantee is the failure domain's; this host's part of it is its limit.
  const guaranteed = admission.countGuaranteedSlots(share, pool.totalSlots);
  const limit = pool.limits.get(className) ?? Number.POSITIVE_INFINITY;
  return running > Math.min(guaranteed, limit);
}
