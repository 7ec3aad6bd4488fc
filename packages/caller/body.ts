/**
 * Reads request bodies of callers within size limits, and discards the rest of a
 * body after an early response.
 */
import type * as http from "node:http";
import * as listener from "@banyangrade/listener";

/** Reason why a body was refused. */
export type BodyRefusal = "too_large" | "overloaded";

/** Memory budget for the buffered bodies of all requests of this host. */
export interface BodyBudget {
  /** Buffered bytes. */
  used: number;
  /** Maximum number of buffered bytes. */
  readonly limit: number;
}

/** Options of {@link readBody}. */
export interface ReadOptions {
  /** Maximum body size, in bytes. */
  readonly limit: number;
  readonly budget: BodyBudget;
}

/**
 * Reads a body. Its bytes count against the budget until the response is closed,
 * so that many callers with large bodies cannot exhaust the memory.
 *
 * @example
 * const body = await readBody({ request, response }, { limit, budget });
 */
export async function readBody(
  { request, response }: {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
  },
  { limit, budget }: ReadOptions,
): Promise<Buffer | BodyRefusal> {
  if (Number(request.headers["content-length"] ?? 0) > limit) {
    return "too_large";
  }
  const body = new listener.BodyBuffer();
  let size = 0;
  response.once("close", () => {
    budget.used -= size;
  });
  // `destroyOnReturn: false` keeps the connection open, so that a refusal can still be sent after an early return.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    const { length } = chunk as Buffer;
    if (size + length > limit) return "too_large";
    if (budget.used + length > budget.limit) return "overloaded";
    size += length;
    budget.used += length;
    body.add(chunk as Buffer);
  }
  return body.build();
}

/**
 * Discards the rest of a body after an early response.
 *
 * Closing the connection while the caller is still sending would reset it. The
 * caller's kernel then drops the response, and the caller sees a connection
 * error instead of the refusal. Reading on lets the response arrive and keeps the
 * connection usable for the next request. The connection is closed after more
 * than `limit` bytes; the request timeout of Node.js limits the time.
 *
 * @example
 * dropBody(request, 16 * 1024 * 1024);
 */
export function dropBody(
  request: http.IncomingMessage,
  limit: number,
): void {
  let remaining = limit;
  request.on("data", (chunk: Buffer) => {
    remaining -= chunk.length;
    if (remaining < 0) request.destroy();
  });
  request.resume();
}
