/** Connections to backend servers, one pool for each server's incarnation. */
import type * as core from "@banyangrade/core";
import * as service from "@banyangrade/service";
import type * as utils from "@banyangrade/utils";

/** Part of a server's connections that all hosts together open. */
const USED_SHARE = 0.8;
/** Connections that each host may open in any case. */
const LEAST_CONNECTIONS = 4;

/** Opens and closes the pools. */
export class ServerPools {
  readonly #pools = new Map<string, service.ServerConnections>();
  readonly #clock: utils.Clock;
  #hosts = 1;

  constructor(options: { readonly clock: utils.Clock }) {
    this.#clock = options.clock;
  }

  /** Takes over how many hosts share each server's connections. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /**
   * Returns how many requests this host may give to one server at a time: as
   * many as it opens connections. More would wait inside the HTTP client, where
   * neither a leaving server nor a withdrawn key stops them.
   */
  getLimit(name: string, connectionLimit: number): number {
    return this.#pools.get(name)?.limit ?? this.#computeShare(connectionLimit);
  }

  #computeShare(connectionLimit: number): number {
    const part = USED_SHARE * connectionLimit / this.#hosts;
    return Math.max(LEAST_CONNECTIONS, Math.floor(part));
  }

  /** Whether a connection to a server is open that nothing uses. */
  hasFree(name: string): boolean {
    return this.#pools.get(name)?.hasFree() ?? false;
  }

  /** Returns the connections to a server, which is made on first use. */
  get(
    server: core.ServerInfo,
    options: { readonly connectionLimit: number },
  ): service.ServerConnections {
    const known = this.#pools.get(server.name);
    if (known !== undefined) return known;
    const pool = service.createServerConnections(server.url, {
      connections: this.#computeShare(options.connectionLimit),
      clock: this.#clock,
    });
    this.#pools.set(server.name, pool);
    return pool;
  }

  /** Closes the pools of servers that are no longer listed, as their work ends. */
  keep(names: ReadonlySet<string>): void {
    [...this.#pools].filter(([name]) => !names.has(name))
      .forEach(([name, pool]) => {
        this.#pools.delete(name);
        void pool.close();
      });
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}
