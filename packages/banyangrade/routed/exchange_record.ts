/** What is logged and measured of one request, from its first attempt to its end. */
import type * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as metrics from "../metrics.ts";
import type * as routedExchange from "./routed_exchange.ts";

/** Options of {@link ExchangeRecord}. */
export interface ExchangeRecordOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly metrics: metrics.Metrics;
}

/** How far a request had come as its caller left. */
export type LeftStage = "reading" | "queued" | "running" | "answering";

/** Follows one request. */
export class ExchangeRecord {
  readonly #options: ExchangeRecordOptions;
  readonly #exchange: routedExchange.ExchangeOptions;
  #attempts = 0;
  #startedAt = 0;
  #firstAt = 0;
  #events = 0;
  #server = "";
  /** When the attempt that runs was sent; undefined while none runs. */
  #sentAt: number | undefined;
  /** When the caller was found gone, or the request given up. */
  #endedAt: number | undefined;

  constructor(
    options: ExchangeRecordOptions,
    exchange: routedExchange.ExchangeOptions,
  ) {
    this.#options = options;
    this.#exchange = exchange;
  }

  /** Events that the caller has. */
  getEvents(): number {
    return this.#events;
  }

  /** Server of the last attempt; empty before the first one. */
  getServer(): string {
    return this.#server;
  }

  recordStart(
    { attempt, server }: {
      readonly attempt: number;
      readonly server: core.ServerInfo;
    },
    { resumeAfter }: { readonly resumeAfter: number | undefined },
  ): void {
    const now = this.#options.clock.now();
    const { head, route, request, table } = this.#exchange;
    this.#attempts += 1;
    this.#server = server.name;
    this.#sentAt = now;
    if (this.#startedAt === 0) this.#startedAt = now;
    this.#options.log.info({
      requestId: head.requestId,
      attempt,
      server: server.name,
      route: route.name,
      version: table.configuration.version,
      waitedMs: Math.round(now - request.arrivedAt),
      resumeAfter,
    }, "Attempt started.");
  }

  /** Records events, or a whole answer, that went to the caller. */
  recordEvents(count: number): void {
    if (this.#firstAt === 0) this.#firstAt = this.#options.clock.now();
    this.#events += count;
  }

  recordFailure(
    { attempt, server }: {
      readonly attempt: number;
      readonly server: core.ServerInfo;
    },
    { failure, reason }: {
      readonly failure: core.AttemptFailure;
      readonly reason: string;
    },
  ): void {
    this.#sentAt = undefined;
    this.#options.metrics.recordFailure(failure);
    this.#options.log.warn({
      requestId: this.#exchange.head.requestId,
      attempt,
      server: server.name,
      failure,
      reason,
      events: this.#events,
    }, "Attempt failed.");
  }

  /** Records that the caller closed its connection, and how late the host may have noticed. */
  recordLeft(loopDelayMs: number): void {
    const { clock, metrics } = this.#options;
    const stage = this.#getStage();
    metrics.recordLeft(stage);
    this.recordEnd("Caller left.", {
      stage,
      runningMs: this.#sentAt === undefined
        ? undefined
        : Math.round(clock.now() - this.#sentAt),
      loopDelayMs: Math.round(loopDelayMs),
    });
  }

  #getStage(): LeftStage {
    if (this.#sentAt === undefined) return "queued";
    return this.#events > 0 ? "answering" : "running";
  }

  /** Records that an attempt which was given up has let go of its server. */
  recordStopped({ attempt, server }: {
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
      queueMs: this.#startedAt - request.arrivedAt,
      firstTokenMs,
      totalMs: now - request.arrivedAt,
      betweenTokensMs,
      withinTarget: firstTokenMs <= route.targetMs,
    });
    this.recordEnd("Request answered.", { firstMs: Math.round(firstTokenMs) });
  }

  recordRefused(
    refusal: core.Refusal,
    { passedOn }: { readonly passedOn: number | undefined },
  ): void {
    this.#options.metrics.recordRefusal(refusal);
    const message = passedOn === undefined
      ? "Request refused."
      : "Failure passed on.";
    this.recordEnd(message, { ...refusal, status: passedOn });
  }

  /** Writes the line with which the request ends. */
  recordEnd(message: string, fields: object): void {
    const { clock, log } = this.#options;
    const { head, request, route } = this.#exchange;
    this.#endedAt = clock.now();
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
