/** HTTP client of the platform's fleet API. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

const PEER = "fleet";

/** A host in the platform's list, which may be out of date. */
export interface ListedHost {
  readonly name: string;
  readonly failureDomain: string;
  /** Address of the host's peer port. */
  readonly address: string;
  readonly state: "live" | "leaving";
}

/** Order that sets the desired number of servers of a pool. */
export interface PoolOrder {
  readonly pool: string;
  readonly count: number;
  readonly fencingToken: number;
  /** Identifier of the order; retries use the same one. */
  readonly orderId: string;
}

/** Calls of the fleet API. */
export interface FleetClient {
  readonly listHosts: () => Promise<
    utils.Result<ListedHost[], utils.StepError>
  >;
  readonly listServers: (
    failureDomain: string,
  ) => Promise<utils.Result<core.ServerInfo[], utils.StepError>>;
  readonly sendOrder: (
    order: PoolOrder,
  ) => Promise<utils.Result<unknown, utils.StepError>>;
}

/**
 * Creates a client of the fleet API.
 *
 * @example
 * const fleet = createFleetClient("http://127.0.0.1:7400");
 * const servers = (await fleet.listServers("rosenheim")).unwrap();
 */
export function createFleetClient(url: string): FleetClient {
  const send = <Answer>(
    method: "GET" | "PUT",
    { path, step, body }: { path: string; step: string; body?: unknown },
  ) =>
    utils.sendJson<Answer>({
      method,
      url: `${url}${path}`,
      body,
      step: `fleet.${step}`,
      peer: PEER,
    });
  return {
    listHosts: async () => {
      const answer = await send<{ hosts: ListedHost[] }>("GET", {
        path: "/v1/hosts",
        step: "listHosts",
      });
      return answer.map((list) => list.hosts);
    },
    listServers: async (failureDomain) => {
      const domain = encodeURIComponent(failureDomain);
      const answer = await send<{ servers: core.ServerInfo[] }>("GET", {
        path: `/v1/servers?failure_domain=${domain}`,
        step: "listServers",
      });
      return answer.map((list) => list.servers);
    },
    sendOrder: ({ pool, ...body }) =>
      send("PUT", {
        path: `/v1/pools/${encodeURIComponent(pool)}/desired`,
        step: "sendOrder",
        body,
      }),
  };
}
