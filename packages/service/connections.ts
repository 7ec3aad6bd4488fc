/** HTTP connection pool of one backend server. */
import type * as net from "node:net";
import * as undici from "undici";
import * as utils from "@banyangrade/utils";
import * as overheadGuard from "./overhead_guard.ts";
import * as sendGate from "./send_gate.ts";

/** Timeout for opening a connection, in ms; about a hundred times the latency between failure domains. */
const CONNECT_TIMEOUT_MS = 400;
/**
 * Idle time after which a connection is closed, in ms, unless the server sends
 * a keep-alive timeout. It is shorter than the usual timeouts of servers,
 * because a request that is sent while the server closes the connection has an
 * unknown outcome.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** Connection pool of one backend server. */
export interface ServerConnections {
  readonly dispatcher: undici.Dispatcher;
  /** Maximum number of connections, and thus of concurrent requests. */
  readonly limit: number;
  /** Whether an open connection is idle. */
  readonly hasIdleConnection: () => boolean;
  /** Records that the server sent data on one of the connections. */
  readonly recordReceived: () => void;
  /** Counts the connections that were reset so far. */
  readonly countResets: () => number;
  /** Time since the server last sent data on any connection, in ms. */
  readonly getInactiveMs: () => number;
  /** Closes each connection when its running request has ended. */
  readonly close: () => Promise<void>;
  /** Closes all connections at once and aborts their requests. */
  readonly destroy: () => Promise<void>;
}

/** Options of {@link createServerConnections}. */
export interface ConnectionOptions {
  readonly connections: number;
  readonly clock: utils.Clock;
  /** Whether the server may still get requests; checked when a request is written. @default always */
  readonly maySend?: () => boolean;
  /** Called when a connection was opened. @default ignored */
  readonly onConnected?: () => void;
}

/**
 * Creates a connection pool, which opens connections on demand.
 *
 * @example
 * const connections = createServerConnections("http://10.0.0.1:80", { connections: 8 });
 */
export function createServerConnections(
  url: string,
  options: ConnectionOptions,
): ServerConnections {
  const { clock, maySend = () => true } = options;
  let lastReceivedAt = Number.NEGATIVE_INFINITY;
  let resets = 0;
  const connector = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const pool = new undici.Pool(url, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: (connectOptions, callback) =>
      connector(connectOptions, (...outcome) => {
        const [, socket] = outcome;
        // Counted before the client ends the response whose connection it was.
        socket?.on("error", (error) => {
          // The client ends a connection that the server closed with its own error.
          if ("syscall" in error) resets += 1;
        }).on("end", () => {
          if (utils.hasEndedEarly(socket)) resets += 1;
        });
        callback(...outcome);
      }),
    factory: (origin, options) => {
      const guard = new overheadGuard.OverheadGuard();
      const client = utils.createResettingClient(origin, {
        ...options,
        onSocket: (socket: net.Socket) => guard.watchSocket(socket),
      });
      const { dispatch } = client;
      client.dispatch = (call, handler) =>
        dispatch.call(client, call, guard.watchHandler(handler));
      return client;
    },
  });
  if (options.onConnected !== undefined) {
    pool.on("connect", options.onConnected);
  }
  return {
    dispatcher: pool.compose(sendGate.createSendGate(maySend)),
    limit: options.connections,
    hasIdleConnection: () => pool.stats.free > 0,
    recordReceived: () => {
      lastReceivedAt = clock.now();
    },
    countResets: () => resets,
    getInactiveMs: () => clock.now() - lastReceivedAt,
    close: () => pool.close(),
    destroy: () => pool.destroy(),
  };
}
