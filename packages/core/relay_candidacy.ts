/**
 * Decides when a host tries to become the relay of its failure domain, and when a
 * follower gives up a relay. The relay sends the list of servers and the load of
 * all engines to each of its followers, so a host with a fast link should hold the
 * role.
 */
import * as storeBackoff from "./store_backoff.ts";

/**
 * Time over which hosts that start together spread their attempts to acquire the
 * lease, in ms; many store calls long, and half of the startup time of a process.
 */
const ATTEMPT_SPREAD_MS = 300;
/** Delay of a host with a link of 1 Mbit/s, in ms; the delay is inversely proportional to the rate. */
const LINK_DELAY_MS = 4_000;
/**
 * Maximum delay for the link, in ms. Links of 10 Mbit/s reach it. It exceeds the
 * spread, so that a host there attempts after every host with 200 Mbit/s.
 */
const MAX_LINK_DELAY_MS = 400;
/**
 * Time in ms for which a relay may answer that it is unready before its followers
 * give it up, if the store serves them. An interruption of a second or less is
 * cheaper than a change of the relay.
 */
const UNREADY_MS = 1_000;

/** Rate of a link from which a host looks for the role every second, in Mbit/s; its attempt is then delayed by 100 ms at most. */
const FAST_LINK_MBPS = 40;

/**
 * Computes the delay in ms before a host attempts to acquire the free role of
 * relay. `drawn` is a random number in [0, 1).
 *
 * @example
 * computeAttemptDelay({ linkMbps: 200, drawn: 0.5 }); // 170
 */
export function computeAttemptDelay(
  { linkMbps, drawn }: {
    /** Rate of the host's link, in Mbit/s; undefined if it is not limited. */
    readonly linkMbps: number | undefined;
    readonly drawn: number;
  },
): number {
  const linkDelayMs = linkMbps === undefined
    ? 0
    : Math.min(MAX_LINK_DELAY_MS, LINK_DELAY_MS / linkMbps);
  return Math.floor(drawn * ATTEMPT_SPREAD_MS) + linkDelayMs;
}

/**
 * Computes the interval in ms at which a host without a relay looks for the role.
 * Hosts with a fast link look as often as in a small failure domain. Otherwise one
 * of the many hosts with slow links would find the role free first, seconds before
 * a host that should hold it.
 *
 * @example
 * computeLookInterval({ hosts: 28, linkMbps: 10 }); // 3500
 */
export function computeLookInterval(
  { hosts, linkMbps }: {
    /** Number of hosts of the failure domain. */
    readonly hosts: number;
    /** Rate of the host's link, in Mbit/s; undefined if it is not limited. */
    readonly linkMbps: number | undefined;
  },
): number {
  const isFast = linkMbps !== undefined && linkMbps >= FAST_LINK_MBPS;
  return storeBackoff.computeIntervalWithoutRelay(isFast ? 1 : hosts);
}

/**
 * Tracks whether a relay answers with fresh data and whether the store serves this
 * host. A relay that only the store rejects answers "unready" for as long as it is
 * rejected; unless its followers give it up, each of them calls the store by
 * itself meanwhile. During an outage for all hosts no other relay would be better.
 */
export class RelayReadiness {
  #unreadySince: number | undefined;
  /** Time of the first call that the store processed since the last one that failed. */
  #servedSince: number | undefined;
  #servedAt = Number.NEGATIVE_INFINITY;

  /** Records whether the relay answered with fresh data. */
  recordAnswer({ ready }: { readonly ready: boolean }, now: number): void {
    this.#unreadySince = ready ? undefined : this.#unreadySince ?? now;
  }

  /** Records whether a call of this host was processed by the store. */
  recordStoreCall({ ok }: { readonly ok: boolean }, now: number): void {
    if (!ok) return void (this.#servedSince = undefined);
    this.#servedSince ??= now;
    this.#servedAt = now;
  }

  /** Forgets the answers of a relay that is no longer used. */
  clear(): void {
    this.#unreadySince = undefined;
  }

  /**
   * Whether the relay should be given up, so that another host may take the role.
   * The store must have served this host for as long as the relay was unready: when
   * an outage for all hosts ends, a follower may be served just before its relay.
   */
  isReplaceable(now: number): boolean {
    if (this.#unreadySince === undefined) return false;
    if (this.#servedSince === undefined) return false;
    const since = Math.max(this.#unreadySince, this.#servedSince);
    return now - since > UNREADY_MS && this.#servedAt > this.#unreadySince;
  }
}
