/**
 * One attempt at an engine. A stream is passed on in whole events; its request
 * identifier and attempt are checked, and it counts as whole only with its
 * closing event.
 */
import * as eventsource from "eventsource-parser";
import * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as load from "./load.ts";

/** Header that says how many tokens the caller already has. */
export const OFFSET_HEADER = "x-resume-offset";
/** Closing event of a stream. */
export const DONE = "[DONE]";

/** What an attempt sends. */
export interface EngineCall {
  readonly requestId: string;
  readonly attempt: number;
  readonly server: core.ServerInfo;
  readonly path: string;
  /** The caller's body without its key, with the priority added. */
  readonly body: string;
  readonly stream: boolean;
  readonly offset: number;
  /** Longest wait for the first byte, in ms. */
  readonly firstByteMs: number;
  /** Longest wait between two parts of the response, in ms. */
  readonly betweenMs: number;
  readonly signal: AbortSignal;
}

/** Where the answer goes. */
export interface EngineSink {
  /** Takes a whole answer that is not a stream. */
  readonly onAnswer: (
    answer: { readonly status: number; readonly body: string },
  ) => void | Promise<void>;
  /** Takes the data of one or more events; waits while the caller is slow. */
  readonly onEvents: (events: readonly string[]) => void | Promise<void>;
  readonly onLoad: (report: core.LoadReport) => void;
}

/** How an attempt ended. */
export type EngineOutcome =
  | { readonly kind: "whole"; readonly tokens: number }
  | { readonly kind: "failed"; readonly failure: core.AttemptFailure }
  | { readonly kind: "aborted" };

/**
 * Runs one attempt to its end. Never rejects.
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
    return await readAnswer(response, { call, sink });
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    return { kind: "failed", failure: utils.classifyThrown(thrown) };
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

async function readAnswer(
  response: undici.Dispatcher.ResponseData,
  { call, sink }: { readonly call: EngineCall; readonly sink: EngineSink },
): Promise<EngineOutcome> {
  const header = (name: string) => response.headers[name] as string | undefined;
  const report = load.parseLoad(call.server.name, header(utils.LOAD_HEADER));
  if (report !== undefined) sink.onLoad(report);
  const own = header(utils.REQUEST_ID_HEADER) === call.requestId &&
    header(utils.ATTEMPT_HEADER) === String(call.attempt);
  if (!own) {
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
  const body = await response.body.text();
  await sink.onAnswer({ status: response.statusCode, body });
  return { kind: "whole", tokens: readUsage(body) };
}

/** Returns the tokens generated according to the answer's own usage field. */
function readUsage(body: string): number {
  try {
    return Number(JSON.parse(body)?.usage?.completion_tokens ?? 0);
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
    const last = events.at(-1) === DONE;
    const data = last ? events.slice(0, -1) : events;
    // Another stream's event in this one is never passed on.
    if (!data.every((event) => event.includes(call.requestId))) {
      return { kind: "failed", failure: "crossed" };
    }
    tokens += data.length;
    if (data.length > 0) await sink.onEvents(data);
    if (last) return { kind: "whole", tokens };
  }
  return { kind: "failed", failure: "connection_lost" };
}
