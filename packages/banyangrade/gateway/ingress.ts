/**
 * The HTTP server for callers. It reads whole requests within the operators'
 * limits and closes connections without losing a request.
 */
import * as http from "node:http";
import * as net from "node:net";
import type * as core from "@banyangrade/core";
import * as listener from "@banyangrade/listener";
import * as utils from "@banyangrade/utils";
import type * as heldBytesModule from "./held_bytes.ts";
import type * as platformInterface from "./platform_interface.ts";

/** Hard limit on the request line and headers, in bytes; the operators' limit is lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Time for which idle connections are kept beyond the operators' limit, in ms. */
const IDLE_MARGIN_MS = 2_000;

/** What another host says about a request that it hands over. */
export interface Handover {
  /** Time since the request arrived at that host, in ms. */
  readonly elapsedMs: number;
  /** Number of its attempts that were sent to servers. */
  readonly sent: number;
  /** Software version that began its stream; undefined if it has not begun, or began at a host that did not say. */
  readonly software?: string;
}

/** A caller's request. */
export interface IncomingRequest {
  /** Present if another host handed the request over. */
  readonly handover?: Handover;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly host: string;
  readonly headers: platformInterface.Headers;
  readonly answer: CallerResponse;
  /** Identifies the request in the ledger of held bytes. */
  readonly holder: string;
  /** Reads the body; `onBytes` receives the size of each part. */
  readonly readBody: (
    maxBytes: number,
    onBytes: (bytes: number) => void,
  ) => Promise<BodyResult>;
  /** Whether the caller is known to have closed its connection. */
  readonly isDisconnected: () => boolean;
  /** Registers a listener that is called if the caller disconnects before its response is complete. */
  readonly onDisconnect: (listener: () => void) => void;
}

