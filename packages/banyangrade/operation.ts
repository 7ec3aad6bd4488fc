/** Identity of operations and the format in which their outcome is sent between hosts. */
import * as caller from "@banyangrade/caller";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import type * as guard from "./operation_guard.ts";

/**
 * Computes the digest that identifies an operation: two calls with the same digest are
 * the same operation.
 *
 * @example
 * const fingerprint = computeFingerprint(operation, body);
 */
export function computeFingerprint(
  operation: {
    readonly customer: string;
    readonly target: string;
    readonly method: string;
    readonly path: string;
  },
  body: Buffer,
): string {
  return utils.computeDigest(utils.formatCanonical([
    operation.customer,
    operation.target,
    operation.method,
    operation.path,
    body.toString("base64"),
  ]));
}

/**
 * Converts an operation's outcome to the response that the forwarding host sends to the
 * caller.
 *
 * @example
 * return toTicketAnswer(outcome);
 */
export function toTicketAnswer(
  outcome: guard.GuardOutcome,
): peer.TicketResponse {
  switch (outcome.kind) {
    case "whole":
      return {
        ...outcome.answer,
        body: outcome.answer.body.toString("base64"),
      };
    case "repeated":
      return {
        status: outcome.answer.status,
        headers: { "content-type": outcome.answer.contentType },
        body: Buffer.from(outcome.answer.body).toString("base64"),
      };
    case "refused": {
      const retryAfterMs = outcome.refusal.retryAfterMs ?? 0;
      return {
        status: caller.getStatus(outcome.refusal),
        headers: {
          "content-type": "application/json",
          ...(retryAfterMs > 0
            ? { "retry-after": String(Math.ceil(retryAfterMs / 1_000)) }
            : {}),
        },
        body: Buffer.from(caller.formatRefusal(outcome.refusal))
          .toString("base64"),
      };
    }
    case "left":
      return { status: 499, headers: {}, body: "" };
  }
}
