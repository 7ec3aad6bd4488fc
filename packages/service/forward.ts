/**
 * One attempt to pass a caller's request on to a backend server as it came.
 * A plain answer is held until it is whole, so that a cut one never passes for
 * a whole one; a stream is passed on in whole events.
 */
import type * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as connections from "./connections.ts";
import * as eventBlocks from "./event_blocks.ts";
import * as silenceWatch from "./silence_watch.ts";

/** What an answer's head says beyond HTTP. */
export interface AnswerMarks {
  /** Identifier of the request that it answers, as the server echoes it. */
  readonly requestId: string | undefined;
  /** The server says that it did not run the request. */
  readonly notRun: boolean;
  /** It bears the server's own mark, so it is no intermediary's answer. */
  readonly genuine: boolean;
}

/** Headers as they are passed on. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** What an attempt sends. */
export interface ForwardCall {
  readonly connections: connections.ServerConnections;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer;
  /** Whether a success is a stream of events. */
  readonly stream: boolean;
  /** Identifier of the last event that the caller has; -1 before the first. */
  readonly lastEventId: number;
  readonly silence: silenceWatch.SilenceLimits;
  readonly readMarks: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => AnswerMarks;
  readonly signal: AbortSignal;
}

/** A whole answer, or the head of a stream. */
export interface ForwardedAnswer {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

/** Where a stream goes. */
export interface ForwardSink {
  /** Takes whole events as they came; waits while the caller is slow. */
  readonly onEvents: (
    batch: EventBatch,
  ) => void | Promise<void>;
}

/** Whole events of a stream. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: number;
  /** Head of the answer that they belong to. */
  readonly head: Omit<ForwardedAnswer, "body">;
}

/** How an attempt ended. */
export type ForwardOutcome =
  | { readonly kind: "whole"; readonly answer: ForwardedAnswer }
  | {
    readonly kind: "streamed";
    readonly events: number;
    /** Head of the answer, for a stream that brought no event. */
    readonly head: Omit<ForwardedAnswer, "body">;
  }
  | {
    readonly kind: "failed";
    readonly failure: core.AttemptFailure;
    /** The server's own whole answer, to be passed on if nothing else is tried. */
    readonly answer?: ForwardedAnswer;
    readonly reason: string;
  }
  | { readonly kind: "aborted" };

/** Largest answer in bytes that is held until it is whole. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/**
 * Runs one attempt to its end. Never rejects.
 *
 * @example
 * const outcome = await forwardRequest(call, { onEvents });
 */
export async function forwardRequest(
  call: ForwardCall,
  sink: ForwardSink,
): Promise<ForwardOutcome> {
  const watch = silenceWatch.watchSilence(call);
  try {
    const answer = await call.connections.dispatcher.request({
      method: call.method as undici.Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers as Record<string, string | string[]>,
      body: call.body.length === 0 ? null : call.body,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: watch.signal,
    });
    watch.recordHeard();
    const outcome = await readAnswer(answer, { call, sink, watch });
    return isFramed(answer.headers) ? outcome : buildUnproved(outcome);
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    if (watch.signal.aborted) {
      const reason = "The server kept silent for too long.";
      return { kind: "failed", failure: "timeout", reason };
    }
    const reason = utils.readMessage(thrown);
    return { kind: "failed", failure: utils.classifyThrown(thrown), reason };
  } finally {
    watch.stop();
  }
}

/** Whether an answer says where it ends; else it ends with its connection. */
function isFramed(headers: undici.Dispatcher.ResponseData["headers"]): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Takes back a success that has neither a length nor chunks. It ends with its
 * connection, and the connection of a server that crashes may be closed in
 * order too, so a caller would get the first part of a booking's answer as all
 * of it.
 */
function buildUnproved(outcome: ForwardOutcome): ForwardOutcome {
  switch (outcome.kind) {
    case "whole":
    case "streamed":
      return {
        kind: "failed",
        failure: "connection_lost",
        reason: "The answer does not say where it ends.",
      };
    case "failed":
    case "aborted":
      return outcome;
  }
}

interface Exchange {
  readonly call: ForwardCall;
  readonly sink: ForwardSink;
  readonly watch: silenceWatch.SilenceWatch;
}

async function readAnswer(
  answer: undici.Dispatcher.ResponseData,
  { call, sink, watch }: Exchange,
): Promise<ForwardOutcome> {
  const { statusCode: status, headers } = answer;
  const marks = call.readMarks(status, headers);
  const failure = findFlaw(answer, { call, marks });
  if (failure !== undefined) {
    // The connection is finished too: what else comes on it is nobody's.
    answer.body.on("error", () => undefined).destroy();
    return { kind: "failed", ...failure };
  }
  const passed = utils.dropHopHeaders(headers);
  if (call.stream && status === 200) {
    return await readStream(answer.body, {
      call,
      sink,
      watch,
      head: { status, headers: passed },
    });
  }
  const body = await readWhole(answer.body);
  if (body === undefined) {
    const reason = "The answer is too large.";
    return { kind: "failed", failure: "server_error", reason };
  }
  const whole = { status, headers: passed, body };
  if (status < 500) return { kind: "whole", answer: whole };
  const reason = `The server answered with status ${status}.`;
  return { kind: "failed", failure: "server_error", answer: whole, reason };
}

/** Finds what makes an answer unusable whatever its body is. */
function findFlaw(
  { statusCode, headers }: undici.Dispatcher.ResponseData,
  { call, marks }: { readonly call: ForwardCall; readonly marks: AnswerMarks },
):
  | { readonly failure: core.AttemptFailure; readonly reason: string }
  | undefined {
  if (marks.requestId !== undefined && marks.requestId !== call.requestId) {
    const reason = "The answer belongs to another request.";
    return { failure: "crossed", reason };
  }
  if (marks.notRun) {
    const reason = `The server refused with status ${statusCode}.`;
    return { failure: "refused", reason };
  }
  const encoded = headers["content-encoding"] !== undefined;
  const owned = marks.requestId === call.requestId && marks.genuine;
  if (statusCode < 300 && (encoded || !owned)) {
    const reason = "The answer is not the server's own.";
    return { failure: "server_error", reason };
  }
  return undefined;
}

async function readWhole(
  body: AsyncIterable<Buffer>,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

async function readStream(
  body: AsyncIterable<Buffer>,
  { call, sink, watch, head }: Exchange & {
    readonly head: Omit<ForwardedAnswer, "body">;
  },
): Promise<ForwardOutcome> {
  const blocks = new eventBlocks.EventBlocks(call.lastEventId);
  let events = 0;
  for await (const chunk of body) {
    watch.recordHeard();
    const taken = blocks.take(chunk);
    if (taken === undefined) {
      const reason = "An event is out of order.";
      return { kind: "failed", failure: "crossed", reason };
    }
    if (taken.count === 0) continue;
    events += taken.count;
    await sink.onEvents({ ...taken, head });
    if (call.signal.aborted) return { kind: "aborted" };
  }
  if (!blocks.isComplete()) {
    const reason = "The stream ended within an event.";
    return { kind: "failed", failure: "connection_lost", reason };
  }
  return { kind: "streamed", events, head };
}
