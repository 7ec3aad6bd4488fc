/**
 * Allocates the slots of a failure domain. One host, the capacity leader, which
 * is the first live host by hash, collects the demand of all hosts by pool and
 * class and grants slots to each host: guaranteed shares first, then tier by
 * tier, evenly within a tier. The grants are soft state: if two hosts allocate
 * for a short time, engines are overcommitted and queue requests, but no
 * guarantee depends on it.
 */
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** Age at which the demand of a host expires, in ms. */
const DEMAND_VALID_MS = 15_000;
/** Age at which the demand of a host of another failure domain expires, in ms. Its grants expire after the same time. */
const REMOTE_DEMAND_VALID_MS = constants.GRANT_VALID_MS;

/** Capacity of a pool as the allocator needs it. */
export interface PoolCapacity {
  readonly pool: string;
  /** Slots of its live backend servers. */
  readonly slots: number;
  /** Guaranteed share of each class. */
  readonly shares: ReadonlyMap<string, number>;
  /** Its live backend servers, some of which are lent to hosts of other failure domains. */
  readonly servers: readonly events.ServerInfo[];
}

/** The last demand that a host reported. */
interface HostDemand {
  readonly at: number;
  /** Whether the host belongs to another failure domain. */
  readonly remote: boolean;
  readonly pools: ReadonlyMap<string, events.PoolDemand>;
}

/** Demand of one class at one host and the slots granted to it. */
interface Claimant {
  readonly host: string;
  readonly remote: boolean;
  readonly className: string;
  readonly tier: number;
  readonly demand: number;
  readonly running: number;
  granted: number;
}

/**
 * Computes how many slots of a pool the allocator grants. Calls of a plain
 * service end before their report reaches the capacity leader, so some granted
 * slots are always idle at one host while requests are queued at another.
 * Granting more slots than exist keeps the service busy. Requests of engines
 * last far longer than a report takes, so engines need no surplus.
 *
 * @example
 * countGrantable({ serves: "service" }, 8); // 10
 */
export function countGrantable(
  pool: Pick<config.PoolPart, "serves">,
  slots: number,
): number {
  const factor = pool.serves === "service" ? constants.CALL_GRANT_FACTOR : 1;
  return Math.round(slots * factor);
}

/** Collects the demand of all hosts and grants slots to them. */
export class CapacityAllocator {
  readonly #demands = new Map<string, HostDemand>();

