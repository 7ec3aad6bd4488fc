/**
 * The HTTP server for callers of routes. It reads whole requests within the
 * operators' limits and ends connections without losing a request.
 */
import * as http from "node:http";
import type * as net from "node:net";
import type * as core from "@banyangrade/core";
import type * as ports from "./ports.ts";

/** Largest head that is read at all; the operators' limit is below it. */
const MAX_HEAD_BYTES = 64 * 1024;
/** Time that idle connections are kept beyond the operators' limit, in ms. */
const IDLE_MARGIN_MS = 2_000;

/** A caller's request. */
export interface IncomingRequest {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: ports.Headers;
  readonly answer: IngressAnswer;
  readonly readBody: (maxBytes: number) => Promise<BodyRead>;
  /** Whether the caller has closed its connection, as far as that was read. */
  readonly isGone: () => boolean;
  /** Told when the caller is gone before its answer is whole. */
  readonly onGone: (listener: () => void) => void;
}

/** What came of reading a body. */
export type BodyRead =
  | { readonly kind: "whole"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  /** The caller broke off. */
  | { readonly kind: "left" };

/** The way back to one caller. */
export interface IngressAnswer {
  readonly isBegun: () => boolean;
  /** Sends a whole answer. */
  readonly send: (
    answer: {
      readonly status: number;
      readonly headers: http.OutgoingHttpHeaders;
      readonly body: Buffer | string;
    },
  ) => void;
  /** Sends a part of a stream; waits while the caller is slow. */
  readonly write: (
    head: {
      readonly status: number;
      readonly headers: http.OutgoingHttpHeaders;
    },
    bytes: Buffer,
  ) => Promise<void>;
  readonly end: () => void;
  /** Breaks the connection off, so that a part cannot pass for a whole answer. */
  readonly destroy: () => void;
}

/** Options of {@link startIngress}. */
export interface IngressOptions {
  readonly hostname: string;
  readonly port: number;
  readonly onRequest: (request: IncomingRequest) => void;
  /** Whether each answer asks the caller to use another connection. */
  readonly isLeaving: () => boolean;
}

/** A running server. */
export interface Ingress {
  readonly port: number;
  /** Takes over the operators' limits. */
  readonly setLimits: (limits: core.RoutingLimits) => void;
  /** Takes no new connections, and closes those that are idle. */
  readonly drain: () => void;
  readonly close: () => void;
}

/**
 * Starts the server.
 *
 * @example
 * const ingress = await startIngress({ hostname, port, onRequest, isLeaving });
 */
export async function startIngress(options: IngressOptions): Promise<Ingress> {
  const server = http.createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    // Bodies may take as long as their deadline allows.
    requestTimeout: 0,
    keepAlive: true,
    noDelay: true,
  }, (request, response) => {
    if (options.isLeaving()) response.setHeader("connection", "close");
    response.sendDate = false;
    options.onRequest(buildIncoming(request, response));
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.hostname, 1_024, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    setLimits: (limits) => {
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    drain: () => {
      server.close();
      server.closeIdleConnections();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function buildIncoming(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): IncomingRequest {
  const caller = watchCaller(request, response);
  return {
    method: request.method ?? "GET",
    path: request.url ?? "/",
    host: request.headers.host ?? "",
    headers: request.headers,
    answer: buildAnswer(response),
    readBody: (maxBytes) => readBody(request, maxBytes),
    ...caller,
  };
}

/** Follows a caller's connection from its request on: what closes before anybody listens is known later too. */
function watchCaller(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Pick<IncomingRequest, "isGone" | "onGone"> {
  const { socket } = request;
  const listeners: (() => void)[] = [];
  let gone = false;
  const markGone = () => {
    if (gone || response.writableFinished) return;
    gone = true;
    listeners.forEach((listener) => listener());
  };
  // The end of what the caller sends is read some turns before its connection is closed.
  socket.once("end", markGone);
  response.once("close", () => {
    socket.off("end", markGone);
    markGone();
  });
  return {
    isGone: () => gone,
    onGone: (listener) => {
      if (gone) return listener();
      listeners.push(listener);
    },
  };
}

/** Ends an answer to a request that is not yet read whole: what follows would be taken for the next one. */
function buildAnswer(response: http.ServerResponse): IngressAnswer {
  const isOpen = () => !response.destroyed && !response.writableEnded;
  return {
    isBegun: () => response.headersSent,
    send: ({ status, headers, body }) => {
      if (!isOpen()) return;
      if (!response.req.complete) response.setHeader("connection", "close");
      response.writeHead(status, headers).end(body);
    },
    write: async ({ status, headers }, bytes) => {
      if (!isOpen()) return;
      if (!response.headersSent) response.writeHead(status, headers);
      if (response.write(bytes)) return;
      await new Promise<void>((resolve) => {
        response.once("drain", resolve);
        response.once("close", resolve);
      });
    },
    end: () => void response.end(),
    destroy: () => void response.destroy(),
  };
}

async function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) return { kind: "too_large" };
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { kind: "left" };
  }
  return request.complete
    ? { kind: "whole", body: Buffer.concat(chunks) }
    : { kind: "left" };
}
