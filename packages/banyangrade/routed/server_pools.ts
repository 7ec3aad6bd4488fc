/** Connections to backend servers, one pool for each server's incarnation. */
import * as undici from "undici";
import type * as core from "@banyangrade/core";

/** Longest wait for a new connection, in ms: some hundred times the way between failure domains. */
const CONNECT_MS = 400;
/**
 * Idle time after which a connection is closed, in ms, where the server names
 * none. A request that is sent into a connection just closing has an unknown
 * outcome, so it must be shorter than what servers commonly allow.
 */
const IDLE_MS = 4_000;
/** Part of a server's connections that all hosts together open. */
const USED_SHARE = 0.8;
/** Connections that each host may open in any case. */
const LEAST_CONNECTIONS = 4;

/** Opens and closes the pools. */
export class ServerPools {
  readonly #pools = new Map<string, undici.Pool>();
  #hosts = 1;

  /** Takes over how many hosts share each server's connections. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /** Returns the connections to a server, which is made on first use. */
  get(
    server: core.ServerInfo,
    options: { readonly connectionLimit: number },
  ): undici.Pool {
    const known = this.#pools.get(server.name);
    if (known !== undefined) return known;
    const part = USED_SHARE * options.connectionLimit / this.#hosts;
    const pool = new undici.Pool(server.url, {
      connections: Math.max(LEAST_CONNECTIONS, Math.floor(part)),
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      connect: { timeout: CONNECT_MS },
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
