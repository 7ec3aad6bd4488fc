/**
 * The overlay of hosts: beats along the fingers of the ring, and with them
 * membership, the newest configuration, quarantine marks, withdrawn keys and
 * who holds which role. Relays, the first hosts by hash of each failure
 * domain, also beat to other failure domains.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import type * as protocol from "./protocol.ts";

/** Time between two beats, in ms. */
const BEAT_MS = 1_000;
/** Relays per failure domain. */
export const RELAY_COUNT = 2;
/** Beats with differing views before members are exchanged in full. */
const DIFFERENT_VIEWS = 3;
/** Time for which a change of roles is sent unasked, in ms. */
const ROLES_NEWS_MS = 3_000;
/** Most quarantine marks and withdrawn keys in one beat. */
const MARKS_LIMIT = 32;

/** Options of {@link Overlay}. */
export interface OverlayOptions {
  readonly self: core.Member;
  readonly failureDomain: string;
  readonly seeds: readonly protocol.Contact[];
  readonly clients: client.PeerClients;
  readonly clock: utils.Clock;
  readonly random: utils.Random;
  readonly log: utils.Logger;
  readonly getRevision: () => number;
  /** Told that another host is ahead. */
  readonly onAhead: (address: string) => void;
  readonly onMarks: (marks: readonly core.PoisonMark[]) => void;
  /** Told of fingerprints whose marks have all lapsed. */
  readonly onCleared: (fingerprints: readonly string[]) => void;
  readonly onWithdrawn: (keyIds: readonly string[]) => void;
  readonly beatMs?: number;
}

/** One host's part in the overlay. */
export class Overlay {
  readonly members: core.Membership;
  readonly #options: OverlayOptions;
  readonly #contacts = new Map<string, protocol.Contact>();
  readonly #roles = new Map<string, protocol.RoleNews>();
  readonly #marks = new core.MarkSet();
  readonly #withdrawn = new Set<string>();
  readonly #differing = new Map<string, number>();
  #rolesChangedAt = Number.NEGATIVE_INFINITY;
  #turn = 0;
  #confirmedAt = 0;
  #stop: () => void = () => undefined;

  constructor(options: OverlayOptions) {
    this.#options = options;
    this.members = new core.Membership(options.self);
    this.setContacts(options.seeds);
  }

  /** Starts beating, at once to every seed of the own failure domain. */
  start(): void {
    const { beatMs = BEAT_MS } = this.#options;
    this.#stop = utils.startInterval(beatMs, () => this.#sendBeats());
    void this.#sendBeatsTo(this.#listHome());
  }

