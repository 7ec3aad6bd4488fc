/**
 * Bodies of callers' requests: read within bounds, or discarded within bounds
 * after an early answer.
 */
import type * as http from "node:http";

/** Why a body was not taken. */
export type BodyRefusal = "too_large" | "overloaded";

/** Bodies that are held in memory now, over all requests of this host. */
export interface BodyBudget {
  /** Bytes held. */
  used: number;
  /** Most bytes to hold. */
  readonly limit: number;
}

/** Options of {@link readBody}. */
export interface ReadOptions {
  /** Longest body, in bytes. */
  readonly limit: number;
  readonly budget: BodyBudget;
}

/**
 * Reads a body. What it holds counts against the budget until the response is
 * closed, so that many callers with large bodies cannot exhaust the memory.
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
  const chunks: Buffer[] = [];
  let size = 0;
  response.once("close", () => {
    budget.used -= size;
  });
  // Without this the early return would reset the connection before the answer.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    const { length } = chunk as Buffer;
    if (size + length > limit) return "too_large";
    if (budget.used + length > budget.limit) return "overloaded";
    size += length;
    budget.used += length;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/**
 * Discards what is still coming of a body after an early answer.
 *
 * Closing at once would reset the connection while the caller is still sending;
 * its kernel then throws the answer away, and the caller sees a broken
 * connection in place of the refusal. Reading on lets the answer arrive and
 * leaves the connection fit for the next request. More than `limit` bytes are
 * not read: a caller that goes on regardless is cut off. Node's request timeout
 * bounds the time.
 *
 * @example
 * dropBody(request, 16 * 1024 * 1024);
 */
export function dropBody(
  request: http.IncomingMessage,
  limit: number,
): void {
  let left = limit;
  request.on("data", (chunk: Buffer) => {
    left -= chunk.length;
    if (left < 0) request.destroy();
  });
  request.resume();
}
