/** Ends of attempts: completed answers, failures, retries, cancellation and preemption. */
import * as attempts from "./attempts.ts";
import * as crashingParts from "./crashing_parts.ts";
import * as domainFailureDetector from "./domain_failure_detector.ts";
import type * as events from "./events.ts";
import * as failureShares from "./failure_shares.ts";
import * as linkChecks from "./link_checks.ts";
import * as hostState from "./host_state.ts";
import * as progress from "./progress.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import * as retry from "./retry.ts";
import * as serverAvailability from "./server_availability.ts";
import * as serverState from "./server_state.ts";
import * as serverWaits from "./server_waits.ts";
import * as strandedRequests from "./stranded_requests.ts";
import * as suspectChecks from "./suspect_checks.ts";
import * as suspectMarks from "./suspect_marks.ts";
import * as dispatching from "./dispatching.ts";

type EventOf<Kind extends events.DispatchEvent["kind"]> = Extract<
  events.DispatchEvent,
  { kind: Kind }
>;

/** Identifies one attempt of a request. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/**
 * Removes an attempt from the tables and releases its slot. Returns undefined if
 * it is not the request's current attempt: the end of an attempt that was already
 * replaced changes nothing.
 *
 * @example
 * const ended = endAttempt(state, { requestId, attempt });
 */
export function endAttempt(
  state: hostState.HostState,
  id: AttemptId,
): attempts.Attempt | undefined {
  const ended = state.running.remove(id);
  if (ended === undefined) return undefined;
  state.table.recordEnd(ended);
  const server = state.table.get(ended.server);
  if (server !== undefined && ended.suspect) server.suspects -= 1;
  if (ended.tokens === 0) progress.endPrefill(state, ended);
  return ended;
}

/**
 * Records a completed answer, and updates the estimates of cost and speed.
 *
 * @example
 * finishAttempt(state, event);
 */
export function finishAttempt(
  state: hostState.HostState,
  event: EventOf<"finished">,
): void {
  const ended = endAttempt(state, event);
  if (ended === undefined) return;
  const { fingerprint } = ended.request;
  state.stopped.recordAnswer(ended.server, ended.startedAt);
  suspectChecks.clearSuspect(state, { fingerprint, at: state.now });
  crashingParts.recordAnswer(state, ended.request);
  state.lengths.record(hostState.getEstimateKey(ended.request), {
    tokens: event.tokens,
    serviceMs: state.now - ended.startedAt,
  });
  recordOutcome(state, { ended, failed: false });
  const server = state.table.get(ended.server);
  if (server !== undefined) {
    serverState.recordSuccess(server);
    if (ended.toEjected) serverAvailability.endEjection(server, state.now);
    progress.recordResponse(state, server);
  }
  progress.recordSpeed(state, { attempt: ended, minTokens: 1 });
  dispatchFreedSlots(state, ended);
}

/**
 * Records a failed attempt, and retries or refuses its request.
 *
 * @example
 * failAttempt(state, event);
 */
export function failAttempt(
  state: hostState.HostState,
  event: EventOf<"failed">,
): void {
  const ended = endAttempt(state, event);
  if (ended === undefined) return;
  linkChecks.recordFailure(state, { ...event, server: ended.server });
  const failed = failureShares.isServerFailure(event.failure);
  if (failed) recordOutcome(state, { ended, failed });
  const server = state.table.get(ended.server);
  if (server !== undefined) recordFailure(state, { server, event, ended });
  if (event.failure === "connection_lost") markSuspect(state, ended);
  if (event.failure === "connection_lost" || event.refused) {
    markStopped(state, ended.server);
  }
  decideRetry(state, { event, ended });
  dispatchFreedSlots(state, ended);
}

function recordOutcome(
  state: hostState.HostState,
  { ended: { server, pool }, failed }: {
    readonly ended: attempts.Attempt;
    readonly failed: boolean;
  },
): void {
  if (failed && linkChecks.isBehindLostLinks(state, server)) return;
  const outcome = { name: server, service: pool, failed };
  state.failureShares.record(outcome, state.now);
}

function recordFailure(
  state: hostState.HostState,
  { server, event: { failure }, ended: { request } }: {
    readonly server: serverState.ServerState;
    readonly event: EventOf<"failed">;
    readonly ended: attempts.Attempt;
  },
): void {
  const { now } = state;
  const isCounted = failure !== "refused" && failure !== "withheld" &&
    failure !== "unread";
  if (isCounted) {
    state.table.recordFailure(server, { failure, now });
  }
  if (failure === "connection_lost" || failure === "not_sent") {
    state.brittle.recordLoss(serverState.toBrittleTarget(server), now);
  }
  switch (failure) {
    case "not_sent":
    case "timeout":
      serverAvailability.recordNoResponse(server, now);
      return recordUnresponsive(state, server);
    case "refused":
      state.brittle.recordRefusal(serverState.toBrittleTarget(server), {
        running: server.running,
        now,
      });
      recordFull(state, { server, request });
      return progress.recordResponse(state, server);
    case "server_error":
    case "crossed":
      return progress.recordResponse(state, server);
    case "connection_lost":
    case "misdirected":
      return serverAvailability.recordNoResponse(server, now);
    case "withheld":
    case "unread":
      return;
  }
}

