/**
 * The host's copy of the cluster state in the store: the operators'
 * configuration and the list of backend servers. The copy records when it was
 * last confirmed to be current, so that a host that has lost the store stops
 * serving keys that may have been withdrawn.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as invalidEntries from "./invalid_entries.ts";
import type * as platformInterface from "./platform_interface.ts";

/**
 * Longest wait of one long poll for the configuration, in ms. It bounds the age
 * of the configuration while the store is reachable, and is well below half of
 * the time within which a withdrawn key must stop working.
 */
const CONFIG_POLL_WAIT_MS = 800;
/** Age up to which the last confirmation by the store shows that the list of servers is current, in ms; two polls and a slow call. */
const CURRENT_MS = 2_000;
/** Longest wait of one long poll for the list of servers, in ms; longer, as the polls for the configuration detect a lost store. */
const SERVERS_POLL_WAIT_MS = 3_000;
/** Delay after a change that batches further ones, in ms; a twentieth of the time within which a change must be applied. */
const BATCH_DELAY_MS = 100;
/** Number of hosts that follow the store directly up to which the server list uses that delay; more hosts lengthen it, to stay within the store's rate limits. */
const HOSTS_PER_BATCH_DELAY = 16;
/** Longest batching delay of the server list, in ms; a fifth of the time within which a leaving server must get no more work. */
const MAX_BATCH_DELAY_MS = 400;
/**
 * Share of the withdrawal time for which keys are served after the last
 * confirmation by the store. The rest covers the network latency to the server
 * and the event loop delay. With 0.7, every request with a key was refused from
 * the second second of a store outage on, although no other host could serve it.
 */
const KEYS_VALID_SHARE = 0.9;
/** Share of the withdrawal time for which the host reports itself ready; above the age that the last confirmation reaches between two polls. */
const READY_SHARE = 0.7;
/** Largest configuration that is read, in bytes. */
const MAX_CONFIG_BYTES = 2 * 1024 * 1024;
/** Interval between checks for servers whose missing entries have expired, in ms. */
const EXPIRY_CHECK_MS = 50;

/** Options of {@link ClusterStateTask}. */
export interface ClusterStateOptions {
  readonly platform: platformInterface.Platform;
  readonly feed: store.FeedClient;
  /** Includes the time for which the process was suspended, so that a confirmation ages meanwhile. */
  readonly clock: utils.Clock;
  readonly random: utils.Random;
  readonly log: utils.Logger;
  readonly withdrawMs: number;
  /** Time within which a leaving server must get no more work, in ms. */
  readonly leaveMs: number;
  /** Counts the hosts that follow the store directly. */
  readonly countStoreReaders: () => number;
  /** Called when the store confirms the state again after an outage, also one of this host alone. */
  readonly onReachable: () => void;
  /** Called once, when the host has all parts of its first state. */
  readonly onFirstState: () => void;
  readonly onConfiguration: (table: core.RouteTable) => void;
  readonly onServers: (servers: readonly core.ListedServer[]) => void;
  /** Called with the failure domains whose evacuation began or ended. */
  readonly onEvacuations: (changed: readonly string[]) => void;
  /** Called for each version of an entry that this host cannot use. */
  readonly onInvalidEntry: (kind: invalidEntries.EntryKind) => void;
}

/** Follows the store and keeps a copy of the cluster state. */
export class ClusterStateTask {
  readonly #options: ClusterStateOptions;
  readonly #proof = new core.FreshnessTracker();
  readonly #servers: core.ServerList;
  readonly #evacuations = new core.Evacuations();
  readonly #invalid: invalidEntries.InvalidEntries;
  /** Servers of entries that were taken in and are still to be applied. */
  readonly #parsed = new WeakMap<store.StoreEntry, core.ListedServer>();
  readonly #stops: (() => void)[] = [];
  #table: core.RouteTable | undefined;
  #configRevision = 0;
  #serversLoaded = false;
  /** Whether the host has learned what other hosts know, or has given up asking. */
  #recalled = false;
  /** Whether the host has had all parts of its state, also if it has lost the store since. */
  #hadState = false;
  #expiry: NodeJS.Timeout | undefined;
  #reachable = true;

