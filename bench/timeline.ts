/** Virtual time: what happens when, in an order that is always the same. */
import * as tinyqueue from "tinyqueue";

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs what was scheduled, in order of time and then of scheduling. */
export class Timeline {
  readonly #queue = new tinyqueue.default<Timed>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  #now = 0;
  #order = 0;

  /** Virtual ms since the start. */
  get now(): number {
    return this.#now;
  }

  /** Schedules something, in ms from now. */
  after(ms: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.#now + ms, order: this.#order, run });
  }

  /** Runs everything up to a moment. */
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
