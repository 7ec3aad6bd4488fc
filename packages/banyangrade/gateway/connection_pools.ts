/** Connection pools to backend servers, one for each incarnation of a server. */
import type * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import * as utils from "@banyangrade/utils";

/** Share of a server's connection limit that all hosts together use. */
const CONNECTION_SHARE = 0.8;
/** Number of connections that each host may open regardless of its share. */
const MIN_CONNECTIONS = 4;

/** Options of {@link ConnectionPools}. */
export interface ConnectionPoolsOptions {
  readonly clock: utils.Clock;
  /** Whether a server may still get requests that were assigned to it. */
  readonly maySendTo: (server: string) => boolean;
  /** Called when a connection to a server was opened. */
  readonly onConnected: (server: string) => void;
  /** Called with what closing a pool threw. */
  readonly onError: (thrown: unknown) => void;
}

/** Opens and closes the connection pools. */
export class ConnectionPools {
  readonly #pools = new Map<string, service.ServerConnections>();
  readonly #clock: utils.Clock;
  readonly #maySendTo: (server: string) => boolean;
  readonly #onConnected: (server: string) => void;
  readonly #onError: (thrown: unknown) => void;
  #hosts = 1;

  constructor(options: ConnectionPoolsOptions) {
    this.#clock = options.clock;
    this.#maySendTo = options.maySendTo;
    this.#onConnected = options.onConnected;
    this.#onError = options.onError;
  }

  /** Sets the number of hosts that share each server's connections. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /**
   * Returns the limit of concurrent requests to a server: the number of
   * connections. Further requests would queue inside the HTTP client, and would be
   * sent even after the server starts to leave or the key is withdrawn.
   */
  getLimit(name: string, connectionLimit: number): number {
    return this.#pools.get(name)?.limit ?? this.#computeShare(connectionLimit);
  }

  #computeShare(connectionLimit: number): number {
    const part = CONNECTION_SHARE * connectionLimit / this.#hosts;
    return Math.max(MIN_CONNECTIONS, Math.floor(part));
  }

  /** Whether an open connection to the server is idle. */
  hasIdleConnection(name: string): boolean {
    return this.#pools.get(name)?.hasIdleConnection() ?? false;
  }

  /** Returns the connection pool of a server; it is created on first use. */
  get(
    server: core.ServerInfo,
    options: { readonly connectionLimit: number },
  ): service.ServerConnections {
    const known = this.#pools.get(server.name);
    if (known !== undefined) return known;
    const pool = service.createServerConnections(server.url, {
      connections: this.#computeShare(options.connectionLimit),
      clock: this.#clock,
      maySend: () => this.#maySendTo(server.name),
      onConnected: () => this.#onConnected(server.name),
    });
    this.#pools.set(server.name, pool);
    return pool;
  }

  /**
   * Opens a connection of its own for one attempt at a server that refused the same
   * request before. On the earlier connection a second copy of that refusal may still
   * arrive, with the same identifier, while the server runs the request.
   */
  openFresh(server: core.ServerInfo): service.ServerConnections {
    return service.createServerConnections(server.url, {
      connections: 1,
      clock: this.#clock,
      maySend: () => this.#maySendTo(server.name),
    });
  }

  /** Closes a pool; running requests are completed first. */
  closePool(connections: service.ServerConnections): void {
    utils.runDetached(() => connections.close(), this.#onError);
  }

  /** Closes the pools of servers that are no longer listed; running requests are completed first. */
  closeUnlisted(names: ReadonlySet<string>): void {
    [...this.#pools].filter(([name]) => !names.has(name))
      .forEach(([name, pool]) => {
        this.#pools.delete(name);
        this.closePool(pool);
      });
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
