/**
 * The gossip overlay of hosts. Heartbeats along the ring of a failure domain carry
 * membership updates, the configuration revision, quarantine marks, withdrawn keys
 * and the holders of control roles. The relays of a failure domain, which are its
 * first hosts by hash, also send heartbeats to other failure domains.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import type * as protocol from "./protocol.ts";

/** Time between two heartbeats, in ms. */
const HEARTBEAT_MS = 1_000;
/** Number of relays in each failure domain. */
export const RELAY_COUNT = 2;
/** Number of consecutive heartbeats with differing views after which the full member list is fetched. */
const MAX_VIEW_DIFFS = 3;
/** Time for which all roles are included in every heartbeat after a change, in ms. */
const ROLES_UPDATE_MS = 3_000;
/** Maximum number of quarantine marks, and of withdrawn keys, in one heartbeat. */
const MAX_ENTRIES_PER_HEARTBEAT = 32;

/** A host that gets a heartbeat. */
type HeartbeatTarget = Pick<protocol.Contact, "name" | "address">;

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
  /** Called with the address of a host that has a newer configuration revision. */
  readonly onNewerRevision: (address: string) => void;
  readonly onMarks: (marks: readonly core.PoisonMark[]) => void;
  /** Called with fingerprints for which all marks have expired. */
  readonly onMarksExpired: (fingerprints: readonly string[]) => void;
  readonly onWithdrawn: (keyIds: readonly string[]) => void;
  readonly heartbeatMs?: number;
}

/** Overlay node of one host. */
export class Overlay {
  readonly members: core.Membership;
  readonly #options: OverlayOptions;
  readonly #contacts = new Map<string, protocol.Contact>();
  readonly #roles = new Map<string, protocol.RoleUpdate>();
  readonly #marks = new core.MarkSet();
  readonly #withdrawn = new Set<string>();
  readonly #differingViews = new Map<string, number>();
  #rolesChangedAt = Number.NEGATIVE_INFINITY;
  #targetTurn = 0;
  #confirmedAt = 0;
  #stop: () => void = () => undefined;

  constructor(options: OverlayOptions) {
    this.#options = options;
    this.members = new core.Membership(options.self);
    this.setContacts(options.seeds);
  }

  /** Starts to send heartbeats, the first ones immediately to all seeds of this failure domain. */
  start(): void {
    const { heartbeatMs = HEARTBEAT_MS } = this.#options;
    this.#stop = utils.startInterval({
      ms: heartbeatMs,
      onError: utils.createErrorLog(this.#options.log, "peer.heartbeats"),
    }, () => this.#sendHeartbeats());
    this.#sendDetached(this.#listLocalContacts());
  }

