/**
 * The failure domain's allocator of slots. One host, the first by hash among
 * the live ones, gathers the demand of all hosts by pool and class, and grants
 * each host slots: guaranteed shares first, then tier by tier, evenly within a
 * tier. It is soft state: if two hosts allocate for a moment, engines are
 * overcommitted and queue, and no promise depends on it.
 */
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** Demand older than this is forgotten, in ms. */
const DEMAND_VALID_MS = 15_000;
/** The same for hosts of other failure domains, whose grants end by themselves. */
const VISITOR_VALID_MS = constants.GRANT_VALID_MS;

/** What the allocator must know of a pool. */
export interface PoolCapacity {
  readonly pool: string;
  /** Slots of its live servers. */
  readonly slots: number;
  /** Guaranteed share of each class. */
  readonly shares: ReadonlyMap<string, number>;
  /** Its live servers, of which some are lent to hosts of other failure domains. */
  readonly servers: readonly events.ServerInfo[];
}

interface HostDemand {
  readonly at: number;
  /** Whether the host stands in another failure domain. */
  readonly visiting: boolean;
  readonly pools: ReadonlyMap<string, events.PoolDemand>;
}

/** One class of one host, with the slots it is given. */
interface Claimant {
  readonly host: string;
  readonly visiting: boolean;
  readonly className: string;
  readonly tier: number;
  readonly wanted: number;
  readonly running: number;
  given: number;
}

/**
 * Counts the slots of a pool that are granted to hosts. A call of a plain
 * service is over before word of it reaches the leader, so a part of the slots
 * that are granted always stands idle at one host while work waits at another;
 * granting some more keeps the service busy. Engines' work lasts far longer
 * than word of it takes.
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

/** Gathers demand and grants slots. */
export class CapacityAllocator {
  readonly #demands = new Map<string, HostDemand>();

