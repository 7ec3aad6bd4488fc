/** One request from its arrival to its answer, over all attempts. */
import * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import type * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metrics from "../metrics.ts";
import * as attemptMessage from "./attempt_message.ts";
import * as exchangeRecord from "./exchange_record.ts";
import type * as ingress from "./ingress.ts";
import type * as ports from "./ports.ts";
import * as refusalAnswer from "./refusal_answer.ts";
import type * as serverPools from "./server_pools.ts";

/** What an exchange needs of its host. */
export interface ExchangeContext {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly dispatch: dispatchTask.DispatchTask;
  readonly metrics: metrics.Metrics;
  readonly pools: serverPools.ServerPools;
  readonly wire: ports.WireFormat;
  /** Whether a key that was known at the arrival may still start something. */
  readonly checkKey: (key: string, customer: string) => KeyCheck;
  /** Counts a request that a server began to run, for its usage window. */
  readonly countUsage: (customer: string, at: number) => void;
}

/** What is known of a key at the moment of sending. */
export type KeyCheck = "valid" | "withdrawn" | "unproved";

/** What an exchange is made of. */
export interface ExchangeOptions {
  readonly incoming: ingress.IncomingRequest;
  readonly head: ports.RequestHead & { readonly requestId: string };
  readonly body: Buffer;
  readonly request: core.Request;
  readonly table: core.RouteTable;
  readonly route: core.Route;
  /** Whether it needs no key. */
  readonly open: boolean;
  /** Moment at which nobody waits any more, monotonic ms. */
  readonly endsAt: number;
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;
type Failed = Extract<service.ForwardOutcome, { kind: "failed" }>;

/** Shortest time to come back that a refusal gives, in ms: some turns of the shortest calls. */
export const LEAST_RETRY_MS = 50;

/**
 * Opens a request at the dispatcher and sees it to its end.
 *
 * @example
 * openExchange(context, options);
 */
export function openExchange(
  context: ExchangeContext,
  options: ExchangeOptions,
): void {
  new Exchange(context, options).open();
}

class Exchange {
  readonly #context: ExchangeContext;
  readonly #options: ExchangeOptions;
  readonly #record: exchangeRecord.ExchangeRecord;
  #abort = new AbortController();
  #timer: NodeJS.Timeout | undefined;
  #ended = false;
  /** Whether any attempt may have run. */
  #ran: core.Ran = "no";
  #lastEventId: number;
  /** A server's own whole failure, passed on if nothing else is tried. */
  #failedAnswer: service.ForwardedAnswer | undefined;

  constructor(context: ExchangeContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#record = new exchangeRecord.ExchangeRecord(context, options);
    this.#lastEventId = options.head.lastEventId;
  }

