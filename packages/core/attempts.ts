/** Attempts that are running at backend servers. */
import type * as request from "./request.ts";

/** One attempt of one request. */
export interface Attempt {
  readonly request: request.Request;
  /** 1 for the first one. */
  readonly attempt: number;
  /** Attempts before this one of which no byte left this host. */
  readonly unsent: number;
  readonly server: string;
  readonly pool: string;
  readonly startedAt: number;
  /** Tokens the caller had before this attempt. */
  readonly offset: number;
  /** Tokens of this attempt so far. */
  tokens: number;
  /** When its last tokens came; undefined before the first. */
  lastAt?: number;
  /** Tokens and moment at which the time between tokens was last measured. */
  measured: { readonly tokens: number; readonly at: number };
  /** The request was in flight before as a server was lost. */
  readonly suspect: boolean;
  /** Whether any attempt before this one may have run. */
  readonly ranBefore: request.Ran;
}

/** The current attempt of each running request. */
export class AttemptTable {
  readonly #attempts = new Map<string, Attempt>();

  get size(): number {
    return this.#attempts.size;
  }

  add(attempt: Attempt): void {
    this.#attempts.set(attempt.request.id, attempt);
  }

  get(requestId: string): Attempt | undefined {
    return this.#attempts.get(requestId);
  }

  /** Whether any attempt of a request with this fingerprint is running. */
  hasFingerprint(fingerprint: string): boolean {
    return this.list().some((one) => one.request.fingerprint === fingerprint);
  }

  list(): Attempt[] {
    return [...this.#attempts.values()];
  }

  /**
   * Records tokens of the current attempt; those of an earlier one are dropped.
   * Returns the attempt, whether they are its first, and the pause before them
   * in ms, where there was one.
   */
  recordProgress(
    event: { requestId: string; attempt: number; tokens: number },
    now: number,
  ):
    | {
      readonly current: Attempt;
      readonly first: boolean;
      readonly pauseMs: number | undefined;
    }
    | undefined {
    const current = this.#attempts.get(event.requestId);
    if (current === undefined || current.attempt !== event.attempt) {
      return undefined;
    }
    const first = current.tokens === 0 && event.tokens > 0;
    if (first) current.measured = { tokens: event.tokens, at: now };
    current.tokens = Math.max(current.tokens, event.tokens);
    const { lastAt } = current;
    current.lastAt = now;
    const pauseMs = lastAt === undefined ? undefined : now - lastAt;
    return { current, first, pauseMs };
  }

  /** Removes the attempt if it is the current one; a late end changes nothing. */
  remove(id: { requestId: string; attempt: number }): Attempt | undefined {
    const current = this.#attempts.get(id.requestId);
    if (current === undefined || current.attempt !== id.attempt) {
      return undefined;
    }
    this.#attempts.delete(id.requestId);
    return current;
  }
}

/**
 * Measures the time between tokens since the last measurement, in ms, and
 * begins the next one; undefined while there are fewer than `least` of them.
 *
 * @example
 * const tokenMs = measureTokenMs(attempt, { now, least: 8 });
 */
export function measureTokenMs(
  attempt: Attempt,
  { now, least }: { readonly now: number; readonly least: number },
): number | undefined {
  const tokens = attempt.tokens - attempt.measured.tokens;
  if (tokens < least) return undefined;
  const tokenMs = (now - attempt.measured.at) / tokens;
  attempt.measured = { tokens: attempt.tokens, at: now };
  return tokenMs;
}
