/**
 * Rules for servers that keep their connections open and send nothing: a link or
 * a failure domain that is cut, or a process that hangs. Callers would otherwise
 * wait until the timeouts of the attempts there, one server after another.
 */
import type * as request from "./request.ts";

/** Wait limit of a call, as a multiple of the mean service time of such calls. */
const CALL_WAIT_FACTOR = 4;
/** Lower bound of the wait limit of a call, in ms. */
const MIN_CALL_WAIT_MS = 150;
/** Wait limit for the first event of a stream, as a share of its target. */
const FIRST_EVENT_WAIT_SHARE = 0.5;
/** Lower bound of the wait limit for the first event, in ms. */
const MIN_FIRST_EVENT_WAIT_MS = 250;
/** Lower bound of the wait limit between two events, in ms. */
const MIN_BETWEEN_WAIT_MS = 500;

/** Shortest wait limit of any attempt, in ms. */
export const MIN_WAIT_LIMIT_MS = MIN_CALL_WAIT_MS;

/** An attempt that waits for data of its server. */
export interface WaitingAttempt {
  readonly server: string;
  /** Since when it has waited: its start or its last tokens, monotonic ms. */
  readonly since: number;
  /** How long it may wait, in ms. */
  readonly limitMs: number;
}

/** What determines the wait limit of an attempt. */
export interface WaitLimitOptions {
  /** Mean service time of such requests at this host, in ms. */
  readonly serviceMs: number;
  /** Whether the attempt has produced tokens. */
  readonly hasBegun: boolean;
}

/**
 * Computes how long an attempt may wait for data before its server counts as
 * overdue, in ms.
 *
 * @example
 * computeWaitLimit(request, { serviceMs: 40, hasBegun: false });
 */
export function computeWaitLimit(
  { kind, targetMs, targetBetweenMs }: Pick<
    request.Request,
    "kind" | "targetMs" | "targetBetweenMs"
  >,
  { serviceMs, hasBegun }: WaitLimitOptions,
): number {
  if (kind === "call") {
    return Math.max(MIN_CALL_WAIT_MS, CALL_WAIT_FACTOR * serviceMs);
  }
  return hasBegun
    ? Math.max(MIN_BETWEEN_WAIT_MS, targetBetweenMs)
    : Math.max(MIN_FIRST_EVENT_WAIT_MS, FIRST_EVENT_WAIT_SHARE * targetMs);
}

/**
 * Finds the servers at which an attempt has waited beyond its limit while no data
 * of any attempt arrived. A busy engine that prefills a long prompt delays the
 * first event of a short one, but sends events of its other streams meanwhile. An
 * attempt from before the last data does not count, because a single hung attempt
 * would make its server overdue in each pause between other answers.
 *
 * @example
 * findOverdue(attempts, { now, getLastResponseAt }).has("e1");
 */
export function findOverdue(
  attempts: readonly WaitingAttempt[],
  { now, getLastResponseAt }: {
    readonly now: number;
    /** Returns when the last data arrived from a server, monotonic ms. */
    readonly getLastResponseAt: (server: string) => number;
  },
): ReadonlySet<string> {
  const overdue = attempts.filter(({ server, since, limitMs }) =>
    getLastResponseAt(server) <= since && now - since > limitMs
  );
  return new Set(overdue.map(({ server }) => server));
}
