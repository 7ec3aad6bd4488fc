/**
 * Follows the store through the relay while the relay's data is fresh, otherwise
 * directly; and keeps a copy, from which this host answers its followers when it
 * is the relay. The age of relayed data counts from the moment at which the read
 * of the store was sent, so that a chain of relays cannot present old data as
 * new.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as relayTask from "./relay_task.ts";

/**
 * Age of a relay's last response from the store, for any prefix, from which the
 * relay no longer answers its followers, in ms. While the store is reachable the
 * age is at most two polls of the configuration. A relay that silently loses the
 * store is detected 1.1 s later, and a change must be applied within 2 s.
 */
const MAX_RELAY_AGE_MS = 1_900;
/**
 * Time for which the store is not polled again after a failure, in ms, by the
 * state of the relay. With an unready relay, the relay keeps polling and its
 * followers learn from it that the store is back. Without a relay the time is
 * shorter: a relay that stops during an outage has no successor until the store is
 * back. Without this backoff, every host of a failure domain would poll the store
 * five times a second.
 */
const STORE_BACKOFF_MS = { unready: 1_500, none: 600 };

/** Shortest wait of a poll of the store that proves that the data is current, in ms. */
const MIN_PROOF_WAIT_MS = 100;
/** Time of an answer from which the store is slow, in ms; the wait of polls is then shortened. */
const SLOW_ANSWER_MS = 50;
/** Part of {@link MAX_RELAY_AGE_MS} that is left for the delay of this process, in ms. */
const PROOF_MARGIN_MS = 100;

/**
 * Largest size of the full reads that a relay answers in a time, in bytes, and that
 * time, in ms. Hosts that start together ask together, and what is sent to them is
 * held until it is on its way.
 */
const MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024;
const SNAPSHOT_WINDOW_MS = 1_000;

/** Shortest interval between two polls of the relay that do not wait for a change, in ms. */
const PROMPT_POLL_MS = 50;

/** Options of {@link RelayedFeed}. */
export interface RelayedFeedOptions {
  readonly feed: store.FeedClient;
  readonly relay: Pick<relayTask.RelayTask, "callRelay">;
  /** Includes the time for which the process was suspended, so that data ages meanwhile. */
  readonly clock: utils.Clock;
  /** Called with the source of each full read of a prefix. */
  readonly onReadAll?: (read: SourcedRead) => void;
}

/** A full read of a prefix, and who answered it. */
export interface SourcedRead {
  readonly prefix: string;
  readonly source: "relay" | "store";
}

type Polled = utils.Result<store.Changes, utils.StepError>;
type PollOptions = store.PollOptions;

/** Result of polling the relay. */
type RelayPoll =
  | { readonly kind: "answered"; readonly polled: Polled }
  /** The relay's own data is stale. */
  | { readonly kind: "unready" }
  /** There is no relay, or the relay does not answer. */
  | { readonly kind: "none" };

/** The copy of one prefix, and the listeners that wait for it to change. */
interface WatchedPrefix {
  readonly cache: store.PrefixCache;
  /** Number of consecutive polls of the store that failed. */
  failures: number;
  /** Time of the last poll of the relay that did not wait for a change. */
  promptPollAt: number;
  readonly listeners: Set<() => void>;
}

/** Failure of the store. */
interface StoreFailure {
  readonly error: utils.StepError;
  readonly at: number;
  /** Whether the connection of a single poll broke during its wait: this host's link may have failed, not the store. */
  readonly isInterruption: boolean;
}

/** The store's change feed, read through the relay if possible. */
export class RelayedFeed implements store.FeedClient {
  readonly #options: RelayedFeedOptions;
  readonly #prefixes = new Map<string, WatchedPrefix>();
  /** Times that the store takes to answer a poll once its wait is over. */
  readonly #answerTimes = new core.AnswerTimes({ minMs: 0, maxMs: 3_000 });
  /** Full reads that were answered since a time. */
  #sent = { since: Number.NEGATIVE_INFINITY, bytes: 0 };
  /** Last failure of the store; undefined once the store has answered again. */
  #storeFailure: StoreFailure | undefined;

