/**
 * Follows one prefix of a store whose watch is a long poll: reads the prefix in
 * full, then polls for changes. Each response proves that the local copy was
 * current when the call was sent. A call without a response proves nothing, so a
 * watch that is lost silently cannot be mistaken for one without changes.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import * as entryIntake from "./entry_intake.ts";

/** All entries of a prefix at one revision. */
export interface PrefixSnapshot {
  readonly entries: readonly client.StoreEntry[];
  readonly revision: number;
  /**
   * Age of the data in ms: time from the sending of the read that proves it
   * current until the server received this call; negative if the read was sent
   * later. @default 0
   */
  readonly ageMs?: number;
}

/** A change of one entry. */
export type Change =
  | { readonly kind: "put"; readonly entry: client.StoreEntry }
  | {
    readonly kind: "deleted";
    readonly key: string;
    readonly modRevision: number;
  };

/** The changes after a revision. */
export interface Changes {
  readonly changes: readonly Change[];
  /** Revision from which the next poll continues. */
  readonly revision: number;
  /** Age of the data as in {@link PrefixSnapshot}, in ms. @default 0 */
  readonly ageMs?: number;
}

/** The calls that are needed to follow a prefix. */
export interface FeedClient {
  /** Reads a prefix in full, never from a stale copy. */
  readonly readAll: (
    prefix: string,
    options?: ReadOptions,
  ) => Promise<utils.Result<PrefixSnapshot, utils.StepError>>;
  /**
   * Waits for changes after a revision. The error `not_found` means that the
   * history since then has been deleted, or is too long to be taken at once, so the
   * prefix must be read in full, which is done in pages.
   */
  readonly pollChanges: (
    prefix: string,
    options: PollOptions,
  ) => Promise<utils.Result<Changes, utils.StepError>>;
}

/** Options of a full read. */
export interface ReadOptions {
  /** Takes in the entries. @default all of them are returned */
  readonly take?: entryIntake.TakeEntry;
  /** Called after each page of a read that takes several, before the next one. @default ignored */
  readonly onPage?: () => Promise<void>;
}

/** Options of a poll for changes. */
export interface PollOptions extends Pick<ReadOptions, "take"> {
  /** Revision after which changes are asked for. */
  readonly after: number;
  /** Longest wait for a change, in ms. */
  readonly waitMs: number;
}

/** An event of {@link watchPrefix}. */
export type FeedEvent =
  | {
    readonly kind: "replaced";
    readonly entries: readonly client.StoreEntry[];
    /** Revision of the store at which the entries were read. */
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
export interface WatchPrefixOptions extends Pick<ReadOptions, "onPage"> {
  readonly feed: FeedClient;
  readonly clock: utils.Clock;
  readonly random: utils.Random;
  readonly prefix: string;
  /** What is taken in of the entries of the prefix. @default all of them, up to the usual bounds */
  readonly bounds?: entryIntake.EntryBounds;
  /** Maximum time that one poll waits for a change, in ms. */
  readonly waitMs: number;
  /**
   * Returns the delay in ms after a response with changes. Changes come in groups,
   * such as all servers of a failure domain that leave together. Without the delay,
   * each change would cost every host a call.
   */
  readonly getBatchDelayMs: () => number;
  readonly onEvent: (event: FeedEvent) => void;
  /** Called with what the feed or `onEvent` threw; the prefix is read in full after a pause. */
  readonly onError: (thrown: unknown) => void;
}

/** Pause after an unexpected error, in ms; half of the time within which a change must be applied. */
const ERROR_PAUSE_MS = 1_000;
/** Delay after the first failed call, in ms; doubles up to {@link MAX_RETRY_DELAY_MS}. */
const MIN_RETRY_DELAY_MS = 50;
/** Maximum delay between calls to an unavailable store, in ms: a tenth of the time within which a change must be applied. */
const MAX_RETRY_DELAY_MS = 200;

/** Maximum delay before a full read that the store refused is repeated, in ms. All hosts may be starting, so it is drawn. */
const MAX_REFUSED_DELAY_MS = 1_000;

/**
 * Starts to follow a prefix; returns a function that stops it.
 *
 * @example
 * const stop = watchPrefix({ feed, clock, prefix: "servers/", waitMs: 1000, random, getBatchDelayMs: () => 100, onEvent });
 */
export function watchPrefix(options: WatchPrefixOptions): () => void {
  const { clock, feed, prefix, onEvent } = options;
  let stopped = false;
  let after: number | undefined;
  let failures = 0;
  let refusals = 0;
  let intake = new entryIntake.EntryIntake(options.bounds);

  async function readAll(): Promise<utils.StepError | undefined> {
    const sentAt = clock.now();
    const next = new entryIntake.EntryIntake(options.bounds);
    const { onPage } = options;
    const read = await feed.readAll(prefix, { take: next.take, onPage });
    if (read.err) return read.val;
    intake = next;
    const { entries, revision, ageMs = 0 } = read.val;
    after = revision;
    onEvent({ kind: "replaced", entries, revision, sentAt: sentAt - ageMs });
    return undefined;
  }

  async function poll(since: number): Promise<utils.StepError | undefined> {
    const sentAt = clock.now();
    const { waitMs } = options;
    const { take } = intake;
    const polled = await feed.pollChanges(prefix, {
      after: since,
      waitMs,
      take,
    });
    if (polled.err) {
      if (polled.val.code !== "not_found") return polled.val;
      after = undefined;
      return undefined;
    }
    const { changes, revision, ageMs = 0 } = polled.val;
    // An empty response does not advance the revision. A store that is about to
    // delete its history may have skipped changes; the next poll from the same
    // revision returns them or fails with `not_found`.
    if (changes.length > 0) after = Math.max(since, revision);
    changes.forEach((change) => {
      if (change.kind === "deleted") intake.remove(change.key);
    });
    onEvent({ kind: "changed", changes, revision, sentAt: sentAt - ageMs });
    if (changes.length > 0) await utils.waitFor(options.getBatchDelayMs());
    return undefined;
  }

  async function runStep(): Promise<void> {
    const error = after === undefined ? await readAll() : await poll(after);
    if (error === undefined) {
      failures = 0;
      refusals = 0;
      return;
    }
    if (stopped) return;
    onEvent({ kind: "failed", error });
    if (after === undefined && isRefusal(error)) {
      refusals += 1;
      const drawn = options.random.next();
      const delayMs = core.computeRetryDelay({ failures: refusals, drawn });
      return await utils.waitFor(Math.min(MAX_REFUSED_DELAY_MS, delayMs));
    }
    const delay = MIN_RETRY_DELAY_MS * 2 ** failures;
    failures += delay < MAX_RETRY_DELAY_MS ? 1 : 0;
    await utils.waitFor(Math.min(MAX_RETRY_DELAY_MS, delay));
  }

  async function run(): Promise<void> {
    while (!stopped) {
      try {
        await runStep();
      } catch (thrown) {
        options.onError(thrown);
        after = undefined;
        await utils.waitFor(ERROR_PAUSE_MS);
      }
    }
  }

  utils.runDetached(run, options.onError);
  return () => {
    stopped = true;
  };
}

/** Whether the store answered that it takes no call now; another one at once would only add to its load. */
function isRefusal({ code }: utils.StepError): boolean {
  return code === "rejected" || code === "rate_limited";
}
