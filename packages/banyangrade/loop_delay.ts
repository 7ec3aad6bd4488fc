/**
 * How late the event loop is. A process that is short of processor time notices
 * everything late, the end of a connection too.
 */

/** Time for which a delay is told, in ms. */
const KEPT_MS = 2_000;

/** The longest delay of late. */
export class LoopDelay {
  #longestMs = 0;
  #at = Number.NEGATIVE_INFINITY;

  /** Records that a timer ran `delayMs` late at monotonic time `now`. */
  record(delayMs: number, now: number): void {
    if (delayMs < this.get(now)) return;
    this.#longestMs = delayMs;
    this.#at = now;
  }

  /** Longest delay of late, in ms. */
  get(now: number): number {
    return now - this.#at < KEPT_MS ? this.#longestMs : 0;
  }
}
