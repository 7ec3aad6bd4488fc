/**
 * Plans how many spot and how many ordinary (on-demand) backend servers of a
 * service each failure domain should have. Spot servers carry the load where
 * they are available, because they cost a fraction of the price. A reclaim takes
 * the spot servers of one failure domain only, and the other failure domains
 * serve its load until replacements have started.
 */
import * as domainSpread from "./domain_spread.ts";
import type * as routes from "./routes.ts";
import * as serverNeeds from "./server_needs.ts";

/** Time in ms for which no spot servers are ordered in a failure domain that had none available. */
const SPOT_RETRY_DELAY_MS = 3_000;

/** Time in ms for which the number of ordinary servers must be unchanged before any server is removed: servers that start together register within it, some heartbeats apart. */
const STABLE_COUNT_MS = 2_000;
/** Time in ms that a server needs to be listed after its boot time. */
const REGISTRATION_MARGIN_MS = 2_000;

/** Number of ready servers of a service in one failure domain, by kind. */
export interface DomainServers {
  readonly failureDomain: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** Server counts to order in one failure domain; an undefined count leaves that kind unchanged. */
export interface DomainCounts {
  readonly failureDomain: string;
  readonly ordinary: number | undefined;
  readonly spot: number | undefined;
}

/** Load, limits and ready servers of a service. */
export interface ServiceDemand extends serverNeeds.ServiceLoad {
  readonly bounds: routes.ScalingBounds;
  /** Servers that are ready, by failure domain. */
  readonly servers: readonly DomainServers[];
}

interface LastOrder {
  readonly count: number;
  readonly at: number;
}

type ServerKind = "ordinary" | "spot";

/** Input of one planning round. */
interface PlanningRound extends ServiceDemand, serverNeeds.NeededCounts {
  readonly now: number;
}

/** Plans the servers of one service in periodic rounds. */
export class DomainPlanner {
  readonly #needs = new serverNeeds.ServerNeeds();
  /** Number of servers when the list first settled; 0 until then. */
  #initial = 0;
  /** Number of ordinary servers in the last round, -1 before the first round, and the time of its last change. */
  #ordinaryCount = -1;
  #ordinaryCountSince = 0;
  readonly #spotUnavailableAt = new Map<string, number>();
  /** Last ordered count by failure domain and kind, and the time at which it last changed. */
  readonly #lastOrders = new Map<string, LastOrder>();

  /** Records that no spot servers are available in a failure domain. */
  recordSpotUnavailable(failureDomain: string, now: number): void {
    this.#spotUnavailableAt.set(failureDomain, now);
    // The refused servers will not start, so they are not expected any more.
    this.#lastOrders.delete(`${failureDomain}/spot`);
  }

  /**
   * Records that the response to an order was lost. The ordered servers may still
   * start, so their start time counts from now. If they were not expected to start,
   * the next plan with available spot servers would cancel the order, and a burst
   * would get servers of neither kind.
   */
  recordLostResponse(
    { failureDomain, spot }: {
      readonly failureDomain: string;
      readonly spot: boolean;
    },
    now: number,
  ): void {
    const key = `${failureDomain}/${spot ? "spot" : "ordinary"}`;
    const lastOrder = this.#lastOrders.get(key);
    if (lastOrder !== undefined) {
      this.#lastOrders.set(key, { ...lastOrder, at: now });
    }
  }

