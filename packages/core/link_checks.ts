/**
 * Keeps the state of this host's links to the backend servers of each pool up to
 * date; the rules are those of {@link serverLinks}. Only hosts that track their
 * links do so.
 */
import type * as events from "./events.ts";
import type * as hostState from "./host_state.ts";
import * as serverLinks from "./server_links.ts";
import * as suspectMarks from "./suspect_marks.ts";

/** Outcome of opening a connection to a server. */
export interface ConnectionOutcome {
  readonly server: string;
  readonly reachable: boolean;
  /** Whether nothing listens at the server's address. @default false */
  readonly refused?: boolean;
}

/**
 * Returns the links to a pool's servers; undefined if this host does not track them.
 *
 * @example
 * getLinks(state, "planner")?.isLost();
 */
export function getLinks(
  { links }: hostState.HostState,
  pool: string,
): serverLinks.ServerLinks | undefined {
  if (links === undefined) return undefined;
  const known = links.get(pool);
  if (known !== undefined) return known;
  const created = new serverLinks.ServerLinks();
  links.set(pool, created);
  return created;
}

/**
 * Returns the share of the requests for a target that this host runs over its own
 * links, in [0, 1].
 *
 * @example
 * getOwnShare(state, "planner"); // 1
 */
export function getOwnShare(
  state: hostState.HostState,
  target: string,
): number {
  const shares = state.table.listPoolsFor(target).map(({ part: { name } }) =>
    getLinks(state, name)?.getOwnShare(state.now) ?? 1
  );
  return shares.length === 0 ? 1 : Math.max(...shares);
}

/**
 * Whether this host has lost its links to the servers of all pools of a target.
 *
 * @example
 * hasLostLinks(state, "planner"); // false
 */
export function hasLostLinks(
  state: hostState.HostState,
  target: string,
): boolean {
  const pools = state.table.listPoolsFor(target);
  return pools.length > 0 &&
    pools.every(({ part: { name } }) =>
      getLinks(state, name)?.isLost() ?? false
    );
}

/**
 * Whether this host has lost its links to the server's pool.
 *
 * @example
 * if (isBehindLostLinks(state, server)) return;
 */
export function isBehindLostLinks(
  state: hostState.HostState,
  server: string,
): boolean {
  const pool = state.table.get(server)?.info.pool;
  return pool !== undefined && (getLinks(state, pool)?.isLost() ?? false);
}

/**
 * Records the outcome of opening a connection to a server.
 *
 * @example
 * recordConnection(state, { server: "s1@1", reachable: false });
 */
export function recordConnection(
  state: hostState.HostState,
  { server, reachable, refused = false }: ConnectionOutcome,
): void {
  const known = state.table.get(server);
  const pool = known?.info.pool;
  const links = pool === undefined ? undefined : getLinks(state, pool);
  if (pool === undefined || links === undefined) return;
  if (known !== undefined && refused) known.refusedAt = state.now;
  if (reachable) state.doubts.recordSign(server, state.now);
  const servers = listLive(state, pool).length;
  const change = links.recordConnection(server, {
    reachable,
    servers,
    now: state.now,
  });
  if (change !== undefined) applyChange(state, { pool, change });
}

/**
 * Records a failed attempt: a server that accepted no connection, or that sent
 * nothing or broke its connection.
 *
 * @example
 * recordFailure(state, { server: "s1@1", failure: "not_sent" });
 */
export function recordFailure(
  state: hostState.HostState,
  { server, failure, refused }: {
    readonly server: string;
    readonly failure: events.AttemptFailure;
    readonly refused?: boolean;
  },
): void {
  switch (failure) {
    case "not_sent":
      return recordConnection(state, { server, reachable: false, refused });
    case "timeout":
    case "connection_lost":
      return recordSilence(state, server);
    case "withheld":
    case "refused":
    case "misdirected":
    case "unread":
    case "server_error":
    case "crossed":
      return;
  }
}

/**
 * Records that a server sent nothing for longer than it should have taken.
 *
 * @example
 * recordSilence(state, "s1@1");
 */
export function recordSilence(
  state: hostState.HostState,
  server: string,
): void {
  const pool = state.table.get(server)?.info.pool;
  if (pool === undefined) return;
  getLinks(state, pool)?.recordSilence(server, state.now);
}

/**
 * Tries connections to some servers of each pool of which several servers send
 * nothing or the links are lost.
 *
 * @example
 * tryLinks(state);
 */
export function tryLinks(state: hostState.HostState): void {
  const { links, now, random } = state;
  if (links === undefined) return;
  // Links to nothing could never be restored.
  [...links].filter(([pool, one]) =>
    one.isLost() && listLive(state, pool).length === 0
  ).forEach(([pool]) => links.delete(pool));
  const servers = [...links].flatMap(([pool, one]) =>
    one.mayTry(now)
      ? one.drawTrials(listLive(state, pool), { random, now })
      : []
  );
  if (servers.length === 0) return;
  state.effects.push({
    kind: "try_links",
    servers: servers.flatMap((name) => state.table.get(name)?.info ?? []),
  });
}

/**
 * Lets the next round try the links of all pools, because another host asks or
 * those of one pool are lost.
 *
 * @example
 * scheduleTrials(state);
 */
export function scheduleTrials(state: hostState.HostState): void {
  state.table.listPools().forEach(({ part: { name } }) =>
    getLinks(state, name)?.scheduleTrial()
  );
}

function listLive({ table }: hostState.HostState, pool: string): string[] {
  return table.listServers()
    .filter(({ info }) => info.state === "live" && info.pool === pool)
    .map(({ info }) => info.name);
}

/** Makes the marks doubtful that were made since this host began to lose its links to a pool. */
function markDoubtful(state: hostState.HostState, pool: string): void {
  const links = getLinks(state, pool)?.getState();
  if (links?.kind !== "lost") return;
  suspectMarks.markDoubtful(state, {
    servers: listLive(state, pool),
    since: links.since,
  });
}

function applyChange(
  state: hostState.HostState,
  { pool, change }: {
    readonly pool: string;
    readonly change: serverLinks.LinkChange;
  },
): void {
  state.effects.push({ kind: "links_changed", pool, change });
  switch (change) {
    case "lost":
      markDoubtful(state, pool);
      state.failureShares.forget(pool, listLive(state, pool));
      return scheduleTrials(state);
    case "restored":
      return state.table.admitReachable(pool, state.now);
  }
}
