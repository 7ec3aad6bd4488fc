/** Answers to requests that are given up. */
import type * as core from "@banyangrade/core";
import type * as ingress from "./ingress.ts";

/** Statuses of refusals that ran nothing, by their code. */
const STATUS_BY_CODE: Readonly<Partial<Record<core.RefusalCode, number>>> = {
  bad_request: 400,
  not_authenticated: 401,
  key_withdrawn: 401,
  not_allowed: 403,
  not_found: 404,
  too_large: 413,
};
/** Status that promises that nothing ran or ever will. */
const NOT_RUN_STATUS = 503;
const FAILED_STATUS = 502;
const TIMED_OUT_STATUS = 504;

/**
 * Answers a request that is given up. Only a refusal after which nothing ran
 * gets a status that promises so; one with an unknown outcome must not, or its
 * caller would send it again and it might run twice.
 *
 * @example
 * sendRefusal(answer, { refusal, requestId });
 */
export function sendRefusal(
  answer: ingress.IngressAnswer,
  { refusal, requestId }: {
    readonly refusal: core.Refusal;
    readonly requestId: string | undefined;
  },
): void {
  if (answer.isBegun()) return answer.destroy();
  const retryAfter = refusal.ran === "no" && refusal.retryAfterMs !== undefined
    ? { "retry-after": (refusal.retryAfterMs / 1_000).toFixed(3) }
    : {};
  answer.send({
    status: chooseStatus(refusal),
    headers: { "content-type": "application/json", ...retryAfter },
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
