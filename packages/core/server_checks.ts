/**
 * Periodic check for servers and failure domains that keep their connections open
 * and send nothing; the rules are those of {@link unresponsiveServers}.
 */
import * as attemptEnd from "./attempt_end.ts";
import type * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import * as dispatching from "./dispatching.ts";
import * as linkChecks from "./link_checks.ts";
import * as handover from "./handover.ts";
import * as hostState from "./host_state.ts";
import * as retry from "./retry.ts";
import * as serverState from "./server_state.ts";
import * as unresponsiveServers from "./unresponsive_servers.ts";

/** Shortest time between two checks, in ms; ticks are more frequent while requests are queued. */
const CHECK_MS = 50;
/**
 * Time between two checks from which this process counts as having been delayed,
 * in ms. Data that arrived meanwhile may not have been read yet, so the check is
 * left out.
 */
const MAX_CHECK_GAP_MS = 150;

/** A running attempt that waits for data, with its server. */
interface Waiting extends unresponsiveServers.WaitingAttempt {
  readonly attempt: attempts.Attempt;
  readonly at: serverState.ServerState;
}

/**
 * Marks overdue servers, ejects failure domains of which two servers are overdue,
 * and restarts the requests that wait in an ejected failure domain.
 *
 * @example
 * checkServers(state);
 */
export function checkServers(state: hostState.HostState): void {
  const sinceLastMs = state.now - state.serversCheckedAt;
  if (sinceLastMs < CHECK_MS) return;
  state.serversCheckedAt = state.now;
  if (sinceLastMs > MAX_CHECK_GAP_MS) return;
  const waiting = listWaiting(state);
  markOverdue(state, waiting);
  restartHanging(state, waiting);
  const remote = waiting.filter(({ at: { info: { failureDomain } } }) =>
    failureDomain !== undefined && failureDomain !== state.failureDomain
  );
  if (remote.length === 0) return;
  const lastResponses = findLastResponses(state);
  const silent = remote.flatMap((one) => findSilence(one, lastResponses));
  recordUnresponsive(state, silent);
  restartSilent(state, silent);
}

/**
 * Lists the attempts that wait for their server, and not for their caller to read.
 * Most attempts of a busy host got data within the shortest wait limit, and are
 * left out at little cost.
 */
function listWaiting(state: hostState.HostState): Waiting[] {
  return state.running.list().flatMap((attempt) => {
    const { request, startedAt, lastTokensAt, unblockedAt } = attempt;
    const since = Math.max(
      startedAt,
      lastTokensAt ?? startedAt,
      unblockedAt ?? startedAt,
    );
    if (
      attempt.blocked ||
      state.now - since < unresponsiveServers.MIN_WAIT_LIMIT_MS
    ) {
      return [];
    }
    const at = state.table.get(attempt.server);
    if (at === undefined) return [];
    const { serviceMs } = state.lengths.get(hostState.getEstimateKey(request));
    const limitMs = unresponsiveServers.computeWaitLimit(request, {
      serviceMs,
      hasBegun: attempt.tokens > 0,
    });
    return [{ attempt, at, server: attempt.server, since, limitMs }];
  });
}

function markOverdue(
  state: hostState.HostState,
  waiting: readonly Waiting[],
): void {
  const { now } = state;
  unresponsiveServers.findOverdue(waiting, {
    now,
    getLastResponseAt: (server) =>
      state.table.get(server)?.lastResponseAt ?? Number.NEGATIVE_INFINITY,
  }).forEach((name) => {
    const server = state.table.get(name);
    if (server === undefined) return;
    // The attempts may end without an answer, so the mark outlives them for a time.
    server.overdueUntil = now + constants.EJECT_MS;
    linkChecks.recordSilence(state, name);
    if (server.overdueSince !== undefined) return;
    server.overdueSince = now;
    state.effects.push({
      kind: "overdue_changed",
      server: name,
      overdue: true,
    });
  });
}

/**
 * Stops the attempts that hang behind lost links, if another host takes their
 * requests, they may be sent again and the retry budget allows it.
 */
function restartHanging(
  state: hostState.HostState,
  waiting: readonly Waiting[],
): void {
  const hanging = waiting.filter(({ attempt, at, since, limitMs }) =>
    at.lastResponseAt <= since && state.now - since > limitMs &&
    linkChecks.isBehindLostLinks(state, attempt.server) &&
    handover.isTakenElsewhere(state, attempt.request)
  );
  hanging.toSorted((a, b) => a.attempt.request.tier - b.attempt.request.tier)
    .forEach(({ attempt }) => requeueHanging(state, attempt));
  if (hanging.length > 0) dispatching.dispatchQueue(state);
}

function requeueHanging(
  state: hostState.HostState,
  current: attempts.Attempt,
): void {
  const { request } = current;
  if (decideMove(state, current).kind === "give_up") return;
  attemptEnd.stopAttempt(state, { requestId: request.id, reason: "moved" });
  attemptEnd.requeueAttempt(state, {
    ended: current,
    avoid: current.server,
    ran: retry.mergeRan(current.ranBefore, retry.resolveRan("timeout")),
  });
}

