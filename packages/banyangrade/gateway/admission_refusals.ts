/** Refusals of requests that are not admitted; none of them has run. */
import * as core from "@banyangrade/core";

/** Retry delay given by a host whose data from the store is stale, in ms; short, as another host is likely to be up to date. */
const STALE_STORE_RETRY_MS = 100;
/** Retry delay given by a host that is draining, in ms; short, as the retry uses a new connection, which leads to another host. */
const DRAINING_RETRY_MS = 50;
/** Retry delay given by a host that holds too many bytes, in ms; slow callers need about a second to read what is held for them. */
const PRESSURE_RETRY_MS = 500;

/** Why and for how long a host refuses requests that another host may accept. */
interface TemporaryRefusal {
  readonly code: core.RefusalCode;
  readonly retryMs: number;
  readonly peer?: "store";
  readonly message?: string;
}

/**
 * Builds a refusal that the same request would get again.
 *
 * @example
 * buildRefusal("not_found");
 */
export function buildRefusal(
  code: core.RefusalCode,
  { message }: { readonly message?: string } = {},
): core.Refusal {
  return core.buildRefusal({ code, ran: "no", step: "caller.admit", message });
}

/**
 * Builds the refusal of a host that holds too many bytes to read a body.
 *
 * @example
 * buildPressed().retryAfterMs; // 500
 */
export function buildPressed(): core.Refusal {
  return buildTemporary({
    code: "overloaded",
    retryMs: PRESSURE_RETRY_MS,
    message:
      "This host holds too much data for slow callers; retry, preferably on another host.",
  });
}

/**
 * Builds the refusal of a host that is draining.
 *
 * @example
 * buildDraining().retryAfterMs; // 50
 */
export function buildDraining(): core.Refusal {
  return buildTemporary({ code: "draining", retryMs: DRAINING_RETRY_MS });
}

/**
 * Builds the refusal of a host whose data from the store is stale.
 *
 * @example
 * buildStale("routes").retryAfterMs; // 100
 */
export function buildStale(what: string): core.Refusal {
  return buildTemporary({
    code: "store_unavailable",
    retryMs: STALE_STORE_RETRY_MS,
    peer: "store",
    message:
      `This host could not confirm its ${what} with the store recently; retry, preferably on another host.`,
  });
}

/**
 * Builds the refusal of a request whose handling threw before anything was sent.
 *
 * @example
 * buildInternalError().ran; // "no"
 */
export function buildInternalError(): core.Refusal {
  return buildTemporary({
    code: "internal_error",
    retryMs: DRAINING_RETRY_MS,
  });
}

/**
 * Builds the refusal of a stream that its caller takes up, of which no host knows
 * which software version began it.
 *
 * @example
 * buildOriginUnknown().code; // "origin_unknown"
 */
export function buildOriginUnknown(): core.Refusal {
  return buildTemporary({
    code: "origin_unknown",
    retryMs: STALE_STORE_RETRY_MS,
  });
}

function buildTemporary(
  { retryMs, ...refusal }: TemporaryRefusal,
): core.Refusal {
  return core.buildRefusal({
    ...refusal,
    ran: "no",
    step: "caller.admit",
    waitMs: retryMs,
    minRetryAfterMs: retryMs,
  });
}

/**
 * Builds the refusal of a request of another host, which this host cannot serve
 * any better.
 *
 * @example
 * if (lost) refuse(buildHandover());
 */
export function buildHandover(): core.Refusal {
  return buildRefusal("no_capacity", {
    message: "This host takes no requests of other hosts now.",
  });
}
