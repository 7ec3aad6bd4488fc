/**
 * Guaranteed shares of classes, by credit scheduling. Strict priority alone would
 * let a class starve. Each waiting class earns credit in proportion to its share
 * whenever another class starts a request for the same target. A class whose
 * credit covers the cost of an average request goes first.
 */
import type * as config from "./config.ts";
import type * as queue from "./queue.ts";

/** Largest credit of a class, in average requests. */
const CREDIT_LIMIT = 2;
/** Weight of a new sample in the moving average of the cost. */
const COST_WEIGHT = 0.05;

/** Credits of the classes that compete for one target. */
interface TargetCredits {
  readonly credits: Map<string, number>;
  meanCost: number;
}

/** Credits of the classes at one host, kept separately for each target. */
export class ShareCredits {
  readonly #targets = new Map<string, TargetCredits>();

  /**
   * Orders lanes: first those whose class has enough credit, then by tier, and
   * within a tier those that can still meet their target. If late lanes did not
   * go last, the backlog of a past overload would make every later request miss
   * its target too. Calls that run at most once come before repeatable ones of
   * their tier, because their callers may not send them again: lanes compete
   * only while no slot is free.
   */
  order(lanes: readonly queue.Lane[]): queue.Lane[] {
    return lanes.toSorted((a, b) => {
      const byCredit = Number(this.hasCredit(b)) - Number(this.hasCredit(a));
      if (byCredit !== 0) return byCredit;
      const byLateness = Number(a.missedTarget) - Number(b.missedTarget);
      return a.tier - b.tier || byLateness || compareRepeatable(a, b) ||
        compareArrival(a, b);
    });
  }

  /** Whether the class of a lane has enough credit to go first. */
  hasCredit(lane: Pick<queue.Lane, "target" | "className">): boolean {
    const own = this.#targets.get(lane.target);
    return own !== undefined &&
      (own.credits.get(lane.className) ?? 0) >= own.meanCost;
  }

  /** Charges the class of a started request and credits the classes that keep waiting. */
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
    const waitingClasses = new Set(
      options.waiting.filter((other) => other.target === lane.target)
        .map((other) => other.className),
    );
    waitingClasses.delete(lane.className);
    waitingClasses.forEach((name) => {
      const share = options.classes.get(name)?.share ?? 0;
      const credit = (own.credits.get(name) ?? 0) + share * cost;
      own.credits.set(name, Math.min(CREDIT_LIMIT * own.meanCost, credit));
    });
  }
}

function compareRepeatable(a: queue.Lane, b: queue.Lane): number {
  return Number(isAtMostOnceCall(b)) - Number(isAtMostOnceCall(a));
}

function isAtMostOnceCall(lane: queue.Lane): boolean {
  const next = lane.peek()?.request;
  return next !== undefined && next.kind === "call" && !next.repeatable;
}

function compareArrival(a: queue.Lane, b: queue.Lane): number {
  const first = a.peek()?.request.startBy ?? 0;
  const second = b.peek()?.request.startBy ?? 0;
  return first - second;
}