  /** Says goodbye to the fingers and stops. */
  async leave(): Promise<void> {
    const fingers = this.members.listHeartbeatTargets();
    this.members.leave(this.#options.clock.now());
    await this.#sendBeatsTo(fingers);
    this.stop();
  }

  stop(): void {
    this.#stop();
  }

  /** Takes over hosts known from settings or the platform's list. */
  setContacts(contacts: readonly protocol.Contact[]): void {
    contacts.forEach((contact) => this.#contacts.set(contact.name, contact));
  }

  /** Forgets a host that did not answer, until it is heard of again. */
  dropContact(name: string): void {
    this.#contacts.delete(name);
  }

  /** Finds a host's peer address, whatever failure domain it stands in. */
  findAddress(name: string): string | undefined {
    return this.members.get(name)?.address ?? this.#contacts.get(name)?.address;
  }

  getConfirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Records that the newest revision was read from the store just now. */
  confirm(wall: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, wall);
  }

  getRole(role: string): protocol.RoleNews | undefined {
    return this.#roles.get(role);
  }

  listRoles(): protocol.RoleNews[] {
    return [...this.#roles.values()];
  }

  setRole(news: protocol.RoleNews): void {
    this.#mergeRoles([news]);
    this.spread();
  }

  countMarks(): number {
    return this.#marks.list().length;
  }

  addMark(mark: core.PoisonMark): void {
    this.#mergeMarks([mark]);
    this.spread();
  }

  addWithdrawn(keyId: string): void {
    this.#mergeWithdrawn([keyId]);
    this.spread();
  }

  isRelay(): boolean {
    return this.members.isRanked("relay", RELAY_COUNT);
  }

  /** Beats to the fingers at once, for what must not wait for the next beat. */
  spread(): void {
    const remote = this.isRelay() ? this.listRemoteContacts() : [];
    void this.#sendBeatsTo([...this.members.listHeartbeatTargets(), ...remote]);
  }

  /** Lists the hosts that are relays. */
  listRelays(): core.Member[] {
    return this.members.listRanked("relay", RELAY_COUNT);
  }

  /** Returns one contact in each other failure domain. */
  listRemoteContacts(): protocol.Contact[] {
    const { failureDomain, random } = this.#options;
    const remote = [...this.#contacts.values()].filter((contact) =>
      contact.failureDomain !== failureDomain
    );
    const domains = [
      ...new Set(remote.map((contact) => contact.failureDomain)),
    ];
    return domains.map((domain) => {
      const own = remote.filter((contact) => contact.failureDomain === domain);
      return own[random.below(own.length)];
    });
  }

  /** Answers a beat; with the roles only if the sender knows others. */
  takeBeat(beat: protocol.Beat): protocol.Beat {
    this.#merge(beat);
    const answer = this.#buildBeat();
    return beat.rolesSum === answer.rolesSum
      ? answer
      : { ...answer, roles: this.listRoles() };
  }

  #listHome(): protocol.Contact[] {
    const { self, failureDomain } = this.#options;
    return [...this.#contacts.values()].filter((contact) =>
      contact.failureDomain === failureDomain && contact.name !== self.name
    );
  }

  /**
   * Whom the regular beat goes to: the successor, which this host watches, and
   * one finger in turn, so that its cost does not grow with the failure domain.
   * A relay also beats to other failure domains; now and then a lost host is
   * tried.
   */
  #listRegular(): { readonly name: string; readonly address: string }[] {
    const [successor, ...others] = this.members.listHeartbeatTargets();
    this.#turn += 1;
    const inTurn = others.slice(this.#turn % Math.max(1, others.length))[0];
    const remote = this.isRelay() ? this.listRemoteContacts() : [];
    return [successor, inTurn, ...remote, ...this.#drawLost()]
      .filter((target) => target !== undefined);
  }

  /** A host that left the view may be back, or on the other side of a cut. */
  #drawLost(): protocol.Contact[] {
    const lost = this.#listHome().filter((contact) => {
      const status = this.members.get(contact.name)?.status;
      return status === undefined || status === "dead" || status === "left";
    });
    if (lost.length === 0) return [];
    return [lost[this.#options.random.below(lost.length)]];
  }

  async #sendBeats(): Promise<void> {
    this.members.tick(this.#options.clock.now());
    this.#options.clients.closeIdle();
    const cleared = this.#marks.removeExpired(this.#options.clock.wall());
    if (cleared.length > 0) this.#options.onCleared(cleared);
    await this.#sendBeatsTo(this.#listRegular());
  }

  async #sendBeatsTo(
    targets: readonly { readonly name: string; readonly address: string }[],
  ): Promise<void> {
    const beat = this.#buildBeat();
    await Promise.all(targets.map((target) => this.#sendBeat(target, beat)));
  }

  async #sendBeat(
    target: { readonly name: string; readonly address: string },
    beat: protocol.Beat,
  ): Promise<void> {
    const answer = await this.#options.clients.call(
      { address: target.address, step: "peer.beat" },
      (peer, signal) => peer.beat.mutate(beat, { signal }),
    );
    if (answer.err) {
      this.members.recordMiss(target.name, this.#options.clock.now());
      return;
    }
    this.members.recordAnswer(target.name);
    this.#merge(answer.val);
    await this.#compareViews(target, answer.val);
  }

  /**
   * Views that differ for several beats are exchanged in full; a host that is
   * alone takes the first it gets. Never another failure domain's: its hosts
   * would become members here, and lead roles here.
   */
  async #compareViews(
    target: { readonly name: string; readonly address: string },
    answer: protocol.Beat,
  ): Promise<void> {
    if (answer.failureDomain !== this.#options.failureDomain) return;
    const same = answer.view === this.members.getViewDigest();
    const count = same ? 0 : (this.#differing.get(target.name) ?? 0) + 1;
    this.#differing.set(target.name, count >= DIFFERENT_VIEWS ? 0 : count);
    if (count < DIFFERENT_VIEWS && this.members.listActive().length > 1) return;
    const members = await this.#options.clients.call(
      { address: target.address, step: "peer.members" },
      (peer, signal) => peer.members.query(undefined, { signal }),
    );
    if (members.ok) this.#mergeMembers(members.val);
  }

  #buildBeat(): protocol.Beat {
    return {
      from: this.members.getSelf(),
      failureDomain: this.#options.failureDomain,
      revision: this.#options.getRevision(),
      confirmedAt: this.#confirmedAt,
      view: this.members.getViewDigest(),
      news: this.members.takeUpdates(),
      marks: this.#marks.list().slice(-MARKS_LIMIT),
      withdrawn: [...this.#withdrawn].slice(-MARKS_LIMIT),
      rolesSum: this.listRoles().reduce((sum, role) => sum + role.token, 0),
      roles: this.#options.clock.now() - this.#rolesChangedAt < ROLES_NEWS_MS
        ? this.listRoles()
        : [],
    };
  }

  #merge(beat: protocol.Beat): void {
    const contact = {
      name: beat.from.name,
      address: beat.from.address,
      failureDomain: beat.failureDomain,
    };
    this.#contacts.set(contact.name, contact);
    if (beat.failureDomain === this.#options.failureDomain) {
      this.#mergeMembers([beat.from, ...beat.news]);
      this.#mergeRoles(beat.roles);
    }
    // Its caller may send a poison request to any failure domain.
    this.#mergeMarks(beat.marks);
    this.confirm(beat.confirmedAt);
    this.#mergeWithdrawn(beat.withdrawn);
    if (beat.revision > this.#options.getRevision()) {
      this.#options.onAhead(beat.from.address);
    }
  }

  #mergeMembers(members: readonly core.Member[]): void {
    this.members.merge(members, this.#options.clock.now());
  }

  #mergeMarks(marks: readonly core.PoisonMark[]): void {
    const wall = this.#options.clock.wall();
    const fresh = marks.filter((mark) =>
      mark.until > wall && this.#marks.add(mark)
    );
    if (fresh.length === 0) return;
    this.#options.onMarks(fresh);
    this.spread();
  }

  #mergeRoles(roles: readonly protocol.RoleNews[]): void {
    roles.filter((news) =>
      news.token > (this.#roles.get(news.role)?.token ?? 0)
    ).forEach((news) => {
      this.#roles.set(news.role, news);
      this.#rolesChangedAt = this.#options.clock.now();
    });
  }

  #mergeWithdrawn(keyIds: readonly string[]): void {
    const fresh = keyIds.filter((keyId) => !this.#withdrawn.has(keyId));
    if (fresh.length === 0) return;
    fresh.forEach((keyId) => this.#withdrawn.add(keyId));
    this.#options.onWithdrawn(fresh);
    this.spread();
  }
}
