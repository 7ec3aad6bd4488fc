/**
 * Routes: which service answers a request by its host name and path, and what
 * may be done for it. Callers that address models by name need none of this;
 * a deployment whose operators configure routes does.
 */
import type * as utils from "@banyangrade/utils";
import * as config from "./config.ts";

/** What may be done again with a request of a route. */
export type RouteKind =
  /** It may run more than once. */
  | "idempotent"
  /** It may run at most once. */
  | "at_most_once"
  /** It is answered by a stream of events. */
  | "stream";

/** A service that a route leads to, with its part of the route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly name: string;
  /** Host name, lower case. */
  readonly host: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may be kept waiting, in ms. */
  readonly timeoutMs: number;
  /** Target for the first event or the answer, in ms. */
  readonly targetMs: number;
  /** Target for the pause between two events, in ms; 0 where there are none. */
  readonly betweenMs: number;
  /** Priority tier; 1 is the highest. */
  readonly tier: number;
  readonly services: readonly WeightedService[];
  /** Most servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether it is open to callers without a key. */
  readonly anonymous: boolean;
  /** Whether a broken stream may go on at another server. */
  readonly resumable: boolean;
  /** Regions in which its requests may run. @default any */
  readonly regions?: readonly string[];
}

/** What the operators say of a service's engines. */
export interface EngineLimits {
  /** Requests that one engine runs at a time. */
  readonly slots: number;
  /** Tokens that its memory holds. */
  readonly memoryTokens: number;
}

/** Bounds and prices by which backend servers of a service are ordered. */
export interface ScalingBounds {
  /** Fewest and most servers in one failure domain. */
  readonly minServers: number;
  readonly maxServers: number;
  /** Time from an order to the first request that is served, in ms. */
  readonly bootMs: number;
  /** Price of a reclaimable server against an ordinary one; 0 where none can be had. */
  readonly spotPrice: number;
  /** Price of a server by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** What the operators say of a service's servers that have just started. */
export interface ServiceColdStart {
  /** Time for which they are cold, in ms. */
  readonly startMs: number;
  /** Requests a second that a cold one bears. */
  readonly perSecond: number;
}

/** Bound on what a cold server may get in any second, against what it bears. */
export interface ColdBound {
  readonly factor: number;
  /** In requests. */
  readonly slack: number;
}

/** A service that routes lead to. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one of its servers accepts from all hosts. */
  readonly connectionLimit: number;
  /** Only for model engines. */
  readonly engine?: EngineLimits;
  /** Only where servers are cold after a start. */
  readonly coldStart?: ServiceColdStart;
  /** Only where servers may be ordered. */
  readonly scaling?: ScalingBounds;
}

/** A customer and its keys. */
export interface RoutedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Compared among requests of routes with the same tier. */
  readonly tier?: number;
  /** Regions in which its requests may run. @default any */
  readonly regions?: readonly string[];
}

/** Bounds on what a caller may send. Sizes in bytes, times in ms. */
export interface RoutingLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A configuration by routes, in force as a whole. */
export interface RoutingConfiguration {
  /** Number that the operators gave it; grows in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Undefined where callers need no key. */
  readonly customers: readonly RoutedCustomer[] | undefined;
  readonly limits: RoutingLimits;
}

/** Who sent a request, as its key tells. */
export interface RoutedGrant {
  readonly customer: string;
  readonly tier?: number;
  readonly regions?: readonly string[];
}

/** A configuration with the look-ups that each request needs. */
export interface RouteTable {
  readonly configuration: RoutingConfiguration;
  /** Routes of each host name, the longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  readonly byKey: ReadonlyMap<string, RoutedGrant>;
  /** All pairs of a customer's and a route's tier, the most urgent first. */
  readonly ranks: readonly TierPair[];
}

interface TierPair {
  readonly customer: number;
  readonly route: number;
}

/**
 * Builds the look-ups of a configuration.
 *
 * @example
 * const table = buildRouteTable(configuration);
 */
export function buildRouteTable(
  configuration: RoutingConfiguration,
): RouteTable {
  const hosts = new Set(configuration.routes.map((route) => route.host));
  const byHost = new Map(
    [...hosts].map((host) => [
      host,
      configuration.routes.filter((route) => route.host === host)
        .toSorted((a, b) => b.prefix.length - a.prefix.length),
    ]),
  );
  const byKey = new Map(
    (configuration.customers ?? []).flatMap(({ name, keys, tier, regions }) =>
      keys.map((key) => [key, { customer: name, tier, regions }] as const)
    ),
  );
  return { configuration, byHost, byKey, ranks: rankTiers(configuration) };
}

/** Tiers that engines tell apart. */
const MAX_TIERS = 10;

function rankTiers(configuration: RoutingConfiguration): TierPair[] {
  const customers = new Set([
    ...(configuration.customers ?? []).map(({ tier }) => tier ?? LAST_TIER),
    LAST_TIER,
  ]);
  const tiers = new Set(configuration.routes.map((route) => route.tier));
  return [...customers].flatMap((customer) =>
    [...tiers].map((route) => ({ customer, route }))
  ).toSorted((a, b) => a.route - b.route || a.customer - b.customer);
}

