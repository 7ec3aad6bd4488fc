/**
 * A timer for answers of other processes. A process that gets no processor time
 * finds its timers expired and the answers unread at the same moment, and Node.js
 * runs the timers first; so its own delay does not count as the other's silence.
 */
import type * as clock from "./clock.ts";

/** Part of the limit after which the timer looks at the time that has passed. */
const STEP_SHARE = 0.25;
/** Delay of a step beyond which this process was late, in ms. */
const LATE_MS = 50;

/** Options of {@link startPatientTimer}. */
export interface PatientTimerOptions {
  readonly clock: Pick<clock.Clock, "now">;
  /** Time for which nothing is expected, in ms. @default 0 */
  readonly quietMs?: number;
  /** Returns how long is waited after that, in ms; read again in each step. */
  readonly getLimitMs: () => number;
  /** Called once, after the sockets have been read. */
  readonly onEnd: () => void;
}

/**
 * Starts a timer; returns a function that stops it.
 *
 * @example
 * const stop = startPatientTimer({ clock, getLimitMs: () => 1_000, onEnd: giveUp });
 */
export function startPatientTimer(options: PatientTimerOptions): () => void {
  const { clock, quietMs = 0, getLimitMs, onEnd } = options;
  let stopped = false;
  let waitedMs = 0;
  let timer = setTimeout(startStep, quietMs);

  function startStep(): void {
    const remainingMs = getLimitMs() - waitedMs;
    if (remainingMs <= 0) return void setImmediate(end);
    const stepMs = Math.min(remainingMs, STEP_SHARE * getLimitMs());
    const startedAt = clock.now();
    timer = setTimeout(() => {
      waitedMs += Math.min(clock.now() - startedAt, stepMs + LATE_MS);
      startStep();
    }, stepMs);
  }

  function end(): void {
    if (!stopped) onEnd();
  }

  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
