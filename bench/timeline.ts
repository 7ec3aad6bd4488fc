/** Virtual time with a deterministic order of events. */
import * as tinyqueue from "tinyqueue";

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Runs scheduled callbacks by time; callbacks of the same time run in
 * scheduling order.
 */
export class Timeline {
  readonly #queue = new tinyqueue.default<Timed>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  #now = 0;
  #order = 0;

  /** Virtual time since the start, in ms. */
  get now(): number {
    return this.#now;
  }

  /** Schedules a callback that runs `ms` after the current virtual time. */
  after(ms: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.#now + ms, order: this.#order, run });
  }

  /** Runs all callbacks that are due at or before `end`. */
  runUntil(end: number): void {
    for (
      let next = this.#queue.pop();
      next !== undefined && next.at <= end;
      next = this.#queue.pop()
    ) {
      this.#now = next.at;
      next.run();
    }
  }
}
