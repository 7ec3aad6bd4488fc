/** Updates of the state from the progress of running attempts. */
import * as attempts from "./attempts.ts";
import * as constants from "./constants.ts";
import * as crashingParts from "./crashing_parts.ts";
import type * as events from "./events.ts";
import * as linkChecks from "./link_checks.ts";
import type * as hostState from "./host_state.ts";
import * as serverAvailability from "./server_availability.ts";
import type * as serverState from "./server_state.ts";

/** Pending prefill tokens from which on an engine counts as prefilling long prompts. */
const LONG_PREFILL_TOKENS = 2_000;

/**
 * Records that an attempt has produced tokens.
 *
 * @example
 * recordProgress(state, event);
 */
export function recordProgress(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "progressed" }>,
): void {
  const recorded = state.running.recordProgress(event, state.now);
  if (recorded === undefined) return;
  const server = state.table.get(recorded.current.server);
  if (server !== undefined) recordResponse(state, server);
  if (recorded.first) {
    endPrefill(state, recorded.current);
    crashingParts.recordAnswer(state, recorded.current.request);
  }
  recordStreamPause(state, recorded);
  recordSpeed(state, {
    attempt: recorded.current,
    minTokens: constants.SPEED_SAMPLE_TOKENS,
  });
}

/**
 * Records that a server responded: it is not overdue, and its failure domain counts
 * as reachable.
 *
 * @example
 * recordResponse(state, server);
 */
export function recordResponse(
  state: hostState.HostState,
  server: serverState.ServerState,
): void {
  const { name, failureDomain } = server.info;
  server.lastResponseAt = state.now;
  if (state.doubts.hasAny()) state.doubts.recordSign(name, state.now);
  linkChecks.getLinks(state, server.info.pool)?.recordData(name, state.now);
  serverAvailability.recordResponse(server);
  if (server.overdueSince !== undefined) {
    server.overdueSince = undefined;
    state.effects.push({
      kind: "overdue_changed",
      server: name,
      overdue: false,
    });
  }
  if (failureDomain === undefined) return;
  if (state.domainFailures.getEjectedAt(failureDomain) !== undefined) {
    endTrial(state, failureDomain);
  }
  state.domainFailures.recordResponse(failureDomain);
}

/** Lets all requests use a failure domain that was ejected and has answered. */
function endTrial(state: hostState.HostState, failureDomain: string): void {
  state.table.listServers().forEach((server) => {
    if (server.info.failureDomain !== failureDomain) return;
    server.untriedUntil = undefined;
  });
}

/**
 * Records how long a stream paused while its engine prefilled long prompts. Only
 * this host's own prompts are counted, because the counts of other hosts arrive
 * later than the pause.
 */
function recordStreamPause(
  state: hostState.HostState,
  { current, pauseMs }: {
    readonly current: attempts.Attempt;
    readonly pauseMs: number | undefined;
  },
): void {
  const server = state.table.get(current.server);
  if (server === undefined || pauseMs === undefined) return;
  if (server.prompting < LONG_PREFILL_TOKENS) return;
  const { target } = current.request;
  const isLong = pauseMs > state.prompts.getMinTargetBetweenMs(target);
  state.pauses.record(target, isLong, state.now);
}

/**
 * Measures the speed of a server from a running stream. Measured only from
 * completed answers, an engine that has become slow would get work until its first
 * answers are complete.
 *
 * @example
 * recordSpeed(state, { attempt, minTokens: 8 });
 */
export function recordSpeed(
  state: hostState.HostState,
  { attempt, minTokens }: {
    readonly attempt: attempts.Attempt;
    readonly minTokens: number;
  },
): void {
  const server = state.table.get(attempt.server);
  const tokenMs = attempts.measureInterTokenMs(attempt, {
    now: state.now,
    minTokens,
  });
  if (server === undefined || tokenMs === undefined) return;
  state.table.recordSpeed(server, tokenMs);
  // The last few events of a response are too few to compare engines by.
  if (minTokens < constants.SPEED_SAMPLE_TOKENS) return;
  if (server.pool.serves !== "engine") return;
  state.paces.record(server.info.name, tokenMs, state.now);
}

/**
 * Records that a server has prefilled an attempt's prompt, or will not because the
 * attempt ended.
 *
 * @example
 * endPrefill(state, attempt);
 */
export function endPrefill(
  state: hostState.HostState,
  attempt: attempts.Attempt,
): void {
  const server = state.table.get(attempt.server);
  if (server === undefined) return;
  const remaining = server.prompting - attempt.request.promptTokens;
  server.prompting = Math.max(0, remaining);
}
