/** Code that generations and service calls share: timeouts, metrics, usage and refusals. */
import type * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as dispatch from "./dispatch_task.ts";
import type * as metrics from "./metrics.ts";
import type * as refusals from "./recent_refusals.ts";
import * as unexpectedErrors from "./unexpected_errors.ts";
import type * as usage from "./usage_task.ts";

/** Services of the host that an exchange uses. */
export interface ExchangeContext {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly dispatch: dispatch.DispatchTask;
  readonly metrics: metrics.Metrics;
  readonly refusals: refusals.RecentRefusals;
  readonly usage: usage.UsageTask;
}

/** Multiple of a latency target after which a silent attempt times out and is retried at another server. */
const TIMEOUT_TARGET_FACTOR = 4;
/** Shortest timeout of an attempt that can be retried, in ms. */
const MIN_TIMEOUT_MS = 3_000;
/** Timeout of an attempt that is not streamed or not idempotent, in ms. */
const RESPONSE_TIMEOUT_MS = 120_000;

/** Times for which an attempt may send no data, in ms. */
export interface ResponseTimeouts {
  readonly firstByteMs: number;
  readonly betweenMs: number;
}

/**
 * Returns the timeouts of an attempt. They are derived from the latency targets only
 * for idempotent requests with a streamed response: other requests may not be
 * retried, or send nothing before the response is complete, so that silence does not
 * show a failure.
 *
 * @example
 * getResponseTimeouts(part, { repeatable: true, stream: true }).firstByteMs;
 */
export function getResponseTimeouts(
  part: core.ClassPart,
  options: { readonly repeatable: boolean; readonly stream: boolean },
): ResponseTimeouts {
  if (!options.repeatable || !options.stream) {
    return { firstByteMs: RESPONSE_TIMEOUT_MS, betweenMs: RESPONSE_TIMEOUT_MS };
  }
  const toTimeout = (ms: number) =>
    Math.max(MIN_TIMEOUT_MS, TIMEOUT_TARGET_FACTOR * ms);
  return {
    firstByteMs: toTimeout(part.firstTokenMs),
    betweenMs: toTimeout(part.betweenTokensMs),
  };
}

/** Records the metrics and the usage of one request. */
export class ExchangeRecord {
  readonly #context: ExchangeContext;
  readonly #request: core.Request;
  readonly #part: core.ClassPart;
  /** Start of the first attempt, monotonic ms; 0 before it. */
  #startedAt = 0;
  /** Time of the first token, monotonic ms; 0 before it. */
  #firstAt = 0;
  /** Tokens that were sent to the caller. */
  #tokens = 0;
  /** Tokens that are not billed because the response is incomplete. */
  #wasted = 0;

  constructor(
    context: ExchangeContext,
    { request, part }: {
      readonly request: core.Request;
      readonly part: core.ClassPart;
    },
  ) {
    this.#context = context;
    this.#request = request;
    this.#part = part;
  }

