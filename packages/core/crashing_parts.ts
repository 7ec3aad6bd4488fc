/** Applies the blame of parts that crash servers to the requests of one host. */
import type * as attempts from "./attempts.ts";
import type * as events from "./events.ts";
import * as hostState from "./host_state.ts";
import * as linkChecks from "./link_checks.ts";
import type * as request from "./request.ts";

/**
 * Whether a request has a part that crashes servers and must be refused. From time
 * to time the host that holds the control roles lets one such request try.
 *
 * @example
 * if (isRefused(state, request)) refuse(state, { refused: request, code: "poison_request" });
 */
export function isRefused(
  state: hostState.HostState,
  { parts }: request.Request,
): boolean {
  const blamed = state.parts.find(parts);
  if (blamed === undefined) return false;
  state.parts.recordRequest(blamed, state.now)
    .forEach((mark) => state.effects.push({ kind: "suspect", mark }));
  const trial = state.mayTryParts()
    ? state.parts.takeTrial(blamed, state.now)
    : undefined;
  if (trial === undefined) return true;
  state.effects.push({ kind: "suspect", mark: trial });
  return false;
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
  const marks = state.parts.buildMarks(request.parts, {
    server,
    at: state.now,
  });
  marks.forEach((mark) => linkChecks.reportSuspect(state, mark));
  addMarks(state, marks);
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
  const others = marks.filter((mark) => !state.parts.add(mark, state.now));
  reportChange(state, before);
  return others;
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
  state.parts.mergeAnswers(answers);
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
  if (parts === undefined || !state.parts.hasAny()) return;
  const before = state.parts.listBlamed();
  state.parts.recordAnswer(parts, state.now);
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
  state.effects.push({ kind: "parts_blamed", parts: blamed });
  state.queue.removeWhere(({ request: { parts } }) =>
    state.parts.find(parts) !== undefined
  ).forEach(({ request: refused, ran }) =>
    hostState.refuse(state, { refused, code: "poison_request", ran })
  );
}
