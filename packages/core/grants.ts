/** Applies slot grants of the capacity leaders and preempts requests beyond them. */
import type * as attempts from "./attempts.ts";
import * as attemptEnd from "./attempt_end.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import * as overflow from "./overflow.ts";
import type * as serverState from "./server_state.ts";
import * as dispatching from "./dispatching.ts";

/**
 * Applies grants of this failure domain and preempts requests beyond them.
 *
 * @example
 * setGrants(state, event);
 */
export function setGrants(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "granted" }>,
): void {
  state.grantDemandAt = event.asOf;
  const grants = new Map(event.grants.map((grant) => [grant.pool, grant]));
  state.table.listPools().forEach((pool) => {
    const grant = grants.get(pool.part.name);
    if (grant === undefined) return;
    setGrant(pool, grant);
    pool.grantedAt = event.asOf;
    state.table.recordElsewhere(grant.runningElsewhere, event.asOf);
  });
  preemptOverLimit(state);
  dispatching.dispatchQueue(state);
}

function setGrant(pool: serverState.PoolState, grant: events.PoolGrant): void {
  pool.limits = new Map(
    grant.limits.map((limit) => [limit.className, limit.slots]),
  );
  pool.lowestTierElsewhere = grant.lowestTierElsewhere;
  pool.recallForTier = grant.recallForTier;
  pool.queuedElsewhere = grant.queuedElsewhere;
  pool.short = grant.short;
}

/**
 * Applies grants of another failure domain and the servers that it lends.
 *
 * @example
 * setOverflow(state, event);
 */
export function setOverflow(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "overflow_granted" }>,
): void {
  state.table.setLentServers(event.failureDomain, event.servers);
  const grants = new Map(event.grants.map((grant) => [grant.pool, grant]));
  state.table.listPools()
    .filter((pool) => pool.part.failureDomain === event.failureDomain)
    .forEach((pool) => {
      const grant = grants.get(pool.part.name) ??
        { ...buildEmptyGrant(pool), short: [...state.classes.keys()] };
      setGrant(pool, grant);
      pool.grantedAt = event.asOf;
      state.table.recordElsewhere(grant.runningElsewhere, event.asOf);
    });
  preemptOverLimit(state);
  dispatching.dispatchQueue(state);
  refuseUnservable(state);
}

/** Refuses queued requests that no failure domain can serve. */
function refuseUnservable(state: hostState.HostState): void {
  const unservable = state.queue.listNonEmptyLanes().filter((lane) => {
    const head = lane.peek()?.request;
    return head !== undefined && !overflow.hasLocalServer(state, head) &&
      !overflow.mayOverflow(state, head);
  });
  unservable.flatMap((lane) => state.queue.removeAll(lane)).forEach((entry) =>
    hostState.refuse(state, {
      refused: entry.request,
      code: "no_capacity",
      ran: entry.ran,
      waitMs: Number.POSITIVE_INFINITY,
    })
  );
}

function buildEmptyGrant(pool: serverState.PoolState): events.Grant {
  return {
    pool: pool.part.name,
    limits: [],
    lowestTierElsewhere: 0,
    recallForTier: 0,
    queuedElsewhere: [],
    short: [],
    runningElsewhere: [],
  };
}

/**
 * Drops all grants of this failure domain while its capacity leader is
 * unreachable; the host then goes by the load that it sees itself.
 *
 * @example
 * dropGrants(state);
 */
export function dropGrants(state: hostState.HostState): void {
  hostState.listOwnPools(state)
    .forEach((pool) => setGrant(pool, buildEmptyGrant(pool)));
  dispatching.dispatchQueue(state);
}

/** Preempts requests beyond the limit of their class where a higher tier waits on another host. */
function preemptOverLimit(state: hostState.HostState): void {
  state.table.listPools()
    .filter((pool) => pool.recallForTier > 0)
    .forEach((pool) =>
      state.running.list()
        .filter((attempt) => isRecalled(attempt, pool))
        .toSorted((a, b) => b.startedAt - a.startedAt)
        .forEach((attempt) => {
          // Each preemption may already bring the class within its limit.
          if (exceedsLimit(pool, attempt.request.className)) {
            attemptEnd.preemptAttempt(state, attempt);
          }
        })
    );
}

function isRecalled(
  attempt: attempts.Attempt,
  pool: serverState.PoolState,
): boolean {
  return attempt.pool === pool.part.name &&
    attempt.request.tier > pool.recallForTier && attempt.request.repeatable;
}

function exceedsLimit(pool: serverState.PoolState, className: string): boolean {
  const limit = pool.limits.get(className) ?? Number.POSITIVE_INFINITY;
  return (pool.runningByClass.get(className) ?? 0) > limit;
}
