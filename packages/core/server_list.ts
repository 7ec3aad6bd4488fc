/**
 * The backend servers, as they register themselves in the store. A removed
 * entry normally means that its server has left. During a store outage, however,
 * entries expire although their servers are alive; the servers register again
 * shortly after the store has recovered. Such servers stay in use until then:
 * otherwise a store outage would become an outage of every service.
 */

/** A backend server, as its entry in the store describes it. */
export interface ListedServer {
  /** Key of the server's entry in the store. */
  readonly id: string;
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Version of its software; undefined if the entry does not name one. */
  readonly software?: string;
  /** Start time of this incarnation, Unix ms; a new incarnation has no state of the previous one. */
  readonly startedAt: number;
  /** Whether the server is spot capacity, which may be reclaimed at short notice. */
  readonly spot: boolean;
  /** Remaining cold time when the entry was written, in ms; undefined if the entry does not contain it. */
  readonly coldMs: number | undefined;
  /** Revision of the entry. */
  readonly revision: number;
}

/** Time after the store's recovery within which servers register again, in ms; the platform guarantees about 2 s. */
export const REREGISTRATION_MS = 2_200;
/**
 * Time for which a server with a missing entry stays in use while its service
 * has other servers, as a share of the time after which a leaving server must
 * get no more work. A host that was disconnected from the store cannot
 * distinguish an expired entry from the entry of a server that left, although
 * the other hosts already know that it left. The rest of the time covers the
 * propagation of the removal and the delivery of a request.
 */
const HOLD_SHARE = 0.75;
/** Time after a failed call for which the store counts as unstable, in ms. */
export const STORE_UNSTABLE_MS = 3_000;
/**
 * Share of that time after which a missing entry is held no longer while its
 * service has other servers. The host that failed may have been cut off from a
 * store that was sound, and has to know by the end of that time who has left.
 */
const HOLD_UNTIL_SHARE = 0.9;

interface KnownServer {
  readonly server: ListedServer;
  /** Time since which the server's entry is missing, monotonic ms; undefined while the entry exists. */
  missingSince?: number;
}

/** The servers that the host considers alive. */
export class ServerList {
  readonly #known = new Map<string, KnownServer>();
  readonly #holdMs: number;
  #lastFailure = Number.NEGATIVE_INFINITY;

  /** Creates an empty list. `leaveMs` is the time after which a leaving server must get no more work, in ms. */
  constructor(options: { readonly leaveMs: number }) {
    this.#holdMs = Math.min(REREGISTRATION_MS, HOLD_SHARE * options.leaveMs);
  }

  /** Records that the store did not respond. */
  recordOutage(now: number): void {
    this.#lastFailure = now;
  }

  /** Adds or updates the server of an entry that was written. */
  put(server: ListedServer): void {
    this.#known.set(server.id, { server });
  }

  /**
   * Handles the removal of an entry. While the store is unstable, a ready server
   * stays in use until {@link ServerList.expire} drops it.
   */
  remove(id: string, now: number): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    // A server that announced its departure has left, even while the store is
    // unstable.
    const mayReturn = now - this.#lastFailure < STORE_UNSTABLE_MS &&
      known.server.state === "ready";
    if (!mayReturn) this.#known.delete(id);
    else known.missingSince ??= now;
  }

  /** Replaces the list with the entries of a full read. */
  setAll(servers: readonly ListedServer[], now: number): void {
    const listed = new Set(servers.map((server) => server.id));
    [...this.#known.keys()].filter((id) => !listed.has(id))
      .forEach((id) => this.remove(id, now));
    servers.forEach((server) => this.put(server));
  }

  /** Drops the servers whose entries did not come back in time; returns whether there were any. */
  expire(now: number): boolean {
    const listed = new Set(
      [...this.#known.values()].filter((known) =>
        known.missingSince === undefined
      )
        .map((known) => known.server.service),
    );
    const gone = [...this.#known].filter(([, { missingSince, server }]) => {
      if (missingSince === undefined) return false;
      // All entries of a service are missing only after a store outage. Its
      // servers stay in use for the full time, as the service has no others.
      if (!listed.has(server.service)) {
        return now - missingSince >= REREGISTRATION_MS;
      }
      return now - missingSince >= this.#holdMs ||
        now - this.#lastFailure >= HOLD_UNTIL_SHARE * STORE_UNSTABLE_MS;
    });
    gone.forEach(([id]) => this.#known.delete(id));
    return gone.length > 0;
  }

  /** Whether a server is still in use although its entry is missing. */
  hasMissing(): boolean {
    return [...this.#known.values()]
      .some(({ missingSince }) => missingSince !== undefined);
  }

  list(): ListedServer[] {
    return [...this.#known.values()].map((known) => known.server);
  }
}
