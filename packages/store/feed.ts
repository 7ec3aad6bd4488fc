/**
 * Follows one prefix of a store whose watch is a long poll: reads it in full,
 * then asks again and again for what has changed. Each answer proves that what
 * is believed was current when the call was sent; a call that does not come
 * back proves nothing, so a watch that was lost without notice cannot pass for
 * a quiet one.
 */
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** All entries of a prefix at one revision. */
export interface Snapshot {
  readonly entries: readonly client.StoreEntry[];
  readonly revision: number;
  /**
   * How long before the call was taken the read was sent that proves them
   * current, in ms; negative if that was later. @default 0
   */
  readonly ageMs?: number;
}

/** One change. */
export type Change =
  | { readonly kind: "put"; readonly entry: client.StoreEntry }
  | {
    readonly kind: "deleted";
    readonly key: string;
    readonly modRevision: number;
  };

/** What has changed since a revision. */
export interface Changes {
  readonly changes: readonly Change[];
  /** The revision to go on from. */
  readonly revision: number;
  /** As in {@link Snapshot}. @default 0 */
  readonly ageMs?: number;
}

/** The calls that following a prefix takes. */
export interface FeedClient {
  /** Reads a prefix in full, never from a stale copy. */
  readonly readAll: (
    prefix: string,
  ) => Promise<utils.Result<Snapshot, utils.StepError>>;
  /**
   * Waits for changes behind a revision. The error `not_found` says that the
   * history is no longer kept and the prefix must be read in full.
   */
  readonly pollChanges: (
    prefix: string,
    options: { readonly after: number; readonly waitMs: number },
  ) => Promise<utils.Result<Changes, utils.StepError>>;
}

/** What the follower is told. */
export type FeedEvent =
  | {
    readonly kind: "replaced";
    readonly entries: readonly client.StoreEntry[];
    /** The store's revision as of which these are all entries. */
    readonly revision: number;
    readonly sentAt: number;
  }
  | {
    readonly kind: "changed";
    readonly changes: readonly Change[];
    readonly revision: number;
    readonly sentAt: number;
  }
  | { readonly kind: "failed"; readonly error: utils.StepError };

/** Options of {@link watchPrefix}. */
export interface WatchPrefixOptions {
  readonly feed: FeedClient;
  readonly clock: utils.Clock;
  readonly prefix: string;
  /** Longest time that one poll waits for a change, in ms. */
  readonly waitMs: number;
  /**
   * Pause after an answer with changes, in ms. Changes come in groups, such as
   * the servers of a failure domain that leave together; without it each of
   * them costs every host a call.
   */
  readonly getSettleMs: () => number;
  readonly onEvent: (event: FeedEvent) => void;
}

/** First pause after a call that failed, in ms; doubles up to {@link RETRY_MAX_MS}. */
const RETRY_MS = 50;
/** Longest pause between calls to a store that does not answer, in ms: a tenth of the time within which a change must be in force. */
const RETRY_MAX_MS = 200;

/**
 * Starts following a prefix; returns a function that stops it.
 *
 * @example
 * const stop = watchPrefix({ feed, clock, prefix: "servers/", waitMs: 1000, getSettleMs: () => 100, onEvent });
 */
export function watchPrefix(options: WatchPrefixOptions): () => void {
  const { clock, feed, prefix, onEvent } = options;
  let stopped = false;
  let after: number | undefined;
  let failures = 0;

  async function readAll(): Promise<utils.StepError | undefined> {
    const sentAt = clock.now();
    const read = await feed.readAll(prefix);
    if (read.err) return read.val;
    const { entries, revision, ageMs = 0 } = read.val;
    after = revision;
    onEvent({ kind: "replaced", entries, revision, sentAt: sentAt - ageMs });
    return undefined;
  }

  async function poll(since: number): Promise<utils.StepError | undefined> {
    const sentAt = clock.now();
    const waitMs = options.waitMs;
    const polled = await feed.pollChanges(prefix, { after: since, waitMs });
    if (polled.err) {
      if (polled.val.code !== "not_found") return polled.val;
      after = undefined;
      return undefined;
    }
    const { changes, revision, ageMs = 0 } = polled.val;
    // An empty answer does not move the revision: a store that was about to
    // drop its history may have passed over changes, which the next poll then
    // brings, or says that they are no longer kept.
    if (changes.length > 0) after = Math.max(since, revision);
    onEvent({ kind: "changed", changes, revision, sentAt: sentAt - ageMs });
    if (changes.length > 0) await utils.waitFor(options.getSettleMs());
    return undefined;
  }

  async function run(): Promise<void> {
    while (!stopped) {
      const error = after === undefined ? await readAll() : await poll(after);
      if (error === undefined) {
        failures = 0;
        continue;
      }
      if (stopped) return;
      onEvent({ kind: "failed", error });
      const pause = RETRY_MS * 2 ** failures;
      failures += pause < RETRY_MAX_MS ? 1 : 0;
      await utils.waitFor(Math.min(RETRY_MAX_MS, pause));
    }
  }

  void run();
  return () => {
    stopped = true;
  };
}
