/** Whether a server, or what a class may use of a pool, has room for a request now. */
import type * as request from "./request.ts";
import * as serverState from "./server_state.ts";

/** What a class that has its turn may take. */
export interface TurnOptions {
  /** Its class has earned a turn by its guaranteed share, so limits do not hold it. */
  readonly turn: boolean;
  /** Slots of a pool that its class may take in its turn. */
  readonly guaranteedSlots: (pool: serverState.PoolState) => number;
}

/**
 * Whether a server may take the request now. Two suspects never share a server:
 * if it is lost, exactly one request collects a second mark, so a poison
 * request's neighbours are not quarantined with it.
 *
 * @example
 * servers.filter((server) => isFit(server, { now, suspect: false }));
 */
export function isFit(
  server: serverState.ServerState,
  options: { readonly now: number; readonly suspect: boolean },
): boolean {
  const alone = !options.suspect || server.suspects === 0;
  return alone && serverState.hasRoom(server, options.now);
}

/**
 * Counts this host's requests of higher tiers that a server is running.
 *
 * @example
 * countHigher(server, 2);
 */
export function countHigher(
  server: serverState.ServerState,
  tier: number,
): number {
  return server.runningByTier.reduce(
    (sum, count, other) => other < tier ? sum + count : sum,
    0,
  );
}

/**
 * Whether a class that has its turn still has room in what it is guaranteed.
 *
 * @example
 * isWithinTurn(pool, { wanted, options });
 */
export function isWithinTurn(
  pool: serverState.PoolState,
  { wanted, options }: { wanted: request.Request; options: TurnOptions },
): boolean {
  const running = pool.runningByClass.get(wanted.className) ?? 0;
  return options.turn && !pool.foreign &&
    running < options.guaranteedSlots(pool);
}
