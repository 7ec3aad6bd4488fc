/** Records the figures by which a run is evaluated. */
import type * as core from "@banyangrade/core";
import type * as scenarios from "./scenario.ts";

/** Requests that arrive before this virtual time are not counted, in ms. */
const WARM_UP_MS = 10_000;
/**
 * Requests that arrive after this virtual time may not end in the run and are
 * not counted, in ms.
 */
const COUNT_UNTIL_MS = 110_000;
/** Interval of the points of the curve, in ms. */
const CURVE_POINT_MS = 2_000;
/**
 * A customer with more than this multiple of the median request count is
 * greedy.
 */
const GREEDY_FACTOR = 5;
/**
 * Customers with fewer requests are ignored, as their attainment is mostly
 * noise.
 */
const MIN_CUSTOMER_REQUESTS = 20;

/**
 * Why a request missed its target: late first token, slow tokens or a refusal.
 */
export type MissReason = "late" | "slow" | "refused";

const NO_MISSES: Record<MissReason, number> = { late: 0, slow: 0, refused: 0 };

interface Tracked {
  readonly request: core.Request;
  readonly load: scenarios.ClassLoad;
  firstAt: number;
  tokens: number;
  attained: boolean;
}

/** Figures of one request class. */
export interface ClassFigures {
  readonly className: string;
  readonly tier: number;
  readonly arrived: number;
  /**
   * Share of the requests that met their target; refused requests count as
   * missed.
   */
  readonly attainment: number;
  /** Share of the requests that missed their target, by reason. */
  readonly misses: Readonly<Record<MissReason, number>>;
  /**
   * Lowest attainment of a customer that is not greedy, relative to the median.
   */
  readonly worstCustomer: number;
}

/** Figures of a run. */
export interface RunFigures {
  readonly classes: readonly ClassFigures[];
  /** Tokens per second of responses that met their target. */
  readonly goodput: number;
  /** Share of the generated tokens that were discarded. */
  readonly wasted: number;
  /**
   * Requests refused for overload while attempts of a lower tier that exceeded the
   * share of their class ran in the failure domain.
   */
  readonly violations: number;
  /** Number of servers that the poison request crashed. */
  readonly poisoned: number;
  /** Demand messages of all hosts per second. */
  readonly messagesPerSecond: number;
  /** Cost of a million tokens of complete responses. */
  readonly costPerMillion: number;
  /**
   * Share of the tokens of complete responses that the finishing attempt
   * generated on spot servers.
   */
  readonly spotShare: number;
  /** Number of requests that met their target in each 2 s. */
  readonly curve: readonly number[];
}

