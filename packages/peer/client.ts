/** Client connections to other hosts: one persistent connection per host, opened on first use. */
import * as events from "node:events";
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

/** Largest message from another host, in bytes: more than a relay sends of all that it keeps of a prefix. */
const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

type AnyRouter = trpcServer.AnyRouter;

/**
 * Delays in ms after which a closed connection is closed again. If the library is
 * about to reconnect when it is closed, it keeps reconnecting forever. The process
 * then does not exit, and it keeps connecting to hosts that no longer exist. The
 * library takes up to 200 ms to react to each close.
 */
const REPEATED_CLOSE_DELAYS_MS = [250, 1_000];

interface Connection<Router extends AnyRouter> extends PeerConnection<Router> {
  /** Ends the calls that are pending on the connection, if the clients do that. */
  readonly abort: AbortController;
  usedAt: number;
  /** Time of the last answer. */
  answeredAt: number;
}

/** A call of a host. */
export interface PeerCallTarget {
  readonly address: string;
  readonly step: string;
  /** Time for which the other host may hold the call open, in ms; the timeout follows it. @default 0 */
  readonly waitMs?: number;
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

/** A connection to another host. */
export interface PeerConnection<Router extends AnyRouter> {
  readonly client: trpc.TRPCClient<Router>;
  readonly close: () => void;
}

/** Opens a connection to an address. */
export type ConnectionOpener<Router extends AnyRouter> = (
  address: string,
  options: PeerClientsOptions,
) => PeerConnection<Router>;

/** Calls other hosts by address. `Router` is the router of the protocol that they serve. */
export class PeerClients<Router extends AnyRouter = protocol.PeerRouter> {
  readonly #options: PeerClientsOptions;
  readonly #open: ConnectionOpener<Router>;
  readonly #connections = new Map<string, Connection<Router>>();
  #sent = 0;

  constructor(
    options: PeerClientsOptions,
    open: ConnectionOpener<Router> = openConnection,
  ) {
    this.#options = options;
    this.#open = open;
  }

  /**
   * Calls a host and returns the result; the promise never rejects. A call that
   * fails or times out ends with `unknown_outcome`, because the other host may have
   * processed it. Clients whose pending calls end with their connection distinguish
   * `timeout`, if the host has answered another call meanwhile, and `rejected`, if it
   * does not know the secret.
   */
  async call<Answer>(
    to: PeerCallTarget,
    run: PeerCall<Router, Answer>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    const { address: peer, step, waitMs } = to;
    const { clock } = this.#options;
    this.#sent += 1;
    const sentAt = clock.now();
    let connection: Connection<Router> | undefined;
    let isLate = false;
    const onLate = () => {
      isLate = this.#options.endsPending === true &&
        connection !== undefined && connection.answeredAt > sentAt;
    };
    try {
      const { client, abort } = connection = this.#connect(peer);
      const answer = await runLimited(
        { clock, waitMs, limitMs: timeoutMs, lost: abort.signal, onLate },
        (signal) => run(client, signal),
      );
      connection.answeredAt = clock.now();
      return utils.Ok(answer);
    } catch (thrown) {
      if (!isLate && this.#connections.get(peer) === connection) {
        this.#drop(peer);
      }
      const code = isLate ? "timeout" : this.#classify(thrown);
      const message = utils.getErrorMessage(thrown);
      return utils.Err(utils.createStepError(code, { step, peer, message }));
    } finally {
      // If this call started while another call dropped the connection, the
      // library reopens it and may try forever to reach a host that no longer
      // exists, so that the process does not exit.
      if (this.#connections.get(peer) !== connection) connection?.close();
    }
  }

  #classify(thrown: unknown): "rejected" | "unknown_outcome" {
    return this.#options.endsPending && isUnknownSecret(thrown)
      ? "rejected"
      : "unknown_outcome";
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
    const opened = this.#open(address, this.#options);
    const abort = new AbortController();
    // Each pending call listens.
    events.EventEmitter.setMaxListeners(0, abort.signal);
    const connection = {
      ...opened,
      abort,
      usedAt,
      answeredAt: Number.NEGATIVE_INFINITY,
    };
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
): PeerConnection<Router> {
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

/** Returns a WebSocket class with the options built in, because the library passes none to its sockets. */
function buildSocketClass(tls: server.PeerTls | undefined): unknown {
  const options = {
    maxPayload: MAX_MESSAGE_BYTES,
    ...(tls && { ...tls, checkServerIdentity: acceptAnyHostName }),
  };
  return new Proxy(websocket.WebSocket, {
    construct: (target, [url]) => new target(url, options),
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

/** Whether the other host does not know the secret. */
function isUnknownSecret(thrown: unknown): boolean {
  const { data } = thrown as { readonly data?: { readonly code?: string } };
  return data?.code === "UNAUTHORIZED";
}

/** Limits of a call. */
export interface LimitedPeerCall {
  readonly clock: Pick<utils.Clock, "now">;
  /** Time for which the other host may hold the call open, in ms. @default 0 */
  readonly waitMs?: number;
  /** Time after that within which it must answer, in ms. */
  readonly limitMs: number;
  /** Aborted when the connection is given up. */
  readonly lost: AbortSignal;
  /** Called before the call ends at its limit. @default ignored */
  readonly onLate?: () => void;
}

/**
 * Rejects a call after its limit, or when its connection is given up. The abort signal
 * alone is not enough, because the library ignores it while the socket is connecting.
 *
 * @example
 * await runLimited({ clock, limitMs: 300, lost }, (signal) => client.summary.query(undefined, { signal }));
 */
export function runLimited<Answer>(
  { clock, waitMs, limitMs, lost, onLate }: LimitedPeerCall,
  run: (signal: AbortSignal) => Promise<Answer>,
): Promise<Answer> {
  const abort = new AbortController();
  let clear = () => {};
  const ended = new Promise<Answer>((resolve, reject) => {
    const end = (error: Error) => {
      abort.abort();
      reject(error);
    };
    const stop = utils.startPatientTimer({
      clock,
      quietMs: waitMs,
      getLimitMs: () => limitMs,
      onEnd: () => {
        onLate?.();
        end(new Error(`The host did not answer within ${limitMs} ms.`));
      },
    });
    const endLost = () =>
      end(new Error("The connection to the host was given up."));
    lost.addEventListener("abort", endLost);
    clear = () => {
      stop();
      lost.removeEventListener("abort", endLost);
    };
    run(abort.signal).then(resolve, reject);
  });
  // A call that never settles must not keep its listener.
  return ended.finally(() => clear());
}
