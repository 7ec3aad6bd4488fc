/** Clock interface, so that decisions and tests can run on virtual time. */
import * as timers from "node:timers/promises";

/** Longest delay that a timer of Node.js holds, in ms; a longer one ends at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** A clock. All times are in milliseconds. */
export interface Clock {
  /** Monotonic time: never goes back and keeps running while the process is stopped. */
  readonly now: () => number;
  /** Wall-clock time since the Unix epoch, which may be adjusted. Only for output to people and peers. */
  readonly wall: () => number;
}

/** Clock of the operating system. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n) / 1000,
  wall: () => Date.now(),
};

/** A clock that changes only by explicit calls. */
export interface VirtualClock extends Clock {
  /** Moves time forward by `ms` milliseconds. */
  readonly advance: (ms: number) => void;
}

/**
 * Creates a virtual clock that starts at zero.
 *
 * @example
 * const clock = createVirtualClock();
 * clock.advance(5);
 * clock.now(); // 5
 */
export function createVirtualClock(): VirtualClock {
  let time = 0;
  return {
    now: () => time,
    wall: () => time,
    advance: (ms) => {
      time += ms;
    },
  };
}

/**
 * Waits for `ms` milliseconds of real time.
 *
 * @example
 * await waitFor(50);
 */
export function waitFor(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Waits until the event loop has polled its sockets once.
 *
 * @example
 * await waitForSocketPoll();
 */
export async function waitForSocketPoll(): Promise<void> {
  // The first callback may run before the poll phase of the event loop, the second runs after it.
  await timers.setImmediate();
  await timers.setImmediate();
}
