/**
 * Learns how long another process takes to answer and how long a call to it is
 * waited for, as TCP learns its retransmission timeout (RFC 6298).
 *
 * Guards against a fixed time-out that slow answers exceed: all calls would be cut
 * and sent again, and the calls themselves would keep the answers slow.
 */

/** Weight of an answer in the mean and in the deviation. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Deviations above the mean that an answer may take. */
const DEVIATIONS = 4;

/** Bounds of {@link AnswerTimes}, in ms. */
export interface AnswerTimeBounds {
  /** Shortest limit, also before the first answer. */
  readonly minMs: number;
  readonly maxMs: number;
}

/** The times that another process takes to answer. */
export class AnswerTimes {
  readonly #bounds: AnswerTimeBounds;
  #mean: number | undefined;
  #deviation = 0;

  constructor(bounds: AnswerTimeBounds) {
    this.#bounds = bounds;
  }

  /** Records how long an answer took, in ms; also of one that came after the limit. */
  record(ms: number): void {
    if (this.#mean === undefined) {
      this.#mean = ms;
      this.#deviation = ms / 2;
      return;
    }
    const difference = ms - this.#mean;
    this.#mean += MEAN_WEIGHT * difference;
    this.#deviation += DEVIATION_WEIGHT *
      (Math.abs(difference) - this.#deviation);
  }

  /** Returns the mean time of an answer, in ms; 0 before the first one. */
  getMeanMs(): number {
    return this.#mean ?? 0;
  }

  /** Returns how long an answer is waited for, in ms. */
  getLimitMs(): number {
    const { minMs, maxMs } = this.#bounds;
    const expectedMs = this.getMeanMs() + DEVIATIONS * this.#deviation;
    return Math.min(maxMs, Math.max(minMs, expectedMs));
  }
}
