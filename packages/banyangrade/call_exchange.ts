/** One call of a plain service from its arrival to its answer, over all attempts. */
import * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as exchange from "./exchange.ts";

/** What is sent to the service. */
export interface CallOptions {
  readonly agent: undici.Agent;
  readonly request: core.Request;
  readonly part: core.ClassPart;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
  /** Calls back if whoever waits for the answer leaves. */
  readonly onLeft?: (callback: () => void) => void;
}

/** How the call ended. */
export type CallOutcome =
  | { readonly kind: "whole"; readonly answer: service.ServiceAnswer }
  | { readonly kind: "refused"; readonly refusal: core.Refusal }
  | { readonly kind: "left" };

type StartEffect = Extract<core.DispatchEffect, { kind: "start" }>;

/**
 * Runs a call through the dispatcher. Never rejects.
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
  let abort = new AbortController();

  return new Promise((resolve) => {
    async function runAttempt(effect: StartEffect): Promise<void> {
      const own = new AbortController();
      abort = own;
      record.recordStart();
      const outcome = await service.runCall(options.agent, {
        requestId,
        attempt: effect.attempt,
        server: effect.server,
        method: options.method,
        path: options.path,
        headers: options.headers,
        body: options.body,
        ...exchange.getPatience(options.part, {
          repeatable: options.request.repeatable,
          stream: true,
        }),
        signal: own.signal,
      });
      end(effect, outcome);
    }

    function end(effect: StartEffect, outcome: service.ServiceOutcome): void {
      switch (outcome.kind) {
        case "aborted":
          return;
        case "whole":
          exchange.closeFinished(context, { effect, tokens: 0 });
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

    // A call that may not be repeated is not stopped when its caller leaves:
    // stopping it could not take back what it did.
    if (options.request.repeatable) {
      options.onLeft?.(() => {
        context.dispatch.send({ kind: "cancelled", requestId });
        context.dispatch.close(requestId);
        resolve({ kind: "left" });
      });
    }
    context.dispatch.open(options.request, {
      onStart: (effect) => void runAttempt(effect),
      onStop: () => abort.abort(),
      onRefuse: (refusal) => resolve({ kind: "refused", refusal }),
    });
  });
}
