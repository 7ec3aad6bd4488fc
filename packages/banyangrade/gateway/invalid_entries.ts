/**
 * Reports entries of the store that this host cannot use, once for each version: an
 * entry is read again with every full read, and would fill the log otherwise.
 */
import * as lru from "lru-cache";
import type * as store from "@banyangrade/store";
import type * as utils from "@banyangrade/utils";

/** What an entry should have described. */
export type EntryKind = "configuration" | "server" | "statuses" | "origins";

/** Maximum number of entries whose reported version is remembered. */
const MAX_ENTRIES = 1_000;
/** Longest description of what is wrong, in characters; it may quote the entry. */
const MAX_ERROR_LENGTH = 200;

/** Options of {@link InvalidEntries}. */
export interface InvalidEntriesOptions {
  readonly log: utils.Logger;
  /** Counts a version of an entry that cannot be used. */
  readonly onInvalid: (kind: EntryKind) => void;
}

/** Remembers which versions of entries were reported. */
export class InvalidEntries {
  readonly #options: InvalidEntriesOptions;
  readonly #reported = new lru.LRUCache<string, number>({ max: MAX_ENTRIES });

  constructor(options: InvalidEntriesOptions) {
    this.#options = options;
  }

  /** Logs and counts a version of an entry that is not used; does nothing if it was reported before. */
  report(
    { key, modRevision }: Pick<store.StoreEntry, "key" | "modRevision">,
    { kind, error }: { readonly kind: EntryKind; readonly error: string },
  ): void {
    if (this.#reported.get(key) === modRevision) return;
    this.#reported.set(key, modRevision);
    this.#options.log.error(
      { key, revision: modRevision, error: error.slice(0, MAX_ERROR_LENGTH) },
      `Entry describes no ${kind} and is ignored.`,
    );
    this.#options.onInvalid(kind);
  }
}

/**
 * Describes a value that was too long to be decoded.
 *
 * @example
 * describeOmitted(1_048_576); // "1048576 bytes are too long"
 */
export function describeOmitted(bytes: number): string {
  return `${bytes} bytes are too long`;
}
