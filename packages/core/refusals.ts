/** Builds refusals, with a default message for each code. */
import * as admissionEstimates from "./admission_estimates.ts";
import type * as request from "./request.ts";

/** Default messages to the caller. */
const MESSAGES: Readonly<Record<request.RefusalCode, string>> = {
  bad_request: "The request is malformed; correct it before sending it again.",
  not_authenticated: "The API key is missing or unknown; send a valid key.",
  not_allowed: "The API key does not permit this request.",
  not_found:
    "No such path, model or service exists; check the path and the model.",
  too_large: "The request exceeds the size limit; send a smaller one.",
  overloaded:
    "The request could not start within the target of its class; retry later.",
  deadline_exceeded:
    'The request waited for the longest time that its class allows; retry only if the field ran is "no" or the request is idempotent.',
  no_capacity:
    "No backend server for this model or service is available; retry later.",
  draining: "This host is shutting down; send the request to another host.",
  key_withdrawn: "The API key was withdrawn; use another key.",
  conflict:
    "An operation with this idempotency key already exists; use a new key only for a different operation.",
  poison_request:
    "Backend servers were lost while running this request; do not send it again unchanged.",
  suspect_request:
    "Backend servers were lost while running this request, and it is not known yet whether they have ended; retry later.",
  origin_unknown:
    "No host knows which software version began this stream, and another one must not go on with it; retry, or begin the stream anew.",
  store_unavailable:
    "The operation cannot be claimed because the store is unavailable; retry with the same idempotency key.",
  backend_failed:
    'The backend server failed; retry only if the field ran is "no" or the request is idempotent.',
  internal_error:
    'This host failed while it handled the request; retry, preferably on another host, only if the field ran is "no" or the request is idempotent.',
  cancelled: "The caller disconnected or cancelled the request.",
};

/** Code and details of a refusal. */
export interface RefusalReason {
  readonly code: request.RefusalCode;
  /** Whether the request may have run. */
  readonly ran: request.Ran;
  /** Expected time until a retry can succeed, in ms. */
  readonly waitMs?: number;
  /** Minimum delay that the caller is told, in ms. @default constants.RETRY_AFTER_MIN_MS */
  readonly minRetryAfterMs?: number;
  /** Why a failed attempt was the last one. */
  readonly notRetried?: request.GiveUpReason;
  /** Step of the processing that refused the request. @default "dispatch" */
  readonly step?: string;
  /** The peer involved: a backend server, a host or the store. @default "this host" */
  readonly peer?: string;
  /** Message to the caller. @default the message of the code */
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
    ...(reason.notRetried && { notRetried: reason.notRetried }),
  };
  if (reason.waitMs === undefined) return refusal;
  return {
    ...refusal,
    retryAfterMs: admissionEstimates.computeRetryAfter(
      reason.waitMs,
      reason.minRetryAfterMs,
    ),
  };
}

/** Codes that depend only on the content of a request, so that no attempt can have run it. */
const MALFORMED_CODES: ReadonlySet<request.RefusalCode> = new Set([
  "bad_request",
  "too_large",
]);

/**
 * Replaces an unverified `ran: "no"` by "unknown". If a call with an idempotency
 * key is refused before its claim or ticket was read, this attempt has not run,
 * but an earlier attempt with the same key may have. A caller that relied on "no"
 * would repeat the operation under a new key.
 *
 * @example
 * const refusal = markRanUnknown(buildKeyRefusal("not_authenticated"));
 */
export function markRanUnknown(refusal: request.Refusal): request.Refusal {
  if (refusal.ran !== "no" || MALFORMED_CODES.has(refusal.code)) return refusal;
  return { ...refusal, ran: "unknown" };
}
