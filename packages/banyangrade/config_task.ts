/**
 * Keeps this host's configuration up to date. Relays read and watch the configuration log
 * in the store; other hosts pull deltas from their peers. The revision never decreases.
 */
import * as core from "@banyangrade/core";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";

/** Options of {@link ConfigTask}. */
export interface ConfigTaskOptions {
  readonly store: store.StoreClient;
  readonly clients: peer.PeerClients;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly isRelay: () => boolean;
  /** Called with each new configuration and the keys that it no longer contains. */
  readonly onChange: (
    configuration: core.Configuration,
    removedKeys: readonly string[],
  ) => void;
  /**
   * Called after each successful read of the store with the wall-clock time at which it
   * began; the configuration is at least as recent.
   */
  readonly onConfirmed: (wall: number) => void;
}

/** Owns the host's configuration. */
export class ConfigTask {
  readonly #options: ConfigTaskOptions;
  #configuration: core.Configuration = core.EMPTY_CONFIGURATION;
  #changes: core.ConfigChange[] = [];
  #pulling = false;
  #reading = false;
  #endWatch: (() => void) | undefined;
  #stops: (() => void)[] = [];

  constructor(options: ConfigTaskOptions) {
    this.#options = options;
  }

  get(): core.Configuration {
    return this.#configuration;
  }

  /** Loads the configuration from the first seed that answers, or else from the store, and then keeps it up to date. */
  async start(seeds: readonly string[]): Promise<void> {
    for (const address of seeds) {
      if (this.#configuration.revision === 0) await this.pull(address);
    }
    if (this.#configuration.revision === 0) await this.#read();
    this.#stops = [
      utils.startInterval({
        ms: constants.CONFIG_READ_MS,
        onError: utils.createErrorLog(this.#options.log, "config.poll"),
      }, () => this.#pollLog()),
    ];
    await this.#pollLog();
  }

  stop(): void {
    this.#stops.forEach((stop) => stop());
    this.#endWatch?.();
  }

  /** Returns the changes after `revision`, or a snapshot if they are no longer kept. */
  getDelta(revision: number): peer.ConfigDelta {
    const changes = this.#changes.filter((change) =>
      change.revision > revision
    );
    const complete = changes[0]?.revision === revision + 1;
    if (complete || revision >= this.#configuration.revision) {
      return { kind: "changes", changes };
    }
    return {
      kind: "snapshot",
      snapshot: core.buildSnapshot(this.#configuration),
    };
  }

  /** Pulls the missing changes from a host with a higher revision. */
  async pull(address: string): Promise<void> {
    if (this.#pulling) return;
    this.#pulling = true;
    const known = this.#configuration.revision;
    const delta = await this.#options.clients.call(
      { address, step: "peer.delta" },
      (client, signal) => client.delta.query(known, { signal }),
    );
    this.#pulling = false;
    if (delta.ok) this.#takeDelta(delta.val, address);
  }

  #takeDelta(delta: peer.ConfigDelta, address: string): void {
    switch (delta.kind) {
      case "changes":
        delta.changes.forEach((change) => this.#apply(change));
        return;
      case "snapshot":
        this.#options.log.info(
          { address },
          "Configuration snapshot received from a peer.",
        );
        this.#set(core.loadSnapshot(delta.snapshot), []);
    }
  }

  /** Reads the configuration log and makes sure that it is watched if this host is a relay; otherwise ends the watch. */
  async #pollLog(): Promise<void> {
    if (!this.#options.isRelay()) {
      this.#endWatch?.();
      this.#endWatch = undefined;
      return;
    }
    this.#endWatch ??= store.watchLog(
      this.#options.store,
      (event) => this.#handleWatch(event),
    );
    await this.#read();
  }

  #handleWatch(event: store.WatchEvent): void {
    switch (event.kind) {
      case "opened":
        return this.#readDetached();
      case "put":
        if (!this.#apply(store.parseChange(event.entry.value))) {
          this.#readDetached();
        }
        return;
      case "deleted":
        return;
      case "ended":
        setTimeout(() => {
          this.#endWatch = undefined;
        }, constants.WATCH_RETRY_MS).unref();
    }
  }

  #readDetached(): void {
    utils.runDetached(
      () => this.#read(),
      utils.createErrorLog(this.#options.log, "config.read"),
    );
  }

  async #read(): Promise<void> {
    if (this.#reading) return;
    this.#reading = true;
    const readAt = this.#options.clock.wall();
    const read = await store.readConfiguration(
      this.#options.store,
      this.#configuration,
    );
    this.#reading = false;
    if (read.err) {
      this.#options.log.warn(
        { error: read.val },
        "Reading the configuration from the store failed.",
      );
      return;
    }
    this.#set(read.val.configuration, read.val.changes);
    this.#options.onConfirmed(readAt);
  }

  /** Applies one change. Returns false if changes between the current revision and this one are missing. */
  #apply(change: core.ConfigChange): boolean {
    const next = core.applyChange(this.#configuration, change);
    if (next.ok) this.#set(next.val, [change]);
    return next.ok || next.val === "stale";
  }

  /** Replaces the configuration, unless the revision is not higher. */
  #set(
    next: core.Configuration,
    changes: readonly core.ConfigChange[],
  ): void {
    const { revision } = this.#configuration;
    if (next.revision <= revision) return;
    const removedKeys = [...this.#configuration.keys.keys()]
      .filter((name) => !next.keys.has(name));
    this.#configuration = next;
    // Kept changes are dropped if the new ones do not follow them directly: a delta
    // must have no gap.
    const follows = changes[0]?.revision === revision + 1;
    this.#changes = [...(follows ? this.#changes : []), ...changes]
      .slice(-constants.MAX_KEPT_CHANGES);
    this.#options.log.info(
      { revision: next.revision },
      "New configuration revision applied.",
    );
    this.#options.onChange(next, removedKeys);
  }
}
