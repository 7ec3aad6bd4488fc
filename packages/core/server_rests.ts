/**
 * Rests that backend servers ask for: a server that refuses a request may name a
 * time for which it wants nothing from this host.
 *
 * Guards against a server that refuses at once, counts as idle and therefore gets
 * more requests than before, and against requests that wait for servers that will
 * not take them in time.
 */
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/**
 * Grants a server its rest, and refuses the queued requests that would start too
 * late because of it.
 *
 * @example
 * recordRest(state, { server: "s1@1", restMs: 3_000 });
 */
export function recordRest(
  state: hostState.HostState,
  { server, restMs }: { readonly server: string; readonly restMs: number },
): void {
  state.table.recordRest(server, state.now + restMs);
  const targets = state.table.get(server)?.pool.targets ?? [];
  const late = state.queue.removeWhere((entry) =>
    targets.includes(entry.request.target) && isHopeless(state, entry.request)
  );
  late.forEach((entry) => refuseHopeless(state, entry));
}

/**
 * Estimates the time until a server that may run a request ends its rest, in ms;
 * 0 if one of them does not rest, or if there is none.
 *
 * @example
 * const waitMs = estimateRest(state, request);
 */
export function estimateRest(
  state: hostState.HostState,
  selector: Pick<request.Request, "target" | "allowedDomains">,
): number {
  const rests = state.table.listFor(selector.target)
    .filter((server) =>
      server.info.state === "live" && serverState.mayRunAt(server, selector)
    )
    .map(({ restUntil }) => Math.max(0, restUntil - state.now));
  return rests.length === 0 ? 0 : Math.min(...rests);
}

/**
 * Whether all servers that may run a request rest for longer than it may wait.
 *
 * @example
 * if (isHopeless(state, request)) refuseHopeless(state, entry);
 */
export function isHopeless(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  const restMs = estimateRest(state, request);
  return restMs > 0 && state.now + restMs > request.startBy;
}

/**
 * Refuses a request whose servers all rest, with the time until the first one
 * takes requests again.
 *
 * @example
 * refuseHopeless(state, { request, ran: "no" });
 */
export function refuseHopeless(
  state: hostState.HostState,
  { request, ran }: Pick<queue.QueuedRequest, "request" | "ran">,
): void {
  hostState.refuse(state, {
    refused: request,
    code: "overloaded",
    ran,
    waitMs: ran === "no" ? estimateRest(state, request) : undefined,
  });
}
