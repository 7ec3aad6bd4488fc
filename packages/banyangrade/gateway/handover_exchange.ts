/** Runs one request at other hosts, over all hosts that are tried. */
import * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import * as attemptRequest from "./attempt_request.ts";
import type * as exchangeTelemetry from "./exchange_telemetry.ts";
import * as handoverProtocol from "./handover_protocol.ts";
import type * as handoverTask from "./handover_task.ts";
import type * as platformInterface from "./platform_interface.ts";
import type * as requestExchange from "./request_exchange.ts";

/** Services of the host that a handover uses. */
export interface HandoverContext {
  readonly clock: utils.Clock;
  readonly wire: platformInterface.WireFormat;
  readonly heldBytes: requestExchange.ExchangeContext["heldBytes"];
  readonly handover: handoverTask.HandoverTask;
  readonly budget: core.RetryBudget;
}

/** A request that is handed over, with the state of its exchange. */
export interface HandedRequest {
  readonly exchange: requestExchange.ExchangeOptions;
  readonly effect: Extract<core.DispatchEffect, { kind: "hand_over" }>;
  readonly telemetry: exchangeTelemetry.ExchangeTelemetry;
  readonly getLastEventId: () => number;
  readonly signal: AbortSignal;
  readonly onEvents: service.ForwardSink["onEvents"];
}

/** Result of a handover. */
export type HandoverResult =
  /** The response of the server, or the refusal of a host after which the request may have run. */
  | { readonly kind: "answered"; readonly answer: service.ForwardedResponse }
  | {
    readonly kind: "streamed";
    readonly head: Omit<service.ForwardedResponse, "body">;
  }
  /** No host took the request, and nothing ran. */
  | {
    readonly kind: "declined";
    /** Time after which a host that is full wants a retry, in ms; undefined if none is full. */
    readonly waitMs: number | undefined;
  }
  /** The link to the host broke, so the request may have run. */
  | { readonly kind: "lost"; readonly peer: string }
  | { readonly kind: "aborted" };

/** Timeouts of a repeatable request at another host, which tries a second server before they end. */
const HOST_TIMEOUTS: attemptRequest.RepeatableTimeouts = {
  headFactor: 3,
  minHeadMs: 1_000,
  gapFactor: 6,
  minGapMs: 4_000,
};

/**
 * Sends a request to other hosts, one after another, until one takes it. The
 * promise never rejects.
 *
 * @example
 * const result = await runHandover(context, request);
 */
export async function runHandover(
  context: HandoverContext,
  request: HandedRequest,
): Promise<HandoverResult> {
  const end = context.handover.open();
  try {
    return await tryPeers(context, request);
  } finally {
    end();
  }
}

async function tryPeers(
  context: HandoverContext,
  request: HandedRequest,
): Promise<HandoverResult> {
  const { peers, sent } = request.effect;
  let result: HandoverResult = { kind: "declined", waitMs: undefined };
  let sentNow = sent;
  for (const peer of peers) {
    if (request.signal.aborted) return { kind: "aborted" };
    const next = await sendToPeer(context, { ...request, peer, sent: sentNow });
    switch (next.kind) {
      case "answered":
      case "streamed":
      case "aborted":
        return next;
      case "declined":
        // What an earlier host may have run stays in doubt.
        if (result.kind === "declined") {
          result = { ...next, waitMs: next.waitMs ?? result.waitMs };
        }
        break;
      case "lost":
        result = next;
        sentNow += 1;
        if (!mayRepeat(context, { request, sent: sentNow })) return next;
        break;
    }
  }
  return result;
}

/** Whether a request that may have run at one host may be sent to another; takes one retry from the budget. */
function mayRepeat(
  { budget, clock }: HandoverContext,
  { request: { exchange, telemetry }, sent }: {
    readonly request: HandedRequest;
    readonly sent: number;
  },
): boolean {
  const { request, route } = exchange;
  const resumable = route.kind === "stream" && route.resumable;
  const decision = core.decideRetry({
    failure: "connection_lost",
    sent,
    maxAttempts: request.maxAttempts,
    repeatable: request.repeatable,
    answerStarted: telemetry.getEvents() > 0,
    resumable,
  }, () => budget.take(request, clock.now()));
  return decision.kind === "retry";
}

