/**
 * Keeps the refusals of brittle servers low. A brittle server says how many
 * requests it may refuse in a second for want of room, from all hosts together;
 * beyond that it crashes. No host knows what the others send, so:
 *
 * - a host runs no more than its share of the slots there, at least one request;
 * - once refused, it sends nothing there but a request at each permit, and the
 *   permits of all hosts are fewer than the refusals that the server bears;
 * - once such a request is served, it begins again with one request at a time.
 */
import * as lru from "lru-cache";
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import * as ratePermits from "./rate_permits.ts";

/**
 * Standard deviations by which the bearable refusals exceed the mean rate of the
 * permits: hosts draw independently, and the number of hosts may be out of date.
 */
const MARGIN = 6;
/** Lifetime of a permit, in ms; long, because permits are rare and a host that is not busy must not lose them. */
const PERMIT_MS = 5_000;
/** Bounds of the bearable refusals per second; a host that never tries a server would not learn that it has room. */
const PER_SECOND_BOUNDS = { min: 0.2, max: 1_000_000 } as const;

/** What a response says about the brittleness of its server. */
export interface BrittlenessReport {
  /** Refusals per second that the server bears; undefined if it is not brittle. */
  readonly perSecond: number | undefined;
  /** Time at which the request was sent, monotonic ms. */
  readonly sentAt: number;
  /** Whether the server answered the request with success. */
  readonly succeeded: boolean;
}

/** What a host knows of a brittle server. */
interface BrittleServer {
  readonly perSecond: number;
  /** When the server last said that it is brittle, monotonic ms. */
  readonly namedAt: number;
  /** When it last refused a request of this host; undefined if it has served one sent since. */
  readonly refusedAt?: number;
  /** Requests that this host may run there at a time, apart from its share. */
  readonly window: number;
}

/** Load of this host at a server. */
export interface OwnLoad {
  readonly running: number;
  readonly slots: number;
  readonly now: number;
}

/** Numbers of brittle servers, by whether they refused the last request of this host. */
export interface BrittleCounts {
  readonly open: number;
  readonly refusing: number;
}

/** The brittle servers that a host knows. */
export class BrittleServers {
  /** Kept also for servers that are not listed: an entry that expired during a store outage comes back. */
  readonly #known = new lru.LRUCache<string, BrittleServer>({
    ...constants.SERVER_CACHE,
    dispose: (_, server, reason) => {
      if (reason === "evict") this.#permits.forget(server);
    },
  });
  readonly #permits: ratePermits.RatePermits;
  #hosts: number | undefined;

  constructor(options: { readonly random: utils.Random }) {
    this.#permits = new ratePermits.RatePermits(options);
  }

  /** Sets the number of hosts; before that, the host runs one request at a time at a brittle server and has no permits. */
  setHosts(hosts: number): void {
    this.#hosts = hosts;
    this.#permits.setHosts(hosts);
  }

  /** Records what a response says; `now` is the time of the response. */
  recordResponse(
    server: string,
    { perSecond, sentAt, succeeded }: BrittlenessReport,
    now: number,
  ): void {
    const known = this.#known.get(server);
    if (perSecond === undefined) {
      const hasEnded = succeeded && known !== undefined &&
        sentAt > known.namedAt;
      if (hasEnded) this.#forget(server);
      return;
    }
    const before = known ?? { window: 1 };
    this.#known.set(server, { ...before, perSecond, namedAt: now });
    if (succeeded) this.#recordServed(server, sentAt);
  }

  #recordServed(server: string, sentAt: number): void {
    const known = this.#known.get(server);
    if (known === undefined) return;
    const { refusedAt, ...others } = known;
    // A request that was sent before the refusal says nothing about the time since.
    if (refusedAt !== undefined && sentAt <= refusedAt) return;
    this.#known.set(server, { ...others, window: known.window + 1 });
  }

  /** Records that a server refused a request for want of room. */
  recordRefusal(server: string, now: number): void {
    const known = this.#known.get(server);
    if (known === undefined) return;
    this.#known.set(server, { ...known, refusedAt: now, window: 1 });
    this.#permits.use(server);
  }

  /** Whether a server is brittle. */
  isBrittle(server: string): boolean {
    return this.#known.has(server);
  }

  /** Counts the servers that are brittle, by whether the last request of this host there was refused. */
  countByState(): BrittleCounts {
    const refusing = [...this.#known.values()]
      .filter(({ refusedAt }) => refusedAt !== undefined).length;
    return { open: this.#known.size - refusing, refusing };
  }

  /** Whether any server is brittle. */
  hasAny(): boolean {
    return this.#known.size > 0;
  }

  /** Whether this host may send a server one more request. */
  mayUse(server: string, { running, slots, now }: OwnLoad): boolean {
    const known = this.#known.get(server);
    if (known === undefined) return true;
    if (known.refusedAt !== undefined) {
      return running === 0 &&
        this.#permits.has(buildRate(server, known), now);
    }
    return running < Math.min(known.window, this.#computeShare(slots));
  }

  /** Returns the time until this host may try a server that refused a request, in ms; 0 if it refused none. */
  getWaitMs(server: string, now: number): number {
    const known = this.#known.get(server);
    if (known?.refusedAt === undefined) return 0;
    return this.#permits.getWaitMs(buildRate(server, known), now);
  }

  /** Uses up the permit for a server that refused a request. */
  use(server: string): void {
    if (this.#known.get(server)?.refusedAt === undefined) return;
    this.#permits.use(server);
  }

  #computeShare(slots: number): number {
    return Math.max(1, Math.floor(slots / (this.#hosts ?? slots)));
  }

  #forget(server: string): void {
    this.#known.delete(server);
    this.#permits.forget(server);
  }
}

function buildRate(
  name: string,
  { perSecond }: BrittleServer,
): ratePermits.SharedRate {
  const { min, max } = PER_SECOND_BOUNDS;
  const bearable = Math.min(max, Math.max(min, perSecond));
  return { name, perSecond: computePermitRate(bearable), permitMs: PERMIT_MS };
}

/** Computes the rate whose mean and {@link MARGIN} standard deviations in a second add up to the bearable refusals. */
function computePermitRate(bearable: number): number {
  const root = Math.sqrt(bearable + MARGIN ** 2 / 4) - MARGIN / 2;
  return root ** 2;
}
