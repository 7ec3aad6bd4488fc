/**
 * Decides which servers may be sent a request that no server has room for by the
 * usual rules: ejected servers if no other server is in use, servers in their slow
 * start, and plain services whose slots are all in use.
 *
 * Guards against requests that are refused without an attempt although a server
 * of a small service would answer them: all hosts ejected its servers for a
 * failure that is over, or count slots as used that are free again.
 */
import * as serverState from "./server_state.ts";

/** Time between the failure of an attempt at an ejected server and the next attempt there, in ms. */
const EJECTED_RETRY_MS = 200;
/** Share of a call's target within which it must reach a slot of a server whose slots are all in use. */
const QUEUE_TARGET_SHARE = 0.5;
/** Longest time for which a server that refused a call as full is avoided, as a share of the call's target. */
const FULL_TARGET_SHARE = 0.5;
/** Time without a request to an ejected server after which a target may leave the panic state, in ms. */
const PANIC_HOLD_MS = 1_000;

/** The request for which servers are listed. */
export interface AvailabilityOptions {
  readonly now: number;
  /** Time until a call must reach a slot and mean service time of its target, in ms; undefined if it must not exceed the slots. */
  readonly call?: { readonly remainingMs: number; readonly serviceMs: number };
}

/**
 * Lists the servers that a request may be sent to although none has room by the
 * usual rules. `servers` are those that may run the request. Permits of cold
 * and of limited servers must be checked in addition.
 *
 * @example
 * listAvailable(servers, { now });
 */
export function listAvailable(
  servers: readonly serverState.ServerState[],
  { now, call }: AvailabilityOptions,
): serverState.ServerState[] {
  const open = servers.filter((server) => isOpen(server, now));
  if (isPanicking(servers, now)) {
    return open.filter((server) => mayTryEjected(server, now));
  }
  const inUse = open.filter((server) => serverState.isInUse(server, now));
  if (!inUse.some((server) => serverState.hasRoom(server, now))) {
    const starting = inUse.filter((server) => mayEndSlowStart(server, now));
    if (starting.length > 0) return starting;
  }
  if (call === undefined) return [];
  return inUse.filter((server) =>
    !serverState.isStartingSlowly(server, now) &&
    estimateQueueMs(server, { now, serviceMs: call.serviceMs }) <=
      call.remainingMs
  );
}

/**
 * Whether requests are sent to ejected servers: some of these servers may be
 * used, and none is in use.
 *
 * @example
 * if (isPanicking(servers, now)) return listEjected(servers);
 */
export function isPanicking(
  servers: readonly serverState.ServerState[],
  now: number,
): boolean {
  return servers.some((server) => serverState.maySendTo(server, now)) &&
    !servers.some((server) => serverState.isInUse(server, now));
}

/**
 * Returns the time until a call must reach a slot, if it is sent to a server
 * whose slots are all in use.
 *
 * @example
 * getQueueLimitMs({ arrivedAt: 0, targetMs: 200 }, 40); // 60
 */
export function getQueueLimitMs(
  request: { readonly arrivedAt: number; readonly targetMs: number },
  now: number,
): number {
  return QUEUE_TARGET_SHARE * request.targetMs - (now - request.arrivedAt);
}

/**
 * Returns the time for which a server that refused a call as full is avoided:
 * the mean service time, in which a slot becomes free.
 *
 * @example
 * getFullMs({ targetMs: 200 }, 43); // 43
 */
export function getFullMs(
  request: { readonly targetMs: number },
  serviceMs: number,
): number {
  return Math.min(serviceMs, FULL_TARGET_SHARE * request.targetMs);
}

/**
 * Whether any request may be sent to a server, apart from its load and ejection.
 */
function isOpen(server: serverState.ServerState, now: number): boolean {
  return serverState.maySendTo(server, now) && now >= server.fullUntil &&
    server.running < (server.info.ownLimit ?? Number.POSITIVE_INFINITY);
}

/**
 * Whether an ejected server may be tried. A server that has not responded since
 * its ejection gets one attempt at a time, so that a server that is gone does
 * not get an attempt from each request at once.
 */
function mayTryEjected(
  server: serverState.ServerState,
  now: number,
): boolean {
  if (server.isResponding) return hasFreeSlot(server, now);
  return server.running === 0 && now >= server.retryAt;
}

function hasFreeSlot(server: serverState.ServerState, now: number): boolean {
  return serverState.estimateLoad(server, now) < serverState.getSlots(server);
}

/** Whether a server in its slow start may take its full slots: it has responded since its ejection, and did not ask for rest. */
function mayEndSlowStart(
  server: serverState.ServerState,
  now: number,
): boolean {
  return serverState.isStartingSlowly(server, now) && server.isResponding &&
    server.admittedAt !== server.restUntil && hasFreeSlot(server, now);
}

/** Estimates how long a call waits for a slot of a plain service, in ms; engines take no call beyond their slots. */
function estimateQueueMs(
  server: serverState.ServerState,
  { now, serviceMs }: { readonly now: number; readonly serviceMs: number },
): number {
  if (server.pool.serves !== "service") return Number.POSITIVE_INFINITY;
  const slots = serverState.getSlots(server);
  const ahead = serverState.estimateLoad(server, now) + 1 - slots;
  return Math.max(0, ahead) * serviceMs / slots;
}

/**
 * Records that a server responded to an attempt.
 *
 * @example
 * recordResponse(server);
 */
export function recordResponse(server: serverState.ServerState): void {
  server.isResponding = true;
}

/**
 * Records that an attempt at a server ended without a response.
 *
 * @example
 * recordNoResponse(server, now);
 */
export function recordNoResponse(
  server: serverState.ServerState,
  now: number,
): void {
  server.isResponding = false;
  server.retryAt = now + EJECTED_RETRY_MS;
}

/**
 * Ends the ejection of a server that completed a response to a request sent
 * during the ejection. A rest that it asked for since continues.
 *
 * @example
 * endEjection(server, now);
 */
export function endEjection(
  server: serverState.ServerState,
  now: number,
): void {
  if (now < server.restUntil || now >= server.ejectedUntil) return;
  server.ejectedUntil = now;
  server.admittedAt = now;
}

/** The targets for which requests are sent to ejected servers. */
export class PanicTargets {
  /** Time of the last request to an ejected server, monotonic ms. */
  readonly #lastSentAt = new Map<string, number>();

  /** Records a request to an ejected server; returns whether its target enters the panic state. */
  recordSent(target: string, now: number): boolean {
    const entered = !this.#lastSentAt.has(target);
    this.#lastSentAt.set(target, now);
    return entered;
  }

  /** Removes and returns the targets that leave the panic state: `hasEnded` holds for them, and no request was sent to an ejected server recently. */
  removeEnded(hasEnded: (target: string) => boolean, now: number): string[] {
    const ended = [...this.#lastSentAt].filter(([target, sentAt]) =>
      now - sentAt >= PANIC_HOLD_MS && hasEnded(target)
    ).map(([target]) => target);
    ended.forEach((target) => this.#lastSentAt.delete(target));
    return ended;
  }
}