async function sendToPeer(
  context: HandoverContext,
  request: HandedRequest & { readonly peer: string; readonly sent: number },
): Promise<HandoverResult> {
  const { handover, heldBytes } = context;
  const { peer, telemetry, exchange } = request;
  const reached = handover.find(peer);
  if (reached === undefined) return { kind: "declined", waitMs: undefined };
  telemetry.recordHandover(peer, request.effect.cause);
  const account = heldBytes.openAccount(exchange.incoming.holder, {
    kind: "response",
  });
  let waitMs: number | undefined;
  const outcome = await service.forwardRequest(
    buildCall(context, { ...request, reached }),
    {
      onHeld: (bytes) => {
        account.add(bytes);
        return heldBytes.mayHoldMore(account);
      },
      onMetadata: ({ signals }) => {
        waitMs = core.findRest(signals);
      },
      onEvents: request.onEvents,
    },
  );
  account.close();
  const result = resolveOutcome(outcome, { peer, waitMs });
  const hasFailed = result.kind === "declined" || result.kind === "lost";
  if (hasFailed && waitMs === undefined) handover.recordFailed(peer);
  if (hasFailed) {
    const reason = outcome.kind === "failed" ? outcome.reason : outcome.kind;
    telemetry.recordHandoverFailure(peer, { outcome: result.kind, reason });
  }
  return result;
}

function buildCall(
  { wire, clock }: HandoverContext,
  { exchange, effect, reached, sent, signal, getLastEventId }: HandedRequest & {
    readonly reached: handoverTask.ReachedHost;
    readonly sent: number;
  },
): service.ForwardCall {
  const { incoming, head, request, route, body, deadlineAt } = exchange;
  const now = clock.now();
  const lastEventId = getLastEventId();
  const elapsedMs = now - request.arrivedAt;
  return {
    connections: reached.connections,
    requestId: head.requestId,
    method: incoming.method,
    path: incoming.path,
    headers: {
      ...wire.buildHandoverHeaders(incoming.headers, { lastEventId }),
      ...handoverProtocol.buildRequestHeaders(
        { elapsedMs, sent, software: effect.request.software },
        reached.contact,
      ),
    },
    body,
    stream: route.kind === "stream",
    lastEventId,
    inactivityLimits: {
      ...attemptRequest.computeTimeouts(route, {
        remainingMs: Math.max(1, deadlineAt - now),
        timeouts: request.repeatable ? HOST_TIMEOUTS : undefined,
      }),
      sharesServer: false,
    },
    readResponseMetadata: (status, headers) => {
      const metadata = wire.readResponseMetadata(status, headers);
      const ran = handoverProtocol.readRan(headers);
      // The other host's HTTP server rejects what it cannot read, or a wrong secret.
      const isRejected = ran === undefined && !metadata.genuine &&
        status >= 400 && status < 500;
      const notRun = metadata.notRun || ran === "no" || isRejected;
      // What a host refuses itself bears no identifier; hosts send no second responses.
      const { requestId = head.requestId } = metadata;
      return { ...metadata, requestId, notRun };
    },
    signal,
    toleratesUnread: true,
  };
}

function resolveOutcome(
  outcome: service.ForwardOutcome,
  { peer, waitMs }: {
    readonly peer: string;
    readonly waitMs: number | undefined;
  },
): HandoverResult {
  switch (outcome.kind) {
    case "whole":
      return { kind: "answered", answer: clearHeaders(outcome.answer) };
    case "streamed":
      return { kind: "streamed", head: outcome.head };
    case "aborted":
      return { kind: "aborted" };
    case "failed":
      if (outcome.answer !== undefined) {
        return { kind: "answered", answer: clearHeaders(outcome.answer) };
      }
      return core.resolveRan(outcome.failure) === "no"
        ? { kind: "declined", waitMs }
        : { kind: "lost", peer };
  }
}

function clearHeaders(
  answer: service.ForwardedResponse,
): service.ForwardedResponse {
  return { ...answer, headers: handoverProtocol.removeHeaders(answer.headers) };
}
