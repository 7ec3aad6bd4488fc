/**
 * Limits the rate at which this host sends requests to cold servers. A cold
 * server crashes when all hosts together send it more than a certain number of
 * requests per second, and hosts do not learn of each other's routing decisions
 * in time. Each host therefore gets its own permits: one per period, with a
 * random phase. The period follows from the host's share of the load that all
 * cold servers of the pool can take together. A host needs only the approximate
 * number of hosts, not what each of them sends. Each request goes to a randomly
 * drawn cold server, so no server gets much more than its share.
 *
 * Guards against overload when the servers of a failure domain come back together,
 * cold and idle, and all of about eighty hosts see them as the least loaded at once.
 */
import type * as utils from "@banyangrade/utils";

/** Average share of a cold server's limit that the permits use: hosts draw independently, so their requests arrive in clusters. */
const AVERAGE_LOAD_SHARE = 0.25;
/** Lifetime of a permit, in ms. Permits that never expired would all be used at once by a burst. */
const PERMIT_MS = 400;

/** The cold servers of a pool at one moment. */
export interface ColdPool {
  readonly name: string;
  /** Number of cold servers in use. */
  readonly servers: number;
  /** Maximum number of requests that all hosts together may send to one of these servers within any second. */
  readonly mostPerSecond: number;
}

/** Progress of a host between two permits of a pool. */
interface PermitState {
  /** Elapsed fraction of the current period, in [0, 1). */
  readonly phase: number;
  /** Time at which `phase` was computed, monotonic ms. */
  readonly at: number;
  /** Expiry of the latest permit, monotonic ms. */
  readonly expiresAt: number;
}

/** The permits of one host for cold servers. */
export class ColdServerPermits {
  readonly #random: utils.Random;
  readonly #states = new Map<string, PermitState>();
  #hosts: number | undefined;

  constructor(options: { readonly random: utils.Random }) {
    this.#random = options.random;
  }

  /** Sets the number of hosts; the host gets no permit before that. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /** Whether this host has a permit to send a request to a cold server of a pool. */
  has(pool: ColdPool, now: number): boolean {
    const periodMs = this.#getPeriodMs(pool);
    if (periodMs === undefined) {
      this.#states.delete(pool.name);
      return false;
    }
    const known = this.#states.get(pool.name) ??
      { phase: this.#random.next(), at: now, expiresAt: -Infinity };
    const elapsed = known.phase + (now - known.at) / periodMs;
    const phase = elapsed % 1;
    const expiresAt = elapsed >= 1
      ? now - phase * periodMs + PERMIT_MS
      : known.expiresAt;
    this.#states.set(pool.name, { phase, at: now, expiresAt });
    return now <= expiresAt;
  }

  /** Uses up the current permit for a pool. */
  use(pool: string): void {
    const known = this.#states.get(pool);
    if (known === undefined) return;
    this.#states.set(pool, { ...known, expiresAt: -Infinity });
  }

  /** Returns the time between two permits of this host, in ms; undefined while the host gets none. */
  #getPeriodMs({ servers, mostPerSecond }: ColdPool): number | undefined {
    const permitsPerSecond = AVERAGE_LOAD_SHARE * mostPerSecond * servers;
    if (this.#hosts === undefined || permitsPerSecond <= 0) return undefined;
    return 1_000 * this.#hosts / permitsPerSecond;
  }
}