/** Avoids a plain service's server that refused a call, until one of its slots is free again. */
function recordFull(
  state: hostState.HostState,
  { server, request }: {
    readonly server: serverState.ServerState;
    readonly request: request.Request;
  },
): void {
  if (server.pool.serves !== "service") return;
  const { serviceMs } = state.lengths.get(hostState.getEstimateKey(request));
  server.fullUntil = state.now +
    serverAvailability.getFullMs(request, serviceMs);
}

/**
 * Records that a server did not respond, and stops using its failure domain if
 * the whole domain appears to be down. The host's own domain is exempt: if the
 * host itself is cut off, the servers of its domain are all it can reach.
 *
 * @example
 * recordUnresponsive(state, server);
 */
export function recordUnresponsive(
  state: hostState.HostState,
  { info: { name, failureDomain } }: serverState.ServerState,
): void {
  if (failureDomain === undefined) return;
  if (failureDomain === state.failureDomain) return;
  const { now } = state;
  if (state.domainFailures.recordUnresponsive({ name, failureDomain }, now)) {
    ejectDomain(state, failureDomain);
  }
}

/**
 * Ejects the servers of a failure domain that does not respond.
 *
 * @example
 * ejectDomain(state, "rosenheim");
 */
export function ejectDomain(
  state: hostState.HostState,
  failureDomain: string,
): void {
  const { now, table } = state;
  state.domainFailures.recordEjection(failureDomain, now);
  domainFailureDetector.ejectDomain(table.listServers(), {
    failureDomain,
    now,
  });
}

/** Dispatches the queue of each target that can use the slot of an ended attempt. */
function dispatchFreedSlots(
  state: hostState.HostState,
  ended: attempts.Attempt,
): void {
  const pool = state.table.getPool(ended.pool);
  dispatching.dispatchQueue(
    state,
    pool?.part.targets ?? [ended.request.target],
  );
}

/** Marks the request of a lost connection as a suspect that may have crashed its server. */
function markSuspect(
  state: hostState.HostState,
  ended: attempts.Attempt,
): void {
  const { server, request: { fingerprint } } = ended;
  const doubtful = linkChecks.isBehindLostLinks(state, server);
  const mark = suspectMarks.reportSuspect(state, {
    fingerprint,
    server,
    doubtful,
  });
  state.suspects.add(mark);
  separateSuspects(state, [mark]);
  crashingParts.markParts(state, ended);
}

/**
 * Marks the requests whose attempts were stopped at a server shortly before it was
 * lost. Their callers may leave before the server ends, which would hide who ended it.
 *
 * @example
 * markStopped(state, "s1@1");
 */
export function markStopped(
  state: hostState.HostState,
  server: string,
): void {
  state.stopped.take(server, state.now)
    .forEach((attempt) => markSuspect(state, attempt));
}

/** Queues the request of a failed attempt for a retry, or refuses it. */
function decideRetry(
  state: hostState.HostState,
  { event, ended }: {
    readonly event: EventOf<"failed">;
    readonly ended: attempts.Attempt;
  },
): void {
  const request = attempts.setSoftware(ended);
  const decision = retry.decideRetry({
    failure: event.failure,
    sent: ended.attempt - ended.unsentAttempts,
    maxAttempts: request.maxAttempts,
    repeatable: request.repeatable,
    answerStarted: event.answerStarted,
    resumable: event.resumable,
  }, () => state.budget.take(request, state.now));
  const ran = retry.mergeRan(
    ended.ranBefore,
    retry.resolveRan(event.failure),
  );
  const isStranded = !strandedRequests.hasEligibleServer(state, request);
  if (decision.kind === "give_up" || isStranded) {
    return hostState.refuse(state, {
      refused: request,
      code: "backend_failed",
      ran,
      peer: ended.server,
      notRetried: decision.kind === "give_up" ? decision.reason : "no_server",
      waitMs: ran === "no"
        ? serverWaits.estimateRetry(state, request)
        : undefined,
    });
  }
  const suspicion = suspectChecks.findRefusal(state, request);
  if (suspicion !== undefined) {
    return hostState.refuse(state, { refused: request, ran, ...suspicion });
  }
  const blame = crashingParts.findRefusal(state, request);
  if (blame !== undefined) {
    return hostState.refuse(state, { refused: request, ran, ...blame });
  }
  // A request whose answer has begun gets a new start deadline instead.
  const hasBegun = ended.offset + ended.tokens > 0;
  if (!hasBegun && !serverWaits.mayStartInTime(state, request)) {
    return serverWaits.refuseLate(state, { request, ran });
  }
  const notSent = event.failure === "not_sent" || event.failure === "withheld";
  requeueAttempt(state, { ended, avoid: ended.server, ran, notSent });
}

