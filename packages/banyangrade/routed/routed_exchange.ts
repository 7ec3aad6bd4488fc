/** One request from its arrival to its answer, over all attempts. */
import * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metrics from "../metrics.ts";
import * as ingress from "./ingress.ts";
import type * as ports from "./ports.ts";
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
  readonly arrivedAt: number;
  /** Moment at which nobody waits any more, monotonic ms. */
  readonly endsAt: number;
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;
type Failed = Extract<service.ForwardOutcome, { kind: "failed" }>;

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
  #abort = new AbortController();
  #timer: NodeJS.Timeout | undefined;
  #ended = false;
  /** Whether any attempt may have run. */
  #ran: core.Ran = "no";
  #attempts = 0;
  #startedAt = 0;
  #firstAt = 0;
  #events = 0;
  #lastEventId: number;
  #server = "";
  /** A server's own whole failure, passed on if nothing else is tried. */
  #failedAnswer: service.ForwardedAnswer | undefined;

  constructor(context: ExchangeContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#lastEventId = options.head.lastEventId;
  }

  open(): void {
    const { clock, dispatch } = this.#context;
    const { incoming, request, endsAt } = this.#options;
    incoming.onGone(() => this.#cancel("caller_left"));
    const left = Math.max(0, endsAt - clock.now());
    this.#timer = setTimeout(() => this.#expire(), left);
    dispatch.open(request, {
      onStart: (effect) => void this.#runAttempt(effect),
      onStop: () => this.#abort.abort(),
      onRefuse: (refusal) => this.#refuse(refusal),
    });
  }

  async #runAttempt(effect: StartEffect): Promise<void> {
    const { clock, log, pools } = this.#context;
    const { head, request, route } = this.#options;
    // What waited, or is tried again, is judged by the keys of this moment.
    const key = this.#checkKey();
    if (key !== "valid") return this.#refuseKey(key);
    const now = clock.now();
    const own = new AbortController();
    this.#abort = own;
    this.#attempts += 1;
    this.#server = effect.server.name;
    if (this.#startedAt === 0) this.#startedAt = now;
    log.info({
      requestId: head.requestId,
      attempt: effect.attempt,
      server: effect.server.name,
      route: route.name,
      version: this.#options.table.configuration.version,
      waitedMs: Math.round(now - request.arrivedAt),
      resumeAfter: this.#events > 0 ? this.#lastEventId : undefined,
    }, "Attempt started.");
    const before = this.#ran;
    this.#ran = core.mergeRan(before, "unknown");
    const outcome = await service.forwardRequest({
      connections: pools.get(effect.server, {
        connectionLimit: this.#getConnectionLimit(),
      }),
      ...this.#buildMessage(effect),
      silence: this.#getSilence(effect.attempt),
      readMarks: this.#context.wire.readMarks,
      signal: own.signal,
    }, { onEvents: (batch) => this.#passOn(effect, { batch, own }) });
    if (own.signal.aborted) return;
    this.#endAttempt(effect, { outcome, before, sentAt: now });
  }

  #checkKey(): KeyCheck {
    const { open, request } = this.#options;
    if (open) return "valid";
    return this.#context.checkKey(request.keyId, request.customer);
  }

  #getConnectionLimit(): number {
    const { table, request } = this.#options;
    return table.configuration.services.find((one) =>
      one.name === request.target
    )?.connectionLimit ?? 1;
  }

  #buildMessage(effect: StartEffect) {
    const { incoming, head, body, request, route, endsAt } = this.#options;
    const { wire, clock } = this.#context;
    const { requestId } = head;
    const left = Math.max(1, Math.floor(endsAt - clock.now()));
    return {
      requestId,
      method: incoming.method,
      path: incoming.path,
      headers: {
        ...utils.dropHopHeaders(incoming.headers, wire.reserved),
        ...wire.buildAttempt({
          deadlineMs: left,
          customer: request.customer === "" ? undefined : request.customer,
          instance: effect.server.instance ?? effect.server.name,
          lastEventId: this.#lastEventId,
          tier: request.kind === "generate" ? request.tier : undefined,
        }),
      },
      body,
      stream: route.kind === "stream",
      lastEventId: this.#lastEventId,
    };
  }

  /** How long an attempt may keep silent; only one that may be repeated is given up early. */
  #getSilence(attempt: number): service.SilenceLimits {
    const { route, request, endsAt } = this.#options;
    const left = Math.max(1, endsAt - this.#context.clock.now());
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

  async #passOn(
    effect: StartEffect,
    { batch, own }: {
      readonly batch: service.EventBatch;
      readonly own: AbortController;
    },
  ): Promise<void> {
    if (own.signal.aborted || this.#ended) return;
    const { clock, dispatch, countUsage } = this.#context;
    const { incoming, request } = this.#options;
    const now = clock.now();
    if (this.#firstAt === 0) this.#firstAt = now;
    if (this.#events === 0 || this.#attempts > 1) {
      // The first events of each run.
      if (!this.#counted.has(effect.attempt)) {
        this.#counted.add(effect.attempt);
        countUsage(request.customer, now);
      }
    }
    this.#events += batch.count;
    this.#lastEventId = batch.lastEventId;
    dispatch.send({
      kind: "progressed",
      requestId: request.id,
      attempt: effect.attempt,
      tokens: this.#events - effect.offset,
    });
    await incoming.answer.write(batch.head, batch.bytes);
  }

  readonly #counted = new Set<number>();

  #endAttempt(
    effect: StartEffect,
    { outcome, before, sentAt }: {
      readonly outcome: service.ForwardOutcome;
      readonly before: core.Ran;
      readonly sentAt: number;
    },
  ): void {
    const { request, incoming, head } = this.#options;
    switch (outcome.kind) {
      case "aborted":
        return;
      case "streamed":
        incoming.answer.end();
        return this.#finish(effect, outcome.events);
      case "whole":
        this.#context.countUsage(request.customer, sentAt);
        this.#firstAt = this.#context.clock.now();
        incoming.answer.send(outcome.answer);
        return this.#finish(effect, 0);
      case "failed": {
        const ran = core.resolveRan(outcome.failure);
        this.#ran = core.mergeRan(before, ran);
        if (outcome.answer !== undefined) {
          this.#failedAnswer = outcome.answer;
          this.#context.countUsage(request.customer, sentAt);
        }
        this.#reportFailure(effect, outcome);
        return;
      }
    }
    void head;
  }

  #reportFailure(effect: StartEffect, outcome: Failed): void {
    const { dispatch, log, metrics: measures } = this.#context;
    const { head, request, route } = this.#options;
    const { failure, reason } = outcome;
    measures.recordFailure(failure);
    log.warn({
      requestId: head.requestId,
      attempt: effect.attempt,
      server: effect.server.name,
      failure,
      reason,
      events: this.#events,
    }, "Attempt failed.");
    dispatch.send({
      kind: "failed",
      requestId: request.id,
      attempt: effect.attempt,
      failure,
      answerStarted: this.#events > 0,
      resumable: route.kind === "stream" && route.resumable,
    });
  }

  #finish(effect: StartEffect, tokens: number): void {
    if (!this.#close()) return;
    const { dispatch, metrics: measures, clock } = this.#context;
    const { request, route } = this.#options;
    const { attempt } = effect;
    dispatch.send({
      kind: "finished",
      requestId: request.id,
      attempt,
      tokens: effect.offset + tokens,
    });
    dispatch.close(request.id);
    const now = clock.now();
    const firstTokenMs = this.#firstAt - request.arrivedAt;
    const betweenTokensMs = this.#events > 1
      ? (now - this.#firstAt) / (this.#events - 1)
      : 0;
    measures.recordFinished({
      className: request.className,
      customer: request.customer,
      queueMs: this.#startedAt - request.arrivedAt,
      firstTokenMs,
      totalMs: now - request.arrivedAt,
      betweenTokensMs,
      withinTarget: firstTokenMs <= route.targetMs,
    });
    this.#recordEnd("Request answered.", { firstMs: Math.round(firstTokenMs) });
  }

  /** Answers at the end of the caller's time. */
  #expire(): void {
    if (this.#ended) return;
    this.#cancelAttempt();
    this.#answerRefusal(core.buildRefusal({
      code: "deadline_exceeded",
      ran: this.#ran,
      step: "exchange.expire",
      peer: this.#server,
    }));
  }

  #cancel(reason: string): void {
    if (!this.#close()) return;
    this.#cancelAttempt();
    this.#recordEnd("Caller left.", { reason });
  }

  #cancelAttempt(): void {
    const { dispatch } = this.#context;
    const { request } = this.#options;
    dispatch.send({ kind: "cancelled", requestId: request.id });
    dispatch.close(request.id);
    this.#abort.abort();
  }

  /** A key that was withdrawn, or may have been, starts nothing. */
  #refuseKey(key: Exclude<KeyCheck, "valid">): void {
    this.#cancelAttempt();
    const code = key === "withdrawn" ? "key_withdrawn" : "store_unavailable";
    this.#answerRefusal(core.buildRefusal({
      code,
      ran: this.#ran,
      step: "exchange.start",
      peer: "store",
      waitMs: this.#ran === "no" && key === "unproved" ? 0 : undefined,
      leastRetryMs: LEAST_RETRY_MS,
    }));
  }

  #refuse(refusal: core.Refusal): void {
    this.#answerRefusal({ ...refusal, ran: this.#ran });
  }

  #answerRefusal(refusal: core.Refusal): void {
    if (!this.#close()) return;
    const { metrics: measures } = this.#context;
    const { incoming, head } = this.#options;
    const answer = this.#failedAnswer;
    // The server's own word goes before ours.
    const passesOn = answer !== undefined && !incoming.answer.isBegun() &&
      refusal.code === "backend_failed";
    measures.recordRefusal(refusal);
    this.#recordEnd(passesOn ? "Failure passed on." : "Request refused.", {
      ...refusal,
      status: passesOn ? answer.status : undefined,
    });
    if (passesOn) return incoming.answer.send(answer);
    const { requestId } = head;
    ingress.sendRefusal(incoming.answer, { refusal, requestId });
  }

  /** Ends the exchange; false if it had ended before. */
  #close(): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    clearTimeout(this.#timer);
    return true;
  }

  #recordEnd(message: string, fields: object): void {
    const { clock, log } = this.#context;
    const { head, request, route } = this.#options;
    log.info({
      requestId: head.requestId,
      route: route.name,
      customer: request.customer,
      server: this.#server,
      attempts: this.#attempts,
      events: this.#events,
      totalMs: Math.round(clock.now() - request.arrivedAt),
      ...fields,
    }, message);
  }
}

/** Shortest time to come back that a refusal gives, in ms. */
const LEAST_RETRY_MS = 50;
