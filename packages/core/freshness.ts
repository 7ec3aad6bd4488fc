/**
 * How long a host may rely on what it has read, and what time it is. A belief
 * is proved current at the moment at which the read was sent that confirmed it.
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

/**
 * A clock for leases and proofs. The monotonic clock may stand still while a
 * process is suspended; a lease that ran out meanwhile would seem to hold, and
 * a key withdrawn meanwhile to be good. The time of day has then moved further,
 * and what it moved more is added here. A step of the time of day looks the
 * same and ends leases and proofs early, which costs one more read.
 */
export class SuspensionClock {
  #offset: number | undefined;
  #skipped = 0;

  /** Returns a time that counts suspensions. */
  read({ now, wall }: ClockReading): number {
    const offset = wall - now;
    const moved = offset - (this.#offset ?? offset);
    this.#offset = offset;
    if (moved > GAP_MS) this.#skipped += moved;
    return now + this.#skipped;
  }
}

/** The moment up to which a belief is proved to have been current. */
export class Proof {
  #provedAt = Number.NEGATIVE_INFINITY;

  /** Takes over a read that was sent at `sentAt` and confirmed the belief. */
  confirm(sentAt: number): void {
    this.#provedAt = Math.max(this.#provedAt, sentAt);
  }

  /** Age of the proof in ms; infinite without one. */
  getAge(now: number): number {
    return now - this.#provedAt;
  }
}

/** Distance from the other hosts' time at which the own one is doubted, in ms: their word is some hops of up to a second old. */
const TRUST_MS = 1_000;

/** What is known of the other hosts' time. */
export interface OthersTime {
  /** Their true times of day as they are now, a little late. */
  readonly others: readonly number[];
}

/**
 * The true time of day of a host whose own clock may jump. It goes on at the
 * pace of the monotonic clock. Where the time of day moved against that, it was
 * a step, to be ignored, or a suspension, to be followed; the other hosts tell.
 */
export class TrueClock {
  #offset: number | undefined;

  /** Returns the true time of day. */
  read({ now, wall }: ClockReading): number {
    this.#offset ??= wall - now;
    return now + this.#offset;
  }

  /** Takes over what the other hosts last published as their time; returns by how much that moved the time, in ms. */
  update(reading: ClockReading, { others }: OthersTime): number {
    if (others.length === 0) return 0;
    const sorted = others.toSorted((a, b) => a - b);
    const theirs = sorted[Math.floor(sorted.length / 2)];
    const own = this.read(reading);
    if (Math.abs(own - theirs) <= TRUST_MS) return 0;
    const wallFits = Math.abs(reading.wall - theirs) <= TRUST_MS;
    this.#offset = (wallFits ? reading.wall : theirs) - reading.now;
    return this.read(reading) - own;
  }
}
