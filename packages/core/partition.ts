/**
 * Partitions the slots of a failure domain's backend servers among its hosts, so
 * that each host prefers different servers. All hosts compute the same partition
 * from the same lists, without messages. Hosts that fill different servers first
 * do not overfill a server between two of its load reports. A host whose
 * preferred slots are in use may still use other slots.
 */

/** A backend server and its number of slots. */
export interface SlottedServer {
  readonly name: string;
  readonly slots: number;
}

/**
 * Computes how many slots of each server a host prefers. The slots of all
 * servers form one range, ordered by server name, and each host gets an equal
 * contiguous part, so the parts of all hosts cover every slot exactly once. The
 * result omits servers without a preferred slot of this host.
 *
 * @example
 * computePreferredSlots(servers, { hosts: ["a", "b"], host: "a" }); // Map { "s1" => 8 }
 */
export function computePreferredSlots(
  servers: readonly SlottedServer[],
  { hosts, host }: { readonly hosts: readonly string[]; readonly host: string },
): ReadonlyMap<string, number> {
  const position = hosts.toSorted().indexOf(host);
  if (position < 0) return new Map();
  const total = servers.reduce((sum, server) => sum + server.slots, 0);
  const firstSlot = Math.round(position * total / hosts.length);
  const endSlot = Math.round((position + 1) * total / hosts.length);
  let serverStart = 0;
  const preferred = new Map<string, number>();
  servers.toSorted((a, b) => compareNames(a.name, b.name))
    .forEach((server) => {
      const serverEnd = serverStart + server.slots;
      const overlap = Math.min(serverEnd, endSlot) -
        Math.max(serverStart, firstSlot);
      if (overlap > 0) preferred.set(server.name, overlap);
      serverStart = serverEnd;
    });
  return preferred;
}

/** Compares by code units, so that the order does not depend on the locale of a host. */
function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
