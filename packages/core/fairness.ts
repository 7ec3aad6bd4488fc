/**
 * Guaranteed shares between classes. Strict priority alone lets a class starve;
 * here every waiting class collects credit for its share of what others are
 * served, and goes first once it can pay for its next request.
 */
import type * as config from "./config.ts";
import type * as queue from "./queue.ts";

/** Credit for how many average requests a class can collect at the most. */
const CREDIT_LIMIT = 2;

/** Credits of the classes at one host. */
export class ShareCredits {
  readonly #credits = new Map<string, number>();
  #meanCost = 1;

  /** Orders lanes: those whose class has earned its turn first, then by tier. */
  order(lanes: readonly queue.Lane[]): queue.Lane[] {
    return lanes.toSorted((a, b) => {
      const turn = Number(this.#hasTurn(b)) - Number(this.#hasTurn(a));
      return turn !== 0 ? turn : a.tier - b.tier || compareArrival(a, b);
    });
  }

  #hasTurn(lane: queue.Lane): boolean {
    return (this.#credits.get(lane.className) ?? 0) >= this.#meanCost;
  }

  /** Charges the lane's class and credits the classes that go on waiting. */
  recordStart(
    lane: queue.Lane,
    options: {
      readonly cost: number;
      readonly waiting: readonly queue.Lane[];
      readonly classes: ReadonlyMap<string, config.ClassPart>;
    },
  ): void {
    this.#meanCost += 0.05 * (options.cost - this.#meanCost);
    const spent = (this.#credits.get(lane.className) ?? 0) - options.cost;
    this.#credits.set(lane.className, Math.max(0, spent));
    const names = new Set(options.waiting.map((other) => other.className));
    names.delete(lane.className);
    names.forEach((name) => {
      const share = options.classes.get(name)?.share ?? 0;
      const credit = (this.#credits.get(name) ?? 0) + share * options.cost;
      const limit = CREDIT_LIMIT * this.#meanCost;
      this.#credits.set(name, Math.min(limit, credit));
    });
  }
}

function compareArrival(a: queue.Lane, b: queue.Lane): number {
  const first = a.peek()?.request.startBy ?? 0;
  const second = b.peek()?.request.startBy ?? 0;
  return first - second;
}
