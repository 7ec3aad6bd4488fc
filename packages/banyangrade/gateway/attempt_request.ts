/** Builds the request that an attempt sends to a backend server, with its timeouts. */
import type * as core from "@banyangrade/core";
import type * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import type * as requestExchange from "./request_exchange.ts";
import type * as platformInterface from "./platform_interface.ts";

/** Options of {@link buildAttemptRequest}. */
export interface AttemptOptions {
  readonly exchange: requestExchange.ExchangeOptions;
  readonly wire: platformInterface.WireFormat;
  readonly server: core.ServerInfo;
  /** An engine that may have the beginning of the prompt in its cache. */
  readonly source?: core.ServerInfo;
  /** Number of the attempt; 1 for the first. */
  readonly attempt: number;
  /** Identifier of the last event that the caller received; -1 before the first. */
  readonly lastEventId: number;
  readonly now: number;
}

/** The request of an attempt, without the connections and the abort signal. */
export type AttemptRequest = Omit<
  service.ForwardCall,
  "connections" | "signal" | "toleratesUnread"
>;

/**
 * Builds the request of an attempt: the caller's request with the time that
 * remains until its deadline.
 *
 * @example
 * const message = buildAttemptRequest({ exchange, wire, server, attempt: 1, lastEventId: -1, now });
 */
export function buildAttemptRequest(options: AttemptOptions): AttemptRequest {
  const { exchange, wire, server, source, lastEventId, now } = options;
  const { incoming, head, request, route, body, deadlineAt } = exchange;
  return {
    requestId: head.requestId,
    method: incoming.method,
    path: incoming.path,
    headers: {
      ...utils.removeHopByHopHeaders(incoming.headers, wire.reserved),
      ...wire.buildAttemptHeaders({
        deadlineMs: Math.max(1, Math.floor(deadlineAt - now)),
        customer: request.customer === "" ? undefined : request.customer,
        instance: server.instance ?? server.name,
        lastEventId,
        tier: request.kind === "generate" ? request.tier : undefined,
        promptSource: source && new URL(source.url).host,
      }),
    },
    body,
    stream: route.kind === "stream",
    lastEventId,
    readResponseMetadata: wire.readResponseMetadata,
    inactivityLimits: computeInactivityLimits(options),
  };
}

/** Timeouts of a repeatable attempt. */
export interface RepeatableTimeouts {
  /** Time to the response head after which it is retried, as a multiple of the route's target. */
  readonly headFactor: number;
  /** Lower bound of that time, in ms. */
  readonly minHeadMs: number;
  /** Time between two events after which it is retried, as a multiple of the route's target gap. */
  readonly gapFactor: number;
  /** Lower bound of that time, in ms. */
  readonly minGapMs: number;
}

/**
 * Timeouts of an attempt at a server: the head may take several batching steps of
 * a busy one. Without them an unresponsive server would hold a request until its
 * deadline.
 */
const SERVER_TIMEOUTS: RepeatableTimeouts = {
  headFactor: 1.5,
  minHeadMs: 250,
  gapFactor: 3,
  minGapMs: 1_500,
};

/** Computes the timeouts of an attempt; only one that may be repeated has shorter ones than the deadline. */
function computeInactivityLimits(
  { exchange, attempt, now }: AttemptOptions,
): service.InactivityLimits {
  const { route, request, deadlineAt } = exchange;
  // Calls are short, so the server's other work does not explain a call that hangs.
  const sharesServer = route.kind === "stream";
  const timeouts = request.repeatable && attempt < route.maxAttempts
    ? SERVER_TIMEOUTS
    : undefined;
  const remainingMs = Math.max(1, deadlineAt - now);
  return { ...computeTimeouts(route, { remainingMs, timeouts }), sharesServer };
}

/**
 * Computes the longest waits for the head of a response and between two parts of
 * it, in ms: the remaining time, or shorter with timeouts.
 *
 * @example
 * computeTimeouts(route, { remainingMs: 3_000, timeouts: undefined }).headMs; // 3_000
 */
export function computeTimeouts(
  { targetLatencyMs, targetGapMs }: Pick<
    core.Route,
    "targetLatencyMs" | "targetGapMs"
  >,
  { remainingMs, timeouts }: {
    readonly remainingMs: number;
    readonly timeouts: RepeatableTimeouts | undefined;
  },
): Pick<service.InactivityLimits, "headMs" | "betweenMs"> {
  if (timeouts === undefined) {
    return { headMs: remainingMs, betweenMs: remainingMs };
  }
  const { headFactor, minHeadMs, gapFactor, minGapMs } = timeouts;
  const headMs = Math.max(minHeadMs, headFactor * targetLatencyMs);
  const betweenMs = Math.max(minGapMs, gapFactor * targetGapMs);
  return {
    headMs: Math.min(remainingMs, headMs),
    betweenMs: Math.min(remainingMs, betweenMs),
  };
}
