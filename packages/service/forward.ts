/**
 * Runs one attempt to forward a caller's request unchanged to a backend server.
 * A plain response is buffered until it is complete, so that a truncated response
 * is never forwarded as a complete one. A stream is forwarded in complete events.
 */
import type * as undici from "undici";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as connections from "./connections.ts";
import * as eventSplitter from "./event_splitter.ts";
import * as inactivityWatch from "./inactivity_watch.ts";
import * as sendGate from "./send_gate.ts";
import * as unreadWatch from "./unread_watch.ts";

/** Metadata that the platform adds to the response headers. */
export interface ResponseMetadata {
  /** Request identifier that the server echoes. */
  readonly requestId: string | undefined;
  /** Whether the server states that it did not execute the request. */
  readonly notRun: boolean;
  /** Whether the response comes from another server than the addressed one, which did not execute the request either. */
  readonly misdirected: boolean;
  /** Whether the headers prove that the server itself sent the response, not an intermediary. */
  readonly genuine: boolean;
  readonly signals: core.ServerSignals;
}

/** Headers of a forwarded message. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** Request that an attempt sends, with its limits. */
export interface ForwardCall {
  readonly connections: connections.ServerConnections;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Headers;
  readonly body: Buffer;
  /** Whether a successful response is an event stream. */
  readonly stream: boolean;
  /** Identifier of the last event that the caller received; -1 if none. */
  readonly lastEventId: number;
  readonly inactivityLimits: inactivityWatch.InactivityLimits;
  readonly readResponseMetadata: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => ResponseMetadata;
  readonly signal: AbortSignal;
  /**
   * Whether a server is not to blame for what happens while the host does not
   * read its stream because the caller is slow: the inactivity limit is
   * suspended, and an end of the connection counts as "unread".
   * @default false
   */
  readonly toleratesUnread?: boolean;
}

/** A complete response. */
export interface ForwardedResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

/** Receiver of a stream. */
export interface ForwardSink {
  /**
   * Receives the metadata of each response, whatever its outcome, before any part
   * of it is forwarded. @default ignored
   */
  readonly onMetadata?: (
    metadata: ResponseMetadata & { readonly status: number },
  ) => void;
  /**
   * Receives the size of each part of a plain response that is held until it is
   * complete; returns whether the host may hold more of it. @default it may
   */
  readonly onHeld?: (bytes: number) => boolean;
  /** Receives complete events unchanged; the promise applies backpressure while the caller is slow. */
  readonly onEvents: (
    batch: EventBatch,
  ) => void | Promise<void>;
}

/** Complete events of a stream. */
export interface EventBatch {
  readonly bytes: Buffer;
  readonly count: number;
  readonly lastEventId: number;
  /** Status and headers of the response that contains the events. */
  readonly head: Omit<ForwardedResponse, "body">;
}

/** Outcome of an attempt. */
export type ForwardOutcome =
  | { readonly kind: "whole"; readonly answer: ForwardedResponse }
  | {
    readonly kind: "streamed";
    readonly events: number;
    /** Status and headers of the response, for a stream without events. */
    readonly head: Omit<ForwardedResponse, "body">;
  }
  | {
    readonly kind: "failed";
    readonly failure: core.AttemptFailure;
    /** Whether nothing listens at the server's address. @default false */
    readonly refused?: boolean;
    /** Complete error response of the server, which is forwarded if there is no further attempt. */
    readonly answer?: ForwardedResponse;
    readonly reason: string;
  }
  | { readonly kind: "aborted" };

/** Maximum size of a buffered response, in bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Bytes that are buffered of a stream whose caller is slow; the default of 64 KB is much for a small host with many slow callers. */
const STREAM_BUFFER_BYTES = 16 * 1024;

/**
 * Runs one attempt to its end. The promise never rejects.
 *
 * @example
 * const outcome = await forwardRequest(call, { onEvents });
 */
export async function forwardRequest(
  call: ForwardCall,
  sink: ForwardSink,
): Promise<ForwardOutcome> {
  const watch = inactivityWatch.watchInactivity(call);
  const unread = new unreadWatch.UnreadWatch();
  // A reset that arrives together with the head is counted before the head is passed on.
  const resetsBefore = call.connections.countResets();
  try {
    const response = await call.connections.dispatcher.request({
      method: call.method as undici.Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers as Record<string, string | string[]>,
      body: call.body.length === 0 ? null : call.body,
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(call.stream && call.toleratesUnread &&
        { highWaterMark: STREAM_BUFFER_BYTES }),
      signal: watch.signal,
    });
    watch.recordReceived();
    const outcome = await readResponse(response, {
      call,
      sink,
      watch,
      unread,
    });
    const isReset = !isFramed(response.headers) &&
      call.connections.countResets() > resetsBefore;
    return isReset ? failReset(outcome) : outcome;
  } catch (thrown) {
    if (call.signal.aborted) return { kind: "aborted" };
    if (watch.signal.aborted) {
      const reason = "The server sent no data within the inactivity limit.";
      return { kind: "failed", failure: "timeout", reason };
    }
    const reason = utils.getErrorMessage(thrown);
    if (sendGate.isWithheld(thrown)) {
      return { kind: "failed", failure: "withheld", reason };
    }
    const failure = utils.classifyTransportError(thrown);
    const isUnread = failure === "connection_lost" && call.toleratesUnread &&
      unread.isEndUnread();
    return {
      kind: "failed",
      failure: isUnread ? "unread" : failure,
      ...(utils.isRefusedConnection(thrown) && { refused: true }),
      reason,
    };
  } finally {
    watch.stop();
    unread.stop();
  }
}

