/** HTTP client of the platform's fleet API. */
import * as z from "zod";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

const PEER = "fleet";

const STATE = z.enum(["live", "leaving"]);

const HOST = z.object({
  name: z.string(),
  failureDomain: z.string(),
  /** Address of the host's peer port. */
  address: z.string(),
  state: STATE,
});

const SERVER: z.ZodType<core.ServerInfo> = z.object({
  name: z.string(),
  pool: z.string(),
  url: z.string(),
  state: STATE,
  slots: z.number().optional(),
  ownLimit: z.number().optional(),
  failureDomain: z.string().optional(),
  instance: z.string().optional(),
  coldMs: z.number().optional(),
  software: z.string().optional(),
});

/** A host in the platform's list, which may be out of date. */
export type ListedHost = Readonly<z.infer<typeof HOST>>;

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
    { path, step, body, schema }: {
      readonly path: string;
      readonly step: string;
      readonly body?: unknown;
      readonly schema?: z.ZodType<Answer>;
    },
  ) =>
    utils.sendJson({
      method,
      url: `${url}${path}`,
      body,
      schema,
      step: `fleet.${step}`,
      peer: PEER,
    });
  return {
    listHosts: async () => {
      const answer = await send("GET", {
        path: "/v1/hosts",
        schema: z.object({ hosts: z.array(HOST) }),
        step: "listHosts",
      });
      return answer.map((list) => list.hosts);
    },
    listServers: async (failureDomain) => {
      const domain = encodeURIComponent(failureDomain);
      const answer = await send("GET", {
        path: `/v1/servers?failure_domain=${domain}`,
        schema: z.object({ servers: z.array(SERVER) }),
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
