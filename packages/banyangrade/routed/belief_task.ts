/**
 * What this host believes: the operators' configuration and the list of
 * backend servers. Each belief knows until when it is proved to have been
 * current, so that a host without word from the store stops serving keys that
 * may have been withdrawn.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import type * as utils from "@banyangrade/utils";
import type * as ports from "./ports.ts";

/**
 * Longest wait of one poll, in ms. Word from the store is at most this old
 * while all is well; well below half of the time within which a withdrawn key
 * must stop working.
 */
const POLL_WAIT_MS = 800;
/** The same for the list of servers, whose polls fail with those of the configuration. */
const SERVERS_WAIT_MS = 3_000;
/** Pause that gathers changes, in ms: a twentieth of the time in which one must be in force. */
const SETTLE_MS = 100;
/** Hosts that follow the store itself and share its rates with that pause for servers; more take a longer one. */
const HOSTS_PER_SETTLE = 16;
/** Longest pause for servers, in ms: a fifth of the time in which one may leave. */
const MAX_SETTLE_MS = 400;
/**
 * Part of the withdrawal time for which a proof is good; the rest covers the
 * way to the server and what the process is late. A smaller part refuses
 * callers while another host could not serve them either: at 0.7, an outage of
 * the store cost every keyed request from its second second on.
 */
const PROOF_SHARE = 0.9;
/** Part of it for which the host calls itself ready; above the age that a proof reaches between two polls. */
const READY_SHARE = 0.7;
/** Between two looks at servers whose entries are missing, in ms. */
const EXPIRE_MS = 200;

/** Options of {@link BeliefTask}. */
export interface BeliefOptions {
  readonly platform: ports.Platform;
  readonly feed: store.FeedClient;
  /** Counts suspensions, so that a proof does not outlast one. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly withdrawMs: number;
  /** Time within which a leaving server must get no more work, in ms. */
  readonly leaveMs: number;
  /** Hosts that follow the store itself. */
  readonly countHosts: () => number;
  readonly onConfiguration: (table: core.RouteTable) => void;
  readonly onServers: (servers: readonly core.ListedServer[]) => void;
  /** Told the failure domains that are emptied, or no longer. */
  readonly onEvacuations: (changed: readonly string[]) => void;
}

/** Follows the store and keeps what was read. */
export class BeliefTask {
  readonly #options: BeliefOptions;
  readonly #proof = new core.Proof();
  readonly #list: core.ServerList;
  readonly #evacuations = new core.Evacuations();
  readonly #stops: (() => void)[] = [];
  #table: core.RouteTable | undefined;
  #revision = 0;
  #listed = false;
  #expiry: NodeJS.Timeout | undefined;
  #reachable = true;

  constructor(options: BeliefOptions) {
    this.#options = options;
    this.#list = new core.ServerList(options);
  }

  /** Starts following both prefixes. */
  start(): void {
    const { platform, feed, clock } = this.#options;
    this.#stops.push(
      store.watchPrefix({
        feed,
        clock,
        prefix: platform.operatorPrefix,
        waitMs: POLL_WAIT_MS,
        getSettleMs: () => SETTLE_MS,
        onEvent: (event) => this.#takeOperators(event),
      }),
      store.watchPrefix({
        feed,
        clock,
        prefix: platform.serversPrefix,
        waitMs: SERVERS_WAIT_MS,
        getSettleMs: () =>
          Math.min(
            MAX_SETTLE_MS,
            SETTLE_MS *
              Math.ceil(this.#options.countHosts() / HOSTS_PER_SETTLE),
          ),
        onEvent: (event) => this.#takeServers(event),
      }),
      () => clearTimeout(this.#expiry),
    );
  }

  stop(): void {
    this.#stops.splice(0).forEach((stop) => stop());
  }

  /** The configuration in force; undefined before the first one was read. */
  getTable(): core.RouteTable | undefined {
    return this.#table;
  }

  /** Whether keys may be relied on: no withdrawal can be older than allowed. */
  isProved(): boolean {
    return this.#getAge() <= PROOF_SHARE * this.#options.withdrawMs;
  }

  /** Whether new connections do well to come here. */
  isReady(): boolean {
    return this.#table !== undefined && this.#listed &&
      this.#getAge() <= READY_SHARE * this.#options.withdrawMs;
  }

  /** Age of the last proof in ms, for logs and metrics. */
  getAge(): number {
    return Math.round(this.#getAge());
  }

  listServers(): readonly core.ListedServer[] {
    return this.#list.list();
  }

  /** Whether operators have a failure domain emptied. */
  isEvacuated(failureDomain: string): boolean {
    return this.#evacuations.has(failureDomain);
  }

  #getAge(): number {
    return this.#proof.getAge(this.#options.clock.now());
  }

  #takeOperators(event: store.FeedEvent): void {
    switch (event.kind) {
      case "failed":
        return this.#recordFailure(event.error);
      case "replaced":
        event.entries.forEach((entry) => this.#takeConfig(entry));
        this.#setEvacuations(event);
        return this.#confirm(event.sentAt);
      case "changed":
        event.changes.forEach((change) => {
          if (change.kind === "put") this.#takeConfig(change.entry);
        });
        this.#applyEvacuations(event.changes);
        return this.#confirm(event.sentAt);
    }
  }

  #takeConfig(entry: store.StoreEntry): void {
    const isConfig = entry.key === this.#options.platform.configurationKey;
    if (isConfig) this.#applyConfig(entry);
  }

