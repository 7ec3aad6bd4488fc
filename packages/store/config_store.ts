/**
 * The configuration log in the store. Each key `config/log/<revision>` holds one
 * change and is created only if it is absent, so of two concurrent writers of one
 * revision exactly one succeeds. The log is compacted regularly: a snapshot is
 * written and older records are deleted.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

const LOG_PREFIX = "banyangrade/config/log/";
const SNAPSHOT_POINTER_KEY = "banyangrade/config/base";
const SNAPSHOT_PREFIX = "banyangrade/config/snapshot/";

/** Number of changes between two snapshots. */
export const SNAPSHOT_EVERY = 256;
/** Maximum size of a snapshot piece in bytes; the store limits a value to 1 MB. */
const MAX_PIECE_BYTES = 500_000;

/** Stored reference to the newest snapshot. */
interface SnapshotPointer {
  readonly revision: number;
  readonly pieces: number;
}

function getLogKey(revision: number): string {
  return LOG_PREFIX + String(revision).padStart(12, "0");
}

/** A configuration that was read from the store. */
export interface ReadConfiguration {
  readonly configuration: core.Configuration;
  /** The changes read from the log that lead to this configuration; older ones may have been deleted. */
  readonly changes: readonly core.ConfigChange[];
}

/**
 * Reads the newest configuration from the store: only the changes after `known`
 * or, if the log no longer contains all of them, the snapshot and the changes
 * after it.
 *
 * @example
 * const read = await readConfiguration(store, core.EMPTY_CONFIGURATION);
 */
export async function readConfiguration(
  store: client.StoreClient,
  known: core.Configuration,
): Promise<utils.Result<ReadConfiguration, utils.StepError>> {
  const newer = await readChanges(store, known);
  if (newer.err) return newer;
  if (newer.val.kind === "complete") return utils.Ok(newer.val);
  const snapshot = await readSnapshot(store);
  if (snapshot.err) return snapshot;
  const reread = await readChanges(store, snapshot.val);
  if (reread.err) return reread;
  // The revision must never decrease, so a snapshot older than `known` is ignored.
  return reread.val.configuration.revision > known.revision
    ? reread
    : utils.Ok({ configuration: known, changes: [] });
}

interface ReadLog extends ReadConfiguration {
  readonly kind: "complete" | "gap";
}

async function readChanges(
  store: client.StoreClient,
  known: core.Configuration,
): Promise<utils.Result<ReadLog, utils.StepError>> {
  const listed = await store.list(LOG_PREFIX, {
    after: getLogKey(known.revision),
  });
  if (listed.err) return listed;
  let configuration = known;
  const changes = listed.val.map((entry) => parseChange(entry.value));
  const applied = changes.every((change) => {
    const next = core.applyChange(configuration, change);
    if (next.ok) configuration = next.val;
    return next.ok;
  });
  // An empty list after revision 0 can also mean that the whole log was deleted
  // by a compaction.
  const kind = applied && (known.revision > 0 || changes.length > 0)
    ? "complete"
    : "gap";
  return utils.Ok({ kind, configuration, changes });
}

/**
 * Parses the value of a log record.
 *
 * @example
 * const change = parseChange(entry.value);
 */
export function parseChange(value: string): core.ConfigChange {
  return JSON.parse(value) as core.ConfigChange;
}

async function readSnapshot(
  store: client.StoreClient,
): Promise<utils.Result<core.Configuration, utils.StepError>> {
  const entry = await store.get(SNAPSHOT_POINTER_KEY);
  if (entry.err) return entry;
  if (entry.val === undefined) return utils.Ok(core.EMPTY_CONFIGURATION);
  const pointer = JSON.parse(entry.val.value) as SnapshotPointer;
  const pieces = await store.list(`${SNAPSHOT_PREFIX}${pointer.revision}/`);
  if (pieces.err) return pieces;
  // A snapshot is stored in pieces but applied only as a whole.
  if (pieces.val.length !== pointer.pieces) {
    return utils.Err(utils.createStepError("conflict", {
      step: "store.readSnapshot",
      peer: "store",
      message:
        `Snapshot ${pointer.revision} is incomplete because a newer one replaced it; read the configuration again.`,
    }));
  }
  const text = pieces.val.map((piece) => piece.value).join("");
  return utils.Ok(core.loadSnapshot(JSON.parse(text) as core.ConfigSnapshot));
}

/** Result of {@link commitChange}. */
export type CommitOutcome =
  | { readonly kind: "committed"; readonly change: core.ConfigChange }
  | { readonly kind: "overtaken"; readonly by: core.ConfigChange };

/**
 * Commits a change as the next revision after `configuration`. If another
 * operator has committed this revision first, the result is `overtaken` and
 * contains that operator's change.
 *
 * @example
 * const outcome = await commitChange(store, { configuration, difference, author });
 */
