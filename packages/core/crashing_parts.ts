/** Applies the blame of parts that crash servers to the requests of one host. */
import type * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import * as handover from "./handover.ts";
import * as hostState from "./host_state.ts";
import * as linkChecks from "./link_checks.ts";
import * as partBlames from "./part_blames.ts";
import type * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as suspectMarks from "./suspect_marks.ts";

/** Why a request with a blamed part is refused. */
type PartRefusal = Pick<refusals.RefusalReason, "code" | "waitMs">;

/**
 * Returns why a request must be refused: it has a part that crashes servers.
 * Undefined if it may run. While it is in doubt whether the servers have ended, a
 * host that has lost its links to them leaves the decision to one that has not.
 *
 * @example
 * const refusal = findRefusal(state, request);
 */
export function findRefusal(
  state: hostState.HostState,
  request: request.Request,
): PartRefusal | undefined {
  const { parts, doubts } = state;
  const blamed = parts.find(request.parts);
  if (blamed === undefined) return undefined;
  const servers = parts.listServers(blamed);
  if (!servers.some((server) => doubts.has(server))) {
    return { code: "poison_request" };
  }
  doubts.scheduleTrials(servers);
  return handover.isLeftToPeers(state, request)
    ? undefined
    : { code: "suspect_request", waitMs: constants.DOUBT_MS };
}

/**
 * Returns why an arriving request must be refused: it has a part that crashes
 * servers. Undefined if it may run. From time to time the host that holds the
 * control roles lets one such request try.
 *
 * @example
 * const refusal = findArrivalRefusal(state, request);
 */
export function findArrivalRefusal(
  state: hostState.HostState,
  request: request.Request,
): PartRefusal | undefined {
  const blamed = state.parts.find(request.parts);
  if (blamed === undefined) return undefined;
  state.parts.recordRequest(blamed, state.now)
    .forEach((mark) => state.effects.push({ kind: "suspect", mark }));
  const trial = state.mayTryParts()
    ? state.parts.takeTrial(blamed, state.now)
    : undefined;
  if (trial === undefined) return findRefusal(state, request);
  state.effects.push({ kind: "suspect", mark: trial });
  return undefined;
}

/**
 * Withdraws the crashes of a server that has not ended.
 *
 * @example
 * withdrawMarks(state, { server: "s1@1", at: 4_000 });
 */
export function withdrawMarks(
  state: hostState.HostState,
  loss: events.ServerLoss,
): void {
  const before = state.parts.listBlamed();
  state.parts.withdraw(loss);
  reportChange(state, before);
}

/**
 * Marks the parts of a request whose server was lost. Only a request without an
 * event can have crashed it; a server that was leaving has ended as announced.
 *
 * @example
 * markParts(state, ended);
 */
export function markParts(
  state: hostState.HostState,
  ended: attempts.Attempt,
): void {
  const { request, server, offset, tokens } = ended;
  const hasBegun = offset + tokens > 0 || request.software !== undefined;
  const isLeaving = state.table.get(server)?.info.state === "leaving";
  if (hasBegun || isLeaving || request.parts === undefined) return;
  const doubtful = linkChecks.isBehindLostLinks(state, server);
  const marks = state.parts.buildMarks(request.parts, {
    server,
    at: state.now,
  });
  addMarks(
    state,
    marks.map((mark) =>
      suspectMarks.reportSuspect(state, { ...mark, doubtful })
    ),
  );
  // One host finds out whether its lost server has ended, before a part is blamed.
  state.doubts.scheduleTrials(state.parts.listUnsettled(request.parts));
}

/**
 * Adds marks of this host or others, and refuses the queued requests with a part
 * that is blamed now; returns the marks that concern no part.
 *
 * @example
 * const others = addMarks(state, marks);
 */
export function addMarks(
  state: hostState.HostState,
  marks: readonly events.SuspectMark[],
): events.SuspectMark[] {
  const before = state.parts.listBlamed();
  const others = marks.filter((mark) => addMark(state, mark) === "other");
  reportChange(state, before);
  return others;
}