  /** Announces to the heartbeat targets that this host leaves, then stops. */
  async leave(): Promise<void> {
    const targets = this.members.listHeartbeatTargets();
    this.members.leave(this.#options.clock.now());
    await this.#sendHeartbeatsTo(targets);
    this.stop();
  }

  stop(): void {
    this.#stop();
  }

  /** Adds hosts that are known from the settings or from the platform's host list. */
  setContacts(contacts: readonly protocol.Contact[]): void {
    contacts.forEach((contact) => this.#contacts.set(contact.name, contact));
  }

  /** Removes a host that did not answer, until a heartbeat or the host list names it again. */
  dropContact(name: string): void {
    this.#contacts.delete(name);
  }

  /** Returns the peer address of a host in any failure domain. */
  findAddress(name: string): string | undefined {
    return this.members.get(name)?.address ?? this.#contacts.get(name)?.address;
  }

  getConfirmedAt(): number {
    return this.#confirmedAt;
  }

  /** Records the wall-clock time at which a host read the newest revision from the store. */
  confirm(wall: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, wall);
  }

  getRole(role: string): protocol.RoleUpdate | undefined {
    return this.#roles.get(role);
  }

  listRoles(): protocol.RoleUpdate[] {
    return [...this.#roles.values()];
  }

  setRole(update: protocol.RoleUpdate): void {
    this.#mergeRoles([update]);
    this.sendImmediately();
  }

  countMarks(): number {
    return this.#marks.list().length;
  }

  addMark(mark: core.PoisonMark): void {
    this.#mergeMarks([mark]);
    this.sendImmediately();
  }

  addWithdrawn(keyId: string): void {
    this.#mergeWithdrawn([keyId]);
    this.sendImmediately();
  }

  isRelay(): boolean {
    return this.members.isRanked("relay", RELAY_COUNT);
  }

  /** Sends heartbeats to all targets immediately, for updates that must not wait for the next interval. */
  sendImmediately(): void {
    const remote = this.isRelay() ? this.listRemoteContacts() : [];
    this.#sendDetached([...this.members.listHeartbeatTargets(), ...remote]);
  }

  #sendDetached(targets: readonly HeartbeatTarget[]): void {
    utils.runDetached(
      () => this.#sendHeartbeatsTo(targets),
      utils.createErrorLog(this.#options.log, "peer.heartbeats"),
    );
  }

  /** Lists the relays of this failure domain. */
  listRelays(): core.Member[] {
    return this.members.listRanked("relay", RELAY_COUNT);
  }

  /** Returns one random contact in each other failure domain. */
  listRemoteContacts(): protocol.Contact[] {
    const { failureDomain, random } = this.#options;
    const remote = [...this.#contacts.values()].filter((contact) =>
      contact.failureDomain !== failureDomain
    );
    const domains = [
      ...new Set(remote.map((contact) => contact.failureDomain)),
    ];
    return domains.map((domain) => {
      const candidates = remote.filter((contact) =>
        contact.failureDomain === domain
      );
      return candidates[random.below(candidates.length)];
    });
  }

  /** Merges a heartbeat and returns the response, which includes all roles if the sender knows different ones. */
  mergeHeartbeat(heartbeat: protocol.Heartbeat): protocol.Heartbeat {
    this.#merge(heartbeat);
    const response = this.#buildHeartbeat();
    return heartbeat.rolesSum === response.rolesSum
      ? response
      : { ...response, roles: this.listRoles() };
  }

  #listLocalContacts(): protocol.Contact[] {
    const { self, failureDomain } = this.#options;
    return [...this.#contacts.values()].filter((contact) =>
      contact.failureDomain === failureDomain && contact.name !== self.name
    );
  }

  /**
   * Lists the targets of the next periodic heartbeat: the successor, whose liveness
   * this host monitors, and one other target in rotation, so that the cost does not
   * grow with the size of the failure domain. A relay also sends heartbeats to other
   * failure domains. One host that has left the view, if any, is tried as well.
   */
  #listPeriodicTargets(): HeartbeatTarget[] {
    const [successor, ...others] = this.members.listHeartbeatTargets();
    this.#targetTurn += 1;
    const nextTarget =
      others.slice(this.#targetTurn % Math.max(1, others.length))[0];
    const remote = this.isRelay() ? this.listRemoteContacts() : [];
    return [successor, nextTarget, ...remote, ...this.#pickLostContact()]
      .filter((target) => target !== undefined);
  }

  /** Picks a random host that has left the view: it may be running again, or a network partition that separated it may have ended. */
  #pickLostContact(): protocol.Contact[] {
    const lost = this.#listLocalContacts().filter((contact) => {
      const status = this.members.get(contact.name)?.status;
      return status === undefined || status === "dead" || status === "left";
    });
    if (lost.length === 0) return [];
    return [lost[this.#options.random.below(lost.length)]];
  }

  async #sendHeartbeats(): Promise<void> {
    this.members.tick(this.#options.clock.now());
    this.#options.clients.closeIdle();
    const cleared = this.#marks.removeExpired(this.#options.clock.wall());
    if (cleared.length > 0) this.#options.onMarksExpired(cleared);
    await this.#sendHeartbeatsTo(this.#listPeriodicTargets());
  }

  async #sendHeartbeatsTo(
    targets: readonly HeartbeatTarget[],
  ): Promise<void> {
    const heartbeat = this.#buildHeartbeat();
    await Promise.all(
      targets.map((target) => this.#sendHeartbeat(target, heartbeat)),
    );
  }

  async #sendHeartbeat(
    target: HeartbeatTarget,
    heartbeat: protocol.Heartbeat,
  ): Promise<void> {
    const response = await this.#options.clients.call(
      { address: target.address, step: "peer.beat" },
      (peer, signal) => peer.beat.mutate(heartbeat, { signal }),
    );
    if (response.err) {
      this.members.recordMiss(target.name, this.#options.clock.now());
      return;
    }
    this.members.recordAnswer(target.name);
    this.#merge(response.val);
    await this.#compareViews(target, response.val);
  }

