/**
 * Failure domains that operators have evacuated: hosts send no work to their
 * backend servers until the evacuation ends.
 *
 * Handles a whole failure domain whose servers all stop taking work within one
 * second while traffic goes on everywhere, and later come back together, cold.
 */

/** The evacuation state of a failure domain, as an operator set it at a store revision. */
export interface EvacuationChange {
  readonly failureDomain: string;
  readonly evacuated: boolean;
  readonly revision: number;
}

/** The newest evacuation change of each failure domain. */
export class Evacuations {
  readonly #changes = new Map<string, EvacuationChange>();
  #revision = 0;

  /**
   * Applies a change. Returns whether it starts or ends an evacuation. A change
   * with an old revision, as from a relay that lags behind, is ignored.
   */
  apply(change: EvacuationChange): boolean {
    const known = this.#changes.get(change.failureDomain);
    if (change.revision <= (known?.revision ?? 0)) return false;
    this.#changes.set(change.failureDomain, change);
    this.#revision = Math.max(this.#revision, change.revision);
    return (known?.evacuated ?? false) !== change.evacuated;
  }

  /**
   * Replaces all evacuations with those of a store revision. Returns the failure
   * domains whose evacuation starts or ends with it.
   */
  setAll(
    evacuated: ReadonlyMap<string, number>,
    revision: number,
  ): readonly string[] {
    if (revision < this.#revision) return [];
    this.#revision = revision;
    const started = [...evacuated].filter(([failureDomain, changedAt]) =>
      this.apply({ failureDomain, evacuated: true, revision: changedAt })
    );
    const ended = this.list().filter((failureDomain) =>
      !evacuated.has(failureDomain)
    );
    ended.forEach((failureDomain) =>
      this.apply({ failureDomain, evacuated: false, revision })
    );
    return [...started.map(([failureDomain]) => failureDomain), ...ended];
  }

  has(failureDomain: string): boolean {
    return this.#changes.get(failureDomain)?.evacuated ?? false;
  }

  /** Lists the failure domains that are evacuated now. */
  list(): string[] {
    return [...this.#changes.values()].filter(({ evacuated }) => evacuated)
      .map(({ failureDomain }) => failureDomain);
  }
}