  constructor(options: RelayedFeedOptions) {
    this.#options = options;
  }

  async readAll(
    prefix: string,
    options: store.ReadOptions = {},
  ): Promise<utils.Result<store.PrefixSnapshot, utils.StepError>> {
    const { clock, feed, relay } = this.#options;
    const sentAt = clock.now();
    const relayed = await relay.callRelay({
      step: "relay.readAll",
      run: (client, signal) => client.readAll.query(prefix, { signal }),
      readState: ({ kind }) => ({ ready: kind !== "unready" }),
    });
    if (relayed?.kind === "snapshot") {
      // A relay of another version may keep more than this host does.
      const entries = store.takeAll(relayed.entries, options);
      const snapshot = { ...relayed, entries };
      this.#setAll(prefix, { snapshot, sentAt });
      this.#options.onReadAll?.({ prefix, source: "relay" });
      return utils.Ok(snapshot);
    }
    const askedAt = clock.now();
    const read = await feed.readAll(prefix, options);
    if (read.ok) {
      this.#setAll(prefix, { snapshot: read.val, sentAt: askedAt });
      this.#options.onReadAll?.({ prefix, source: "store" });
    }
    return read;
  }

  async pollChanges(prefix: string, options: PollOptions): Promise<Polled> {
    const relayed = await this.#pollRelay(prefix, options);
    if (relayed.kind === "answered") return relayed.polled;
    const backoffError = this.#findBackoff(prefix, relayed.kind);
    if (backoffError !== undefined) return utils.Err(backoffError);
    // After a failure the poll does not wait for a change, so that the first answer
    // proves at once that the data is current and a relay is ready again.
    const waitMs = this.#storeFailure === undefined
      ? this.#computeWait(options.waitMs)
      : 0;
    const sentAt = this.#options.clock.now();
    const read = await this.#pollStore(prefix, { ...options, waitMs });
    this.#recordRead(prefix, { read, waitEndsAt: sentAt + waitMs });
    return read;
  }

