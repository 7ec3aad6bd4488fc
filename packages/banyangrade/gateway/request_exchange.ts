/** Runs one request from its arrival to its response, over all attempts. */
import * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metrics from "../metrics.ts";
import * as unexpectedErrors from "../unexpected_errors.ts";
import * as attemptRequest from "./attempt_request.ts";
import * as exchangeTelemetry from "./exchange_telemetry.ts";
import * as handoverExchange from "./handover_exchange.ts";
import type * as heldBytes from "./held_bytes.ts";
import type * as ingress from "./ingress.ts";
import type * as platformInterface from "./platform_interface.ts";
import * as refusalResponse from "./refusal_response.ts";
import type * as connectionPools from "./connection_pools.ts";
import type * as serverSignals from "./server_signals.ts";
import type * as streamOriginsTask from "./stream_origins_task.ts";
import * as takenStreams from "./taken_streams.ts";

/** Services of the host that an exchange uses. */
export interface ExchangeContext extends handoverExchange.HandoverContext {
  readonly log: utils.Logger;
  readonly dispatch: dispatchTask.DispatchTask;
  readonly metrics: metrics.Metrics;
  readonly heldBytes: heldBytes.HeldBytes;
  /** Whether callers and servers may read slowly. */
  readonly slowReaders: boolean;
  readonly pools: connectionPools.ConnectionPools;
  readonly streamOrigins: Pick<
    streamOriginsTask.StreamOriginsTask,
    "record" | "find"
  >;
  /** Checks whether an API key that was valid on arrival may still start an attempt. */
  readonly checkKey: (key: string, customer: string) => KeyCheck;
  /** Applies the signals of a response of a server. */
  readonly applySignals: (
    server: string,
    response: serverSignals.SignalledResponse,
  ) => void;
  /** Counts a request that a server began to run in the usage window of that time. */
  readonly countUsage: (customer: string, at: number) => void;
}

/** State of an API key when an attempt starts; "unverified" if the host's data is stale. */
export type KeyCheck = "valid" | "withdrawn" | "unverified";

/** Options of {@link openExchange}. */
export interface ExchangeOptions {
  readonly incoming: ingress.IncomingRequest;
  readonly head: platformInterface.RequestHead & { readonly requestId: string };
  readonly body: Buffer;
  /** Account of the body's bytes, which the exchange closes at its end. */
  readonly bodyAccount: heldBytes.HeldAccount;
  readonly request: core.Request;
  readonly table: core.RouteTable;
  readonly route: core.Route;
  /** Whether the request needs no API key. */
  readonly open: boolean;
  /** Deadline of the caller, monotonic ms. */
  readonly deadlineAt: number;
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;
type FailedOutcome = Extract<service.ForwardOutcome, { kind: "failed" }>;

/** Options of one attempt. */
interface AttemptOptions {
  readonly signal: AbortSignal;
  /** Time at which it is sent, monotonic ms. */
  readonly now: number;
  /** Receives the size of each part of the response that is held; returns whether more may be held. */
  readonly onHeld: (bytes: number) => boolean;
}

/** Shortest retry delay that a refusal gives, in ms; several times the duration of the shortest calls. */
export const MIN_RETRY_MS = 50;
/** Number of times that a request is assigned to a server to which it is not sent, with too many bytes in flight or by an error of this host, before it is refused. */
const MAX_UNSENT = 3;
/** Retry delay while servers have too many bytes in flight, in ms; the duration of a few calls. */
const WITHHELD_RETRY_MS = 250;

/**
 * Opens a request at the dispatcher and runs it until it is answered, refused
 * or cancelled.
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
  readonly #telemetry: exchangeTelemetry.ExchangeTelemetry;
  #attemptAbort = new AbortController();
  #timer: NodeJS.Timeout | undefined;
  #ended = false;
  /** Whether any attempt may have run. */
  #ran: core.Ran = "no";
  #lastEventId: number;
  /** Last complete error response of a backend server; forwarded if no further attempt follows. */
  #errorResponse: service.ForwardedResponse | undefined;
  /** Account of the bytes of the last error response. */
  #errorAccount: heldBytes.HeldAccount | undefined;
  /** Servers that refused the request without running it. */
  readonly #refusedBy = new Set<string>();
  /** Number of attempts that this host did not send. */
  #unsent = 0;

