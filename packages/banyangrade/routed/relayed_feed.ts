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

/** Part of the withdrawal time at which a relay's word is too old and the store is asked as well. */
const STALE_SHARE = 0.5;
/** Wait of a call to the store beside a relay with old word, in ms: both are asked again soon. */
const BESIDE_WAIT_MS = 200;

/** Options of {@link RelayedFeed}. */
export interface RelayedFeedOptions {
  readonly feed: store.FeedClient;
  readonly relay: Pick<relayTask.RelayTask, "callRelay">;
  /** Counts suspensions, so that a proof does not outlast one. */
  readonly clock: utils.Clock;
  readonly withdrawMs: number;
}

type Polled = utils.Result<store.Changes, utils.StepError>;
type PollOptions = Parameters<store.FeedClient["pollChanges"]>[1];

/** One prefix: the copy, and who waits for it to change. */
interface Followed {
  readonly cache: store.PrefixCache;
  readonly wakes: Set<() => void>;
}

/** The store's feed, by way of the relay. */
export class RelayedFeed implements store.FeedClient {
  readonly #options: RelayedFeedOptions;
  readonly #followed = new Map<string, Followed>();
  /** Prefixes of which the relay's word was too old at the last call. */
  readonly #stale = new Set<string>();

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
    if (relayed?.kind === "snapshot" && !this.#isStale(relayed.ageMs)) {
      this.#setAll(prefix, { snapshot: relayed, sentAt });
      return utils.Ok(relayed);
    }
    const askedAt = clock.now();
    const read = await feed.readAll(prefix);
    if (read.ok) {
      this.#setAll(prefix, { snapshot: read.val, sentAt: askedAt });
    }
    return read;
  }

  async pollChanges(prefix: string, options: PollOptions): Promise<Polled> {
    if (!this.#stale.has(prefix)) {
      const relayed = await this.#pollRelay(prefix, options);
      if (relayed !== undefined) return relayed;
      return await this.#pollStore(prefix, options);
    }
    // An outage of the store, or only of the relay: whoever has word first.
    const [relayed, read] = await Promise.all([
      this.#pollRelay(prefix, options),
      this.#pollStore(prefix, { ...options, waitMs: BESIDE_WAIT_MS }),
    ]);
    return read.err && relayed !== undefined && !this.#stale.has(prefix)
      ? relayed
      : read;
  }

  /** Answers a follower's call with the whole prefix. */
  answerReadAll(prefix: string): peer.RelayedSnapshot {
    const { cache } = this.#get(prefix);
    const ageMs = this.#options.clock.now() - cache.provedAt;
    if (!Number.isFinite(ageMs)) return { kind: "unready" };
    return { kind: "snapshot", ...cache.read(), ageMs };
  }

  /** Answers a follower's call as soon as there is a change, or at the end of its wait. */
  async answerPoll(
    { prefix, after, waitMs }: peer.PollMessage,
  ): Promise<peer.RelayedChanges> {
    const receivedAt = this.#options.clock.now();
    const { cache } = this.#get(prefix);
    const hasNews = () => (cache.listSince(after)?.changes.length ?? 1) > 0;
    if (Number.isFinite(cache.provedAt) && !hasNews()) {
      await this.#waitForChange(prefix, { hasNews, waitMs });
    }
    if (!Number.isFinite(cache.provedAt)) return { kind: "unready" };
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
  ): Promise<Polled | undefined> {
    const sentAt = this.#options.clock.now();
    const message = { prefix, after, waitMs };
    const relayed = await this.#options.relay.callRelay({
      step: "relay.pollChanges",
      run: (client, signal) => client.pollChanges.query(message, { signal }),
      waitMs,
    });
    this.#stale.delete(prefix);
    switch (relayed?.kind) {
      case undefined:
      case "unready":
        return undefined;
      case "gone":
        return utils.Err(utils.createStepError("not_found", {
          step: "relay.pollChanges",
          peer: "relay",
          message: "The relay no longer knows what has changed since.",
        }));
      case "changes":
        if (this.#isStale(relayed.ageMs)) this.#stale.add(prefix);
        this.#apply(prefix, { changes: relayed, sentAt });
        return utils.Ok(relayed);
    }
  }

  async #pollStore(prefix: string, options: PollOptions): Promise<Polled> {
    const sentAt = this.#options.clock.now();
    const polled = await this.#options.feed.pollChanges(prefix, options);
    if (polled.ok) this.#apply(prefix, { changes: polled.val, sentAt });
    return polled;
  }

  #isStale(ageMs: number): boolean {
    return ageMs > STALE_SHARE * this.#options.withdrawMs;
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
      wakes: new Set<() => void>(),
    };
    this.#followed.set(prefix, followed);
    return followed;
  }

  async #waitForChange(
    prefix: string,
    { hasNews, waitMs }: {
      readonly hasNews: () => boolean;
      readonly waitMs: number;
    },
  ): Promise<void> {
    const { wakes } = this.#get(prefix);
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        wakes.delete(wake);
        resolve();
      };
      const wake = () => {
        if (hasNews()) end();
      };
      const timer = setTimeout(end, waitMs);
      wakes.add(wake);
    });
  }
}