/** Records the figures of a run. */
export class FigureRecorder {
  messages = 0;
  /** Cost of all engines so far. */
  cost = 0;
  /**
   * Tokens of complete responses that the finishing attempt generated on spot
   * servers.
   */
  spotTokens = 0;
  readonly poisoned = new Set<string>();
  readonly #loads: ReadonlyMap<string, scenarios.ClassLoad>;
  readonly #countUntilMs: number;
  readonly #openRequests = new Map<string, Tracked>();
  readonly #counts = new Map<string, Map<string, [number, number]>>();
  readonly #misses = new Map<string, Record<MissReason, number>>();
  readonly #curve: number[] = [];
  #generatedTokens = 0;
  #discardedTokens = 0;
  #attainedTokens = 0;
  #completedTokens = 0;
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
    this.#openRequests.set(request.id, {
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
    const tracked = this.#openRequests.get(requestId);
    this.#generatedTokens += 1;
    if (tracked === undefined) {
      this.#discardedTokens += 1;
      return;
    }
    if (tracked.tokens === 0) tracked.firstAt = now;
    tracked.tokens += 1;
  }

  /** Records tokens that were generated and then discarded. */
  recordDiscarded(tokens: number): void {
    this.#discardedTokens += tokens;
  }

  recordFinished(
    requestId: string,
    { now, tokens }: { readonly now: number; readonly tokens: number },
  ): void {
    const tracked = this.#openRequests.get(requestId);
    if (tracked === undefined) return;
    this.#openRequests.delete(requestId);
    const { request, load } = tracked;
    if (load.kind === "generate") this.#completedTokens += tokens;
    const firstAt = load.kind === "call" ? now : tracked.firstAt;
    const meanGapMs = tokens > 1 ? (now - firstAt) / (tokens - 1) : 0;
    const late = firstAt - request.arrivedAt > load.part.firstTokenMs;
    const slow = meanGapMs > load.part.betweenTokensMs;
    if (late || slow) return this.#recordMiss(request, late ? "late" : "slow");
    this.#attainedTokens += load.kind === "call" ? 0 : tokens;
    const point = Math.floor(now / CURVE_POINT_MS);
    this.#curve[point] = (this.#curve[point] ?? 0) + 1;
    if (!this.#isCounted(request)) return;
    const [arrived, attained] = this.#getCount(request);
    this.#setCount(request, [arrived, attained + 1]);
  }

  recordRefused(
    requestId: string,
    refusal: core.Refusal,
    options: {
      readonly hasLowerTierWork: (request: core.Request) => boolean;
    },
  ): void {
    const tracked = this.#openRequests.get(requestId);
    if (tracked === undefined) return;
    this.#openRequests.delete(requestId);
    this.#discardedTokens += tracked.tokens;
    this.#recordMiss(tracked.request, "refused");
    const isOverload = refusal.code === "overloaded" ||
      refusal.code === "deadline_exceeded";
    if (isOverload && options.hasLowerTierWork(tracked.request)) {
      this.#violations += 1;
    }
  }

  /** Computes the figures of the run. */
  computeFigures(runMs: number): RunFigures {
    return {
      classes: [...this.#loads.values()].map((load) =>
        this.#computeClassFigures(load)
      ),
      goodput: this.#attainedTokens / (runMs / 1_000),
      wasted: this.#generatedTokens === 0
        ? 0
        : this.#discardedTokens / this.#generatedTokens,
      violations: this.#violations,
      poisoned: this.poisoned.size,
      costPerMillion: this.cost / Math.max(1, this.#completedTokens) * 1e6,
      spotShare: this.spotTokens / Math.max(1, this.#completedTokens),
      messagesPerSecond: this.messages / (runMs / 1_000),
      curve: Array.from(
        { length: Math.floor(runMs / CURVE_POINT_MS) },
        (_, index) => this.#curve[index] ?? 0,
      ),
    };
  }

  #computeClassFigures(load: scenarios.ClassLoad): ClassFigures {
    const counts = [...(this.#counts.get(load.part.name)?.values() ?? [])];
    const arrived = counts.reduce((sum, [count]) => sum + count, 0);
    const attained = counts.reduce((sum, [, count]) => sum + count, 0);
    const sizes = counts.map(([count]) => count).toSorted((a, b) => a - b);
    const medianSize = sizes[Math.floor(sizes.length / 2)] ?? 0;
    const shares = counts.filter(([count]) =>
      count >= MIN_CUSTOMER_REQUESTS && count <= GREEDY_FACTOR * medianSize
    )
      .map(([total, met]) => met / total).toSorted((a, b) => a - b);
    const median = shares[Math.floor(shares.length / 2)] ?? 0;
    return {
      className: load.part.name,
      tier: load.part.tier,
      arrived,
      attainment: arrived === 0 ? 1 : attained / arrived,
      misses: this.#computeMissShares(load.part.name, Math.max(1, arrived)),
      worstCustomer: median === 0 ? 1 : shares[0] / median,
    };
  }

  #computeMissShares(
    name: string,
    arrived: number,
  ): Record<MissReason, number> {
    const { late, slow, refused } = this.#misses.get(name) ?? NO_MISSES;
    return {
      late: late / arrived,
      slow: slow / arrived,
      refused: refused / arrived,
    };
  }

  #recordMiss(request: core.Request, miss: MissReason): void {
    if (!this.#isCounted(request)) return;
    const previous = this.#misses.get(request.className) ?? NO_MISSES;
    const counts = { ...previous, [miss]: previous[miss] + 1 };
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
