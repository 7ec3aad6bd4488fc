/**
 * Routes map the host name and path of a request to a service and define its
 * latency targets, retries and access rules. Only deployments whose operators
 * configure routes use them; callers that address models by name do not.
 */
import type * as utils from "@banyangrade/utils";
import * as config from "./config.ts";

/** Whether and how a request of a route may be retried. */
export type RouteKind =
  /** The request may run more than once. */
  | "idempotent"
  /** The request may run at most once. */
  | "at_most_once"
  /** The response is a stream of events. */
  | "stream";

/** A service of a route and the weight of its share of the route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route: its match on host name and path, its targets and its services. */
export interface Route {
  readonly name: string;
  /** Host name in lower case. */
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Timeout of a request, in ms. */
  readonly timeoutMs: number;
  /** Target time until the first event or the response, in ms. */
  readonly targetLatencyMs: number;
  /** Target time between two events of a stream, in ms; 0 for other routes. */
  readonly targetGapMs: number;
  /** Priority tier; 1 is the highest. */
  readonly tier: number;
  readonly services: readonly WeightedService[];
  /** Largest number of attempts for one request. */
  readonly maxAttempts: number;
  /** Whether callers without an API key may use the route. */
  readonly anonymous: boolean;
  /** Whether an interrupted stream may resume on another backend server. */
  readonly resumable: boolean;
  /** Regions in which requests of the route may run. @default any */
  readonly regions?: readonly string[];
}

/** Configured limits of each engine of a service. */
export interface EngineLimits {
  /** Number of requests that one engine runs concurrently. */
  readonly slots: number;
  /** Capacity of its KV cache in tokens. */
  readonly kvCacheTokens: number;
}

/** Bounds and prices that govern the scaling of a service. */
export interface ScalingBounds {
  /** Minimum number of backend servers in one failure domain. */
  readonly minServers: number;
  /** Maximum number of backend servers in one failure domain. */
  readonly maxServers: number;
  /** Time from ordering a server until it serves its first request, in ms. */
  readonly bootMs: number;
  /** Price of a spot server relative to an on-demand one; 0 if spot servers are unavailable. */
  readonly spotPrice: number;
  /** Price of a server in each failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** Configured cold-start behaviour of a service's backend servers. */
export interface ServiceColdStart {
  /** Time after its start for which a server is cold, in ms. */
  readonly startMs: number;
  /** Requests per second that a cold server withstands. */
  readonly requestsPerSecond: number;
}

/** Bound on the request rate to a cold server, relative to the rate it withstands. */
export interface ColdBound {
  /** Multiple of the rate that the server withstands. */
  readonly factor: number;
  /** Additional requests in any second. */
  readonly slack: number;
}

/** A service that routes refer to. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one of its backend servers accepts from all hosts together. */
  readonly connectionLimit: number;
  /** Set only for services of model engines. */
  readonly engine?: EngineLimits;
  /** Set only if the backend servers are cold after a start. */
  readonly coldStart?: ServiceColdStart;
  /** Set only if the service may be scaled. */
  readonly scaling?: ScalingBounds;
}

/** A customer and its API keys. */
export interface RoutedCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  /** Priority tier among requests of routes with the same tier. */
  readonly tier?: number;
  /** Regions in which requests of the customer may run. @default any */
  readonly regions?: readonly string[];
}

/** Limits on requests of callers. Sizes are in bytes, times in ms. */
export interface RoutingLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A route-based configuration, which is applied as a whole. */
export interface RoutingConfiguration {
  /** Version assigned by the operators; it increases, but may skip numbers. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Undefined if callers need no API key. */
  readonly customers: readonly RoutedCustomer[] | undefined;
  readonly limits: RoutingLimits;
}

/** Identity and permissions of the customer that a request's API key belongs to. */
export interface CustomerIdentity {
  readonly customer: string;
  readonly tier?: number;
  readonly regions?: readonly string[];
}

/** A routing configuration with indexes for the lookups of each request. */
export interface RouteTable {
  readonly configuration: RoutingConfiguration;
  /** Routes by host name, the longest prefix first. */
  readonly byHost: ReadonlyMap<string, readonly Route[]>;
  /** Customers by API key. */
  readonly byKey: ReadonlyMap<string, CustomerIdentity>;
  /** All pairs of a customer tier and a route tier, the highest priority first. */
  readonly tierPairs: readonly TierPair[];
}

interface TierPair {
  readonly customer: number;
  readonly route: number;
}

/**
 * Builds the indexes of a routing configuration.
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
  return { configuration, byHost, byKey, tierPairs: rankTiers(configuration) };
}

/** Number of priority levels that engines distinguish. */
const MAX_ENGINE_TIERS = 10;