  constructor(options: ClusterStateOptions) {
    this.#options = options;
    this.#servers = new core.ServerList(options);
    this.#invalid = new invalidEntries.InvalidEntries({
      log: options.log,
      onInvalid: options.onInvalidEntry,
    });
  }

  /** Starts following the operators' entries and the servers' entries. */
  start(): void {
    const { platform, feed, clock, random, log } = this.#options;
    this.#stops.push(
      store.watchPrefix({
        feed,
        clock,
        random,
        prefix: platform.operatorPrefix,
        bounds: {
          getMaxValueBytes: (key) => this.#isConfig(key) ? MAX_CONFIG_BYTES : 0,
          isUsable: (entry) => this.#isOperatorEntry(entry),
        },
        onPage: () => this.#confirmConfig(),
        waitMs: CONFIG_POLL_WAIT_MS,
        getBatchDelayMs: () => BATCH_DELAY_MS,
        onEvent: (event) => this.#handleConfigEvent(event),
        onError: utils.createErrorLog(log, "belief.configuration"),
      }),
      store.watchPrefix({
        feed,
        clock,
        random,
        prefix: platform.serversPrefix,
        bounds: {
          isUsable: (entry) => this.#parseServer(entry).length > 0,
          onNoRoom: (entry) =>
            this.#invalid.report(entry, {
              kind: "server",
              error: "there is no room for more entries",
            }),
        },
        waitMs: SERVERS_POLL_WAIT_MS,
        getBatchDelayMs: () =>
          Math.min(
            MAX_BATCH_DELAY_MS,
            BATCH_DELAY_MS *
              Math.ceil(
                this.#options.countStoreReaders() / HOSTS_PER_BATCH_DELAY,
              ),
          ),
        onEvent: (event) => this.#handleServersEvent(event),
        onError: utils.createErrorLog(log, "belief.servers"),
      }),
      () => clearTimeout(this.#expiry),
    );
  }

  stop(): void {
    this.#stops.splice(0).forEach((stop) => stop());
  }

  /** Lets the host take work as soon as it has its state: it has asked what other hosts know. */
  recordRecall(): void {
    this.#recalled = true;
    this.#checkFirstState();
  }

  /** Returns the current configuration; undefined until it was read for the first time. */
  getTable(): core.RouteTable | undefined {
    return this.#table;
  }

  /**
   * Whether the host has had its configuration, its list of servers and a
   * confirmation of the store, all at the same time at least once, after it had
   * asked what other hosts know.
   */
  hasHadState(): boolean {
    return this.#hadState;
  }

  /** Whether keys may still be served: no withdrawal can have been missed for longer than allowed. */
  isFresh(): boolean {
    return this.#computeProofAge() <=
      KEYS_VALID_SHARE * this.#options.withdrawMs;
  }

  /** Whether the load balancer should send new connections to this host. */
  isReady(): boolean {
    return this.#hadState && this.#table !== undefined &&
      this.#computeProofAge() <= READY_SHARE * this.#options.withdrawMs;
  }

  /** Returns the time since the store last confirmed the state, in ms, for logs and metrics. */
  getProofAge(): number {
    return Math.round(this.#computeProofAge());
  }

  listServers(): readonly core.ListedServer[] {
    return this.#servers.list();
  }

  /** Whether the list of servers is as in the store: no entry is missing whose removal is not sure. */
  isListCurrent(): boolean {
    return !this.#servers.hasMissing() &&
      this.#computeProofAge() <= CURRENT_MS;
  }

  /** Whether a failure domain is being evacuated by the operators. */
  isEvacuated(failureDomain: string): boolean {
    return this.#evacuations.has(failureDomain);
  }

  #computeProofAge(): number {
    return this.#proof.getAge(this.#options.clock.now());
  }

  #handleConfigEvent(event: store.FeedEvent): void {
    switch (event.kind) {
      case "failed":
        return this.#recordFailure(event.error);
      case "replaced":
        event.entries.forEach((entry) => this.#handleConfigEntry(entry));
        this.#setEvacuations(event);
        return this.#recordProof(event.sentAt);
      case "changed":
        event.changes.forEach((change) => {
          if (change.kind === "put") this.#handleConfigEntry(change.entry);
        });
        this.#applyEvacuations(event.changes);
        return this.#recordProof(event.sentAt);
    }
  }

  #handleConfigEntry(entry: store.StoreEntry): void {
    if (this.#isConfig(entry.key)) this.#applyConfig(entry);
  }

  #isConfig(key: string): boolean {
    return key === this.#options.platform.configurationKey;
  }

  /**
   * Reads the configuration alone while the operators' prefix is read in pages, and no
   * poll confirms it. Another writer may put more there than is read within the time
   * for which keys are valid, and all keys would be refused meanwhile. A host that
   * starts waits for the whole prefix: it has to know the evacuations.
   */
  async #confirmConfig(): Promise<void> {
    const isDue = this.#computeProofAge() >= CONFIG_POLL_WAIT_MS;
    if (!this.#hadState || !isDue) return;
    const { platform, clock } = this.#options;
    const sentAt = clock.now();
    const read = await platform.store.get(platform.configurationKey);
    if (read.err || read.val === undefined) return;
    this.#applyConfig(read.val);
    this.#recordProof(sentAt);
  }

  /** Whether an entry of the operators is kept: the configuration, or an evacuation. */
  #isOperatorEntry(entry: store.StoreEntry): boolean {
    if (!this.#isConfig(entry.key)) {
      return this.#parseEvacuationKey(entry.key) !== undefined;
    }
    if (entry.omittedBytes === undefined) return true;
    this.#invalid.report(entry, {
      kind: "configuration",
      error: invalidEntries.describeOmitted(entry.omittedBytes),
    });
    return false;
  }

  #setEvacuations(
    { entries, revision }: Extract<store.FeedEvent, { kind: "replaced" }>,
  ): void {
    const evacuated = new Map(
      entries.flatMap(({ key, modRevision }) => {
        const failureDomain = this.#parseEvacuationKey(key);
        return failureDomain === undefined
          ? []
          : [[failureDomain, modRevision] as const];
      }),
    );
    this.#notifyEvacuations(this.#evacuations.setAll(evacuated, revision));
  }

  #applyEvacuations(changes: readonly store.Change[]): void {
    const changed = changes.flatMap((change) => {
      const evacuated = change.kind === "put";
      const { key, modRevision } = change.kind === "put"
        ? change.entry
        : change;
      const failureDomain = this.#parseEvacuationKey(key);
      if (failureDomain === undefined) return [];
      const evacuation = { failureDomain, evacuated, revision: modRevision };
      return this.#evacuations.apply(evacuation) ? [failureDomain] : [];
    });
    this.#notifyEvacuations(changed);
  }

  /** Returns the failure domain that an operators' entry evacuates; undefined for other entries. */
  #parseEvacuationKey(key: string): string | undefined {
    const { evacuationPrefix } = this.#options.platform;
    return key.startsWith(evacuationPrefix)
      ? key.slice(evacuationPrefix.length)
      : undefined;
  }

  #notifyEvacuations(changed: readonly string[]): void {
    if (changed.length === 0) return;
    this.#options.log.info(
      { changed, evacuated: this.#evacuations.list() },
      "Evacuated failure domains changed.",
    );
    this.#options.onEvacuations(changed);
  }

  #recordProof(sentAt: number): void {
    this.#proof.confirm(sentAt);
    this.#recordReachable();
    this.#checkFirstState();
  }

  /** Ignores a configuration that is not newer: responses of the store may arrive out of order. */
  #applyConfig(entry: store.StoreEntry): void {
    if (entry.modRevision <= this.#configRevision) return;
    const { log, platform } = this.#options;
    const parsed = platform.parseConfiguration(entry.value);
    const revision = entry.modRevision;
    if (parsed.err) {
      const error = parsed.val;
      return this.#invalid.report(entry, { kind: "configuration", error });
    }
    this.#configRevision = revision;
    this.#table = core.buildRouteTable(parsed.val);
    const { version, routes } = parsed.val;
    log.info(
      { revision, version, routes: routes.length },
      "Configuration applied.",
    );
    this.#options.onConfiguration(this.#table);
  }

  #handleServersEvent(event: store.FeedEvent): void {
    this.#applyServers(event);
    this.#scheduleExpiry();
    this.#checkFirstState();
  }

  #checkFirstState(): void {
    const isComplete = this.#table !== undefined && this.#serversLoaded &&
      this.#recalled && this.isFresh();
    if (this.#hadState || !isComplete) return;
    this.#hadState = true;
    this.#options.onFirstState();
  }

  #applyServers(event: store.FeedEvent): void {
    const now = this.#options.clock.now();
    switch (event.kind) {
      case "failed":
        this.#servers.recordOutage(now);
        return this.#recordFailure(event.error);
      case "replaced": {
        const servers = event.entries.flatMap((entry) =>
          this.#parseServer(entry)
        );
        this.#servers.setAll(servers, now);
        this.#serversLoaded = true;
        return this.#notifyServers("full read");
      }
      case "changed":
        if (event.changes.length === 0) return;
        event.changes.forEach((change) => this.#applyChange(change, now));
        return this.#notifyServers("changed");
    }
  }

  #applyChange(change: store.Change, now: number): void {
    if (change.kind === "deleted") {
      return this.#servers.remove(this.#getServerId(change.key), now);
    }
    const [server] = this.#parseServer(change.entry);
    // An entry that was overwritten by something else names no server any more.
    if (server !== undefined) return this.#servers.put(server);
    this.#servers.remove(this.#getServerId(change.entry.key), now);
  }

  #getServerId(key: string): string {
    return key.slice(this.#options.platform.serversPrefix.length);
  }

  #parseServer(entry: store.StoreEntry): core.ListedServer[] {
    const known = this.#parsed.get(entry);
    if (known !== undefined) return [known];
    const parsed = entry.omittedBytes === undefined
      ? this.#options.platform.parseServer(entry)
      : utils.Err(invalidEntries.describeOmitted(entry.omittedBytes));
    if (parsed.ok) {
      this.#parsed.set(entry, parsed.val);
      return [parsed.val];
    }
    this.#invalid.report(entry, { kind: "server", error: parsed.val });
    return [];
  }

  #expireServers(): void {
    this.#expiry = undefined;
    if (this.#servers.expire(this.#options.clock.now())) {
      this.#notifyServers("missing entries expired");
    }
    this.#scheduleExpiry();
  }

  /** Schedules the next expiry check while entries are missing. */
  #scheduleExpiry(): void {
    if (this.#expiry !== undefined || !this.#servers.hasMissing()) return;
    const { log } = this.#options;
    const onError = utils.createErrorLog(log, "belief.expire");
    this.#expiry = setTimeout(
      () => utils.runDetached(() => this.#expireServers(), onError),
      EXPIRY_CHECK_MS,
    ).unref();
  }

  #notifyServers(reason: string): void {
    const servers = this.#servers.list();
    const ready = servers.filter((one) => one.state === "ready").length;
    this.#options.log.info(
      { reason, servers: servers.length, ready },
      "Server list updated.",
    );
    this.#options.onServers(servers);
  }

  #recordFailure(error: utils.StepError): void {
    if (!this.#reachable) return;
    this.#reachable = false;
    this.#options.log.warn(
      { error, proofAgeMs: this.getProofAge() },
      "Store unreachable.",
    );
  }

  #recordReachable(): void {
    if (this.#reachable) return;
    this.#reachable = true;
    this.#options.log.info("Store reachable again.");
    this.#options.onReachable();
  }
}
