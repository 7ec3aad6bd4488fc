/**
 * Aborts an attempt whose server has stopped sending data. During a load spike a
 * healthy server may delay a single stream for a long time, and a retry on
 * another server would add to the load that causes the delay. The inactivity
 * limit therefore applies only while the server sends nothing on its other
 * connections either. A higher limit applies to a single inactive connection of
 * an active server.
 */
import type * as connections from "./connections.ts";

/** Inactivity limits of an attempt. Times in ms. */
export interface InactivityLimits {
  /** Longest wait for the response headers. */
  readonly headMs: number;
  /** Longest wait between two chunks of the response body. */
  readonly betweenMs: number;
  /** Whether data on other connections of the server extends the limit. */
  readonly sharesServer: boolean;
}

/** Inactivity watch of one attempt. */
export interface InactivityWatch {
  /** Aborted by the caller's signal or by the inactivity limit. */
  readonly signal: AbortSignal;
  /** Records that data arrived for the attempt. */
  readonly recordReceived: () => void;
  /** Suspends the limit while the host itself does not read the response. */
  readonly setUnread: (unread: boolean) => void;
  readonly stop: () => void;
}

/** Multiple of the limit after which the attempt is aborted even if the server is active on other connections. */
const CONNECTION_LIMIT_FACTOR = 2.5;
/** Interval between two checks, as a fraction of the limit. */
const CHECK_INTERVAL_FRACTION = 0.25;
/** Shortest interval between two checks, in ms. */
const MIN_CHECK_INTERVAL_MS = 20;
/** Delay of a check beyond which this process was late, in ms; data may have arrived and not been read. */
const LATE_MS = 50;
/** Largest delay that `setTimeout` accepts, in ms. */
const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/**
 * Starts the inactivity watch of an attempt.
 *
 * @example
 * const watch = watchInactivity({ connections, inactivityLimits, signal });
 */
export function watchInactivity(
  { connections: server, inactivityLimits, signal }: {
    readonly connections: connections.ServerConnections;
    readonly inactivityLimits: InactivityLimits;
    readonly signal: AbortSignal;
  },
): InactivityWatch {
  const timeoutController = new AbortController();
  let lastReceivedAt = performance.now();
  let limitMs = inactivityLimits.headMs;
  let isUnread = false;
  let isStopped = false;
  let timer: NodeJS.Timeout;
  let dueAt = 0;

  function scheduleCheck(ms: number): void {
    const delayMs = Math.min(MAX_TIMER_DELAY_MS, ms);
    dueAt = performance.now() + delayMs;
    timer = setTimeout(checkInactivity, delayMs);
  }

  /** Whether this process has been late for a part of the wait, which counts neither as its server's silence nor without a bound. */
  function mayWaitForLateness(inactiveMs: number): boolean {
    return performance.now() - dueAt > LATE_MS &&
      inactiveMs < CONNECTION_LIMIT_FACTOR * limitMs;
  }

  function checkInactivity(): void {
    if (isUnread) return scheduleCheck(limitMs);
    const inactiveMs = performance.now() - lastReceivedAt;
    if (inactiveMs < limitMs) return scheduleCheck(limitMs - inactiveMs);
    const serverActive = inactivityLimits.sharesServer &&
      server.getInactiveMs() < limitMs;
    if (serverActive && inactiveMs < CONNECTION_LIMIT_FACTOR * limitMs) {
      return scheduleCheck(
        Math.max(MIN_CHECK_INTERVAL_MS, CHECK_INTERVAL_FRACTION * limitMs),
      );
    }
    if (mayWaitForLateness(inactiveMs)) {
      return scheduleCheck(
        Math.max(MIN_CHECK_INTERVAL_MS, CHECK_INTERVAL_FRACTION * limitMs),
      );
    }
    const seenAt = lastReceivedAt;
    // What lies in the sockets is read before the attempt is given up.
    setImmediate(() => {
      if (isStopped) return;
      if (lastReceivedAt === seenAt) return timeoutController.abort();
      scheduleCheck(limitMs);
    });
  }

  scheduleCheck(limitMs);
  return {
    signal: AbortSignal.any([signal, timeoutController.signal]),
    recordReceived: () => {
      lastReceivedAt = performance.now();
      limitMs = inactivityLimits.betweenMs;
      server.recordReceived();
    },
    setUnread: (unread) => {
      if (isUnread && !unread) lastReceivedAt = performance.now();
      isUnread = unread;
    },
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