/** Options of {@link requeueAttempt}. */
interface NextAttemptOptions {
  readonly ended: attempts.Attempt;
  readonly avoid?: string;
  readonly ran: request.Ran;
  /** @default false */
  readonly notSent?: boolean;
}

/**
 * Queues a request for its next attempt, ahead of its customer's other requests.
 *
 * @example
 * requeueAttempt(state, { ended, ran: "unknown" });
 */
export function requeueAttempt(
  state: hostState.HostState,
  options: NextAttemptOptions,
): void {
  state.queue.add(buildNextAttempt(state, options));
}

/**
 * Builds the next attempt of a request, with the results of the ended one.
 *
 * @example
 * const queued = buildNextAttempt(state, { ended, ran: "unknown" });
 */
export function buildNextAttempt(
  state: hostState.HostState,
  { ended, avoid, ran, notSent = false }: NextAttemptOptions,
): queue.QueuedRequest {
  const request = attempts.setSoftware(ended);
  // A request whose answer has begun has met its start deadline, so the next
  // attempt gets a new one.
  const hasBegun = ended.offset + ended.tokens > 0;
  const { queueMs = request.startBy - request.arrivedAt } = request;
  const startBy = state.now + queueMs;
  return {
    request: hasBegun ? { ...request, startBy } : request,
    attempt: ended.attempt + 1,
    unsentAttempts: ended.unsentAttempts + (notSent ? 1 : 0),
    offset: ended.offset + ended.tokens,
    avoid,
    ran,
    missedTarget: false,
    atFront: true,
    postponements: 0,
    suspect: state.suspects.isSuspect(request.fingerprint),
  };
}

/**
 * Refuses the queued requests whose fingerprint is quarantined or which another
 * host may be retrying, and moves the remaining suspects to lanes of their own.
 *
 * @example
 * separateSuspects(state, marks);
 */
export function separateSuspects(
  state: hostState.HostState,
  marks: readonly events.SuspectMark[],
): void {
  const fingerprints = new Set(marks.map((mark) => mark.fingerprint));
  state.queue.removeWhere((entry) =>
    fingerprints.has(entry.request.fingerprint)
  )
    .forEach((entry) => {
      const { fingerprint } = entry.request;
      const isHeld = state.suspects.getHoldMs(fingerprint, state.now) > 0;
      const refusal = isHeld
        ? { code: "poison_request" } as const
        : suspectChecks.findRefusal(state, entry.request);
      if (refusal === undefined) {
        return state.queue.add({ ...entry, suspect: true });
      }
      hostState.refuse(state, {
        refused: entry.request,
        ran: entry.ran,
        ...refusal,
      });
    });
  dispatching.dispatchQueue(state);
}

/**
 * Drops a request whose caller has disconnected, queued or running.
 *
 * @example
 * cancelRequest(state, requestId);
 */
export function cancelRequest(
  state: hostState.HostState,
  requestId: string,
): void {
  const queued = state.queue.removeWhere((entry) =>
    entry.request.id === requestId
  );
  if (queued.length > 0) return;
  stopAttempt(state, { requestId, reason: "caller_left" });
  dispatching.dispatchQueue(state);
}

/**
 * Stops the running attempt of a request; does nothing if none is running.
 *
 * @example
 * stopAttempt(state, { requestId, reason: "preempted" });
 */
export function stopAttempt(
  state: hostState.HostState,
  { requestId, reason }: {
    readonly requestId: string;
    readonly reason: Extract<events.DispatchEffect, { kind: "stop" }>["reason"];
  },
): void {
  const current = state.running.get(requestId);
  if (current === undefined) return;
  const { attempt } = current;
  endAttempt(state, { requestId, attempt });
  if (reason === "caller_left") state.stopped.add(current, state.now);
  state.effects.push({ kind: "stop", requestId, attempt, reason });
}

/**
 * Refuses all requests of a withdrawn API key, queued and running.
 *
 * @example
 * withdrawKey(state, keyId);
 */
export function withdrawKey(
  state: hostState.HostState,
  keyId: string,
): void {
  state.queue.removeWhere((entry) => entry.request.keyId === keyId)
    .forEach((entry) =>
      hostState.refuse(state, {
        refused: entry.request,
        code: "key_withdrawn",
        ran: entry.ran,
      })
    );
  state.running.list().filter((entry) => entry.request.keyId === keyId)
    .forEach(({ request: refused }) => {
      stopAttempt(state, { requestId: refused.id, reason: "key_withdrawn" });
      hostState.refuse(state, {
        refused,
        code: "key_withdrawn",
        ran: "unknown",
      });
    });
  dispatching.dispatchQueue(state);
}

/**
 * Preempts an attempt for a request of a higher tier, and queues its request to
 * resume after the tokens that the caller already has.
 *
 * @example
 * preemptAttempt(state, victim);
 */
export function preemptAttempt(
  state: hostState.HostState,
  victim: attempts.Attempt,
): void {
  const requestId = victim.request.id;
  stopAttempt(state, { requestId, reason: "preempted" });
  requeueAttempt(state, { ended: victim, ran: "unknown" });
}
