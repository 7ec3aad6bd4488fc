/** What exchanges of both kinds have in common: measuring, usage and refusal. */
import type * as caller from "@banyangrade/caller";
import type * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as dispatch from "./dispatch_task.ts";
import type * as metrics from "./metrics.ts";
import type * as refusals from "./recent_refusals.ts";
import type * as usage from "./usage_task.ts";

/** What an exchange needs of its host. */
export interface ExchangeContext {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly dispatch: dispatch.DispatchTask;
  readonly metrics: metrics.Metrics;
  readonly refusals: refusals.RecentRefusals;
  readonly usage: usage.UsageTask;
}

/** Targets missed by so much mean that an attempt hangs and is tried elsewhere. */
const HANG_FACTOR = 4;
/** Least time before an attempt counts as hanging, in ms. */
const MIN_HANG_MS = 3_000;
/** Wait for an answer that cannot be sooner, or that may not be repeated, in ms. */
const PATIENT_MS = 120_000;

/** How long an attempt may keep silent, in ms. */
export interface Patience {
  readonly firstByteMs: number;
  readonly betweenMs: number;
}

/**
 * Returns how long an attempt may keep silent. Trying again early helps only
 * what may be repeated and shows signs of life before it is whole.
 *
 * @example
 * getPatience(part, { repeatable: true, stream: true }).firstByteMs;
 */
export function getPatience(
  part: core.ClassPart,
  options: { readonly repeatable: boolean; readonly stream: boolean },
): Patience {
  if (!options.repeatable || !options.stream) {
    return { firstByteMs: PATIENT_MS, betweenMs: PATIENT_MS };
  }
  const hang = (ms: number) => Math.max(MIN_HANG_MS, HANG_FACTOR * ms);
  return {
    firstByteMs: hang(part.firstTokenMs),
    betweenMs: hang(part.betweenTokensMs),
  };
}

/** Measures one request from arrival to end. */
export class ExchangeRecord {
  readonly #context: ExchangeContext;
  readonly #request: core.Request;
  readonly #part: core.ClassPart;
  #startedAt = 0;
  #firstAt = 0;
  #tokens = 0;
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

  /** Records tokens that were passed to the caller. */
  recordTokens(tokens: number): void {
    if (this.#firstAt === 0) this.#firstAt = this.#context.clock.now();
    this.#tokens += tokens;
  }

  getTokens(): number {
    return this.#tokens;
  }

  /** Records a whole answer: it is billed and measured. */
  finish(outputTokens: number): void {
    const now = this.#context.clock.now();
    if (this.#firstAt === 0) this.#firstAt = now;
    const sinceArrival = (at: number) => at - this.#request.arrivedAt;
    const firstTokenMs = sinceArrival(this.#firstAt);
    const betweenTokensMs = this.#tokens > 1
      ? (now - this.#firstAt) / (this.#tokens - 1)
      : 0;
    this.#context.metrics.recordFinished({
      className: this.#request.className,
      customer: this.#request.customer,
      queueMs: sinceArrival(this.#startedAt || now),
      firstTokenMs,
      totalMs: sinceArrival(now),
      betweenTokensMs,
      withinTarget: firstTokenMs <= this.#part.firstTokenMs &&
        betweenTokensMs <= this.#part.betweenTokensMs,
    });
    this.#context.metrics.recordTokens("billed", outputTokens);
    this.#recordUsage({ requests: 1, outputTokens });
  }

  /** Records that the request ended without a whole answer: nothing is billed. */
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
 * Refuses a caller and notes it in the log and the metrics.
 *
 * @example
 * refuseCaller(context, { answer, refusal, requestId });
 */
export function refuseCaller(
  context: Pick<ExchangeContext, "log" | "metrics" | "refusals">,
  { answer, refusal, requestId }: {
    readonly answer: caller.CallerAnswer;
    readonly refusal: core.Refusal;
    readonly requestId: string;
  },
): void {
  context.metrics.recordRefusal(refusal);
  context.refusals.add(requestId, refusal);
  context.log.info({ requestId, ...refusal }, "Request refused.");
  answer.refuse(refusal);
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Tells the dispatcher of a whole answer and closes the request.
 *
 * @example
 * closeFinished(context, { effect, tokens });
 */
export function closeFinished(
  context: Pick<ExchangeContext, "dispatch">,
  { effect, tokens }: { readonly effect: StartEffect; readonly tokens: number },
): void {
  const { request, attempt } = effect;
  const requestId = request.id;
  context.dispatch.send({ kind: "finished", requestId, attempt, tokens });
  context.dispatch.close(requestId);
}

/**
 * Notes a failed attempt and tells the dispatcher, which decides what follows.
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
  context.metrics.recordFailure(failed.failure);
  context.log.warn(
    { requestId, attempt, server: server.name, failure: failed.failure },
    "Attempt failed.",
  );
  context.dispatch.send({ kind: "failed", requestId, attempt, ...failed });
}
