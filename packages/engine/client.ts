/**
 * HTTP client that runs one attempt at a model engine. It checks the request
 * identifier and the attempt number of the response and forwards a stream in
 * complete events. A stream is complete only if its final event arrived.
 */
import * as eventsource from "eventsource-parser";
import * as undici from "undici";
import * as z from "zod";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as load from "./load.ts";

/** Header with the number of tokens that the caller already received. */
export const OFFSET_HEADER = "x-resume-offset";
/** Largest response that is no stream, in bytes; it is held until it is complete. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Data of the final event of a stream. */
export const FINAL_EVENT_DATA = "[DONE]";

/** Request that an attempt sends, with its limits. */
export interface EngineCall {
  readonly requestId: string;
  readonly attempt: number;
  readonly server: core.ServerInfo;
  readonly path: string;
  /** Body of the caller's request without the API key, with the priority added. */
  readonly body: string;
  readonly stream: boolean;
  readonly offset: number;
  /** Timeout for the response headers, in ms. */
  readonly firstByteMs: number;
  /** Timeout between two chunks of the response body, in ms. */
  readonly betweenMs: number;
  readonly signal: AbortSignal;
}

/** Receiver of the response. */
export interface EngineSink {
  /** Receives a complete response that is not a stream. */
  readonly onAnswer: (
    answer: { readonly status: number; readonly body: string },
  ) => void | Promise<void>;
  /** Receives the data of one or more events; the promise applies backpressure while the caller is slow. */
  readonly onEvents: (events: readonly string[]) => void | Promise<void>;
  readonly onLoad: (report: core.LoadReport) => void;
}

/** Outcome of an attempt. */
export type EngineOutcome =
  | { readonly kind: "whole"; readonly tokens: number }
  | { readonly kind: "failed"; readonly failure: core.AttemptFailure }
  | { readonly kind: "aborted" };

/**
 * Runs one attempt to its end. The promise never rejects.
 *
 * @example
 * const outcome = await runAttempt(agent, { call, sink });
 */
export async function runAttempt(
  agent: undici.Agent,
  { call, sink }: { readonly call: EngineCall; readonly sink: EngineSink },
): Promise<EngineOutcome> {
  try {
    const response = await undici.request(call.server.url + call.path, {
      dispatcher: agent,
      method: "POST",
      headers: buildHeaders(call),
      body: call.body,
      headersTimeout: call.firstByteMs,
      bodyTimeout: call.betweenMs,
      signal: call.signal,
    });
    return await readResponse(response, { call, sink });
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    return { kind: "failed", failure: utils.classifyTransportError(thrown) };
  }
}

function buildHeaders(call: EngineCall): Record<string, string> {
  return {
    "content-type": "application/json",
    [utils.REQUEST_ID_HEADER]: call.requestId,
    [utils.ATTEMPT_HEADER]: String(call.attempt),
    ...(call.offset > 0 ? { [OFFSET_HEADER]: String(call.offset) } : {}),
  };
}

async function readResponse(
  response: undici.Dispatcher.ResponseData,
  { call, sink }: { readonly call: EngineCall; readonly sink: EngineSink },
): Promise<EngineOutcome> {
  const header = (name: string) => response.headers[name] as string | undefined;
  const report = load.parseLoad(call.server.name, header(utils.LOAD_HEADER));
  if (report !== undefined) sink.onLoad(report);
  const identifiersMatch = header(utils.REQUEST_ID_HEADER) === call.requestId &&
    header(utils.ATTEMPT_HEADER) === String(call.attempt);
  if (!identifiersMatch) {
    response.body.destroy();
    return { kind: "failed", failure: "crossed" };
  }
  if (response.statusCode >= 500 || response.statusCode === 429) {
    await response.body.dump();
    const refused = header(utils.RAN_HEADER) === "no";
    return { kind: "failed", failure: refused ? "refused" : "server_error" };
  }
  if (call.stream && response.statusCode === 200) {
    return await readStream(response.body, { call, sink });
  }
  const body = await utils.readBoundedText(response.body, MAX_RESPONSE_BYTES);
  if (body === undefined) return { kind: "failed", failure: "server_error" };
  await sink.onAnswer({ status: response.statusCode, body });
  return { kind: "whole", tokens: readTokenUsage(body) };
}

/** The field of a response that counts what was generated. */
const USAGE = z.object({
  usage: z.object({ completion_tokens: z.number().int().nonnegative() }),
});

/** Returns the number of generated tokens; 0 if the response has no such field. */
function readTokenUsage(body: string): number {
  try {
    return USAGE.parse(JSON.parse(body)).usage.completion_tokens;
  } catch {
    return 0;
  }
}

async function readStream(
  body: AsyncIterable<Uint8Array>,
  { call, sink }: { readonly call: EngineCall; readonly sink: EngineSink },
): Promise<EngineOutcome> {
  const batch: string[] = [];
  const parser = eventsource.createParser({
    onEvent: (event) => batch.push(event.data),
  });
  const decoder = new TextDecoder();
  let tokens = 0;
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    const events = batch.splice(0);
    const done = events.at(-1) === FINAL_EVENT_DATA;
    const data = done ? events.slice(0, -1) : events;
    // Guards against forwarding an event of another stream: each event carries its request identifier.
    if (!data.every((event) => event.includes(call.requestId))) {
      return { kind: "failed", failure: "crossed" };
    }
    tokens += data.length;
    if (data.length > 0) await sink.onEvents(data);
    if (done) return { kind: "whole", tokens };
  }
  return { kind: "failed", failure: "connection_lost" };
}
