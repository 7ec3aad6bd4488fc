/** What a run is judged by. */
import type * as core from "@banyangrade/core";
import type * as scenarios from "./scenario.ts";

/** Requests that arrive before this moment are not counted, in ms. */
const WARM_UP_MS = 10_000;
/** Requests that arrive after this moment may not have ended, in ms. */
const COUNT_UNTIL_MS = 110_000;
/** Length of a point of the goodput curve, in ms. */
const CURVE_MS = 2_000;
/** A customer that asks for this many times the median is greedy by itself. */
const GREEDY_FACTOR = 5;
/** Requests of a customer below which its attainment says little. */
const MIN_CUSTOMER_REQUESTS = 20;

/** Why a request missed its target. */
export type Miss = "late" | "slow" | "refused";

const NO_MISSES: Record<Miss, number> = { late: 0, slow: 0, refused: 0 };

interface Tracked {
  readonly request: core.Request;
  readonly load: scenarios.ClassLoad;
  firstAt: number;
  tokens: number;
  attained: boolean;
}

/** Figures of one class. */
export interface ClassFigures {
  readonly className: string;
  readonly tier: number;
  readonly arrived: number;
  /** Share that met its target, refused ones counted as missed. */
  readonly attainment: number;
  /** Shares that missed it by the first token, between tokens and by refusal. */
  readonly misses: Readonly<Record<Miss, number>>;
  /** Lowest attainment of a customer that is not greedy, by the median. */
  readonly worstCustomer: number;
}

/** Figures of a run. */
export interface RunFigures {
  readonly classes: readonly ClassFigures[];
  /** Tokens a second of answers that met their target. */
  readonly goodput: number;
  /** Tokens generated for nobody, as a share of all. */
  readonly wasted: number;
  /** Refusals for load while lower work beyond its share ran in the failure domain. */
  readonly violations: number;
  /** Servers lost to the poison request. */
  readonly poisoned: number;
  /** Demand messages of all hosts a second. */
  readonly messagesPerSecond: number;
  /** Cost of a million tokens of whole answers. */
  readonly costPerMillion: number;
  /** Share of the tokens of whole answers that spot servers ended. */
  readonly spotShare: number;
  /** Attained requests in each 2 s. */
  readonly curve: readonly number[];
}

/** Collects figures during a run. */
export class Measure {
  messages = 0;
  /** Cost of all engines so far. */
  cost = 0;
  /** Tokens that spot servers generated in whole answers. */
  spotTokens = 0;
  readonly poisoned = new Set<string>();
  readonly #loads: ReadonlyMap<string, scenarios.ClassLoad>;
  readonly #countUntilMs: number;
  readonly #open = new Map<string, Tracked>();
  readonly #counts = new Map<string, Map<string, [number, number]>>();
  readonly #misses = new Map<string, Record<Miss, number>>();
  readonly #curve: number[] = [];
  #generated = 0;
  #lost = 0;
  #good = 0;
  #served = 0;
  #violations = 0;