/** Whether the headers delimit the body; otherwise the body ends when the server closes the connection. */
function isFramed(headers: undici.Dispatcher.ResponseData["headers"]): boolean {
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

/**
 * Turns a successful response that ended by a reset into a failure. A response
 * without a content length and without chunked encoding ends when the server
 * closes the connection, and the HTTP client takes a reset for the same, so the
 * caller would receive a truncated response as a complete one. A reset of another
 * connection to the same server counts too, because it may have crashed.
 */
function failReset(outcome: ForwardOutcome): ForwardOutcome {
  switch (outcome.kind) {
    case "whole":
    case "streamed":
      return {
        kind: "failed",
        failure: "connection_lost",
        reason:
          "The response has no length, and a connection to the server was reset before its end.",
      };
    case "failed":
    case "aborted":
      return outcome;
  }
}

interface Exchange {
  readonly call: ForwardCall;
  readonly sink: ForwardSink;
  readonly watch: inactivityWatch.InactivityWatch;
  readonly unread: unreadWatch.UnreadWatch;
}

async function readResponse(
  response: undici.Dispatcher.ResponseData,
  { call, sink, watch, unread }: Exchange,
): Promise<ForwardOutcome> {
  const { statusCode: status, headers } = response;
  const marks = call.readResponseMetadata(status, headers);
  sink.onMetadata?.({ ...marks, status });
  const failure = findHeadFailure(response, { call, marks });
  if (failure !== undefined) {
    // Destroys the connection too, since further data on it belongs to no request.
    response.body.on("error", () => undefined).destroy();
    return { kind: "failed", ...failure };
  }
  const forwardedHeaders = utils.removeHopByHopHeaders(headers);
  if (call.stream && status === 200) {
    return await readStream(response.body, {
      call,
      sink,
      watch,
      unread,
      head: { status, headers: forwardedHeaders },
    });
  }
  const body = await readBody(response.body, sink);
  if (body === undefined) {
    const reason =
      "The response exceeds the size limit, or all responses together do.";
    return { kind: "failed", failure: "server_error", reason };
  }
  const forwarded = { status, headers: forwardedHeaders, body };
  if (status < 500) return { kind: "whole", answer: forwarded };
  const reason = `The server responded with status ${status}.`;
  return { kind: "failed", failure: "server_error", answer: forwarded, reason };
}

/** Returns the failure that the status and headers show regardless of the body; undefined if there is none. */
function findHeadFailure(
  { statusCode, headers }: undici.Dispatcher.ResponseData,
  { call, marks }: {
    readonly call: ForwardCall;
    readonly marks: ResponseMetadata;
  },
):
  | { readonly failure: core.AttemptFailure; readonly reason: string }
  | undefined {
  // A faulty server may send a second response where the next one is expected. Only
  // the identifier tells it from the response, so without it no status is believed.
  if (marks.requestId !== call.requestId) {
    const reason = marks.requestId === undefined
      ? "The response carries no request's identifier."
      : "The response carries the identifier of another request.";
    return { failure: "crossed", reason };
  }
  if (marks.misdirected) {
    const reason = "Another server answered at the address.";
    return { failure: "misdirected", reason };
  }
  if (marks.notRun) {
    const reason = `The server refused the request with status ${statusCode}.`;
    return { failure: "refused", reason };
  }
  const encoded = headers["content-encoding"] !== undefined;
  if (statusCode < 300 && (encoded || !marks.genuine)) {
    const reason =
      "The response is content-encoded or does not prove that the server sent it.";
    return { failure: "server_error", reason };
  }
  return undefined;
}

async function readBody(
  body: AsyncIterable<Buffer>,
  { onHeld }: Pick<ForwardSink, "onHeld">,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) return undefined;
    if (onHeld?.(chunk.length) === false) return undefined;
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

async function readStream(
  body: AsyncIterable<Buffer>,
  { call, sink, watch, unread, head }: Exchange & {
    readonly head: Omit<ForwardedResponse, "body">;
  },
): Promise<ForwardOutcome> {
  const splitter = new eventSplitter.EventSplitter(call.lastEventId);
  let events = 0;
  unread.recordReading(0);
  for await (const chunk of body) {
    watch.recordReceived();
    unread.recordReceived();
    const complete = splitter.append(chunk);
    switch (complete.kind) {
      case "out_of_order": {
        const reason =
          "The identifier of an event is not greater than the preceding one.";
        return { kind: "failed", failure: "crossed", reason };
      }
      case "no_event": {
        const reason = "The stream goes on without events.";
        return { kind: "failed", failure: "server_error", reason };
      }
      case "events":
        break;
    }
    if (complete.count === 0) {
      unread.recordReading(0);
      continue;
    }
    events += complete.count;
    const writtenAt = performance.now();
    if (call.toleratesUnread) watch.setUnread(true);
    await sink.onEvents({ ...complete, head });
    if (call.toleratesUnread) watch.setUnread(false);
    unread.recordReading(performance.now() - writtenAt);
    if (call.signal.aborted) return { kind: "aborted" };
  }
  if (!splitter.isComplete()) {
    const reason = "The stream ended in the middle of an event.";
    return { kind: "failed", failure: "connection_lost", reason };
  }
  return { kind: "streamed", events, head };
}
