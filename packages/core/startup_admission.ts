/**
 * Decides whether a request that arrives before a host has its first state from
 * the store waits for that state or is refused at once.
 */

import * as bodyWait from "./body_wait.ts";

/** Largest number of requests that wait. */
const MAX_WAITING = 256;
/** Largest total of the headers of waiting requests, in bytes. */
const MAX_WAITING_BYTES = 4 * 1024 * 1024;
/** Time after the start from which no request waits, in ms; a store that is away for so long is unlikely to answer within a wait. */
const STARTUP_MS = 5_000;

/** A request that arrives before the first state. */
export interface StartupRequest {
  /** Time for which the caller waits, in ms; undefined if not given. */
  readonly deadlineMs: number | undefined;
  readonly headerBytes: number;
  /** Requests that wait already, and the bytes of their headers. */
  readonly waiting: number;
  readonly waitingBytes: number;
}

/** Bounds the waits for the first state of a host. */
export class StartupAdmission {
  readonly #startedAt: number;

  constructor({ startedAt }: { readonly startedAt: number }) {
    this.#startedAt = startedAt;
  }

  /** Returns the time for which a request may wait for the first state, in ms; 0 to refuse it now. */
  getWaitMs(request: StartupRequest, now: number): number {
    const isFull = request.waiting >= MAX_WAITING ||
      request.waitingBytes + request.headerBytes > MAX_WAITING_BYTES;
    if (isFull) return 0;
    return Math.max(
      0,
      Math.min(
        bodyWait.computeMaxBodyWait(request.deadlineMs),
        this.#startedAt + STARTUP_MS - now,
      ),
    );
  }
}
