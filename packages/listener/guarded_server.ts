/** Puts the bounds of a process between an HTTP server and its clients. */
import type * as http from "node:http";
import type * as https from "node:https";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as core from "@banyangrade/core";
import type * as clientGuard from "./client_guard.ts";
import * as guardedConnection from "./guarded_connection.ts";

/** Interval between two checks of slow heads and bodies, in ms. */
export const CHECK_MS = 5_000;
/** Time limits of ports at which no body is expected, in ms. */
const CONTROL_TIMEOUTS = { headersMs: 5_000, requestMs: 10_000 };

/** Options of {@link applyLimits}. */
export interface GuardedServerOptions {
  /** Name of the listener in logs and metrics. */
  readonly listener: string;
  readonly guard: clientGuard.ClientGuard;
  readonly maxConnections: number;
  readonly maxRequestsAhead: number;
  /** Whether bytes that are written and not yet sent count as held. @default false */
  readonly countsUnsent?: boolean;
  /** Takes connections that are none of a client, which count for no bound; returns whether it did. @default none */
  readonly takeConnection?: (accepted: net.Socket) => boolean;
}

/**
 * Bounds the connections of an HTTP server and what each holds. Called before the
 * server listens.
 *
 * @example
 * applyLimits(server, { listener: "callers", guard, maxConnections: 2_460, maxRequestsAhead: 8 });
 */
export function applyLimits(
  server: http.Server | https.Server,
  options: GuardedServerOptions,
): void {
  const isTls = "setSecureContext" in server;
  const event = isTls ? "secureConnection" : "connection";
  // A handshake that is never completed brings no connection to this module.
  if (isTls) server.maxConnections = options.maxConnections;
  const ledger = new core.ConnectionLedger(options);
  const [serve] = server.listeners(
    event,
  ) as ((socket: stream.Duplex) => void)[];
  server.removeAllListeners(event);
  server.on(event, (raw: net.Socket) => {
    if (options.takeConnection?.(raw)) return;
    const connection = admitConnection(raw, { ...options, ledger });
    if (connection !== undefined) serve.call(server, connection.stream);
  });
  const countRequest = (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) =>
    guardedConnection.getGuardedConnection(request.socket)
      ?.openRequest(request, response);
  server.prependListener("request", countRequest);
  server.on("checkExpectation", (request, response) => {
    countRequest(request, response);
    response.writeHead(417).end();
  });
}

/**
 * Bounds a port at which no bodies are expected, such as that for readiness checks.
 *
 * @example
 * applyControlLimits(server, { listener: "readiness", guard, maxConnections: 123 });
 */
export function applyControlLimits(
  server: http.Server,
  options: Omit<GuardedServerOptions, "maxRequestsAhead" | "countsUnsent">,
): void {
  applyLimits(server, { ...options, maxRequestsAhead: 1, countsUnsent: true });
  server.headersTimeout = CONTROL_TIMEOUTS.headersMs;
  server.requestTimeout = CONTROL_TIMEOUTS.requestMs;
  server.prependListener("request", (request, response) => {
    // The rest of a body would otherwise be read to its end, however long it is.
    if (hasBody(request)) response.setHeader("connection", "close");
  });
}

/**
 * Whether a request has a body by its headers.
 *
 * @example
 * if (hasBody(request)) response.setHeader("connection", "close");
 */
export function hasBody({ headers }: http.IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) !== 0;
}

/** Accepts a connection, or closes it and returns undefined. */
function admitConnection(
  raw: net.Socket,
  { ledger, listener, guard, maxRequestsAhead, countsUnsent = false }:
    & GuardedServerOptions
    & { readonly ledger: core.ConnectionLedger },
): guardedConnection.GuardedConnection | undefined {
  const address = raw.remoteAddress ?? "";
  const admission = ledger.admit(address);
  switch (admission.kind) {
    case "refused":
      guard.recordClosed(listener, admission.reason);
      raw.on("error", () => undefined);
      raw.destroy();
      return undefined;
    case "replaces":
      // Its socket closes later; its place is free at once.
      ledger.remove(admission.id);
      guard.close(admission.id, "replaced");
      break;
    case "accepted":
      break;
  }
  const connection: guardedConnection.GuardedConnection = new guardedConnection
    .GuardedConnection(raw, {
    listener,
    guard,
    maxRequests: maxRequestsAhead,
    countsUnsent,
    onIdleChanged: (idle) => ledger.setIdle(connection.id, idle),
  });
  ledger.add(connection.id, address);
  raw.once("close", () => ledger.remove(connection.id));
  return connection;
}
