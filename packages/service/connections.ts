/** Connections to one backend server. */
import * as undici from "undici";
import * as utils from "@banyangrade/utils";

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
  /** Most connections, and so most requests at a time. */
  readonly limit: number;
  /** Whether one is open that nothing uses. */
  readonly hasFree: () => boolean;
  /** Records that the server sent something on any of them. */
  readonly recordHeard: () => void;
  /** Time since then, in ms. */
  readonly getSilence: () => number;
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
  options: { readonly connections: number; readonly clock: utils.Clock },
): ServerConnections {
  const { clock } = options;
  let heardAt = Number.NEGATIVE_INFINITY;
  const pool = new undici.Pool(url, {
    connections: options.connections,
    pipelining: 1,
    keepAliveTimeout: IDLE_MS,
    connect: { timeout: CONNECT_MS },
    factory: utils.createResettingClient,
  });
  return {
    dispatcher: pool,
    limit: options.connections,
    hasFree: () => pool.stats.free > 0,
    recordHeard: () => {
      heardAt = clock.now();
    },
    getSilence: () => clock.now() - heardAt,
    close: () => pool.close(),
    destroy: () => pool.destroy(),
  };
}