/** Result of reading a request body. */
export type BodyResult =
  | { readonly kind: "complete"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  /** The caller disconnected before the body was complete. */
  | { readonly kind: "left" };

/** The response to one caller. */
export interface CallerResponse {
  /** Whether the response goes to another host, which must learn whether a refused request ran. @default false */
  readonly isToHost?: boolean;
  readonly isStarted: () => boolean;
  /** Whether nothing more can be sent: the response is complete, or its connection is closed. */
  readonly isEnded: () => boolean;
  /** Sends a complete response. */
  readonly send: (
    answer: {
      readonly status: number;
      readonly headers: http.OutgoingHttpHeaders;
      readonly body: Buffer | string;
    },
  ) => void;
  /** Sends a part of a stream; the promise waits while the caller's connection applies backpressure, and is undefined if it does not. */
  readonly write: (
    head: {
      readonly status: number;
      readonly headers: http.OutgoingHttpHeaders;
    },
    bytes: Buffer,
  ) => Promise<void> | undefined;
  readonly end: () => void;
  /** Closes the connection abruptly, so that the caller does not take a partial response for a complete one. */
  readonly destroy: () => void;
}

/** Options of {@link startIngress}. */
export interface IngressOptions {
  readonly hostname: string;
  readonly port: number;
  /** Handles a request, `waitedMs` after its head was read. */
  readonly onRequest: (request: IncomingRequest, waitedMs: number) => void;
  /** Whether responses carry "connection: close", so that callers open new connections. */
  readonly closesConnections: () => boolean;
  readonly heldBytes: heldBytesModule.HeldBytes;
  readonly guard: listener.ClientGuard;
  readonly limits: core.ClientLimits;
  /** Takes connections that are none of a caller; returns whether it did. @default none */
  readonly takeConnection?: (accepted: net.Socket) => boolean;
}

/** A running HTTP server for callers. */
export interface Ingress {
  readonly port: number;
  /** Applies the operators' limits. */
  readonly setLimits: (limits: core.RoutingLimits) => void;
  /** Stops accepting connections. */
  readonly drain: () => void;
  /** Closes idle connections. Node.js counts one as idle whose response it has taken, though the caller has not received it. */
  readonly closeIdle: () => void;
  readonly close: () => void;
}

/**
 * Starts the HTTP server for callers.
 *
 * @example
 * const ingress = await startIngress({ hostname, port, onRequest, guard, ...rest });
 */
export async function startIngress(options: IngressOptions): Promise<Ingress> {
  const turns = new listener.AcceptTurns();
  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    // The request's own deadline limits how long its body may take.
    requestTimeout: 0,
    connectionsCheckingInterval: listener.CHECK_MS,
    keepAlive: true,
    noDelay: true,
  }, (request, response) => {
    if (options.closesConnections()) response.setHeader("connection", "close");
    response.sendDate = false;
    const { heldBytes } = options;
    const incoming = buildIncomingRequest(request, { response, heldBytes });
    turns.run((waitedMs) => options.onRequest(incoming, waitedMs));
  });
  listener.applyLimits(server, {
    listener: "callers",
    guard: options.guard,
    maxConnections: options.limits.maxConnections,
    maxRequestsAhead: options.limits.maxRequestsAhead,
    takeConnection: (accepted) => {
      turns.recordAccepted();
      return options.takeConnection?.(accepted) ?? false;
    },
  });
  let maxBodyBytes = Number.POSITIVE_INFINITY;
  server.on("checkContinue", (request, response) => {
    // A body that will be refused is not asked for.
    if (readDeclaredBytes(request.headers) <= maxBodyBytes) {
      response.writeContinue();
    }
    server.emit("request", request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.hostname, 1_024, resolve);
  });
  return {
    port: (server.address() as net.AddressInfo).port,
    setLimits: (limits) => {
      server.keepAliveTimeout = Math.min(
        limits.idleTimeoutMs + IDLE_MARGIN_MS,
        utils.MAX_TIMER_MS,
      );
      server.headersTimeout = limits.headerTimeoutMs;
      maxBodyBytes = limits.maxBodyBytes;
    },
    // The method of the HTTP server would close idle connections too.
    drain: () => void net.Server.prototype.close.call(server),
    closeIdle: () => server.closeIdleConnections(),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/**
 * Builds a request from the messages of an HTTP server.
 *
 * @example
 * const incoming = buildIncomingRequest(request, { response, heldBytes });
 */
export function buildIncomingRequest(
  request: http.IncomingMessage,
  { response, heldBytes }: {
    readonly response: http.ServerResponse;
    readonly heldBytes: heldBytesModule.HeldBytes;
  },
): IncomingRequest {
  const caller = heldBytes.openCaller(describeConnection(request, response));
  response.on("drain", caller.update);
  response.once("finish", caller.update);
  response.once("close", caller.close);
  const connection = watchConnection(request, response);
  return {
    method: request.method ?? "GET",
    path: request.url ?? "/",
    host: request.headers.host ?? "",
    headers: request.headers,
    answer: buildCallerResponse(response, caller),
    holder: caller.holder,
    readBody: (maxBytes, onBytes) => readBody(request, { maxBytes, onBytes }),
    ...connection,
  };
}

/** Describes a caller's connection for the ledger of held bytes. */
function describeConnection(
  { socket: stream, url = "/" }: http.IncomingMessage,
  response: http.ServerResponse,
): heldBytesModule.CallerConnection {
  const socket = listener.getGuardedConnection(stream)?.getSocket() ?? stream;
  return {
    path: url,
    getUnsentBytes: () => response.writableLength,
    // A large write stays in `writableLength` until the last of its bytes is
    // accepted, so the queue of the operating system handle is read as well.
    readProgress: () => {
      const { _handle: handle } = socket as unknown as {
        readonly _handle?: { readonly writeQueueSize?: number };
      };
      const written = socket.bytesWritten - socket.writableLength;
      return `${written} ${handle?.writeQueueSize ?? 0}`;
    },
    disconnect: () => void response.destroy(),
  };
}

/** Watches a caller's connection from the start of its request, so that a listener registered after the connection closed is still called. */
function watchConnection(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Pick<IncomingRequest, "isDisconnected" | "onDisconnect"> {
  const { socket } = request;
  const listeners: (() => void)[] = [];
  let disconnected = false;
  const markDisconnected = () => {
    if (disconnected || response.writableFinished) return;
    disconnected = true;
    listeners.forEach((listener) => listener());
  };
  // The socket emits "end" some event loop turns before the response emits "close".
  socket.once("end", markDisconnected);
  response.once("close", () => {
    socket.off("end", markDisconnected);
    markDisconnected();
  });
  return {
    isDisconnected: () => disconnected,
    onDisconnect: (listener) => {
      if (disconnected) return listener();
      listeners.push(listener);
    },
  };
}

/**
 * Builds the response to a caller. If the request has not been read completely,
 * the response closes the connection: the rest of the body would otherwise be
 * parsed as the next request.
 */
function buildCallerResponse(
  response: http.ServerResponse,
  caller: heldBytesModule.CallerAccount,
): CallerResponse {
  const isOpen = () => !response.destroyed && !response.writableEnded;
  return {
    isStarted: () => response.headersSent,
    isEnded: () => !isOpen(),
    send: ({ status, headers, body }) => {
      if (!isOpen()) return;
      if (!response.req.complete) response.setHeader("connection", "close");
      writeHead(response, { status, headers });
      response.end(body);
      caller.update();
    },
    write: ({ status, headers }, bytes) => {
      if (!isOpen()) return undefined;
      if (!response.headersSent) writeHead(response, { status, headers });
      const isAccepted = response.write(bytes, caller.update);
      caller.update();
      if (isAccepted) return undefined;
      return new Promise<void>((resolve) => {
        const end = () => {
          response.off("drain", end).off("close", end);
          resolve();
        };
        response.once("drain", end).once("close", end);
      });
    },
    end: () => void response.end(),
    destroy: () => void response.destroy(),
  };
}

/** Writes the head of a response. If a value of it is refused, none of it stays for the refusal that follows. */
function writeHead(
  response: http.ServerResponse,
  { status, headers }: {
    readonly status: number;
    readonly headers: http.OutgoingHttpHeaders;
  },
): void {
  const kept = response.getHeaderNames();
  try {
    response.writeHead(status, headers);
  } catch (thrown) {
    response.getHeaderNames().filter((name) => !kept.includes(name))
      .forEach((name) => response.removeHeader(name));
    throw thrown;
  }
}

/**
 * Returns the size of a body that its caller announced, in bytes; 0 if none was.
 *
 * @example
 * readDeclaredBytes({ "content-length": "12" }); // 12
 */
export function readDeclaredBytes(headers: platformInterface.Headers): number {
  return Number(headers["content-length"] ?? 0);
}

async function readBody(
  request: http.IncomingMessage,
  { maxBytes, onBytes }: {
    readonly maxBytes: number;
    readonly onBytes: (bytes: number) => void;
  },
): Promise<BodyResult> {
  const body = new listener.BodyBuffer();
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) return { kind: "too_large" };
      body.add(chunk as Buffer);
      onBytes((chunk as Buffer).length);
    }
  } catch {
    return { kind: "left" };
  }
  return request.complete
    ? { kind: "complete", body: body.build() }
    : { kind: "left" };
}
