/**
 * Follows the store through the relay while that has recent word, else by
 * itself; and keeps a copy of what it read, from which this host answers as a
 * relay. What a relay says counts as of the moment at which the read was sent
 * that proved it, so a chain of relays cannot pass an old belief for a new one.
 */
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as relayTask from "./relay_task.ts";

/**
 * Age of a relay's last word from the store, of any prefix, at which it does not
 * answer for it any more, in ms. While all is well it is at most two polls of
 * the configuration old. A relay that is cut off without notice is found out
 * 1.1 s later, while a change has to be in force after 2 s.
 */
const FRESH_MS = 1_900;
/**
 * Time for which the store is not asked again after it failed, in ms. A follower
 * hears of the store's return from its relay, which asks on. Where there is no
 * relay, as one that ends during an outage has no successor before the store is
 * back, the pause is shorter; without it every host of a failure domain asks five
 * times a second.
 */
const STORE_PAUSE_MS = { unready: 1_500, none: 600 };

/** Options of {@link RelayedFeed}. */
export interface RelayedFeedOptions {
  readonly feed: store.FeedClient;
  readonly relay: Pick<relayTask.RelayTask, "callRelay">;
  /** Counts suspensions, so that a proof does not outlast one. */
  readonly clock: utils.Clock;
}

type Polled = utils.Result<store.Changes, utils.StepError>;
type PollOptions = Parameters<store.FeedClient["pollChanges"]>[1];

/** What a relay has to say. */
type RelayPoll =
  | { readonly kind: "answered"; readonly polled: Polled }
  /** It has no recent word itself. */
  | { readonly kind: "unready" }
  /** There is no relay, or it does not answer. */
  | { readonly kind: "none" };

/** One prefix: the copy, and who waits for it to change. */
interface Followed {
  readonly cache: store.PrefixCache;
  /** Polls of the store that failed in a row. */
  failures: number;
  readonly wakes: Set<() => void>;
}

/** The store's feed, by way of the relay. */
export class RelayedFeed implements store.FeedClient {
  readonly #options: RelayedFeedOptions;
  readonly #followed = new Map<string, Followed>();
  /** Last failure of the store, unless it has answered since. */
  #failed: { readonly error: utils.StepError; readonly at: number } | undefined;

  constructor(options: RelayedFeedOptions) {
    this.#options = options;
  }

  async readAll(
    prefix: string,
  ): Promise<utils.Result<store.Snapshot, utils.StepError>> {
    const { clock, feed, relay } = this.#options;
    const sentAt = clock.now();
    const relayed = await relay.callRelay({
      step: "relay.readAll",
      run: (client, signal) => client.readAll.query(prefix, { signal }),
    });
    if (relayed?.kind === "snapshot") {
      this.#setAll(prefix, { snapshot: relayed, sentAt });
      return utils.Ok(relayed);
    }
    const askedAt = clock.now();
    const read = await feed.readAll(prefix);
    if (read.ok) this.#setAll(prefix, { snapshot: read.val, sentAt: askedAt });
    return read;
  }

  async pollChanges(prefix: string, options: PollOptions): Promise<Polled> {
    const relayed = await this.#pollRelay(prefix, options);
    if (relayed.kind === "answered") return relayed.polled;
    const pausing = this.#findPause(prefix, relayed.kind);
    if (pausing !== undefined) return utils.Err(pausing);
    const read = await this.#pollStore(prefix, options);
    this.#recordRead(prefix, read);
    return read;
  }

