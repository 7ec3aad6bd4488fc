/**
 * What hosts tell each other: that they live, what they serve and what they
 * counted. A host tells its relay. The relay publishes the statuses of all its
 * followers in one entry of the store, under a lease, so that what a host
 * counted outlasts both; and it exchanges sums of them with the other relays.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as relayTask from "./relay_task.ts";

/** Prefix of the entries. */
const PREFIX = "banyangrade/hosts/";
/** Length of a round, in ms; also what a host that is killed loses of its counts. */
const ROUND_MS = 1_000;
/** Time until the first round, in ms: the relay is found by then, and until it this host does not know how many share the retry budget. */
const FIRST_ROUND_MS = 300;
/** Rounds after which a host without a role looks at the entries: for relays that are new. */
const ROUNDS_PER_LOOK = 4;
/** Tries to publish in one round: after the entry and its lease have both gone. */
const PUBLISH_TRIES = 3;
/** Time since its last publication for which a relay says that it publishes, in ms: two rounds and a slow call. */
const PUBLISHES_MS = 2_500;
/** Between two renewals of the entry's lease, in ms. */
const RENEW_MS = 4_000;

/** What one entry of the store holds. */
interface PublishedStatuses {
  /** How other relays reach the host that published it; absent if it is none. */
  readonly contact?: store.RoleContact;
  readonly statuses: readonly core.HostStatus[];
}

/** Options of {@link PresenceTask}. */
export interface PresenceOptions {
  readonly store: store.KeyValueClient;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly host: string;
  readonly incarnation: string;
  readonly relay: Pick<
    relayTask.RelayTask,
    "callRelay" | "callContact" | "getContact" | "closeIdle"
  >;
  readonly describe: () => core.HostStatus;
  /** Whether this host holds a role, for which it looks at the entries often. */
  readonly hasRole: () => boolean;
  /** How engines are divided, if this host decides it. */
  readonly getDivisions: () => core.DecidedDivisions | undefined;
  /** Told what is known of all other hosts. */
  readonly onOthers: (summary: core.HostsSummary) => void;
}

interface Received {
  readonly summary: core.HostsSummary;
  readonly at: number;
}

/** Tells of this host, and hears of the others. */
export class PresenceTask {
  readonly #options: PresenceOptions;
  /** Own statuses and those of followers. */
  readonly #statuses = new core.HostStatuses();
  /** Other relays by address, and what they last summed up. */
  #contacts: readonly store.RoleContact[] = [];
  readonly #received = new Map<string, Received>();
  readonly #stops: (() => void)[] = [];
  #lease: string | undefined;
  #revision = 0;
  #publishedRound = Number.NEGATIVE_INFINITY;
  #publishedAt = Number.NEGATIVE_INFINITY;
  #published: readonly core.HostStatus[] = [];
  #round = 0;
  #readAt = Number.NEGATIVE_INFINITY;

  constructor(options: PresenceOptions) {
    this.#options = options;
  }