  #setEvacuations(
    { entries, revision }: Extract<store.FeedEvent, { kind: "replaced" }>,
  ): void {
    const evacuated = new Map(
      entries.flatMap(({ key, modRevision }) => {
        const failureDomain = this.#readEvacuated(key);
        return failureDomain === undefined
          ? []
          : [[failureDomain, modRevision] as const];
      }),
    );
    this.#tellEvacuations(this.#evacuations.setAll(evacuated, revision));
  }

  #applyEvacuations(changes: readonly store.Change[]): void {
    const changed = changes.flatMap((change) => {
      const evacuated = change.kind === "put";
      const { key, modRevision } = change.kind === "put"
        ? change.entry
        : change;
      const failureDomain = this.#readEvacuated(key);
      if (failureDomain === undefined) return [];
      const order = { failureDomain, evacuated, revision: modRevision };
      return this.#evacuations.apply(order) ? [failureDomain] : [];
    });
    this.#tellEvacuations(changed);
  }

  /** The failure domain that an entry of the operators empties, if it does. */
  #readEvacuated(key: string): string | undefined {
    const { evacuationPrefix } = this.#options.platform;
    return key.startsWith(evacuationPrefix)
      ? key.slice(evacuationPrefix.length)
      : undefined;
  }

  #tellEvacuations(changed: readonly string[]): void {
    if (changed.length === 0) return;
    this.#options.log.info(
      { changed, evacuated: this.#evacuations.list() },
      "Evacuations changed.",
    );
    this.#options.onEvacuations(changed);
  }

  #confirm(sentAt: number): void {
    this.#proof.confirm(sentAt);
    this.#recordReachable();
  }

  /** Revisions only grow, so an answer that was overtaken changes nothing. */
  #applyConfig(entry: store.StoreEntry): void {
    if (entry.modRevision <= this.#revision) return;
    const { log, platform } = this.#options;
    const parsed = platform.parseConfiguration(entry.value);
    const revision = entry.modRevision;
    if (parsed.err) {
      log.error({ revision, error: parsed.val }, "Configuration unreadable.");
      return;
    }
    this.#revision = revision;
    this.#table = core.buildRouteTable(parsed.val);
    const { version, routes } = parsed.val;
    log.info(
      { revision, version, routes: routes.length },
      "Configuration in force.",
    );
    this.#options.onConfiguration(this.#table);
  }

  #takeServers(event: store.FeedEvent): void {
    this.#applyServers(event);
    this.#scheduleExpiry();
  }

  #applyServers(event: store.FeedEvent): void {
    const now = this.#options.clock.now();
    switch (event.kind) {
      case "failed":
        this.#list.recordOutage(now);
        return this.#recordFailure(event.error);
      case "replaced": {
        const servers = event.entries.flatMap((entry) =>
          this.#parseServer(entry)
        );
        this.#list.setAll(servers, now);
        this.#listed = true;
        return this.#tellServers("read in full");
      }
      case "changed":
        if (event.changes.length === 0) return;
        event.changes.forEach((change) => this.#applyChange(change, now));
        return this.#tellServers("changed");
    }
  }

  #applyChange(change: store.Change, now: number): void {
    if (change.kind === "deleted") {
      return this.#list.remove(this.#getServerId(change.key), now);
    }
    this.#parseServer(change.entry).forEach((server) => this.#list.put(server));
  }

  #getServerId(key: string): string {
    return key.slice(this.#options.platform.serversPrefix.length);
  }

  #parseServer(entry: store.StoreEntry): core.ListedServer[] {
    const parsed = this.#options.platform.parseServer(entry);
    if (parsed.ok) return [parsed.val];
    this.#options.log.warn(
      { key: entry.key, error: parsed.val },
      "Server entry unreadable.",
    );
    return [];
  }

  #expire(): void {
    this.#expiry = undefined;
    if (this.#list.expire(this.#options.clock.now())) {
      this.#tellServers("did not return");
    }
    this.#scheduleExpiry();
  }

  /** Has the list looked at again while entries are missing. */
  #scheduleExpiry(): void {
    if (this.#expiry !== undefined || !this.#list.hasMissing()) return;
    this.#expiry = setTimeout(() => this.#expire(), EXPIRE_MS).unref();
  }

  #tellServers(reason: string): void {
    const servers = this.#list.list();
    const ready = servers.filter((one) => one.state === "ready").length;
    this.#options.log.info(
      { reason, servers: servers.length, ready },
      "Servers known.",
    );
    this.#options.onServers(servers);
  }

  #recordFailure(error: utils.StepError): void {
    if (!this.#reachable) return;
    this.#reachable = false;
    this.#options.log.warn(
      { error, proofAgeMs: this.getAge() },
      "Store lost.",
    );
  }

  #recordReachable(): void {
    if (this.#reachable) return;
    this.#reachable = true;
    this.#options.log.info("Store regained.");
  }
}