  /** Plans the next orders; removes no server before the server list has settled. */
  plan(service: ServiceDemand, now: number): DomainCounts[] {
    if (!this.#hasSettled(service.servers, now)) {
      return this.#planBeforeSettled(service, now);
    }
    const round: PlanningRound = {
      ...service,
      now,
      ...this.#needs.compute(service, {
        now,
        initialCount: this.#initial,
      }),
    };
    const spot = this.#planSpot(round);
    const ordinary = this.#planOrdinary(round, spot);
    return service.servers.map(({ failureDomain }) =>
      this.#recordOrder({
        failureDomain,
        spot: spot.get(failureDomain),
        ordinary: ordinary.get(failureDomain) ?? 0,
      }, now)
    );
  }

  /**
   * Plans spot replacements for the ordinary servers listed so far. Ordinary
   * servers cost their full price until the replacements have started, so this
   * does not wait for the server list to settle.
   */
  #planBeforeSettled(
    { servers, bounds }: ServiceDemand,
    now: number,
  ): DomainCounts[] {
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
   * Plans spot servers for the preferred count, spread over the failure domains
   * where they are available. Available failure domains make up for unavailable
   * ones. The extra servers are removed only once there are more ready spot
   * servers than preferred, because a failure domain that becomes available again
   * has no ready servers yet.
   */
  #planSpot(round: PlanningRound): ReadonlyMap<string, number> {
    const { servers, bounds, preferred } = round;
    const available = servers.filter((domain) => this.#hasSpot(domain, round));
    const unavailable = servers.filter((domain) => !available.includes(domain));
    const ranked = available.toSorted((a, b) =>
      getPrice(bounds, a.failureDomain) - getPrice(bounds, b.failureDomain)
    );
    const shares = domainSpread.spreadEvenly(
      preferred - sumBy(unavailable, ({ spot }) => spot),
      {
        domains: ranked.map((domain) => ({
          failureDomain: domain.failureDomain,
          min: Math.max(0, bounds.minServers - domain.ordinary),
          max: this.#countSpotRoom(domain, round),
        })),
      },
    );
    let surplus = sumBy(servers, ({ spot }) => spot) - preferred;
    return new Map(
      ranked.toReversed().map((domain) => {
        const { failureDomain } = domain;
        const share = shares.get(failureDomain) ?? 0;
        const expected = this.#countExpected(domain, { kind: "spot", round });
        const removed = Math.min(
          Math.max(0, surplus),
          Math.max(0, expected - share),
        );
        surplus -= removed;
        const room = this.#countSpotRoom(domain, round);
        return [
          failureDomain,
          Math.min(room, Math.max(share, expected - removed)),
        ];
      }),
    );
  }

  /** Counts the spot servers that fit into a failure domain besides its ordinary servers. */
  #countSpotRoom(domain: DomainServers, round: PlanningRound): number {
    const ordinary = this.#countExpected(domain, { kind: "ordinary", round });
    return Math.max(0, round.bounds.maxServers - ordinary);
  }

  /**
   * Plans ordinary servers. Existing ordinary servers stay until spot servers
   * have replaced them. New ordinary servers are ordered only if no more spot
   * servers are available and requests would fail, or to meet the configured
   * minimum. Orders for servers that are still starting are not cancelled, because
   * orders that alternate between both kinds leave the service without servers.
   */
  #planOrdinary(
    round: PlanningRound,
    spot: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> {
    const { servers, bounds, retained, required } = round;
    const spotReady = sumBy(servers, (domain) => domain.spot);
    const spotPlanned = sumBy(
      servers,
      ({ failureDomain, spot: ready }) => spot.get(failureDomain) ?? ready,
    );
    const missing = spotPlanned < required ? required - spotReady : 0;
    const replaced = this.#planReplacements(round, spot);
    const limits = servers.map((domain) => {
      const current = this.#countExpected(domain, { kind: "ordinary", round }) -
        (replaced.get(domain.failureDomain) ?? 0);
      const lacking = Math.max(0, bounds.minServers - domain.spot);
      return {
        failureDomain: domain.failureDomain,
        // Available spot servers meet the configured minimum instead.
        min: this.#hasSpot(domain, round)
          ? Math.min(current, lacking)
          : lacking,
        max: current,
      };
    }).toSorted((a, b) =>
      getPrice(bounds, a.failureDomain) - getPrice(bounds, b.failureDomain)
    );
    const kept = domainSpread.spreadEvenly(retained - spotReady, {
      domains: limits,
    });
    const keptCount = [...kept.values()].reduce((sum, count) => sum + count, 0);
    if (missing <= keptCount) return kept;
    return domainSpread.spreadEvenly(missing, {
      domains: limits.map(({ failureDomain }) => ({
        failureDomain,
        min: kept.get(failureDomain) ?? 0,
        max: bounds.maxServers -
          Math.max(
            countReadySpot(round, failureDomain),
            spot.get(failureDomain) ?? 0,
          ),
      })),
    });
  }

  /**
   * Plans the removal of ordinary servers to make room for spot servers: one in
   * each failure domain that is full. Without this, a failure domain full of
   * ordinary servers would have no room for spot servers and keep the ordinary
   * ones for good. No server is removed that the current load requires.
   */
  #planReplacements(
    round: PlanningRound,
    spot: ReadonlyMap<string, number>,
  ): ReadonlyMap<string, number> {
    const { servers, preferred, required } = round;
    const ready = sumBy(servers, (domain) => domain.ordinary + domain.spot);
    const planned = [...spot.values()].reduce((sum, count) => sum + count, 0);
    let left = Math.min(ready - required, preferred - planned);
    const full = servers.filter((domain) =>
      this.#hasSpot(domain, round) && this.#countSpotRoom(domain, round) === 0
    );
    return new Map(full.flatMap(({ failureDomain }) => {
      if (left <= 0) return [];
      left -= 1;
      return [[failureDomain, 1] as const];
    }));
  }

  #hasSpot(
    { failureDomain }: DomainServers,
    { bounds, now }: Pick<PlanningRound, "bounds" | "now">,
  ): boolean {
    const refusedAt = this.#spotUnavailableAt.get(failureDomain) ?? -Infinity;
    return bounds.spotPrice > 0 && now - refusedAt > SPOT_RETRY_DELAY_MS;
  }

  /** Counts the servers of a kind that are ready or expected to start. */
  #countExpected(
    domain: DomainServers,
    { kind, round: { bounds, now } }: {
      readonly kind: ServerKind;
      readonly round: PlanningRound;
    },
  ): number {
    const lastOrder = this.#lastOrders.get(`${domain.failureDomain}/${kind}`);
    const isStarting = lastOrder !== undefined &&
      now - lastOrder.at < bounds.bootMs + REGISTRATION_MARGIN_MS;
    return Math.max(domain[kind], isStarting ? lastOrder.count : 0);
  }

  #recordOrder(counts: DomainCounts, now: number): DomainCounts {
    (["ordinary", "spot"] as const).forEach((kind) => {
      const key = `${counts.failureDomain}/${kind}`;
      const count = counts[kind] ?? 0;
      if (this.#lastOrders.get(key)?.count === count) return;
      this.#lastOrders.set(key, { count, at: now });
    });
    return counts;
  }

  /**
   * Returns whether the number of ordinary servers has been stable. When all hosts
   * and servers start at once, the server list fills during the first rounds. A
   * plan made from an empty list would remove every server just as traffic begins.
   */
  #hasSettled(servers: readonly DomainServers[], now: number): boolean {
    if (this.#initial > 0) return true;
    // Only ordinary servers count, because spot servers are ordered before the
    // list has settled and start later.
    const ordinary = sumBy(servers, (domain) => domain.ordinary);
    const spot = sumBy(servers, (domain) => domain.spot);
    if (ordinary !== this.#ordinaryCount) {
      this.#ordinaryCount = ordinary;
      this.#ordinaryCountSince = now;
    }
    const stable = now - this.#ordinaryCountSince >= STABLE_COUNT_MS;
    if (ordinary + spot > 0 && stable) this.#initial = Math.max(ordinary, spot);
    return this.#initial > 0;
  }
}

function sumBy(
  servers: readonly DomainServers[],
  measure: (domain: DomainServers) => number,
): number {
  return servers.reduce((sum, domain) => sum + measure(domain), 0);
}

function countReadySpot(
  { servers }: PlanningRound,
  failureDomain: string,
): number {
  return servers.find((one) => one.failureDomain === failureDomain)?.spot ?? 0;
}

/** Returns the relative price of servers in a failure domain; 1 by default. */
function getPrice(bounds: routes.ScalingBounds, failureDomain: string): number {
  return bounds.domainPrices.get(failureDomain) ?? 1;
}
