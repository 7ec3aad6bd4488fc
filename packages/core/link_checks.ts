/**
 * Keeps the state of this host's links to backend servers up to date; the rules
 * are those of {@link serverLinks}. Only hosts that track their links do so.
 */
import type * as events from "./events.ts";
import type * as hostState from "./host_state.ts";
import type * as serverLinks from "./server_links.ts";

/** Options of {@link recordConnection}. */
export interface ConnectionOutcome {
  readonly server: string;
  readonly reachable: boolean;
}

/**
 * Records the outcome of opening a connection to a server.
 *
 * @example
 * recordConnection(state, { server: "s1@1", reachable: false });
 */
export function recordConnection(
  state: hostState.HostState,
  { server, reachable }: ConnectionOutcome,
): void {
  const { links, now } = state;
  if (links === undefined) return;
  const servers = listLive(state).length;
  const change = links.recordConnection(server, { reachable, servers, now });
  if (change !== undefined) applyChange(state, change);
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
  { server, failure }: {
    readonly server: string;
    readonly failure: events.AttemptFailure;
  },
): void {
  switch (failure) {
    case "not_sent":
      return recordConnection(state, { server, reachable: false });
    case "timeout":
    case "connection_lost":
      return state.links?.recordSilence(server, state.now);
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
 * Tries connections to some servers if several servers send nothing, or if the
 * links are lost.
 *
 * @example
 * tryLinks(state);
 */
export function tryLinks(state: hostState.HostState): void {
  const { links, now, random } = state;
  if (links === undefined) return;
  const servers = links.drawTrials(listLive(state), { random, now });
  if (servers.length === 0) return;
  state.effects.push({
    kind: "try_links",
    servers: servers.flatMap((name) => state.table.get(name)?.info ?? []),
  });
}

function listLive({ table }: hostState.HostState): string[] {
  return table.listServers().filter(({ info }) => info.state === "live")
    .map(({ info }) => info.name);
}

function applyChange(
  state: hostState.HostState,
  change: serverLinks.LinkChange,
): void {
  state.effects.push({ kind: "links_changed", change });
}