  /** Takes a host's demand. */
  setDemand(
    host: string,
    { demands, now, visiting = false }: {
      readonly demands: readonly events.PoolDemand[];
      readonly now: number;
      /** @default false */
      readonly visiting?: boolean;
    },
  ): void {
    this.#demands.set(host, {
      at: now,
      visiting,
      pools: new Map(demands.map((demand) => [demand.pool, demand])),
    });
  }

  /** Forgets all hosts of this failure domain but these. */
  keepHosts(hosts: ReadonlySet<string>): void {
    [...this.#demands]
      .filter(([host, demand]) => !demand.visiting && !hosts.has(host))
      .forEach(([host]) => this.#demands.delete(host));
  }

  /**
   * Chooses servers to lend to a host of another failure domain: those that run
   * least, a few of each pool that it asks for.
   */
  listLent(
    host: string,
    capacities: readonly PoolCapacity[],
  ): events.ServerInfo[] {
    const asked = this.#demands.get(host)?.pools;
    return capacities.filter((capacity) => asked?.has(capacity.pool))
      .flatMap((capacity) => {
        const counts = this.#countRunning(capacity.pool);
        const running = (info: events.ServerInfo) => counts.get(info.name) ?? 0;
        return capacity.servers.toSorted((a, b) => running(a) - running(b))
          .slice(0, constants.LENT_SERVERS);
      });
  }

  /** Computes every host's grants. */
  allocate(
    capacities: readonly PoolCapacity[],
    now: number,
  ): ReadonlyMap<string, readonly events.Grant[]> {
    [...this.#demands].filter(([, demand]) => isOutdated(demand, now))
      .forEach(([host]) => this.#demands.delete(host));
    const hosts = this.#listHosts({ visiting: false });
    const visitors = this.#listHosts({ visiting: true });
    const grants = new Map(
      [...hosts, ...visitors].map((host) => [host, [] as events.Grant[]]),
    );
    capacities.forEach((capacity) => {
      const claimants = this.#listClaimants(capacity.pool);
      const counts = this.#countRunning(capacity.pool);
      allocatePool(capacity, { hosts, visitors, claimants }).forEach((
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

  #listHosts({ visiting }: { readonly visiting: boolean }): string[] {
    return [...this.#demands]
      .filter(([, demand]) => demand.visiting === visiting)
      .map(([host]) => host).toSorted();
  }

  /** Sums what all hosts run on each server of a pool. */
  #countRunning(pool: string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    this.#demands.forEach((demand) =>
      demand.pools.get(pool)?.servers.forEach(({ server, running }) =>
        counts.set(server, (counts.get(server) ?? 0) + running)
      )
    );
    return counts;
  }

  /** What other hosts run on the servers that a host asked about. */
  #listElsewhere(
    host: string,
    { grant, counts }: {
      readonly grant: events.PoolGrant;
      readonly counts: ReadonlyMap<string, number>;
    },
  ): events.ServerCount[] {
    const asked = this.#demands.get(host)?.pools.get(grant.pool)?.servers ?? [];
    return asked.map(({ server, running }) => ({
      server,
      running: (counts.get(server) ?? 0) - running,
    }));
  }

  /** Sums demand over hosts, of this tier and higher ones. */
  sumDemand(pool: string, lowestTier = Infinity): number {
    return this.#listClaimants(pool).filter((one) => one.tier <= lowestTier)
      .reduce((sum, one) => sum + one.wanted, 0);
  }

  #listClaimants(pool: string): Claimant[] {
    return [...this.#demands].flatMap(([host, demand]) =>
      (demand.pools.get(pool)?.classes ?? []).map((classDemand) => ({
        host,
        visiting: demand.visiting,
        className: classDemand.className,
        tier: classDemand.tier,
        wanted: classDemand.running + classDemand.queued,
        running: classDemand.running,
        given: 0,
      }))
    );
  }
}

/**
 * Divides one pool's slots: guaranteed shares first, then tier by tier, in each
 * the failure domain's own hosts before those of others. A class
 * that has all it wants may run a little more than that, up to its host's part
 * of the slots of lower tiers: a counter check need not wait for the next
 * message, and all hosts together cannot swamp a server.
 *
 * @example
 * const grants = allocatePool(capacity, { hosts: ["a"], visitors: [], claimants });
 */
export function allocatePool(
  capacity: PoolCapacity,
  { hosts, visitors, claimants }: {
    readonly hosts: readonly string[];
    /** Hosts of other failure domains. */
    readonly visitors: readonly string[];
    readonly claimants: readonly Claimant[];
  },
): ReadonlyMap<string, events.PoolGrant> {
  let left = capacity.slots;
  const classes = [...new Set(claimants.map((one) => one.className))];
  classes.forEach((className) => {
    const own = claimants.filter((one) =>
      one.className === className && !one.visiting
    );
    const share = capacity.shares.get(className) ?? 0;
    // Rounded down: in a small pool a whole slot is far more than the share.
    // What is lost by that, hosts give in turns.
    const guaranteed = Math.floor(share * capacity.slots);
    left -= divideEvenly(own, Math.min(left, guaranteed));
  });
  const tiers = [...new Set(claimants.map((one) => one.tier))].toSorted((
    a,
    b,
  ) => a - b);
  tiers.forEach((tier) => {
    const own = claimants.filter((one) => one.tier === tier);
    left -= divideEvenly(own.filter((one) => !one.visiting), left);
    left -= divideEvenly(own.filter((one) => one.visiting), left);
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
    ...visitors.map((host) => [host, none] as const),
  ].map(([host, own]) => [
    host,
    buildGrant(host, { capacity, claimants, headroom: own }),
  ]));
}

function isOutdated(demand: HostDemand, now: number): boolean {
  const valid = demand.visiting ? VISITOR_VALID_MS : DEMAND_VALID_MS;
  return now - demand.at > valid;
}

/** Slots beyond its demand that each host may use for a tier. */
function computeHeadroom(
  tier: number,
  { capacity, claimants, hosts }: {
    readonly capacity: PoolCapacity;
    readonly claimants: readonly Claimant[];
    readonly hosts: number;
  },
): number {
  const upTo = claimants.filter((one) => one.tier <= tier);
  if (upTo.some((one) => one.given < one.wanted)) return 0;
  const given = upTo.reduce((sum, one) => sum + one.given, 0);
  return Math.ceil((capacity.slots - given) / hosts);
}

/** Gives up to `slots` to claimants, evenly, never more than wanted. */
function divideEvenly(claimants: readonly Claimant[], slots: number): number {
  let left = slots;
  let hungry = claimants.filter((one) => one.given < one.wanted);
  while (left > 0 && hungry.length > 0) {
    const each = Math.max(1, Math.floor(left / hungry.length));
    hungry.forEach((one) => {
      const more = Math.min(each, one.wanted - one.given, left);
      one.given += more;
      left -= more;
    });
    hungry = hungry.filter((one) => one.given < one.wanted);
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
    lowestTierElsewhere: findLowestBeyondShare(others, {
      capacity,
      all: claimants,
    }),
    queuedElsewhere: countQueued(others),
    short: own.filter((one) => one.given < one.wanted)
      .map((one) => one.className),
    recallForTier: findHungryTier(claimants, own),
  };
}

/** Limits of every class that any host asks for. */
function listLimits(
  own: readonly Claimant[],
  { claimants, headroom }: {
    readonly claimants: readonly Claimant[];
    readonly headroom: ReadonlyMap<number, number>;
  },
): events.ClassSlots[] {
  const tiers = new Map(claimants.map((one) => [one.className, one.tier]));
  return [...tiers].map(([className, tier]) => {
    const given = own.find((one) => one.className === className)?.given ?? 0;
    return { className, slots: given + (headroom.get(tier) ?? 0) };
  });
}

function countQueued(all: readonly Claimant[]): events.TierCount[] {
  const others = all.filter((one) => !one.visiting);
  const tiers = [...new Set(others.map((one) => one.tier))];
  return tiers.map((tier) => ({
    tier,
    count: others.filter((one) => one.tier === tier)
      .reduce((sum, one) => sum + one.wanted - one.running, 0),
  })).filter((one) => one.count > 0);
}

/** The lowest tier running on these hosts in a class beyond its guaranteed share. */
function findLowestBeyondShare(
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
 * The highest tier that is granted more than it runs on some host, where this
 * host runs lower work beyond what it was given; 0 if there is none.
 */
function findHungryTier(
  claimants: readonly Claimant[],
  own: readonly Claimant[],
): number {
  const over = own.filter((one) => one.running > one.given);
  if (over.length === 0) return 0;
  const hungry = claimants.filter((one) => one.given > one.running)
    .reduce((highest, one) => Math.min(highest, one.tier), Infinity);
  const lower = over.some((one) => one.tier > hungry);
  return lower ? hungry : 0;
}
