/**
 * What a host knows of brittle servers, from their responses and from other hosts:
 * which ones are brittle, since when, and when that ended. A server from which no
 * host has received a response yet, such as one that is back after a crash, counts
 * as brittle while most of its service does.
 */
import * as lru from "lru-cache";
import * as constants from "./constants.ts";

/** Time for which the word of some servers counts for silent ones of their service, in ms; longer than a restart. */
const SERVICE_MS = 10_000;
/** Time for which the rate of a service's silent servers is not computed again, in ms. */
const SERVICE_RATE_MS = 50;
/** Share of a service's servers that must be brittle for its silent ones to count as brittle. */
const SERVICE_SHARE = 0.5;
/** Age up to which the end of brittleness is reported to other hosts, in ms: several status intervals, so that each host receives it. */
const END_REPORT_MS = 15_000;
/** Time for which the end is reported anew with each success, in ms; longer than {@link END_MARGIN_MS}. */
const END_REPEAT_MS = 4_000;
/** Time without a word of a server after which it is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Time by which the end that another host saw must be newer than the last word of the server, in ms; the clocks of hosts may differ. */
const END_MARGIN_MS = 2_000;

/** What hosts report to each other of a brittle server. */
export interface BrittleRecord {
  readonly server: string;
  readonly service: string;
  /** Refusals per second that the server bears; absent if it is no longer brittle. */
  readonly perSecond?: number;
  /** Time of the last response that named it, or at which a request was sent whose response named none, in ms. */
  readonly at: number;
  /** Time before `at` for which it has been brittle, in ms. */
  readonly forMs: number;
}

/** What a response says about the brittleness of its server. */
export interface BrittlenessReport {
  readonly service: string;
  /** Refusals per second that the server bears; undefined if it is not brittle. */
  readonly perSecond: number | undefined;
  /** Time at which the request was sent, monotonic ms. */
  readonly sentAt: number;
  /** Whether the server answered the request with success. */
  readonly succeeded: boolean;
}

/** What a host knows of a brittle server. */
interface KnownServer extends BrittleRecord {
  /** Whether this host learned it from a response. */
  readonly own: boolean;
  /** When this host first saw that the server is no longer brittle, monotonic ms. */
  readonly endedAt?: number;
}

/** A server at which a request may start. */
export interface BrittleTarget {
  readonly server: string;
  readonly service: string;
}

