/** What is learned from attempts while they run. */
import * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as hostState from "./host_state.ts";
import type * as serverState from "./server_state.ts";

/** Unread prompt tokens of an engine from which on it reads long prompts. */
const LONG_PROMPT_TOKENS = 2_000;

/**
 * Records tokens that an attempt has brought.
 *
 * @example
 * recordProgress(state, event);
 */
export function recordProgress(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "progressed" }>,
): void {
  const made = state.running.recordProgress(event, state.now);
  if (made === undefined) return;
  const server = state.table.get(made.current.server);
  if (server !== undefined) recordHeard(state, server);
  if (made.first) endPrompt(state, made.current);
  recordPause(state, made);
  recordSpeed(state, {
    attempt: made.current,
    least: constants.SPEED_SAMPLE_TOKENS,
  });
}

/**
 * Records that a server gave a sign of life.
 *
 * @example
 * recordHeard(state, server);
 */
export function recordHeard(
  state: hostState.HostState,
  { info: { failureDomain } }: serverState.ServerState,
): void {
  if (failureDomain !== undefined) state.silences.recordHeard(failureDomain);
}

/**
 * Learns how long streams pause while their engine reads long prompts: this
 * host's own, since word of the others' is older than the pause.
 */
function recordPause(
  state: hostState.HostState,
  { current, pauseMs }: {
    readonly current: attempts.Attempt;
    readonly pauseMs: number | undefined;
  },
): void {
  const server = state.table.get(current.server);
  if (server === undefined || pauseMs === undefined) return;
  if (server.prompting < LONG_PROMPT_TOKENS) return;
  const { target } = current.request;
  const isLong = pauseMs > state.prompts.getTightestMs(target);
  state.pauses.record(target, isLong, state.now);
}

/**
 * Learns how fast a server is while its streams run: an engine that has become
 * slow would otherwise be given work until its first answers are whole.
 *
 * @example
 * recordSpeed(state, { attempt, least: 8 });
 */
export function recordSpeed(
  state: hostState.HostState,
  { attempt, least }: {
    readonly attempt: attempts.Attempt;
    readonly least: number;
  },
): void {
  const server = state.table.get(attempt.server);
  const tokenMs = attempts.measureTokenMs(attempt, { now: state.now, least });
  if (server === undefined || tokenMs === undefined) return;
  state.table.recordSpeed(server, tokenMs);
}

/**
 * Records that a server has read an attempt's prompt, or will not.
 *
 * @example
 * endPrompt(state, attempt);
 */
export function endPrompt(
  state: hostState.HostState,
  attempt: attempts.Attempt,
): void {
  const server = state.table.get(attempt.server);
  if (server === undefined) return;
  const left = server.prompting - attempt.request.promptTokens;
  server.prompting = Math.max(0, left);
}
