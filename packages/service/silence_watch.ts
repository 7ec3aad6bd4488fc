/**
 * Ends an attempt whose server has gone dark. Under a burst a server that lives
 * may keep one stream waiting for long; to give up on it and send the prompt
 * elsewhere doubles the load that keeps it waiting. So a silence counts only
 * while the server is silent on its other connections too, up to a limit for a
 * connection that alone has gone silent.
 */
import type * as connections from "./connections.ts";

/** How long an attempt may keep silent. Times in ms. */
export interface SilenceLimits {
  /** Until the answer's head. */
  readonly headMs: number;
  /** Between two parts of the answer. */
  readonly betweenMs: number;
  /** Whether what the server sends to others shows that this one only waits. */
  readonly sharesServer: boolean;
}

/** A running watch. */
export interface SilenceWatch {
  /** Aborted when the attempt ends, by its caller or by the watch. */
  readonly signal: AbortSignal;
  /** Records that the attempt's own connection brought something. */
  readonly recordHeard: () => void;
  readonly stop: () => void;
}

/** Multiple of the limit at which the attempt ends although the server lives. */
const HARD_FACTOR = 2.5;
/** Part of the limit between two looks. */
const LOOK_SHARE = 0.25;
/** Shortest time between two looks, in ms. */
const LEAST_LOOK_MS = 20;
/** Largest delay of a timer, in ms. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Starts watching an attempt.
 *
 * @example
 * const watch = watchSilence({ connections, silence, signal });
 */
export function watchSilence(
  { connections: server, silence, signal }: {
    readonly connections: connections.ServerConnections;
    readonly silence: SilenceLimits;
    readonly signal: AbortSignal;
  },
): SilenceWatch {
  const own = new AbortController();
  let heardAt = performance.now();
  let limitMs = silence.headMs;
  let timer: NodeJS.Timeout;

  function wait(ms: number): void {
    timer = setTimeout(checkSilence, Math.min(MAX_DELAY_MS, ms));
  }

  function checkSilence(): void {
    const silentMs = performance.now() - heardAt;
    if (silentMs < limitMs) return wait(limitMs - silentMs);
    const lives = silence.sharesServer && server.getSilence() < limitMs;
    if (lives && silentMs < HARD_FACTOR * limitMs) {
      return wait(Math.max(LEAST_LOOK_MS, LOOK_SHARE * limitMs));
    }
    own.abort();
  }

  wait(limitMs);
  return {
    signal: AbortSignal.any([signal, own.signal]),
    recordHeard: () => {
      heardAt = performance.now();
      limitMs = silence.betweenMs;
      server.recordHeard();
    },
    stop: () => clearTimeout(timer),
  };
}
