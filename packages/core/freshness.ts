/**
 * How long a host may rely on what it has read. A belief is proved current at
 * the moment at which the read was sent that confirmed it. A process that was
 * suspended does not see its monotonic clock move, so a proof would seem young
 * although it is old; then the time of day, or the time since boot, has moved
 * further than the monotonic clock, and every proof is dropped.
 */

/** One reading of the clocks, in ms. */
export interface ClockReading {
  /** Monotonic; may stand still while the process is suspended. */
  readonly now: number;
  /** Time of day; may step. */
  readonly wall: number;
}

/** Difference of the two clocks' progress that is taken for a suspension, in ms. */
const GAP_MS = 250;

/** Finds out that time went by which the monotonic clock did not count. */
export class GapDetector {
  #offset: number | undefined;

  /**
   * Compares how far both clocks have moved since the last reading; true after
   * a gap. A step of the time of day looks the same, which costs one more read.
   */
  hasGap({ now, wall }: ClockReading): boolean {
    const offset = wall - now;
    const before = this.#offset;
    this.#offset = offset;
    return before !== undefined && Math.abs(offset - before) > GAP_MS;
  }
}

/** The moment up to which a belief is proved to have been current. */
export class Proof {
  #provedAt = Number.NEGATIVE_INFINITY;

  /** Takes over a read that was sent at `sentAt` and confirmed the belief. */
  confirm(sentAt: number): void {
    this.#provedAt = Math.max(this.#provedAt, sentAt);
  }

  /** Drops the proof: an unknown span of time has passed. */
  drop(): void {
    this.#provedAt = Number.NEGATIVE_INFINITY;
  }

  /** Age of the proof in ms; infinite without one. */
  getAge(now: number): number {
    return now - this.#provedAt;
  }
}
