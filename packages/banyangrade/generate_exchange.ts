/** One generation request from its arrival to its answer, over all attempts. */
import * as undici from "undici";
import type * as caller from "@banyangrade/caller";
import type * as core from "@banyangrade/core";
import * as engine from "@banyangrade/engine";
import * as exchange from "./exchange.ts";

const PATHS = {
  chat: "/v1/chat/completions",
  completion: "/v1/completions",
} as const;

/** What a generation exchange is made of. */
export interface GenerateOptions {
  readonly agent: undici.Agent;
  readonly request: core.Request;
  readonly part: core.ClassPart;
  readonly api: "chat" | "completion";
  readonly stream: boolean;
  /** The caller's body without its key. */
  readonly body: Readonly<Record<string, unknown>>;
  readonly answer: caller.CallerAnswer;
}

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Opens a generation request at the dispatcher and sees it to its end.
 *
 * @example
 * openGenerate(context, options);
 */
export function openGenerate(
  context: exchange.ExchangeContext,
  options: GenerateOptions,
): void {
  const { request, answer } = options;
  const requestId = request.id;
  const record = new exchange.ExchangeRecord(context, options);
  let abort = new AbortController();

  async function runAttempt(effect: StartEffect): Promise<void> {
    const own = new AbortController();
    abort = own;
    record.recordStart();
    const outcome = await engine.runAttempt(options.agent, {
      call: buildCall(effect, { options, signal: own.signal }),
      sink: {
        onAnswer: (whole) =>
          answer.send({
            status: whole.status,
            headers: { "content-type": "application/json" },
            body: whole.body,
          }),
        onEvents: (events) => passOn(effect, { events, own }),
        onLoad: (report) =>
          context.dispatch.send({ kind: "load_reported", report }),
      },
    });
    end(effect, outcome);
  }

  async function passOn(
    effect: StartEffect,
    { events, own }: {
      readonly events: readonly string[];
      readonly own: AbortController;
    },
  ): Promise<void> {
    // An attempt that was stopped may still have data under way; the next one
    // brings those tokens again from the offset.
    if (own.signal.aborted) return;
    record.recordTokens(events.length);
    context.dispatch.send({
      kind: "progressed",
      requestId,
      attempt: effect.attempt,
      tokens: record.getTokens() - effect.offset,
    });
    await answer.sendEvents(events);
  }

  function end(effect: StartEffect, outcome: engine.EngineOutcome): void {
    switch (outcome.kind) {
      case "aborted":
        return;
      case "whole":
        exchange.closeFinished(context, {
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

  answer.watchLeft(() => {
    context.dispatch.send({ kind: "cancelled", requestId });
    context.dispatch.close(requestId);
    record.abandon();
  });
  context.dispatch.open(request, {
    onStart: (effect) => void runAttempt(effect),
    onStop: () => abort.abort(),
    onRefuse: (refusal) => {
      exchange.refuseCaller(context, { answer, refusal, requestId });
      record.abandon();
    },
  });
}

function buildCall(
  effect: StartEffect,
  { options, signal }: {
    readonly options: GenerateOptions;
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
    ...exchange.getPatience(options.part, {
      repeatable: true,
      stream: options.stream,
    }),
    signal,
  };
}
