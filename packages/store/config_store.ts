/**
 * The configuration log in the store. `config/log/<revision>` holds one change
 * each and is only ever created, so the create decides a race. From time to
 * time a snapshot is written and older records are dropped.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";

const LOG_PREFIX = "banyangrade/config/log/";
const BASE_KEY = "banyangrade/config/base";
const SNAPSHOT_PREFIX = "banyangrade/config/snapshot/";

/** Changes between two snapshots. */
export const SNAPSHOT_EVERY = 256;
/** Largest piece of a snapshot in bytes; the store's values end at 1 MB. */
const PIECE_BYTES = 500_000;

/** Points at the newest snapshot. */
interface Base {
  readonly revision: number;
  readonly pieces: number;
}

function getLogKey(revision: number): string {
  return LOG_PREFIX + String(revision).padStart(12, "0");
}

/** What was read of the log. */
export interface ReadConfiguration {
  readonly configuration: core.Configuration;
  /** The last changes that led to it, as far as the log still holds them. */
  readonly changes: readonly core.ConfigChange[];
}

/**
 * Reads the newest configuration from the store: what is missing behind
 * `known`, or the snapshot first if the log no longer reaches back that far.
 *
 * @example
 * const read = await readConfiguration(store, core.EMPTY_CONFIGURATION);
 */
export async function readConfiguration(
  store: client.StoreClient,
  known: core.Configuration,
): Promise<utils.Result<ReadConfiguration, utils.StepError>> {
  const behind = await readChanges(store, known);
  if (behind.err) return behind;
  if (behind.val.kind === "complete") return utils.Ok(behind.val);
  const base = await readBase(store);
  if (base.err) return base;
  const again = await readChanges(store, base.val);
  if (again.err) return again;
  // Never go back: a snapshot older than what is known is of no use.
  return again.val.configuration.revision > known.revision
    ? again
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
  // An empty list behind revision 0 may also mean that all of it was dropped.
  const kind = applied && (known.revision > 0 || changes.length > 0)
    ? "complete"
    : "gap";
  return utils.Ok({ kind, configuration, changes });
}

/**
 * Parses a record of the log.
 *
 * @example
 * const change = parseChange(entry.value);
 */
export function parseChange(value: string): core.ConfigChange {
  return JSON.parse(value) as core.ConfigChange;
}

async function readBase(
  store: client.StoreClient,
): Promise<utils.Result<core.Configuration, utils.StepError>> {
  const entry = await store.get(BASE_KEY);
  if (entry.err) return entry;
  if (entry.val === undefined) return utils.Ok(core.EMPTY_CONFIGURATION);
  const base = JSON.parse(entry.val.value) as Base;
  const pieces = await store.list(`${SNAPSHOT_PREFIX}${base.revision}/`);
  if (pieces.err) return pieces;
  // In parts, but applied as a whole or not at all.
  if (pieces.val.length !== base.pieces) {
    return utils.Err(utils.createStepError("conflict", {
      step: "store.readSnapshot",
      peer: "store",
      message: `Snapshot ${base.revision} is incomplete; it was replaced.`,
    }));
  }
  const text = pieces.val.map((piece) => piece.value).join("");
  return utils.Ok(core.loadSnapshot(JSON.parse(text) as core.ConfigSnapshot));
}

/** What a publication came to. */
export type CommitOutcome =
  | { readonly kind: "committed"; readonly change: core.ConfigChange }
  | { readonly kind: "overtaken"; readonly by: core.ConfigChange };

/**
 * Commits a change behind `configuration`. Of two operators who race one is
 * `overtaken` and told by whom.
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
      message: "The record was dropped; read the configuration again.",
    }));
  }
  return utils.Ok({ kind: "overtaken", by: parseChange(current.value) });
}

/**
 * A writer that slept through a compaction creates a record again that was
 * dropped; no host would ever apply it. The snapshot's revision shows that, so
 * the writer takes its record back instead of reporting success.
 */
async function confirmCommit(
  store: client.StoreClient,
  change: core.ConfigChange,
): Promise<utils.Result<CommitOutcome, utils.StepError>> {
  const entry = await store.get(BASE_KEY);
  if (entry.err) return entry;
  const base = entry.val && JSON.parse(entry.val.value) as Base;
  if (base === undefined || base.revision < change.revision) {
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
    message: `Revision ${change.revision} is long past; read again.`,
  }));
}

/** Options of {@link compactLog}. */
export interface CompactOptions {
  /** Changes between two snapshots. @default SNAPSHOT_EVERY */
  readonly every?: number;
}

/**
 * Writes a snapshot and drops the log behind it, if enough changes have come.
 * Safe to repeat and to break off: the base moves only to complete snapshots
 * and only forward, and one snapshot's worth of log is kept for those who are
 * reading.
 *
 * @example
 * await compactLog(store, configuration);
 */
export async function compactLog(
  store: client.StoreClient,
  configuration: core.Configuration,
  { every = SNAPSHOT_EVERY }: CompactOptions = {},
): Promise<utils.Result<boolean, utils.StepError>> {
  const entry = await store.get(BASE_KEY);
  if (entry.err) return entry;
  const base = entry.val && JSON.parse(entry.val.value) as Base;
  if (configuration.revision - (base?.revision ?? 0) < every) {
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
    key: BASE_KEY,
    expected: entry.val?.modRevision ?? 0,
    value: JSON.stringify({
      revision: configuration.revision,
      pieces: pieces.length,
    }),
  });
  if (moved.err) return moved;
  if (moved.val.kind === "won" && base !== undefined) {
    await dropBefore(store, base);
  }
  return utils.Ok(moved.val.kind === "won");
}

function splitText(text: string): string[] {
  const count = Math.ceil(text.length / PIECE_BYTES);
  return Array.from(
    { length: count },
    (_, index) => text.slice(index * PIECE_BYTES, (index + 1) * PIECE_BYTES),
  );
}

/** Drops the log up to the snapshot before the newest, and that snapshot. */
async function dropBefore(
  store: client.StoreClient,
  base: Base,
): Promise<void> {
  const log = await store.list(LOG_PREFIX);
  const pieces = await store.list(`${SNAPSHOT_PREFIX}${base.revision}/`);
  const old = [
    ...(log.ok ? log.val : []).filter((entry) =>
      entry.key <= getLogKey(base.revision)
    ),
    ...(pieces.ok ? pieces.val : []),
  ];
  for (const entry of old) {
    await store.swap({
      key: entry.key,
      expected: entry.modRevision,
      value: undefined,
    });
  }
}

/**
 * Watches the log. Events may be missed while a watch is opened again, so the
 * caller reads the log after each `opened`.
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
