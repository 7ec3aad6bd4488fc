/** What the bench runs: two deployments with the users' sizes, and cases of trouble. */
import type * as core from "@banyangrade/core";

/** Load of one class. */
export interface ClassLoad {
  readonly part: core.ClassPart;
  readonly target: string;
  readonly kind: "generate" | "call";
  readonly repeatable: boolean;
  /** Requests a second over all failure domains. */
  readonly perSecond: number;
  readonly promptTokens: number;
  /** Mean of an exponential distribution; 0 for calls. */
  readonly outputTokens: number;
  /** Factor during a burst. */
  readonly burst: number;
}

/** A deployment. */
export interface Scenario {
  readonly name: string;
  readonly failureDomains: readonly string[];
  readonly hostsPerDomain: number;
  readonly pools: readonly core.PoolPart[];
  /** Servers in each pool. */
  readonly servers: ReadonlyMap<string, number>;
  readonly loads: readonly ClassLoad[];
  /** Shares of the customers in the load. */
  readonly customers: readonly number[];
  /** Mean time of one call of a plain service, in ms. */
  readonly serviceMs: number;
}

/** One kind of trouble; times in ms from the start. */
export type Trouble =
  | { readonly kind: "burst"; readonly from: number; readonly to: number }
  | {
    readonly kind: "greedy";
    readonly from: number;
    readonly to: number;
    readonly factor: number;
  }
  | {
    readonly kind: "slow_engine";
    readonly from: number;
    readonly to: number;
    readonly factor: number;
  }
  | { readonly kind: "crash"; readonly at: number; readonly backAt: number }
  | {
    readonly kind: "reclaim";
    readonly at: number;
    readonly noticeMs: number;
    readonly backAt: number;
    /** Failure domains that lose their spot servers. @default 1 */
    readonly domains?: number;
  }
  | { readonly kind: "no_reports"; readonly from: number; readonly to: number }
  | { readonly kind: "poison"; readonly at: number }
  /** Load that rises and falls between this share and all of it. */
  | { readonly kind: "tide"; readonly periodMs: number; readonly low: number };

