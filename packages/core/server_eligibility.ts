/** Conditions under which a server, or the guaranteed share of a class, has room for a request. */
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/** Use of the guaranteed share of a class. */
export interface GuaranteeOptions {
  /** Whether the class has enough share credit to start a request beyond its slot limit. */
  readonly hasCredit: boolean;
  /** Returns the slots of a pool that are guaranteed to the class. */
  readonly guaranteedSlots: (pool: serverState.PoolState) => number;
}

/**
 * Whether a server may be sent a request now. Two suspect requests never run on
 * the same server: if the server is lost, only one request gets a second mark,
 * so other requests are not quarantined together with a poison request.
 *
 * @example
 * servers.filter((server) => isEligible(server, { now, suspect: false }));
 */
export function isEligible(
  server: serverState.ServerState,
  options: { readonly now: number; readonly suspect: boolean },
): boolean {
  return isAlone(server, options) && serverState.hasRoom(server, options.now);
}

/**
 * Whether a request would be the only suspect one on a server, or is none.
 *
 * @example
 * servers.filter((server) => isAlone(server, { suspect: true }));
 */
export function isAlone(
  server: serverState.ServerState,
  { suspect }: { readonly suspect: boolean },
): boolean {
  return !suspect || server.suspects === 0;
}

/**
 * Counts the requests of this host in tiers above `tier` that a server is running.
 *
 * @example
 * countHigherTiers(server, 2);
 */
export function countHigherTiers(
  server: serverState.ServerState,
  tier: number,
): number {
  return server.runningByTier.reduce(
    (sum, count, other) => other < tier ? sum + count : sum,
    0,
  );
}

/**
 * Whether a class with enough share credit runs fewer requests than its
 * guaranteed slots.
 *
 * @example
 * isWithinGuarantee(pool, { request, options });
 */
export function isWithinGuarantee(
  pool: serverState.PoolState,
  { request, options: guarantee }: {
    request: request.Request;
    options: GuaranteeOptions;
  },
): boolean {
  const running = pool.runningByClass.get(request.className) ?? 0;
  return guarantee.hasCredit && !pool.remote &&
    running < guarantee.guaranteedSlots(pool);
}
