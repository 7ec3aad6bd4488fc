/**
 * Tells answers from what only looks like one, for all HTTP clients of the product.
 *
 * An answer whose head has no length ends with its connection. The HTTP client takes
 * any end for that, also a reset, and also one that comes while the request is still
 * being written. It accepts heads of other versions of HTTP, statuses that do not
 * exist, and transfer codings that it does not decode; and it refuses sound answers that
 * an interim one comes before.
 */
import type * as net from "node:net";
import type * as undici from "undici";

/** Longest head that is read with the interim ones before it, in bytes; several times what the HTTP client accepts. */
const MAX_HEAD_BYTES = 64 * 1024;
const HEAD_END = "\r\n\r\n";
/** Statuses are 100 to 599 (RFC 9110, 15), the major version is 1 (RFC 9112, 2.3). */
const STATUS_LINE = /^HTTP\/1\.(\d) ([1-5]\d\d)(?: |$)/;
const TRANSFER_CODING = /\r\ntransfer-encoding:([^\r\n]*)/gi;
const LENGTH = /\r\ncontent-length:/i;

const HTTP_SWITCHING_PROTOCOLS = 101;
const HTTP_OK = 200;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;

/** What a head says about the body that follows. */
export type AnswerHead =
  /** Another head follows. */
  | { readonly kind: "interim" }
  /** The end of the body is marked, or there is none. */
  | { readonly kind: "delimited" }
  /** The body ends with the connection. */
  | { readonly kind: "until_end" }
  | { readonly kind: "flawed"; readonly reason: string };

/**
 * Reads the head of an answer to a request with a given method; the text ends before
 * the blank line.
 *
 * @example
 * readHead("HTTP/1.1 200 OK\r\ncontent-length: 4", "GET"); // { kind: "delimited" }
 */
export function readHead(head: string, method: string): AnswerHead {
  const [line] = head.split("\r\n", 1);
  const [, minor, statusText] = STATUS_LINE.exec(line) ?? [];
  const status = Number(statusText);
  if (minor === undefined || status === HTTP_SWITCHING_PROTOCOLS) {
    return { kind: "flawed", reason: "The answer is none in HTTP/1." };
  }
  if (status < HTTP_OK) return { kind: "interim" };
  const codings = [...head.matchAll(TRANSFER_CODING)].map(([, value]) =>
    value.trim().toLowerCase()
  );
  const hasLength = LENGTH.test(head);
  if (codings.length > 0) {
    // Requests offer no other coding, and HTTP/1.0 has none (RFC 9112, 6.1).
    const isChunked = codings.length === 1 && codings[0] === "chunked" &&
      minor !== "0" && !hasLength;
    return isChunked ? { kind: "delimited" } : {
      kind: "flawed",
      reason: "The answer has an unknown transfer coding.",
    };
  }
  const hasBody = method !== "HEAD" && status !== HTTP_NO_CONTENT &&
    status !== HTTP_NOT_MODIFIED;
  return { kind: hasBody && !hasLength ? "until_end" : "delimited" };
}

/**
 * Whether a connection whose end was read may have been cut. Node.js reports a reset
 * that arrives together with data as an end; a write of no bytes fails then, unless it
 * has to wait behind bytes that are still to be written. An end that comes before
 * those proves nothing either.
 *
 * @example
 * socket.on("end", () => { if (hasEndedEarly(socket)) resets += 1; });
 */
export function hasEndedEarly(socket: net.Socket): boolean {
  if (socket.destroyed || socket.writableEnded) return false;
  if (socket.writableLength > 0) return true;
  socket.write(Buffer.alloc(0));
  return socket.errored !== null;
}

/** What becomes of bytes that begin with a head. */
type HeadOutcome =
  /** They reach the HTTP client. */
  | { readonly kind: "passed"; readonly bytes: Buffer }
  /** They wait for the end of the head. */
  | { readonly kind: "held"; readonly bytes: Buffer }
  | { readonly kind: "flawed"; readonly reason: string };

/** A call of the HTTP client to the handler of a request. */
interface InterceptedCall {
  /** Method of the request. */
  readonly method: string;
  readonly name: string | symbol;
  readonly values: readonly unknown[];
}

