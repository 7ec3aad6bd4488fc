/**
 * Poison requests: a request that was in flight as servers were lost is
 * suspect. Marks spread between the hosts of a failure domain as a grow-only
 * set of (fingerprint, server), so every host counts the same servers once.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** A mark and when it lapses. */
export interface PoisonMark extends events.SuspectMark {
  /** Wall-clock ms, the same on each host. */
  readonly until: number;
}

/** Fingerprints and the servers that were lost with them in flight. */
export class SuspectTable {
  readonly #servers = new Map<string, Set<string>>();

  add(mark: events.SuspectMark): void {
    const servers = this.#servers.get(mark.fingerprint) ?? new Set();
    this.#servers.set(mark.fingerprint, servers.add(mark.server));
  }

  clear(fingerprint: string): void {
    this.#servers.delete(fingerprint);
  }

  /** Whether any server was lost with it in flight. */
  isSuspect(fingerprint: string): boolean {
    return this.#servers.has(fingerprint);
  }

  /** Whether it is refused: enough servers were lost to it. */
  isPoison(fingerprint: string): boolean {
    const servers = this.#servers.get(fingerprint);
    return (servers?.size ?? 0) >= constants.POISON_LIMIT;
  }
}

/** Marks of the failure domain until they lapse, as the overlay keeps them. */
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
