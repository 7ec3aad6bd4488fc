/**
 * What hosts tell each other through the store: that they live, what they
 * serve, and what they counted. Each host keeps one entry under a lease, so
 * that the counts of one that was killed outlast it for a while.
 */
import type * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

/** Prefix of the entries. */
const PREFIX = "banyangrade/hosts/";
/** Length of a round, in ms; also what a host that is killed loses of its counts. */
const ROUND_MS = 1_000;
/** Hosts of which each publishes in every round; with more, each does so more seldom, since all share the store's rates. */
const HOSTS_PER_ROUND = 24;
/** Publications after which a host without a role looks at the others. */
const ROUNDS_PER_LOOK = 4;
/** Tries to publish in one round: after the entry and its lease have both gone. */
const PUBLISH_TRIES = 3;
/** Length of the lease in seconds: three usage windows, in which a window is fixed even by a second holder of the role. */
const LEASE_SECONDS = 15;
/** Between two renewals, in ms. */
const RENEW_MS = 4_000;

/** What a host tells the others. */
export interface HostEntry {
  readonly host: string;
  readonly incarnation: string;
  /** Its own true time of day when it published this, Unix ms. */
  readonly at: number;
  /** Requests running and queued by service and length of prompt. */
  readonly demand: Readonly<Record<string, core.PromptDemand>>;
  readonly usage: core.WindowTable;
}

/**
 * Sums the demand of all hosts for a service.
 *
 * @example
 * sumDemand(entries, "planner").short; // 41
 */
export function sumDemand(
  entries: readonly HostEntry[],
  service: string,
): core.PromptDemand {
  return entries.reduce((sum, { demand }) => ({
    short: sum.short + (demand[service]?.short ?? 0),
    long: sum.long + (demand[service]?.long ?? 0),
  }), { short: 0, long: 0 });
}

/**
 * Keeps the newest entry of each host.
 *
 * @example
 * listCurrent(entries).length; // hosts
 */
export function listCurrent(entries: readonly HostEntry[]): HostEntry[] {
  const newest = new Map<string, HostEntry>();
  entries.forEach((entry) => {
    const known = newest.get(entry.host);
    if (known === undefined || known.at < entry.at) {
      newest.set(entry.host, entry);
    }
  });
  return [...newest.values()];
}

/** Options of {@link PresenceTask}. */
export interface PresenceOptions {
  readonly store: store.KeyValueClient;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly host: string;
  readonly incarnation: string;
  readonly describe: () => HostEntry;
  /** Whether this host holds a role, for which it looks at the others often. */
  readonly hasRole: () => boolean;
  readonly onEntries: (entries: readonly HostEntry[]) => void;
}

/** Publishes this host's entry and reads the others'. */
export class PresenceTask {
  readonly #options: PresenceOptions;
  readonly #stops: (() => void)[] = [];
  #lease: string | undefined;
  #revision = 0;
  #entries: readonly HostEntry[] = [];
  #round = 0;
  #readAt = Number.NEGATIVE_INFINITY;

  constructor(options: PresenceOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stops.push(
      utils.startInterval(ROUND_MS, () => this.#runRound()),
      utils.startInterval(RENEW_MS, () => this.#renew()),
    );
  }

  /** Publishes the last counts; they stay until the lease ends. */
  async stop(): Promise<void> {
    this.#stops.splice(0).forEach((stop) => stop());
    await this.#publish();
  }

  /**
   * The entries of all hosts as last read: the newest of each host, and older
   * ones of its earlier incarnations, whose counts still stand.
   */
  list(): readonly HostEntry[] {
    return this.#entries;
  }

  /** Time between two publications of a host, in ms. */
  getPublishMs(): number {
    const hosts = listCurrent(this.#entries).length;
    return ROUND_MS * Math.max(1, Math.ceil(hosts / HOSTS_PER_ROUND));
  }

  /** Monotonic time at which they were read; before the first time, none is. */
  getReadAt(): number {
    return this.#readAt;
  }

  async #runRound(): Promise<void> {
    const every = this.getPublishMs() / ROUND_MS;
    const round = this.#round;
    this.#round += 1;
    if (round % every === 0) await this.#publish();
    const looks = round % (ROUNDS_PER_LOOK * every) === 0;
    if (looks || this.#options.hasRole()) await this.#readOthers();
  }

  /** Publishes; once more at once where the entry or its lease had gone. */
  async #publish(): Promise<void> {
    for (let left = PUBLISH_TRIES; left > 0; left -= 1) {
      if (await this.#tryPublish()) return;
    }
  }

  /** Tries once; false if another try may succeed at once. */
  async #tryPublish(): Promise<boolean> {
    const { store: client, host, incarnation } = this.#options;
    if (this.#lease === undefined) {
      const granted = await client.grantLease(LEASE_SECONDS);
      if (granted.err) return this.#recordFailure(granted.val);
      this.#lease = granted.val;
    }
    const swapped = await client.swap({
      key: `${PREFIX}${host}/${incarnation}`,
      expected: this.#revision,
      value: JSON.stringify(this.#options.describe()),
      lease: this.#lease,
    });
    if (swapped.err) return this.#recordFailure(swapped.val);
    // An earlier write whose answer was lost took effect, or the entry went
    // with its lease: the next round goes on from what there is.
    this.#revision = swapped.val.kind === "won"
      ? swapped.val.modRevision
      : swapped.val.current?.modRevision ?? 0;
    return swapped.val.kind === "won";
  }

  async #renew(): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined) return;
    const renewed = await this.#options.store.renewLease(lease);
    if (renewed.ok && !renewed.val && this.#lease === lease) this.#drop();
  }

  /** The lease has ended, and the entry with it. */
  #drop(): void {
    this.#lease = undefined;
    this.#revision = 0;
  }

  async #readOthers(): Promise<void> {
    const sentAt = this.#options.clock.now();
    const listed = await this.#options.store.list(PREFIX);
    if (listed.err) return void this.#recordFailure(listed.val);
    this.#entries = listed.val.flatMap((entry) => {
      const parsed = utils.parseJson(entry.value) as HostEntry | undefined;
      return parsed === undefined ? [] : [parsed];
    });
    this.#readAt = sentAt;
    this.#options.onEntries(this.#entries);
  }

  /**
   * Records a failure; false if it was a lease that had ended. A failure that
   * lasts shows as a lost store, and one round is made good by the next.
   */
  #recordFailure(error: utils.StepError): boolean {
    this.#options.log.debug({ error }, "Round put off.");
    if (error.code !== "not_found") return true;
    this.#drop();
    return false;
  }
}
