/** Which queued request starts next, and where. */
import * as admission from "./admission.ts";
import * as constants from "./constants.ts";
import * as hostState from "./host_state.ts";
import type * as queue from "./queue.ts";
import type * as request from "./request.ts";
import type * as router from "./router.ts";
import * as serverState from "./server_state.ts";

/**
 * Starts as much queued work as there is room for; with `targets` only work
 * for these, since an event at one server changes nothing for the others.
 *
 * @example
 * dispatchQueue(state, server.pool.targets);
 */
export function dispatchQueue(
  state: hostState.HostState,
  targets?: readonly string[],
): void {
  if (state.queue.size === 0) return;
  const waiting = targets === undefined
    ? state.queue.listWaiting()
    : state.queue.listWaitingFor(targets);
  const full = new Set<string>();
  state.credits.order(waiting).forEach((lane) => {
    // Found out once: each lane would look at every server again.
    const open = !full.has(lane.target) &&
      state.table.hasRoomFor(lane.target, state.now);
    if (open) dispatchLane(state, lane);
    else full.add(lane.target);
  });
  // Work that waits is demand that the allocator has not heard of.
  if (state.queue.size > 0) state.effects.push({ kind: "ask_capacity" });
}

/**
 * Starts work of one lane until its head finds no room.
 *
 * @example
 * dispatchLane(state, lane);
 */
export function dispatchLane(
  state: hostState.HostState,
  lane: queue.Lane,
): void {
  let next = lane.peek();
  while (next !== undefined) {
    const choice = chooseServer(state, { lane, queued: next });
    if (choice === undefined) return;
    startNext(state, { lane, choice });
    next = lane.peek();
  }
}

function chooseServer(
  state: hostState.HostState,
  { lane, queued }: {
    readonly lane: queue.Lane;
    readonly queued: queue.QueuedRequest;
  },
): router.RouteChoice | undefined {
  const wanted = queued.request;
  // One copy of a suspect request at a time: two could take two servers.
  if (queued.suspect && state.running.hasFingerprint(wanted.fingerprint)) {
    return undefined;
  }
  const share = state.classes.get(wanted.className)?.share ?? 0;
  return state.router.choose(wanted, {
    now: state.now,
    suspect: queued.suspect,
    avoid: queued.avoid,
    turn: state.credits.hasTurn(lane),
    guaranteedSlots: (pool) =>
      admission.countGuaranteedSlots(share, pool.totalSlots),
    // A suspect stays: it must not take servers of every failure domain.
    overflow: !queued.suspect && (hostState.isLate(state, wanted) ||
      hostState.countOwnSlots(state, wanted) === 0),
  });
}

function startNext(
  state: hostState.HostState,
  { lane, choice: { server, source } }: {
    readonly lane: queue.Lane;
    readonly choice: router.RouteChoice;
  },
): void {
  const cost = estimateCost(state, lane.peek()?.request as request.Request);
  const queued = state.queue.take(lane, cost) as queue.QueuedRequest;
  state.credits.recordStart(lane, {
    cost,
    waiting: state.queue.listWaitingFor([lane.target]),
    classes: state.classes,
  });
  state.table.recordStart(server, queued.request);
  recordColdStart(state, server);
  if (queued.suspect) server.suspects += 1;
  server.prompting += queued.request.promptTokens;
  state.running.add({
    request: queued.request,
    attempt: queued.attempt,
    unsent: queued.unsent,
    server: server.info.name,
    pool: server.info.pool,
    startedAt: state.now,
    offset: queued.offset,
    tokens: 0,
    measured: { tokens: 0, at: state.now },
    suspect: queued.suspect,
    ranBefore: queued.ran,
  });
  state.effects.push({
    kind: "start",
    request: queued.request,
    attempt: queued.attempt,
    server: server.info,
    ...(source && { source: source.info }),
    offset: queued.offset,
  });
}

/** Records that the turn at a cold server was used. */
function recordColdStart(
  state: hostState.HostState,
  server: serverState.ServerState,
): void {
  if (!serverState.isCold(server, state.now)) return;
  state.coldTurns.take(server.info.pool);
}

function estimateCost(
  state: hostState.HostState,
  wanted: request.Request,
): number {
  if (wanted.kind === "call") return 1;
  const learned = state.lengths.get(hostState.getLengthKey(wanted)).tokens;
  return Math.min(learned, wanted.maxTokens) +
    wanted.promptTokens * constants.PROMPT_TOKEN_COST;
}
