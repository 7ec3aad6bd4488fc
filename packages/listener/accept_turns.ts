/**
 * Lets a process accept the connections that wait before it works on requests.
 * Node.js accepts one connection of a port in a turn of the event loop. If each turn
 * also works on requests, connections wait for about as many requests as there are
 * connections before them, and their clients give up before anything of them is read.
 */

/** Longest time for which no work is done while connections are accepted, in ms; less than a tenth of the second that clients allow a new connection. */
const MAX_DEFERRED_MS = 50;
/** Time after which work is no longer spread over turns, in ms; a quarter of that second. */
const OVERDUE_MS = 250;
/** Time after which work that is overdue leaves a turn to others, in ms. */
const SLICE_MS = 5;

/** Work; `waitedMs` is the time for which it was put off. */
type Work = (waitedMs: number) => void;

/** Work that was put off. */
interface DeferredWork {
  readonly run: Work;
  readonly since: number;
}

/** The turns of the event loop in which connections of one port are accepted. */
export class AcceptTurns {
  /** Whether this turn has accepted a connection, so that more may be waiting. */
  #isAccepting = false;
  /** Whether the turn before did; what it accepted is read in this one. */
  #wasAccepting = false;
  #isScheduled = false;
  #deferred: DeferredWork[] = [];

  /** Records that a connection was accepted in this turn. */
  recordAccepted(): void {
    this.#isAccepting = true;
    this.#schedule();
  }

  /** Runs work, after the connections that wait were accepted. */
  run(work: Work): void {
    const isQuiet = !this.#isAccepting && !this.#wasAccepting;
    if (isQuiet && this.#deferred.length === 0) return work(0);
    this.#deferred.push({ run: work, since: performance.now() });
    this.#schedule();
  }

  /** Calls {@link #endTurn} at the end of this turn, which also keeps the next one from waiting for events. */
  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#endTurn());
  }

  #endTurn(): void {
    this.#isScheduled = false;
    this.#wasAccepting = this.#isAccepting;
    this.#isAccepting = false;
    this.#runDeferred();
    if (this.#wasAccepting || this.#deferred.length > 0) this.#schedule();
  }

  /**
   * Runs what was put off, in the order in which it came: one piece of work a turn, so
   * that answers to the pieces before are read between them, and what has waited too
   * long for a short time.
   */
  #runDeferred(): void {
    const startedAt = performance.now();
    const [first] = this.#deferred;
    if (first === undefined) return;
    const firstMs = startedAt - first.since;
    if (this.#wasAccepting && firstMs < MAX_DEFERRED_MS) return;
    const isOverdue = ({ since }: DeferredWork) =>
      !this.#wasAccepting && startedAt - since >= OVERDUE_MS;
    do {
      const { run, since } = this.#deferred[0];
      this.#deferred.shift();
      run(performance.now() - since);
    } while (
      this.#deferred.length > 0 && isOverdue(this.#deferred[0]) &&
      performance.now() - startedAt < SLICE_MS
    );
  }
}
