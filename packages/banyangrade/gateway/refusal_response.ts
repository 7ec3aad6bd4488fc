/** Responses to refused requests. */
import type * as core from "@banyangrade/core";
import * as handoverProtocol from "./handover_protocol.ts";
import type * as ingress from "./ingress.ts";

/** HTTP statuses of refusals after which nothing ran, by refusal code. */
const STATUS_BY_CODE: Readonly<Partial<Record<core.RefusalCode, number>>> = {
  bad_request: 400,
  not_authenticated: 401,
  key_withdrawn: 401,
  not_allowed: 403,
  not_found: 404,
  too_large: 413,
};
/** Default status of a refusal that guarantees that nothing ran or will run; callers may safely retry. */
const NOT_RUN_STATUS = 503;
const FAILED_STATUS = 502;
const TIMED_OUT_STATUS = 504;

/**
 * Answers a refused request. Only a refusal after which nothing ran gets a status
 * that says so; with an unknown outcome the caller would retry and the request
 * might run twice.
 *
 * @example
 * sendRefusal(answer, { refusal, requestId });
 */
export function sendRefusal(
  answer: ingress.CallerResponse,
  { refusal, requestId }: {
    readonly refusal: core.Refusal;
    readonly requestId: string | undefined;
  },
): void {
  if (answer.isStarted()) return answer.destroy();
  const retryAfter = refusal.ran === "no" && refusal.retryAfterMs !== undefined
    ? { "retry-after": (refusal.retryAfterMs / 1_000).toFixed(3) }
    : {};
  answer.send({
    status: chooseStatus(refusal),
    headers: {
      "content-type": "application/json",
      ...retryAfter,
      ...(answer.isToHost && handoverProtocol.buildRefusalHeaders(refusal)),
    },
    body: JSON.stringify({
      error: {
        ...refusal,
        retryAfter: retryAfter["retry-after"],
        requestId,
      },
    }),
  });
}

function chooseStatus(refusal: core.Refusal): number {
  if (refusal.ran === "no") {
    return STATUS_BY_CODE[refusal.code] ?? NOT_RUN_STATUS;
  }
  return refusal.code === "deadline_exceeded"
    ? TIMED_OUT_STATUS
    : FAILED_STATUS;
}
