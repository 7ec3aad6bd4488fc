/**
 * Connections to one backend server. They count resets, since the HTTP client
 * takes a reset for the orderly end of an answer that has no length.
 */
import * as undici from "undici";

/** Longest wait for a new connection, in ms: some hundred times the way between failure domains. */
const CONNECT_MS = 400;
/**
 * Idle time after which a connection is closed, in ms, where the server names
 * none. A request that is sent into a connection just closing has an unknown
 * outcome, so it must be shorter than what servers commonly allow.
 */
const IDLE_MS = 4_000;

/** Connections to one server. */
export interface ServerConnections {
  readonly dispatcher: undici.Dispatcher;
  /** Connections of this server that broke so far. */
  readonly countResets: () => number;
  /** Closes them as their work ends. */
  readonly close: () => Promise<void>;
  /** Closes them at once. */
  readonly destroy: () => Promise<void>;
}

/**
 * Makes the connections; each is opened when it is needed.
 *
 * @example
 * const connections = createServerConnections("http://10.0.0.1:80", { connections: 8 });
 */
export function createServerConnections(
  url: string,
  options: { readonly connections: number },
): ServerConnections {
  let resets = 0;
  const connect = undici.buildConnector({ timeout: CONNECT_MS });
  const pool = new undici.Pool(url, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_MS,
    connect: (target, callback) =>
      connect(target, (...[error, socket]) => {
        if (error !== null) return callback(error, null);
        // Before the client's own listener, which ends the answer.
        socket.prependListener("error", (thrown) => {
          if (isReset(thrown)) resets += 1;
        });
        callback(null, socket);
      }),
  });
  return {
    dispatcher: pool,
    countResets: () => resets,
    close: () => pool.close(),
    destroy: () => pool.destroy(),
  };
}

/** The client reports an orderly end as an error too, with a code of its own. */
function isReset(thrown: { readonly code?: string }): boolean {
  return thrown.code !== undefined && !thrown.code.startsWith("UND_ERR");
}
