/**
 * Counts how often the pauses between the tokens of a stream become too long
 * while the stream's engine prefills a long prompt. Engines interleave prefill
 * with the decoding of their streams. How much this delays the streams depends
 * on an engine's prefill speed and chunk size, which are not documented, so
 * hosts measure it.
 */

/** Time after which the weight of a pause halves, in ms: enough for a few hundred pauses, and short compared with the time between changes of the engines. */
const HALF_LIFE_MS = 10_000;

/** Numbers of pauses during the prefill of a long prompt; the weight of a pause decays with its age. */
export interface TokenPauseCounts {
  /** All pauses. */
  readonly seen: number;
  /** Pauses longer than the tightest target of the service. */
  readonly long: number;
}

/** Counts without any pause. */
export const NO_TOKEN_PAUSES: TokenPauseCounts = { seen: 0, long: 0 };

/** Counts pauses, by target. */
export class TokenPauseCounter {
  readonly #counts = new Map<
    string,
    TokenPauseCounts & { readonly at: number }
  >();

  record(target: string, isLong: boolean, now: number): void {
    const { seen, long } = this.get(target, now);
    this.#counts.set(target, {
      seen: seen + 1,
      long: long + (isLong ? 1 : 0),
      at: now,
    });
  }

  get(target: string, now: number): TokenPauseCounts {
    const known = this.#counts.get(target);
    if (known === undefined) return NO_TOKEN_PAUSES;
    const weight = 2 ** ((known.at - now) / HALF_LIFE_MS);
    return { seen: weight * known.seen, long: weight * known.long };
  }
}
