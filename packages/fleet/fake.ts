/** Fake fleet API for tests: lists of hosts and servers, and scaling orders. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** Fault that the fake fleet API injects. */
export type FleetFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  /** Lists show the state of `ms` milliseconds ago. */
  | { readonly kind: "lag"; readonly ms: number };

/** A running fake fleet API. */
export interface FakeFleet {
  readonly url: string;
  /** Accepted orders, oldest first. */
  readonly orders: readonly client.PoolOrder[];
  readonly setHosts: (hosts: readonly client.ListedHost[]) => void;
  readonly setServers: (
    failureDomain: string,
    servers: readonly core.ServerInfo[],
  ) => void;
  readonly setFault: (fault: FleetFault) => void;
  readonly close: () => Promise<void>;
}

interface ListSnapshot {
  readonly at: number;
  readonly hosts: readonly client.ListedHost[];
  readonly servers: ReadonlyMap<string, readonly core.ServerInfo[]>;
}

/** Options of {@link startFakeFleet}. */
export interface FakeFleetOptions {
  /** @default 0, a free port */
  readonly port?: number;
  /** Whether orders with an outdated fencing token are refused. @default true */
  readonly checksFencing?: boolean;
}

/**
 * Starts a fake fleet API on the loopback interface.
 *
 * @example
 * const fleet = await startFakeFleet({});
 * fleet.setServers("rosenheim", []);
 */
export async function startFakeFleet(
  options: FakeFleetOptions,
): Promise<FakeFleet> {
  const orders: client.PoolOrder[] = [];
  const tokens = new Map<string, number>();
  const history: ListSnapshot[] = [{ at: 0, hosts: [], servers: new Map() }];
  let fault: FleetFault = { kind: "none" };

  function getSnapshot(): ListSnapshot {
    const at = Date.now() - (fault.kind === "lag" ? fault.ms : 0);
    return history.findLast((listed) => listed.at <= at) ?? history[0];
  }

  function acceptOrder(order: client.PoolOrder): utils.JsonAnswer {
    const newest = tokens.get(order.pool) ?? 0;
    if ((options.checksFencing ?? true) && order.fencingToken < newest) {
      return { status: 409, body: { error: "old fencing token" } };
    }
    tokens.set(order.pool, Math.max(newest, order.fencingToken));
    orders.push(order);
    return { status: 200, body: {} };
  }

  function handle(request: utils.JsonRequest): utils.JsonAnswer | undefined {
    if (fault.kind === "down") return undefined;
    const url = new URL(request.path, "http://fleet");
    if (url.pathname === "/v1/hosts") {
      return { status: 200, body: { hosts: getSnapshot().hosts } };
    }
    if (url.pathname === "/v1/servers") {
      const domain = url.searchParams.get("failure_domain") ?? "";
      const servers = getSnapshot().servers.get(domain) ?? [];
      return { status: 200, body: { servers } };
    }
    const pool = /^\/v1\/pools\/([^/]+)\/desired$/.exec(url.pathname)?.[1];
    if (pool === undefined || request.method !== "PUT") {
      return { status: 404, body: {} };
    }
    return acceptOrder({ pool: decodeURIComponent(pool), ...request.body });
  }

  const server = await utils.startJsonServer(options.port ?? 0, handle);
  return {
    url: server.url,
    orders,
    setHosts: (hosts) => {
      const newest = history[history.length - 1];
      history.push({ ...newest, at: Date.now(), hosts });
    },
    setServers: (failureDomain, servers) => {
      const newest = history[history.length - 1];
      const next = new Map(newest.servers).set(failureDomain, servers);
      history.push({ ...newest, at: Date.now(), servers: next });
    },
    setFault: (next) => {
      fault = next;
    },
    close: server.close,
  };
}