function rankTiers(configuration: RoutingConfiguration): TierPair[] {
  const customers = new Set([
    ...(configuration.customers ?? []).map(({ tier }) => tier ?? LOWEST_TIER),
    LOWEST_TIER,
  ]);
  const tiers = new Set(configuration.routes.map((route) => route.tier));
  return [...customers].flatMap((customer) =>
    [...tiers].map((route) => ({ customer, route }))
  ).toSorted((a, b) => a.route - b.route || a.customer - b.customer);
}

/** Tier of customers without a configured tier and of callers without an API key. */
const LOWEST_TIER = 1_000;

/**
 * Returns the priority of a request for its engine, 1 being the highest.
 * Requests are ordered by the route's tier, then by the customer's tier.
 * Engines preempt the requests of the lowest priority: if the customer's tier
 * came first, bulk work of a high-tier customer would preempt the urgent
 * requests of all other customers.
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
  const customer = customerTier ?? LOWEST_TIER;
  const rank = table.tierPairs.findIndex((pair) =>
    pair.customer === customer && pair.route === routeTier
  );
  const count = table.tierPairs.length;
  const scale = Math.min(1, MAX_ENGINE_TIERS / count);
  return 1 + Math.floor(Math.max(0, rank) * scale);
}

/**
 * Finds the route of a host name with the longest prefix of the path.
 *
 * @example
 * findRoute(table, { host: "a.example", path: "/rooms/7?day=2" })?.name;
 */
export function findRoute(
  table: RouteTable,
  { host, path }: { readonly host: string; readonly path: string },
): Route | undefined {
  const [pathname] = path.split("?", 1);
  const hostname = host.toLowerCase().replace(/:\d+$/, "");
  return table.byHost.get(hostname)?.find((route) =>
    pathname.startsWith(route.prefix)
  );
}

/**
 * Lists the failure domains in which a request may run: those whose region both
 * its route and its customer allow. Returns undefined if neither restricts the
 * regions.
 *
 * @example
 * listAllowedDomains({ route, customer, regions }); // ["rosenheim", "weilheim"]
 */
export function listAllowedDomains(
  { route, customer: grant, regions }: {
    readonly route: Pick<Route, "regions">;
    readonly customer: Pick<CustomerIdentity, "regions"> | undefined;
    /** Region of each failure domain. */
    readonly regions: ReadonlyMap<string, string>;
  },
): readonly string[] | undefined {
  const regionLists = [route.regions, grant?.regions]
    .filter((names) => names !== undefined);
  if (regionLists.length === 0) return undefined;
  return [...regions].filter(([, region]) =>
    regionLists.every((names) => names.includes(region))
  ).map(([failureDomain]) => failureDomain);
}

/**
 * Picks a service of a route at random by weight; undefined if all weights are 0.
 *
 * @example
 * const service = drawService(route, random);
 */
export function drawService(
  route: Route,
  random: utils.Random,
): string | undefined {
  const total = route.services.reduce((sum, one) => sum + one.weight, 0);
  let remaining = random.next() * total;
  return route.services.filter((one) => one.weight > 0).find((one) => {
    remaining -= one.weight;
    return remaining < 0;
  })?.service;
}

/**
 * Whether a request of a route may run more than once. A stream may only if it
 * is resumable.
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

/** Options of {@link toDispatchConfiguration}. */
export interface DispatchConfigurationOptions {
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Undefined if the request rate to cold servers is not limited. */
  readonly coldBound?: ColdBound;
}

/**
 * Builds the dispatcher's configuration: a class for each route and, for each
 * service, one pool that spans all failure domains.
 *
 * @example
 * dispatch.send({ kind: "configured", configuration: toDispatchConfiguration(routing, { failureDomain: "rosenheim" }) });
 */
export function toDispatchConfiguration(
  routing: RoutingConfiguration,
  { failureDomain, coldBound }: DispatchConfigurationOptions,
): config.Configuration {
  const classes = routing.routes.map((route): config.ClassPart => ({
    kind: "class",
    name: route.name,
    tier: route.tier,
    firstTokenMs: route.targetLatencyMs,
    betweenTokensMs: route.targetGapMs,
    queueMs: route.targetLatencyMs,
    share: GUARANTEED_ROUTE_SHARE,
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
        mostPerSecond: coldBound.factor * service.coldStart.requestsPerSecond +
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

/** Fraction of a service's slots guaranteed to each route to prevent starvation. */
const GUARANTEED_ROUTE_SHARE = 0.02;
/** Slots of a backend server without a configured number of slots. */
const DEFAULT_SLOTS = 8;
