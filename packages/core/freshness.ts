/**
 * Clocks that stay correct across process suspensions and clock steps, and the
 * age of cached state. The age counts from the time at which the host sent the
 * read that confirmed the state, because the state may have changed between the
 * read and the arrival of its response.
 */

/** Simultaneous readings of both clocks, in ms. */
export interface ClockReading {
  /** Monotonic time; may stand still while the process is suspended. */
  readonly now: number;
  /** Wall-clock time; may step. */
  readonly wall: number;
}

/** Difference between the progress of the two clocks that counts as a suspension, in ms. */
const SUSPENSION_THRESHOLD_MS = 250;

/**
 * A clock for leases and for the age of cached state. The monotonic clock may
 * stand still while a process is suspended: a lease that expired meanwhile
 * would still seem to be held, and a key that was withdrawn meanwhile would
 * still be accepted. The wall clock advances during the suspension, so this
 * clock adds the difference. A forward step of the wall clock looks the same and
 * expires leases and cached state early, which only costs another read.
 */
export class SuspensionClock {
  #offset: number | undefined;
  #suspendedMs = 0;

  /** Returns the monotonic time including suspensions. */
  read({ now, wall }: ClockReading): number {
    const offset = wall - now;
    const drift = offset - (this.#offset ?? offset);
    this.#offset = offset;
    if (drift > SUSPENSION_THRESHOLD_MS) this.#suspendedMs += drift;
    return now + this.#suspendedMs;
  }
}

/** The latest time at which cached state is known to have been current. */
export class FreshnessTracker {
  #currentAt = Number.NEGATIVE_INFINITY;

  /** Records a read that was sent at `sentAt` and confirmed the cached state. */
  confirm(sentAt: number): void {
    this.#currentAt = Math.max(this.#currentAt, sentAt);
  }

  /** Returns the time since the cached state was last known to be current, in ms; infinite if it was never confirmed. */
  getAge(now: number): number {
    return now - this.#currentAt;
  }
}

/** Largest accepted difference from the other hosts' time, in ms: their reports are up to a second old after several hops. */
const MAX_SKEW_MS = 1_000;

/** The times that other hosts have published. */
export interface PeerTimes {
  /** Corrected wall-clock time of each other host, extrapolated to now; slightly late because of the transmission. */
  readonly others: readonly number[];
}

/**
 * A wall clock that is corrected by the times of the other hosts. It advances
 * with the monotonic clock. When the local wall clock moves against the
 * monotonic clock, the cause is either a clock step, which must be ignored, or
 * a suspension, which must be followed; the times of the other hosts show which.
 */
export class CorrectedClock {
  #offset: number | undefined;

  /** Returns the corrected wall-clock time. */
  read({ now, wall }: ClockReading): number {
    this.#offset ??= wall - now;
    return now + this.#offset;
  }

  /** Compares the clock with the median time of the other hosts and corrects it; returns the correction in ms. */
  update(reading: ClockReading, { others }: PeerTimes): number {
    if (others.length === 0) return 0;
    const sorted = others.toSorted((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)];
    const own = this.read(reading);
    if (Math.abs(own - median) <= MAX_SKEW_MS) return 0;
    const isWallCorrect = Math.abs(reading.wall - median) <= MAX_SKEW_MS;
    this.#offset = (isWallCorrect ? reading.wall : median) - reading.now;
    return this.read(reading) - own;
  }
}
