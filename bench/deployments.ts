/** The two deployments, with the users' sizes. */
import type * as core from "@banyangrade/core";
import type * as scenarios from "./scenario.ts";

/** How the number of engines follows demand. */
export type Fleet = "fixed" | "mixed" | "ordinary_only" | "spot_only";

/** Most servers of a pool that the autoscaler may order. */
const SCALE_MAX = 6;

/**
 * Returns a scenario whose engines the autoscaler orders, starting with one
 * server in each pool that is used.
 *
 * @example
 * const elastic = buildElastic(TANZRAUM, "mixed");
 */
export function buildElastic(
  scenario: scenarios.Scenario,
  fleet: Fleet,
): scenarios.Scenario {
  if (fleet === "fixed") return scenario;
  const pools = scenario.pools.map((pool) => {
    if (pool.serves === "service") return pool;
    const unused = fleet === (pool.spot ? "ordinary_only" : "spot_only");
    // One ordinary server holds a failure domain; spot servers come and go.
    const needed = fleet === "spot_only" || !pool.spot;
    const minServers = needed && !unused ? 1 : 0;
    return { ...pool, minServers, maxServers: unused ? 0 : SCALE_MAX };
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

/** Ten customers, a few of them large. */
const CUSTOMERS = [0.25, 0.2, 0.15, 0.1, 0.08, 0.06, 0.05, 0.05, 0.03, 0.03];

type Rates = Pick<scenarios.ClassLoad, "perSecond" | "burst">;
type Targets = Omit<core.ClassPart, "kind" | "name" | "betweenTokensMs">;

/** Calls of the plain service. */
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

/** Requests to the model. */
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

/** Pools of one failure domain and how many servers each has. */
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

/** Tanzraum: 4 failure domains, 13 model and 4 application workers. */
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

/** Jadeleaf: 3 failure domains, 13 model and 3 application workers. */
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
