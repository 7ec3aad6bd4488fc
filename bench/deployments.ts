/** The two simulated deployments, sized like those of the users. */
import type * as core from "@banyangrade/core";
import type * as scenarios from "./scenario.ts";

/** Which engines the autoscaler may add; "fixed" turns it off. */
export type Fleet = "fixed" | "mixed" | "ordinary_only" | "spot_only";

/** Maximum number of servers in a pool under autoscaling. */
const MAX_SERVERS_PER_POOL = 6;

/**
 * Returns a scenario in which the autoscaler sets the number of engines. Each
 * engine pool that the fleet uses starts with two servers.
 *
 * @example
 * const elastic = buildAutoscaled(TANZRAUM, "mixed");
 */
export function buildAutoscaled(
  scenario: scenarios.Scenario,
  fleet: Fleet,
): scenarios.Scenario {
  if (fleet === "fixed") return scenario;
  const pools = scenario.pools.map((pool) => {
    if (pool.serves === "service") return pool;
    const unused = fleet === (pool.spot ? "ordinary_only" : "spot_only");
    // One ordinary server keeps the failure domain available when its spot
    // servers are reclaimed.
    const needed = fleet === "spot_only" || !pool.spot;
    const minServers = needed && !unused ? 1 : 0;
    return {
      ...pool,
      minServers,
      maxServers: unused ? 0 : MAX_SERVERS_PER_POOL,
    };
  });
  const servers = new Map(
    pools.map((pool) => [
      pool.name,
      pool.serves === "service"
        ? scenario.servers.get(pool.name) ?? 0
        : Math.min(2, pool.maxServers),
    ]),
  );
  return { ...scenario, pools, servers };
}

/** Shares of ten customers, of which a few are large. */
const CUSTOMERS = [0.25, 0.2, 0.15, 0.1, 0.08, 0.06, 0.05, 0.05, 0.03, 0.03];

type Rates = Pick<scenarios.ClassLoad, "perSecond" | "burst">;
type Targets = Omit<core.ClassPart, "kind" | "name" | "betweenTokensMs">;

/** Builds the load of a class of calls to the service that is not an engine. */
function buildCall(
  name: string,
  options: Targets & Rates & { readonly repeatable: boolean },
): scenarios.ClassLoad {
  const { repeatable, perSecond, burst, ...targets } = options;
  return {
    part: { kind: "class", name, betweenTokensMs: 50, ...targets },
    target: "service",
    kind: "call",
    repeatable,
    perSecond,
    promptTokens: 0,
    outputTokens: 0,
    burst,
  };
}

/** Builds the load of a class of generation requests. */
function buildGenerate(
  name: string,
  options:
    & Targets
    & Rates
    & Pick<core.ClassPart, "betweenTokensMs">
    & Pick<scenarios.ClassLoad, "promptTokens" | "outputTokens">,
): scenarios.ClassLoad {
  const { perSecond, burst, promptTokens, outputTokens, ...targets } = options;
  return {
    part: { kind: "class", name, ...targets },
    target: "model",
    kind: "generate",
    repeatable: true,
    perSecond,
    promptTokens,
    outputTokens,
    burst,
  };
}

function buildPool(
  name: string,
  rest: Partial<core.PoolPart> & Pick<core.PoolPart, "failureDomain">,
): core.PoolPart {
  return {
    kind: "pool",
    name,
    serves: "engine",
    targets: ["model"],
    slots: 8,
    spot: false,
    costPerHour: 4,
    checksFencing: false,
    minServers: 0,
    maxServers: 0,
    ...rest,
  };
}

/** Lists the pools of a failure domain with the number of servers in each. */
function listDomainPools(
  failureDomain: string,
  counts: { ordinary: number; spot: number; services: number },
): [core.PoolPart, number][] {
  return [
    [buildPool(`${failureDomain}-engines`, { failureDomain }), counts.ordinary],
    [
      buildPool(`${failureDomain}-spot`, {
        failureDomain,
        spot: true,
        costPerHour: 1.2,
      }),
      counts.spot,
    ],
    [
      buildPool(`${failureDomain}-service`, {
        failureDomain,
        serves: "service",
        targets: ["service"],
        costPerHour: 0.5,
      }),
      counts.services,
    ],
  ];
}

