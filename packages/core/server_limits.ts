/**
 * Keeps all hosts together within the limits that backend servers name: the
 * requests per second that a server in need accepts from all hosts. A host learns
 * a limit from a response, or from another host that did.
 *
 * Guards against hosts that each use the whole limit of a server, and against a
 * limit that outlasts its server's need because a host sends the server too few
 * requests to notice the end.
 */
import * as lru from "lru-cache";
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import * as ratePermits from "./rate_permits.ts";

/** Average share of a limit that the permits use: hosts draw independently, so their requests arrive in clusters, and the number of hosts may be out of date. */
const AVERAGE_LOAD_SHARE = 0.5;
/** Lifetime of a permit, in ms; a host that is not busy still has a request within it. */
const PERMIT_MS = 1_000;
/**
 * Bounds of the rate that is used for a limit, in requests per second. Without
 * any request a host would never learn that the limit has ended.
 */
const PER_SECOND_BOUNDS = { min: 0.05, max: 1_000_000 } as const;
/** Age up to which the end of a limit is reported to other hosts, in ms: several status intervals, so that each host receives it. */
const END_REPORT_MS = 15_000;
/** Time by which the end that another host saw must be newer than the limit, in ms; the clocks of hosts may differ. */
const END_MARGIN_MS = 2_000;

/** What a host knows of the limit of a server. */
export interface LimitRecord {
  readonly server: string;
  /** Absent if the server no longer names a limit. */
  readonly perSecond?: number;
  /** Time of the response that named the limit, or at which a request was sent whose response named none, in ms. */
  readonly at: number;
}

/** What a response says about the limit of its server. */
export interface LimitReport {
  /** Undefined if the response names no limit. */
  readonly perSecond: number | undefined;
  /** Time at which the request was sent, monotonic ms. */
  readonly sentAt: number;
  /** Whether the server answered the request with success; other responses may lack the limit. */
  readonly succeeded: boolean;
}

interface KnownLimit extends LimitRecord {
  /** Whether this host learned it from a response. */
  readonly own: boolean;
}

/** The limits of backend servers, and this host's permits for them. */
export class ServerLimits {
  /** Kept also for servers that are not listed: an entry that expired during a store outage comes back. */
  readonly #known = new lru.LRUCache<string, KnownLimit>({
    ...constants.SERVER_CACHE,
    dispose: (_, server, reason) => {
      // A limit that is named again keeps the phase of its permits.
      if (reason === "evict") this.#permits.forget(server);
    },
  });
  readonly #permits: ratePermits.RatePermits;

  constructor(options: { readonly random: utils.Random }) {
    this.#permits = new ratePermits.RatePermits(options);
  }

  /** Sets the number of hosts; the host sends nothing to a limited server before that. */
  setHosts(hosts: number): void {
    this.#permits.setHosts(hosts);
  }

  /** Records what a response says; `now` is the time of the response. */
  recordResponse(
    server: string,
    { perSecond, sentAt, succeeded }: LimitReport,
    now: number,
  ): void {
    if (perSecond !== undefined) {
      return this.#set({ server, perSecond, at: now, own: true });
    }
    // The response to a request that was sent before the limit was named says
    // nothing about the time since.
    const known = this.#known.get(server);
    const hasEnded = succeeded && known?.perSecond !== undefined &&
      sentAt > known.at;
    if (hasEnded) this.#set({ server, at: sentAt, own: true });
  }

  /** Merges what other hosts know; the newest record of a server applies. */
  merge(records: readonly LimitRecord[]): void {
    records.forEach((record) => {
      const known = this.#known.get(record.server);
      const hasEnded = record.perSecond === undefined;
      if (hasEnded && known === undefined) return;
      const marginMs = hasEnded ? END_MARGIN_MS : 0;
      if (record.at > (known?.at ?? -Infinity) + marginMs) {
        this.#set({ ...record, own: false });
      }
    });
  }

  /** Lists what this host learned from responses, to share with other hosts. */
  listOwn(now: number): LimitRecord[] {
    return [...this.#known.values()].filter(({ own, perSecond, at }) =>
      own && (perSecond !== undefined || now - at <= END_REPORT_MS)
    ).map(({ own: _own, ...record }) => record);
  }

  /** Whether this host may send a server a request: it has a permit, or the server names no limit. */
  mayUse(server: string, now: number): boolean {
    const rate = this.#findRate(server);
    return rate === undefined || this.#permits.has(rate, now);
  }

  /** Returns the time until this host may send a server a request, in ms. */
  getWaitMs(server: string, now: number): number {
    const rate = this.#findRate(server);
    return rate === undefined ? 0 : this.#permits.getWaitMs(rate, now);
  }

  /** Returns the time between two requests of all hosts together to a server, in ms; 0 if it names no limit. */
  getIntervalMs(server: string): number {
    const rate = this.#findRate(server);
    return rate === undefined ? 0 : 1_000 / rate.perSecond;
  }

  /** Uses up the current permit for a server. */
  use(server: string): void {
    this.#permits.use(server);
  }

  #findRate(server: string): ratePermits.SharedRate | undefined {
    const perSecond = this.#known.get(server)?.perSecond;
    return perSecond === undefined ? undefined : {
      name: server,
      perSecond: AVERAGE_LOAD_SHARE * computeRate(perSecond),
      permitMs: PERMIT_MS,
    };
  }

  #set(known: KnownLimit): void {
    this.#known.set(known.server, known);
    if (known.perSecond === undefined) this.#permits.forget(known.server);
  }
}

function computeRate(perSecond: number): number {
  const { min, max } = PER_SECOND_BOUNDS;
  return Math.min(max, Math.max(min, perSecond));
}
