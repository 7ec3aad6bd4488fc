/** What a run of the bench is made of. */
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
