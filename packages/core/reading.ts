/**
 * How many requests wait for their prompt to be read, by target, on average
 * over the last moments. An engine reads prompts one after the other, so this
 * tells how busy engines are with prompts, whatever their speed and slots: an
 * engine that is half busy has less than one such request, one that is
 * overloaded has more and more of them.
 *
 * Load pattern: a burst of long prompts. The slots stay nearly empty while the
 * prompts queue up in the engines.
 */

/** Time over which the average forgets, in ms: between two words to other hosts. */
const AVERAGE_MS = 1_000;

interface Average {
  readonly value: number;
  readonly at: number;
}

/** Averages the requests with unread prompts. */
export class ReadingAverages {
  readonly #averages = new Map<string, Average>();

  /** Records how many there are by target; a target that is missing has none. */
  record(counts: ReadonlyMap<string, number>, now: number): void {
    const targets = new Set([...this.#averages.keys(), ...counts.keys()]);
    targets.forEach((target) => {
      const before = this.#averages.get(target) ?? { value: 0, at: now };
      const kept = Math.exp((before.at - now) / AVERAGE_MS);
      const count = counts.get(target) ?? 0;
      const value = count + kept * (before.value - count);
      this.#averages.set(target, { value, at: now });
    });
  }

  /** Requests with unread prompts for a target, on average. */
  get(target: string): number {
    return this.#averages.get(target)?.value ?? 0;
  }
}
