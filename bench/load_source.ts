/** The load of a run: when requests arrive, whose they are and how long their answers get. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as scenarios from "./scenario.ts";

/** Longest answer, in tokens. */
const MAX_OUTPUT_TOKENS = 2_000;
/** Prompts of a customer that begin alike. */
const PREFIXES_PER_CUSTOMER = 20;

/** A request that arrives. */
export interface Arrival {
  readonly request: core.Request;
  /** Host that the balancer chose. */
  readonly host: number;
  /** Length of its answer, which only the engine knows. */
  readonly outputTokens: number;
}

/** Options of {@link LoadSource}. */
export interface LoadSourceOptions {
  readonly scenario: scenarios.Scenario;
  readonly troubles: readonly scenarios.Trouble[];
  readonly hosts: number;
  readonly seed: number;
}

/** Draws the load from a stream of its own, so it is the same for every policy. */
export class LoadSource {
  readonly #options: LoadSourceOptions;
  readonly #random: utils.Random;
  #requests = 0;

  constructor(options: LoadSourceOptions) {
    this.#options = options;
    this.#random = utils.createRandom(options.seed);
  }

  /** Draws the time until a class's next request, in ms. */
  drawGap(load: scenarios.ClassLoad, now: number): number {
    const perSecond = this.#getRate(load, now);
    return utils.drawExponential(this.#random, 1_000 / perSecond);
  }

  /** Draws a request. */
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
    const outputTokens = this.#drawLength(load);
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

  #drawLength(load: scenarios.ClassLoad): number {
    if (load.outputTokens === 0) return 0;
    const drawn = utils.drawExponential(this.#random, load.outputTokens);
    return Math.min(MAX_OUTPUT_TOKENS, 1 + Math.floor(drawn));
  }

  #drawCustomer(load: scenarios.ClassLoad, now: number): number {
    const { shares, sum } = this.#getShares(load, now);
    let left = this.#random.next() * sum;
    const drawn = shares.findIndex((share) => {
      left -= share;
      return left <= 0;
    });
    return Math.max(0, drawn);
  }

  #getRate(load: scenarios.ClassLoad, now: number): number {
    const bursting = this.#options.troubles.some((trouble) =>
      trouble.kind === "burst" && isWithin(trouble, now)
    );
    return load.perSecond * (bursting ? load.burst : 1) * this.#getTide(now) *
      this.#getShares(load, now).sum;
  }

  #getTide(now: number): number {
    const tide = this.#options.troubles.find((trouble) =>
      trouble.kind === "tide"
    );
    if (tide?.kind !== "tide") return 1;
    const phase = 2 * Math.PI * now / tide.periodMs;
    return tide.low + (1 - tide.low) * (1 - Math.cos(phase)) / 2;
  }

  /** Customers' shares; a greedy one asks for many times its own. */
  #getShares(
    load: scenarios.ClassLoad,
    now: number,
  ): { readonly shares: readonly number[]; readonly sum: number } {
    const greedy = this.#options.troubles.find((trouble) =>
      trouble.kind === "greedy" && isWithin(trouble, now)
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
 * Whether a trouble lasts at a moment.
 *
 * @example
 * isWithin({ from: 0, to: 10 }, 5); // true
 */
export function isWithin(
  trouble: { readonly from: number; readonly to: number },
  now: number,
): boolean {
  return now >= trouble.from && now < trouble.to;
}
