/**
 * Measures the delay of the event loop. A process that is short of CPU time
 * detects every event late, including closed connections.
 */

/** Time for which a recorded delay counts, in ms. */
const RETENTION_MS = 2_000;

/** The longest recent delay of the event loop. */
export class LoopDelay {
  #longestMs = 0;
  #at = Number.NEGATIVE_INFINITY;

  /** Records that a timer ran `delayMs` late at monotonic time `now`. */
  record(delayMs: number, now: number): void {
    if (delayMs < this.get(now)) return;
    this.#longestMs = delayMs;
    this.#at = now;
  }

  /** Returns the longest recent delay, in ms; 0 if none was recorded lately. */
  get(now: number): number {
    return now - this.#at < RETENTION_MS ? this.#longestMs : 0;
  }
}
