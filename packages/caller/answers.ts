/** Answers to callers: refusals, whole answers and streams. */
import type * as http from "node:http";
import * as core from "@banyangrade/core";

const STATUS: Readonly<Record<core.RefusalCode, number>> = {
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
  poison_request: 422,
  store_unavailable: 503,
  backend_failed: 502,
  cancelled: 499,
};

/**
 * Returns the HTTP status of a refusal.
 *
 * @example
 * getStatus(core.buildRefusal({ code: "overloaded", ran: "no" })); // 429
 */
export function getStatus(refusal: core.Refusal): number {
  return STATUS[refusal.code];
}

/**
 * Formats a refusal as the body that callers get.
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

/** One answer on its way to a caller. */
export class CallerAnswer {
  readonly #response: http.ServerResponse;

  constructor(response: http.ServerResponse) {
    this.#response = response;
  }

  /** Names the request in the answer's headers, for questions about it. */
  setRequestId(requestId: string): void {
    this.#response.setHeader("x-request-id", requestId);
  }

  /** Whether any byte of an answer has been written. */
  hasStarted(): boolean {
    return this.#response.headersSent;
  }

  isClosed(): boolean {
    return this.#response.destroyed || this.#response.writableEnded;
  }

  /** Calls back if the caller leaves before the answer is whole. */
  watchLeft(callback: () => void): void {
    this.#response.on("close", () => {
      if (!this.#response.writableFinished) callback();
    });
  }

  /** Sends a whole answer. */
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
   * Sends a refusal. A stream that has begun ends with an error event and
   * without its closing event, so that it cannot be taken for a whole answer.
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

  /** Sends events of a stream; waits while the caller is slow. */
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
      const done = () => {
        this.#response.off("drain", done);
        this.#response.off("close", done);
        resolve();
      };
      this.#response.on("drain", done);
      this.#response.on("close", done);
    });
  }

  /** Ends a whole stream. */
  endStream(): void {
    if (!this.isClosed()) this.#response.end("data: [DONE]\n\n");
  }
}