  /**
   * Fetches the full member list if the views have differed for several consecutive
   * heartbeats. A host without other members fetches the first list it can. Lists of
   * other failure domains are never merged, because their hosts would become members
   * of this failure domain and could take its roles.
   */
  async #compareViews(
    target: { readonly name: string; readonly address: string },
    response: protocol.Heartbeat,
  ): Promise<void> {
    if (response.failureDomain !== this.#options.failureDomain) return;
    const isSame = response.view === this.members.getViewDigest();
    const count = isSame ? 0 : (this.#differingViews.get(target.name) ?? 0) + 1;
    this.#differingViews.set(
      target.name,
      count >= MAX_VIEW_DIFFS ? 0 : count,
    );
    if (count < MAX_VIEW_DIFFS && this.members.listActive().length > 1) return;
    const members = await this.#options.clients.call(
      { address: target.address, step: "peer.members" },
      (peer, signal) => peer.members.query(undefined, { signal }),
    );
    if (members.ok) this.#mergeMembers(members.val);
  }

  #buildHeartbeat(): protocol.Heartbeat {
    return {
      from: this.members.getSelf(),
      failureDomain: this.#options.failureDomain,
      revision: this.#options.getRevision(),
      confirmedAt: this.#confirmedAt,
      view: this.members.getViewDigest(),
      news: this.members.takeUpdates(),
      marks: this.#marks.list().slice(-MAX_ENTRIES_PER_HEARTBEAT),
      withdrawn: [...this.#withdrawn].slice(-MAX_ENTRIES_PER_HEARTBEAT),
      rolesSum: this.listRoles().reduce((sum, role) => sum + role.token, 0),
      roles: this.#options.clock.now() - this.#rolesChangedAt < ROLES_UPDATE_MS
        ? this.listRoles()
        : [],
    };
  }

  #merge(heartbeat: protocol.Heartbeat): void {
    const contact = {
      name: heartbeat.from.name,
      address: heartbeat.from.address,
      failureDomain: heartbeat.failureDomain,
    };
    this.#contacts.set(contact.name, contact);
    if (heartbeat.failureDomain === this.#options.failureDomain) {
      this.#mergeMembers([heartbeat.from, ...heartbeat.news]);
      this.#mergeRoles(heartbeat.roles);
    }
    // Marks are merged from all failure domains, because a caller may send a poison
    // request to any of them.
    this.#mergeMarks(heartbeat.marks);
    this.confirm(heartbeat.confirmedAt);
    this.#mergeWithdrawn(heartbeat.withdrawn);
    if (heartbeat.revision > this.#options.getRevision()) {
      this.#options.onNewerRevision(heartbeat.from.address);
    }
  }

  #mergeMembers(members: readonly core.Member[]): void {
    this.members.merge(members, this.#options.clock.now());
  }

  #mergeMarks(marks: readonly core.PoisonMark[]): void {
    const wall = this.#options.clock.wall();
    const added = marks.filter((mark) =>
      mark.until > wall && this.#marks.add(mark)
    );
    if (added.length === 0) return;
    this.#options.onMarks(added);
    this.sendImmediately();
  }

  #mergeRoles(roles: readonly protocol.RoleUpdate[]): void {
    roles.filter((update) =>
      update.token > (this.#roles.get(update.role)?.token ?? 0)
    ).forEach((update) => {
      this.#roles.set(update.role, update);
      this.#rolesChangedAt = this.#options.clock.now();
    });
  }

  #mergeWithdrawn(keyIds: readonly string[]): void {
    const added = keyIds.filter((keyId) => !this.#withdrawn.has(keyId));
    if (added.length === 0) return;
    added.forEach((keyId) => this.#withdrawn.add(keyId));
    this.#options.onWithdrawn(added);
    this.sendImmediately();
  }
}
