/** What happens to a request that arrives: refused at once, or queued. */
import * as admission from "./admission.ts";
import * as constants from "./constants.ts";
import * as hostState from "./host_state.ts";
import * as overflow from "./overflow.ts";
import type * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";
import * as starting from "./starting.ts";

/**
 * Refuses a request or queues it, and starts what can start.
 *
 * @example
 * admitRequest(state, request);
 */
export function admitRequest(
  state: hostState.HostState,
  wanted: request.Request,
): void {
  const reason = findReason(state, wanted);
  if (reason !== undefined) {
    return hostState.refuse(state, { refused: wanted, ran: "no", ...reason });
  }
  if (shedLoad(state, wanted)) return;
  if (wanted.kind === "generate") {
    state.prompts.record(wanted);
  }
  state.budget.recordFirst(wanted.target, state.now);
  state.queue.add({
    request: wanted,
    attempt: 1,
    unsent: 0,
    offset: 0,
    ran: "no",
    late: false,
    first: false,
    postponed: 0,
    suspect: state.suspects.isSuspect(wanted.fingerprint),
  });
  starting.dispatchQueue(state, [wanted.target]);
}

/** Reasons for a refusal that do not depend on load. */
function findReason(
  state: hostState.HostState,
  wanted: request.Request,
): Pick<refusals.RefusalReason, "code" | "waitMs"> | undefined {
  if (state.draining) return { code: "draining", waitMs: 0 };
  if (state.suspects.isPoison(wanted.fingerprint)) {
    return { code: "poison_request" };
  }
  const hold = state.suspects.getHold(wanted.fingerprint, state.now);
  if (hold > 0) return { code: "poison_request", waitMs: hold };
  const served = overflow.hasNear(state, wanted) ||
    overflow.mayOverflow(state, wanted);
  if (!served || !hasServerAtHome(state, wanted)) {
    return { code: "no_capacity", waitMs: Number.POSITIVE_INFINITY };
  }
  return undefined;
}

/** Whether any server is there for a request that may not run everywhere. */
function hasServerAtHome(
  state: hostState.HostState,
  wanted: request.Request,
): boolean {
  return wanted.homes === undefined ||
    state.table.listFor(wanted.target).some((server) =>
      server.info.state === "live" && serverState.mayRunAt(server, wanted)
    );
}

/** Refuses the newcomer, or lower work in its place, if it cannot start in time. */
function shedLoad(
  state: hostState.HostState,
  wanted: request.Request,
): boolean {
  const pools = hostState.listPoolsFor(state, wanted);
  const waitMs = estimateWait(state, { wanted, pools });
  const late = waitMs > wanted.startBy - state.now;
  const full = state.queue.size >= constants.MAX_QUEUED;
  if (!late && !full) return false;
  if (full && shedLowest(state, { wanted, waitMs })) return false;
  // A higher tier is not refused while lower work runs anywhere in the
  // failure domain: it waits for the slots that are being called back.
  if (!full && hasLowerWork(state, { wanted, pools })) {
    state.effects.push({ kind: "ask_capacity" });
    return false;
  }
  if (!full && overflow.mayOverflow(state, wanted)) return false;
  const refused = { refused: wanted, ran: "no", waitMs } as const;
  hostState.refuse(state, { ...refused, code: "overloaded" });
  return true;
}

/** Refuses the newest queued request of the lowest tier; false if there is none lower. */
function shedLowest(
  state: hostState.HostState,
  { wanted, waitMs }: {
    readonly wanted: request.Request;
    readonly waitMs: number;
  },
): boolean {
  const lower = state.queue.removeLowest(wanted.tier);
  if (lower === undefined) return false;
  hostState.refuse(state, {
    refused: lower.request,
    code: "overloaded",
    ran: lower.ran,
    waitMs,
  });
  return true;
}

interface Placed {
  readonly wanted: request.Request;
  readonly pools: readonly serverState.PoolState[];
}

function hasLowerWork(
  state: hostState.HostState,
  { wanted, pools }: Placed,
): boolean {
  const known = state.now - state.grantAsOf <= constants.GRANT_VALID_MS;
  return (known && admission.hasLowerWork(wanted.tier, pools)) ||
    hostState.findVictim(state, wanted) !== undefined;
}

function estimateWait(
  state: hostState.HostState,
  { wanted, pools }: Placed,
): number {
  return admission.estimateWait(
    admission.measureBacklog(wanted, {
      lanes: state.queue.listWaitingFor([wanted.target]),
      pools,
      serviceMs: state.lengths.get(hostState.getLengthKey(wanted)).serviceMs,
    }),
  );
}
