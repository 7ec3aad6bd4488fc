/**
 * Guaranteed shares between classes. Strict priority alone lets a class starve;
 * here every waiting class collects credit for its share of what others are
 * served by the same servers, and goes first once it can pay for its next
 * request.
 */
import type * as config from "./config.ts";
import type * as queue from "./queue.ts";

/** Credit for how many average requests a class can collect at the most. */
const CREDIT_LIMIT = 2;
/** Weight of a new cost in the mean. */
const COST_WEIGHT = 0.05;

/** Credits of the classes that compete for one target. */
interface TargetCredits {
  readonly credits: Map<string, number>;
  meanCost: number;
}

/** Credits of the classes at one host, for each target by itself. */
export class ShareCredits {
  readonly #targets = new Map<string, TargetCredits>();

  /**
   * Orders lanes: those whose class has earned its turn first, then by tier,
   * and within a tier those that can still meet their target. Otherwise a
   * backlog from an overload that is long over would make every later request
   * miss its target too.
   */
  order(lanes: readonly queue.Lane[]): queue.Lane[] {
    return lanes.toSorted((a, b) => {
      const turn = Number(this.hasTurn(b)) - Number(this.hasTurn(a));
      if (turn !== 0) return turn;
      const late = Number(a.late) - Number(b.late);
      return a.tier - b.tier || late || compareArrival(a, b);
    });
  }

  /** Whether the lane's class has earned its turn by its guaranteed share. */
  hasTurn(lane: queue.Lane): boolean {
    const own = this.#targets.get(lane.target);
    return own !== undefined &&
      (own.credits.get(lane.className) ?? 0) >= own.meanCost;
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
    const { cost } = options;
    const own = this.#targets.get(lane.target) ??
      { credits: new Map<string, number>(), meanCost: cost };
    this.#targets.set(lane.target, own);
    own.meanCost += COST_WEIGHT * (cost - own.meanCost);
    const spent = (own.credits.get(lane.className) ?? 0) - cost;
    own.credits.set(lane.className, Math.max(0, spent));
    const names = new Set(
      options.waiting.filter((other) => other.target === lane.target)
        .map((other) => other.className),
    );
    names.delete(lane.className);
    names.forEach((name) => {
      const share = options.classes.get(name)?.share ?? 0;
      const credit = (own.credits.get(name) ?? 0) + share * cost;
      own.credits.set(name, Math.min(CREDIT_LIMIT * own.meanCost, credit));
    });
  }
}

function compareArrival(a: queue.Lane, b: queue.Lane): number {
  const first = a.peek()?.request.startBy ?? 0;
  const second = b.peek()?.request.startBy ?? 0;
  return first - second;
}
