/**
 * A retry budget that all hosts keep together without a message for each
 * retry. The bound holds over any span of a window: retries at one service are
 * at most a ratio of the requests for it plus a fixed slack. The ratio is kept
 * by each host for its own requests, and the slack is divided by the number of
 * hosts, so the sum keeps the whole bound.
 */
import type * as retry from "./retry.ts";

/** The bound over all hosts. */
export interface RetryBound {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond these, over all hosts. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Part of the bound that is used. The rest covers requests at the edge of a
 * window and hosts that are not yet known of.
 */
const USED_SHARE = 0.7;
/** Spans into which a window is divided for counting. */
const SPANS = 10;

interface Span {
  readonly index: number;
  first: number;
  retries: number;
}

/** Counts of one service by span. */
class ServiceCounts {
  #spans: Span[] = [];

  /** Returns the counts of the current span, and forgets old ones. */
  open(index: number): Span {
    this.#spans = this.#spans.filter((span) => span.index > index - SPANS);
    const last = this.#spans.at(-1);
    if (last?.index === index) return last;
    const span = { index, first: 0, retries: 0 };
    this.#spans.push(span);
    return span;
  }

  sum(): { readonly first: number; readonly retries: number } {
    return this.#spans.reduce(
      (sum, span) => ({
        first: sum.first + span.first,
        retries: sum.retries + span.retries,
      }),
      { first: 0, retries: 0 },
    );
  }
}

/** This host's part of the budget. */
export class WindowRetryBudget implements retry.RetryBudget {
  readonly #bound: RetryBound;
  readonly #counts = new Map<string, ServiceCounts>();
  #hosts: number;

  constructor(bound: RetryBound, options: { readonly hosts: number }) {
    this.#bound = bound;
    this.#hosts = options.hosts;
  }

  /** Takes over how many hosts share the slack. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  recordFirst(target: string, now: number): void {
    this.#open(target, now).first += 1;
  }

  take(target: string, now: number): boolean {
    const span = this.#open(target, now);
    const { first, retries } = this.#get(target).sum();
    const { ratio, slack } = this.#bound;
    const limit = USED_SHARE * (ratio * first + slack / this.#hosts);
    if (retries + 1 > limit) return false;
    span.retries += 1;
    return true;
  }

  #open(target: string, now: number): Span {
    const index = Math.floor(now / (this.#bound.windowMs / SPANS));
    return this.#get(target).open(index);
  }

  #get(target: string): ServiceCounts {
    const known = this.#counts.get(target);
    if (known !== undefined) return known;
    const counts = new ServiceCounts();
    this.#counts.set(target, counts);
    return counts;
  }
}