  start(): void {
    const first = setTimeout(() => this.#runRound(), FIRST_ROUND_MS);
    this.#stops.push(
      () => clearTimeout(first),
      utils.startInterval(ROUND_MS, () => this.#runRound()),
      utils.startInterval(RENEW_MS, () => this.#renew()),
    );
  }

  /** Tells the last counts; they stay until the lease ends. */
  async stop(): Promise<void> {
    this.#stops.splice(0).forEach((stop) => stop());
    this.#takeOwn();
    const answer = await this.#reportToRelay();
    if (answer?.publishes) return;
    // There is no time to find out that the store is still away.
    const silent = this.#options.clock.now() - this.#publishedAt > PUBLISHES_MS;
    await Promise.all([
      this.#publish(),
      ...(silent ? [this.#forwardStatuses()] : []),
    ]);
  }

  /**
   * The statuses of all hosts as last published, the newest of each process;
   * those of earlier processes included, whose counts still stand.
   */
  listPublished(): readonly core.HostStatus[] {
    return this.#published;
  }

  /** Monotonic time at which they were read; before the first time, none is. */
  getReadAt(): number {
    return this.#readAt;
  }

  /** Takes a follower's statuses, its own first, and says what is known of the others. */
  takeStatuses(statuses: readonly core.HostStatus[]): peer.ReportAnswer {
    const now = this.#options.clock.now();
    statuses.forEach((status, index) =>
      this.#statuses.take(status, { now, direct: index === 0 })
    );
    return {
      others: this.#sumOthers({ without: statuses[0]?.host ?? "" }),
      publishes: now - this.#publishedAt <= PUBLISHES_MS,
    };
  }

  /** Hosts that follow the store itself, as far as they are known: the relays. */
  countRelays(): number {
    return this.#contacts.length + 1;
  }

  /** Sums up this host and its followers, for other relays. */
  getSummary(): core.HostsSummary {
    const sum = this.#statuses.sum(this.#options.clock.now());
    return { ...sum, ...this.#describeDivisions() };
  }

  #describeDivisions(): Pick<core.HostsSummary, "divisions"> {
    const divisions = this.#options.getDivisions();
    return divisions === undefined ? {} : { divisions };
  }

  async #runRound(): Promise<void> {
    const { hasRole, relay, host } = this.#options;
    this.#round += 1;
    this.#takeOwn();
    const answer = await this.#reportToRelay();
    // Before any call to the store, which may take long: times grow old.
    if (answer !== undefined) this.#options.onOthers(answer.others);
    // A relay that has just started publishes a moment later.
    const isEarly = answer !== undefined && this.#round === 1;
    if (!answer?.publishes && !isEarly) await this.#publish();
    const looks = answer === undefined && this.#round % ROUNDS_PER_LOOK === 1;
    if (looks || hasRole()) await this.#readPublished();
    if (answer !== undefined) return;
    if (relay.getContact() !== undefined) await this.#askRelays();
    this.#options.onOthers(this.#sumOthers({ without: host }));
    relay.closeIdle();
  }

  #takeOwn(): void {
    const { clock, describe } = this.#options;
    this.#statuses.take(describe(), { now: clock.now(), direct: true });
  }

  /** Tells the relay; undefined if there is none that answers. */
  #reportToRelay(): Promise<peer.ReportAnswer | undefined> {
    const statuses = [this.#options.describe()];
    return this.#options.relay.callRelay({
      step: "relay.report",
      run: (client, signal) => client.report.mutate(statuses, { signal }),
    });
  }

