/** HTTP client that runs one attempt of a plain service call. */
import * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Request that an attempt sends. */
export interface ServiceCall {
  readonly requestId: string;
  readonly attempt: number;
  readonly server: core.ServerInfo;
  readonly method: string;
  /** Path and query without the caller's API key. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Uint8Array;
  /** Timeout for the response headers, in ms. */
  readonly firstByteMs: number;
  readonly signal: AbortSignal;
}

/** A complete response. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** Outcome of an attempt. */
export type ServiceOutcome =
  | { readonly kind: "whole"; readonly answer: ServiceResponse }
  | { readonly kind: "failed"; readonly failure: core.AttemptFailure }
  | { readonly kind: "aborted" };

/** Maximum response size in bytes; a response is buffered until it is complete. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * Calls a plain service and buffers the complete response, so that a truncated
 * response is never forwarded as a complete one. The promise never rejects.
 *
 * @example
 * const outcome = await runCall(agent, call);
 */
export async function runCall(
  agent: undici.Agent,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  try {
    const response = await agent.request({
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
    return await readResponse(response, call);
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    return { kind: "failed", failure: utils.classifyTransportError(thrown) };
  }
}

async function readResponse(
  response: undici.Dispatcher.ResponseData,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  const id = response.headers[utils.REQUEST_ID_HEADER];
  const attempt = response.headers[utils.ATTEMPT_HEADER];
  // Services may omit the identifier and the attempt number; echoed values must match.
  const identifiersMatch = (id === undefined || id === call.requestId) &&
    (attempt === undefined || attempt === String(call.attempt));
  if (!identifiersMatch) {
    response.body.destroy();
    return { kind: "failed", failure: "crossed" };
  }
  const refused = response.headers[utils.RAN_HEADER] === "no";
  if (refused && (response.statusCode === 503 || response.statusCode === 429)) {
    await response.body.dump();
    return { kind: "failed", failure: "refused" };
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of response.body) {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) {
      return { kind: "failed", failure: "server_error" };
    }
    chunks.push(chunk);
  }
  return {
    kind: "whole",
    answer: {
      status: response.statusCode,
      headers: utils.filterHeaders(response.headers),
      body: Buffer.concat(chunks),
    },
  };
}
