/** Logs and metrics of one request, from its first attempt to its end. */
import type * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metrics from "../metrics.ts";
import type * as requestExchange from "./request_exchange.ts";
import * as suspectTelemetry from "./suspect_telemetry.ts";

/** Options of {@link ExchangeTelemetry}. */
export interface ExchangeTelemetryOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly metrics: metrics.Metrics;
  readonly dispatch: Pick<dispatchTask.DispatchTask, "isBrittle">;
}

/** How far a request had come when its caller disconnected. */
export type RequestStage = "reading" | "queued" | "running" | "answering";

/** Writes the logs and metrics of one request. */
export class ExchangeTelemetry {
  readonly #options: ExchangeTelemetryOptions;
  readonly #exchange: requestExchange.ExchangeOptions;
  #attempts = 0;
  /** When the first attempt was sent; 0 before. */
  #firstAttemptAt = 0;
  /** When the first part of the response was sent; 0 before. */
  #firstAt = 0;
  #events = 0;
  #lastServer = "";
  #lastSoftware: string | undefined;
  /** Software version of the server that sent the first event; undefined before it, and if it is not known. */
  #begunBy: string | undefined;
  /** When the running attempt was sent; undefined while no attempt runs. */
  #attemptSentAt: number | undefined;
  /** The running attempt, until its first event; undefined if no time is expected. */
  #expected: { readonly service: string; readonly tokens: number } | undefined;
  /** When the request was answered, refused or cancelled. */
  #endedAt: number | undefined;

  constructor(
    options: ExchangeTelemetryOptions,
    exchange: requestExchange.ExchangeOptions,
  ) {
    this.#options = options;
    this.#exchange = exchange;
    this.#begunBy = exchange.request.software;
  }

  /** Returns the number of events that the caller received. */
  getEvents(): number {
    return this.#events;
  }

  /** Returns the server of the last attempt; empty before the first attempt. */
  getServer(): string {
    return this.#lastServer;
  }

