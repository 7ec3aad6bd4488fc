/** Admission control: refuses an arriving request at once, or queues it. */
import * as admissionEstimates from "./admission_estimates.ts";
import * as constants from "./constants.ts";
import * as crashingParts from "./crashing_parts.ts";
import * as hostState from "./host_state.ts";
import * as overflow from "./overflow.ts";
import type * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as serverAvailability from "./server_availability.ts";
import * as senderHandover from "./sender_handover.ts";
import type * as serverState from "./server_state.ts";
import * as serverWaits from "./server_waits.ts";
import * as strandedRequests from "./stranded_requests.ts";
import * as suspectChecks from "./suspect_checks.ts";
import * as dispatching from "./dispatching.ts";

/**
 * Refuses or queues an arriving request, then dispatches the queue of its target.
 *
 * @example
 * admitRequest(state, request);
 */
export function admitRequest(
  state: hostState.HostState,
  request: request.Request,
): void {
  const reason = findRefusalReason(state, request);
  if (reason !== undefined) {
    return hostState.refuse(state, { refused: request, ran: "no", ...reason });
  }
  if (shedLoad(state, request)) return;
  if (request.kind === "generate") {
    state.prompts.record(request);
  }
  if (!request.handedOver) {
    state.budget.recordFirst(request.target, state.now);
  }
  state.queue.add({
    request,
    attempt: 1,
    unsentAttempts: 0,
    offset: 0,
    ran: "no",
    missedTarget: false,
    atFront: false,
    postponements: 0,
    suspect: state.suspects.isSuspect(request.fingerprint),
  });
  dispatching.dispatchQueue(state, [request.target]);
}

/** Returns why a request must be refused whatever the load is, or undefined. */
function findRefusalReason(
  state: hostState.HostState,
  request: request.Request,
): Pick<refusals.RefusalReason, "code" | "waitMs"> | undefined {
  if (state.draining) return { code: "draining", waitMs: 0 };
  const suspicion = suspectChecks.findRefusal(state, request) ??
    crashingParts.findArrivalRefusal(state, request);
  if (suspicion !== undefined) return suspicion;
  const holdMs = state.suspects.getHoldMs(request.fingerprint, state.now);
  if (holdMs > 0) return { code: "poison_request", waitMs: holdMs };
  const isServed = overflow.hasLocalServer(state, request) ||
    overflow.mayOverflow(state, request);
  if (!isServed || !strandedRequests.hasEligibleServer(state, request)) {
    return { code: "no_capacity", waitMs: Number.POSITIVE_INFINITY };
  }
  return undefined;
}

/**
 * Sheds load if the request would start too late or the queue is full. A full
 * queue drops a queued request of a lower tier first. The request itself is refused
 * unless it can preempt work or use slots of another failure domain. Returns
 * whether it was refused.
 */
function shedLoad(
  state: hostState.HostState,
  request: request.Request,
): boolean {
  const pools = hostState.listPoolsFor(state, request);
  const slotMs = estimateWait(state, { request, pools });
  // While requests wait for an attempt at an ejected server, the backlog does not
  // show how long they will wait.
  const isPanicking = serverAvailability.isPanicking(
    state.table.listEligible(request),
    state.now,
  );
  const isSlow = !isPanicking && slotMs > request.startBy - state.now &&
    !senderHandover.isTakenBySender(state, request);
  const isTooLate = isSlow ||
    !serverWaits.mayStartInTime(state, request);
  const isFull = state.queue.size >= constants.MAX_QUEUED;
  if (!isTooLate && !isFull) return false;
  const waitMs = Math.max(slotMs, serverWaits.estimateRetry(state, request));
  if (isFull && shedLowestTier(state, { request, waitMs })) return false;
  // A request is not refused while work of a lower tier runs anywhere in the
  // failure domain: it waits until other hosts release the slots recalled
  // from them.
  if (!isFull && hasPreemptibleWork(state, { request, pools })) {
    state.effects.push({ kind: "ask_capacity" });
    return false;
  }
  if (!isFull && overflow.mayOverflow(state, request)) return false;
  const refused = { refused: request, ran: "no", waitMs } as const;
  hostState.refuse(state, { ...refused, code: "overloaded" });
  return true;
}

/**
 * Refuses the newest queued request of the lowest tier; returns false if no
 * request of a tier lower than that of `request` is queued.
 */
function shedLowestTier(
  state: hostState.HostState,
  { request, waitMs }: {
    readonly request: request.Request;
    readonly waitMs: number;
  },
): boolean {
  const shed = state.queue.removeLowestTier(request.tier);
  if (shed === undefined) return false;
  hostState.refuse(state, {
    refused: shed.request,
    code: "overloaded",
    ran: shed.ran,
    waitMs,
  });
  return true;
}

/** A request and the pools of this failure domain that may serve it. */
interface RequestPools {
  readonly request: request.Request;
  readonly pools: readonly serverState.PoolState[];
}

/** Whether work of a lower tier that the request may preempt runs, here or on another host. */
function hasPreemptibleWork(
  state: hostState.HostState,
  { request, pools }: RequestPools,
): boolean {
  const isGrantFresh =
    state.now - state.grantDemandAt <= constants.GRANT_VALID_MS;
  return (isGrantFresh &&
    admissionEstimates.hasLowerTierWorkElsewhere(request.tier, pools)) ||
    hostState.findVictim(state, request) !== undefined;
}

/** Estimates how long the request would wait for a slot, in ms. */
function estimateWait(
  state: hostState.HostState,
  { request, pools }: RequestPools,
): number {
  const backlog = admissionEstimates.measureBacklog(request, {
    lanes: state.queue.listNonEmptyLanesFor([request.target]),
    pools,
    serviceMs: state.lengths.get(hostState.getEstimateKey(request)).serviceMs,
  });
  // At brittle servers a host has the slots only whose sender it is.
  const slots = senderHandover.measureOwnRoom(state, request.target)?.slots ??
    backlog.slots;
  return admissionEstimates.estimateWait({ ...backlog, slots });
}
