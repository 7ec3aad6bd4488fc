/**
 * Attempts that this host stopped before their answer was complete, mostly because
 * the caller left. The server may have begun the request and end under it after the
 * stop, so it counts as one that was in flight.
 */
import type * as attempts from "./attempts.ts";

/** Time after the stop of an attempt within which its server may end under it, in ms. */
const REMEMBER_MS = 1_500;
/** Largest number of stopped attempts that are remembered for a server. */
const MAX_PER_SERVER = 64;
/** Shortest time between two removals of old attempts, in ms. */
const FORGET_MS = 1_000;

interface Stopped {
  readonly attempt: attempts.Attempt;
  /** Monotonic ms. */
  readonly at: number;
}

/** The attempts that were stopped lately, by server. */
export class StoppedAttempts {
  readonly #stopped = new Map<string, Stopped[]>();
  #forgottenAt = Number.NEGATIVE_INFINITY;

  /** Adds an attempt that was stopped. */
  add(attempt: attempts.Attempt, now: number): void {
    const { server } = attempt;
    const recent = this.#listRecent(server, now).slice(1 - MAX_PER_SERVER);
    this.#stopped.set(server, [...recent, { attempt, at: now }]);
  }

  /** Records that a server answered a request that was sent at a time: it has survived what was stopped before. */
  recordAnswer(server: string, sentAt: number): void {
    const known = this.#stopped.get(server);
    if (known === undefined) return;
    this.#set(server, known.filter(({ at }) => at > sentAt));
  }

  /** Takes the attempts that were stopped at a server shortly before it was lost. */
  take(server: string, now: number): attempts.Attempt[] {
    const recent = this.#listRecent(server, now);
    this.#stopped.delete(server);
    return recent.map(({ attempt }) => attempt);
  }

  /** Forgets the attempts that were stopped long ago. */
  forget(now: number): void {
    if (now - this.#forgottenAt < FORGET_MS) return;
    this.#forgottenAt = now;
    [...this.#stopped.keys()].forEach((server) =>
      this.#set(server, this.#listRecent(server, now))
    );
  }

  #listRecent(server: string, now: number): Stopped[] {
    return this.#stopped.get(server)
      ?.filter(({ at }) => now - at <= REMEMBER_MS) ?? [];
  }

  #set(server: string, stopped: Stopped[]): void {
    if (stopped.length === 0) this.#stopped.delete(server);
    else this.#stopped.set(server, stopped);
  }
}
