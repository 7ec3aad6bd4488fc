/** Learned output lengths and service times for each class and target. */
import * as constants from "./constants.ts";

interface Estimate {
  tokens: number;
  serviceMs: number;
}

/** What a request costs before anything is known of its like. */
const FIRST_GUESS: Estimate = { tokens: 200, serviceMs: 2_000 };

/** Moving averages of what requests turned out to cost. */
export class LengthEstimator {
  readonly #estimates = new Map<string, Estimate>();

  /** Records a finished request. */
  record(key: string, sample: Estimate): void {
    const estimate = this.#estimates.get(key);
    if (estimate === undefined) {
      this.#estimates.set(key, { ...sample });
      return;
    }
    const weight = constants.EWMA_WEIGHT;
    estimate.tokens += weight * (sample.tokens - estimate.tokens);
    estimate.serviceMs += weight * (sample.serviceMs - estimate.serviceMs);
  }

  /** Returns the expected cost of a request of this class and target. */
  get(key: string): Readonly<Estimate> {
    return this.#estimates.get(key) ?? FIRST_GUESS;
  }
}