  /**
   * Gives the statuses to any other relay. The store turns this host away while it
   * serves others: what it and its followers counted would be missing from a
   * usage window that is fixed meanwhile.
   */
  async #forwardStatuses(): Promise<void> {
    const { relay, clock, host } = this.#options;
    const statuses = this.#statuses.list(clock.now())
      .toSorted((a, b) => Number(b.host === host) - Number(a.host === host));
    for (const contact of this.#contacts) {
      const answer = await relay.callContact(contact, {
        step: "relay.forwardStatuses",
        run: (client, signal) => client.report.mutate(statuses, { signal }),
      });
      if (answer?.publishes) return;
    }
  }

  /** Asks the other relays for their sums, all at once. */
  async #askRelays(): Promise<void> {
    const { relay, clock } = this.#options;
    await Promise.all(this.#contacts.map(async (contact) => {
      const summary = await relay.callContact(contact, {
        step: "relay.summary",
        run: (client, signal) => client.summary.query(undefined, { signal }),
      });
      if (summary === undefined) return;
      this.#received.set(contact.address, { summary, at: clock.now() });
    }));
  }

  /**
   * Sums up what is known of all hosts but one. Hosts of a failure domain that
   * is out of reach still share what all hosts share, so their number counts on.
   */
  #sumOthers(options: { readonly without: string }): core.HostsSummary {
    const now = this.#options.clock.now();
    [...this.#received].filter(([, { at }]) => now - at > core.KEEP_STATUS_MS)
      .forEach(([address]) => this.#received.delete(address));
    const sum = core.mergeSummaries([
      this.#statuses.sum(now, options),
      ...[...this.#received.values()].map(({ summary, at }) =>
        core.dropOldWork(summary, now - at)
      ),
    ]);
    return {
      ...sum,
      ...this.#describeDivisions(),
      hosts: Math.max(sum.hosts, this.#countPublished() - 1),
    };
  }

  #countPublished(): number {
    const recent =
      this.#options.clock.now() - this.#readAt <= core.KEEP_STATUS_MS;
    return recent ? core.listCurrentStatuses(this.#published).length : 0;
  }

  /** Publishes; once more at once where the entry or its lease had gone. */
  async #publish(): Promise<void> {
    const { clock } = this.#options;
    this.#publishedRound = this.#round;
    const sentAt = clock.now();
    let left = PUBLISH_TRIES;
    while (left > 0 && !await this.#tryPublish()) left -= 1;
    if (this.#publishedAt < sentAt) await this.#forwardStatuses();
  }

  /** Tries once; false if another try may succeed at once. */
  async #tryPublish(): Promise<boolean> {
    const { store: client, host, incarnation, clock, relay } = this.#options;
    if (this.#lease === undefined) {
      const granted = await client.grantLease(core.KEEP_STATUS_MS / 1_000);
      if (granted.err) return this.#recordFailure(granted.val);
      this.#lease = granted.val;
    }
    const contact = relay.getContact();
    const published: PublishedStatuses = {
      ...(contact && { contact }),
      statuses: this.#statuses.list(clock.now()),
    };
    const swapped = await client.swap({
      key: `${PREFIX}${host}/${incarnation}`,
      expected: this.#revision,
      value: JSON.stringify(published),
      lease: this.#lease,
    });
    if (swapped.err) return this.#recordFailure(swapped.val);
    // An earlier write whose answer was lost took effect, or the entry went
    // with its lease: the next round goes on from what there is.
    const won = swapped.val.kind === "won";
    this.#revision = swapped.val.kind === "won"
      ? swapped.val.modRevision
      : swapped.val.current?.modRevision ?? 0;
    if (won) this.#publishedAt = clock.now();
    return won;
  }

  /** Renews the entry's lease while this host publishes; else the entry may go. */
  async #renew(): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined) return;
    if (this.#round - this.#publishedRound > ROUNDS_PER_LOOK) {
      return this.#drop();
    }
    const renewed = await this.#options.store.renewLease(lease);
    if (renewed.ok && !renewed.val && this.#lease === lease) this.#drop();
  }

  /** The lease has ended, and the entry with it. */
  #drop(): void {
    this.#lease = undefined;
    this.#revision = 0;
  }

  async #readPublished(): Promise<void> {
    const sentAt = this.#options.clock.now();
    const listed = await this.#options.store.list(PREFIX);
    if (listed.err) return void this.#recordFailure(listed.val);
    const own = `${PREFIX}${this.#options.host}/${this.#options.incarnation}`;
    const published = listed.val.map(({ key, value }) => ({
      key,
      ...utils.parseJson(value) as PublishedStatuses | undefined,
    }));
    this.#published = keepNewest(
      published.flatMap(({ statuses = [] }) => statuses),
    );
    this.#contacts = published.flatMap(({ key, contact }) =>
      contact === undefined || key === own ? [] : [contact]
    );
    this.#readAt = sentAt;
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

/** Keeps the newest status of each process: a host that changed its relay stands in two entries. */
function keepNewest(statuses: readonly core.HostStatus[]): core.HostStatus[] {
  const newest = new Map<string, core.HostStatus>();
  statuses.forEach((status) => {
    const key = `${status.host}/${status.incarnation}`;
    if ((newest.get(key)?.at ?? -Infinity) < status.at) newest.set(key, status);
  });
  return [...newest.values()];
}
