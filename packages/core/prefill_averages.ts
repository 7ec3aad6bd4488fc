/**
 * Moving average of the number of requests whose prefill is not complete, by
 * target. An engine prefills one prompt at a time, so this number shows the
 * prefill load independently of the engines' speed and slots: an engine that is
 * busy half of the time has less than one such request on average, and at an
 * overloaded engine the number keeps growing.
 *
 * Handles a burst of long prompts, in which the slots stay nearly empty while the
 * prompts queue up in the engines.
 */

/** Time constant of the moving average, in ms: the interval between reports to other hosts. */
const AVERAGE_MS = 1_000;

interface Average {
  readonly value: number;
  readonly at: number;
}

/** Averages the number of requests in prefill, by target. */
export class PrefillAverages {
  readonly #averages = new Map<string, Average>();

  /** Records the current numbers by target; a missing target counts as 0. */
  record(counts: ReadonlyMap<string, number>, now: number): void {
    const targets = new Set([...this.#averages.keys(), ...counts.keys()]);
    targets.forEach((target) => {
      const before = this.#averages.get(target) ?? { value: 0, at: now };
      const decay = Math.exp((before.at - now) / AVERAGE_MS);
      const count = counts.get(target) ?? 0;
      const value = count + decay * (before.value - count);
      this.#averages.set(target, { value, at: now });
    });
  }

  /** Returns the average number of requests in prefill for a target. */
  get(target: string): number {
    return this.#averages.get(target)?.value ?? 0;
  }
}