/** What the hosts know of brittle servers. */
export class BrittleRecords {
  /** Kept also for servers that are not listed: an entry that expired during a store outage comes back. */
  readonly #known = new lru.LRUCache<string, KnownServer>({
    ...constants.SERVER_CACHE,
    dispose: (_, server, reason) => {
      if (reason === "evict") this.#onForgotten(server);
    },
  });
  /** Servers that answered without naming themselves brittle. */
  readonly #sound = new lru.LRUCache<string, true>(constants.SERVER_CACHE);
  /** Numbers of listed servers, by service. */
  #listed: ReadonlyMap<string, number> = new Map();
  /** What silent servers of a service bear, and when it was found. */
  readonly #serviceRates = new Map<
    string,
    { readonly at: number; readonly perSecond: number | undefined }
  >();
  readonly #onForgotten: (server: string) => void;

  constructor(
    options: {
      /** Called when a server is no longer known to be brittle. */
      readonly onForgotten: (server: string) => void;
    },
  ) {
    this.#onForgotten = options.onForgotten;
  }

  /** Sets the listed servers. */
  setServers(servers: readonly BrittleTarget[]): void {
    const counts = new Map<string, number>();
    servers.forEach(({ service }) =>
      counts.set(service, (counts.get(service) ?? 0) + 1)
    );
    this.#listed = counts;
  }

  /** Records what a response says; `now` is the time of the response. */
  record(
    server: string,
    { service, perSecond, sentAt, succeeded }: BrittlenessReport,
    now: number,
  ): void {
    const known = this.#known.get(server);
    if (perSecond === undefined) {
      if (succeeded && this.size > 0) this.#sound.set(server, true);
      if (succeeded && known !== undefined && sentAt > known.at) {
        this.#recordSound(known, sentAt);
      }
      return;
    }
    const startedAt = known?.perSecond === undefined
      ? now
      : known.at - known.forMs;
    const forMs = now - startedAt;
    this.#sound.delete(server);
    this.#known.set(server, {
      server,
      service,
      perSecond,
      at: now,
      forMs,
      own: true,
    });
  }

  /** Records that a server no longer names itself, and repeats it until the clocks of other hosts cannot hide it. */
  #recordSound(known: KnownServer, at: number): void {
    const { endedAt = at } = known;
    const isOld = at - endedAt > END_REPEAT_MS;
    if (known.perSecond === undefined && isOld) return;
    this.#end({ ...known, at, endedAt, own: true });
  }

  /** Merges what other hosts know; the newest record of a server applies. */
  merge(records: readonly BrittleRecord[], now: number): void {
    this.#forgetOld(now);
    records.forEach((record) => {
      const known = this.#known.get(record.server);
      const hasEnded = record.perSecond === undefined;
      if (hasEnded && known?.perSecond === undefined) return;
      const marginMs = hasEnded ? END_MARGIN_MS : 0;
      if (record.at <= (known?.at ?? -Infinity) + marginMs) return;
      if (hasEnded) return this.#end({ ...record, own: false });
      const isSame = known?.perSecond !== undefined;
      const forMs = isSame
        ? Math.max(record.forMs, record.at - (known.at - known.forMs))
        : record.forMs;
      this.#known.set(record.server, { ...record, forMs, own: false });
    });
  }

  /** Forgets servers that no host has sent anything for long, and such as are gone. */
  #forgetOld(now: number): void {
    [...this.#known.values()]
      .filter(({ at, perSecond }) =>
        now - at > (perSecond === undefined ? END_REPORT_MS : FORGET_MS)
      )
      .forEach(({ server }) => {
        this.#known.delete(server);
        this.#onForgotten(server);
      });
    if (this.#known.size === 0) this.#sound.clear();
  }

  /** Lists what this host learned from responses lately, to share with other hosts. */
  listOwn(now: number): BrittleRecord[] {
    return [...this.#known.values()]
      .filter(({ own, at }) => own && now - at <= END_REPORT_MS)
      .map(({ own: _own, endedAt: _endedAt, ...record }) => record);
  }

  /** Returns the refusals per second that a server bears; undefined if it is not brittle. */
  findRate(
    { server, service }: BrittleTarget,
    now: number,
  ): number | undefined {
    if (this.#known.size === 0) return undefined;
    const known = this.#known.get(server);
    if (known !== undefined) return known.perSecond;
    if (this.#sound.has(server)) return undefined;
    return this.#findServiceRate(service, now);
  }

  /** Returns the refusals per second that a silent server of a service bears; undefined if the service is not brittle. */
  #findServiceRate(service: string, now: number): number | undefined {
    const cached = this.#serviceRates.get(service);
    if (cached !== undefined && now - cached.at < SERVICE_RATE_MS) {
      return cached.perSecond;
    }
    const siblings = [...this.#known.values()].filter((one) =>
      one.service === service && one.perSecond !== undefined &&
      now - one.at <= SERVICE_MS
    );
    const listed = this.#listed.get(service) ?? 0;
    const isBrittle = siblings.length > 0 &&
      siblings.length >= SERVICE_SHARE * listed;
    const perSecond = isBrittle
      ? Math.min(...siblings.map((one) => one.perSecond ?? 0))
      : undefined;
    this.#serviceRates.set(service, { at: now, perSecond });
    return perSecond;
  }

  /** Returns the number of servers that are or were brittle lately. */
  get size(): number {
    return this.#known.size;
  }

  /** Lists the servers that say that they are brittle. */
  listBrittle(): string[] {
    return [...this.#known.values()]
      .filter(({ perSecond }) => perSecond !== undefined)
      .map(({ server }) => server);
  }

  /** Returns since when a server has said that it is brittle, monotonic ms; undefined if it does not. */
  findStart(server: string): number | undefined {
    const known = this.#known.get(server);
    return known?.perSecond === undefined ? undefined : known.at - known.forMs;
  }

  #end(known: KnownServer): void {
    const { perSecond: _perSecond, ...ended } = known;
    this.#known.set(known.server, ended);
    this.#onForgotten(known.server);
  }
}
