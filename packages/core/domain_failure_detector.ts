/**
 * Detects failure domains that have become unreachable as a whole.
 *
 * Handles a failure of the network to a failure domain while its servers carry
 * their share of the load. Without this detection, each server would be ejected
 * separately, after some requests had timed out at it; with twenty servers this
 * would take longer than the network failure lasts.
 */
import * as constants from "./constants.ts";
import * as serverState from "./server_state.ts";

/** Number of unresponsive servers in a failure domain at which all its servers are ejected. */
const MIN_UNRESPONSIVE_SERVERS = 2;
/** Time after an ejection for which a failure domain counts as untried until it answers, in ms; long enough for several trials. */
const UNTRIED_MS = 3 * constants.EJECT_MS;
/** Duration of the ejection after a trial without an answer, in ms: shorter than the first, so that a domain that can be reached again is used soon. */
const TRIAL_EJECT_MS = 1_500;
/** Time window in which these servers must have failed to respond, in ms: the duration of a few attempts. */
const DETECTION_WINDOW_MS = 2_000;

/** A server that did not respond to an attempt. */
export interface UnresponsiveServer {
  readonly name: string;
  readonly failureDomain: string;
}

/** Tracks the unresponsive servers of each failure domain. */
export class DomainFailureDetector {
  readonly #unresponsiveSince = new Map<string, Map<string, number>>();
  readonly #ejectedAt = new Map<string, number>();

  /**
   * Records that a server did not respond. Returns true if its failure domain
   * counts as unreachable: enough of its servers did not respond within the time
   * window, and no server there has answered since.
   */
  recordUnresponsive(
    { name, failureDomain }: UnresponsiveServer,
    now: number,
  ): boolean {
    const known = this.#unresponsiveSince.get(failureDomain) ?? [];
    const recent = new Map(
      [...known].filter(([, since]) => now - since <= DETECTION_WINDOW_MS),
    );
    recent.set(name, now);
    this.#unresponsiveSince.set(failureDomain, recent);
    return recent.size >= MIN_UNRESPONSIVE_SERVERS;
  }

  /** Records that a server of a failure domain answered. */
  recordResponse(failureDomain: string): void {
    this.#unresponsiveSince.delete(failureDomain);
    this.#ejectedAt.delete(failureDomain);
  }

  /** Records that the servers of a failure domain were ejected. */
  recordEjection(failureDomain: string, now: number): void {
    this.#ejectedAt.set(failureDomain, now);
  }

  /** Returns when a failure domain was last ejected, if no server there has answered since. */
  getEjectedAt(failureDomain: string | undefined): number | undefined {
    return failureDomain === undefined
      ? undefined
      : this.#ejectedAt.get(failureDomain);
  }
}

/**
 * Ejects the servers of a failure domain. Servers of a pool that has no server
 * in use in another failure domain stay in use.
 *
 * @example
 * ejectDomain(table.listServers(), { failureDomain: "rosenheim", now });
 */
export function ejectDomain(
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
    .forEach((server) => {
      const ms = serverState.isUntried(server, now)
        ? TRIAL_EJECT_MS
        : constants.EJECT_MS;
      serverState.ejectUnreachableServer(
        server,
        Math.max(server.ejectedUntil, now + ms),
      );
      server.untriedUntil = now + UNTRIED_MS;
    });
}
