/** Periodic work: preempts for delayed requests and refuses those past their start deadline. */
import * as admissionEstimates from "./admission_estimates.ts";
import * as constants from "./constants.ts";
import * as attemptEnd from "./attempt_end.ts";
import * as crashingParts from "./crashing_parts.ts";
import * as linkChecks from "./link_checks.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as serverChecks from "./server_checks.ts";
import * as serverState from "./server_state.ts";
import * as serverWaits from "./server_waits.ts";
import * as suspectChecks from "./suspect_checks.ts";
import * as dispatching from "./dispatching.ts";

/**
 * Handles a timer tick. Preemption comes before expiry: after a pause of the
 * process many requests are overdue at once, and a request must not be refused
 * while work of a lower tier still holds slots.
 *
 * @example
 * handleTick(state);
 */
export function handleTick(state: hostState.HostState): void {
  state.reading.record(countPrefilling(state), state.now);
  serverChecks.checkServers(state);
  linkChecks.tryLinks(state);
  suspectChecks.checkSuspects(state);
  crashingParts.forgetParts(state);
  dispatching.dispatchQueue(state);
  preemptForDelayed(state);
  handleOverdue(state);
  requeueMissedTargets(state);
  endPanics(state);
}

/** Ends the panic state of targets that have a server in use again, or no server at all. */
function endPanics(state: hostState.HostState): void {
  const { table, panics, now } = state;
  panics.removeEnded((target) => {
    const servers = table.listFor(target);
    return servers.length === 0 ||
      servers.some((server) => serverState.isInUse(server, now));
  }, now).forEach((target) =>
    state.effects.push({ kind: "panic_changed", target, active: false })
  );
}

/** Counts the requests that are queued or whose prompt is not prefilled yet, by target. */
function countPrefilling(state: hostState.HostState): Map<string, number> {
  const counts = new Map<string, number>();
  const add = (target: string, count: number) =>
    counts.set(target, (counts.get(target) ?? 0) + count);
  state.running.list()
    .filter(({ request: { kind }, tokens }) =>
      kind === "generate" && tokens === 0
    )
    .forEach(({ request: { target } }) => add(target, 1));
  state.queue.listNonEmptyLanes().forEach(({ target, size }) =>
    add(target, size)
  );
  return counts;
}

/**
 * Moves requests that missed their latency target to separate lanes, which are
 * served after the requests of their tier that can still meet it.
 */
function requeueMissedTargets(state: hostState.HostState): void {
  state.queue.removeOverdue((entry) =>
    !entry.missedTarget && entry.offset === 0 &&
    state.now - entry.request.arrivedAt > entry.request.targetMs
  ).forEach((entry) =>
    state.queue.add({ ...entry, missedTarget: true, atFront: false })
  );
}

/** Preempts work of lower tiers for lanes whose head has waited too long. */
function preemptForDelayed(state: hostState.HostState): void {
  state.queue.listNonEmptyLanes().forEach((lane) => {
    let head = lane.peek();
    while (
      head !== undefined && hostState.isPreemptionDue(state, head.request)
    ) {
      if (!preemptForHead(state, { lane, request: head.request })) return;
      head = lane.peek();
    }
  });
}

/**
 * Preempts one attempt of a lower tier for the head of a lane; returns false if
 * there is none. Where the host exceeds its grant or the server its capacity, one
 * preemption frees no usable slot, so the caller repeats it until the head
 * starts: the head must not be refused while lower-tier work still runs.
 */
function preemptForHead(
  state: hostState.HostState,
  { lane, request }: {
    readonly lane: queue.Lane;
    readonly request: request.Request;
  },
): boolean {
  const victim = hostState.findVictim(state, request);
  if (victim !== undefined) {
    attemptEnd.preemptAttempt(state, victim);
    dispatching.dispatchLane(state, lane);
    return true;
  }
  const pools = hostState.listPoolsFor(state, request);
  if (admissionEstimates.hasLowerTierWorkElsewhere(request.tier, pools)) {
    state.effects.push({ kind: "ask_capacity" });
  }
  return false;
}

/**
 * Handles requests past their start deadline. Work was preempted so far only for
 * the heads of lanes, so each overdue request first tries to preempt an attempt.
 * It is refused if there is none and no other host is releasing slots for it.
 */
function handleOverdue(state: hostState.HostState): void {
  const overdue = state.queue.removeOverdue((entry) =>
    entry.request.startBy <= state.now
  );
  overdue.forEach((entry) => {
    const victim = hostState.findVictim(state, entry.request);
    if (victim !== undefined) attemptEnd.preemptAttempt(state, victim);
    else if (!hasOpenRecall(state, entry)) return refuseOverdue(state, entry);
    postponeOverdue(state, entry);
  });
  if (overdue.length > 0) dispatching.dispatchQueue(state);
}

/**
 * Whether other hosts are still releasing slots of lower-tier work for a request.
 * The number of postponements is limited, because a host that does not respond
 * would keep the request waiting forever.
 */
function hasOpenRecall(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): boolean {
  const { request } = entry;
  const isGrantFresh =
    state.now - state.grantDemandAt <= constants.GRANT_VALID_MS;
  const pools = hostState.listPoolsFor(state, request);
  return isGrantFresh && entry.postponements < constants.MAX_POSTPONEMENTS &&
    admissionEstimates.hasLowerTierWorkElsewhere(request.tier, pools);
}

function refuseOverdue(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): void {
  const key = hostState.getEstimateKey(entry.request);
  hostState.refuse(state, {
    refused: entry.request,
    code: "deadline_exceeded",
    ran: entry.ran,
    waitMs: Math.max(
      state.lengths.get(key).serviceMs,
      serverWaits.estimateRetry(state, entry.request),
    ),
  });
}

/** Queues an overdue request again, ahead of its customer's other requests, with a short new deadline. */
function postponeOverdue(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): void {
  const startBy = state.now + constants.POSTPONE_MS;
  state.queue.add({
    ...entry,
    request: { ...entry.request, startBy },
    atFront: true,
    postponements: entry.postponements + 1,
  });
}