  /**
   * Shortens the wait of polls whose answers prove that the data is current, as far as
   * the store is slow: the proof is as old as two polls before the next one arrives,
   * and a relay that is older than {@link MAX_RELAY_AGE_MS} sends all followers to the
   * store that is slow.
   */
  #computeWait(longestMs: number): number {
    const answerMs = this.#answerTimes.getMeanMs();
    const bringsProof = longestMs < MAX_RELAY_AGE_MS;
    if (!bringsProof || answerMs < SLOW_ANSWER_MS) return longestMs;
    const pollMs = (MAX_RELAY_AGE_MS - PROOF_MARGIN_MS) / 2;
    const waitMs = Math.round(pollMs - answerMs);
    return Math.min(longestMs, Math.max(MIN_PROOF_WAIT_MS, waitMs));
  }

  /** Returns the failure during whose backoff the store must not be polled; undefined if it may be. */
  #findBackoff(
    prefix: string,
    relay: "unready" | "none",
  ): utils.StepError | undefined {
    const failed = this.#storeFailure;
    const { clock } = this.#options;
    if (failed === undefined) return undefined;
    if (clock.now() - failed.at >= STORE_BACKOFF_MS[relay]) return undefined;
    // A single interrupted poll is not taken for an outage.
    const isOutage = relay === "unready"
      ? !failed.isInterruption
      : this.#getPrefix(prefix).failures > 1;
    return isOutage ? failed.error : undefined;
  }

  #recordRead(
    prefix: string,
    { read, waitEndsAt }: {
      readonly read: Polled;
      readonly waitEndsAt: number;
    },
  ): void {
    const now = this.#options.clock.now();
    const watched = this.#getPrefix(prefix);
    // "not_found" means that the store has compacted its history; it is reachable.
    const error = read.err && read.val.code !== "not_found"
      ? read.val
      : undefined;
    watched.failures = error === undefined ? 0 : watched.failures + 1;
    this.#storeFailure = error && {
      error,
      at: now,
      isInterruption: error.code === "unknown_outcome" &&
        watched.failures === 1 && now < waitEndsAt,
    };
  }

  /** Answers a follower's call with a snapshot of the whole prefix. */
  answerReadAll(prefix: string): peer.RelayedSnapshot {
    const { cache } = this.#getPrefix(prefix);
    const ageMs = this.#options.clock.now() - cache.currentAsOf;
    if (!Number.isFinite(ageMs) || !this.#isFresh()) return { kind: "unready" };
    const snapshot = cache.read();
    if (!this.#maySend(snapshot)) return { kind: "busy" };
    return { kind: "snapshot", ...snapshot, ageMs };
  }

  /** Whether a snapshot may be sent now; counts it if so. A single one always may. */
  #maySend({ entries }: store.PrefixSnapshot): boolean {
    const now = this.#options.clock.now();
    if (now - this.#sent.since >= SNAPSHOT_WINDOW_MS) {
      this.#sent = { since: now, bytes: 0 };
    }
    const bytes = entries.reduce(
      (sum, entry) => sum + store.measureEntry(entry),
      0,
    );
    const { bytes: before } = this.#sent;
    if (before > 0 && before + bytes > MAX_SNAPSHOT_BYTES) return false;
    this.#sent.bytes += bytes;
    return true;
  }

  /** Answers a follower's long poll as soon as there is a change, or at the end of its wait. */
  async answerPoll(
    { prefix, after, waitMs }: peer.PollMessage,
  ): Promise<peer.RelayedChanges> {
    const receivedAt = this.#options.clock.now();
    const { cache } = this.#getPrefix(prefix);
    const mayAnswer = () =>
      Number.isFinite(cache.currentAsOf) && this.#isFresh();
    const hasChanges = () => (cache.listSince(after)?.changes.length ?? 1) > 0;
    await this.#waitUntil(prefix, {
      isMet: () => !mayAnswer() || hasChanges(),
      waitMs,
    });
    if (!mayAnswer()) return { kind: "unready" };
    const changes = cache.listSince(after);
    if (changes === undefined) return { kind: "gone" };
    // The age is taken at the arrival of the call. The follower subtracts it from
    // the time at which it sent the call, which is earlier, so the data never
    // appears newer than it is.
    return {
      kind: "changes",
      ...changes,
      ageMs: receivedAt - cache.currentAsOf,
    };
  }

  async #pollRelay(
    prefix: string,
    { after, waitMs: longestWaitMs, take }: PollOptions,
  ): Promise<RelayPoll> {
    await this.#waitForPromptPoll(prefix);
    const sentAt = this.#options.clock.now();
    // A host whose data is old has just found a relay, or its relay has just become
    // ready again: it needs a proof at once, not at the end of a long poll.
    const waitMs = this.#isFresh() ? longestWaitMs : 0;
    if (!this.#isFresh()) this.#getPrefix(prefix).promptPollAt = sentAt;
    const message = { prefix, after, waitMs };
    const relayed = await this.#options.relay.callRelay({
      step: "relay.pollChanges",
      run: (client, signal) => client.pollChanges.query(message, { signal }),
      readState: ({ kind }) => ({ ready: kind !== "unready" }),
      waitMs,
    });
    switch (relayed?.kind) {
      case undefined:
        return { kind: "none" };
      case "unready":
        return { kind: "unready" };
      case "gone":
        return { kind: "answered", polled: utils.Err(buildHistoryError()) };
      case "changes": {
        const kept = store.takeAllChanges(relayed.changes, { take });
        const changes = { ...relayed, changes: kept };
        this.#apply(prefix, { changes, sentAt });
        return { kind: "answered", polled: utils.Ok(changes) };
      }
    }
  }

  /** Delays a poll that will not wait for a change, so that an empty answer is not followed by the next poll at once. */
  async #waitForPromptPoll(prefix: string): Promise<void> {
    if (this.#isFresh()) return;
    const { promptPollAt } = this.#getPrefix(prefix);
    const delayMs = promptPollAt + PROMPT_POLL_MS - this.#options.clock.now();
    if (delayMs > 0) await utils.waitFor(delayMs);
  }

  async #pollStore(prefix: string, options: PollOptions): Promise<Polled> {
    const sentAt = this.#options.clock.now();
    const polled = await this.#options.feed.pollChanges(prefix, options);
    const answerMs = this.#options.clock.now() - sentAt - options.waitMs;
    if (polled.ok && answerMs >= 0) this.#answerTimes.record(answerMs);
    if (polled.ok) this.#apply(prefix, { changes: polled.val, sentAt });
    return polled;
  }

  /** Whether the last response from the store, for any prefix, is recent. */
  #isFresh(): boolean {
    return this.#getRemainingFreshMs() >= 0;
  }

  /** Returns the time for which that response remains recent, in ms; negative if it is not. */
  #getRemainingFreshMs(): number {
    const currentAsOf = Math.max(
      ...[...this.#prefixes.values()].map(({ cache }) => cache.currentAsOf),
    );
    return currentAsOf + MAX_RELAY_AGE_MS - this.#options.clock.now();
  }

  #setAll(
    prefix: string,
    { snapshot, sentAt }: {
      readonly snapshot: store.PrefixSnapshot;
      readonly sentAt: number;
    },
  ): void {
    const { cache, listeners } = this.#getPrefix(prefix);
    cache.setAll(snapshot, sentAt - (snapshot.ageMs ?? 0));
    listeners.forEach((wake) => wake());
  }

  #apply(
    prefix: string,
    { changes, sentAt }: {
      readonly changes: store.Changes;
      readonly sentAt: number;
    },
  ): void {
    const { cache, listeners } = this.#getPrefix(prefix);
    // Changes apply only to a copy that has been read in full once.
    if (!Number.isFinite(cache.currentAsOf)) return;
    cache.apply(changes, sentAt - (changes.ageMs ?? 0));
    if (changes.changes.length > 0) listeners.forEach((wake) => wake());
  }

  #getPrefix(prefix: string): WatchedPrefix {
    const known = this.#prefixes.get(prefix);
    if (known !== undefined) return known;
    const watched = {
      cache: new store.PrefixCache(),
      failures: 0,
      promptPollAt: Number.NEGATIVE_INFINITY,
      listeners: new Set<() => void>(),
    };
    this.#prefixes.set(prefix, watched);
    return watched;
  }

  /** Waits until a condition is met that depends on changes and on the age of the last response from the store. */
  async #waitUntil(
    prefix: string,
    { isMet, waitMs }: {
      readonly isMet: () => boolean;
      readonly waitMs: number;
    },
  ): Promise<void> {
    if (isMet()) return;
    const { listeners } = this.#getPrefix(prefix);
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        clearTimeout(recheckTimer);
        listeners.delete(wake);
        resolve();
      };
      const wake = () => {
        if (isMet()) end();
      };
      const recheck = () => {
        if (isMet()) return end();
        recheckTimer = setTimeout(
          recheck,
          Math.max(0, this.#getRemainingFreshMs()) + 1,
        );
      };
      const timer = setTimeout(end, waitMs);
      let recheckTimer: NodeJS.Timeout;
      recheck();
      listeners.add(wake);
    });
  }
}

function buildHistoryError(): utils.StepError {
  return utils.createStepError("not_found", {
    step: "relay.pollChanges",
    peer: "relay",
    message:
      "The relay's change history no longer reaches back to the given revision; read the prefix in full.",
  });
}
