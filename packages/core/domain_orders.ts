/**
 * How many backend servers of a service each failure domain should have, and
 * of which kind. Reclaimable servers carry the load where they can be had: they
 * cost a fraction, and a reclaim takes those of one failure domain only, whose
 * work the others take over until more have started.
 */
import type * as routes from "./routes.ts";

/** Load that a server is planned for, as a share of its slots: prompts of some and tokens of others share its time, so tokens come late long before the slots are full. */
const TARGET_UTILISATION = 0.2;
/** The most that was needed within this time is kept, in ms: a burst that comes back within it finds its servers. */
const KEEP_MS = 20_000;
/** Time for which no reclaimable servers are asked for where there were none, in ms. */
const UNAVAILABLE_MS = 3_000;

/** Time for which the number of servers stands still before the first plan, in ms: some heartbeats apart, they register within it. */
const SETTLE_MS = 2_000;
/** Time beyond its start for a server to be listed, in ms. */
const STARTING_MARGIN_MS = 2_000;

/** Servers of a service in one failure domain. */
export interface DomainServers {
  readonly failureDomain: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** What is ordered in one failure domain. */
export interface DomainCounts {
  readonly failureDomain: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** What is known of a service. */
export interface ServiceDemand {
  readonly bounds: routes.ScalingBounds;
  readonly slots: number;
  /** Requests running and queued, over all hosts. */
  readonly demand: number;
  /** Servers that are ready, by failure domain. */
  readonly servers: readonly DomainServers[];
}

interface Needed {
  readonly at: number;
  /** Demand in servers whose slots are all in use. */
  readonly fullServers: number;
}

/** Plans the servers of one service, round by round. */
export class DomainPlanner {
  #needed: readonly Needed[] = [];
  #firstAt: number | undefined;
  /** Servers that there were when their number first stood still. */
  #atFirst = 0;
  #ready = 0;
  #readySince = 0;
  readonly #unavailable = new Map<string, number>();
  readonly #ordered = new Map<
    string,
    { readonly ordinary: number; readonly at: number }
  >();

  /** Records that a failure domain has no reclaimable servers now. */
  recordUnavailable(failureDomain: string, now: number): void {
    this.#unavailable.set(failureDomain, now);
  }

  /** Plans the next orders; none before it is known what is there. */
  plan(service: ServiceDemand, now: number): DomainCounts[] {
    const { bounds, servers } = service;
    if (!this.#hasSettled(servers, now)) return [];
    const total = this.#computeTotal(service, now);
    const hasSpot = ({ failureDomain }: DomainServers) =>
      bounds.spotPrice > 0 &&
      now - (this.#unavailable.get(failureDomain) ?? -Infinity) >
        UNAVAILABLE_MS;
    const ranked = servers.toSorted((a, b) =>
      getPrice(bounds, a, hasSpot(a)) - getPrice(bounds, b, hasSpot(b))
    );
    const names = ranked.map((one) => one.failureDomain);
    const shares = spreadEvenly(total, { ranked: names, bounds });
    return servers.map((domain) => {
      const { failureDomain } = domain;
      const wanted = shares.get(failureDomain) ?? 0;
      if (!hasSpot(domain)) {
        const spot = Math.min(domain.spot, wanted);
        return { failureDomain, spot, ordinary: wanted - spot };
      }
      return this.#planSpot(domain, { bounds, wanted, now });
    }).map((counts) => this.#recordOrdered(counts, now));
  }

  /**
   * Plans reclaimable servers for what is wanted, beside the ordinary ones that
   * are there or about to start: these stay until the others have started. New
   * ones are never ordinary here, and those on their way are not called off:
   * a domain at its upper bound would swing between both kinds and have none.
   */
  #planSpot(
    { failureDomain, ordinary, spot }: DomainServers,
    { bounds, wanted, now }: {
      readonly bounds: routes.ScalingBounds;
      readonly wanted: number;
      readonly now: number;
    },
  ): DomainCounts {
    const ordered = this.#ordered.get(failureDomain);
    const coming = ordered !== undefined &&
        now - ordered.at < bounds.bootMs + STARTING_MARGIN_MS
      ? ordered.ordinary
      : 0;
    const kept = Math.min(
      Math.max(0, wanted - spot),
      Math.max(ordinary, coming),
    );
    return {
      failureDomain,
      ordinary: kept,
      spot: Math.min(wanted, bounds.maxServers - kept),
    };
  }

  #recordOrdered(counts: DomainCounts, now: number): DomainCounts {
    const { failureDomain, ordinary } = counts;
    if (this.#ordered.get(failureDomain)?.ordinary !== ordinary) {
      this.#ordered.set(failureDomain, { ordinary, at: now });
    }
    return counts;
  }

  /**
   * Whether the number of servers has stood still for a moment. When all hosts
   * and servers start at once the list fills while the first plans are made;
   * one made for an empty list sent every server away as traffic began.
   */
  #hasSettled(servers: readonly DomainServers[], now: number): boolean {
    if (this.#atFirst > 0) return true;
    const ready = servers.reduce(
      (sum, one) => sum + one.ordinary + one.spot,
      0,
    );
    if (ready !== this.#ready) {
      this.#ready = ready;
      this.#readySince = now;
    }
    if (ready > 0 && now - this.#readySince >= SETTLE_MS) this.#atFirst = ready;
    return this.#atFirst > 0;
  }

  /** The most that was needed of late. */
  #computeTotal({ slots, demand }: ServiceDemand, now: number): number {
    // A planner that has just begun does not know what was needed of late: it
    // keeps what is there.
    if (demand > 0) this.#firstAt ??= now;
    const begun = now - (this.#firstAt ?? now) < KEEP_MS;
    this.#needed = [
      ...this.#needed.filter((needed) => now - needed.at < KEEP_MS),
      { at: now, fullServers: demand / slots },
    ];
    const most = Math.max(...this.#needed.map((needed) => needed.fullServers));
    return Math.max(
      begun ? this.#atFirst : 0,
      Math.ceil(most / TARGET_UTILISATION),
    );
  }
}

function getPrice(
  bounds: routes.ScalingBounds,
  { failureDomain }: DomainServers,
  spot: boolean,
): number {
  const price = bounds.domainPrices.get(failureDomain) ?? 1;
  return price * (spot ? bounds.spotPrice : 1);
}

/** Gives each failure domain its least, then one at a time to each in its rank. */
function spreadEvenly(
  total: number,
  { ranked, bounds }: {
    readonly ranked: readonly string[];
    readonly bounds: routes.ScalingBounds;
  },
): ReadonlyMap<string, number> {
  const counts = new Map(ranked.map((domain) => [domain, bounds.minServers]));
  let left = total - ranked.length * bounds.minServers;
  while (left > 0) {
    const open = ranked.filter((domain) =>
      (counts.get(domain) ?? 0) < bounds.maxServers
    );
    if (open.length === 0) break;
    open.slice(0, left).forEach((domain) =>
      counts.set(domain, (counts.get(domain) ?? 0) + 1)
    );
    left -= open.length;
  }
  return counts;
}
