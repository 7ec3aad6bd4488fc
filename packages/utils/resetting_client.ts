/**
 * HTTP connections that are reset when a request on them is aborted. Data that a
 * process has written still reaches the peer after a normal close, seconds later
 * after a network interruption; only a reset makes the kernel discard it.
 */
import type * as net from "node:net";
import * as undici from "undici";
import * as answerCheck from "./answer_check.ts";

/** Options that a pool passes to its factory, with `connect` as a function. */
interface ClientOptions extends undici.Client.Options {
  readonly connect: Extract<
    undici.Client.Options["connect"],
    (...values: never[]) => unknown
  >;
  /** Called with each new connection. @default ignored */
  readonly onSocket?: (socket: net.Socket) => void;
}

/**
 * Creates the client of one connection; used as the `factory` of a pool. The
 * connection is reset if it is destroyed while a request on it has no complete
 * response, and closed normally otherwise. Its answers are checked.
 *
 * @example
 * const pool = new undici.Pool(url, { factory: createResettingClient });
 */
export function createResettingClient(
  origin: URL,
  options: object,
): undici.Client {
  const { connect, onSocket, ...others } = options as ClientOptions;
  const check = new answerCheck.AnswerCheck();
  const client = new undici.Client(origin, {
    ...others,
    connect: (target, callback) =>
      connect(target, (...outcome) => {
        if (outcome[0] === null) {
          makeResetting(outcome[1], () => client.stats.running > 0);
          check.watchSocket(outcome[1]);
          onSocket?.(outcome[1]);
        }
        callback(...outcome);
      }),
  });
  const { dispatch } = client;
  client.dispatch = (call, handler) =>
    dispatch.call(client, call, check.watchHandler(call.method, handler));
  return client;
}

/**
 * Creates the connection pool of one origin, with connections of
 * {@link createResettingClient}; used as the `factory` of an agent.
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

/** Patches `socket.destroy` to reset the connection if it is in use. */
function makeResetting(socket: net.Socket, isInUse: () => boolean): void {
  // Node.js cannot reset a TLS connection.
  if ("encrypted" in socket) return;
  const { destroy } = socket;
  let reason: Error | undefined;
  let resetting = false;
  socket.destroy = (error) => {
    // `resetAndDestroy` calls `destroy` again without the error, so the first error is kept.
    if (resetting || socket.destroyed || !isInUse()) {
      return destroy.call(socket, error ?? reason);
    }
    resetting = true;
    reason = error;
    return socket.resetAndDestroy();
  };
}
