/** Requests and refusals as the dispatcher sees them. */

/** Whether a backend server has run a request. */
export type Ran = "no" | "yes" | "unknown";

/** Why a request was refused. */
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
  | "suspect_request"
  | "origin_unknown"
  | "store_unavailable"
  | "backend_failed"
  | "internal_error"
  | "cancelled";

/** Why a failed attempt is not retried. */
export type GiveUpReason =
  /** It may have run, and must not run twice. */
  | "not_repeatable"
  /** A part of the response was sent, and no server can go on with it. */
  | "not_resumable"
  | "attempts_used"
  | "budget_spent"
  /** No server that may run it is left. */
  | "no_server"
  /** It has a part that crashes servers. */
  | "blamed";

/** The error that the caller of a refused request gets. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly message: string;
  readonly ran: Ran;
  /** The step at which it was refused. */
  readonly step: string;
  /** The peer involved: the name of a backend server or host, or the store. */
  readonly peer: string;
  /** Why no further attempt was made; undefined if none had failed. */
  readonly notRetried?: GiveUpReason;
  /** Time after which to retry, in ms; undefined if a retry is not expected to succeed. */
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
  /** Name of the model or plain service. */
  readonly target: string;
  readonly kind: "generate" | "call";
  /** Pools that may serve it; empty means every pool with the target. */
  readonly pools: readonly string[];
  readonly promptTokens: number;
  /** Maximum number of tokens to generate; 0 for a call. */
  readonly maxTokens: number;
  /** Digest of the start of its prompt, for cache affinity. */
  readonly prefix: string;
  /** Digest of customer, target and body, by which a repeated request is recognised. */
  readonly fingerprint: string;
  /** Parts of its prompt that other requests may share. @default none */
  readonly parts?: readonly string[];
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** Time of arrival, monotonic ms. */
  readonly arrivedAt: number;
  /** Deadline for its start, monotonic ms. */
  readonly startBy: number;
  /** Time for which it may be queued, in ms; shorter than the time from its arrival to `startBy` if it waited for its admission. @default startBy - arrivedAt */
  readonly queueMs?: number;
  /** Latency target of its class for the first token, or for the answer of a call, in ms. */
  readonly targetMs: number;
  /** Latency target of its class for the time between tokens, in ms. */
  readonly targetBetweenMs: number;
  /** Weight of its customer in fair queueing. */
  readonly weight: number;
  /** Maximum number of attempts that are sent to a server. @default constants.MAX_ATTEMPTS */
  readonly maxAttempts?: number;
  /** Whether another server can continue a response that has begun, after the caller's last event. @default false */
  readonly resumable?: boolean;
  /** Failure domains in which it may run. @default any */
  readonly allowedDomains?: readonly string[];
  /** Software version at which it may run, because that version began its stream. @default any */
  readonly software?: string;
  /** Whether a host handed it to another one. It is not handed over again, and its first attempt is counted already. @default false */
  readonly handedOver?: boolean;
}

/**
 * Returns the key of a request's lane. Requests in one lane have the same class and
 * compete for the same backend servers.
 *
 * @example
 * getLaneKey(request); // "counter|1|status|"
 */
export function getLaneKey(request: Request): string {
  const { className, tier, target, pools, allowedDomains, software } = request;
  const lane = `${className}|${tier}|${target}|${pools.join(",")}`;
  const domains = allowedDomains === undefined
    ? ""
    : `|${allowedDomains.join(",")}`;
  const version = software === undefined ? "" : `|software ${software}`;
  return `${lane}${domains}${version}`;
}
