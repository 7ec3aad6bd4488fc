/** Client of the fleet interface. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

const PEER = "fleet";

/** A host as the platform lists it; the list lags. */
export interface ListedHost {
  readonly name: string;
  readonly failureDomain: string;
  /** Address of its peer port. */
  readonly address: string;
  readonly state: "live" | "leaving";
}

/** An order for a pool's size. */
export interface PoolOrder {
  readonly pool: string;
  readonly count: number;
  readonly fencingToken: number;
  /** The same for each repetition of one order. */
  readonly orderId: string;
}

/** The calls of the fleet interface. */
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
 * Makes a client.
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
