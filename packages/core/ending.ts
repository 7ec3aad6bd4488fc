/** Ends of attempts: whole answers, failures and what follows from them. */
import * as attempts from "./attempts.ts";
import * as domainSilence from "./domain_silence.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import * as progress from "./progress.ts";
import type * as request from "./request.ts";
import * as retry from "./retry.ts";
import * as serverState from "./server_state.ts";
import * as starting from "./starting.ts";

type EventOf<Kind extends events.DispatchEvent["kind"]> = Extract<
  events.DispatchEvent,
  { kind: Kind }
>;

/** Names one attempt. */
export interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

/**
 * Takes an attempt out of the tables; undefined if it is not the current one,
 * so a late end changes nothing.
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
  if (ended.tokens === 0) progress.endPrompt(state, ended);
  return ended;
}

/**
 * Records a whole answer and learns from it.
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
  state.suspects.clear(ended.request.fingerprint);
  state.lengths.record(hostState.getLengthKey(ended.request), {
    tokens: event.tokens,
    serviceMs: state.now - ended.startedAt,
  });
  const server = state.table.get(ended.server);
  if (server !== undefined) {
    serverState.recordSuccess(server);
    progress.recordHeard(state, server);
  }
  progress.recordSpeed(state, { attempt: ended, least: 1 });
  dispatchFreed(state, ended);
}

/**
 * Records a failure, and tries again or gives up.
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
  const server = state.table.get(ended.server);
  if (server !== undefined) recordFailure(state, { server, event });
  if (event.failure === "connection_lost") markSuspect(state, ended);
  decideRetry(state, { event, ended });
  dispatchFreed(state, ended);
}

function recordFailure(
  state: hostState.HostState,
  { server, event: { failure } }: {
    readonly server: serverState.ServerState;
    readonly event: EventOf<"failed">;
  },
): void {
  const { now } = state;
  if (failure !== "refused") {
    state.table.recordFailure(server, { failure, now });
  }
  switch (failure) {
    case "not_sent":
    case "timeout":
      return recordSilent(state, server);
    case "refused":
    case "server_error":
    case "crossed":
      return progress.recordHeard(state, server);
    case "connection_lost":
      return;
  }
}

/** Gives up a failure domain that has fallen silent; never the host's own, whose servers are all that it reaches if it is the one that is cut off. */
function recordSilent(
  state: hostState.HostState,
  { info: { name, failureDomain } }: serverState.ServerState,
): void {
  if (failureDomain === undefined) return;
  if (failureDomain === state.failureDomain) return;
  const { now } = state;
  if (state.silences.recordSilent({ name, failureDomain }, now)) {
    domainSilence.abandonDomain(state.table.listServers(), {
      failureDomain,
      now,
    });
  }
}

/** Starts work for what the server of an ended attempt offers. */
function dispatchFreed(
  state: hostState.HostState,
  ended: attempts.Attempt,
): void {
  const pool = state.table.getPool(ended.pool);
  starting.dispatchQueue(state, pool?.part.targets ?? [ended.request.target]);
}

function markSuspect(
  state: hostState.HostState,
  ended: attempts.Attempt,
): void {
  const mark = {
    fingerprint: ended.request.fingerprint,
    server: ended.server,
  };
  state.effects.push({ kind: "suspect", mark });
  state.suspects.add(mark);
  separateSuspects(state, [mark]);
}

function decideRetry(
  state: hostState.HostState,
  { event, ended }: {
    readonly event: EventOf<"failed">;
    readonly ended: attempts.Attempt;
  },
): void {
  const wanted = ended.request;
  const decision = retry.decideRetry({
    failure: event.failure,
    sent: ended.attempt - ended.unsent,
    maxAttempts: wanted.maxAttempts,
    repeatable: wanted.repeatable,
    answerStarted: event.answerStarted,
    resumable: event.resumable,
  }, () => state.budget.take(wanted.target, state.now));
  const ran = retry.mergeRan(
    ended.ranBefore,
    retry.resolveRan(event.failure),
  );
  if (decision.kind === "give_up") {
    return hostState.refuse(state, {
      refused: wanted,
      code: "backend_failed",
      ran,
      peer: ended.server,
      waitMs: ran === "no" ? 0 : undefined,
    });
  }
  if (state.suspects.isPoison(wanted.fingerprint)) {
    const poison = { refused: wanted, code: "poison_request" } as const;
    return hostState.refuse(state, { ...poison, ran: "unknown" });
  }
  const notSent = event.failure === "not_sent";
  requeueAttempt(state, { ended, avoid: ended.server, ran, notSent });
}

/**
 * Queues a request for a further attempt, before its customer's others.
 *
 * @example
 * requeueAttempt(state, { ended, ran: "unknown" });
 */
export function requeueAttempt(
  state: hostState.HostState,
  { ended, avoid, ran, notSent = false }: {
    readonly ended: attempts.Attempt;
    readonly avoid?: string;
    readonly ran: request.Ran;
    /** @default false */
    readonly notSent?: boolean;
  },
): void {
  const wanted = ended.request;
  // A request whose answer has begun has met its start deadline already.
  const begun = ended.offset + ended.tokens > 0;
  const startBy = state.now + wanted.startBy - wanted.arrivedAt;
  state.queue.add({
    request: begun ? { ...wanted, startBy } : wanted,
    attempt: ended.attempt + 1,
    unsent: ended.unsent + (notSent ? 1 : 0),
    offset: ended.offset + ended.tokens,
    avoid,
    ran,
    late: false,
    first: true,
    postponed: 0,
    suspect: state.suspects.isSuspect(wanted.fingerprint),
  });
}

/**
 * Refuses what is queued of poison requests; other suspects change lanes.
 *
 * @example
 * separateSuspects(state, marks);
 */
export function separateSuspects(
  state: hostState.HostState,
  marks: readonly events.SuspectMark[],
): void {
  const marked = new Set(marks.map((mark) => mark.fingerprint));
  state.queue.removeWhere((entry) => marked.has(entry.request.fingerprint))
    .forEach((entry) => {
      const { fingerprint } = entry.request;
      const held = state.suspects.getHold(fingerprint, state.now) > 0;
      if (!held && !state.suspects.isPoison(fingerprint)) {
        return state.queue.add({ ...entry, suspect: true });
      }
      hostState.refuse(state, {
        refused: entry.request,
        code: "poison_request",
        ran: entry.ran,
      });
    });
  starting.dispatchQueue(state);
}

/**
 * Ends what a caller that left had asked for.
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
  starting.dispatchQueue(state);
}

/**
 * Stops a running attempt.
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
  state.effects.push({ kind: "stop", requestId, attempt, reason });
}

/**
 * Refuses all work of a withdrawn key, queued and running.
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
  starting.dispatchQueue(state);
}

/**
 * Stops an attempt in favour of a higher tier and queues the rest of it.
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
