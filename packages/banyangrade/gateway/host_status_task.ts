/**
 * Exchanges host statuses: heartbeats with the load and the usage counts of each
 * host. A host reports to its relay. The relay publishes the statuses of all its
 * followers in one entry of the store under a lease, so that usage counts outlast
 * both the host and the relay. Relays also exchange summaries with each other.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as invalidEntries from "./invalid_entries.ts";
import * as publishedStatuses from "./published_statuses.ts";
import type * as relayTask from "./relay_task.ts";

/** Key prefix of the published statuses. */
const PREFIX = "banyangrade/hosts/";
/** Largest entry that is read, in bytes; a relay publishes the statuses of all hosts of its failure domain. */
const MAX_PUBLISHED_BYTES = 1024 * 1024;
/** Interval between rounds, in ms; a host that is killed loses the usage counts of at most one round, without a relay those since its last publication. */
const ROUND_MS = 1_000;
/**
 * Delay of the first round, in ms. It is long enough to find the relay, and short
 * because the host does not know until then how many hosts share the retry budget.
 */
const FIRST_ROUND_MS = 300;
/** Number of rounds after which a host without a role reads the published statuses again, to find new relays. */
const ROUNDS_PER_READ = 4;
/** Attempts to publish in one round; enough if the lease and the entry have both expired. */
const PUBLISH_ATTEMPTS = 3;
/** Time since its last publication for which a relay counts as publishing, in ms; two rounds and a slow call. */
const RECENT_PUBLISH_MS = 2_500;
/** Longest time between the start of a round and its end one round later, in ms, with slow calls to the store. */
const LONG_ROUND_MS = 1_200;
/** Interval between renewals of the entry's lease, in ms. */
const RENEW_MS = 4_000;

/** Who told a host that started what other hosts knew. */
export type RecallSource =
  | "relay"
  /** Relays of other failure domains, or hosts' published statuses. */
  | "others"
  | "nobody";

/** Options of {@link HostStatusTask}. */
export interface HostStatusOptions {
  readonly store: store.KeyValueClient;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly random: utils.Random;
  readonly host: string;
  readonly incarnation: string;
  /** Number of failure domains of the deployment. */
  readonly failureDomains: number;
  readonly relay: Pick<
    relayTask.RelayTask,
    "callRelay" | "callContact" | "getContact" | "closeIdle"
  >;
  readonly describe: () => core.HostStatus;
  /** Lists marks of suspects for hosts that know none, with Unix times. */
  readonly listKnown: () => readonly core.SuspectMark[];
  /** Whether this host holds a control role and must read the published statuses in each round. */
  readonly hasRole: () => boolean;
  /** Returns how engines are divided between short and long prompts; undefined if another host decides it. */
  readonly getDivisions: () => core.EngineDivisionDecision | undefined;
  readonly failureDomain: string;
  /** Lists the brittle servers, each of which needs a sender. */
  readonly listBrittle: () => readonly core.BrittleServerInfo[];
  /** Describes the software versions of the services. */
  readonly describeVersions: () => core.PublishedViews;
  /** Called with the versions that the other processes published, in the first read that succeeds. */
  readonly onVersions: (published: readonly core.PublishedViews[]) => void;
  /** Called with what other hosts published of suspects, with Unix times. */
  readonly onEvidence: (evidence: core.SuspectEvidence) => void;
  /** Called for each version of an entry that describes no statuses. */
  readonly onInvalidEntry: (kind: invalidEntries.EntryKind) => void;
  /** Called with the summary of all other hosts. */
  readonly onSummary: (summary: core.HostsSummary) => void;
}

interface ReceivedSummary {
  readonly summary: core.HostsSummary;
  readonly at: number;
}