/** Adds a mark, doubtful as long as its server may not have ended. */
function addMark(
  state: hostState.HostState,
  mark: events.SuspectMark,
): partBlames.MarkOutcome {
  const { doubts, parts, now } = state;
  const { server, at = now } = mark;
  if (!partBlames.isCrash(mark)) return parts.add(mark, now);
  const isRecent = now - at < constants.DOUBT_MS;
  const doubtful = (isRecent || mark.doubtful === true) &&
    !isEnded(state, { server, at });
  // Nobody has found out whether the server ended, and this host was not there.
  if (doubtful && at < state.startedAt) return "cleared";
  if (doubtful) doubts.addRecent({ server, at }, now);
  const outcome = parts.add({ ...mark, doubtful }, now);
  if (outcome === "cleared") reportAnswer(state, mark);
  return outcome;
}

/** Whether a server has ended for certain: its entry is gone, or nothing listens at its address any more. */
function isEnded(
  { isListCurrent, table }: hostState.HostState,
  { server, at }: events.ServerLoss,
): boolean {
  const known = table.get(server);
  if (known === undefined) return isListCurrent();
  return known.refusedAt !== undefined && known.refusedAt >= at;
}

/**
 * Lets crashes count whose server has ended or is not heard of for a time.
 *
 * @example
 * settleCrashes(state);
 */
export function settleCrashes(state: hostState.HostState): void {
  const before = state.parts.listBlamed();
  state.parts.settle(state.now, (loss) => isEnded(state, loss));
  reportChange(state, before);
}

/** Tells other hosts that an answer has begun with the part of a mark since. */
function reportAnswer(
  state: hostState.HostState,
  { fingerprint, at = state.now }: events.SuspectMark,
): void {
  const part = partBlames.getPart(fingerprint);
  Object.entries(state.parts.getAnswers([part])).forEach(([, answeredAt]) =>
    state.effects.push({
      kind: "part_answered",
      part,
      at: answeredAt,
      markedAt: at,
    })
  );
}

function reportCleared(
  state: hostState.HostState,
  cleared: readonly string[],
): void {
  Object.entries(state.parts.getAnswers(cleared)).forEach(([part, at]) =>
    state.effects.push({ kind: "part_answered", part, at, markedAt: at })
  );
}

/**
 * Records answers that began at other hosts, which end wrong blames.
 *
 * @example
 * mergeAnswers(state, { a1: 12_000 });
 */
export function mergeAnswers(
  state: hostState.HostState,
  answers: Readonly<Record<string, number>>,
): void {
  const before = state.parts.listBlamed();
  reportCleared(state, state.parts.mergeAnswers(answers));
  reportChange(state, before);
}

/**
 * Records that an answer has begun, which clears the parts of its request.
 *
 * @example
 * recordAnswer(state, request);
 */
export function recordAnswer(
  state: hostState.HostState,
  { parts }: request.Request,
): void {
  if (parts === undefined) return;
  const before = state.parts.listBlamed();
  reportCleared(state, state.parts.recordAnswer(parts, state.now));
  reportChange(state, before);
}

/**
 * Forgets parts of which no request has come for long.
 *
 * @example
 * forgetParts(state);
 */
export function forgetParts(state: hostState.HostState): void {
  const before = state.parts.listBlamed();
  state.parts.forget(state.now);
  reportChange(state, before);
}

function reportChange(
  state: hostState.HostState,
  before: readonly string[],
): void {
  const blamed = state.parts.listBlamed();
  const isSame = blamed.length === before.length &&
    blamed.every((part) => before.includes(part));
  if (isSame) return;
  state.effects.push({
    kind: "parts_blamed",
    blamed: state.parts.describeBlamed(state.now),
  });
  state.queue.removeWhere(({ request }) =>
    findRefusal(state, request) !== undefined
  ).forEach(({ request: refused, ran }) => {
    const refusal = findRefusal(state, refused);
    if (refusal !== undefined) {
      hostState.refuse(state, { refused, ran, ...refusal });
    }
  });
}
