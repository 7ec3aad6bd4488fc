/**
 * Poison requests: a request that was in flight as servers crashed is suspect.
 * Marks spread between the hosts of a failure domain as a grow-only set of
 * (fingerprint, server), so every host counts the same servers once.
 */
import * as constants from "./constants.ts";

/** One server lost while it ran a request with this fingerprint. */
export interface PoisonMark {
  readonly fingerprint: string;
  readonly server: string;
  /** Wall-clock ms at which the mark lapses, the same on each host. */
  readonly until: number;
}

/** What a host knows of suspect requests. */
export class Quarantine {
  readonly #marks = new Map<string, Map<string, number>>();

  /** Adds a mark; returns whether it was new. */
  add(mark: PoisonMark): boolean {
    const servers = this.#marks.get(mark.fingerprint) ?? new Map();
    if (servers.has(mark.server)) return false;
    servers.set(mark.server, mark.until);
    this.#marks.set(mark.fingerprint, servers);
    return true;
  }

  /** Counts the servers lost to a fingerprint. */
  count(fingerprint: string): number {
    return this.#marks.get(fingerprint)?.size ?? 0;
  }

  /** Whether requests with this fingerprint are refused. */
  has(fingerprint: string): boolean {
    return this.count(fingerprint) >= constants.POISON_LIMIT;
  }

  /** Lists all marks, for a host that joins. */
  list(): PoisonMark[] {
    return [...this.#marks].flatMap(([fingerprint, servers]) =>
      [...servers].map(([server, until]) => ({ fingerprint, server, until }))
    );
  }

  /** Drops the marks that have lapsed. */
  removeLapsed(wall: number): void {
    [...this.#marks].forEach(([fingerprint, servers]) => {
      [...servers].forEach(([server, until]) => {
        if (until <= wall) servers.delete(server);
      });
      if (servers.size === 0) this.#marks.delete(fingerprint);
    });
  }
}
