/**
 * Tells whether the host is behind with reading a stream. Servers end responses
 * that are unread for some seconds, and such an end is not their failure. A busy
 * host takes up late what has arrived, so time alone doesn't show that the server
 * sent nothing: the event loop must have looked for its data as well.
 */

/** Time without reading from which an end of the connection is not the server's failure, in ms; servers end responses that are unread for some seconds. */
const UNREAD_MS = 1_000;
/** Shortest wait for the caller or the server that counts, in ms; others are the time that a few callbacks take. */
const MIN_WAIT_MS = 5;
/** Turns of the event loop in which data that has arrived is read; the first ones only resume the connection. */
const MIN_WAIT_TURNS = 4;
/** Time within which the end of a connection is noticed once the host reads again, in ms. */
const END_NOTICE_MS = 100;

/** How far the host is behind with reading one stream. */
export class UnreadWatch {
  /** Time for which the host waited for its caller since it last had read all that the server had sent, in ms. */
  #unreadMs = 0;
  /** When the host last began to wait for data of the server, monotonic ms. */
  #readAt = performance.now();
  /** Turns of the event loop since then, as far as they matter. */
  #turns = 0;
  #turn: NodeJS.Immediate | undefined;

  /**
   * Records that the host begins to wait for the server, after it has waited for
   * its caller for `callerMs`.
   */
  recordReading(callerMs: number): void {
    this.stop();
    this.#readAt = performance.now();
    this.#turns = 0;
    if (callerMs >= MIN_WAIT_MS) this.#unreadMs += callerMs;
    if (this.#unreadMs > 0) this.#watchTurn();
  }

  /** Records that data of the server arrived. */
  recordReceived(): void {
    const waitedMs = performance.now() - this.#readAt;
    const hasReadAll = waitedMs >= MIN_WAIT_MS && this.#hasLooked();
    if (hasReadAll) this.#unreadMs = 0;
    this.stop();
  }

  /** Whether the host itself had not read for so long that the server may have ended the response. */
  isEndUnread(): boolean {
    const waitedMs = performance.now() - this.#readAt;
    return this.#unreadMs >= UNREAD_MS &&
      (waitedMs < END_NOTICE_MS || !this.#hasLooked());
  }

  /** Ends the watch. */
  stop(): void {
    clearImmediate(this.#turn);
  }

  /** Whether data that had arrived when the wait began would have been read by now. */
  #hasLooked(): boolean {
    return this.#turns >= MIN_WAIT_TURNS;
  }

  #watchTurn(): void {
    this.#turn = setImmediate(() => {
      this.#turns += 1;
      if (!this.#hasLooked()) this.#watchTurn();
    });
  }
}
