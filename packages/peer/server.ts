/** WebSocket server on which a host receives calls from other hosts and operators. */
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import type * as trpc from "@trpc/server";
import * as adapter from "@trpc/server/adapters/ws";
import * as websocket from "ws";
import * as listener from "@banyangrade/listener";
import * as utils from "@banyangrade/utils";
import type * as procedures from "./procedures.ts";

/** Maximum message size in bytes, enough for a configuration snapshot of 1,600 customers with their keys. */
const MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Hard limit on the headers of a plain HTTP request, in bytes: those that a caller may send, and those that the calling host adds. */
const MAX_HEADER_BYTES = 66 * 1024;

/** Requests that another host sends ahead on one connection: none, as its client waits for each answer. */
const MAX_REQUESTS_AHEAD = 2;
/** Connections of other hosts and operators if the options name no limit. */
const DEFAULT_CONNECTIONS = 2_000;

/** Certificate and private key of a host, and the CA certificate that signs the certificates of all hosts. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Options of {@link startPeerServer}. */
export interface PeerServerOptions {
  readonly hostname: string;
  readonly port: number;
  /** Accepted secrets: the current one and, during a rotation, the next or the previous one. */
  readonly secrets: readonly string[];
  /** Router of the protocol to serve. */
  readonly router: trpc.AnyRouter;
  /** Handles plain HTTP requests; it must authorise them itself. @default none are accepted */
  readonly onRequest?: http.RequestListener;
  /** Certificates for mutual TLS; absent for connections without TLS. */
  readonly tls?: PeerTls;
  /** @default one of its own */
  readonly guard?: listener.ClientGuard;
  /** Largest number of connections. @default 2000 */
  readonly maxConnections?: number;
}

/** A running peer server. */
export interface PeerServer {
  readonly port: number;
  /** Uses a new certificate for new connections. */
  readonly setTls: (tls: PeerTls) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a peer server.
 *
 * @example
 * const server = await startPeerServer({ hostname: "127.0.0.1", port: 0, secrets, router });
 */
export async function startPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const server = createServer(options.tls);
  listener.applyLimits(server, {
    listener: "hosts",
    guard: options.guard ?? listener.createDefaultGuard(),
    maxConnections: options.maxConnections ?? DEFAULT_CONNECTIONS,
    maxRequestsAhead: MAX_REQUESTS_AHEAD,
  });
  const sockets = new websocket.WebSocketServer({
    noServer: true,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });
  server.on("upgrade", (request, stream, head) => {
    const connection = listener.getGuardedConnection(stream);
    if (connection === undefined) return void stream.destroy();
    const { raw, unread } = connection.release();
    // A message that is not complete is held before its sender has shown a secret.
    const message = connection.countUpgraded(raw);
    const bytes = Buffer.concat([head, unread]);
    sockets.handleUpgrade(request, raw, bytes, (opened) => {
      opened.on("message", message.finish);
      sockets.emit("connection", opened, request);
    });
  });
  server.on("request", options.onRequest ?? refuseRequest);
  const digests = options.secrets.map(utils.computeDigest);
  adapter.applyWSSHandler({
    wss: sockets,
    router: options.router,
    createContext: ({ info }): procedures.PeerContext => ({
      trusted: isTrusted(info.connectionParams?.secret, digests),
    }),
  });
  await new Promise<void>((resolve) =>
    server.listen(options.port, options.hostname, resolve)
  );
  return {
    port: (server.address() as net.AddressInfo).port,
    setTls: (tls) => {
      if ("setSecureContext" in server) server.setSecureContext(tls);
    },
    close: () => closeServer(server, sockets),
  };
}

function createServer(tls: PeerTls | undefined): http.Server | https.Server {
  if (tls === undefined) {
    return http.createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: listener.CHECK_MS,
    });
  }
  return https.createServer({
    ...tls,
    connectionsCheckingInterval: listener.CHECK_MS,
    requestCert: true,
    rejectUnauthorized: true,
  });
}

/** Answers a plain HTTP request at a port that takes none; unanswered requests would stay. */
function refuseRequest(
  _request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  response.writeHead(404, { connection: "close" }).end();
}

function isTrusted(
  secret: string | undefined,
  digests: readonly string[],
): boolean {
  const digest = utils.computeDigest(secret ?? "");
  return digests.some((known) => utils.isSameDigest(known, digest));
}

function closeServer(
  server: http.Server | https.Server,
  sockets: websocket.WebSocketServer,
): Promise<void> {
  sockets.clients.forEach((socket) => socket.terminate());
  sockets.close();
  server.closeAllConnections();
  return new Promise((resolve) => server.close(() => resolve()));
}
