/**
 * Requests that no listed server may run: they are bound to failure domains, or
 * their stream to a software version, that have no server left. They are refused
 * at once instead of being queued until their deadline.
 */
import * as hostState from "./host_state.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/**
 * Whether a live server is in one of the failure domains and of the software
 * version to which the request is bound, if any.
 *
 * @example
 * if (!hasEligibleServer(state, request)) refuse(state, { refused: request });
 */
export function hasEligibleServer(
  { table }: hostState.HostState,
  request: request.Request,
): boolean {
  const { allowedDomains, software, target } = request;
  if (allowedDomains === undefined && software === undefined) return true;
  return table.listFor(target).some((server) =>
    server.info.state === "live" && serverState.mayRunAt(server, request)
  );
}

/**
 * Refuses the queued requests whose stream was begun by a software version that no
 * listed server has any more.
 *
 * @example
 * refuseStranded(state);
 */
export function refuseStranded(state: hostState.HostState): void {
  if (state.queue.size === 0) return;
  const stranded = state.queue.removeWhere(({ request }) =>
    request.software !== undefined && !hasEligibleServer(state, request)
  );
  stranded.forEach(({ request: refused, ran }) =>
    hostState.refuse(state, { refused, code: "no_capacity", ran })
  );
}
