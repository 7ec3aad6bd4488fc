/** A caller's request whose key was accepted, and what follows from it. */
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import * as exchange from "./exchange.ts";

/** What a request's headers grant. */
export interface Checked {
  readonly secret: string;
  readonly grant: core.KeyGrant;
  readonly part: core.ClassPart;
}

/** A caller's request whose key was accepted. */
export interface Accepted extends Checked {
  readonly incoming: caller.CallerRequest;
}

/**
 * Refuses a caller's request.
 *
 * @example
 * refuseHead(context, { head, refusal });
 */
export function refuseHead(
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
 * Refuses what was not looked up among earlier sendings.
 *
 * @example
 * refuseUnclaimed(context, { head, refusal });
 */
export function refuseUnclaimed(
  context: exchange.ExchangeContext,
  { head, refusal }: {
    readonly head: caller.CallerHead;
    readonly refusal: core.Refusal;
  },
): void {
  const keyed = caller.isKeyedCall(head);
  const said = keyed ? core.markRanUnknown(refusal) : refusal;
  refuseHead(context, { head, refusal: said });
}

/**
 * Builds the refusal of a key.
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
 * Checks that a customer may use a model or service; the refusal if not.
 *
 * @example
 * const denied = checkTarget(accepted, "rooms");
 */
export function checkTarget(
  accepted: Accepted,
  target: string,
): core.Refusal | undefined {
  if (accepted.grant.customer.targets.includes(target)) return undefined;
  return core.buildRefusal({
    code: "not_found",
    ran: "no",
    step: "caller.authorize",
    message: `The key grants nothing named "${target.slice(0, 80)}".`,
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
 * Builds what generated answers and calls have in common.
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
    targetMs: options.part.firstTokenMs,
    targetBetweenMs: options.part.betweenTokensMs,
    weight: options.customer.weight,
  };
}
