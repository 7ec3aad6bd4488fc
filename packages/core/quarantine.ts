/**
 * Poison requests: a request that was in flight as servers were lost is
 * suspect. Marks spread between all hosts as a grow-only set of (fingerprint,
 * server), so every host counts the same servers once.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** A mark and when it lapses. */
export interface PoisonMark extends events.SuspectMark {
  /** Wall-clock ms, the same on each host. */
  readonly until: number;
}

interface Suspicion {
  readonly servers: Set<string>;
  /** Servers that were lost before it was answered whole; their loss had another cause. */
  readonly absolved: Set<string>;
  /** Until when another host is taken to be trying it again, monotonic ms. */
  heldUntil: number;
}

/** Fingerprints that are remembered; the oldest give way. */
const MAX_SUSPICIONS = 10_000;

/** Options of {@link SuspectTable}. */
export interface SuspectOptions {
  /** Servers lost to a request before it runs apart from others like it. @default 1 */
  readonly isolateAfter?: number;
  /** Servers lost to a request before it is refused. @default constants.POISON_LIMIT */
  readonly poisonLimit?: number;
  /** Whether copies wait while another host may be trying the request. @default true */
  readonly holdsForeign?: boolean;
}

/** Fingerprints and the servers that were lost with them in flight. */
export class SuspectTable {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #isolateAfter: number;
  readonly #poisonLimit: number;
  readonly #holdsForeign: boolean;

  constructor(options: SuspectOptions = {}) {
    this.#isolateAfter = options.isolateAfter ?? 1;
    this.#poisonLimit = options.poisonLimit ?? constants.POISON_LIMIT;
    this.#holdsForeign = options.holdsForeign ?? true;
  }

  /** Adds a mark that this host made. */
  add(mark: events.SuspectMark): void {
    const suspicion = this.#get(mark.fingerprint);
    suspicion.absolved.delete(mark.server);
    suspicion.servers.add(mark.server);
  }

  /**
   * Adds a mark that another host made. That host may be trying the request on
   * a second server just now; a copy that ran here beside it would take a third.
   */
  addForeign(mark: events.SuspectMark, now: number): void {
    const suspicion = this.#get(mark.fingerprint);
    const { servers, absolved } = suspicion;
    if (servers.has(mark.server) || absolved.has(mark.server)) return;
    suspicion.servers.add(mark.server);
    if (!this.#holdsForeign) return;
    suspicion.heldUntil = now + constants.SUSPECT_HOLD_MS;
  }

  #get(fingerprint: string): Suspicion {
    const known = this.#suspicions.get(fingerprint);
    if (known !== undefined) return known;
    this.#forgetOldest();
    const suspicion = {
      servers: new Set<string>(),
      absolved: new Set<string>(),
      heldUntil: 0,
    };
    this.#suspicions.set(fingerprint, suspicion);
    return suspicion;
  }

  /**
   * Records that it was answered whole. Other hosts go on telling of its marks
   * for a while, and requests that are alike, such as lookups, would be refused
   * for losses that had nothing to do with them.
   */
  clear(fingerprint: string): void {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion === undefined) return;
    suspicion.servers.forEach((server) => suspicion.absolved.add(server));
    suspicion.servers.clear();
    suspicion.heldUntil = 0;
  }

  #forgetOldest(): void {
    if (this.#suspicions.size < MAX_SUSPICIONS) return;
    const [oldest] = this.#suspicions.keys();
    this.#suspicions.delete(oldest);
  }

  /** Whether enough servers were lost with it in flight to run it apart. */
  isSuspect(fingerprint: string): boolean {
    const servers = this.#suspicions.get(fingerprint)?.servers;
    return (servers?.size ?? 0) >= this.#isolateAfter;
  }

  /** How long copies of it are refused because another host may be running it, in ms. */
  getHold(fingerprint: string, now: number): number {
    const until = this.#suspicions.get(fingerprint)?.heldUntil ?? 0;
    return Math.max(0, until - now);
  }

  /** Whether it is refused: enough servers were lost to it. */
  isPoison(fingerprint: string): boolean {
    const servers = this.#suspicions.get(fingerprint)?.servers;
    return (servers?.size ?? 0) >= this.#poisonLimit;
  }
}

/** Marks of all hosts until they lapse, as the overlay keeps them. */
export class MarkSet {
  readonly #marks = new Map<string, PoisonMark>();

  /** Adds a mark; returns whether it was new. */
  add(mark: PoisonMark): boolean {
    const id = `${mark.fingerprint}/${mark.server}`;
    if (this.#marks.has(id)) return false;
    this.#marks.set(id, mark);
    return true;
  }

  list(): PoisonMark[] {
    return [...this.#marks.values()];
  }

  /** Drops the marks that have lapsed; returns fingerprints that have none left. */
  removeLapsed(wall: number): string[] {
    const lapsed = [...this.#marks].filter(([, mark]) => mark.until <= wall);
    lapsed.forEach(([id]) => this.#marks.delete(id));
    const left = new Set(this.list().map((mark) => mark.fingerprint));
    return lapsed.map(([, mark]) => mark.fingerprint)
      .filter((fingerprint) => !left.has(fingerprint));
  }
}
