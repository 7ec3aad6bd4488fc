/** Room of this host at the brittle servers whose sender it is. */
import type * as hostState from "./host_state.ts";
import * as serverState from "./server_state.ts";

/** What this host can do for a service as a sender. */
export interface SenderRoom {
  /** Slots of the servers whose sender it is. */
  readonly slots: number;
  /** Requests that it can start there now. */
  readonly free: number;
}

/**
 * Measures the room of this host at the brittle servers of a service; undefined if
 * the service has no senders.
 *
 * @example
 * const { free } = measureRoom(state, "rooms") ?? NO_ROOM;
 */
export function measureRoom(
  { table, brittle, now }: hostState.HostState,
  service: string,
): SenderRoom | undefined {
  if (!brittle.hasSenders(service, now)) return undefined;
  const sentTo = new Set(brittle.listSentTo(now));
  const servers = table.listServers().filter((server) =>
    server.info.pool === service && serverState.isInUse(server, now) &&
    sentTo.has(server.info.name)
  );
  return {
    slots: servers.reduce(
      (sum, server) => sum + serverState.getSlots(server),
      0,
    ),
    free: servers.reduce(
      (sum, server) =>
        sum + brittle.countFree(serverState.toBrittleTarget(server), {
          running: server.running,
          slots: serverState.getSlots(server),
          now,
        }),
      0,
    ),
  };
}

/**
 * Counts the requests that this host can start at once as a sender, less those
 * that wait here, by service.
 *
 * @example
 * const room = countRooms(state, now);
 */
export function countRooms(
  state: hostState.HostState,
  now: number,
): Record<string, number> {
  const { brittle, table, queue } = state;
  const sentTo = brittle.listSentTo(now);
  const services = new Set(
    sentTo.flatMap((server) => table.get(server)?.info.pool ?? []),
  );
  return Object.fromEntries([...services].map((service) => {
    const waiting = queue.listNonEmptyLanesFor(
      table.getPool(service)?.part.targets ?? [],
    ).reduce((sum, { size }) => sum + size, 0);
    return [service, (measureRoom(state, service)?.free ?? 0) - waiting];
  }));
}
