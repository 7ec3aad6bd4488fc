/** Dispatching: which queued request starts next, and at which backend server. */
import * as admissionEstimates from "./admission_estimates.ts";
import * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import * as handover from "./handover.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import type * as router from "./router.ts";
import * as serverAvailability from "./server_availability.ts";
import * as serverState from "./server_state.ts";

/** Time for which one request tries an ejected failure domain, in ms; the wait limits of most requests are shorter. */
const TRIAL_MS = 500;

/**
 * Starts queued requests until no server has room. With `targets`, only requests
 * for these targets are considered, because an event at one server frees no slot
 * for other targets.
 *
 * @example
 * dispatchQueue(state, server.pool.targets);
 */
export function dispatchQueue(
  state: hostState.HostState,
  targets?: readonly string[],
): void {
  handover.forwardQueued(state);
  if (state.queue.size === 0) return;
  const waiting = targets === undefined
    ? state.queue.listNonEmptyLanes()
    : state.queue.listNonEmptyLanesFor(targets);
  const fullTargets = new Set<string>();
  /** Highest tier of each target of which a call got no server. */
  const waitingTiers = new Map<string, number>();
  state.credits.order(waiting).forEach((lane) => {
    // Once a target has no room, its remaining lanes skip the scan of its servers.
    const hasRoom = !fullTargets.has(lane.target) &&
      state.table.hasRoomFor(lane.target, state.now);
    if (!hasRoom) fullTargets.add(lane.target);
    // Calls with a long target may queue deeper at a server. They would use every
    // slot that becomes free before a waiting call with a shorter target.
    const waitingTier = waitingTiers.get(lane.target) ??
      Number.POSITIVE_INFINITY;
    const mayExceedSlots = lane.tier < waitingTier;
    startLane(state, { lane, hasRoom, mayExceedSlots });
    if (hasWaitingCall(lane)) {
      waitingTiers.set(lane.target, Math.min(lane.tier, waitingTier));
    }
  });
  // The capacity allocator has not been told yet of the requests that remain.
  if (state.queue.size > 0) state.effects.push({ kind: "ask_capacity" });
}

/**
 * Whether a call of a lane waits that any server of its target may run. Others
 * may wait while such a server is free, so no lane waits for them.
 */
function hasWaitingCall(lane: queue.Lane): boolean {
  const next = lane.peek();
  return next !== undefined && !next.suspect && next.request.kind === "call" &&
    next.request.pools.length === 0 && next.request.software === undefined &&
    next.request.allowedDomains === undefined;
}

/**
 * Starts requests of one lane until no server has room for the next one.
 *
 * @example
 * dispatchLane(state, lane);
 */
export function dispatchLane(
  state: hostState.HostState,
  lane: queue.Lane,
): void {
  startLane(state, { lane, hasRoom: true, mayExceedSlots: true });
}

/** Which servers the requests of a lane may use. */
interface LaneRoom {
  /** Whether a server of the target has room by the usual rules. */
  readonly hasRoom: boolean;
  /** Whether calls may be sent to servers whose slots are in use. */
  readonly mayExceedSlots: boolean;
}

function startLane(
  state: hostState.HostState,
  { lane, ...room }: {
    readonly lane: queue.Lane;
  } & LaneRoom,
): void {
  let next = lane.peek();
  while (next !== undefined) {
    const choice = chooseServer(state, { queued: next, ...room });
    if (choice === undefined) return;
    startNext(state, { lane, choice });
    next = lane.peek();
  }
}

/** Chooses a server for the next request of a lane; undefined if none has room. */
function chooseServer(
  state: hostState.HostState,
  { queued, hasRoom, mayExceedSlots }: {
    readonly queued: queue.QueuedRequest;
  } & LaneRoom,
): router.RouteChoice | undefined {
  const request = queued.request;
  // Only one request with a suspect fingerprint runs at a time, because two
  // could crash two servers at once.
  if (queued.suspect && state.running.hasFingerprint(request.fingerprint)) {
    return undefined;
  }
  const options = buildRouteOptions(state, queued);
  const choice = hasRoom ? state.router.choose(request, options) : undefined;
  return choice ?? state.router.chooseBeyondRoom(request, {
    ...options,
    call: mayExceedSlots ? measureCall(state, request) : undefined,
  });
}

function buildRouteOptions(
  state: hostState.HostState,
  { request, suspect, avoid }: Pick<
    queue.QueuedRequest,
    "request" | "suspect" | "avoid"
  >,
): router.RouteOptions {
  const share = state.classes.get(request.className)?.share ?? 0;
  return {
    now: state.now,
    suspect,
    avoid,
    hasCredit: state.credits.hasCredit(request),
    guaranteedSlots: (pool) =>
      admissionEstimates.countGuaranteedSlots(share, pool.totalSlots),
    // A suspect request is not sent to other failure domains, where it could
    // crash further servers.
    overflow: !suspect && (hostState.isPreemptionDue(state, request) ||
      hostState.countOwnSlots(state, request) === 0),
  };
}

