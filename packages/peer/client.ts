/** Client connections to other hosts: one persistent connection per host, opened on first use. */
import * as trpc from "@trpc/client";
import type * as trpcServer from "@trpc/server";
import * as websocket from "ws";
import * as utils from "@banyangrade/utils";
import type * as protocol from "./protocol.ts";
import type * as server from "./server.ts";

/** Default timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 700;
/** Idle time after which a connection is closed, in ms. */
const IDLE_TIMEOUT_MS = 60_000;

type AnyRouter = trpcServer.AnyRouter;

/**
 * Delays in ms after which a closed connection is closed again. If the library is
 * about to reconnect when it is closed, it keeps reconnecting forever. The process
 * then does not exit, and it keeps connecting to hosts that no longer exist. The
 * library takes up to 200 ms to react to each close.
 */
const REPEATED_CLOSE_DELAYS_MS = [250, 1_000];

interface Connection<Router extends AnyRouter> {
  readonly client: trpc.TRPCClient<Router>;
  /** Ends the calls that are pending on the connection, if the clients do that. */
  readonly abort: AbortController;
  readonly close: () => void;
  usedAt: number;
}

/** Runs a call with the client of a connection. */
export type PeerCall<Router extends AnyRouter, Answer> = (
  client: trpc.TRPCClient<Router>,
  signal: AbortSignal,
) => Promise<Answer>;

/** Options of {@link PeerClients}. */
export interface PeerClientsOptions {
  readonly secret: string;
  readonly clock: utils.Clock;
  /**
   * Whether the loss of a connection ends the calls that are pending on it. Without
   * it, a call that may wait for long outlives its host: the library keeps it open
   * until its own timeout, although another call has found the host silent.
   * @default false, for calls whose answers must not be lost
   */
  readonly endsPending?: boolean;
  /** Returns the certificates; called for each new connection, so that renewed certificates are used. */
  readonly getTls?: () => server.PeerTls | undefined;
}

/** Calls other hosts by address. `Router` is the router of the protocol that they serve. */
export class PeerClients<Router extends AnyRouter = protocol.PeerRouter> {
  readonly #options: PeerClientsOptions;
  readonly #connections = new Map<string, Connection<Router>>();
  #sent = 0;

  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /**
   * Calls a host and returns the result; the promise never rejects. A call that
   * fails or times out ends with `unknown_outcome`, because the other host may have
   * processed it.
   */
  async call<Answer>(
    to: { readonly address: string; readonly step: string },
    run: PeerCall<Router, Answer>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    const { address: peer, step } = to;
    this.#sent += 1;
    let connection: Connection<Router> | undefined;
    try {
      const { client, abort } = connection = this.#connect(peer);
      return utils.Ok(
        await runWithTimeout(
          { ms: timeoutMs, lost: abort.signal },
          (signal) => run(client, signal),
        ),
      );
    } catch (thrown) {
      if (this.#connections.get(peer) === connection) this.#drop(peer);
      const message = utils.getErrorMessage(thrown);
      return utils.Err(
        utils.createStepError("unknown_outcome", { step, peer, message }),
      );
    } finally {
      // If this call started while another call dropped the connection, the
      // library reopens it and may try forever to reach a host that no longer
      // exists, so that the process does not exit.
      if (this.#connections.get(peer) !== connection) connection?.close();
    }
  }

  /** Returns the number of calls sent so far. */
  countSent(): number {
    return this.#sent;
  }

  /** Closes idle connections. */
  closeIdle(): void {
    const idleSince = this.#options.clock.now() - IDLE_TIMEOUT_MS;
    [...this.#connections].filter(([, { usedAt }]) => usedAt < idleSince)
      .forEach(([address]) => this.#drop(address));
  }

  /** Closes all connections. */
  close(): void {
    [...this.#connections.keys()].forEach((address) => this.#drop(address));
  }

  #connect(address: string): Connection<Router> {
    const known = this.#connections.get(address);
    const usedAt = this.#options.clock.now();
    if (known !== undefined) {
      known.usedAt = usedAt;
      return known;
    }
    const opened = openConnection<Router>(address, this.#options);
    const connection = { ...opened, abort: new AbortController(), usedAt };
    this.#connections.set(address, connection);
    return connection;
  }

  /**
   * Closes a connection and removes it. After a failed call, the library would
   * otherwise keep the connection and, once it has reconnected, send queued calls
   * long after their timeouts.
   */
  #drop(address: string): void {
    const connection = this.#connections.get(address);
    this.#connections.delete(address);
    connection?.close();
    if (this.#options.endsPending) connection?.abort.abort();
  }
}

function openConnection<Router extends AnyRouter>(
  address: string,
  options: PeerClientsOptions,
): Omit<Connection<Router>, "abort" | "usedAt"> {
  const tls = options.getTls?.();
  const socket = trpc.createWSClient({
    url: `${tls === undefined ? "ws" : "wss"}://${address}`,
    // deno-lint-ignore no-explicit-any -- the library's type is that of the browser's WebSocket
    WebSocket: buildSocketClass(tls) as any,
    connectionParams: { secret: options.secret },
    retryDelayMs: () => 200,
  });
  const client = trpc.createTRPCClient<Router>({
    // The type of the link's options depends on the router's transformer; the
    // routers of this project have none, so only the client is needed.
    links: [
      trpc.wsLink({ client: socket } as trpc.WebSocketLinkOptions<Router>),
    ],
  });
  const close = () => void socket.close().catch(() => undefined);
  return {
    client,
    close: () => {
      close();
      REPEATED_CLOSE_DELAYS_MS.forEach((ms) => setTimeout(close, ms));
    },
  };
}

/** Returns a WebSocket class with the TLS options built in, because the library passes no options to its sockets. */
function buildSocketClass(tls: server.PeerTls | undefined): unknown {
  if (tls === undefined) return websocket.WebSocket;
  return new Proxy(websocket.WebSocket, {
    construct: (target, [url]) =>
      new target(url, { ...tls, checkServerIdentity: acceptAnyHostName }),
  });
}

/**
 * Accepts a certificate with any host name. Hosts are addressed by IP address, so
 * the name is not checked; the certificate authority is. Node.js treats any return
 * value other than undefined as an error, contrary to the declared type.
 */
function acceptAnyHostName(): boolean {
  return undefined as unknown as boolean;
}

/** Rejects a call after a timeout, or when its connection is given up. The abort signal alone is not enough, because the library ignores it while the socket is connecting. */
function runWithTimeout<Answer>(
  { ms, lost }: { readonly ms: number; readonly lost: AbortSignal },
  run: (signal: AbortSignal) => Promise<Answer>,
): Promise<Answer> {
  const abort = new AbortController();
  return new Promise<Answer>((resolve, reject) => {
    const end = (message: string) => {
      abort.abort();
      reject(new Error(message));
    };
    const timer = setTimeout(
      () => end(`The host did not answer within ${ms} ms.`),
      ms,
    );
    const endLost = () => end("The connection to the host was given up.");
    lost.addEventListener("abort", endLost);
    run(abort.signal).then(resolve, reject).finally(() => {
      clearTimeout(timer);
      lost.removeEventListener("abort", endLost);
    });
  });
}
