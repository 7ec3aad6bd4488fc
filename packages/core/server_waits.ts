/**
 * Times until backend servers take requests again: rests that they ask for, and
 * permits of servers that name limits.
 *
 * Guards against a server that refuses at once, counts as idle and therefore gets
 * more requests than before, and against requests that wait for servers that will
 * not take them in time.
 */
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as senderHandover from "./sender_handover.ts";
import * as serverState from "./server_state.ts";

/** Selects the servers that may run a request. */
type ServerSelector = Pick<
  request.Request,
  "target" | "allowedDomains" | "software"
>;

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
    targets.includes(entry.request.target) &&
    !mayStartInTime(state, entry.request)
  );
  late.forEach((entry) => refuseLate(state, entry));
}

/**
 * Estimates the time until this host may send a request to one of its servers, in
 * ms; 0 if it may now, or if there is no server.
 *
 * @example
 * const waitMs = estimateStart(state, request);
 */
export function estimateStart(
  state: hostState.HostState,
  selector: ServerSelector,
): number {
  const { limits, brittle, now } = state;
  return findShortest(state, {
    selector,
    measure: (server) =>
      Math.max(
        limits.getWaitMs(server.info.name, now),
        brittle.getWaitMs(serverState.toBrittleTarget(server), {
          slots: serverState.getSlots(server),
          now,
        }),
      ),
  });
}

/**
 * Estimates the time until a caller may succeed at some host, in ms. Another host
 * may have its permit for a limited server sooner than this one.
 *
 * @example
 * const retryMs = estimateRetry(state, request);
 */
export function estimateRetry(
  state: hostState.HostState,
  selector: ServerSelector,
): number {
  const { limits, now } = state;
  return findShortest(state, {
    selector,
    measure: ({ info: { name } }) =>
      Math.min(limits.getWaitMs(name, now), limits.getIntervalMs(name)),
  });
}

/** Finds the shortest time until a server ends its rest and its limit allows a request. */
function findShortest(
  state: hostState.HostState,
  { selector, measure }: {
    readonly selector: ServerSelector;
    /** Measures the time until the limit of a server allows a request, in ms. */
    readonly measure: (server: serverState.ServerState) => number;
  },
): number {
  const waits = state.table.listFor(selector.target)
    .filter((server) =>
      server.info.state === "live" && serverState.mayRunAt(server, selector)
    )
    .map((server) =>
      Math.max(0, server.restUntil - state.now, measure(server))
    );
  return waits.length === 0 ? 0 : Math.min(...waits);
}

/**
 * Whether a server takes a request within the time that it may wait, as far as
 * rests and permits are concerned.
 *
 * @example
 * if (!mayStartInTime(state, request)) refuseLate(state, entry);
 */
export function mayStartInTime(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  const waitMs = estimateStart(state, request);
  return waitMs === 0 || senderHandover.isTakenBySender(state, request) ||
    state.now + waitMs <= request.startBy;
}

/**
 * Refuses a request that no server takes in time, and says when to retry.
 *
 * @example
 * refuseLate(state, { request, ran: "no" });
 */
export function refuseLate(
  state: hostState.HostState,
  { request, ran }: Pick<queue.QueuedRequest, "request" | "ran">,
): void {
  hostState.refuse(state, {
    refused: request,
    code: "overloaded",
    ran,
    waitMs: ran === "no" ? estimateRetry(state, request) : undefined,
  });
}
