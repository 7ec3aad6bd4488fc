/**
 * Decides whether a host takes a new connection of a caller. A load balancer may
 * send most new connections of a region to one host. What that host could not read
 * in time it closes unread at once, so that the caller's next attempt goes to
 * another host. Open connections are served on.
 */

/** Load of a host and of the others. */
export interface HostLoad {
  /** Recent delay of the process's event loop, in ms. */
  readonly loopDelayMs: number;
  /** Requests that wait for a server at this host. */
  readonly queued: number;
  /** Requests running and queued at this host. */
  readonly open: number;
  /** Requests running and queued at the other hosts, as they last reported. */
  readonly openElsewhere: number;
  readonly otherHosts: number;
}

/** Interval at which the rate is adjusted, in ms. */
const ADJUST_MS = 100;
/** How many times the open requests of the other hosts' mean this host has while it gets most new connections. */
const HOT_FACTOR = 2.5;
/** Open requests beyond that which count as hot, so that a few requests of a quiet site do not. */
const HOT_MARGIN = 16;
/** Event loop delay from which a host is late, in ms; callers allow a second until their request is read. */
const LATE_MS = 60;
/** Requests that wait for a server from which a host has more than it can start. */
const LONG_QUEUE = 16;
/** Factors by which the rate changes in an interval. */
const DECREASE = 0.7;
const INCREASE = 1.25;
/** Smallest rate, in connections per second: a host that is ready must take some. */
const MIN_PER_SECOND = 10;
/** Rate from which a host is not limited, in connections per second. */
const MAX_PER_SECOND = 2_000;

/** Limits the new connections of one host while it is hot. */
export class ConnectionAdmission {
  /** Connections per second; undefined while they are not limited. */
  #perSecond: number | undefined;
  #adjustedAt: number;
  /** Connections taken since the last adjustment. */
  #taken = 0;
  #tokens = 0;

  constructor({ startedAt }: { readonly startedAt: number }) {
    this.#adjustedAt = startedAt;
  }

  /** Whether new connections are limited. */
  isLimiting(): boolean {
    return this.#perSecond !== undefined;
  }

  /** Decides on a new connection; `readLoad` is called once in an interval at most. */
  mayTake(readLoad: () => HostLoad, now: number): boolean {
    if (now - this.#adjustedAt >= ADJUST_MS) this.#update(readLoad(), now);
    if (this.#perSecond !== undefined) {
      if (this.#tokens < 1) return false;
      this.#tokens -= 1;
    }
    this.#taken += 1;
    return true;
  }

  #update(load: HostLoad, now: number): void {
    const elapsedMs = now - this.#adjustedAt;
    const takenPerSecond = this.#taken / elapsedMs * 1_000;
    this.#adjustedAt = now;
    this.#taken = 0;
    const before = this.#perSecond;
    if (isHot(load)) {
      this.#perSecond = Math.max(
        MIN_PER_SECOND,
        DECREASE * Math.min(before ?? takenPerSecond, takenPerSecond),
      );
    } else if (before !== undefined) {
      const intervals = Math.floor(elapsedMs / ADJUST_MS);
      const next = before * INCREASE ** intervals;
      this.#perSecond = next >= MAX_PER_SECOND ? undefined : next;
    }
    const perSecond = this.#perSecond ?? 0;
    // Connections that were not used up are not saved for a later burst.
    this.#tokens = Math.min(
      Math.max(1, perSecond * ADJUST_MS / 1_000),
      this.#tokens + perSecond * elapsedMs / 1_000,
    );
  }
}

/**
 * Whether a host has much more to do than the others and cannot keep up. A host
 * that is as busy as the others takes all connections: the next attempt of a
 * caller would fare no better.
 *
 * @example
 * isHot({ loopDelayMs: 90, queued: 0, open: 200, openElsewhere: 80, otherHosts: 8 }); // true
 */
export function isHot(
  { loopDelayMs, queued, open, openElsewhere, otherHosts }: HostLoad,
): boolean {
  if (otherHosts === 0) return false;
  const isAhead = open > HOT_FACTOR * openElsewhere / otherHosts + HOT_MARGIN;
  return isAhead && (loopDelayMs >= LATE_MS || queued >= LONG_QUEUE);
}
