/**
 * How many backend servers of a service each failure domain should have, and
 * of which kind. Reclaimable servers carry the load where they can be had: they
 * cost a fraction, and a reclaim takes those of one failure domain only, whose
 * work the others take over until more have started.
 */
import * as domainSpread from "./domain_spread.ts";
import type * as routes from "./routes.ts";
import * as serverNeeds from "./server_needs.ts";

/** Time for which no reclaimable servers are asked for where there were none, in ms. */
const UNAVAILABLE_MS = 3_000;

/** Time for which the number of servers stands still before any is sent away, in ms: some heartbeats apart, they register within it. */
const SETTLE_MS = 2_000;
/** Time beyond its start for a server to be listed, in ms. */
const STARTING_MARGIN_MS = 2_000;

/** Servers of a service in one failure domain. */
export interface DomainServers {
  readonly failureDomain: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** What is ordered in one failure domain; a kind that is undefined stays as it is. */
export interface DomainCounts {
  readonly failureDomain: string;
  readonly ordinary: number | undefined;
  readonly spot: number | undefined;
}

/** What is known of a service. */
export interface ServiceDemand extends serverNeeds.ServiceLoad {
  readonly bounds: routes.ScalingBounds;
  /** Servers that are ready, by failure domain. */
  readonly servers: readonly DomainServers[];
}

interface Ordered {
  readonly count: number;
  readonly at: number;
}

type Kind = "ordinary" | "spot";

/** One look at a service. */
interface Round extends ServiceDemand, serverNeeds.Needs {
  readonly now: number;
}

/** Plans the servers of one service, round by round. */
export class DomainPlanner {
  readonly #needs = new serverNeeds.ServerNeeds();
  /** Servers that there were when their number first stood still. */
  #atFirst = 0;
  /** Ordinary servers in the last round, -1 before the first, and since when there are as many. */
  #ready = -1;
  #readySince = 0;
  readonly #unavailable = new Map<string, number>();
  /** Last order by failure domain and kind, and since when it is that. */
  readonly #ordered = new Map<string, Ordered>();

  /** Records that a failure domain has no reclaimable servers now. */
  recordUnavailable(failureDomain: string, now: number): void {
    this.#unavailable.set(failureDomain, now);
    // What was refused does not start.
    this.#ordered.delete(`${failureDomain}/spot`);
  }

  /**
   * Records that the answer to an order was lost. What it asked for may still
   * start, its time counted from now: taken for what never comes, it was called
   * off as reclaimable servers were tried again, and the burst had neither.
   */
  recordUnanswered(
    { failureDomain, spot }: {
      readonly failureDomain: string;
      readonly spot: boolean;
    },
    now: number,
  ): void {
    const key = `${failureDomain}/${spot ? "spot" : "ordinary"}`;
    const ordered = this.#ordered.get(key);
    if (ordered !== undefined) {
      this.#ordered.set(key, { ...ordered, at: now });
    }
  }

