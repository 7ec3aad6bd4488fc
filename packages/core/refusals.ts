/** Messages of refusals, one for each code. */
import * as admission from "./admission.ts";
import type * as request from "./request.ts";

/** What a caller reads. */
const MESSAGES: Readonly<Record<request.RefusalCode, string>> = {
  bad_request: "The request is malformed.",
  not_authenticated: "The key is missing or unknown.",
  not_allowed: "The key does not grant this.",
  not_found: "There is no such path, model or service.",
  too_large: "The request is too large.",
  overloaded: "The request could not start in time for its class.",
  deadline_exceeded: "The request waited as long as its class allows.",
  no_capacity: "No backend server offers this model or service now.",
  draining: "This host is shutting down.",
  key_withdrawn: "The key was withdrawn.",
  conflict: "An operation with this idempotency key exists already.",
  poison_request: "Backend servers were lost while they ran this request.",
  store_unavailable: "The operation cannot be claimed now.",
  backend_failed: "The backend server failed.",
  cancelled: "The caller left.",
};

/** What a refusal is made of. */
export interface RefusalReason {
  readonly code: request.RefusalCode;
  readonly ran: request.Ran;
  /** Expected time until coming back makes sense, in ms. */
  readonly waitMs?: number;
  /** @default constants.RETRY_AFTER_MIN_MS */
  readonly leastRetryMs?: number;
  /** @default "dispatch" */
  readonly step?: string;
  /** @default "this host" */
  readonly peer?: string;
  /** In place of the code's message. */
  readonly message?: string;
}

/**
 * Builds a typed refusal.
 *
 * @example
 * buildRefusal({ code: "overloaded", ran: "no", waitMs: 2000 });
 */
export function buildRefusal(reason: RefusalReason): request.Refusal {
  const refusal = {
    code: reason.code,
    message: reason.message ?? MESSAGES[reason.code],
    ran: reason.ran,
    step: reason.step ?? "dispatch",
    peer: reason.peer ?? "this host",
  };
  if (reason.waitMs === undefined) return refusal;
  return {
    ...refusal,
    retryAfterMs: admission.computeRetryAfter(
      reason.waitMs,
      reason.leastRetryMs,
    ),
  };
}

/** Refusals of a request's form: the same bytes are always refused. */
const OF_FORM: ReadonlySet<request.RefusalCode> = new Set([
  "bad_request",
  "too_large",
]);

/**
 * Takes back a "not run" that nobody looked up. A call with an idempotency key
 * that is refused before its claim or ticket was read has not run by this
 * sending, but an earlier one of the same key may have: a caller that believed
 * "not run" would book again under a new key.
 *
 * @example
 * const refusal = clearUnproven(buildKeyRefusal("not_authenticated"));
 */
export function clearUnproven(refusal: request.Refusal): request.Refusal {
  if (refusal.ran !== "no" || OF_FORM.has(refusal.code)) return refusal;
  return { ...refusal, ran: "unknown" };
}