/** Reports the status of this host and collects those of the other hosts. */
export class HostStatusTask {
  readonly #options: HostStatusOptions;
  /** Statuses of this host and its followers. */
  readonly #statuses = new core.HostStatuses();
  readonly #invalid: invalidEntries.InvalidEntries;
  /** The other relays. */
  #contacts: readonly store.RoleContact[] = [];
  /** Last summary of each other relay, by address. */
  readonly #received = new Map<string, ReceivedSummary>();
  readonly #stops: (() => void)[] = [];
  #lease: string | undefined;
  #revision = 0;
  #publishedRound = Number.NEGATIVE_INFINITY;
  #publishedAt = Number.NEGATIVE_INFINITY;
  #published: readonly core.HostStatus[] = [];
  #round = 0;
  #readAt = Number.NEGATIVE_INFINITY;
  /** Largest number of hosts that is known since a relay last answered, this host included. */
  #hosts = 1;
  /** Time from which this host publishes without a relay. */
  #publishFrom = Number.NEGATIVE_INFINITY;
  #publishFailures = 0;
  /** Marks of suspects that this host knows, as of its last status. */
  #known: readonly core.SuspectMark[] = [];
  #recalled = false;
  /** What was read in the store of suspects and is not applied yet. */
  #evidence: core.SuspectEvidence = core.NO_EVIDENCE;
  /** Whether a relay did not answer, so that another one may have replaced it. */
  #hasLostRelay = false;

  /** Chooses the senders of brittle servers while this host is the relay. */
  readonly #chooser: core.SenderChooser;