  recordAttemptStart(
    { attempt, server, toEjected, speed, expectedTokens }: {
      readonly attempt: number;
      readonly server: core.ServerInfo;
      readonly toEjected?: boolean;
      readonly speed?: number;
      readonly expectedTokens?: number;
    },
    { resumeAfter }: { readonly resumeAfter: number | undefined },
  ): void {
    const now = this.#options.clock.now();
    const { head, route, request, table } = this.#exchange;
    this.#attempts += 1;
    this.#lastServer = server.name;
    this.#lastSoftware = server.software;
    this.#attemptSentAt = now;
    if (resumeAfter !== undefined) this.#recordResumed("host", server);
    else if (head.lastEventId >= 0) this.#recordResumed("caller", server);
    this.#expected = expectedTokens === undefined
      ? undefined
      : { service: server.pool, tokens: expectedTokens };
    if (this.#firstAttemptAt === 0) this.#firstAttemptAt = now;
    if (toEjected) this.#options.metrics.recordRequestToEjected();
    this.#options.log.info({
      requestId: head.requestId,
      attempt,
      server: server.name,
      toEjected,
      speed: speed === undefined ? undefined : Math.round(100 * speed) / 100,
      route: route.name,
      version: table.configuration.version,
      waitedMs: Math.round(now - request.arrivedAt),
      resumeAfter,
      software: server.software,
      resumes: head.resumes,
      callerHas: head.lastEventId >= 0 ? head.lastEventId : undefined,
    }, "Attempt started.");
  }

  #recordResumed(by: "host" | "caller", { software }: core.ServerInfo): void {
    const isKnown = this.#begunBy !== undefined && software !== undefined;
    const changed = software === this.#begunBy ? "same" : "other";
    const version = isKnown ? changed : "unknown";
    this.#options.metrics.recordStreamResumed({ by, version });
  }

  /** Records events sent to the caller; a complete response counts as zero events. */
  recordEvents(count: number): void {
    const now = this.#options.clock.now();
    if (this.#firstAt === 0) this.#firstAt = now;
    if (this.#events === 0) this.#begunBy = this.#lastSoftware;
    this.#events += count;
    if (this.#expected === undefined || this.#attemptSentAt === undefined) {
      return;
    }
    this.#options.metrics.recordFirstToken({
      service: this.#expected.service,
      firstTokenMs: now - this.#attemptSentAt,
      expectedTokens: this.#expected.tokens,
    });
    this.#expected = undefined;
  }

  /** Records that the request is sent to another host. */
  recordHandover(peer: string, cause: core.HandoverCause): void {
    const { clock, log, metrics } = this.#options;
    const { head, route, request } = this.#exchange;
    this.#lastServer = peer;
    this.#attemptSentAt = clock.now();
    if (this.#firstAttemptAt === 0) this.#firstAttemptAt = clock.now();
    metrics.recordHandover("sent");
    log.info({
      requestId: head.requestId,
      peer,
      cause,
      route: route.name,
      waitedMs: Math.round(clock.now() - request.arrivedAt),
    }, "Request handed over.");
  }

  /** Records that another host did not take the request, or that the link to it broke. */
  recordHandoverFailure(
    peer: string,
    { outcome, reason }: {
      readonly outcome: "declined" | "lost";
      readonly reason: string;
    },
  ): void {
    const { log, metrics } = this.#options;
    this.#attemptSentAt = undefined;
    metrics.recordHandover(outcome);
    const { requestId } = this.#exchange.head;
    log.info({ requestId, peer, outcome, reason }, "Handover failed.");
  }

  recordAttemptFailure(
    { attempt, server }: {
      readonly attempt: number;
      readonly server: core.ServerInfo;
    },
    { failure, reason }: {
      readonly failure: core.AttemptFailure;
      readonly reason: string;
    },
  ): void {
    this.#attemptSentAt = undefined;
    const { metrics, log, dispatch } = this.#options;
    const brittle = dispatch.isBrittle(server.name);
    metrics.recordAttemptFailure(failure);
    if (brittle) metrics.recordBrittleFailure(failure);
    log.warn({
      requestId: this.#exchange.head.requestId,
      attempt,
      server: server.name,
      failure,
      reason,
      brittle: brittle || undefined,
      events: this.#events,
      fingerprint: failure === "connection_lost"
        ? suspectTelemetry.shortenFingerprint(
          this.#exchange.request.fingerprint,
        )
        : undefined,
      // A part that several lost requests share may have crashed their servers.
      parts: failure === "connection_lost" && this.#events === 0
        ? this.#exchange.head.parts.map(({ id }) => id).join(",")
        : undefined,
    }, "Attempt failed.");
  }

  /** Records that the caller disconnected, and by how much the event loop may have delayed its detection. */
  recordCallerLeft(loopDelayMs: number): void {
    const { clock, metrics } = this.#options;
    const stage = this.#getStage();
    metrics.recordCallerLeft(stage);
    this.recordEnd("Caller left.", {
      stage,
      runningMs: this.#attemptSentAt === undefined
        ? undefined
        : Math.round(clock.now() - this.#attemptSentAt),
      loopDelayMs: Math.round(loopDelayMs),
    });
  }

  #getStage(): RequestStage {
    if (this.#attemptSentAt === undefined) return "queued";
    return this.#events > 0 ? "answering" : "running";
  }

  /** Records that a cancelled attempt has released its connection to the server. */
  recordAttemptStopped({ attempt, server }: {
    readonly attempt: number;
    readonly server: core.ServerInfo;
  }): void {
    const { clock, log } = this.#options;
    log.info({
      requestId: this.#exchange.head.requestId,
      attempt,
      server: server.name,
      afterMs: this.#endedAt === undefined
        ? undefined
        : Math.round(clock.now() - this.#endedAt),
    }, "Attempt stopped.");
  }

  recordAnswered(): void {
    const { request, route } = this.#exchange;
    const now = this.#options.clock.now();
    const firstTokenMs = this.#firstAt - request.arrivedAt;
    const betweenTokensMs = this.#events > 1
      ? (now - this.#firstAt) / (this.#events - 1)
      : 0;
    this.#options.metrics.recordFinished({
      className: request.className,
      customer: request.customer,
      queueMs: this.#firstAttemptAt - request.arrivedAt,
      firstTokenMs,
      totalMs: now - request.arrivedAt,
      betweenTokensMs,
      withinTarget: firstTokenMs <= route.targetLatencyMs,
    });
    this.recordEnd("Request answered.", { firstMs: Math.round(firstTokenMs) });
  }

  recordRefused(
    refusal: core.Refusal,
    { forwardedStatus }: { readonly forwardedStatus: number | undefined },
  ): void {
    this.#options.metrics.recordRefusal(refusal);
    const message = forwardedStatus === undefined
      ? "Request refused."
      : "Failure passed on.";
    this.recordEnd(message, {
      ...refusal,
      status: forwardedStatus,
      fingerprint: suspectTelemetry.isSuspicion(refusal.code)
        ? suspectTelemetry.shortenFingerprint(
          this.#exchange.request.fingerprint,
        )
        : undefined,
    });
  }

  /** Logs the end of the request. */
  recordEnd(message: string, fields: object): void {
    const { clock, log } = this.#options;
    const { head, request, route } = this.#exchange;
    this.#endedAt = clock.now();
    log.info({
      requestId: head.requestId,
      route: route.name,
      customer: request.customer,
      server: this.#lastServer,
      attempts: this.#attempts,
      events: this.#events,
      totalMs: Math.round(clock.now() - request.arrivedAt),
      ...fields,
    }, message);
  }
}
