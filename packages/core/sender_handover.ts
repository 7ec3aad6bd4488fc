/**
 * Decides which requests this host hands to the senders of brittle servers, because
 * it may not send them there itself or has no room as a sender.
 */
import * as utils from "@banyangrade/utils";
import type * as brittleSenders from "./brittle_senders.ts";
import * as constants from "./constants.ts";
import type * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as senderRooms from "./sender_rooms.ts";
import * as serverState from "./server_state.ts";

/** Number of senders that a request may be handed to, one after another. */
const MAX_SENDERS = 4;

/** A host that sends to brittle servers. */
interface Sender {
  readonly host: string;
  readonly isNear: boolean;
  /** Requests that it could start when it last reported, less those that waited there. */
  readonly room: number;
}

/**
 * Hands the queued requests that this host cannot start now to senders of brittle
 * servers, those of higher tiers first.
 *
 * @example
 * forwardToSenders(state);
 */
export function forwardToSenders(state: hostState.HostState): void {
  if (state.queue.size === 0 || !state.brittle.hasAny()) return;
  const full = new Set(
    state.queue.listNonEmptyLanes().map(({ target }) => target)
      .filter((target) => measureOwnRoom(state, target)?.free === 0),
  );
  if (full.size === 0) return;
  state.queue.removeWhere((entry) =>
    full.has(entry.request.target) && mayHandOver(state, entry)
  )
    .toSorted((a, b) => a.request.tier - b.request.tier)
    .forEach((entry) =>
      state.effects.push({
        kind: "hand_over",
        request: entry.request,
        peers: chooseSenders(state, entry.request),
        sent: countSent(entry),
        cause: "brittle",
      })
    );
}

/**
 * Whether a sender of brittle servers may take a request that this host cannot
 * start.
 *
 * @example
 * if (isTakenBySender(state, request)) return;
 */
export function isTakenBySender(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  return !request.handedOver && state.brittle.hasAny() &&
    listSenders(state, request).length > 0;
}

/**
 * Measures the room of this host at the servers of a target, if all that it could
 * use there are brittle and have senders; undefined otherwise.
 *
 * @example
 * const slots = measureOwnRoom(state, "rooms")?.slots;
 */
export function measureOwnRoom(
  state: hostState.HostState,
  target: string,
): senderRooms.SenderRoom | undefined {
  const { table, brittle, now } = state;
  if (!brittle.hasAny()) return undefined;
  const hasOther = table.listFor(target).some((server) =>
    serverState.isInUse(server, now) &&
    !brittle.isBrittle(serverState.toBrittleTarget(server), now)
  );
  if (hasOther) return undefined;
  const rooms = table.listPoolsFor(target)
    .map(({ part: { name } }) => senderRooms.measureRoom(state, name));
  return rooms.reduce<senderRooms.SenderRoom | undefined>(
    (sum, room) =>
      sum && room &&
      { slots: sum.slots + room.slots, free: sum.free + room.free },
    rooms.length === 0 ? undefined : { slots: 0, free: 0 },
  );
}

/** Whether a queued request is handed over: another host may run it, and nothing of it may run twice. */
function mayHandOver(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): boolean {
  const { request, ran, suspect } = entry;
  const isSafe = ran === "no" || request.repeatable ||
    (request.resumable ?? false);
  const attemptsLeft = (request.maxAttempts ?? constants.MAX_ATTEMPTS) -
    countSent(entry);
  return isSafe && !suspect && attemptsLeft > 0 &&
    isTakenBySender(state, request);
}

function countSent({ attempt, unsentAttempts }: queue.QueuedRequest): number {
  return attempt - 1 - unsentAttempts;
}

/** Lists the senders that may run a request; a host that is a sender itself only uses those with room. */
function listSenders(
  state: hostState.HostState,
  request: request.Request,
): Sender[] {
  const { table, brittle, now, failureDomain } = state;
  const own = measureOwnRoom(state, request.target);
  if (own === undefined) return [];
  const mayRun = ({ server }: brittleSenders.SenderAssignment) => {
    const known = table.get(server);
    return known !== undefined && serverState.mayRunAt(known, request);
  };
  const senders = table.listPoolsFor(request.target)
    .flatMap(({ part: { name } }) => brittle.listOtherSenders(name, now))
    .filter((one) => mayRun(one) && (own.slots === 0 || one.room > 0))
    .map(({ sender, room }): [string, Sender] => [sender.host, {
      host: sender.host,
      isNear: sender.failureDomain === failureDomain,
      room,
    }]);
  return [...new Map(senders).values()];
}

/** Chooses the senders to which a request is handed: with room if there are such, first of this failure domain, more often those with more room. */
function chooseSenders(
  state: hostState.HostState,
  request: request.Request,
): string[] {
  return listSenders(state, request)
    .map((sender) => ({
      ...sender,
      drawn: utils.drawExponential(state.random, 1 / Math.max(1, sender.room)),
    }))
    .toSorted((a, b) =>
      Number(b.room > 0) - Number(a.room > 0) ||
      Number(b.isNear) - Number(a.isNear) || a.drawn - b.drawn
    )
    .slice(0, MAX_SENDERS)
    .map(({ host }) => host);
}
