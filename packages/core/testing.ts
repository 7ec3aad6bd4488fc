/** Test helpers: a dispatcher with a small configuration, and requests for it. */
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

/** A pool whose servers have two slots each. */
export const POOL: core.PoolPart = {
  kind: "pool",
  name: "rooms",
  serves: "service",
  failureDomain: "a",
  targets: ["rooms"],
  slots: 2,
  spot: false,
  costPerHour: 1,
  checksFencing: false,
  minServers: 0,
  maxServers: 0,
};

/**
 * Builds a class named after its tier.
 *
 * @example
 * buildClass(1, { share: 0.1 }).name; // "tier1"
 */
export function buildClass(
  tier: number,
  { share = 0 }: { readonly share?: number } = {},
): core.ClassPart {
  return {
    kind: "class",
    name: `tier${tier}`,
    tier,
    firstTokenMs: 500,
    betweenTokensMs: 50,
    queueMs: 1_000,
    share,
  };
}

/**
 * Builds a configuration from its parts.
 *
 * @example
 * buildConfiguration([buildClass(1), POOL]);
 */
export function buildConfiguration(
  puts: readonly core.ConfigPart[],
): core.Configuration {
  return core.applyChange(core.EMPTY_CONFIGURATION, {
    revision: 1,
    previousDigest: "",
    puts,
    removes: [],
    author: "test",
    writerToken: "1",
  }).unwrap();
}

/** Options of {@link startDispatcher}. */
export interface StartOptions {
  /** @default "h0" */
  readonly host?: string;
  /** @default [POOL] */
  readonly pools?: readonly core.PoolPart[];
  /** @default 1 */
  readonly seed?: number;
  /** @default false */
  readonly tracksLinks?: boolean;
  readonly suspects?: core.SuspectOptions;
  /** @default always */
  readonly isListCurrent?: () => boolean;
  /** @default a token bucket */
  readonly budget?: core.RetryBudget;
}

/**
 * Creates the dispatcher of a host in failure domain "a", with classes tier1 and
 * tier2 and two servers in each pool.
 *
 * @example
 * const dispatcher = startDispatcher({ pools: [POOL] });
 */
export function startDispatcher(
  { host = "h0", pools = [POOL], seed = 1, ...options }: StartOptions = {},
): core.Dispatcher {
  const dispatcher = new core.Dispatcher({
    failureDomain: "a",
    host,
    random: utils.createRandom(seed),
    ...options,
  });
  const configuration = buildConfiguration([
    buildClass(1),
    buildClass(2),
    ...pools,
  ]);
  dispatcher.handle({ kind: "configured", configuration }, 0);
  dispatcher.handle({
    kind: "servers_changed",
    servers: pools.flatMap((pool) => listServers(pool)),
  }, 0);
  return dispatcher;
}

/** Lists two live servers of a pool, named after its first letter. */
function listServers(pool: core.PoolPart): core.ServerInfo[] {
  return [1, 2].map((index) => ({
    name: `${pool.name[0]}${index}`,
    pool: pool.name,
    url: "",
    state: "live",
  }));
}

/**
 * Builds a call of the rooms service that arrives at time 0. Its fingerprint is the
 * part of the id before a "#".
 *
 * @example
 * buildRequest("r1", { tier: 1 });
 */
export function buildRequest(
  id: string,
  options: { readonly tier: number; readonly repeatable?: boolean },
): core.Request {
  return {
    id,
    customer: "c",
    keyId: "k",
    className: `tier${options.tier}`,
    tier: options.tier,
    target: "rooms",
    kind: "call",
    pools: [],
    promptTokens: 0,
    maxTokens: 0,
    prefix: "",
    fingerprint: id.split("#")[0],
    repeatable: options.repeatable ?? true,
    arrivedAt: 0,
    startBy: 1_000,
    targetMs: 500,
    targetBetweenMs: 50,
    weight: 1,
  };
}