  /** Replaces the demand of a host. */
  setDemand(
    host: string,
    { demands, now, remote: visiting = false }: {
      readonly demands: readonly events.PoolDemand[];
      readonly now: number;
      /** Whether the host belongs to another failure domain. @default false */
      readonly remote?: boolean;
    },
  ): void {
    this.#demands.set(host, {
      at: now,
      remote: visiting,
      pools: new Map(demands.map((demand) => [demand.pool, demand])),
    });
  }

  /** Drops the demand of all hosts of this failure domain except the given ones. */
  keepHosts(hosts: ReadonlySet<string>): void {
    [...this.#demands]
      .filter(([host, demand]) => !demand.remote && !hosts.has(host))
      .forEach(([host]) => this.#demands.delete(host));
  }

  /**
   * Selects backend servers to lend to a host of another failure domain: the
   * least loaded ones of each pool that the host demands.
   */
  listLentServers(
    host: string,
    capacities: readonly PoolCapacity[],
  ): events.ServerInfo[] {
    const pools = this.#demands.get(host)?.pools;
    return capacities.filter((capacity) => pools?.has(capacity.pool))
      .flatMap((capacity) => {
        const counts = this.#countRunning(capacity.pool);
        const running = (info: events.ServerInfo) => counts.get(info.name) ?? 0;
        return capacity.servers.toSorted((a, b) => running(a) - running(b))
          .slice(0, constants.MAX_LENT_SERVERS);
      });
  }

  /** Computes the grants of all hosts. */
  allocate(
    capacities: readonly PoolCapacity[],
    now: number,
  ): ReadonlyMap<string, readonly events.Grant[]> {
    [...this.#demands].filter(([, demand]) => isOutdated(demand, now))
      .forEach(([host]) => this.#demands.delete(host));
    const hosts = this.#listHosts({ remote: false });
    const remoteHosts = this.#listHosts({ remote: true });
    const grants = new Map(
      [...hosts, ...remoteHosts].map((host) => [host, [] as events.Grant[]]),
    );
    capacities.forEach((capacity) => {
      const claimants = this.#listClaimants(capacity.pool);
      const counts = this.#countRunning(capacity.pool);
      allocatePool(capacity, { hosts, remoteHosts, claimants })
        .forEach((
          grant,
          host,
        ) =>
          grants.get(host)?.push({
            ...grant,
            runningElsewhere: this.#listElsewhere(host, { grant, counts }),
          })
        );
    });
    return grants;
  }

  #listHosts({ remote }: { readonly remote: boolean }): string[] {
    return [...this.#demands]
      .filter(([, demand]) => demand.remote === remote)
      .map(([host]) => host).toSorted();
  }

  /** Counts the running requests of all hosts on each server of a pool. */
  #countRunning(pool: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    this.#demands.forEach((demand) =>
      demand.pools.get(pool)?.servers.forEach(({ server, running }) =>
        counts.set(server, (counts.get(server) ?? 0) + running)
      )
    );
    return counts;
  }

  /** Counts the running requests of other hosts on the servers that a host listed. */
  #listElsewhere(
    host: string,
    { grant, counts }: {
      readonly grant: events.PoolGrant;
      readonly counts: ReadonlyMap<string, number>;
    },
  ): events.ServerCount[] {
    const listed = this.#demands.get(host)?.pools.get(grant.pool)?.servers ??
      [];
    return listed.map(({ server, running }) => ({
      server,
      running: (counts.get(server) ?? 0) - running,
    }));
  }

  /** Sums the demand of all hosts for a pool in `lowestTier` and higher tiers. */
  sumDemand(pool: string, lowestTier = Infinity): number {
    return this.#listClaimants(pool).filter((one) => one.tier <= lowestTier)
      .reduce((sum, one) => sum + one.demand, 0);
  }

  #listClaimants(pool: string): Claimant[] {
    return [...this.#demands].flatMap(([host, demand]) =>
      (demand.pools.get(pool)?.classes ?? []).map((classDemand) => ({
        host,
        remote: demand.remote,
        className: classDemand.className,
        tier: classDemand.tier,
        demand: classDemand.running + classDemand.queued,
        running: classDemand.running,
        granted: 0,
      }))
    );
  }
}

/**
 * Divides the slots of one pool: guaranteed shares first, then tier by tier, and
 * within a tier hosts of this failure domain before hosts of other ones. A class
 * whose demand is met gets headroom beyond it: its host's part of the slots left
 * for lower tiers. So an urgent request need not wait for the next grant, and
 * all hosts together cannot overload a server.
 *
 * @example
 * const grants = allocatePool(capacity, { hosts: ["a"], remoteHosts: [], claimants });
 */
export function allocatePool(
  capacity: PoolCapacity,
  { hosts, remoteHosts, claimants }: {
    readonly hosts: readonly string[];
    /** Hosts of other failure domains. */
    readonly remoteHosts: readonly string[];
    readonly claimants: readonly Claimant[];
  },
): ReadonlyMap<string, events.PoolGrant> {
  let left = capacity.slots;
  const classes = [...new Set(claimants.map((one) => one.className))];
  classes.forEach((className) => {
    const own = claimants.filter((one) =>
      one.className === className && !one.remote
    );
    const share = capacity.shares.get(className) ?? 0;
    // Rounded down, because in a small pool one slot is far more than the share.
    // Hosts make up for the remainder by share credits.
    const guaranteed = Math.floor(share * capacity.slots);
    left -= divideEvenly(own, Math.min(left, guaranteed));
  });
  const tiers = [...new Set(claimants.map((one) => one.tier))].toSorted((
    a,
    b,
  ) => a - b);
  tiers.forEach((tier) => {
    const own = claimants.filter((one) => one.tier === tier);
    left -= divideEvenly(own.filter((one) => !one.remote), left);
    left -= divideEvenly(own.filter((one) => one.remote), left);
  });
  const headroom = new Map(
    tiers.map((tier) => [
      tier,
      computeHeadroom(tier, { capacity, claimants, hosts: hosts.length }),
    ]),
  );
  const none: ReadonlyMap<number, number> = new Map();
  return new Map([
    ...hosts.map((host) => [host, headroom] as const),
    ...remoteHosts.map((host) => [host, none] as const),
  ].map(([host, own]) => [
    host,
    buildGrant(host, { capacity, claimants, headroom: own }),
  ]));
}

