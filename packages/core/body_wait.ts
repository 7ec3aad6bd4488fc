/** Bounds the time for which a request waits before its body is read. */

/** Longest wait, in ms; callers abandon a request whose body is not read within one second. */
const MAX_WAIT_MS = 900;
/** Longest wait as a share of the caller's time; callers abandon a request whose body is not read within a third of it. */
const MAX_WAIT_SHARE = 0.3;

/**
 * Returns the longest time that a request may wait before its body is read, in ms.
 *
 * @example
 * computeMaxBodyWait(1_000); // 300
 */
export function computeMaxBodyWait(callerMs: number | undefined): number {
  return Math.max(
    0,
    Math.min(
      MAX_WAIT_MS,
      MAX_WAIT_SHARE * (callerMs ?? Number.POSITIVE_INFINITY),
    ),
  );
}
