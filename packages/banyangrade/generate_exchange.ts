/** Runs one generation request from its arrival to its response, over all attempts. */
import * as undici from "undici";
import type * as caller from "@banyangrade/caller";
import type * as core from "@banyangrade/core";
import * as engine from "@banyangrade/engine";
import * as utils from "@banyangrade/utils";
import * as exchange from "./exchange.ts";

const PATHS = {
  chat: "/v1/chat/completions",
  completion: "/v1/completions",
} as const;

/** Options of {@link openGeneration}. */
export interface GenerationOptions {
  readonly agent: undici.Agent;
  readonly request: core.Request;
  readonly part: core.ClassPart;
  readonly api: "chat" | "completion";
  readonly stream: boolean;
  /** Request body, from which the caller's key was removed. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly answer: caller.CallerResponse;
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Opens a generation request at the dispatcher and runs it until it is answered, refused
 * or cancelled.
 *
 * @example
 * openGeneration(context, options);
 */
export function openGeneration(
  context: exchange.ExchangeContext,
  options: GenerationOptions,
): void {
  const { request, answer } = options;
  const requestId = request.id;
  const record = new exchange.ExchangeRecord(context, options);
  let currentController = new AbortController();

  async function runAttempt(effect: StartEffect): Promise<void> {
    const controller = new AbortController();
    currentController = controller;
    record.recordStart();
    const outcome = await engine.runAttempt(options.agent, {
      call: buildCall(effect, { options, signal: controller.signal }),
      sink: {
        onAnswer: (response) =>
          answer.send({
            status: response.status,
            headers: { "content-type": "application/json" },
            body: response.body,
          }),
        onEvents: (events) => forwardEvents(effect, { events, controller }),
        onLoad: (report) =>
          context.dispatch.send({ kind: "load_reported", report }),
      },
    });
    endAttempt(effect, outcome);
  }

  async function forwardEvents(
    effect: StartEffect,
    { events, controller }: {
      readonly events: readonly string[];
      readonly controller: AbortController;
    },
  ): Promise<void> {
    // Drops data that a stopped attempt had already received: the next attempt
    // sends those tokens again, from its offset.
    if (controller.signal.aborted) return;
    record.recordTokens(events.length);
    context.dispatch.send({
      kind: "progressed",
      requestId,
      attempt: effect.attempt,
      tokens: record.getTokens() - effect.offset,
    });
    await answer.sendEvents(events);
  }

  function endAttempt(
    effect: StartEffect,
    outcome: engine.EngineOutcome,
  ): void {
    switch (outcome.kind) {
      case "aborted":
        return;
      case "whole":
        exchange.finishRequest(context, {
          effect,
          tokens: effect.offset + outcome.tokens,
        });
        record.finish(effect.offset + outcome.tokens);
        if (options.stream) answer.endStream();
        return;
      case "failed":
        exchange.reportFailure(context, {
          effect,
          failure: outcome.failure,
          answerStarted: answer.hasStarted(),
          resumable: options.stream,
        });
    }
  }

  function fail(thrown: unknown): void {
    currentController.abort();
    const ran = record.hasStarted() ? "unknown" : "no";
    const failed = { requestId, thrown, ran } as const;
    const refusal = exchange.failRequest(context, failed);
    exchange.refuseCaller(context, { answer, refusal, requestId });
    record.abandon();
  }

  answer.watchDisconnect(() => {
    context.dispatch.send({ kind: "cancelled", requestId });
    context.dispatch.close(requestId);
    record.abandon();
  });
  context.dispatch.open(request, {
    onStart: (effect) => utils.runDetached(() => runAttempt(effect), fail),
    onError: fail,
    onStop: () => currentController.abort(),
    onRefuse: (refusal) => {
      exchange.refuseCaller(context, { answer, refusal, requestId });
      record.abandon();
    },
  });
}

function buildCall(
  effect: StartEffect,
  { options, signal }: {
    readonly options: GenerationOptions;
    readonly signal: AbortSignal;
  },
): engine.EngineCall {
  return {
    requestId: effect.request.id,
    attempt: effect.attempt,
    server: effect.server,
    path: PATHS[options.api],
    body: JSON.stringify({ ...options.body, priority: effect.request.tier }),
    stream: options.stream,
    offset: effect.offset,
    ...exchange.getResponseTimeouts(options.part, {
      repeatable: true,
      stream: options.stream,
    }),
    signal,
  };
}