  /** The failure for which the store is left alone, if it is. */
  #findPause(
    prefix: string,
    relay: "unready" | "none",
  ): utils.StepError | undefined {
    const failed = this.#failed;
    const { clock } = this.#options;
    if (failed === undefined) return undefined;
    if (clock.now() - failed.at >= STORE_PAUSE_MS[relay]) return undefined;
    // One poll that is cut is no outage.
    const isOutage = relay === "unready" || this.#get(prefix).failures > 1;
    return isOutage ? failed.error : undefined;
  }

  #recordRead(prefix: string, read: Polled): void {
    const followed = this.#get(prefix);
    // A store that no longer has the history answers well.
    const error = read.err && read.val.code !== "not_found"
      ? read.val
      : undefined;
    followed.failures = error === undefined ? 0 : followed.failures + 1;
    this.#failed = error && { error, at: this.#options.clock.now() };
  }

  /** Answers a follower's call with the whole prefix. */
  answerReadAll(prefix: string): peer.RelayedSnapshot {
    const { cache } = this.#get(prefix);
    const ageMs = this.#options.clock.now() - cache.provedAt;
    if (!Number.isFinite(ageMs) || !this.#isFresh()) return { kind: "unready" };
    return { kind: "snapshot", ...cache.read(), ageMs };
  }

  /** Answers a follower's call as soon as there is a change, or at the end of its wait. */
  async answerPoll(
    { prefix, after, waitMs }: peer.PollMessage,
  ): Promise<peer.RelayedChanges> {
    const receivedAt = this.#options.clock.now();
    const { cache } = this.#get(prefix);
    const mayAnswer = () => Number.isFinite(cache.provedAt) && this.#isFresh();
    const hasNews = () => (cache.listSince(after)?.changes.length ?? 1) > 0;
    await this.#waitUntil(prefix, {
      holds: () => !mayAnswer() || hasNews(),
      waitMs,
    });
    if (!mayAnswer()) return { kind: "unready" };
    const changes = cache.listSince(after);
    if (changes === undefined) return { kind: "gone" };
    // By the arrival of the call, which the follower sent before: its own
    // reckoning from then cannot make the proof newer than it is.
    return {
      kind: "changes",
      ...changes,
      ageMs: receivedAt - cache.provedAt,
    };
  }

  async #pollRelay(
    prefix: string,
    { after, waitMs }: PollOptions,
  ): Promise<RelayPoll> {
    const sentAt = this.#options.clock.now();
    const message = { prefix, after, waitMs };
    const relayed = await this.#options.relay.callRelay({
      step: "relay.pollChanges",
      run: (client, signal) => client.pollChanges.query(message, { signal }),
      waitMs,
    });
    switch (relayed?.kind) {
      case undefined:
        return { kind: "none" };
      case "unready":
        return { kind: "unready" };
      case "gone":
        return { kind: "answered", polled: utils.Err(buildGone()) };
      case "changes":
        this.#apply(prefix, { changes: relayed, sentAt });
        return { kind: "answered", polled: utils.Ok(relayed) };
    }
  }

  async #pollStore(prefix: string, options: PollOptions): Promise<Polled> {
    const sentAt = this.#options.clock.now();
    const polled = await this.#options.feed.pollChanges(prefix, options);
    if (polled.ok) this.#apply(prefix, { changes: polled.val, sentAt });
    return polled;
  }

  /** Whether this host has recent word from the store, of any prefix. */
  #isFresh(): boolean {
    return this.#getFreshMs() >= 0;
  }

  /** Time for which its last word stays recent, in ms. */
  #getFreshMs(): number {
    const provedAt = Math.max(
      ...[...this.#followed.values()].map(({ cache }) => cache.provedAt),
    );
    return provedAt + FRESH_MS - this.#options.clock.now();
  }

  #setAll(
    prefix: string,
    { snapshot, sentAt }: {
      readonly snapshot: store.Snapshot;
      readonly sentAt: number;
    },
  ): void {
    const { cache, wakes } = this.#get(prefix);
    cache.setAll(snapshot, sentAt - (snapshot.ageMs ?? 0));
    wakes.forEach((wake) => wake());
  }

  #apply(
    prefix: string,
    { changes, sentAt }: {
      readonly changes: store.Changes;
      readonly sentAt: number;
    },
  ): void {
    const { cache, wakes } = this.#get(prefix);
    // Before its first full read it has nothing to which changes could apply.
    if (!Number.isFinite(cache.provedAt)) return;
    cache.apply(changes, sentAt - (changes.ageMs ?? 0));
    if (changes.changes.length > 0) wakes.forEach((wake) => wake());
  }

  #get(prefix: string): Followed {
    const known = this.#followed.get(prefix);
    if (known !== undefined) return known;
    const followed = {
      cache: new store.PrefixCache(),
      failures: 0,
      wakes: new Set<() => void>(),
    };
    this.#followed.set(prefix, followed);
    return followed;
  }

  /** Waits until something holds, which a change or the age of the last word can bring. */
  async #waitUntil(
    prefix: string,
    { holds, waitMs }: {
      readonly holds: () => boolean;
      readonly waitMs: number;
    },
  ): Promise<void> {
    if (holds()) return;
    const { wakes } = this.#get(prefix);
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        clearTimeout(looking);
        wakes.delete(wake);
        resolve();
      };
      const wake = () => {
        if (holds()) end();
      };
      const look = () => {
        if (holds()) return end();
        looking = setTimeout(look, Math.max(0, this.#getFreshMs()) + 1);
      };
      const timer = setTimeout(end, waitMs);
      let looking: NodeJS.Timeout;
      look();
      wakes.add(wake);
    });
  }
}

function buildGone(): utils.StepError {
  return utils.createStepError("not_found", {
    step: "relay.pollChanges",
    peer: "relay",
    message: "The relay no longer knows what has changed since.",
  });
}
