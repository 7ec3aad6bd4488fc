/**
 * Bounds what a host takes in of the entries of the store. Another writer may put any
 * number of entries there, with any bytes: a value is measured before it is decoded,
 * and an entry that is of no use is not kept.
 */
import type * as client from "./client.ts";
import type * as prefixWatch from "./prefix_watch.ts";

/** Largest value that is decoded where nothing else is said, in bytes. */
const MAX_VALUE_BYTES = 64 * 1024;
/** Largest size of all entries that are kept of one prefix, in bytes; enough for 12,000 servers. */
const MAX_KEPT_BYTES = 16 * 1024 * 1024;
/** Estimated size of an entry without its text, in bytes. */
const ENTRY_BYTES = 200;
/** Largest size of a character of a text, in bytes. */
const CHARACTER_BYTES = 2;

/** An entry whose value has not been decoded. */
export interface EncodedEntry {
  readonly key: string;
  readonly modRevision: number;
  /** Size of the decoded value. */
  readonly valueBytes: number;
  readonly decodeValue: () => string;
}

/** What a reader wants of the entries of a prefix. */
export interface EntryBounds {
  /** Returns the largest value of a key that is decoded, in bytes; 0 if only the key is of use. @default 64 KiB for each */
  readonly getMaxValueBytes?: (key: string) => number;
  /** Whether an entry is of use. An entry whose value was too long has `omittedBytes`. @default each that was not too long */
  readonly isUsable?: (entry: client.StoreEntry) => boolean;
  /** Called with a usable entry for which there is no room. @default ignored */
  readonly onNoRoom?: (entry: client.StoreEntry) => void;
}

/** Takes in one entry; returns undefined if it is not kept. */
export type TakeEntry = (
  encoded: EncodedEntry,
) => client.StoreEntry | undefined;

/** Takes in the entries of one prefix, up to a size of all that are kept. */
export class EntryIntake {
  readonly #bounds: EntryBounds;
  readonly #sizes = new Map<string, number>();
  #bytes = 0;

  constructor(bounds: EntryBounds = {}) {
    this.#bounds = bounds;
  }

  /** Takes in an entry; returns undefined if it is not kept. */
  readonly take: TakeEntry = (encoded) => {
    const { key } = encoded;
    this.remove(key);
    const entry = decodeEntry(encoded, this.#bounds);
    const { isUsable = isWhole, onNoRoom } = this.#bounds;
    if (!isUsable(entry)) return undefined;
    const size = measureEntry(entry);
    if (this.#bytes + size > MAX_KEPT_BYTES) {
      onNoRoom?.(entry);
      return undefined;
    }
    this.#sizes.set(key, size);
    this.#bytes += size;
    return entry;
  };

  /** Records that an entry is no longer kept. */
  remove(key: string): void {
    this.#bytes -= this.#sizes.get(key) ?? 0;
    this.#sizes.delete(key);
  }
}

/**
 * Turns a written entry into a change: the removal of its key if the entry is not
 * kept, because what the key held before holds no longer.
 *
 * @example
 * const change = takeChange(encoded, intake.take);
 */
export function takeChange(
  encoded: EncodedEntry,
  take: TakeEntry,
): prefixWatch.Change {
  const entry = take(encoded);
  const { key, modRevision } = encoded;
  return entry === undefined
    ? { kind: "deleted", key, modRevision }
    : { kind: "put", entry };
}

/**
 * Returns an entry that has been decoded elsewhere as if it had not, so that it can
 * be taken in.
 *
 * @example
 * const kept = entries.flatMap((entry) => intake.take(encodeEntry(entry)) ?? []);
 */
export function encodeEntry(entry: client.StoreEntry): EncodedEntry {
  return {
    key: entry.key,
    modRevision: entry.modRevision,
    valueBytes: entry.omittedBytes ?? Buffer.byteLength(entry.value),
    decodeValue: () => entry.value,
  };
}

/**
 * Takes in entries that are already in memory, as a store's answer would be.
 *
 * @example
 * const kept = takeAll(entries, { take });
 */
export function takeAll(
  entries: readonly client.StoreEntry[],
  { take }: prefixWatch.ReadOptions = {},
): readonly client.StoreEntry[] {
  if (take === undefined) return entries;
  return entries.flatMap((entry) => take(encodeEntry(entry)) ?? []);
}

/**
 * Takes in changes that are already in memory.
 *
 * @example
 * const kept = takeAllChanges(changes, { take });
 */
export function takeAllChanges(
  changes: readonly prefixWatch.Change[],
  { take }: prefixWatch.ReadOptions = {},
): readonly prefixWatch.Change[] {
  if (take === undefined) return changes;
  return changes.map((change) =>
    change.kind === "put" ? takeChange(encodeEntry(change.entry), take) : change
  );
}

function decodeEntry(
  { key, modRevision, valueBytes, decodeValue }: EncodedEntry,
  { getMaxValueBytes }: EntryBounds,
): client.StoreEntry {
  const maxBytes = getMaxValueBytes?.(key) ?? MAX_VALUE_BYTES;
  return valueBytes > maxBytes
    ? { key, modRevision, value: "", omittedBytes: valueBytes }
    : { key, modRevision, value: decodeValue() };
}

function isWhole({ omittedBytes }: client.StoreEntry): boolean {
  return omittedBytes === undefined;
}

/**
 * Estimates the size of an entry that is kept, in bytes.
 *
 * @example
 * measureEntry({ key: "a", value: "b", modRevision: 1 }); // 204
 */
export function measureEntry({ key, value }: client.StoreEntry): number {
  return ENTRY_BYTES + CHARACTER_BYTES * (key.length + value.length);
}