/** A named set of troubles. */
export interface Case {
  readonly name: string;
  readonly troubles: readonly Trouble[];
}

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
export function buildElastic(scenario: Scenario, fleet: Fleet): Scenario {
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

/** Length of a run in virtual ms, its start-up not measured. */
export const RUN_MS = 125_000;

/** When trouble begins and ends. */
export const FROM = 20_000;
/** End of the trouble. */
export const TO = 80_000;

/** The cases, from none to all at once. */
export const CASES: readonly Case[] = [
  { name: "steady", troubles: [] },
  {
    name: "burst to 3x",
    troubles: [{ kind: "burst", from: FROM, to: TO }],
  },
  {
    name: "engine at a third",
    troubles: [{ kind: "slow_engine", from: FROM, to: TO, factor: 3 }],
  },
  { name: "engine crash", troubles: [{ kind: "crash", at: FROM, backAt: TO }] },
  {
    name: "spot reclaimed",
    troubles: [{ kind: "reclaim", at: FROM, noticeMs: 5_000, backAt: TO }],
  },
  {
    name: "no load reports",
    troubles: [{ kind: "no_reports", from: FROM, to: TO }],
  },
  {
    name: "greedy customer",
    troubles: [{ kind: "greedy", from: FROM, to: TO, factor: 12 }],
  },
  { name: "poison request", troubles: [{ kind: "poison", at: FROM }] },
  {
    name: "all at once",
    troubles: [
      { kind: "burst", from: FROM, to: TO },
      { kind: "slow_engine", from: FROM, to: TO, factor: 3 },
      { kind: "crash", at: FROM + 10_000, backAt: TO },
      { kind: "reclaim", at: FROM + 20_000, noticeMs: 5_000, backAt: TO },
      { kind: "poison", at: FROM + 30_000 },
    ],
  },
];

/** Ten customers, a few of them large. */
const CUSTOMERS = [0.25, 0.2, 0.15, 0.1, 0.08, 0.06, 0.05, 0.05, 0.03, 0.03];

function buildClass(
  name: string,
  rest: Omit<core.ClassPart, "kind" | "name">,
): core.ClassPart {
  return { kind: "class", name, ...rest };
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
    readonly loads: readonly ClassLoad[];
  },
): Scenario {
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
    {
      part: buildClass("booking", {
        tier: 1,
        firstTokenMs: 400,
        betweenTokensMs: 50,
        queueMs: 2_000,
        share: 0,
      }),
      target: "service",
      kind: "call",
      repeatable: false,
      perSecond: 80,
      promptTokens: 0,
      outputTokens: 0,
      burst: 1.5,
    },
    {
      part: buildClass("lookup", {
        tier: 1,
        firstTokenMs: 300,
        betweenTokensMs: 50,
        queueMs: 1_500,
        share: 0,
      }),
      target: "service",
      kind: "call",
      repeatable: true,
      perSecond: 280,
      promptTokens: 0,
      outputTokens: 0,
      burst: 1.5,
    },
    {
      part: buildClass("reminder", {
        tier: 3,
        firstTokenMs: 20_000,
        betweenTokensMs: 50,
        queueMs: 60_000,
        share: 0.05,
      }),
      target: "service",
      kind: "call",
      repeatable: true,
      perSecond: 200,
      promptTokens: 0,
      outputTokens: 0,
      burst: 8,
    },
    {
      part: buildClass("clash", {
        tier: 1,
        firstTokenMs: 1_300,
        betweenTokensMs: 60,
        queueMs: 6_000,
        share: 0,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 8,
      promptTokens: 300,
      outputTokens: 100,
      burst: 1.2,
    },
    {
      part: buildClass("summary", {
        tier: 2,
        firstTokenMs: 5_000,
        betweenTokensMs: 80,
        queueMs: 15_000,
        share: 0.05,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 6,
      promptTokens: 600,
      outputTokens: 150,
      burst: 4,
    },
    {
      part: buildClass("redraft", {
        tier: 3,
        firstTokenMs: 30_000,
        betweenTokensMs: 120,
        queueMs: 120_000,
        share: 0.05,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 2.5,
      promptTokens: 1_500,
      outputTokens: 350,
      burst: 5,
    },
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
    {
      part: buildClass("counter", {
        tier: 1,
        firstTokenMs: 300,
        betweenTokensMs: 50,
        queueMs: 1_500,
        share: 0,
      }),
      target: "service",
      kind: "call",
      repeatable: true,
      perSecond: 300,
      promptTokens: 0,
      outputTokens: 0,
      burst: 1.4,
    },
    {
      part: buildClass("renewal", {
        tier: 2,
        firstTokenMs: 800,
        betweenTokensMs: 50,
        queueMs: 4_000,
        share: 0,
      }),
      target: "service",
      kind: "call",
      repeatable: false,
      perSecond: 60,
      promptTokens: 0,
      outputTokens: 0,
      burst: 1.4,
    },
    {
      part: buildClass("export", {
        tier: 4,
        firstTokenMs: 20_000,
        betweenTokensMs: 50,
        queueMs: 60_000,
        share: 0.05,
      }),
      target: "service",
      kind: "call",
      repeatable: true,
      perSecond: 100,
      promptTokens: 0,
      outputTokens: 0,
      burst: 8,
    },
    {
      part: buildClass("label", {
        tier: 2,
        firstTokenMs: 1_300,
        betweenTokensMs: 60,
        queueMs: 6_000,
        share: 0,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 7,
      promptTokens: 400,
      outputTokens: 60,
      burst: 1.2,
    },
    {
      part: buildClass("ruling", {
        tier: 3,
        firstTokenMs: 4_000,
        betweenTokensMs: 80,
        queueMs: 15_000,
        share: 0.05,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 6,
      promptTokens: 500,
      outputTokens: 150,
      burst: 4,
    },
    {
      part: buildClass("dossier", {
        tier: 4,
        firstTokenMs: 60_000,
        betweenTokensMs: 150,
        queueMs: 300_000,
        share: 0.05,
      }),
      target: "model",
      kind: "generate",
      repeatable: true,
      perSecond: 2,
      promptTokens: 6_000,
      outputTokens: 400,
      burst: 5,
    },
  ],
});
