/**
 * How often the pauses of streams grow too long while their engine reads long
 * prompts, as hosts see it. Engines put prompts in between the tokens of their
 * streams; how much that holds the streams up depends on how fast they read
 * and in which pieces, which no page says.
 */

/** Time after which a pause counts half, in ms: long enough for some hundred pauses, short against a change of the engines. */
const HALF_LIFE_MS = 10_000;

/** Pauses while a long prompt was read, old ones counted less. */
export interface PauseCounts {
  readonly seen: number;
  /** Those of them that were longer than the tightest target of the service. */
  readonly long: number;
}

/** No pauses. */
export const NO_PAUSES: PauseCounts = { seen: 0, long: 0 };

/** Counts pauses by target. */
export class PauseCounter {
  readonly #counts = new Map<string, PauseCounts & { readonly at: number }>();

  record(target: string, isLong: boolean, now: number): void {
    const { seen, long } = this.get(target, now);
    this.#counts.set(target, {
      seen: seen + 1,
      long: long + (isLong ? 1 : 0),
      at: now,
    });
  }

  get(target: string, now: number): PauseCounts {
    const known = this.#counts.get(target);
    if (known === undefined) return NO_PAUSES;
    const weight = 2 ** ((known.at - now) / HALF_LIFE_MS);
    return { seen: weight * known.seen, long: weight * known.long };
  }
}
