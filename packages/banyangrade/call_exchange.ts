/** Runs one call of a plain service from its arrival to its response, over all attempts. */
import * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";
import * as exchange from "./exchange.ts";

/** Options of {@link runCall}. */
export interface CallOptions {
  readonly agent: undici.Agent;
  readonly request: core.Request;
  readonly part: core.ClassPart;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
  /** Registers a callback for when the caller disconnects; undefined for an operation that another host forwarded. */
  readonly onDisconnect?: (callback: () => void) => void;
}

/** Outcome of a call. */
export type CallOutcome =
  | { readonly kind: "whole"; readonly answer: service.ServiceResponse }
  | { readonly kind: "refused"; readonly refusal: core.Refusal }
  | { readonly kind: "left" };

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Opens a call at the dispatcher and runs it until it is answered, refused or cancelled.
 * The promise never rejects.
 *
 * @example
 * const outcome = await runCall(context, options);
 */
export function runCall(
  context: exchange.ExchangeContext,
  options: CallOptions,
): Promise<CallOutcome> {
  const requestId = options.request.id;
  const record = new exchange.ExchangeRecord(context, options);
  let currentController = new AbortController();

  return new Promise((resolve) => {
    async function runAttempt(effect: StartEffect): Promise<void> {
      const controller = new AbortController();
      currentController = controller;
      record.recordStart();
      const outcome = await service.runCall(options.agent, {
        requestId,
        attempt: effect.attempt,
        server: effect.server,
        method: options.method,
        path: options.path,
        headers: options.headers,
        body: options.body,
        ...exchange.getResponseTimeouts(options.part, {
          repeatable: options.request.repeatable,
          stream: true,
        }),
        signal: controller.signal,
      });
      endAttempt(effect, outcome);
    }

    function endAttempt(
      effect: StartEffect,
      outcome: service.ServiceOutcome,
    ): void {
      switch (outcome.kind) {
        case "aborted":
          return;
        case "whole":
          exchange.finishRequest(context, { effect, tokens: 0 });
          record.finish(0);
          return resolve(outcome);
        case "failed":
          exchange.reportFailure(context, {
            effect,
            failure: outcome.failure,
            answerStarted: false,
            resumable: false,
          });
      }
    }

    function fail(thrown: unknown): void {
      currentController.abort();
      const ran = record.hasStarted() ? "unknown" : "no";
      const failed = { requestId, thrown, ran } as const;
      const refusal = exchange.failRequest(context, failed);
      resolve({ kind: "refused", refusal });
    }

    // A call that is not idempotent continues when its caller disconnects: stopping
    // it would not undo what it did.
    if (options.request.repeatable) {
      options.onDisconnect?.(() => {
        context.dispatch.send({ kind: "cancelled", requestId });
        context.dispatch.close(requestId);
        resolve({ kind: "left" });
      });
    }
    context.dispatch.open(options.request, {
      onStart: (effect) => utils.runDetached(() => runAttempt(effect), fail),
      onError: fail,
      onStop: () => currentController.abort(),
      onRefuse: (refusal) => resolve({ kind: "refused", refusal }),
    });
  });
}
