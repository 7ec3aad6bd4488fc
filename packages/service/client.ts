/** One attempt at a plain service. */
import * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** What an attempt sends. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attempt: number;
  readonly server: core.ServerInfo;
  readonly method: string;
  /** Path and query without the caller's key. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
  /** Longest wait for the answer's first byte, in ms. */
  readonly firstByteMs: number;
  readonly signal: AbortSignal;
}

/** A whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** How an attempt ended. */
export type ServiceOutcome =
  | { readonly kind: "whole"; readonly answer: ServiceAnswer }
  | { readonly kind: "failed"; readonly failure: core.AttemptFailure }
  | { readonly kind: "aborted" };

/** Largest answer of a plain service in bytes; it is held until it is whole. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Calls a plain service and waits for the whole answer, so that a cut one is
 * never passed on as if it were whole. Never rejects.
 *
 * @example
 * const outcome = await runCall(agent, call);
 */
export async function runCall(
  agent: undici.Agent,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  try {
    const answer = await agent.request({
      origin: call.server.url,
      path: call.path,
      method: call.method as undici.Dispatcher.HttpMethod,
      headers: {
        ...call.headers,
        [utils.REQUEST_ID_HEADER]: call.requestId,
        [utils.ATTEMPT_HEADER]: String(call.attempt),
      },
      body: call.body.length === 0 ? null : call.body,
      headersTimeout: call.firstByteMs,
      signal: call.signal,
    });
    return await readAnswer(answer, call);
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    return { kind: "failed", failure: utils.classifyThrown(thrown) };
  }
}

async function readAnswer(
  answer: undici.Dispatcher.ResponseData,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  const id = answer.headers[utils.REQUEST_ID_HEADER];
  const attempt = answer.headers[utils.ATTEMPT_HEADER];
  // A service that does not echo them cannot be checked; one that does must match.
  const own = (id === undefined || id === call.requestId) &&
    (attempt === undefined || attempt === String(call.attempt));
  if (!own) {
    answer.body.destroy();
    return { kind: "failed", failure: "crossed" };
  }
  const refused = answer.headers[utils.RAN_HEADER] === "no";
  if (refused && (answer.statusCode === 503 || answer.statusCode === 429)) {
    await answer.body.dump();
    return { kind: "failed", failure: "refused" };
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of answer.body) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) {
      return { kind: "failed", failure: "server_error" };
    }
    chunks.push(chunk);
  }
  return {
    kind: "whole",
    answer: {
      status: answer.statusCode,
      headers: utils.filterHeaders(answer.headers),
      body: Buffer.concat(chunks),
    },
  };
}
