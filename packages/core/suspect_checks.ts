/**
 * Decides which requests are refused because servers were lost while they ran, and
 * whether these servers have really ended.
 */
import * as constants from "./constants.ts";
import * as crashingParts from "./crashing_parts.ts";
import type * as events from "./events.ts";
import * as handover from "./handover.ts";
import type * as hostState from "./host_state.ts";
import type * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as suspectMarks from "./suspect_marks.ts";

/** Why a suspect is refused. */
export type SuspectRefusal = Pick<refusals.RefusalReason, "code" | "waitMs">;

/**
 * Returns why a request must be refused; undefined if it may run. While it is in
 * doubt whether the servers have ended, a host that has lost its links to them
 * leaves the decision to one that has not.
 *
 * @example
 * const refusal = findRefusal(state, request);
 */
export function findRefusal(
  state: hostState.HostState,
  request: request.Request,
): SuspectRefusal | undefined {
  const { suspects, doubts } = state;
  const { fingerprint } = request;
  if (!suspects.isPoison(fingerprint)) return undefined;
  const isSure = suspects.isPoisonWithout(
    fingerprint,
    (loss) => isInDoubt(state, loss),
  );
  if (isSure) return { code: "poison_request" };
  doubts.scheduleTrials(suspects.listServers(fingerprint));
  return handover.isLeftToPeers(state, request)
    ? undefined
    : { code: "suspect_request", waitMs: constants.DOUBT_MS };
}

/** Whether a lost server may not have ended: it is in doubt, or so recently lost that the host may not have noticed yet that its links are. */
function isInDoubt(
  { links, doubts, table, now }: hostState.HostState,
  { server, at }: Pick<events.SuspectMark, "server" | "at">,
): boolean {
  if (doubts.has(server)) return true;
  const isRecent = at !== undefined && now - at < constants.DOUBT_MS;
  return links !== undefined && isRecent && table.get(server) !== undefined;
}

/**
 * Adds the marks of other hosts, the losses that they found to be wrong and the
 * suspects that completed there.
 *
 * @example
 * const requests = mergeSuspects(state, { marks, wrongLosses });
 */
export function mergeSuspects(
  state: hostState.HostState,
  { marks, wrongLosses = {}, answered = {}, answeredParts = {} }: Omit<
    Extract<events.DispatchEvent, { kind: "suspected" }>,
    "kind"
  >,
): events.SuspectMark[] {
  const { doubts, suspects, table, now } = state;
  // A server that is gone from the list has ended; a host whose list is older may
  // have taken the next process at its address for it.
  Object.entries(wrongLosses).filter(([server]) =>
    table.get(server) !== undefined
  ).forEach(([server, at]) => withdrawLosses(state, { server, at }));
  crashingParts.mergeAnswers(state, answeredParts);
  const left = marks.filter(({ server, at = now }) =>
    !doubts.isWrong({ server, at })
  );
  left.filter(({ doubtful, server }) =>
    doubtful === true && table.get(server) !== undefined
  ).forEach(({ server, at = now }) => doubts.add({ server, at }, now));
  const added = crashingParts.addMarks(state, left)
    .filter((mark) => suspects.addRemote(mark, now));
  suspectMarks.recordChange(state, { change: "received", marks: added });
  Object.entries(answered).forEach(([fingerprint, at]) =>
    clearSuspect(state, { fingerprint, at })
  );
  // Whether their servers have ended is found out before the request comes again.
  added.filter(({ fingerprint }) => suspects.isPoison(fingerprint))
    .forEach(({ fingerprint }) =>
      doubts.scheduleTrials(suspects.listServers(fingerprint))
    );
  return added;
}

/**
 * Records that a request has completed, here or at another host: the losses of
 * servers until then had another cause.
 *
 * @example
 * clearSuspect(state, { fingerprint, at: state.now });
 */
export function clearSuspect(
  state: hostState.HostState,
  { fingerprint, at }: { readonly fingerprint: string; readonly at: number },
): void {
  if (!state.suspects.clear(fingerprint, at)) return;
  state.effects.push({ kind: "suspect_answered", fingerprint, at });
}

/**
 * Decides on the servers in doubt, tries connections to them and forgets old
 * suspects.
 *
 * @example
 * checkSuspects(state);
 */
export function checkSuspects(state: hostState.HostState): void {
  const { doubts, stopped, suspects, table, now } = state;
  suspects.forget(now);
  stopped.forget(now);
  crashingParts.settleCrashes(state);
  if (!doubts.hasAny()) return;
  const { ended, wrong } = doubts.decide({
    isListed: (server) => table.get(server) !== undefined,
    isListCurrent: state.isListCurrent(),
  }, now);
  suspectMarks.recordChange(state, {
    change: "confirmed",
    marks: ended.flatMap((server) => suspects.listAt(server)),
  });
  wrong.forEach((loss) => withdrawLosses(state, loss));
  const servers = doubts.takeTrials(now)
    .flatMap((name) => table.get(name)?.info ?? []);
  if (servers.length > 0) state.effects.push({ kind: "try_links", servers });
}

/** Withdraws the marks of losses that were wrong: the server has not ended. */
function withdrawLosses(
  state: hostState.HostState,
  loss: events.ServerLoss,
): void {
  const { doubts, suspects, now } = state;
  if (!doubts.withdraw(loss, now)) return;
  suspectMarks.recordChange(state, {
    change: "withdrawn",
    marks: suspects.withdraw(loss),
  });
  crashingParts.withdrawMarks(state, loss);
  state.effects.push({ kind: "losses_withdrawn", loss });
}