  constructor(options: HostStatusOptions) {
    this.#options = options;
    this.#chooser = new core.SenderChooser(options);
    this.#invalid = new invalidEntries.InvalidEntries({
      log: options.log,
      onInvalid: options.onInvalidEntry,
    });
  }

  start(): void {
    const { log } = this.#options;
    const onError = utils.createErrorLog(log, "presence.round");
    const first = setTimeout(
      () => utils.runDetached(() => this.#runRound(), onError),
      FIRST_ROUND_MS,
    );
    this.#stops.push(
      () => clearTimeout(first),
      utils.startInterval({ ms: ROUND_MS, onError }, () => this.#runRound()),
      utils.startInterval(
        { ms: RENEW_MS, onError: utils.createErrorLog(log, "presence.renew") },
        () => this.#renewLease(),
      ),
    );
  }

  /**
   * Asks what other hosts know, before this host takes work or after it was cut off:
   * the relay, or if it has not asked since either, the published statuses and the
   * relays that these name.
   */
  async fetchShared(): Promise<RecallSource> {
    this.#recalled = false;
    this.#recordOwnStatus();
    const source = await this.#askForShared();
    // Followers that ask at the same time are told what has just arrived.
    this.#known = this.#options.listKnown();
    this.#recalled = true;
    return source;
  }

  async #askForShared(): Promise<RecallSource> {
    const answer = await this.#reportToRelay();
    if (answer !== undefined) this.#applyAnswer(answer);
    if (answer?.recalled) return "relay";
    await this.#readPublished();
    await this.#fetchSummaries();
    // Summaries bring the times of day of other hosts, by which those of marks are read.
    this.#applyOthers();
    this.#applyEvidence();
    const found = this.#received.size > 0 || this.#published.length > 0;
    return found ? "others" : "nobody";
  }

  #applyEvidence(): void {
    const evidence = this.#evidence;
    this.#evidence = core.NO_EVIDENCE;
    this.#options.onEvidence(evidence);
  }

  #applyAnswer({ others }: peer.ReportResponse): void {
    this.#hosts = others.hosts + 1;
    this.#options.onSummary(others);
  }

  #applyOthers(): void {
    const others = this.#sumOthers({ without: this.#options.host });
    this.#hosts = Math.max(this.#hosts, others.hosts + 1);
    this.#options.onSummary(others);
  }

  /** Reports the last usage counts; they stay in the store until the lease ends. */
  async stop(): Promise<void> {
    this.#stops.splice(0).forEach((stop) => stop());
    this.#recordOwnStatus();
    const answer = await this.#reportToRelay();
    if (answer?.publishes) return;
    // The store may be unreachable, and the grace period does not allow waiting
    // for a publication to fail before the statuses go to another relay.
    const isPublishStale =
      this.#options.clock.now() - this.#publishedAt > RECENT_PUBLISH_MS;
    await Promise.all([
      this.#publish(),
      ...(isPublishStale ? [this.#forwardStatuses()] : []),
    ]);
  }

  /**
   * Returns the last published status of each process of all hosts, including
   * earlier processes, whose usage counts remain valid.
   */
  listPublished(): readonly core.HostStatus[] {
    return this.#published;
  }

  /** Returns the monotonic time at which the published statuses were read; -Infinity before the first read. */
  getReadAt(): number {
    return this.#readAt;
  }

  /** Accepts the statuses that a follower reports, its own first, and returns the summary of the other hosts. */
  acceptStatuses(statuses: readonly core.HostStatus[]): peer.ReportResponse {
    const now = this.#options.clock.now();
    statuses.forEach((status, index) =>
      this.#statuses.record(status, { now, direct: index === 0 })
    );
    return {
      others: this.#sumOthers({ without: statuses[0]?.host ?? "" }),
      publishes: now - this.#publishedAt <= RECENT_PUBLISH_MS,
      recalled: this.#recalled,
    };
  }

  /** Counts the hosts that follow the store directly: the known relays, this host included. */
  countRelays(): number {
    return this.#contacts.length + 1;
  }

  /** Lists the other relays, as far as this host reads the published statuses. */
  listRelays(): readonly store.RoleContact[] {
    return this.#contacts;
  }

  /** Estimates the number of hosts of this failure domain, this host included. */
  countDomainHosts(): number {
    return Math.ceil(this.#hosts / this.#options.failureDomains);
  }

  /** Summarises this host and its followers for other relays. */
  getSummary(): core.HostsSummary {
    const sum = this.#statuses.sum(this.#options.clock.now());
    const senders = this.#chooseSenders();
    return {
      ...sum,
      suspects: core.mergeMarks([...sum.suspects, ...this.#known]),
      ...this.#describeDivisions(),
      ...(senders.length > 0 && { senders }),
      relayDomains: [this.#options.failureDomain],
    };
  }

  /** Chooses the senders of brittle servers among this host and its followers; none if it has no followers. */
  #chooseSenders(): core.SenderAssignment[] {
    const { clock, listBrittle, relay } = this.#options;
    const now = clock.now();
    const candidates = this.#statuses.listCandidates(now);
    const holdsLease = relay.getContact() !== undefined;
    if (!holdsLease && candidates.length < 2) return [];
    return this.#chooser.choose(listBrittle(), { candidates, holdsLease, now });
  }

  #describeDivisions(): Pick<core.HostsSummary, "divisions"> {
    const divisions = this.#options.getDivisions();
    return divisions === undefined ? {} : { divisions };
  }

  async #runRound(): Promise<void> {
    const { hasRole, relay } = this.#options;
    this.#round += 1;
    this.#recordOwnStatus();
    const answer = await this.#reportToRelay();
    // The summary is applied before any call to the store: such a call may take
    // long, and the times of the other hosts in the summary would be outdated.
    if (answer !== undefined) this.#applyAnswer(answer);
    // In the first round the relay may have just started and not have published.
    const isRelayStarting = answer !== undefined && this.#round === 1;
    if (answer?.publishes) this.#schedulePublication();
    else if (!isRelayStarting && this.#isPublicationDue()) {
      await this.#publish();
      this.#schedulePublication();
    }
    const readsPublished = answer === undefined && this.#isReadDue();
    if (readsPublished || hasRole()) await this.#readPublished();
    if (answer !== undefined) return;
    if (relay.getContact() !== undefined) await this.#fetchSummaries();
    this.#applyOthers();
    this.#applyEvidence();
    relay.closeIdle();
  }

  /** Whether the published statuses must be read to find the relays; in a restart these change each second. */
  #isReadDue(): boolean {
    const isRecent = this.#options.clock.now() - this.#readAt < ROUND_MS / 2;
    if (isRecent) return false;
    const isRelay = this.#options.relay.getContact() !== undefined;
    return (isRelay && this.#hasLostRelay) ||
      this.#round % ROUNDS_PER_READ === 1;
  }

  /** Whether this host must publish now; a relay publishes in each round. */
  #isPublicationDue(): boolean {
    const { relay, clock } = this.#options;
    return relay.getContact() !== undefined ||
      clock.now() >= this.#publishFrom;
  }

  /**
   * Schedules the next publication without a relay. The counts up to now are in the
   * store, or at a relay that publishes them. A publication waits for the next round,
   * which is therefore subtracted from the interval; the draw spreads hosts that
   * lose their relay together.
   */
  #schedulePublication(): void {
    const { clock, random } = this.#options;
    const intervalMs = core.computeIntervalWithoutRelay(
      this.countDomainHosts(),
    );
    const delayMs = this.#publishFailures > 0
      ? core.computeRetryDelay({
        failures: this.#publishFailures,
        drawn: random.next(),
      })
      : (intervalMs - LONG_ROUND_MS) * (1 + random.next()) / 2;
    this.#publishFrom = clock.now() + delayMs;
  }

  #recordOwnStatus(): void {
    const { clock, describe, listKnown } = this.#options;
    this.#known = listKnown();
    this.#statuses.record(describe(), { now: clock.now(), direct: true });
  }

  /** Reports to the relay; returns undefined if no relay answers. */
  #reportToRelay(): Promise<peer.ReportResponse | undefined> {
    const statuses = [this.#options.describe()];
    return this.#options.relay.callRelay({
      step: "relay.report",
      run: (client, signal) => client.report.mutate(statuses, { signal }),
      readState: ({ relay }) => relay === undefined ? {} : { successor: relay },
    });
  }

  /**
   * Forwards the statuses to any other relay when only this host cannot write to
   * the store. Without this, a usage window that is fixed meanwhile would miss the
   * usage counts of this host and its followers.
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

  /** Fetches the summaries of all other relays concurrently. */
  async #fetchSummaries(): Promise<void> {
    const { relay, clock } = this.#options;
    this.#hasLostRelay = false;
    await Promise.all(this.#contacts.map(async (contact) => {
      const summary = await relay.callContact(contact, {
        step: "relay.summary",
        run: (client, signal) => client.summary.query(undefined, { signal }),
      });
      if (summary === undefined) {
        this.#hasLostRelay = true;
        return;
      }
      this.#received.set(contact.address, { summary, at: clock.now() });
      this.#chooser.recordRelays(summary.relayDomains ?? [], clock.now());
    }));
  }

  /**
   * Summarises all hosts but one. Hosts of an unreachable failure domain still use
   * their share of the retry budget and the connections, so they are counted as
   * long as their published statuses are current.
   */
  #sumOthers(options: { readonly without: string }): core.HostsSummary {
    const now = this.#options.clock.now();
    [...this.#received].filter(([, { at }]) =>
      now - at > core.STATUS_RETENTION_MS
    )
      .forEach(([address]) => this.#received.delete(address));
    const sum = core.mergeSummaries([
      this.#statuses.sum(now, options),
      {
        ...core.EMPTY_SUMMARY,
        suspects: this.#known,
        senders: this.#chooseSenders(),
      },
      ...[...this.#received.values()].map(({ summary, at }) =>
        core.dropStaleLoad(summary, now - at)
      ),
    ]);
    return {
      ...sum,
      ...this.#describeDivisions(),
      ...(sum.senders && {
        senders: core.chooseSendersFor(options.without, sum.senders),
      }),
      contacts: core.chooseContacts(sum, now),
      hosts: Math.max(sum.hosts, this.#countPublished() - 1),
    };
  }

  #countPublished(): number {
    const recent =
      this.#options.clock.now() - this.#readAt <= core.STATUS_RETENTION_MS;
    return recent ? core.listCurrentStatuses(this.#published).length : 0;
  }

  /** Publishes the statuses; retries at once if the entry or its lease has expired. */
  async #publish(): Promise<void> {
    const { clock } = this.#options;
    this.#publishedRound = this.#round;
    const sentAt = clock.now();
    let attemptsLeft = PUBLISH_ATTEMPTS;
    while (attemptsLeft > 0 && !await this.#tryPublish()) attemptsLeft -= 1;
    const failed = this.#publishedAt < sentAt;
    this.#publishFailures = failed ? this.#publishFailures + 1 : 0;
    if (failed) await this.#forwardStatuses();
  }

  /** Makes one attempt to publish; returns false if an immediate retry may succeed. */
  async #tryPublish(): Promise<boolean> {
    const { store: client, host, incarnation, clock, relay } = this.#options;
    if (this.#lease === undefined) {
      const granted = await client.grantLease(core.STATUS_RETENTION_MS / 1_000);
      if (granted.err) return this.#recordFailure(granted.val);
      this.#lease = granted.val;
    }
    const contact = relay.getContact();
    const published: publishedStatuses.PublishedStatuses = {
      ...(contact && { contact }),
      versions: this.#options.describeVersions(),
      known: this.#known,
      statuses: this.#statuses.list(clock.now()),
    };
    const swapped = await client.swap({
      key: `${PREFIX}${host}/${incarnation}`,
      expected: this.#revision,
      value: JSON.stringify(published),
      lease: this.#lease,
    });
    if (swapped.err) return this.#recordFailure(swapped.val);
    // The swap conflicts if an earlier write took effect although its response was
    // lost, or if the entry expired with its lease. The retry starts from the
    // current revision.
    const won = swapped.val.kind === "won";
    this.#revision = swapped.val.kind === "won"
      ? swapped.val.modRevision
      : swapped.val.current?.modRevision ?? 0;
    if (won) this.#publishedAt = clock.now();
    return won;
  }

  /** Renews the entry's lease while this host publishes; otherwise lets the entry expire. */
  async #renewLease(): Promise<void> {
    const lease = this.#lease;
    if (lease === undefined) return;
    if (this.#round - this.#publishedRound > ROUNDS_PER_READ) {
      return this.#clearLease();
    }
    const renewed = await this.#options.store.renewLease(lease);
    if (renewed.ok && !renewed.val && this.#lease === lease) this.#clearLease();
  }

  /** Clears the lease after its end, which also deleted the entry. */
  #clearLease(): void {
    this.#lease = undefined;
    this.#revision = 0;
  }

  async #readPublished(): Promise<void> {
    const sentAt = this.#options.clock.now();
    const parsed = new Map<string, publishedStatuses.PublishedStatuses>();
    const { take } = new store.EntryIntake({
      getMaxValueBytes: () => MAX_PUBLISHED_BYTES,
      isUsable: (entry) => {
        const one = this.#parsePublished(entry);
        if (one !== undefined) parsed.set(entry.key, one);
        return one !== undefined;
      },
    });
    const listed = await this.#options.store.list(PREFIX, { take });
    if (listed.err) return void this.#recordFailure(listed.val);
    const published = listed.val.flatMap(({ key }) => {
      const one = parsed.get(key);
      return one === undefined ? [] : [{ key, ...one }];
    });
    const own = `${PREFIX}${this.#options.host}/${this.#options.incarnation}`;
    if (this.#readAt === Number.NEGATIVE_INFINITY) {
      this.#options.onVersions(
        published.flatMap(({ key, versions }) =>
          versions === undefined || key === own ? [] : [versions]
        ),
      );
    }
    this.#published = keepNewest(
      published.flatMap(({ statuses }) => statuses),
    );
    this.#evidence = core.mergeEvidence(
      published.filter(({ key }) => key !== own).flatMap((one) => [
        { ...core.NO_EVIDENCE, marks: one.known ?? [] },
        ...one.statuses.map(core.getEvidence),
      ]),
    );
    this.#contacts = published.flatMap(({ key, contact }) =>
      contact === undefined || key === own ? [] : [contact]
    );
    this.#readAt = sentAt;
  }

  /** Decodes an entry of another host; reports one that no host writes so. */
  #parsePublished(
    entry: store.StoreEntry,
  ): publishedStatuses.PublishedStatuses | undefined {
    const parsed = publishedStatuses.parsePublished(entry.value);
    if (parsed.ok) return parsed.val;
    const error = entry.omittedBytes === undefined
      ? parsed.val
      : invalidEntries.describeOmitted(entry.omittedBytes);
    this.#invalid.report(entry, { kind: "statuses", error });
    return undefined;
  }

  /**
   * Records a failed call of the store; returns false if the lease had ended. The
   * log level is low because the next round makes up for one failure, and a
   * lasting one is logged as an unreachable store.
   */
  #recordFailure(error: utils.StepError): boolean {
    this.#options.log.debug(
      { error },
      "Status round failed; the next round retries.",
    );
    if (error.code !== "not_found") return true;
    this.#clearLease();
    return false;
  }
}

/** Keeps the newest status of each process: a host that changed its relay appears in two entries. */
function keepNewest(statuses: readonly core.HostStatus[]): core.HostStatus[] {
  const newest = new Map<string, core.HostStatus>();
  statuses.forEach((status) => {
    const key = `${status.host}/${status.incarnation}`;
    if ((newest.get(key)?.at ?? -Infinity) < status.at) newest.set(key, status);
  });
  return [...newest.values()];
}