/** Checks the answers on the connections of one client, which runs one request at a time. */
export class AnswerCheck {
  /** Bytes of a head that is not complete; undefined while none is expected. */
  #unread: Buffer | undefined;
  /** Bytes of the interim answers that were left out. */
  #interimBytes = 0;
  #head: AnswerHead = { kind: "delimited" };
  #method = "GET";
  #isCut = false;

  /** Checks what is read from a new connection. */
  watchSocket(socket: net.Socket): void {
    this.#isCut = false;
    const { read } = socket;
    socket.read = (size) => {
      const chunk = read.call(socket, size);
      if (chunk === null || this.#unread === undefined) return chunk;
      const outcome = this.#readHeads(Buffer.concat([this.#unread, chunk]));
      switch (outcome.kind) {
        case "passed":
          this.#unread = undefined;
          return outcome.bytes;
        case "held":
          this.#unread = outcome.bytes;
          return null;
        case "flawed":
          socket.destroy(new Error(outcome.reason));
          return null;
      }
    };
    socket.on("error", () => {
      this.#isCut = true;
    }).on("end", () => {
      if (hasEndedEarly(socket)) this.#isCut = true;
    });
  }

  /** Checks the answer to a request, for a handler of either interface of the HTTP client. */
  watchHandler(
    method: string,
    handler: undici.Dispatcher.DispatchHandler,
  ): undici.Dispatcher.DispatchHandler {
    return new Proxy(handler, {
      get: (target, name) => {
        const member: unknown = Reflect.get(target, name);
        if (typeof member !== "function") return member;
        return (...values: unknown[]) =>
          this.#handleCall(target, { method, name, values })
            ? undefined
            : Reflect.apply(member, target, values);
      },
    });
  }

  /** Handles a call of the HTTP client; returns whether it must not reach the handler. */
  #handleCall(
    target: undici.Dispatcher.DispatchHandler,
    { method, name, values }: InterceptedCall,
  ): boolean {
    switch (name) {
      case "onConnect":
      case "onRequestStart":
        this.#startAnswer(method);
        return false;
      case "onHeaders":
      case "onResponseStart":
        this.#checkRead(values);
        return false;
      case "onComplete":
        if (!this.#isCutShort()) return false;
        target.onError?.(buildCutError());
        return true;
      case "onResponseEnd": {
        if (!this.#isCutShort()) return false;
        const [controller] = values;
        target.onResponseError?.(
          controller as undici.Dispatcher.DispatchController,
          buildCutError(),
        );
        return true;
      }
      default:
        return false;
    }
  }

  #startAnswer(method: string): void {
    this.#method = method;
    this.#head = { kind: "interim" };
    this.#unread = Buffer.alloc(0);
    this.#interimBytes = 0;
  }

  /** Guards against a head that the HTTP client takes for complete and this check does not. */
  #checkRead(values: readonly unknown[]): void {
    const status = values.find((value) => typeof value === "number");
    const isFinal = typeof status === "number" && status >= HTTP_OK;
    if (isFinal && this.#head.kind === "interim") {
      throw new Error("The head of the answer has no blank line.");
    }
  }

  /** Whether the answer ends with the connection, and this was cut. */
  #isCutShort(): boolean {
    return this.#head.kind === "until_end" && this.#isCut;
  }

  /**
   * Reads the heads that are complete. Interim ones are left out, because the HTTP
   * client takes a 100 that it has not asked for as an error (RFC 9110, 15.2).
   */
  #readHeads(unread: Buffer): HeadOutcome {
    let bytes = unread;
    for (;;) {
      const end = bytes.indexOf(HEAD_END);
      const headBytes = end < 0 ? bytes.length : end;
      if (this.#interimBytes + headBytes > MAX_HEAD_BYTES) {
        return {
          kind: "flawed",
          reason: "The head of the answer is too long.",
        };
      }
      if (end < 0) return { kind: "held", bytes };
      this.#head = readHead(bytes.toString("latin1", 0, end), this.#method);
      switch (this.#head.kind) {
        case "interim":
          this.#interimBytes += end + HEAD_END.length;
          bytes = bytes.subarray(end + HEAD_END.length);
          break;
        case "flawed":
          return this.#head;
        case "delimited":
        case "until_end":
          return { kind: "passed", bytes };
      }
    }
  }
}

function buildCutError(): Error {
  return new Error(
    "The answer has no length, and its connection was cut before its end.",
  );
}