function isOutdated(demand: HostDemand, now: number): boolean {
  const valid = demand.remote ? REMOTE_DEMAND_VALID_MS : DEMAND_VALID_MS;
  return now - demand.at > valid;
}

/** Computes how many slots beyond its demand each host may use for a tier. */
function computeHeadroom(
  tier: number,
  { capacity, claimants, hosts }: {
    readonly capacity: PoolCapacity;
    readonly claimants: readonly Claimant[];
    readonly hosts: number;
  },
): number {
  const upTo = claimants.filter((one) => one.tier <= tier);
  if (upTo.some((one) => one.granted < one.demand)) return 0;
  const granted = upTo.reduce((sum, one) => sum + one.granted, 0);
  return Math.ceil((capacity.slots - granted) / hosts);
}

/** Grants up to `slots` evenly to claimants, none more than its demand; returns the number granted. */
function divideEvenly(claimants: readonly Claimant[], slots: number): number {
  let left = slots;
  let unsatisfied = claimants.filter((one) => one.granted < one.demand);
  while (left > 0 && unsatisfied.length > 0) {
    const each = Math.max(1, Math.floor(left / unsatisfied.length));
    unsatisfied.forEach((one) => {
      const more = Math.min(each, one.demand - one.granted, left);
      one.granted += more;
      left -= more;
    });
    unsatisfied = unsatisfied.filter((one) => one.granted < one.demand);
  }
  return slots - left;
}

function buildGrant(
  host: string,
  { capacity, claimants, headroom }: {
    readonly capacity: PoolCapacity;
    readonly claimants: readonly Claimant[];
    readonly headroom: ReadonlyMap<number, number>;
  },
): events.PoolGrant {
  const own = claimants.filter((one) => one.host === host);
  const others = claimants.filter((one) => one.host !== host);
  return {
    pool: capacity.pool,
    limits: listLimits(own, { claimants, headroom }),
    lowestTierElsewhere: findLowestTierBeyondShare(others, {
      capacity,
      all: claimants,
    }),
    queuedElsewhere: countQueued(others),
    short: own.filter((one) => one.granted < one.demand)
      .map((one) => one.className),
    recallForTier: findRecallTier(claimants, own),
  };
}

/** Lists the slot limit of every class that any host demands. */
function listLimits(
  own: readonly Claimant[],
  { claimants, headroom }: {
    readonly claimants: readonly Claimant[];
    readonly headroom: ReadonlyMap<number, number>;
  },
): events.ClassSlots[] {
  const tiers = new Map(claimants.map((one) => [one.className, one.tier]));
  return [...tiers].map(([className, tier]) => {
    const granted = own.find((one) => one.className === className)?.granted ??
      0;
    return { className, slots: granted + (headroom.get(tier) ?? 0) };
  });
}

function countQueued(all: readonly Claimant[]): events.TierCount[] {
  const others = all.filter((one) => !one.remote);
  const tiers = [...new Set(others.map((one) => one.tier))];
  return tiers.map((tier) => ({
    tier,
    count: others.filter((one) => one.tier === tier)
      .reduce((sum, one) => sum + one.demand - one.running, 0),
  })).filter((one) => one.count > 0);
}

/** Finds the lowest tier that these hosts run in a class beyond its guaranteed share. */
function findLowestTierBeyondShare(
  others: readonly Claimant[],
  { capacity, all }: {
    readonly capacity: PoolCapacity;
    readonly all: readonly Claimant[];
  },
): number {
  return others.filter((one) => {
    const share = capacity.shares.get(one.className) ?? 0;
    const running = all.filter((other) => other.className === one.className)
      .reduce((sum, other) => sum + other.running, 0);
    return one.running > 0 && running > Math.ceil(share * capacity.slots);
  }).reduce((lowest, one) => Math.max(lowest, one.tier), 0);
}

/**
 * Finds the highest tier that has unused granted slots on some host, if this
 * host runs more requests of a lower tier than it was granted; 0 if there is
 * none.
 */
function findRecallTier(
  claimants: readonly Claimant[],
  own: readonly Claimant[],
): number {
  const overGrant = own.filter((one) => one.running > one.granted);
  if (overGrant.length === 0) return 0;
  const waitingTier = claimants.filter((one) => one.granted > one.running)
    .reduce((highest, one) => Math.min(highest, one.tier), Infinity);
  const hasLower = overGrant.some((one) => one.tier > waitingTier);
  return hasLower ? waitingTier : 0;
}
