/**
 * Limits the rate at which this host sends requests to cold servers. A cold
 * server crashes when all hosts together send it more than a certain number of
 * requests per second. All cold servers of a pool share one rate, and each
 * request goes to a randomly drawn one, so no server gets much more than its
 * share.
 *
 * Guards against overload when the servers of a failure domain come back together,
 * cold and idle, and all of about eighty hosts see them as the least loaded at once.
 */
import type * as utils from "@banyangrade/utils";
import * as ratePermits from "./rate_permits.ts";

/** Average share of a cold server's limit that the permits use: hosts draw independently, so their requests arrive in clusters. */
const AVERAGE_LOAD_SHARE = 0.25;
/** Lifetime of a permit, in ms. */
const PERMIT_MS = 400;

/** The cold servers of a pool at one moment. */
export interface ColdPool {
  readonly name: string;
  /** Number of cold servers in use. */
  readonly servers: number;
  /** Maximum number of requests that all hosts together may send to one of these servers within any second. */
  readonly mostPerSecond: number;
}

/** The permits of one host for cold servers. */
export class ColdServerPermits {
  readonly #permits: ratePermits.RatePermits;

  constructor(options: { readonly random: utils.Random }) {
    this.#permits = new ratePermits.RatePermits(options);
  }

  /** Sets the number of hosts; the host gets no permit before that. */
  setHosts(hosts: number): void {
    this.#permits.setHosts(hosts);
  }

  /** Whether this host has a permit to send a request to a cold server of a pool. */
  has({ name, servers, mostPerSecond }: ColdPool, now: number): boolean {
    const perSecond = AVERAGE_LOAD_SHARE * mostPerSecond * servers;
    return this.#permits.has({ name, perSecond, permitMs: PERMIT_MS }, now);
  }

  /** Uses up the current permit for a pool. */
  use(pool: string): void {
    this.#permits.use(pool);
  }
}