/**
 * Finds another server at which the request of a running attempt can start now;
 * undefined if there is none. Changes nothing but the state of the random source
 * and of the rate permits.
 *
 * @example
 * const choice = findAlternative(state, attempt);
 */
export function findAlternative(
  state: hostState.HostState,
  current: attempts.Attempt,
): router.RouteChoice | undefined {
  const { server: avoid } = current;
  const request = attempts.setSoftware(current);
  const suspect = state.suspects.isSuspect(request.fingerprint);
  const isRunningElsewhere = state.running.list().some((other) =>
    other !== current && other.request.fingerprint === request.fingerprint
  );
  if (suspect && isRunningElsewhere) return undefined;
  return state.router.findAlternative(
    request,
    buildRouteOptions(state, { request, suspect, avoid }),
  );
}

/** Measures how long a call may wait at a server whose slots are in use; undefined if it may not. */
function measureCall(
  state: hostState.HostState,
  request: request.Request,
): serverAvailability.AvailabilityOptions["call"] {
  if (!state.mayExceedSlots || request.kind !== "call") return undefined;
  return {
    remainingMs: serverAvailability.getQueueLimitMs(request, state.now),
    serviceMs: state.lengths.get(hostState.getEstimateKey(request)).serviceMs,
  };
}

/** Takes the next request of a lane, charges its cost and starts it at the chosen server. */
function startNext(
  state: hostState.HostState,
  { lane, choice }: {
    readonly lane: queue.Lane;
    readonly choice: router.RouteChoice;
  },
): void {
  const cost = estimateCost(state, lane.peek()?.request as request.Request);
  const queued = state.queue.take(lane, cost) as queue.QueuedRequest;
  state.credits.recordStart(lane, {
    cost,
    waiting: state.queue.listNonEmptyLanesFor([lane.target]),
    classes: state.classes,
  });
  startAttempt(state, { queued, choice });
}

/**
 * Starts a request at the chosen server, without charging its cost.
 *
 * @example
 * startAttempt(state, { queued, choice });
 */
export function startAttempt(
  state: hostState.HostState,
  { queued, choice: { server, source, speed, expectedTokens } }: {
    readonly queued: queue.QueuedRequest;
    readonly choice: router.RouteChoice;
  },
): void {
  const toEjected = !serverState.isInUse(server, state.now);
  if (toEjected) recordPanic(state, queued.request);
  state.table.recordStart(server, queued.request);
  recordColdStart(state, server);
  recordTrial(state, server);
  state.limits.use(server.info.name);
  state.brittle.use(serverState.toBrittleTarget(server), {
    running: server.running - 1,
    now: state.now,
  });
  if (queued.suspect) server.suspects += 1;
  server.prompting += queued.request.promptTokens;
  state.running.add({
    request: queued.request,
    attempt: queued.attempt,
    unsentAttempts: queued.unsentAttempts,
    server: server.info.name,
    software: server.info.software ?? "",
    pool: server.info.pool,
    startedAt: state.now,
    offset: queued.offset,
    tokens: 0,
    sampleStart: { tokens: 0, at: state.now },
    suspect: queued.suspect,
    toEjected,
    ranBefore: queued.ran,
  });
  state.effects.push({
    kind: "start",
    request: queued.request,
    attempt: queued.attempt,
    server: server.info,
    ...(source && { source: source.info }),
    ...(speed !== undefined && { speed }),
    ...(expectedTokens !== undefined && { expectedTokens }),
    offset: queued.offset,
    ...(toEjected && { toEjected }),
  });
}

/** Records that a request is sent to an ejected server. */
function recordPanic(
  state: hostState.HostState,
  { target }: request.Request,
): void {
  if (!state.panics.recordSent(target, state.now)) return;
  state.effects.push({ kind: "panic_changed", target, active: true });
}

/** Uses up this host's turn to send a request to a cold server of the pool. */
function recordColdStart(
  state: hostState.HostState,
  server: serverState.ServerState,
): void {
  if (!serverState.isCold(server, state.now)) return;
  state.coldPermits.use(server.info.pool);
}

/**
 * Records that a request tries an ejected failure domain, so that other requests
 * wait for its result. Without this rule, all requests of the time until a trial
 * has failed would be sent there.
 */
function recordTrial(
  state: hostState.HostState,
  server: serverState.ServerState,
): void {
  if (!serverState.isUntried(server, state.now)) return;
  const { failureDomain } = server.info;
  state.table.listServers().forEach((other) => {
    if (other.info.failureDomain !== failureDomain) return;
    other.trialUntil = state.now + TRIAL_MS;
  });
}

/** Estimates the cost of a request in generated tokens; a call costs 1. */
function estimateCost(
  state: hostState.HostState,
  request: request.Request,
): number {
  if (request.kind === "call") return 1;
  const expectedTokens =
    state.lengths.get(hostState.getEstimateKey(request)).tokens;
  return Math.min(expectedTokens, request.maxTokens) +
    request.promptTokens * constants.PROMPT_TOKEN_COST;
}
