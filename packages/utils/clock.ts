/** Clocks as values, so that decisions and tests can run on virtual time. */
import * as timers from "node:timers/promises";

/** A source of time. Both readings are in milliseconds. */
export interface Clock {
  /** Monotonic time: never steps back, keeps counting while the process is stopped. */
  readonly now: () => number;
  /** Wall-clock time since the Unix epoch; may step. Only for what people and peers read. */
  readonly wall: () => number;
}

/** The machine's clocks. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Number(process.hrtime.bigint() / 1000n) / 1000,
  wall: () => Date.now(),
};

/** A clock that moves only when told to. */
export interface VirtualClock extends Clock {
  /** Moves time forward by `ms` milliseconds. */
  readonly advance: (ms: number) => void;
}

/**
 * Makes a clock that starts at zero.
 *
 * @example
 * const clock = createVirtualClock();
 * clock.advance(5);
 * clock.now(); // 5
 */
export function createVirtualClock(): VirtualClock {
  let at = 0;
  return {
    now: () => at,
    wall: () => at,
    advance: (ms) => {
      at += ms;
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
 * Waits until the event loop has read from its sockets once more.
 *
 * @example
 * await waitForReads();
 */
export async function waitForReads(): Promise<void> {
  // The first of these comes before the sockets' turn, the second behind it.
  await timers.setImmediate();
  await timers.setImmediate();
}