  constructor(
    scenario: scenarios.Scenario,
    { countUntilMs = COUNT_UNTIL_MS }: { readonly countUntilMs?: number } = {},
  ) {
    this.#countUntilMs = countUntilMs;
    this.#loads = new Map(
      scenario.loads.map((load) => [load.part.name, load]),
    );
  }

  recordArrived(request: core.Request): void {
    const load = this.#loads.get(request.className) as scenarios.ClassLoad;
    this.#open.set(request.id, {
      request,
      load,
      firstAt: 0,
      tokens: 0,
      attained: false,
    });
    if (!this.#isCounted(request)) return;
    const [arrived, attained] = this.#getCount(request);
    this.#setCount(request, [arrived + 1, attained]);
  }

  recordToken(requestId: string, now: number): void {
    const tracked = this.#open.get(requestId);
    this.#generated += 1;
    if (tracked === undefined) {
      this.#lost += 1;
      return;
    }
    if (tracked.tokens === 0) tracked.firstAt = now;
    tracked.tokens += 1;
  }

  /** Records tokens that were generated and thrown away. */
  recordLost(tokens: number): void {
    this.#lost += tokens;
  }

  recordFinished(
    requestId: string,
    { now, tokens }: { readonly now: number; readonly tokens: number },
  ): void {
    const tracked = this.#open.get(requestId);
    if (tracked === undefined) return;
    this.#open.delete(requestId);
    const { request, load } = tracked;
    if (load.kind === "generate") this.#served += tokens;
    const firstAt = load.kind === "call" ? now : tracked.firstAt;
    const between = tokens > 1 ? (now - firstAt) / (tokens - 1) : 0;
    const late = firstAt - request.arrivedAt > load.part.firstTokenMs;
    const slow = between > load.part.betweenTokensMs;
    if (late || slow) return this.#recordMiss(request, late ? "late" : "slow");
    this.#good += load.kind === "call" ? 0 : tokens;
    const point = Math.floor(now / CURVE_MS);
    this.#curve[point] = (this.#curve[point] ?? 0) + 1;
    if (!this.#isCounted(request)) return;
    const [arrived, sofar] = this.#getCount(request);
    this.#setCount(request, [arrived, sofar + 1]);
  }

  recordRefused(
    requestId: string,
    refusal: core.Refusal,
    options: {
      readonly lowerElsewhere: (request: core.Request) => boolean;
    },
  ): void {
    const tracked = this.#open.get(requestId);
    if (tracked === undefined) return;
    this.#open.delete(requestId);
    this.#lost += tracked.tokens;
    this.#recordMiss(tracked.request, "refused");
    const forLoad = refusal.code === "overloaded" ||
      refusal.code === "deadline_exceeded";
    if (forLoad && options.lowerElsewhere(tracked.request)) {
      this.#violations += 1;
    }
  }

  /** Sums the run up. */
  sumUp(runMs: number): RunFigures {
    return {
      classes: [...this.#loads.values()].map((load) => this.#sumClass(load)),
      goodput: this.#good / (runMs / 1_000),
      wasted: this.#generated === 0 ? 0 : this.#lost / this.#generated,
      violations: this.#violations,
      poisoned: this.poisoned.size,
      costPerMillion: this.cost / Math.max(1, this.#served) * 1e6,
      spotShare: this.spotTokens / Math.max(1, this.#served),
      messagesPerSecond: this.messages / (runMs / 1_000),
      curve: Array.from(
        { length: Math.floor(runMs / CURVE_MS) },
        (_, index) => this.#curve[index] ?? 0,
      ),
    };
  }

  #sumClass(load: scenarios.ClassLoad): ClassFigures {
    const counts = [...(this.#counts.get(load.part.name)?.values() ?? [])];
    const arrived = counts.reduce((sum, [count]) => sum + count, 0);
    const attained = counts.reduce((sum, [, count]) => sum + count, 0);
    const sizes = counts.map(([count]) => count).toSorted((a, b) => a - b);
    const usual = sizes[Math.floor(sizes.length / 2)] ?? 0;
    const shares = counts.filter(([count]) =>
      count >= MIN_CUSTOMER_REQUESTS && count <= GREEDY_FACTOR * usual
    )
      .map(([all, good]) => good / all).toSorted((a, b) => a - b);
    const median = shares[Math.floor(shares.length / 2)] ?? 0;
    return {
      className: load.part.name,
      tier: load.part.tier,
      arrived,
      attainment: arrived === 0 ? 1 : attained / arrived,
      misses: this.#divideMisses(load.part.name, Math.max(1, arrived)),
      worstCustomer: median === 0 ? 1 : shares[0] / median,
    };
  }

  #divideMisses(name: string, arrived: number): Record<Miss, number> {
    const { late, slow, refused } = this.#misses.get(name) ?? NO_MISSES;
    return {
      late: late / arrived,
      slow: slow / arrived,
      refused: refused / arrived,
    };
  }

  #recordMiss(request: core.Request, miss: Miss): void {
    if (!this.#isCounted(request)) return;
    const known = this.#misses.get(request.className) ?? NO_MISSES;
    const counts = { ...known, [miss]: known[miss] + 1 };
    this.#misses.set(request.className, counts);
  }

  #isCounted(request: core.Request): boolean {
    return request.fingerprint !== "poison" &&
      request.arrivedAt >= WARM_UP_MS && request.arrivedAt < this.#countUntilMs;
  }

  #getCount(request: core.Request): [number, number] {
    return this.#counts.get(request.className)?.get(request.customer) ?? [0, 0];
  }

  #setCount(request: core.Request, count: [number, number]): void {
    const own = this.#counts.get(request.className) ?? new Map();
    this.#counts.set(request.className, own.set(request.customer, count));
  }
}