/** Decides whether an attempt without an answer may be stopped and sent elsewhere. */
function decideMove(
  state: hostState.HostState,
  current: attempts.Attempt,
): retry.RetryDecision {
  const { request } = current;
  if (state.parts.find(request.parts) !== undefined) {
    return { kind: "give_up", ran: "unknown", reason: "blamed" };
  }
  return retry.decideRetry({
    failure: "timeout",
    sent: current.attempt - current.unsentAttempts,
    maxAttempts: request.maxAttempts,
    repeatable: request.repeatable,
    answerStarted: current.offset + current.tokens > 0,
    resumable: request.resumable ?? false,
  }, () => state.budget.take(request, state.now));
}

/** Finds when each failure domain last sent data to this host. */
function findLastResponses(
  state: hostState.HostState,
): ReadonlyMap<string, number> {
  const last = new Map<string, number>();
  state.table.listServers().forEach((server) => {
    const { info: { failureDomain = "" }, lastResponseAt } = server;
    const before = last.get(failureDomain) ?? Number.NEGATIVE_INFINITY;
    last.set(failureDomain, Math.max(before, lastResponseAt));
  });
  return last;
}

/** An attempt that waits while its whole failure domain sends nothing. */
interface Silent extends Waiting {
  /** Since when neither the attempt nor its failure domain got data, monotonic ms. */
  readonly silentSince: number;
}

/**
 * Finds since when the failure domain of an attempt has sent nothing. The result
 * is empty if no other failure domain has sent anything since either: then this
 * host may be cut off itself, and no other server would answer.
 */
function findSilence(
  waiting: Waiting,
  lastResponses: ReadonlyMap<string, number>,
): Silent[] {
  const { failureDomain = "" } = waiting.at.info;
  const last = lastResponses.get(failureDomain) ?? Number.NEGATIVE_INFINITY;
  const silentSince = Math.max(waiting.since, last);
  const answersElsewhere = [...lastResponses].some(([domain, at]) =>
    domain !== failureDomain && at > silentSince
  );
  return answersElsewhere ? [{ ...waiting, silentSince }] : [];
}

/**
 * Records the servers of other failure domains at which an attempt has waited
 * beyond its limit while no server of the domain sent anything. Attempts from
 * before the last ejection of the domain do not count again: at-most-once
 * requests wait until their deadline, and would keep a domain ejected that can be
 * reached again.
 */
function recordUnresponsive(
  state: hostState.HostState,
  silent: readonly Silent[],
): void {
  const { now, domainFailures } = state;
  const counted = silent.filter(({ at: { info }, since, ...one }) => {
    const ejectedAt = domainFailures.getEjectedAt(info.failureDomain);
    return now - one.silentSince > one.limitMs &&
      (ejectedAt === undefined || since > ejectedAt);
  });
  new Set(counted.map(({ at }) => at)).forEach((server) => {
    const { failureDomain } = server.info;
    // The first attempts after an ejection are a trial, so one of them is enough.
    const isTrial = serverState.isUntried(server, now);
    if (isTrial && failureDomain !== undefined) {
      return attemptEnd.ejectDomain(state, failureDomain);
    }
    attemptEnd.recordUnresponsive(state, server);
  });
}

/** Restarts requests that wait in ejected failure domains, those of higher tiers first. */
function restartSilent(
  state: hostState.HostState,
  silent: readonly Silent[],
): void {
  const { now } = state;
  const restartable = silent.filter(({ at, silentSince }) => {
    const ejectedAt = state.domainFailures.getEjectedAt(at.info.failureDomain);
    return ejectedAt !== undefined && now - ejectedAt < constants.EJECT_MS &&
      now < at.ejectedUntil &&
      now - silentSince >= unresponsiveServers.MIN_WAIT_LIMIT_MS;
  });
  if (restartable.length === 0) return;
  // Requests that are already queued have no attempt yet, so they come first.
  dispatching.dispatchQueue(state);
  restartable.toSorted((a, b) =>
    a.attempt.request.tier - b.attempt.request.tier
  )
    .forEach(({ attempt }) => restartAttempt(state, attempt));
}

/**
 * Stops an attempt and starts its request at another server at once, if the
 * request may be sent again, a server takes it now and the retry budget allows it.
 * Otherwise the attempt continues.
 */
function restartAttempt(
  state: hostState.HostState,
  current: attempts.Attempt,
): void {
  const { request } = current;
  if (state.suspects.isPoison(request.fingerprint)) return;
  const choice = dispatching.findAlternative(state, current);
  if (choice === undefined) return;
  if (decideMove(state, current).kind === "give_up") return;
  attemptEnd.stopAttempt(state, { requestId: request.id, reason: "moved" });
  const queued = attemptEnd.buildNextAttempt(state, {
    ended: current,
    avoid: current.server,
    ran: retry.mergeRan(current.ranBefore, retry.resolveRan("timeout")),
  });
  // In the queue the request could wait beyond its start deadline and be refused.
  dispatching.startAttempt(state, { queued, choice });
}
