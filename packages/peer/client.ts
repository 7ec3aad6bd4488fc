/** Connections to other hosts: one for each, kept open, opened when first needed. */
import * as trpc from "@trpc/client";
import type * as trpcServer from "@trpc/server";
import * as websocket from "ws";
import * as utils from "@banyangrade/utils";
import type * as protocol from "./protocol.ts";
import type * as server from "./server.ts";

/** Time after which a call has failed, in ms. */
const CALL_TIMEOUT_MS = 700;
/** A connection that was not used for this long is closed, in ms. */
const IDLE_CLOSE_MS = 60_000;

type AnyRouter = trpcServer.AnyRouter;

/**
 * When a connection that was given up is closed once more, in ms. The library
 * may be about to connect again at the moment it is closed, and then goes on
 * for ever: it shows as a process that does not end, and as connections to
 * hosts that are gone. It takes up to 200 ms to notice each time.
 */
const CLOSE_AGAIN_MS = [250, 1_000];

interface Connection<Router extends AnyRouter> {
  readonly client: trpc.TRPCClient<Router>;
  readonly close: () => void;
  usedAt: number;
}

/** What a call does once it has its client. */
export type PeerRun<Router extends AnyRouter, Answer> = (
  client: trpc.TRPCClient<Router>,
  signal: AbortSignal,
) => Promise<Answer>;

/** Options of {@link PeerClients}. */
export interface PeerClientsOptions {
  readonly secret: string;
  readonly clock: utils.Clock;
  /** Read for each new connection, so that a replaced certificate is used. */
  readonly getTls?: () => server.PeerTls | undefined;
}

/** Calls other hosts by address; the router is that of the protocol they serve. */
export class PeerClients<Router extends AnyRouter = protocol.PeerRouter> {
  readonly #options: PeerClientsOptions;
  readonly #connections = new Map<string, Connection<Router>>();
  #sent = 0;

  constructor(options: PeerClientsOptions) {
    this.#options = options;
  }

  /**
   * Runs one call at a host. Never rejects; no answer in time is
   * `unknown_outcome`, since the other host may have taken it.
   */
  async call<Answer>(
    to: { readonly address: string; readonly step: string },
    run: PeerRun<Router, Answer>,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    const { address: peer, step } = to;
    this.#sent += 1;
    const connection = this.#connect(peer);
    try {
      return utils.Ok(
        await withTimeout(
          timeoutMs,
          (signal) => run(connection.client, signal),
        ),
      );
    } catch (thrown) {
      if (this.#connections.get(peer) === connection) this.#drop(peer);
      const message = utils.readMessage(thrown);
      return utils.Err(
        utils.createStepError("unknown_outcome", { step, peer, message }),
      );
    } finally {
      // A call that was just beginning as another one gave the connection up
      // makes the library open it again, and try for ever to reach a host that
      // may be gone: it shows as a process that does not end.
      if (this.#connections.get(peer) !== connection) connection.close();
    }
  }

  /** Calls sent so far. */
  countSent(): number {
    return this.#sent;
  }

  /** Closes what has not been used for a while. */
  closeIdle(): void {
    const oldest = this.#options.clock.now() - IDLE_CLOSE_MS;
    [...this.#connections].filter(([, { usedAt }]) => usedAt < oldest)
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
    const connection = { ...opened, usedAt };
    this.#connections.set(address, connection);
    return connection;
  }

  /**
   * Drops a connection after a failed call. The library would keep it and send
   * what is queued once it is open again, long after the caller gave up.
   */
  #drop(address: string): void {
    this.#connections.get(address)?.close();
    this.#connections.delete(address);
  }
}

function openConnection<Router extends AnyRouter>(
  address: string,
  options: PeerClientsOptions,
): Omit<Connection<Router>, "usedAt"> {
  const tls = options.getTls?.();
  const socket = trpc.createWSClient({
    url: `${tls === undefined ? "ws" : "wss"}://${address}`,
    // deno-lint-ignore no-explicit-any -- the library asks for the browser's type
    WebSocket: buildSocketClass(tls) as any,
    connectionParams: { secret: options.secret },
    retryDelayMs: () => 200,
  });
  const client = trpc.createTRPCClient<Router>({
    // What the link asks for beyond the client depends on the router's
    // transformer, of which ours have none.
    links: [
      trpc.wsLink({ client: socket } as trpc.WebSocketLinkOptions<Router>),
    ],
  });
  const close = () => void socket.close().catch(() => undefined);
  return {
    client,
    close: () => {
      close();
      CLOSE_AGAIN_MS.forEach((ms) => setTimeout(close, ms));
    },
  };
}

/** The library gives a socket no options, so they are bound to its class. */
function buildSocketClass(tls: server.PeerTls | undefined): unknown {
  if (tls === undefined) return websocket.WebSocket;
  return new Proxy(websocket.WebSocket, {
    construct: (target, [url]) =>
      new target(url, { ...tls, checkServerIdentity: acceptAnyName }),
  });
}

/**
 * Hosts are known by IP number, so the name in a certificate says nothing; its
 * authority is what counts, and that is checked. Node takes any value but
 * undefined for an error, whatever the library's type says.
 */
function acceptAnyName(): boolean {
  return undefined as unknown as boolean;
}

/** The library's sockets do not end a call on its signal while they connect. */
function withTimeout<Answer>(
  ms: number,
  run: (signal: AbortSignal) => Promise<Answer>,
): Promise<Answer> {
  const abort = new AbortController();
  return new Promise<Answer>((resolve, reject) => {
    const timer = setTimeout(() => {
      abort.abort();
      reject(new Error(`No answer within ${ms} ms.`));
    }, ms);
    run(abort.signal).then(resolve, reject).finally(() => clearTimeout(timer));
  });
}