  open(): void {
    const { clock, dispatch } = this.#context;
    const { incoming, request, endsAt } = this.#options;
    incoming.onGone(() => this.#cancel());
    const left = Math.max(0, endsAt - clock.now());
    this.#timer = setTimeout(() => this.#expire(), left);
    dispatch.open(request, {
      onStart: (effect) => void this.#runAttempt(effect),
      onStop: () => this.#abort.abort(),
      onRefuse: (refusal) =>
        this.#answerRefusal({ ...refusal, ran: this.#ran }),
    });
  }

  async #runAttempt(effect: StartEffect): Promise<void> {
    // What waited, or is tried again, is judged by the keys of this moment.
    const key = this.#checkKey();
    if (key !== "valid") return this.#refuseKey(key);
    const { signal } = this.#abort = new AbortController();
    const before = this.#ran;
    this.#ran = core.mergeRan(before, "unknown");
    const resumed = this.#record.getEvents() > 0;
    this.#record.recordStart(effect, {
      resumeAfter: resumed ? this.#lastEventId : undefined,
    });
    const sentAt = this.#context.clock.now();
    const outcome = await this.#forward(effect, { signal, now: sentAt });
    if (signal.aborted) return this.#record.recordStopped(effect);
    this.#endAttempt(effect, { outcome, before, sentAt });
  }

  #checkKey(): KeyCheck {
    const { open, request } = this.#options;
    if (open) return "valid";
    return this.#context.checkKey(request.keyId, request.customer);
  }

  #forward(
    effect: StartEffect,
    { signal, now }: { readonly signal: AbortSignal; readonly now: number },
  ): Promise<service.ForwardOutcome> {
    const { pools, wire, countUsage } = this.#context;
    const { table, request } = this.#options;
    const connectionLimit =
      table.configuration.services.find((one) => one.name === request.target)
        ?.connectionLimit ?? 1;
    let begun = false;
    return service.forwardRequest({
      ...attemptMessage.buildAttempt({
        ...effect,
        exchange: this.#options,
        wire,
        lastEventId: this.#lastEventId,
        now,
      }),
      connections: pools.get(effect.server, { connectionLimit }),
      signal,
    }, {
      onEvents: async (batch) => {
        if (signal.aborted || this.#ended) return;
        // A stream counts from the first event of each run.
        if (!begun) countUsage(request.customer, this.#context.clock.now());
        begun = true;
        await this.#passOn(effect, batch);
      },
    });
  }

  async #passOn(
    effect: StartEffect,
    batch: service.EventBatch,
  ): Promise<void> {
    const { incoming, request } = this.#options;
    this.#record.recordEvents(batch.count);
    this.#lastEventId = batch.lastEventId;
    this.#context.dispatch.send({
      kind: "progressed",
      requestId: request.id,
      attempt: effect.attempt,
      tokens: this.#record.getEvents() - effect.offset,
    });
    await incoming.answer.write(batch.head, batch.bytes);
  }

  #endAttempt(
    effect: StartEffect,
    { outcome, before, sentAt }: {
      readonly outcome: service.ForwardOutcome;
      readonly before: core.Ran;
      readonly sentAt: number;
    },
  ): void {
    const { request, incoming } = this.#options;
    switch (outcome.kind) {
      case "aborted":
        return;
      case "streamed":
        // A stream that is resumed behind its last event brings none, and its
        // head has not been sent with one.
        if (incoming.answer.isBegun()) incoming.answer.end();
        else incoming.answer.send({ ...outcome.head, body: "" });
        return this.#finish(effect, outcome.events);
      case "whole":
        this.#context.countUsage(request.customer, sentAt);
        this.#record.recordEvents(0);
        incoming.answer.send(outcome.answer);
        return this.#finish(effect, 0);
      case "failed":
        this.#ran = core.mergeRan(before, core.resolveRan(outcome.failure));
        if (outcome.answer !== undefined) {
          this.#failedAnswer = outcome.answer;
          this.#context.countUsage(request.customer, sentAt);
        }
        return this.#reportFailure(effect, outcome);
    }
  }

  #reportFailure(effect: StartEffect, failed: Failed): void {
    const { request, route } = this.#options;
    this.#record.recordFailure(effect, failed);
    this.#context.dispatch.send({
      kind: "failed",
      requestId: request.id,
      attempt: effect.attempt,
      failure: failed.failure,
      answerStarted: this.#record.getEvents() > 0,
      resumable: route.kind === "stream" && route.resumable,
    });
  }

  #finish({ attempt, offset }: StartEffect, events: number): void {
    if (!this.#close()) return;
    const { dispatch } = this.#context;
    const requestId = this.#options.request.id;
    const tokens = offset + events;
    dispatch.send({ kind: "finished", requestId, attempt, tokens });
    dispatch.close(requestId);
    this.#record.recordAnswered();
  }

  /** Answers at the end of the caller's time. */
  #expire(): void {
    if (this.#ended) return;
    this.#cancelAttempt();
    this.#answerRefusal(core.buildRefusal({
      code: "deadline_exceeded",
      ran: this.#ran,
      step: "exchange.expire",
      peer: this.#record.getServer(),
    }));
  }

  /** The caller is gone. */
  #cancel(): void {
    if (!this.#close()) return;
    this.#cancelAttempt();
    this.#record.recordLeft(this.#context.dispatch.getLoopDelay());
  }

  #cancelAttempt(): void {
    const { dispatch } = this.#context;
    const requestId = this.#options.request.id;
    dispatch.send({ kind: "cancelled", requestId });
    dispatch.close(requestId);
    this.#abort.abort();
  }

  /** A key that was withdrawn, or may have been, starts nothing. */
  #refuseKey(key: Exclude<KeyCheck, "valid">): void {
    this.#cancelAttempt();
    const code = key === "withdrawn" ? "key_withdrawn" : "store_unavailable";
    const comesBack = this.#ran === "no" && key === "unproved";
    this.#answerRefusal(core.buildRefusal({
      code,
      ran: this.#ran,
      step: "exchange.start",
      peer: "store",
      waitMs: comesBack ? LEAST_RETRY_MS : undefined,
      leastRetryMs: LEAST_RETRY_MS,
    }));
  }

  #answerRefusal(refusal: core.Refusal): void {
    if (!this.#close()) return;
    const { answer } = this.#options.incoming;
    const { requestId } = this.#options.head;
    // The server's own word goes before ours.
    const failed = refusal.code === "backend_failed" && !answer.isBegun()
      ? this.#failedAnswer
      : undefined;
    this.#record.recordRefused(refusal, { passedOn: failed?.status });
    if (failed !== undefined) return answer.send(failed);
    refusalAnswer.sendRefusal(answer, { refusal, requestId });
  }

  /** Ends the exchange; false if it had ended before. */
  #close(): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    clearTimeout(this.#timer);
    return true;
  }
}
