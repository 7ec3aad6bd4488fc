/** Time: who gives way to whom, and who has waited too long. */
import * as admission from "./admission.ts";
import * as constants from "./constants.ts";
import * as ending from "./ending.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as starting from "./starting.ts";

/**
 * Looks at the time. Expires last: after a pause many requests are late at
 * once, and a higher tier must not be refused while lower work still holds
 * slots.
 *
 * @example
 * tickState(state);
 */
export function tickState(state: hostState.HostState): void {
  state.reading.record(countReading(state), state.now);
  starting.dispatchQueue(state);
  preemptForLate(state);
  expireOverdue(state);
  putLateBehind(state);
}

/** Counts the requests whose prompt is not read yet, by target. */
function countReading(state: hostState.HostState): Map<string, number> {
  const counts = new Map<string, number>();
  const add = (target: string, count: number) =>
    counts.set(target, (counts.get(target) ?? 0) + count);
  state.running.list()
    .filter(({ request: { kind }, tokens }) =>
      kind === "generate" && tokens === 0
    )
    .forEach(({ request: { target } }) => add(target, 1));
  state.queue.listWaiting().forEach(({ target, size }) => add(target, size));
  return counts;
}

/** Puts requests that missed their target behind those of their tier that can meet it. */
function putLateBehind(state: hostState.HostState): void {
  state.queue.removeOverdue((entry) =>
    !entry.late && entry.offset === 0 &&
    state.now - entry.request.arrivedAt > entry.request.targetMs
  ).forEach((entry) => state.queue.add({ ...entry, late: true, first: false }));
}

/** Preempts for the heads of lanes that have waited long enough. */
function preemptForLate(state: hostState.HostState): void {
  state.queue.listWaiting().forEach((lane) => {
    let head = lane.peek();
    while (head !== undefined && hostState.isLate(state, head.request)) {
      if (!preemptFor(state, { lane, wanted: head.request })) return;
      head = lane.peek();
    }
  });
}

/**
 * Stops one piece of lower work for the head of a lane; false if there is
 * none. Where the host is over its grant or the server over its capacity, one
 * is not enough, so it goes on until the head starts: it must not be refused
 * while lower work is left.
 */
function preemptFor(
  state: hostState.HostState,
  { lane, wanted }: {
    readonly lane: queue.Lane;
    readonly wanted: request.Request;
  },
): boolean {
  const victim = hostState.findVictim(state, wanted);
  if (victim !== undefined) {
    ending.preemptAttempt(state, victim);
    starting.dispatchLane(state, lane);
    return true;
  }
  const pools = hostState.listPoolsFor(state, wanted);
  if (admission.hasLowerWork(wanted.tier, pools)) {
    state.effects.push({ kind: "ask_capacity" });
  }
  return false;
}

/**
 * Refuses requests whose time to start is over. One that is not at the head of
 * its lane has had no work preempted for it yet, so it first gets that.
 */
function expireOverdue(state: hostState.HostState): void {
  const overdue = state.queue.removeOverdue((entry) =>
    entry.request.startBy <= state.now
  );
  overdue.forEach((entry) => {
    const victim = hostState.findVictim(state, entry.request);
    if (victim !== undefined) ending.preemptAttempt(state, victim);
    else if (!isRecalling(state, entry)) return refuseOverdue(state, entry);
    postponeOverdue(state, entry);
  });
  if (overdue.length > 0) starting.dispatchQueue(state);
}

/**
 * Whether lower work on other hosts is still being called back for a request.
 * A host that does not answer must not keep it waiting for ever.
 */
function isRecalling(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): boolean {
  const { request: wanted } = entry;
  const known = state.now - state.grantAsOf <= constants.GRANT_VALID_MS;
  const pools = hostState.listPoolsFor(state, wanted);
  return known && entry.postponed < constants.MAX_POSTPONED &&
    admission.hasLowerWork(wanted.tier, pools);
}

function refuseOverdue(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): void {
  const key = hostState.getLengthKey(entry.request);
  hostState.refuse(state, {
    refused: entry.request,
    code: "deadline_exceeded",
    ran: entry.ran,
    waitMs: state.lengths.get(key).serviceMs,
  });
}

/** Puts an overdue request before its customer's others, for one more look. */
function postponeOverdue(
  state: hostState.HostState,
  entry: queue.QueuedRequest,
): void {
  const startBy = state.now + constants.POSTPONE_MS;
  state.queue.add({
    ...entry,
    request: { ...entry.request, startBy },
    first: true,
    postponed: entry.postponed + 1,
  });
}
