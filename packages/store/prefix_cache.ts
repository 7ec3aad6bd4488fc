/**
 * A copy of one prefix of the store, from which other hosts are answered. It
 * knows up to which moment it is proved current, and what has gone since its
 * last full read, so whoever follows it learns of removals too.
 */
import type * as client from "./client.ts";
import type * as feed from "./feed.ts";

/** Removals that are remembered; who is further behind reads in full. */
const MAX_REMOVALS = 1_000;

interface Removal {
  readonly key: string;
  readonly modRevision: number;
}

/** A copy of a prefix. */
export class PrefixCache {
  readonly #entries = new Map<string, client.StoreEntry>();
  #removals: readonly Removal[] = [];
  /** Revision behind which every removal is known. */
  #from = Number.POSITIVE_INFINITY;
  #revision = 0;
  #provedAt = Number.NEGATIVE_INFINITY;

  /** Moment at which the read was sent that proved it current; -Infinity before the first. */
  get provedAt(): number {
    return this.#provedAt;
  }

  /** Takes over a full read that was sent at `sentAt`. */
  setAll(snapshot: feed.Snapshot, sentAt: number): void {
    this.#entries.clear();
    snapshot.entries.forEach((entry) => this.#entries.set(entry.key, entry));
    this.#removals = [];
    this.#from = snapshot.revision;
    this.#revision = snapshot.revision;
    this.#provedAt = Math.max(this.#provedAt, sentAt);
  }

  /** Takes over changes that were asked for at `sentAt`. */
  apply(changes: feed.Changes, sentAt: number): void {
    changes.changes.forEach((change) => this.#applyChange(change));
    if (changes.changes.length > 0) {
      this.#revision = Math.max(this.#revision, changes.revision);
    }
    this.#provedAt = Math.max(this.#provedAt, sentAt);
  }

  /** All entries. */
  read(): feed.Snapshot {
    return { entries: [...this.#entries.values()], revision: this.#revision };
  }

  /** What has changed behind a revision; undefined if that is no longer known. */
  listSince(after: number): feed.Changes | undefined {
    if (after < this.#from) return undefined;
    const puts = [...this.#entries.values()]
      .filter((entry) => entry.modRevision > after)
      .map((entry): feed.Change => ({ kind: "put", entry }));
    const removals = this.#removals
      // One that was written again since has not gone.
      .filter(({ key, modRevision }) =>
        modRevision > after && !this.#entries.has(key)
      )
      .map((removal): feed.Change => ({ kind: "deleted", ...removal }));
    return { changes: [...puts, ...removals], revision: this.#revision };
  }

  /** An entry that was read in full may be newer than a change that arrives later. */
  #applyChange(change: feed.Change): void {
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
    const dropped = all.slice(0, -MAX_REMOVALS);
    this.#removals = all.slice(-MAX_REMOVALS);
    dropped.forEach(({ modRevision }) => {
      this.#from = Math.max(this.#from, modRevision);
    });
  }
}
