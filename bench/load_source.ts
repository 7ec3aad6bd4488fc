/**
 * Generates the load of a run: arrival times, customers and response lengths.
 */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as scenarios from "./scenario.ts";

/** Maximum length of a response, in tokens. */
const MAX_OUTPUT_TOKENS = 2_000;
/** Number of distinct prompt prefixes of each customer. */
const PREFIXES_PER_CUSTOMER = 20;

/** A request and the host at which it arrives. */
export interface Arrival {
  readonly request: core.Request;
  /** Index of the host that the load balancer chose. */
  readonly host: number;
  /** Length of the response, which hosts do not know in advance. */
  readonly outputTokens: number;
}

/** Options of {@link LoadSource}. */
export interface LoadSourceOptions {
  readonly scenario: scenarios.Scenario;
  readonly disturbances: readonly scenarios.Disturbance[];
  readonly hosts: number;
  readonly seed: number;
}

/**
 * Draws the load from a separate random stream, so that all policies get the
 * same load.
 */
export class LoadSource {
  readonly #options: LoadSourceOptions;
  readonly #random: utils.Random;
  #requests = 0;

  constructor(options: LoadSourceOptions) {
    this.#options = options;
    this.#random = utils.createRandom(options.seed);
  }

  /** Draws the time until the next request of a class, in ms. */
  drawInterarrivalMs(load: scenarios.ClassLoad, now: number): number {
    const perSecond = this.#getRate(load, now);
    return utils.drawExponential(this.#random, 1_000 / perSecond);
  }

  /** Draws a request of a class and the host at which it arrives. */
  drawRequest(
    load: scenarios.ClassLoad,
    { now, fingerprint }: {
      readonly now: number;
      readonly fingerprint?: string;
    },
  ): Arrival {
    this.#requests += 1;
    const id = `r${this.#requests}`;
    const customer = this.#drawCustomer(load, now);
    const host = this.#random.below(this.#options.hosts);
    const outputTokens = this.#drawOutputTokens(load);
    const prefix = load.kind === "call"
      ? ""
      : `${customer}/${this.#random.below(PREFIXES_PER_CUSTOMER)}`;
    const request: core.Request = {
      id,
      customer: `c${customer}`,
      keyId: `k${customer}`,
      className: load.part.name,
      tier: load.part.tier,
      target: load.target,
      kind: load.kind,
      pools: [],
      promptTokens: load.promptTokens,
      maxTokens: MAX_OUTPUT_TOKENS,
      prefix,
      fingerprint: fingerprint ?? id,
      repeatable: load.repeatable,
      arrivedAt: now,
      startBy: now + load.part.queueMs,
      targetMs: load.part.firstTokenMs,
      targetBetweenMs: load.part.betweenTokensMs,
      weight: 1,
    };
    return { request, host, outputTokens };
  }

  #drawOutputTokens(load: scenarios.ClassLoad): number {
    if (load.outputTokens === 0) return 0;
    const drawn = utils.drawExponential(this.#random, load.outputTokens);
    return Math.min(MAX_OUTPUT_TOKENS, 1 + Math.floor(drawn));
  }

  #drawCustomer(load: scenarios.ClassLoad, now: number): number {
    const { shares, sum } = this.#getShares(load, now);
    let remaining = this.#random.next() * sum;
    const drawn = shares.findIndex((share) => {
      remaining -= share;
      return remaining <= 0;
    });
    return Math.max(0, drawn);
  }

  #getRate(load: scenarios.ClassLoad, now: number): number {
    const isBurst = this.#options.disturbances.some((disturbance) =>
      disturbance.kind === "burst" && isWithin(disturbance, now)
    );
    return load.perSecond * (isBurst ? load.burst : 1) *
      this.#getPeriodicFactor(now) *
      this.#getShares(load, now).sum;
  }

  #getPeriodicFactor(now: number): number {
    const periodicLoad = this.#options.disturbances.find((disturbance) =>
      disturbance.kind === "periodic_load"
    );
    if (periodicLoad?.kind !== "periodic_load") return 1;
    const phase = 2 * Math.PI * now / periodicLoad.periodMs;
    return periodicLoad.lowestShare +
      (1 - periodicLoad.lowestShare) * (1 - Math.cos(phase)) / 2;
  }

  /**
   * Returns the share of each customer; a greedy customer exceeds its share by
   * a factor.
   */
  #getShares(
    load: scenarios.ClassLoad,
    now: number,
  ): { readonly shares: readonly number[]; readonly sum: number } {
    const greedy = this.#options.disturbances.find((disturbance) =>
      disturbance.kind === "greedy" && isWithin(disturbance, now)
    );
    const factor = greedy?.kind === "greedy" && load.kind === "generate"
      ? greedy.factor
      : 1;
    const shares = this.#options.scenario.customers.map((share, index) =>
      index === 0 ? share * factor : share
    );
    return { shares, sum: shares.reduce((sum, share) => sum + share, 0) };
  }
}

/**
 * Whether a disturbance is active at a given virtual time.
 *
 * @example
 * isWithin({ from: 0, to: 10 }, 5); // true
 */
export function isWithin(
  disturbance: { readonly from: number; readonly to: number },
  now: number,
): boolean {
  return now >= disturbance.from && now < disturbance.to;
}