  recordStart(): void {
    if (this.#startedAt === 0) this.#startedAt = this.#context.clock.now();
  }

  /** Whether an attempt was started, so that the request may have run. */
  hasStarted(): boolean {
    return this.#startedAt > 0;
  }

  /** Records tokens that were sent to the caller. */
  recordTokens(tokens: number): void {
    if (this.#firstAt === 0) this.#firstAt = this.#context.clock.now();
    this.#tokens += tokens;
  }

  getTokens(): number {
    return this.#tokens;
  }

  /** Records a complete response and bills it. */
  finish(outputTokens: number): void {
    const now = this.#context.clock.now();
    if (this.#firstAt === 0) this.#firstAt = now;
    const getTimeSinceArrival = (at: number) => at - this.#request.arrivedAt;
    const firstTokenMs = getTimeSinceArrival(this.#firstAt);
    const betweenTokensMs = this.#tokens > 1
      ? (now - this.#firstAt) / (this.#tokens - 1)
      : 0;
    this.#context.metrics.recordFinished({
      className: this.#request.className,
      customer: this.#request.customer,
      queueMs: getTimeSinceArrival(this.#startedAt || now),
      firstTokenMs,
      totalMs: getTimeSinceArrival(now),
      betweenTokensMs,
      withinTarget: firstTokenMs <= this.#part.firstTokenMs &&
        betweenTokensMs <= this.#part.betweenTokensMs,
    });
    this.#context.metrics.recordTokens("billed", outputTokens);
    this.#recordUsage({ requests: 1, outputTokens });
  }

  /** Records that the request ended without a complete response; its tokens count as wasted and are not billed. */
  abandon(): void {
    this.#wasted += this.#tokens;
    this.#context.metrics.recordTokens("wasted", this.#wasted);
    if (this.#wasted > 0) this.#recordUsage({ requests: 0, outputTokens: 0 });
  }

  #recordUsage(
    { requests, outputTokens }: { requests: number; outputTokens: number },
  ): void {
    const { customer, className, target, promptTokens } = this.#request;
    this.#context.usage.record({
      key: `${customer}|${className}|${target}`,
      figures: {
        requests,
        promptTokens: requests * promptTokens,
        outputTokens,
        wastedTokens: this.#wasted,
      },
    });
  }
}

/**
 * Sends a caller a refusal and records it in the log, the metrics and the recent refusals.
 *
 * @example
 * refuseCaller(context, { answer, refusal, requestId });
 */
export function refuseCaller(
  context: Pick<ExchangeContext, "log" | "metrics" | "refusals">,
  { answer, refusal, requestId }: {
    readonly answer: caller.CallerResponse;
    readonly refusal: core.Refusal;
    readonly requestId: string;
  },
): void {
  context.metrics.recordRefusal(refusal);
  context.refusals.add(requestId, refusal);
  context.log.info({ requestId, ...refusal }, "Request refused.");
  answer.refuse(refusal);
}

/**
 * Reports what the handling of a request threw, gives back what it held at the
 * dispatcher, and returns the refusal for its caller.
 *
 * @example
 * const refusal = failRequest(context, { requestId, thrown, ran: "unknown" });
 */
export function failRequest(
  context: Pick<ExchangeContext, "dispatch" | "log" | "metrics">,
  { requestId, thrown, ran }: {
    readonly requestId: string;
    readonly thrown: unknown;
    readonly ran: core.Ran;
  },
): core.Refusal {
  const step = "exchange.attempt";
  unexpectedErrors.reportUnexpected(context, { step, thrown, requestId });
  context.dispatch.close(requestId);
  context.dispatch.send({ kind: "cancelled", requestId });
  return core.buildRefusal({ code: "internal_error", ran, step });
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Reports a complete response to the dispatcher and closes the request.
 *
 * @example
 * finishRequest(context, { effect, tokens });
 */
export function finishRequest(
  context: Pick<ExchangeContext, "dispatch">,
  { effect, tokens }: { readonly effect: StartEffect; readonly tokens: number },
): void {
  const { request, attempt } = effect;
  const requestId = request.id;
  context.dispatch.send({ kind: "finished", requestId, attempt, tokens });
  context.dispatch.close(requestId);
}

/**
 * Records a failed attempt and reports it to the dispatcher, which retries or refuses
 * the request.
 *
 * @example
 * reportFailure(context, { effect, failure, answerStarted, resumable });
 */
export function reportFailure(
  context: Pick<ExchangeContext, "dispatch" | "log" | "metrics">,
  { effect, ...failed }: {
    readonly effect: StartEffect;
    readonly failure: core.AttemptFailure;
    readonly answerStarted: boolean;
    readonly resumable: boolean;
  },
): void {
  const { request, attempt, server } = effect;
  const requestId = request.id;
  context.metrics.recordAttemptFailure(failed.failure);
  context.log.warn(
    { requestId, attempt, server: server.name, failure: failed.failure },
    "Attempt failed.",
  );
  context.dispatch.send({ kind: "failed", requestId, attempt, ...failed });
}
