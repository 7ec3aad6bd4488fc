/**
 * Failure domains that the operators have emptied: their backend servers get
 * nothing more until the order is withdrawn.
 *
 * Load pattern: all servers of a failure domain stop taking work within one
 * second while traffic goes on everywhere, and come back together, cold.
 */

/** What an operator's entry says of a failure domain, as of a store revision. */
export interface EvacuationChange {
  readonly failureDomain: string;
  readonly evacuated: boolean;
  readonly revision: number;
}

/** The newest order for each failure domain. */
export class Evacuations {
  readonly #orders = new Map<string, EvacuationChange>();
  #revision = 0;

  /**
   * Takes over one change; false if it changes nothing. News of an older
   * revision, as a relay that is behind may bring it, is passed over.
   */
  apply(change: EvacuationChange): boolean {
    const known = this.#orders.get(change.failureDomain);
    if (change.revision <= (known?.revision ?? 0)) return false;
    this.#orders.set(change.failureDomain, change);
    this.#revision = Math.max(this.#revision, change.revision);
    return (known?.evacuated ?? false) !== change.evacuated;
  }

  /** Takes over all orders as of a revision; lists the failure domains for which that changes anything. */
  setAll(
    evacuated: ReadonlyMap<string, number>,
    revision: number,
  ): readonly string[] {
    if (revision < this.#revision) return [];
    this.#revision = revision;
    const begun = [...evacuated].filter(([failureDomain, changedAt]) =>
      this.apply({ failureDomain, evacuated: true, revision: changedAt })
    );
    const ended = this.list().filter((failureDomain) =>
      !evacuated.has(failureDomain)
    );
    ended.forEach((failureDomain) =>
      this.apply({ failureDomain, evacuated: false, revision })
    );
    return [...begun.map(([failureDomain]) => failureDomain), ...ended];
  }

  has(failureDomain: string): boolean {
    return this.#orders.get(failureDomain)?.evacuated ?? false;
  }

  /** The failure domains that are emptied now. */
  list(): string[] {
    return [...this.#orders.values()].filter(({ evacuated }) => evacuated)
      .map(({ failureDomain }) => failureDomain);
  }
}