function buildScenario(
  name: string,
  options: {
    readonly domains: readonly [
      string,
      { ordinary: number; spot: number; services: number },
    ][];
    readonly hostsPerDomain: number;
    readonly loads: readonly scenarios.ClassLoad[];
  },
): scenarios.Scenario {
  const pools = options.domains.flatMap(([domain, counts]) =>
    listDomainPools(domain, counts)
  ).filter(([, count]) => count > 0);
  return {
    name,
    failureDomains: options.domains.map(([domain]) => domain),
    hostsPerDomain: options.hostsPerDomain,
    pools: pools.map(([pool]) => pool),
    servers: new Map(pools.map(([pool, count]) => [pool.name, count])),
    loads: options.loads,
    customers: CUSTOMERS,
    serviceMs: 40,
  };
}

/** Tanzraum: 4 failure domains with 13 engines and 4 servers of the service. */
export const TANZRAUM = buildScenario("tanzraum", {
  domains: [
    ["rosenheim", { ordinary: 2, spot: 2, services: 1 }],
    ["weilheim", { ordinary: 2, spot: 1, services: 1 }],
    ["bad-toelz", { ordinary: 2, spot: 1, services: 1 }],
    ["miesbach", { ordinary: 2, spot: 1, services: 1 }],
  ],
  hostsPerDomain: 2,
  loads: [
    buildCall("booking", {
      tier: 1,
      firstTokenMs: 400,
      queueMs: 2_000,
      share: 0,
      repeatable: false,
      perSecond: 80,
      burst: 1.5,
    }),
    buildCall("lookup", {
      tier: 1,
      firstTokenMs: 300,
      queueMs: 1_500,
      share: 0,
      repeatable: true,
      perSecond: 280,
      burst: 1.5,
    }),
    buildCall("reminder", {
      tier: 3,
      firstTokenMs: 20_000,
      queueMs: 60_000,
      share: 0.05,
      repeatable: true,
      perSecond: 200,
      burst: 8,
    }),
    buildGenerate("clash", {
      tier: 1,
      firstTokenMs: 1_300,
      betweenTokensMs: 60,
      queueMs: 6_000,
      share: 0,
      perSecond: 8,
      promptTokens: 300,
      outputTokens: 100,
      burst: 1.2,
    }),
    buildGenerate("summary", {
      tier: 2,
      firstTokenMs: 5_000,
      betweenTokensMs: 80,
      queueMs: 15_000,
      share: 0.05,
      perSecond: 6,
      promptTokens: 600,
      outputTokens: 150,
      burst: 4,
    }),
    buildGenerate("redraft", {
      tier: 3,
      firstTokenMs: 30_000,
      betweenTokensMs: 120,
      queueMs: 120_000,
      share: 0.05,
      perSecond: 2.5,
      promptTokens: 1_500,
      outputTokens: 350,
      burst: 5,
    }),
  ],
});

/** Jadeleaf: 3 failure domains with 13 engines and 3 servers of the service. */
export const JADELEAF = buildScenario("jadeleaf", {
  domains: [
    ["north-a", { ordinary: 3, spot: 2, services: 1 }],
    ["north-b", { ordinary: 2, spot: 2, services: 1 }],
    ["north-c", { ordinary: 2, spot: 2, services: 1 }],
  ],
  hostsPerDomain: 3,
  loads: [
    buildCall("counter", {
      tier: 1,
      firstTokenMs: 300,
      queueMs: 1_500,
      share: 0,
      repeatable: true,
      perSecond: 300,
      burst: 1.4,
    }),
    buildCall("renewal", {
      tier: 2,
      firstTokenMs: 800,
      queueMs: 4_000,
      share: 0,
      repeatable: false,
      perSecond: 60,
      burst: 1.4,
    }),
    buildCall("export", {
      tier: 4,
      firstTokenMs: 20_000,
      queueMs: 60_000,
      share: 0.05,
      repeatable: true,
      perSecond: 100,
      burst: 8,
    }),
    buildGenerate("label", {
      tier: 2,
      firstTokenMs: 1_300,
      betweenTokensMs: 60,
      queueMs: 6_000,
      share: 0,
      perSecond: 7,
      promptTokens: 400,
      outputTokens: 60,
      burst: 1.2,
    }),
    buildGenerate("ruling", {
      tier: 3,
      firstTokenMs: 4_000,
      betweenTokensMs: 80,
      queueMs: 15_000,
      share: 0.05,
      perSecond: 6,
      promptTokens: 500,
      outputTokens: 150,
      burst: 4,
    }),
    buildGenerate("dossier", {
      tier: 4,
      firstTokenMs: 60_000,
      betweenTokensMs: 150,
      queueMs: 300_000,
      share: 0.05,
      perSecond: 2,
      promptTokens: 6_000,
      outputTokens: 400,
      burst: 5,
    }),
  ],
});
