/**
 * Quarantine of poison requests. A request that was in flight at a server when
 * that server was lost is a suspect. Hosts replicate suspect marks as a
 * grow-only set of (fingerprint, server) pairs, so every host counts each lost
 * server once.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** A suspect mark with its expiry. */
export interface PoisonMark extends events.SuspectMark {
  /** Expiry as wall-clock time in ms, the same on each host. */
  readonly until: number;
}

interface Suspect {
  /** Servers that were lost while the request was in flight there. */
  readonly servers: Set<string>;
  /** Lost servers that no longer count: the request has since completed, so their loss had another cause. */
  readonly cleared: Set<string>;
  /** Time until which another host may be retrying the request, monotonic ms. */
  heldUntil: number;
}

/** Maximum number of tracked fingerprints; the oldest are evicted first. */
const MAX_SUSPECTS = 10_000;

/** Options of {@link SuspectTable}. */
export interface SuspectOptions {
  /** Number of servers lost to a request at which it no longer runs beside other suspects. @default 1 */
  readonly isolateAfter?: number;
  /** Number of servers lost to a request at which it is refused. @default constants.POISON_LIMIT */
  readonly poisonLimit?: number;
  /** Whether copies of a request are refused while another host may be retrying it. @default true */
  readonly holdsRemote?: boolean;
}

/** Maps request fingerprints to the servers that were lost while these requests were in flight. */
export class SuspectTable {
  readonly #suspects = new Map<string, Suspect>();
  readonly #isolateAfter: number;
  readonly #poisonLimit: number;
  readonly #holdsRemote: boolean;

  constructor(options: SuspectOptions = {}) {
    this.#isolateAfter = options.isolateAfter ?? 1;
    this.#poisonLimit = options.poisonLimit ?? constants.POISON_LIMIT;
    this.#holdsRemote = options.holdsRemote ?? true;
  }

  /** Adds a mark that this host made. */
  add(mark: events.SuspectMark): void {
    const suspect = this.#get(mark.fingerprint);
    suspect.cleared.delete(mark.server);
    suspect.servers.add(mark.server);
  }

  /** Removes a mark of this host whose server has not ended. */
  remove({ fingerprint, server }: events.SuspectMark): void {
    this.#suspects.get(fingerprint)?.servers.delete(server);
  }

  /**
   * Adds a mark that another host made. That host may be retrying the request on
   * a second server now; a copy that ran here at the same time could crash a third.
   * Returns whether it is new.
   */
  addRemote(mark: events.SuspectMark, now: number): boolean {
    const suspect = this.#get(mark.fingerprint);
    const { servers, cleared } = suspect;
    if (servers.has(mark.server) || cleared.has(mark.server)) return false;
    suspect.servers.add(mark.server);
    if (!this.#holdsRemote) return true;
    suspect.heldUntil = now + constants.SUSPECT_HOLD_MS;
    return true;
  }

  /** Counts the fingerprints that are refused. */
  countPoison(): number {
    return [...this.#suspects.values()]
      .filter(({ servers }) => servers.size >= this.#poisonLimit).length;
  }

  #get(fingerprint: string): Suspect {
    const known = this.#suspects.get(fingerprint);
    if (known !== undefined) return known;
    this.#removeOldest();
    const suspect = {
      servers: new Set<string>(),
      cleared: new Set<string>(),
      heldUntil: 0,
    };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  /**
   * Records that the request completed. Other hosts keep sending its marks for
   * some time. If these marks counted again, later requests with the same
   * fingerprint, such as lookups, would be refused for unrelated server losses.
   */
  clear(fingerprint: string): void {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return;
    suspect.servers.forEach((server) => suspect.cleared.add(server));
    suspect.servers.clear();
    suspect.heldUntil = 0;
  }

  #removeOldest(): void {
    if (this.#suspects.size < MAX_SUSPECTS) return;
    const [oldest] = this.#suspects.keys();
    this.#suspects.delete(oldest);
  }

  /** Whether enough servers were lost to the request that it must not run beside other suspects. */
  isSuspect(fingerprint: string): boolean {
    const servers = this.#suspects.get(fingerprint)?.servers;
    return (servers?.size ?? 0) >= this.#isolateAfter;
  }

  /** Returns how much longer copies of the request are refused because another host may be running it, in ms. */
  getHoldMs(fingerprint: string, now: number): number {
    const until = this.#suspects.get(fingerprint)?.heldUntil ?? 0;
    return Math.max(0, until - now);
  }

  /** Whether enough servers were lost to the request that it must be refused. */
  isPoison(fingerprint: string): boolean {
    const servers = this.#suspects.get(fingerprint)?.servers;
    return (servers?.size ?? 0) >= this.#poisonLimit;
  }
}

/** The marks of all hosts until they expire, as the overlay keeps them. */
export class MarkSet {
  readonly #marks = new Map<string, PoisonMark>();

  /** Adds a mark; returns whether it is new. */
  add(mark: PoisonMark): boolean {
    const id = `${mark.fingerprint}/${mark.server}`;
    if (this.#marks.has(id)) return false;
    this.#marks.set(id, mark);
    return true;
  }

  /** Removes a mark that may be wrong. */
  remove({ fingerprint, server }: events.SuspectMark): void {
    this.#marks.delete(`${fingerprint}/${server}`);
  }

  list(): PoisonMark[] {
    return [...this.#marks.values()];
  }

  /** Removes the expired marks; returns the fingerprints that have no mark left. */
  removeExpired(wall: number): string[] {
    const expired = [...this.#marks].filter(([, mark]) => mark.until <= wall);
    expired.forEach(([id]) => this.#marks.delete(id));
    const remaining = new Set(this.list().map((mark) => mark.fingerprint));
    return expired.map(([, mark]) => mark.fingerprint)
      .filter((fingerprint) => !remaining.has(fingerprint));
  }
}
