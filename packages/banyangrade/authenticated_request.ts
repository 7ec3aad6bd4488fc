/** Callers' requests after authentication: their authorisation, their refusal and the request that they become. */
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import * as exchange from "./exchange.ts";

/** Key of a caller's request, with the customer and the class that it resolves to. */
export interface AuthenticatedHead {
  readonly secret: string;
  readonly grant: core.KeyGrant;
  readonly part: core.ClassPart;
}

/** A caller's request with a valid key. */
export interface AuthenticatedRequest extends AuthenticatedHead {
  readonly incoming: caller.CallerRequest;
}

/**
 * Sends a caller the refusal of its request.
 *
 * @example
 * refuseRequest(context, { head, refusal });
 */
export function refuseRequest(
  context: exchange.ExchangeContext,
  { head, refusal }: {
    readonly head: caller.CallerHead;
    readonly refusal: core.Refusal;
  },
): void {
  const { answer, requestId } = head;
  exchange.refuseCaller(context, { answer, refusal, requestId });
}

/**
 * Refuses a request before its idempotency key is claimed. If it carries such a key,
 * the refusal does not say that the operation did not run: an earlier request with
 * the key may have run it.
 *
 * @example
 * refuseBeforeClaim(context, { head, refusal });
 */
export function refuseBeforeClaim(
  context: exchange.ExchangeContext,
  { head, refusal }: {
    readonly head: caller.CallerHead;
    readonly refusal: core.Refusal;
  },
): void {
  const hasIdempotencyKey = caller.isCallWithIdempotencyKey(head);
  const marked = hasIdempotencyKey ? core.markRanUnknown(refusal) : refusal;
  refuseRequest(context, { head, refusal: marked });
}

/**
 * Builds the refusal of a request whose key is invalid or does not allow the class.
 *
 * @example
 * buildKeyRefusal("not_allowed");
 */
export function buildKeyRefusal(
  code: "not_authenticated" | "not_allowed",
): core.Refusal {
  return core.buildRefusal({ code, ran: "no", step: "caller.authenticate" });
}

/**
 * Checks that a customer may use a model or service. Returns the refusal if it may not.
 *
 * @example
 * const denied = checkTarget(accepted, "rooms");
 */
export function checkTarget(
  accepted: AuthenticatedRequest,
  target: string,
): core.Refusal | undefined {
  if (accepted.grant.customer.targets.includes(target)) return undefined;
  return core.buildRefusal({
    code: "not_found",
    ran: "no",
    step: "caller.authorize",
    message: `The API key grants access to nothing named "${
      target.slice(0, 80)
    }"; check the model or service name.`,
  });
}

/** Options of {@link buildRequest}. */
export interface RequestOptions {
  readonly requestId: string;
  readonly customer: core.CustomerPart;
  readonly keyId: string;
  readonly part: core.ClassPart;
  readonly target: string;
  readonly fingerprint: string;
}

/**
 * Builds the part of a request that generations and calls have in common.
 *
 * @example
 * const request = { ...buildRequest(options, clock.now()), kind: "call" };
 */
export function buildRequest(options: RequestOptions, now: number) {
  return {
    id: options.requestId,
    customer: options.customer.name,
    keyId: options.keyId,
    className: options.part.name,
    tier: options.part.tier,
    target: options.target,
    pools: options.customer.pools,
    fingerprint: options.fingerprint,
    arrivedAt: now,
    startBy: now + options.part.queueMs,
    queueMs: options.part.queueMs,
    targetMs: options.part.firstTokenMs,
    targetBetweenMs: options.part.betweenTokensMs,
    weight: options.customer.weight,
  };
}