  constructor(context: ExchangeContext, options: ExchangeOptions) {
    this.#context = context;
    this.#options = options;
    this.#telemetry = new exchangeTelemetry.ExchangeTelemetry(context, options);
    this.#lastEventId = options.head.lastEventId;
  }

  open(): void {
    const { clock } = this.#context;
    const { incoming, request, deadlineAt } = this.#options;
    incoming.onDisconnect(() =>
      this.#runStep("exchange.cancel", () => this.#cancel())
    );
    const remainingMs = Math.max(0, deadlineAt - clock.now());
    this.#timer = setTimeout(
      () => this.#runStep("exchange.expire", () => this.#expire()),
      remainingMs,
    );
    this.#runStep("exchange.open", () => this.#openAtDispatcher(request));
  }

  /** Runs a step of the request; if it throws, the request fails and no other. */
  #runStep(step: string, work: () => unknown): void {
    utils.runDetached(work, (thrown) => this.#fail(step, thrown));
  }

  /** Ends a request of which a step threw: the caller is told what is certain, and all that the request held is given back. */
  #fail(step: string, thrown: unknown): void {
    const { requestId } = this.#options.head;
    const { answer } = this.#options.incoming;
    unexpectedErrors.reportUnexpected(this.#context, {
      step,
      thrown,
      requestId,
    });
    this.#close();
    // First, so that an error of the dispatcher itself does not come back here.
    this.#context.dispatch.close(this.#options.request.id);
    this.#cancelAttempt();
    if (answer.isEnded()) return;
    const refusal = buildFailure(step, this.#ran);
    this.#context.metrics.recordRefusal(refusal);
    refusalResponse.sendRefusal(answer, { refusal, requestId });
  }

  #openAtDispatcher(request: core.Request): void {
    this.#context.dispatch.open(request, {
      onStart: (effect) =>
        this.#runStep("exchange.attempt", () => this.#runAttempt(effect)),
      onHandOver: (effect) =>
        this.#runStep("exchange.handOver", () => this.#runHandover(effect)),
      onStop: ({ reason }) => {
        if (reason === "moved") this.#context.metrics.recordAttemptMoved();
        this.#attemptAbort.abort();
      },
      onRefuse: (refusal) =>
        this.#answerRefusal({ ...refusal, ran: this.#ran }),
      onError: (thrown) => this.#fail("exchange.dispatch", thrown),
    });
  }

  /** Lets other hosts run the request; if none takes it, this host does what it can. */
  async #runHandover(
    effect: Extract<core.DispatchEffect, { kind: "hand_over" }>,
  ): Promise<void> {
    const key = this.#checkKey();
    if (key !== "valid") return this.#refuseKey(key);
    const { signal } = this.#attemptAbort = new AbortController();
    const ranBefore = this.#ran;
    this.#ran = core.mergeRan(ranBefore, "unknown");
    const result = await handoverExchange.runHandover(this.#context, {
      exchange: this.#options,
      effect,
      telemetry: this.#telemetry,
      getLastEventId: () => this.#lastEventId,
      signal,
      onEvents: (batch) => this.#forwardHandedEvents(batch, signal),
    });
    if (signal.aborted || this.#ended) return;
    if (result.kind === "declined") this.#ran = ranBefore;
    this.#endHandover(effect, result);
  }

  async #forwardHandedEvents(
    batch: service.EventBatch,
    signal: AbortSignal,
  ): Promise<void> {
    if (signal.aborted || this.#ended) return;
    this.#telemetry.recordEvents(batch.count);
    this.#lastEventId = batch.lastEventId;
    await this.#options.incoming.answer.write(batch.head, batch.bytes);
  }

  #endHandover(
    { request, sent }: Extract<core.DispatchEffect, { kind: "hand_over" }>,
    result: handoverExchange.HandoverResult,
  ): void {
    const { answer } = this.#options.incoming;
    switch (result.kind) {
      case "aborted":
        return;
      case "answered":
        if (!this.#close()) return;
        this.#telemetry.recordEvents(0);
        if (answer.isStarted()) answer.destroy();
        else answer.send(result.answer);
        return this.#telemetry.recordAnswered();
      case "streamed":
        if (!this.#close()) return;
        if (answer.isStarted()) answer.end();
        else answer.send({ ...result.head, body: "" });
        return this.#telemetry.recordAnswered();
      case "declined":
        return this.#endDeclined(result.waitMs, {
          ...request,
          handedOver: true,
          maxAttempts: (request.maxAttempts ?? core.constants.MAX_ATTEMPTS) -
            sent,
        });
      case "lost":
        return this.#answerRefusal(core.buildRefusal({
          code: "backend_failed",
          ran: this.#ran,
          step: "exchange.handOver",
          peer: result.peer,
        }));
    }
  }

  /** Refuses a request if the other hosts are full; otherwise queues it here. */
  #endDeclined(waitMs: number | undefined, request: core.Request): void {
    if (waitMs === undefined) return this.#openAtDispatcher(request);
    this.#answerRefusal(core.buildRefusal({
      code: "overloaded",
      ran: this.#ran,
      step: "exchange.handOver",
      waitMs,
      minRetryAfterMs: MIN_RETRY_MS,
    }));
  }

  async #runAttempt(effect: StartEffect): Promise<void> {
    // The key may have been withdrawn while the request was queued or an earlier
    // attempt ran.
    const key = this.#checkKey();
    if (key !== "valid") return this.#refuseKey(key);
    const endSend = this.#context.heldBytes.openSend(effect.server.name, {
      bytes: this.#options.body.length,
      maxBodyBytes: this.#options.table.configuration.limits.maxBodyBytes,
    });
    if (endSend === undefined) return this.#revokeAttempt(effect);
    const { signal } = this.#attemptAbort = new AbortController();
    const account = this.#context.heldBytes.openAccount(
      this.#options.incoming.holder,
      { kind: "response" },
    );
    try {
      const sentAt = this.#context.clock.now();
      const send = this.#buildSend(effect, {
        signal,
        now: sentAt,
        onHeld: (bytes) => {
          account.add(bytes);
          return this.#context.heldBytes.mayHoldMore(account);
        },
      });
      if (send === undefined) return;
      const ranBefore = this.#recordStart(effect);
      const outcome = await send();
      endSend();
      if (isKept(outcome) && !signal.aborted && !this.#ended) {
        this.#errorAccount?.close();
        this.#errorAccount = account;
      }
      if (signal.aborted) this.#telemetry.recordAttemptStopped(effect);
      else this.#endAttempt(effect, { outcome, ranBefore, sentAt });
    } finally {
      endSend();
      if (this.#errorAccount !== account) account.close();
    }
  }

  /** Records that an attempt is sent, and returns whether the request had run before it. */
  #recordStart(effect: StartEffect): core.Ran {
    const ranBefore = this.#ran;
    this.#ran = core.mergeRan(ranBefore, "unknown");
    const resumed = this.#telemetry.getEvents() > 0;
    this.#telemetry.recordAttemptStart(effect, {
      resumeAfter: resumed ? this.#lastEventId : undefined,
    });
    return ranBefore;
  }

  /**
   * Prepares an attempt; returns undefined if that threw, when nothing has been sent.
   * The server may be the cause, so that the request goes to another one.
   */
  #buildSend(
    effect: StartEffect,
    options: AttemptOptions,
  ): (() => Promise<service.ForwardOutcome>) | undefined {
    try {
      const call = this.#buildCall(effect, options);
      return () => this.#send(effect, { call, options });
    } catch (thrown) {
      const step = "exchange.prepare";
      this.#unsent += 1;
      if (this.#unsent >= MAX_UNSENT) {
        this.#fail(step, thrown);
        return undefined;
      }
      const { requestId } = this.#options.head;
      unexpectedErrors.reportUnexpected(this.#context, {
        step,
        thrown,
        requestId,
      });
      const reason = utils.getErrorMessage(thrown);
      this.#reportFailure(effect, {
        kind: "failed",
        failure: "not_sent",
        reason,
      });
      return undefined;
    }
  }

  /**
   * Returns an attempt to the dispatcher because too many bytes are in flight to
   * its server, so that it chooses another server, or refuses the request if
   * that happens repeatedly.
   */
  #revokeAttempt(effect: StartEffect): void {
    this.#unsent += 1;
    if (this.#unsent < MAX_UNSENT) {
      const reason = "Too many bytes are in flight to the server.";
      const failure = "withheld";
      return this.#reportFailure(effect, { kind: "failed", failure, reason });
    }
    this.#cancelAttempt();
    this.#answerRefusal(core.buildRefusal({
      code: "overloaded",
      ran: this.#ran,
      step: "exchange.start",
      peer: effect.server.name,
      waitMs: WITHHELD_RETRY_MS,
      minRetryAfterMs: MIN_RETRY_MS,
    }));
  }

  #checkKey(): KeyCheck {
    const { open, request } = this.#options;
    if (open) return "valid";
    return this.#context.checkKey(request.keyId, request.customer);
  }

  async #send(
    effect: StartEffect,
    { call, options }: {
      readonly call: service.ForwardCall;
      readonly options: AttemptOptions;
    },
  ): Promise<service.ForwardOutcome> {
    const { name } = effect.server;
    const isFresh = this.#refusedBy.has(name);
    const sink = this.#buildSink(effect, options);
    const outcome = await service.forwardRequest(call, sink);
    if (isFresh) this.#context.pools.closePool(call.connections);
    const isRefused = outcome.kind === "failed" &&
      outcome.failure === "refused";
    if (isRefused) this.#refusedBy.add(name);
    return outcome;
  }

  /** Returns the connections for an attempt: one of its own at a server that refused the request before. */
  #getConnections(server: core.ServerInfo): service.ServerConnections {
    const { pools } = this.#context;
    const { table, request } = this.#options;
    const connectionLimit =
      table.configuration.services.find((one) => one.name === request.target)
        ?.connectionLimit ?? 1;
    return this.#refusedBy.has(server.name)
      ? pools.openFresh(server)
      : pools.get(server, { connectionLimit });
  }

  #buildCall(
    effect: StartEffect,
    { signal, now }: AttemptOptions,
  ): service.ForwardCall {
    const { wire, slowReaders } = this.#context;
    return {
      ...attemptRequest.buildAttemptRequest({
        ...effect,
        exchange: this.#options,
        wire,
        lastEventId: this.#lastEventId,
        now,
      }),
      connections: this.#getConnections(effect.server),
      signal,
      toleratesUnread: slowReaders,
    };
  }

  #buildSink(
    effect: StartEffect,
    { signal, now, onHeld }: AttemptOptions,
  ): service.ForwardSink {
    const { countUsage, applySignals } = this.#context;
    const { request } = this.#options;
    let started = false;
    return {
      onHeld,
      onMetadata: ({ signals, genuine, status }) =>
        applySignals(effect.server.name, {
          signals,
          sentAt: now,
          succeeded: genuine && status < 300,
        }),
      onEvents: async (batch) => {
        if (signal.aborted || this.#ended) return;
        // A stream is counted once per attempt, on its first event.
        if (!started) countUsage(request.customer, this.#context.clock.now());
        started = true;
        await this.#forwardEvents(effect, batch);
      },
    };
  }

  async #forwardEvents(
    effect: StartEffect,
    batch: service.EventBatch,
  ): Promise<void> {
    const { incoming, request } = this.#options;
    if (this.#telemetry.getEvents() === 0) this.#recordOrigin(effect);
    this.#telemetry.recordEvents(batch.count);
    this.#lastEventId = batch.lastEventId;
    this.#context.dispatch.send({
      kind: "progressed",
      requestId: request.id,
      attempt: effect.attempt,
      tokens: this.#telemetry.getEvents() - effect.offset,
    });
    const written = incoming.answer.write(batch.head, batch.bytes);
    if (written === undefined) return;
    this.#sendBlocked(effect, true);
    await written;
    this.#sendBlocked(effect, false);
  }

  /** Records which software version began a stream that may be taken up. */
  #recordOrigin({ server: { software = "" } }: StartEffect): void {
    const { head, request } = this.#options;
    if (!request.resumable) return;
    this.#context.streamOrigins.record({
      attemptId: takenStreams.getStreamId(head),
      service: request.target,
      software,
    });
  }

  /** Reports whether the caller has stopped reading, so that the server does not count as silent. */
  #sendBlocked({ attempt }: StartEffect, blocked: boolean): void {
    const requestId = this.#options.request.id;
    this.#context.dispatch.send({
      kind: "blocked",
      requestId,
      attempt,
      blocked,
    });
  }

  #endAttempt(
    effect: StartEffect,
    { outcome, ranBefore, sentAt }: {
      readonly outcome: service.ForwardOutcome;
      readonly ranBefore: core.Ran;
      readonly sentAt: number;
    },
  ): void {
    const { request, incoming } = this.#options;
    switch (outcome.kind) {
      case "aborted":
        return;
      case "streamed":
        // A stream that is resumed after its last event brings no events, so its
        // headers have not been sent yet.
        if (incoming.answer.isStarted()) incoming.answer.end();
        else incoming.answer.send({ ...outcome.head, body: "" });
        return this.#finish(effect, outcome.events);
      case "whole":
        this.#context.countUsage(request.customer, sentAt);
        this.#telemetry.recordEvents(0);
        incoming.answer.send(outcome.answer);
        return this.#finish(effect, 0);
      case "failed":
        this.#ran = core.mergeRan(ranBefore, core.resolveRan(outcome.failure));
        if (outcome.answer !== undefined) {
          this.#errorResponse = outcome.answer;
          this.#context.countUsage(request.customer, sentAt);
        }
        return this.#reportFailure(effect, outcome);
    }
  }

  #reportFailure(effect: StartEffect, failed: FailedOutcome): void {
    const { request, route } = this.#options;
    this.#telemetry.recordAttemptFailure(effect, failed);
    this.#context.dispatch.send({
      kind: "failed",
      requestId: request.id,
      attempt: effect.attempt,
      failure: failed.failure,
      refused: failed.refused,
      answerStarted: this.#telemetry.getEvents() > 0,
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
    this.#telemetry.recordAnswered();
  }

  /** Refuses the request at its deadline. */
  #expire(): void {
    if (this.#ended) return;
    this.#cancelAttempt();
    this.#answerRefusal(core.buildRefusal({
      code: "deadline_exceeded",
      ran: this.#ran,
      step: "exchange.expire",
      peer: this.#telemetry.getServer(),
    }));
  }

  /** Cancels the request after the caller disconnected. */
  #cancel(): void {
    if (!this.#close()) return;
    this.#cancelAttempt();
    this.#telemetry.recordCallerLeft(this.#context.dispatch.getLoopDelay());
  }

  #cancelAttempt(): void {
    const { dispatch } = this.#context;
    const requestId = this.#options.request.id;
    dispatch.send({ kind: "cancelled", requestId });
    dispatch.close(requestId);
    this.#attemptAbort.abort();
  }

  /** Refuses a request whose key was withdrawn, or may have been while the store was unreachable. */
  #refuseKey(key: Exclude<KeyCheck, "valid">): void {
    this.#cancelAttempt();
    const code = key === "withdrawn" ? "key_withdrawn" : "store_unavailable";
    const isRetryable = this.#ran === "no" && key === "unverified";
    this.#answerRefusal(core.buildRefusal({
      code,
      ran: this.#ran,
      step: "exchange.start",
      peer: "store",
      waitMs: isRetryable ? MIN_RETRY_MS : undefined,
      minRetryAfterMs: MIN_RETRY_MS,
    }));
  }

  #answerRefusal(refusal: core.Refusal): void {
    if (!this.#close()) return;
    const { answer } = this.#options.incoming;
    const { requestId } = this.#options.head;
    // The backend server's own error response takes precedence over a refusal.
    const errorResponse =
      refusal.code === "backend_failed" && !answer.isStarted()
        ? this.#errorResponse
        : undefined;
    this.#telemetry.recordRefused(refusal, {
      forwardedStatus: errorResponse?.status,
    });
    if (errorResponse !== undefined) return answer.send(errorResponse);
    refusalResponse.sendRefusal(answer, { refusal, requestId });
  }

  /** Ends the exchange; returns false if it had already ended. */
  #close(): boolean {
    if (this.#ended) return false;
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#options.bodyAccount.close();
    this.#errorAccount?.close();
    return true;
  }
}

/** Whether the response of a failed attempt is kept, to be forwarded if no further attempt follows. */
function isKept(outcome: service.ForwardOutcome): boolean {
  return outcome.kind === "failed" && outcome.answer !== undefined;
}

/** Builds the refusal of a request of which a step threw. */
function buildFailure(step: string, ran: core.Ran): core.Refusal {
  return core.buildRefusal({
    code: "internal_error",
    ran,
    step,
    waitMs: ran === "no" ? MIN_RETRY_MS : undefined,
    minRetryAfterMs: MIN_RETRY_MS,
  });
}