/** Tier of callers whose customer has none, and of those without a key. */
const LAST_TIER = 1_000;

/**
 * Returns the tier of a request, 1 being the highest: by the route's tier
 * first, and among equal ones by the customer's. Engines preempt the least
 * urgent requests; by the customer's tier first, a large customer's bulk work
 * would preempt every urgent request of the others.
 *
 * @example
 * rankRequest(table, { customerTier: 2, routeTier: 1 }); // 2
 */
export function rankRequest(
  table: RouteTable,
  { customerTier, routeTier }: {
    readonly customerTier: number | undefined;
    readonly routeTier: number;
  },
): number {
  const customer = customerTier ?? LAST_TIER;
  const rank = table.ranks.findIndex((pair) =>
    pair.customer === customer && pair.route === routeTier
  );
  const count = table.ranks.length;
  const scale = Math.min(1, MAX_TIERS / count);
  return 1 + Math.floor(Math.max(0, rank) * scale);
}

/**
 * Finds the route with the longest prefix that begins the path.
 *
 * @example
 * findRoute(table, { host: "a.example", path: "/rooms/7?day=2" })?.name;
 */
export function findRoute(
  table: RouteTable,
  { host, path }: { readonly host: string; readonly path: string },
): Route | undefined {
  const [bare] = path.split("?", 1);
  const name = host.toLowerCase().replace(/:\d+$/, "");
  return table.byHost.get(name)?.find((route) => bare.startsWith(route.prefix));
}

/**
 * Lists the failure domains in which a request may run: those in the regions of
 * its route and of its customer, where these name any; undefined for all.
 *
 * @example
 * listHomes({ route, grant, regions }); // ["rosenheim", "weilheim"]
 */
export function listHomes(
  { route, grant, regions }: {
    readonly route: Pick<Route, "regions">;
    readonly grant: Pick<RoutedGrant, "regions"> | undefined;
    /** Region of each failure domain. */
    readonly regions: ReadonlyMap<string, string>;
  },
): readonly string[] | undefined {
  const bounds = [route.regions, grant?.regions]
    .filter((names) => names !== undefined);
  if (bounds.length === 0) return undefined;
  return [...regions].filter(([, region]) =>
    bounds.every((names) => names.includes(region))
  ).map(([failureDomain]) => failureDomain);
}

/**
 * Draws one of a route's services by their weights; undefined if all are 0.
 *
 * @example
 * const service = drawService(route, random);
 */
export function drawService(
  route: Route,
  random: utils.Random,
): string | undefined {
  const total = route.services.reduce((sum, one) => sum + one.weight, 0);
  let left = random.next() * total;
  return route.services.filter((one) => one.weight > 0).find((one) => {
    left -= one.weight;
    return left < 0;
  })?.service;
}

/**
 * Whether a request of a route may run more than once: a stream may only where
 * it may be resumed.
 *
 * @example
 * isRepeatable(route);
 */
export function isRepeatable(route: Route): boolean {
  switch (route.kind) {
    case "idempotent":
      return true;
    case "at_most_once":
      return false;
    case "stream":
      return route.resumable;
  }
}

/** Where a host stands, and the bounds that hold there. */
export interface DispatchSite {
  readonly failureDomain: string;
  /** Undefined where cold servers need not be spared. */
  readonly coldBound?: ColdBound;
}

/**
 * Builds what the dispatcher works by: a class for each route and a pool for
 * each service, which reaches over all failure domains.
 *
 * @example
 * dispatch.send({ kind: "configured", configuration: toDispatchConfiguration(routing, { failureDomain: "rosenheim" }) });
 */
export function toDispatchConfiguration(
  routing: RoutingConfiguration,
  { failureDomain, coldBound }: DispatchSite,
): config.Configuration {
  const classes = routing.routes.map((route): config.ClassPart => ({
    kind: "class",
    name: route.name,
    tier: route.tier,
    firstTokenMs: route.targetMs,
    betweenTokensMs: route.betweenMs,
    queueMs: route.targetMs,
    share: ROUTE_SHARE,
  }));
  const pools = routing.services.map((service): config.PoolPart => ({
    kind: "pool",
    name: service.name,
    serves: service.engine === undefined ? "service" : "engine",
    failureDomain,
    targets: [service.name],
    slots: service.engine?.slots ?? DEFAULT_SLOTS,
    spot: false,
    costPerHour: 1,
    checksFencing: true,
    minServers: service.scaling?.minServers ?? 0,
    maxServers: service.scaling?.maxServers ?? 0,
    ...(coldBound && service.coldStart && {
      coldStart: {
        startMs: service.coldStart.startMs,
        mostPerSecond: coldBound.factor * service.coldStart.perSecond +
          coldBound.slack,
      },
    }),
  }));
  return {
    ...config.EMPTY_CONFIGURATION,
    revision: routing.version,
    classes: new Map(classes.map((part) => [part.name, part])),
    pools: new Map(pools.map((part) => [part.name, part])),
  };
}

/** Part of a service's slots that each route gets, so that none starves. */
const ROUTE_SHARE = 0.02;
/** Slots of a server that does not say how many it has. */
const DEFAULT_SLOTS = 8;
