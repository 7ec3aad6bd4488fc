/** Table of the attempts that are running at backend servers. */
import type * as request from "./request.ts";

/** One attempt of one request. */
export interface Attempt {
  readonly request: request.Request;
  /** Number of the attempt; 1 for the first. */
  readonly attempt: number;
  /** Earlier attempts of the request of which no byte was sent. */
  readonly unsentAttempts: number;
  readonly server: string;
  /** Software version of its server; empty if the server names none. */
  readonly software: string;
  readonly pool: string;
  readonly startedAt: number;
  /** Tokens that the caller already had when this attempt started. */
  readonly offset: number;
  /** Tokens of this attempt so far. */
  tokens: number;
  /** When its last tokens arrived, monotonic ms; undefined before the first. */
  lastTokensAt?: number;
  /** Whether no data is read from its server, because its caller does not read the response. */
  blocked?: boolean;
  /** When its caller last began to read again, monotonic ms; undefined if it never stopped. */
  unblockedAt?: number;
  /** Token count and time at the start of the current sample of the time between tokens. */
  sampleStart: { readonly tokens: number; readonly at: number };
  /** Whether a server was lost while it ran a request with the same fingerprint. */
  readonly suspect: boolean;
  /** Whether its server was ejected when it started. */
  readonly toEjected: boolean;
  /** Whether an earlier attempt of the request may have run. */
  readonly ranBefore: request.Ran;
}

/**
 * Returns the request for its next attempt: once its answer has begun, only the
 * software version that began it may go on.
 *
 * @example
 * setSoftware(attempt).software; // "v1.1"
 */
export function setSoftware(attempt: Attempt): request.Request {
  const { request, offset, tokens, software } = attempt;
  const isBound = offset + tokens === 0 || request.software !== undefined;
  return isBound ? request : { ...request, software };
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

  /** Whether an attempt of a request with this fingerprint is running. */
  hasFingerprint(fingerprint: string): boolean {
    return this.list().some((attempt) =>
      attempt.request.fingerprint === fingerprint
    );
  }

  list(): Attempt[] {
    return [...this.#attempts.values()];
  }

  /**
   * Records the token count of the current attempt, and ignores that of an earlier
   * attempt. Returns the attempt, whether the tokens are its first, and the pause
   * since its previous tokens, in ms.
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
    if (first) current.sampleStart = { tokens: event.tokens, at: now };
    current.tokens = Math.max(current.tokens, event.tokens);
    const { lastTokensAt } = current;
    current.lastTokensAt = now;
    const pauseMs = lastTokensAt === undefined ? undefined : now - lastTokensAt;
    return { current, first, pauseMs };
  }

  /**
   * Records whether the caller of the current attempt reads the response. The wait
   * for the server's next data starts when the caller reads again.
   */
  recordBlocked(
    event: { requestId: string; attempt: number; blocked: boolean },
    now: number,
  ): void {
    const current = this.#attempts.get(event.requestId);
    if (current === undefined || current.attempt !== event.attempt) return;
    current.blocked = event.blocked;
    if (!event.blocked) current.unblockedAt = now;
  }

  /** Removes and returns the attempt if it is the current one; the end of a replaced attempt changes nothing. */
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
 * Returns the mean time between tokens in the current sample, in ms, and starts
 * the next sample; undefined while the sample has fewer than `minTokens` tokens.
 *
 * @example
 * const tokenMs = measureInterTokenMs(attempt, { now, minTokens: 8 });
 */
export function measureInterTokenMs(
  attempt: Attempt,
  { now, minTokens }: { readonly now: number; readonly minTokens: number },
): number | undefined {
  const tokens = attempt.tokens - attempt.sampleStart.tokens;
  if (tokens < minTokens) return undefined;
  const tokenMs = (now - attempt.sampleStart.at) / tokens;
  attempt.sampleStart = { tokens: attempt.tokens, at: now };
  return tokenMs;
}
