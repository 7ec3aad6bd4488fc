/**
 * The configuration in force at this host. Relays read and watch the store's
 * log; the other hosts take deltas from peers. A revision only ever grows.
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
  /** Told of each new configuration, and of the keys it no longer holds. */
  readonly onChange: (
    configuration: core.Configuration,
    removedKeys: readonly string[],
  ) => void;
  /** Told the wall-clock time of a reading that found nothing newer. */
  readonly onConfirmed: (wall: number) => void;
}

/** Owns the configuration. */
export class ConfigTask {
  readonly #options: ConfigTaskOptions;
  #configuration: core.Configuration = core.EMPTY_CONFIGURATION;
  #changes: core.ConfigChange[] = [];
  #pulling = false;
  #reading = false;
  #stopWatch: (() => void) | undefined;
  #stops: (() => void)[] = [];

  constructor(options: ConfigTaskOptions) {
    this.#options = options;
  }

  get(): core.Configuration {
    return this.#configuration;
  }

  /** Takes the newest configuration from the first source that answers, then keeps up. */
  async start(seeds: readonly string[]): Promise<void> {
    for (const address of seeds) {
      if (this.#configuration.revision === 0) await this.pull(address);
    }
    if (this.#configuration.revision === 0) await this.#read();
    this.#stops = [
      utils.startInterval(constants.CONFIRM_MS, () => this.#keepUp()),
    ];
    await this.#keepUp();
  }

  stop(): void {
    this.#stops.forEach((stop) => stop());
    this.#stopWatch?.();
  }

  /** Returns what a host at `revision` is missing. */
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

  /** Takes what is missing from a host that is ahead. */
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
        this.#options.log.info({ address }, "Snapshot taken from a peer.");
        this.#set(core.loadSnapshot(delta.snapshot), []);
    }
  }

  /** Relays watch and read the log; a host that is no relay any more stops. */
  async #keepUp(): Promise<void> {
    if (!this.#options.isRelay()) {
      this.#stopWatch?.();
      this.#stopWatch = undefined;
      return;
    }
    this.#stopWatch ??= store.watchLog(
      this.#options.store,
      (event) => this.#handleWatch(event),
    );
    await this.#read();
  }

  #handleWatch(event: store.WatchEvent): void {
    switch (event.kind) {
      case "opened":
        return void this.#read();
      case "put":
        if (!this.#apply(store.parseChange(event.entry.value))) {
          void this.#read();
        }
        return;
      case "deleted":
        return;
      case "ended":
        setTimeout(() => {
          this.#stopWatch = undefined;
        }, constants.REWATCH_MS).unref();
    }
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
      this.#options.log.warn({ error: read.val }, "Store not read.");
      return;
    }
    this.#set(read.val.configuration, read.val.changes);
    this.#options.onConfirmed(readAt);
  }

  /** Applies one change; false if it does not follow what is known. */
  #apply(change: core.ConfigChange): boolean {
    const next = core.applyChange(this.#configuration, change);
    if (next.ok) this.#set(next.val, [change]);
    return next.ok || next.val === "stale";
  }

  /** The only place that replaces the configuration; it never goes back. */
  #set(
    next: core.Configuration,
    changes: readonly core.ConfigChange[],
  ): void {
    const { revision } = this.#configuration;
    if (next.revision <= revision) return;
    const removedKeys = [...this.#configuration.keys.keys()]
      .filter((name) => !next.keys.has(name));
    this.#configuration = next;
    // Changes that do not follow the kept ones would leave a gap in a delta.
    const follows = changes[0]?.revision === revision + 1;
    this.#changes = [...(follows ? this.#changes : []), ...changes]
      .slice(-constants.KEPT_CHANGES);
    this.#options.log.info({ revision: next.revision }, "Revision in force.");
    this.#options.onChange(next, removedKeys);
  }
}
