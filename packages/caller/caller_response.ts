/** HTTP responses to callers: refusals, complete responses and event streams. */
import type * as http from "node:http";
import * as core from "@banyangrade/core";

const STATUS_BY_CODE: Readonly<Record<core.RefusalCode, number>> = {
  bad_request: 400,
  not_authenticated: 401,
  not_allowed: 403,
  not_found: 404,
  too_large: 413,
  overloaded: 429,
  deadline_exceeded: 503,
  no_capacity: 503,
  draining: 503,
  key_withdrawn: 401,
  conflict: 409,
  origin_unknown: 503,
  poison_request: 422,
  suspect_request: 503,
  store_unavailable: 503,
  backend_failed: 502,
  internal_error: 500,
  cancelled: 499,
};

/**
 * Returns the HTTP status of a refusal.
 *
 * @example
 * getStatus(core.buildRefusal({ code: "overloaded", ran: "no" })); // 429
 */
export function getStatus(refusal: core.Refusal): number {
  return STATUS_BY_CODE[refusal.code];
}

/**
 * Formats a refusal as the JSON body of an error response.
 *
 * @example
 * formatRefusal(refusal); // '{"error":{"code":"overloaded",...}}'
 */
export function formatRefusal(refusal: core.Refusal): string {
  const { retryAfterMs, ...rest } = refusal;
  const retryAfter = retryAfterMs === undefined
    ? {}
    : { retryAfter: Math.ceil(retryAfterMs / 1_000) };
  return JSON.stringify({ error: { ...rest, ...retryAfter } });
}

/** Response to one request of a caller. */
export class CallerResponse {
  readonly #response: http.ServerResponse;

  constructor(response: http.ServerResponse) {
    this.#response = response;
  }

  /** Sets the request identifier header, by which operators find the request in the logs. */
  setRequestId(requestId: string): void {
    this.#response.setHeader("x-request-id", requestId);
  }

  /** Whether the response headers have been sent. */
  hasStarted(): boolean {
    return this.#response.headersSent;
  }

  isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded;
  }

  /** Invokes `callback` if the caller disconnects before the response is complete. */
  watchDisconnect(callback: () => void): void {
    this.#response.on("close", () => {
      if (!this.#response.writableFinished) callback();
    });
  }

  /** Sends a complete response. */
  send(
    answer: {
      readonly status: number;
      readonly headers: Readonly<Record<string, string | string[]>>;
      readonly body: string | Uint8Array;
    },
  ): void {
    if (this.isClosed() || this.hasStarted()) return;
    this.#response.writeHead(answer.status, {
      ...answer.headers,
      "content-length": Buffer.byteLength(answer.body),
    }).end(answer.body);
  }

  /**
   * Sends a refusal. A stream that has started ends with an error event and
   * without its final event, so that no caller takes it for a complete stream.
   */
  refuse(refusal: core.Refusal): void {
    if (this.isClosed()) return;
    const body = formatRefusal(refusal);
    if (this.hasStarted()) {
      this.#response.end(`event: error\ndata: ${body}\n\n`);
      return;
    }
    const seconds = Math.ceil((refusal.retryAfterMs ?? 0) / 1_000);
    this.#response.writeHead(getStatus(refusal), {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...(seconds > 0 ? { "retry-after": String(seconds) } : {}),
    }).end(body);
  }

  /** Sends events of a stream; the promise resolves when the caller can receive more. */
  async sendEvents(events: readonly string[]): Promise<void> {
    if (this.isClosed()) return;
    if (!this.hasStarted()) {
      this.#response.writeHead(200, {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
      });
    }
    const text = events.map((event) => `data: ${event}\n\n`).join("");
    if (this.#response.write(text)) return;
    await new Promise<void>((resolve) => {
      const resume = () => {
        this.#response.off("drain", resume);
        this.#response.off("close", resume);
        resolve();
      };
      this.#response.on("drain", resume);
      this.#response.on("close", resume);
    });
  }

  /** Ends a complete stream with its final event. */
  endStream(): void {
    if (!this.isClosed()) this.#response.end("data: [DONE]\n\n");
  }
}
