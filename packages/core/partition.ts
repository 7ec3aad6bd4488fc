/**
 * Which backend servers each host of a failure domain prefers. All hosts
 * compute the same division from the same lists, without a message. Two hosts
 * that fill different servers first do not overfill one between two reports of
 * its load; a host whose own are full still uses the others'.
 */

/** A server and its slots. */
export interface SlottedServer {
  readonly name: string;
  readonly slots: number;
}

/**
 * Computes how many slots of each server a host may count as its own. The
 * servers' slots stand in one row by name, and each host has an equal piece of
 * it, so that the pieces of all hosts together are all slots. Servers without
 * a slot of this host are left out.
 *
 * @example
 * computeHomeSlots(servers, { hosts: ["a", "b"], host: "a" }); // Map { "s1" => 8 }
 */
export function computeHomeSlots(
  servers: readonly SlottedServer[],
  { hosts, host }: { readonly hosts: readonly string[]; readonly host: string },
): ReadonlyMap<string, number> {
  const place = hosts.toSorted().indexOf(host);
  if (place < 0) return new Map();
  const total = servers.reduce((sum, server) => sum + server.slots, 0);
  const from = Math.round(place * total / hosts.length);
  const to = Math.round((place + 1) * total / hosts.length);
  let begin = 0;
  const home = new Map<string, number>();
  servers.toSorted((a, b) => compareNames(a.name, b.name))
    .forEach((server) => {
      const end = begin + server.slots;
      const own = Math.min(end, to) - Math.max(begin, from);
      if (own > 0) home.set(server.name, own);
      begin = end;
    });
  return home;
}

/** Compares code units: the same order on every host, whatever its locale. */
function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