  /** Plans the next orders; none is sent away before it is known what is there. */
  plan(service: ServiceDemand, now: number): DomainCounts[] {
    if (!this.#hasSettled(service.servers, now)) {
      return this.#planFirst(service, now);
    }
    const round: Round = {
      ...service,
      now,
      ...this.#needs.compute(service, { now, atFirst: this.#atFirst }),
    };
    const spot = this.#planSpot(round);
    const ordinary = this.#planOrdinary(round, spot);
    return service.servers.map(({ failureDomain }) =>
      this.#recordOrdered({
        failureDomain,
        spot: spot.get(failureDomain),
        ordinary: ordinary.get(failureDomain) ?? 0,
      }, now)
    );
  }

  /**
   * Orders reclaimable servers for the ordinary ones that are listed so far: all
   * of those cost their full price until the others have started, so no second is
   * lost until the list is known to be whole.
   */
  #planFirst({ servers, bounds }: ServiceDemand, now: number): DomainCounts[] {
    return servers
      .filter((domain) =>
        domain.ordinary > 0 && this.#hasSpot(domain, { bounds, now })
      )
      .map(({ failureDomain, ordinary, spot }) => ({
        failureDomain,
        ordinary: undefined,
        spot: Math.max(spot, Math.min(ordinary, bounds.maxServers - ordinary)),
      }));
  }

  /**
   * Plans reclaimable servers for all that is wanted, over the failure domains
   * where they are to be had. What one cannot have comes from the others, and
   * what those have gained is sent away only once there are more than wanted:
   * servers that may come back to the first are not there yet.
   */
  #planSpot(round: Round): ReadonlyMap<string, number> {
    const { servers, bounds, wanted } = round;
    const open = servers.filter((domain) => this.#hasSpot(domain, round));
    const shut = servers.filter((domain) => !open.includes(domain));
    const ranked = open.toSorted((a, b) =>
      getPrice(bounds, a.failureDomain) - getPrice(bounds, b.failureDomain)
    );
    const shares = domainSpread.spreadEvenly(
      wanted - sumOf(shut, ({ spot }) => spot),
      {
        domains: ranked.map((domain) => ({
          failureDomain: domain.failureDomain,
          least: Math.max(0, bounds.minServers - domain.ordinary),
          most: this.#countRoom(domain, round),
        })),
      },
    );
    let surplus = sumOf(servers, ({ spot }) => spot) - wanted;
    return new Map(
      ranked.toReversed().map((domain) => {
        const { failureDomain } = domain;
        const share = shares.get(failureDomain) ?? 0;
        const there = this.#countComing(domain, { kind: "spot", round });
        const dropped = Math.min(
          Math.max(0, surplus),
          Math.max(0, there - share),
        );
        surplus -= dropped;
        const most = this.#countRoom(domain, round);
        return [
          failureDomain,
          Math.min(most, Math.max(share, there - dropped)),
        ];
      }),
    );
  }

  /** Counts the reclaimable servers that a failure domain has room for beside the ordinary ones. */
  #countRoom(domain: DomainServers, round: Round): number {
    const ordinary = this.#countComing(domain, { kind: "ordinary", round });
    return Math.max(0, round.bounds.maxServers - ordinary);
  }

  /**
   * Plans ordinary servers. Those that are there stay until reclaimable ones
   * have started in their place; new ones are ordered only where no more of
   * the others are to be had and answers would fail, or to keep the lower
   * bound. Those on their way are not called off: a service whose orders swing
   * between both kinds has none.
   */
  #planOrdinary(
    round: Round,
    spot: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> {
    const { servers, bounds, enough, least } = round;
    const spotThere = sumOf(servers, (domain) => domain.spot);
    const spotPlanned = sumOf(
      servers,
      ({ failureDomain, spot: there }) => spot.get(failureDomain) ?? there,
    );
    const missing = spotPlanned < least ? least - spotThere : 0;
    const freed = this.#planSwaps(round, spot);
    const there = servers.map((domain) => {
      const most = this.#countComing(domain, { kind: "ordinary", round }) -
        (freed.get(domain.failureDomain) ?? 0);
      const lacking = Math.max(0, bounds.minServers - domain.spot);
      return {
        failureDomain: domain.failureDomain,
        // Where reclaimable ones are to be had, these keep the lower bound.
        least: this.#hasSpot(domain, round) ? Math.min(most, lacking) : lacking,
        most,
      };
    }).toSorted((a, b) =>
      getPrice(bounds, a.failureDomain) - getPrice(bounds, b.failureDomain)
    );
    const kept = domainSpread.spreadEvenly(enough - spotThere, {
      domains: there,
    });
    const keptCount = [...kept.values()].reduce((sum, count) => sum + count, 0);
    if (missing <= keptCount) return kept;
    return domainSpread.spreadEvenly(missing, {
      domains: there.map(({ failureDomain }) => ({
        failureDomain,
        least: kept.get(failureDomain) ?? 0,
        most: bounds.maxServers -
          Math.max(
            countSpot(round, failureDomain),
            spot.get(failureDomain) ?? 0,
          ),
      })),
    });
  }

  /**
   * Plans which ordinary servers give their places to reclaimable ones. A failure
   * domain that is full of ordinary servers has no room for others: without this
   * it would keep them for good. No more go than the load of the moment can miss.
   */
  #planSwaps(
    round: Round,
    spot: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> {
    const { servers, wanted, least } = round;
    const there = sumOf(servers, (domain) => domain.ordinary + domain.spot);
    const planned = [...spot.values()].reduce((sum, count) => sum + count, 0);
    let left = Math.min(there - least, wanted - planned);
    const full = servers.filter((domain) =>
      this.#hasSpot(domain, round) && this.#countRoom(domain, round) === 0
    );
    return new Map(full.flatMap(({ failureDomain }) => {
      if (left <= 0) return [];
      left -= 1;
      return [[failureDomain, 1] as const];
    }));
  }

  #hasSpot(
    { failureDomain }: DomainServers,
    { bounds, now }: Pick<Round, "bounds" | "now">,
  ): boolean {
    const refusedAt = this.#unavailable.get(failureDomain) ?? -Infinity;
    return bounds.spotPrice > 0 && now - refusedAt > UNAVAILABLE_MS;
  }

  /** Counts the servers of a kind that are there or about to start. */
  #countComing(
    domain: DomainServers,
    { kind, round: { bounds, now } }: {
      readonly kind: Kind;
      readonly round: Round;
    },
  ): number {
    const ordered = this.#ordered.get(`${domain.failureDomain}/${kind}`);
    const starts = ordered !== undefined &&
      now - ordered.at < bounds.bootMs + STARTING_MARGIN_MS;
    return Math.max(domain[kind], starts ? ordered.count : 0);
  }

  #recordOrdered(counts: DomainCounts, now: number): DomainCounts {
    (["ordinary", "spot"] as const).forEach((kind) => {
      const key = `${counts.failureDomain}/${kind}`;
      const count = counts[kind] ?? 0;
      if (this.#ordered.get(key)?.count === count) return;
      this.#ordered.set(key, { count, at: now });
    });
    return counts;
  }

  /**
   * Whether the number of servers has stood still for a moment. When all hosts
   * and servers start at once the list fills while the first plans are made;
   * one made for an empty list sent every server away as traffic began.
   */
  #hasSettled(servers: readonly DomainServers[], now: number): boolean {
    if (this.#atFirst > 0) return true;
    // Reclaimable ones are ordered meanwhile, and come late.
    const ordinary = sumOf(servers, (domain) => domain.ordinary);
    const spot = sumOf(servers, (domain) => domain.spot);
    if (ordinary !== this.#ready) {
      this.#ready = ordinary;
      this.#readySince = now;
    }
    const stands = now - this.#readySince >= SETTLE_MS;
    if (ordinary + spot > 0 && stands) this.#atFirst = Math.max(ordinary, spot);
    return this.#atFirst > 0;
  }
}

function sumOf(
  servers: readonly DomainServers[],
  read: (domain: DomainServers) => number,
): number {
  return servers.reduce((sum, domain) => sum + read(domain), 0);
}

function countSpot({ servers }: Round, failureDomain: string): number {
  return servers.find((one) => one.failureDomain === failureDomain)?.spot ?? 0;
}

/** Price of a server against that of the others of its kind. */
function getPrice(bounds: routes.ScalingBounds, failureDomain: string): number {
  return bounds.domainPrices.get(failureDomain) ?? 1;
}
