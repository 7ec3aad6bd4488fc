/**
 * Decides which requests a host that has lost its links to the servers hands to
 * other hosts, and to which ones.
 */
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as hostState from "./host_state.ts";
import * as linkChecks from "./link_checks.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as senderHandover from "./sender_handover.ts";

/** A host with working links that takes requests of other hosts. */
export interface PeerHost {
  readonly host: string;
  readonly failureDomain: string;
  /** Services of which it reaches a server. */
  readonly targets: readonly string[];
  /** Requests that wait there. */
  readonly queued: number;
}

/** Number of hosts that a request may be handed to, one after another. */
const MAX_PEERS = 2;
/** Number of values among which the share of returning requests is drawn. */
const DRAW_VALUES = 2 ** 32;

/**
 * Hands the queued requests to other hosts, those of higher tiers first, as far
 * as this host does not run them over its own links.
 *
 * @example
 * forwardQueued(state);
 */
export function forwardQueued(state: hostState.HostState): void {
  senderHandover.forwardToSenders(state);
  if (state.peers.length === 0) return;
  const shares = new Map(
    state.queue.listNonEmptyLanes().map(({ target }) => [
      target,
      linkChecks.getOwnShare(state, target),
    ]),
  );
  if ([...shares.values()].every((share) => share === 1)) return;
  state.queue.removeWhere((entry) => {
    const ownShare = shares.get(entry.request.target) ?? 1;
    return ownShare < 1 && mayHandOver(state, { entry, ownShare });
  })
    .toSorted((a, b) => a.request.tier - b.request.tier)
    .forEach((entry) => forwardEntry(state, entry));
}

/** Whether a request is handed over: another host may run it, and it is not in the share that this host runs. */
function mayHandOver(
  state: hostState.HostState,
  { entry, ownShare }: {
    readonly entry: queue.QueuedRequest;
    readonly ownShare: number;
  },
): boolean {
  const { request, ran } = entry;
  const isSafe = ran === "no" || request.repeatable ||
    (request.resumable ?? false);
  const attemptsLeft = (request.maxAttempts ?? constants.MAX_ATTEMPTS) -
    countSent(entry);
  // A request that may crash servers is not sent to further hosts.
  return isSafe && !isSuspectForSure(state, request) && attemptsLeft > 0 &&
    isTakenElsewhere(state, request) &&
    (ownShare === 0 || drawFor(request.id) >= ownShare);
}

/**
 * Whether another host takes requests such as this one.
 *
 * @example
 * if (isTakenElsewhere(state, request)) stopAttempt(state, attempt);
 */
export function isTakenElsewhere(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  return !request.handedOver && listPeers(state, request).length > 0;
}

/** Whether enough servers have ended for certain while a request was in flight there. */
function isSuspectForSure(
  { suspects, doubts }: hostState.HostState,
  { fingerprint }: request.Request,
): boolean {
  return suspects.isSuspect(fingerprint) &&
    suspects.isSuspectWithout(fingerprint, (server) => doubts.has(server));
}

/**
 * Whether this host has lost its links and leaves a request to hosts that have not,
 * which know better whether servers have ended.
 *
 * @example
 * if (isLeftToPeers(state, request)) return undefined;
 */
export function isLeftToPeers(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  return linkChecks.hasLostLinks(state, request.target) &&
    isTakenElsewhere(state, request) && !isSuspectForSure(state, request);
}

/**
 * Whether other hosts serve a target for this one, which has lost its links.
 *
 * @example
 * targets.filter((target) => !isServedElsewhere(state, target));
 */
export function isServedElsewhere(
  state: hostState.HostState,
  target: string,
): boolean {
  return linkChecks.hasLostLinks(state, target) &&
    state.peers.some(({ targets }) => targets.includes(target));
}

/** Returns the same number in [0, 1) for a request each time. */
function drawFor(requestId: string): number {
  return utils.hashSeed(requestId) / DRAW_VALUES;
}

function countSent({ attempt, unsentAttempts }: queue.QueuedRequest): number {
  return attempt - 1 - unsentAttempts;
}

function forwardEntry(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): void {
  state.effects.push({
    kind: "hand_over",
    request: entry.request,
    peers: choosePeers(state, entry.request),
    sent: countSent(entry),
    cause: "links_lost",
  });
}

/** Lists the hosts that may run a request; one that is bound to regions leaves them for no host. */
function listPeers(
  { peers }: hostState.HostState,
  { target, allowedDomains }: request.Request,
): readonly PeerHost[] {
  return peers.filter((peer) =>
    peer.targets.includes(target) &&
    (allowedDomains?.includes(peer.failureDomain) ?? true)
  );
}

/** Chooses the hosts to which a request is handed: each time the less loaded of two random ones. */
function choosePeers(
  state: hostState.HostState,
  request: request.Request,
): string[] {
  const left = [...listPeers(state, request)];
  const take = () => left.splice(state.random.below(left.length), 1)[0];
  return Array.from({ length: Math.min(MAX_PEERS, left.length) }, () => {
    const drawn = take();
    if (left.length === 0) return drawn.host;
    const other = take();
    const isBetter = drawn.queued <= other.queued;
    left.push(isBetter ? other : drawn);
    return (isBetter ? drawn : other).host;
  });
}
