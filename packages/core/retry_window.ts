/**
 * A retry budget over a sliding window that holds for all hosts together without
 * a message for each retry. In any window, the retries to one service are at most
 * a ratio of its requests plus a fixed slack. Each host applies the ratio to its
 * own requests and uses an equal part of the slack, so the sum over all hosts
 * stays within the bound. Where tiers compete, a lower one gets what the higher ones
 * have not asked for.
 */
import type * as request from "./request.ts";
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
/** Fraction of the budget that lower tiers may use although higher ones ask for all of it. */
const MIN_LOWER_SHARE = 0.1;
/** Number of buckets in which a window is counted. */
const BUCKETS_PER_WINDOW = 10;

/** Counts of one time bucket of a window. */
interface Bucket {
  readonly index: number;
  first: number;
  /** Retries that were made, and that were asked for, by tier. */
  readonly retries: Map<number, number>;
  readonly asked: Map<number, number>;
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
    const bucket = {
      index,
      first: 0,
      retries: new Map<number, number>(),
      asked: new Map<number, number>(),
    };
    this.#buckets.push(bucket);
    return bucket;
  }

  countFirst(): number {
    return this.#buckets.reduce((sum, { first }) => sum + first, 0);
  }

  /** Counts the retries of the tiers from one on, the lower ones included. */
  countRetries(fromTier = Number.NEGATIVE_INFINITY): number {
    return this.#buckets.flatMap(({ retries }) => [...retries])
      .filter(([tier]) => tier >= fromTier)
      .reduce((sum, [, count]) => sum + count, 0);
  }

  /** Counts the retries that higher tiers asked for, made or not. */
  countAskedAbove(ofTier: number): number {
    return this.#buckets.flatMap(({ asked }) => [...asked])
      .filter(([tier]) => tier < ofTier)
      .reduce((sum, [, count]) => sum + count, 0);
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

  take(
    { target, tier }: Pick<request.Request, "target" | "tier">,
    now: number,
  ): boolean {
    const bucket = this.#openBucket(target, now);
    const counts = this.#getCounts(target);
    const { ratio, slack } = this.#bound;
    const limit = USED_SHARE *
      (ratio * counts.countFirst() + slack / this.#hosts);
    addTo(bucket.asked, tier);
    if (counts.countRetries() + 1 > limit) return false;
    const left = Math.max(
      MIN_LOWER_SHARE * limit,
      limit - counts.countAskedAbove(tier),
    );
    if (counts.countRetries(tier) + 1 > left) return false;
    addTo(bucket.retries, tier);
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

function addTo(counts: Map<number, number>, tier: number): void {
  counts.set(tier, (counts.get(tier) ?? 0) + 1);
}
