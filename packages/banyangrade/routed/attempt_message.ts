/** What one attempt sends, and how long it may keep silent. */
import type * as core from "@banyangrade/core";
import type * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import type * as routedExchange from "./routed_exchange.ts";
import type * as ports from "./ports.ts";

/** What an attempt is built from. */
export interface AttemptOptions {
  readonly exchange: routedExchange.ExchangeOptions;
  readonly wire: ports.WireFormat;
  readonly server: core.ServerInfo;
  /** An engine that may hold the beginning of the prompt. */
  readonly source?: core.ServerInfo;
  /** 1 for the first one. */
  readonly attempt: number;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  readonly now: number;
}

/** An attempt but for its connections. */
export type AttemptMessage = Omit<
  service.ForwardCall,
  "connections" | "signal"
>;

/**
 * Builds an attempt: the caller's own request with what is left of its time.
 *
 * @example
 * const message = buildAttempt({ exchange, wire, server, attempt: 1, lastEventId: -1, now });
 */
export function buildAttempt(options: AttemptOptions): AttemptMessage {
  const { exchange, wire, server, source, lastEventId, now } = options;
  const { incoming, head, request, route, body, endsAt } = exchange;
  return {
    requestId: head.requestId,
    method: incoming.method,
    path: incoming.path,
    headers: {
      ...utils.dropHopHeaders(incoming.headers, wire.reserved),
      ...wire.buildAttempt({
        deadlineMs: Math.max(1, Math.floor(endsAt - now)),
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
    readMarks: wire.readMarks,
    silence: computeSilence(options),
  };
}

/**
 * Silence after which an attempt that may be repeated is tried elsewhere, as a
 * multiple of the route's target. A server gone dark otherwise keeps a request
 * until its deadline.
 */
const SILENCE_FACTOR = 1.5;
/** Least silence before that, in ms: some turns of a busy server. */
const LEAST_SILENCE_MS = 250;
/** Silence between two events before that, as a multiple of the target pause. */
const PAUSE_FACTOR = 3;
/** Least silence between two events before that, in ms. */
const LEAST_PAUSE_MS = 1_500;

/** Computes how long an attempt may keep silent; only one that may be repeated is given up early. */
function computeSilence(
  { exchange, attempt, now }: AttemptOptions,
): service.SilenceLimits {
  const { route, request, endsAt } = exchange;
  const left = Math.max(1, endsAt - now);
  // Calls are short: one that hangs does so whatever its server does else.
  const sharesServer = route.kind === "stream";
  if (!request.repeatable || attempt >= route.maxAttempts) {
    return { headMs: left, betweenMs: left, sharesServer };
  }
  const silence = Math.max(LEAST_SILENCE_MS, SILENCE_FACTOR * route.targetMs);
  const pause = Math.max(LEAST_PAUSE_MS, PAUSE_FACTOR * route.betweenMs);
  return {
    headMs: Math.min(left, silence),
    betweenMs: Math.min(left, pause),
    sharesServer,
  };
}
