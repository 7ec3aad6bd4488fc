/**
 * Spreads the calls that hosts make to the store while it rejects them or while
 * they have no relay, so that the load on the store does not grow with the number
 * of hosts.
 */

/** Longest delay before the first repetition of a failed call, in ms; doubles with each failure. */
const MIN_RETRY_DELAY_MS = 200;
/** Longest delay before any repetition of a failed call, in ms. */
const MAX_RETRY_DELAY_MS = 2_000;
/** Number of hosts of a failure domain up to which each of them may act every second. */
const HOSTS_PER_SECOND = 8;
/** Interval of up to that many hosts, in ms. */
const MIN_INTERVAL_MS = 1_000;
/** Longest interval, in ms. Usage counts must be in the store 4 s after a request, because a usage window is fixed from 5 s after its end on. */
const MAX_INTERVAL_MS = 4_000;

/**
 * Draws the delay in ms before a failed call is repeated: any time up to a limit
 * that doubles with each failure ("full jitter"). `drawn` is a random number in
 * [0, 1).
 *
 * @example
 * computeRetryDelay({ failures: 2, drawn: 0.5 }); // 200
 */
export function computeRetryDelay(
  { failures, drawn }: {
    /** Number of consecutive failures, at least 1. */
    readonly failures: number;
    readonly drawn: number;
  },
): number {
  const limitMs = MIN_RETRY_DELAY_MS * 2 ** (failures - 1);
  return drawn * Math.min(MAX_RETRY_DELAY_MS, limitMs);
}

/**
 * Computes the interval in ms at which each host of a failure domain without a
 * relay looks for the relay's role and publishes its status.
 *
 * @example
 * computeIntervalWithoutRelay(24); // 3000
 */
export function computeIntervalWithoutRelay(hosts: number): number {
  const intervalMs = MIN_INTERVAL_MS * hosts / HOSTS_PER_SECOND;
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, intervalMs));
}
