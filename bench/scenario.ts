/** The types that describe a benchmark run. */
import type * as core from "@banyangrade/core";

/** The load of one request class. */
export interface ClassLoad {
  readonly part: core.ClassPart;
  readonly target: string;
  readonly kind: "generate" | "call";
  readonly repeatable: boolean;
  /** Requests per second over all failure domains. */
  readonly perSecond: number;
  readonly promptTokens: number;
  /** Mean of the exponential distribution of response lengths; 0 for calls. */
  readonly outputTokens: number;
  /** Factor by which a burst multiplies the rate. */
  readonly burst: number;
}

/** A simulated deployment and its load. */
export interface Scenario {
  readonly name: string;
  readonly failureDomains: readonly string[];
  readonly hostsPerDomain: number;
  readonly pools: readonly core.PoolPart[];
  /** Number of servers in each pool at the start. */
  readonly servers: ReadonlyMap<string, number>;
  readonly loads: readonly ClassLoad[];
  /** Share of each customer in the load. */
  readonly customers: readonly number[];
  /** Mean duration of a call to a service that is not an engine, in ms. */
  readonly serviceMs: number;
}

/**
 * A disturbance of the load or the servers; times are virtual ms from the
 * start.
 */
export type Disturbance =
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
  | { readonly kind: "crash"; readonly at: number; readonly restoredAt: number }
  | {
    readonly kind: "reclaim";
    readonly at: number;
    readonly noticeMs: number;
    readonly restoredAt: number;
    /** Number of failure domains that lose their spot servers. @default 1 */
    readonly domains?: number;
  }
  | { readonly kind: "no_reports"; readonly from: number; readonly to: number }
  | { readonly kind: "poison"; readonly at: number }
  /**
   * Load that rises and falls between `lowestShare` times the full rate and the
   * full rate.
   */
  | {
    readonly kind: "periodic_load";
    readonly periodMs: number;
    readonly lowestShare: number;
  };

/** A named set of disturbances. */
export interface Case {
  readonly name: string;
  readonly disturbances: readonly Disturbance[];
}
