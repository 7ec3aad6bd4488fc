/** Estimates of output length and service time for each class and target. */
import * as constants from "./constants.ts";

/** Expected output length in tokens, and time that a request holds a slot, in ms. */
interface Estimate {
  tokens: number;
  serviceMs: number;
}

/** Estimate for a class and target of which no request has finished yet. */
const DEFAULT_ESTIMATE: Estimate = { tokens: 200, serviceMs: 2_000 };

/** Moving averages of the output length and service time of finished requests. */
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

  /** Returns the estimate for a class and target. */
  get(key: string): Readonly<Estimate> {
    return this.#estimates.get(key) ?? DEFAULT_ESTIMATE;
  }
}
