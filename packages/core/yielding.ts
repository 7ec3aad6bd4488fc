/** Time and grants: who gives way to whom, and who has waited too long. */
import * as admission from "./admission.ts";
import type * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import * as ending from "./ending.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import * as preemption from "./preemption.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import type * as servers from "./servers.ts";
import * as starting from "./starting.ts";

/**
 * Finds running work on this host that gives way to a request.
 *
 * @example
 * const victim = findVictim(state, request);
 */
export function findVictim(
  state: hostState.HostState,
  wanted: request.Request,
): attempts.Attempt | undefined {
  return preemption.findVictim(state.running.list(), {
    tier: wanted.tier,
    pools: hostState.listPoolsFor(state, wanted),
    classes: state.classes,
  });
}

/**
 * Takes over the allocator's grants, and gives slots back.
 *
 * @example
 * setGrants(state, event);
 */
export function setGrants(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "granted" }>,
): void {
  state.grantAsOf = event.asOf;
  const grants = new Map(event.grants.map((grant) => [grant.pool, grant]));
  state.table.listPools().forEach((pool) => {
    const grant = grants.get(pool.part.name);
    if (grant === undefined) return;
    setGrant(pool, grant);
    state.table.recordElsewhere(grant.runningElsewhere, event.asOf);
  });
  returnSlots(state);
  starting.dispatchQueue(state);
}

function setGrant(pool: servers.PoolState, grant: events.PoolGrant): void {
  pool.limits = new Map(
    grant.limits.map((limit) => [limit.className, limit.slots]),
  );
  pool.lowestTierElsewhere = grant.lowestTierElsewhere;
  pool.recallForTier = grant.recallForTier;
  pool.queuedElsewhere = grant.queuedElsewhere;
}

/**
 * Goes on without grants: the allocator cannot be reached.
 *
 * @example
 * dropGrants(state);
 */
export function dropGrants(state: hostState.HostState): void {
  state.table.listPools().forEach((pool) =>
    setGrant(pool, {
      pool: pool.part.name,
      limits: [],
      lowestTierElsewhere: 0,
      recallForTier: 0,
      queuedElsewhere: [],
    })
  );
  starting.dispatchQueue(state);
}

/** Stops lower work beyond its limit where a higher tier waits elsewhere. */
function returnSlots(state: hostState.HostState): void {
  state.table.listPools()
    .filter((pool) => pool.recallForTier > 0)
    .forEach((pool) =>
      state.running.list()
        .filter((attempt) => isRecalled(attempt, pool))
        .toSorted((a, b) => b.startedAt - a.startedAt)
        .forEach((attempt) => {
          // Each one that is stopped may bring its class within its limit.
          if (exceedsLimit(pool, attempt.request.className)) {
            preemptAttempt(state, attempt);
          }
        })
    );
}

function isRecalled(
  attempt: attempts.Attempt,
  pool: servers.PoolState,
): boolean {
  return attempt.pool === pool.part.name &&
    attempt.request.tier > pool.recallForTier && attempt.request.repeatable;
}

function exceedsLimit(pool: servers.PoolState, className: string): boolean {
  const limit = pool.limits.get(className) ?? Number.POSITIVE_INFINITY;
  return (pool.runningByClass.get(className) ?? 0) > limit;
}

function preemptAttempt(
  state: hostState.HostState,
  victim: attempts.Attempt,
): void {
  const requestId = victim.request.id;
  ending.stopAttempt(state, { requestId, reason: "preempted" });
  ending.requeueAttempt(state, { ended: victim, ran: "unknown" });
}

/**
 * Looks at the time. Expires last: after a pause many requests are late at
 * once, and a higher tier must not be refused while lower work still holds
 * slots.
 *
 * @example
 * tickState(state);
 */
export function tickState(state: hostState.HostState): void {
  starting.dispatchQueue(state);
  preemptForLate(state);
  expireOverdue(state);
  putLateBehind(state);
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
  const victim = findVictim(state, wanted);
  if (victim !== undefined) {
    preemptAttempt(state, victim);
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
    const victim = findVictim(state, entry.request);
    if (victim !== undefined) preemptAttempt(state, victim);
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
