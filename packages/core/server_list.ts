/**
 * The list of backend servers as they register themselves in the store. An
 * entry that goes says that its server leaves, but for one case: while the
 * store is away entries lapse although their servers live, and come back a
 * moment after the store does. Such servers stay in use until that moment is
 * over, or an outage of the store would become one of every service.
 */

/** A backend server as it describes itself. */
export interface ListedServer {
  /** Key of its entry. */
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Start of this incarnation, Unix ms; a new one knows nothing of the old. */
  readonly bornAt: number;
  /** Whether it may be reclaimed at short notice. */
  readonly spot: boolean;
  /** How much longer it is cold as of its entry, in ms; undefined if that does not say. */
  readonly coldMs: number | undefined;
  /** Revision of its entry. */
  readonly revision: number;
}

/** Time after the store's return in which lapsed entries come back, in ms; the platform promises about 2 s. */
export const RETURN_MS = 2_200;
/**
 * Part of the time within which a leaving server must get no more work for
 * which one whose entry is missing stays in use beside others. A host that was
 * cut off from the store cannot tell a lapsed entry from one of a server that
 * left while the others knew; the rest covers the way of the news and of the
 * request.
 */
const HOLD_SHARE = 0.75;
/** Time after a failed call for which the store does not count as steady, in ms. */
export const UNSTEADY_MS = 3_000;

interface Held {
  readonly server: ListedServer;
  /** Set while its entry is missing: monotonic ms since when. */
  missingSince?: number;
}

/** What the host takes for the servers that live. */
export class ServerList {
  readonly #held = new Map<string, Held>();
  readonly #holdMs: number;
  #lastFailure = Number.NEGATIVE_INFINITY;

  /** Takes the time within which a leaving server must get no more work, in ms. */
  constructor(options: { readonly leaveMs: number }) {
    this.#holdMs = Math.min(RETURN_MS, HOLD_SHARE * options.leaveMs);
  }

  /** Records that the store did not answer. */
  recordOutage(now: number): void {
    this.#lastFailure = now;
  }

  /** Takes over an entry that was written. */
  put(server: ListedServer): void {
    this.#held.set(server.id, { server });
  }

  /** Takes over that an entry went. */
  remove(id: string, now: number): void {
    const held = this.#held.get(id);
    if (held === undefined) return;
    // A server that said that it leaves has left, whatever the store did.
    const mayReturn = now - this.#lastFailure < UNSTEADY_MS &&
      held.server.state === "ready";
    if (!mayReturn) this.#held.delete(id);
    else held.missingSince ??= now;
  }

  /** Takes over the whole list. */
  setAll(servers: readonly ListedServer[], now: number): void {
    const listed = new Set(servers.map((server) => server.id));
    [...this.#held.keys()].filter((id) => !listed.has(id))
      .forEach((id) => this.remove(id, now));
    servers.forEach((server) => this.put(server));
  }

  /** Drops the servers whose entries did not come back; true if there were any. */
  expire(now: number): boolean {
    const listed = new Set(
      [...this.#held.values()].filter((held) => held.missingSince === undefined)
        .map((held) => held.server.service),
    );
    const gone = [...this.#held].filter(([, { missingSince, server }]) => {
      if (missingSince === undefined) return false;
      // Where every entry of a service lapsed, the store was away: its servers
      // are all there is until they are back.
      const holdMs = listed.has(server.service) ? this.#holdMs : RETURN_MS;
      return now - missingSince >= holdMs;
    });
    gone.forEach(([id]) => this.#held.delete(id));
    return gone.length > 0;
  }

  /** Whether an entry is missing whose server is still in use. */
  hasMissing(): boolean {
    return [...this.#held.values()]
      .some(({ missingSince }) => missingSince !== undefined);
  }

  list(): ListedServer[] {
    return [...this.#held.values()].map((held) => held.server);
  }
}
