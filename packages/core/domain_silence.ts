/**
 * Which failure domains have fallen silent as a whole.
 *
 * Load pattern: a failure domain is cut off while its servers carry their part
 * of the load. Each of them would be given up by itself, after some requests
 * that wait there in vain; with twenty of them that takes longer than the cut
 * lasts.
 */
import * as constants from "./constants.ts";
import * as serverState from "./server_state.ts";

/** Servers of a failure domain that must be silent before the others are given up too. */
const SILENT_SERVERS = 2;
/** Time within which they must have been found silent, in ms: that of a few attempts. */
const WITHIN_MS = 2_000;

/** A server that gave no sign of life to an attempt. */
export interface SilentServer {
  readonly name: string;
  readonly failureDomain: string;
}

/** Keeps which servers of each failure domain are silent. */
export class DomainSilences {
  readonly #silentSince = new Map<string, Map<string, number>>();

  /**
   * Records that a server kept silent; true if its failure domain has fallen
   * silent with it: further servers did, and none there has answered since.
   */
  recordSilent({ name, failureDomain }: SilentServer, now: number): boolean {
    const known = this.#silentSince.get(failureDomain) ?? [];
    const recent = new Map(
      [...known].filter(([, since]) => now - since <= WITHIN_MS),
    );
    recent.set(name, now);
    this.#silentSince.set(failureDomain, recent);
    return recent.size >= SILENT_SERVERS;
  }

  /** Records that a server of a failure domain answered. */
  recordHeard(failureDomain: string): void {
    this.#silentSince.delete(failureDomain);
  }
}

/**
 * Ejects the servers of a failure domain, but for those of a pool that has no
 * others in use.
 *
 * @example
 * abandonDomain(table.listServers(), { failureDomain: "rosenheim", now });
 */
export function abandonDomain(
  servers: readonly serverState.ServerState[],
  { failureDomain, now }: {
    readonly failureDomain: string;
    readonly now: number;
  },
): void {
  const isInside = ({ info }: serverState.ServerState) =>
    info.failureDomain === failureDomain;
  const outside = new Set(
    servers.filter((server) =>
      !isInside(server) && serverState.isInUse(server, now)
    ).map(({ info }) => info.pool),
  );
  servers.filter((server) => isInside(server) && outside.has(server.info.pool))
    .forEach((server) =>
      serverState.abandonServer(
        server,
        Math.max(server.ejectedUntil, now + constants.EJECT_MS),
      )
    );
}
