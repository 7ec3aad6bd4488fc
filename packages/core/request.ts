/** Requests and refusals as the decisions see them. */

/** Whether any backend server may have run a request. */
export type Ran = "no" | "yes" | "unknown";

/** Why a request got no answer. */
export type RefusalCode =
  | "bad_request"
  | "not_authenticated"
  | "not_allowed"
  | "not_found"
  | "too_large"
  | "overloaded"
  | "deadline_exceeded"
  | "no_capacity"
  | "draining"
  | "key_withdrawn"
  | "conflict"
  | "poison_request"
  | "store_unavailable"
  | "backend_failed"
  | "cancelled";

/** The typed answer to a request that is given up. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly ran: Ran;
  /** The step at which it was given up. */
  readonly step: string;
  /** The peer involved: a backend server's name, a host's or the store. */
  readonly peer: string;
  /** When to come back, in ms, where coming back makes sense. */
  readonly retryAfterMs?: number;
}

/** A request that passed the checks on its key, class and target. */
export interface Request {
  readonly id: string;
  readonly customer: string;
  readonly keyId: string;
  readonly className: string;
  /** Priority tier of its class; 1 is the highest. */
  readonly tier: number;
  /** Model or plain service. */
  readonly target: string;
  readonly kind: "generate" | "call";
  /** Pools that may serve it; empty means every pool with the target. */
  readonly pools: readonly string[];
  readonly promptTokens: number;
  /** Most tokens it may generate; 0 for a call. */
  readonly maxTokens: number;
  /** Digest of the start of its prompt, for cache affinity. */
  readonly prefix: string;
  /** Digest of customer, target and body, to recognise it when sent again. */
  readonly fingerprint: string;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Monotonic ms. */
  readonly arrivedAt: number;
  /** Latest moment at which it is worth starting, monotonic ms. */
  readonly startBy: number;
  /** Its class's target for the first token or the answer, in ms. */
  readonly targetMs: number;
  /** Its class's target for the time between tokens, in ms. */
  readonly targetBetweenMs: number;
  /** Weight of its customer's fair share. */
  readonly weight: number;
  /** Most servers that it is sent to. @default constants.MAX_ATTEMPTS */
  readonly maxAttempts?: number;
  /** Failure domains in which it may run. @default any */
  readonly homes?: readonly string[];
}

/**
 * Returns the lane of a request: requests in one lane compete for the same
 * backend servers with the same class.
 *
 * @example
 * getLaneKey(request); // "counter|1|status|"
 */
export function getLaneKey(request: Request): string {
  const { className, tier, target, pools, homes } = request;
  const lane = `${className}|${tier}|${target}|${pools.join(",")}`;
  return homes === undefined ? lane : `${lane}|${homes.join(",")}`;
}
