/**
 * Connections that take back what was given up. What a process has written
 * still reaches its peer after the connection was closed, seconds later if the
 * link was cut meanwhile; only a reset makes the kernel drop it.
 */
import type * as net from "node:net";
import * as undici from "undici";

/** What a pool hands its factory: its own options, with the connector made. */
interface ClientOptions extends undici.Client.Options {
  readonly connect: Extract<
    undici.Client.Options["connect"],
    (...values: never[]) => unknown
  >;
}

/**
 * Makes the client of one connection; a pool's `factory`. The connection is
 * reset if it is destroyed while a request on it has no whole answer, and closed
 * in order otherwise.
 *
 * @example
 * const pool = new undici.Pool(url, { factory: createResettingClient });
 */
export function createResettingClient(
  origin: URL,
  options: object,
): undici.Client {
  const { connect, ...others } = options as ClientOptions;
  const client = new undici.Client(origin, {
    ...others,
    connect: (target, callback) =>
      connect(target, (...outcome) => {
        if (outcome[0] === null) {
          dropUnanswered(outcome[1], () => client.stats.running > 0);
        }
        callback(...outcome);
      }),
  });
  return client;
}

/**
 * Makes the connections to one origin, each as by {@link createResettingClient};
 * an agent's `factory`.
 *
 * @example
 * const agent = new undici.Agent({ factory: createResettingPool });
 */
export function createResettingPool(
  origin: string | URL,
  options: object,
): undici.Pool {
  return new undici.Pool(origin, {
    ...options,
    factory: createResettingClient,
  });
}

/** Has a connection reset where it is destroyed while it is in use. */
function dropUnanswered(socket: net.Socket, isInUse: () => boolean): void {
  // A reset is not to be had for encrypted connections.
  if ("encrypted" in socket) return;
  const { destroy } = socket;
  let reason: Error | undefined;
  let resetting = false;
  socket.destroy = (error) => {
    // The reset comes back here, without the reason.
    if (resetting || socket.destroyed || !isInUse()) {
      return destroy.call(socket, error ?? reason);
    }
    resetting = true;
    reason = error;
    return socket.resetAndDestroy();
  };
}
