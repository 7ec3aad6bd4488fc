/**
 * A copy of one prefix of the store, from which a relay serves other hosts. It
 * records the time at which the copy was last known to be current and the entries
 * removed since the last full read, so that followers also learn of removals.
 */
import type * as client from "./client.ts";
import type * as prefixWatch from "./prefix_watch.ts";

/** Maximum number of removals that are kept; a follower that needs older ones must read in full. */
const MAX_REMOVALS = 1_000;

interface Removal {
  readonly key: string;
  readonly modRevision: number;
}

/** A copy of one prefix of the store. */
export class PrefixCache {
  readonly #entries = new Map<string, client.StoreEntry>();
  #removals: readonly Removal[] = [];
  /** Revision after which all removals are known. */
  #removalsKnownAfter = Number.POSITIVE_INFINITY;
  #revision = 0;
  #currentAsOf = Number.NEGATIVE_INFINITY;

  /** Time at which the newest read that proves the copy current was sent; -Infinity before the first read. */
  get currentAsOf(): number {
    return this.#currentAsOf;
  }

  /** Replaces the copy with the result of a full read that was sent at `sentAt`. */
  setAll(snapshot: prefixWatch.PrefixSnapshot, sentAt: number): void {
    this.#entries.clear();
    snapshot.entries.forEach((entry) => this.#entries.set(entry.key, entry));
    this.#removals = [];
    this.#removalsKnownAfter = snapshot.revision;
    this.#revision = snapshot.revision;
    this.#currentAsOf = Math.max(this.#currentAsOf, sentAt);
  }

  /** Applies the changes returned by a poll that was sent at `sentAt`. */
  apply(changes: prefixWatch.Changes, sentAt: number): void {
    changes.changes.forEach((change) => this.#applyChange(change));
    if (changes.changes.length > 0) {
      this.#revision = Math.max(this.#revision, changes.revision);
    }
    this.#currentAsOf = Math.max(this.#currentAsOf, sentAt);
  }

  /** Returns all entries. */
  read(): prefixWatch.PrefixSnapshot {
    return { entries: [...this.#entries.values()], revision: this.#revision };
  }

  /** Returns the changes after a revision; undefined if removals since then may have been discarded. */
  listSince(after: number): prefixWatch.Changes | undefined {
    if (after < this.#removalsKnownAfter) return undefined;
    const puts = [...this.#entries.values()]
      .filter((entry) => entry.modRevision > after)
      .map((entry): prefixWatch.Change => ({ kind: "put", entry }));
    const removals = this.#removals
      // A key that was written again after its removal exists.
      .filter(({ key, modRevision }) =>
        modRevision > after && !this.#entries.has(key)
      )
      .map((removal): prefixWatch.Change => ({ kind: "deleted", ...removal }));
    return { changes: [...puts, ...removals], revision: this.#revision };
  }

  /** Applies a change unless the entry, for example from a later full read, is already newer. */
  #applyChange(change: prefixWatch.Change): void {
    switch (change.kind) {
      case "put": {
        const known = this.#entries.get(change.entry.key);
        const isNewer = (known?.modRevision ?? 0) <= change.entry.modRevision;
        if (isNewer) this.#entries.set(change.entry.key, change.entry);
        return;
      }
      case "deleted": {
        const { key, modRevision } = change;
        const known = this.#entries.get(key);
        if ((known?.modRevision ?? 0) > modRevision) return;
        this.#entries.delete(key);
        this.#recordRemoval({ key, modRevision });
      }
    }
  }

  #recordRemoval(removal: Removal): void {
    const all = [...this.#removals, removal];
    const discarded = all.slice(0, -MAX_REMOVALS);
    this.#removals = all.slice(-MAX_REMOVALS);
    discarded.forEach(({ modRevision }) => {
      this.#removalsKnownAfter = Math.max(
        this.#removalsKnownAfter,
        modRevision,
      );
    });
  }
}