export async function commitChange(
  store: client.StoreClient,
  options: {
    readonly configuration: core.Configuration;
    readonly difference: core.ConfigDifference;
    readonly author: string;
  },
): Promise<utils.Result<CommitOutcome, utils.StepError>> {
  const change: core.ConfigChange = {
    revision: options.configuration.revision + 1,
    previousDigest: options.configuration.digest,
    puts: options.difference.puts,
    removes: options.difference.removes,
    author: options.author,
    writerToken: utils.createId(),
  };
  const swapped = await client.swapAndConfirm(store, {
    key: getLogKey(change.revision),
    expected: 0,
    value: JSON.stringify(change),
  });
  if (swapped.err) return swapped;
  if (swapped.val.kind === "won") return confirmCommit(store, change);
  const current = swapped.val.current;
  if (current === undefined) {
    return utils.Err(utils.createStepError("conflict", {
      step: "store.commit",
      peer: "store",
      message:
        "The record of this revision was deleted during the commit; read the configuration again.",
    }));
  }
  return utils.Ok({ kind: "overtaken", by: parseChange(current.value) });
}

/**
 * Checks that a created record was not already covered by a snapshot. A writer
 * that was suspended during a compaction can create a record whose revision had
 * been compacted and deleted; no host would ever apply it. The revision of the
 * snapshot shows this, so the writer deletes its record and reports a conflict
 * instead of success.
 */
async function confirmCommit(
  store: client.StoreClient,
  change: core.ConfigChange,
): Promise<utils.Result<CommitOutcome, utils.StepError>> {
  const entry = await store.get(SNAPSHOT_POINTER_KEY);
  if (entry.err) return entry;
  const pointer = entry.val && JSON.parse(entry.val.value) as SnapshotPointer;
  if (pointer === undefined || pointer.revision < change.revision) {
    return utils.Ok({ kind: "committed", change });
  }
  const own = await store.get(getLogKey(change.revision));
  const value = JSON.stringify(change);
  if (own.ok && own.val?.value === value) {
    await store.swap({
      key: own.val.key,
      expected: own.val.modRevision,
      value: undefined,
    });
  }
  return utils.Err(utils.createStepError("conflict", {
    step: "store.commit",
    peer: "store",
    message:
      `Revision ${change.revision} is already compacted, so it is unknown whether the change was committed; read the configuration again.`,
  }));
}

/** Options of {@link compactLog}. */
export interface CompactOptions {
  /** Number of changes between two snapshots. @default SNAPSHOT_EVERY */
  readonly every?: number;
}

/**
 * Writes a snapshot once enough changes have been committed since the last one,
 * and deletes the log up to the previous snapshot. Returns whether a snapshot was
 * written. The call can be repeated and can fail at any step: the pointer moves
 * only forward and only to a complete snapshot, and the changes between the last
 * two snapshots are kept for hosts that are reading the log.
 *
 * @example
 * await compactLog(store, configuration);
 */
export async function compactLog(
  store: client.StoreClient,
  configuration: core.Configuration,
  { every = SNAPSHOT_EVERY }: CompactOptions = {},
): Promise<utils.Result<boolean, utils.StepError>> {
  const entry = await store.get(SNAPSHOT_POINTER_KEY);
  if (entry.err) return entry;
  const pointer = entry.val && JSON.parse(entry.val.value) as SnapshotPointer;
  if (configuration.revision - (pointer?.revision ?? 0) < every) {
    return utils.Ok(false);
  }
  const pieces = splitText(JSON.stringify(core.buildSnapshot(configuration)));
  const prefix = `${SNAPSHOT_PREFIX}${configuration.revision}/`;
  for (const [index, value] of pieces.entries()) {
    const key = prefix + String(index).padStart(4, "0");
    const written = await client.swapAndConfirm(store, {
      key,
      expected: 0,
      value,
    });
    if (written.err) return written;
  }
  const moved = await client.swapAndConfirm(store, {
    key: SNAPSHOT_POINTER_KEY,
    expected: entry.val?.modRevision ?? 0,
    value: JSON.stringify({
      revision: configuration.revision,
      pieces: pieces.length,
    }),
  });
  if (moved.err) return moved;
  if (moved.val.kind === "won" && pointer !== undefined) {
    await dropCompacted(store, pointer);
  }
  return utils.Ok(moved.val.kind === "won");
}

function splitText(text: string): string[] {
  const count = Math.ceil(text.length / MAX_PIECE_BYTES);
  return Array.from(
    { length: count },
    (_, index) =>
      text.slice(index * MAX_PIECE_BYTES, (index + 1) * MAX_PIECE_BYTES),
  );
}

/** Deletes the previous snapshot and the log up to its revision. */
async function dropCompacted(
  store: client.StoreClient,
  previous: SnapshotPointer,
): Promise<void> {
  const log = await store.list(LOG_PREFIX);
  const pieces = await store.list(`${SNAPSHOT_PREFIX}${previous.revision}/`);
  const compacted = [
    ...(log.ok ? log.val : []).filter((entry) =>
      entry.key <= getLogKey(previous.revision)
    ),
    ...(pieces.ok ? pieces.val : []),
  ];
  for (const entry of compacted) {
    await store.swap({
      key: entry.key,
      expected: entry.modRevision,
      value: undefined,
    });
  }
}

/**
 * Watches the log. Events can be missed while a watch reconnects, so the caller
 * must read the log after each `opened` event.
 *
 * @example
 * const stop = watchLog(store, (event) => mailbox.send(event));
 */
export function watchLog(
  store: client.StoreClient,
  onEvent: (event: client.WatchEvent) => void,
): () => void {
  return store.watch(LOG_PREFIX, onEvent);
}
