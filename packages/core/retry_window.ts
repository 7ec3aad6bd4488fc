/**
 * A retry budget over a sliding window that holds for all hosts together without
 * a message for each retry. In any window, the retries to one service are at most
 * a ratio of its requests plus a fixed slack. Each host applies the ratio to its
 * own requests and uses an equal part of the slack, so the sum over all hosts
 * stays within the bound.
 */
import type * as retry from "./retry.ts";

/** Bound on the retries of all hosts together. */
export interface RetryBound {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries in a window, over all hosts. */
  readonly slack: number;
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
}

/**
 * Fraction of the bound that hosts use. The rest covers requests at the edges of
 * the window and hosts that are not yet known.
 */
const USED_SHARE = 0.7;
/** Number of buckets in which a window is counted. */
const BUCKETS_PER_WINDOW = 10;

/** Counts of one time bucket of a window. */
interface Bucket {
  readonly index: number;
  first: number;
  retries: number;
}

/** Sliding-window counts of one service. */
class ServiceCounts {
  #buckets: Bucket[] = [];

  /** Returns the current bucket and drops expired ones. */
  open(index: number): Bucket {
    this.#buckets = this.#buckets.filter((bucket) =>
      bucket.index > index - BUCKETS_PER_WINDOW
    );
    const last = this.#buckets.at(-1);
    if (last?.index === index) return last;
    const bucket = { index, first: 0, retries: 0 };
    this.#buckets.push(bucket);
    return bucket;
  }

  sum(): { readonly first: number; readonly retries: number } {
    return this.#buckets.reduce(
      (sum, bucket) => ({
        first: sum.first + bucket.first,
        retries: sum.retries + bucket.retries,
      }),
      { first: 0, retries: 0 },
    );
  }
}

/** This host's part of the retry budget. */
export class WindowRetryBudget implements retry.RetryBudget {
  readonly #bound: RetryBound;
  readonly #counts = new Map<string, ServiceCounts>();
  #hosts: number;

  constructor(bound: RetryBound, options: { readonly hosts: number }) {
    this.#bound = bound;
    this.#hosts = options.hosts;
  }

  /** Sets the number of hosts that share the slack. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  recordFirst(target: string, now: number): void {
    this.#openBucket(target, now).first += 1;
  }

  take(target: string, now: number): boolean {
    const bucket = this.#openBucket(target, now);
    const { first, retries } = this.#getCounts(target).sum();
    const { ratio, slack } = this.#bound;
    const limit = USED_SHARE * (ratio * first + slack / this.#hosts);
    if (retries + 1 > limit) return false;
    bucket.retries += 1;
    return true;
  }

  #openBucket(target: string, now: number): Bucket {
    const index = Math.floor(now / (this.#bound.windowMs / BUCKETS_PER_WINDOW));
    return this.#getCounts(target).open(index);
  }

  #getCounts(target: string): ServiceCounts {
    const known = this.#counts.get(target);
    if (known !== undefined) return known;
    const counts = new ServiceCounts();
    this.#counts.set(target, counts);
    return counts;
  }
}
