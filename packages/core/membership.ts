/**
 * SWIM-style membership of one failure domain. Hosts are placed on a ring by
 * the hash of their names, and each host sends heartbeats to the hosts 1, 2, 4,
 * ... places after it. Each host therefore stores only the members of its
 * failure domain and sends a number of heartbeats that grows with the logarithm
 * of the member count. A host that does not answer heartbeats becomes suspect.
 * The suspicion spreads with the heartbeats, and the suspected host refutes it
 * with a higher incarnation, so that a pause or a one-way network partition
 * does not remove a healthy host.
 */
import * as utils from "@banyangrade/utils";

/** Status of a host as seen by a host of the same failure domain. */
export type MemberStatus = "alive" | "suspect" | "dead" | "left";

/** A host of the failure domain. */
export interface Member {
  readonly name: string;
  readonly address: string;
  /** Increased only by the host itself, to refute a suspicion or after a restart. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Thresholds after which an unresponsive host changes its status. */
export interface MembershipTimeouts {
  /** Consecutive unanswered heartbeats after which a host becomes suspect. */
  readonly suspectAfterMisses: number;
  /** Time in ms after which a suspect host is declared dead. */
  readonly deadAfterMs: number;
  /** Time in ms for which a removed host is remembered, so that outdated updates about it are recognised. */
  readonly forgetAfterMs: number;
}

/** Default timeouts: with one heartbeat per second, a dead host is removed within about 4 s. */
export const DEFAULT_MEMBERSHIP_TIMEOUTS: MembershipTimeouts = {
  suspectAfterMisses: 2,
  deadAfterMs: 2_000,
  forgetAfterMs: 60_000,
};

/** Number of times that an update is sent, per binary logarithm of the number of members. */
const UPDATE_SENDS_FACTOR = 3;
/** Maximum number of member updates in one heartbeat. */
const MAX_UPDATES_PER_HEARTBEAT = 16;

interface MemberRecord {
  member: Member;
  /** Monotonic time in ms of the last update of the member. */
  changedAt: number;
  misses: number;
  /** Number of further heartbeats that carry this member. */
  sendsLeft: number;
}

const SEVERITY: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** View that one host has of the members of its failure domain. */
export class Membership {
  readonly #self: string;
  readonly #timeouts: MembershipTimeouts;
  readonly #records = new Map<string, MemberRecord>();
  #ring: string[] | undefined;

  constructor(
    self: Member,
    timeouts: MembershipTimeouts = DEFAULT_MEMBERSHIP_TIMEOUTS,
  ) {
    this.#self = self.name;
    this.#timeouts = timeouts;
    this.#setMember(self, 0);
  }

  getSelf(): Member {
    return (this.#records.get(this.#self) as MemberRecord).member;
  }

  get(name: string): Member | undefined {
    return this.#records.get(name)?.member;
  }

  /** Lists the hosts that are alive or suspect. */
  listActive(): Member[] {
    return this.#getRing().map((name) =>
      (this.#records.get(name) as MemberRecord).member
    );
  }

  /** Lists all known hosts, for a host that joins or whose view differs. */
  listAll(): Member[] {
    return [...this.#records.values()].map((record) => record.member);
  }

  /** Lists the hosts declared dead, so that they can be contacted again after a network partition. */
  listDead(): Member[] {
    return this.listAll().filter((member) => member.status === "dead");
  }

  /** Lists the hosts to which this host sends heartbeats. */
  listHeartbeatTargets(): Member[] {
    const ring = this.#getRing();
    const ownIndex = ring.indexOf(this.#self);
    const names = new Set<string>();
    for (let step = 1; step < ring.length; step *= 2) {
      names.add(ring[(ownIndex + step) % ring.length]);
    }
    names.delete(this.#self);
    return [...names].map((name) =>
      (this.#records.get(name) as MemberRecord).member
    );
  }

  /** Lists the first `count` active hosts by rendezvous hash for a purpose; hosts with equal views get equal lists. */
  listRanked(purpose: string, count: number): Member[] {
    return rankMembers(this.listActive(), purpose).slice(0, count);
  }

  /** Returns whether this host is among the first `count` hosts for a purpose. */
  isRanked(purpose: string, count: number): boolean {
    return this.listRanked(purpose, count).some((member) =>
      member.name === this.#self
    );
  }

  /** Returns a digest of the view; hosts whose digests keep differing exchange their full views. */
  getViewDigest(): string {
    const entries = this.listActive().map((member) =>
      `${member.name}:${member.incarnation}`
    );
    return utils.computeDigest(entries.toSorted().join()).slice(0, 16);
  }

  /** Takes the member updates to send with the next heartbeat. */
  takeUpdates(): Member[] {
    const updates = [...this.#records.values()].filter((record) =>
      record.sendsLeft > 0
    ).slice(0, MAX_UPDATES_PER_HEARTBEAT);
    updates.forEach((record) => {
      record.sendsLeft -= 1;
    });
    return updates.map((record) => record.member);
  }

  /** Merges member updates from another host; returns whether the view changed. */
  merge(members: readonly Member[], now: number): boolean {
    return members.filter((member) => this.#mergeOne(member, now)).length > 0;
  }

  #mergeOne(update: Member, now: number): boolean {
    const record = this.#records.get(update.name);
    if (update.name === this.#self) return this.#mergeOwnUpdate(update, now);
    if (record !== undefined && !isNewer(update, record.member)) return false;
    this.#setMember(update, now);
    return true;
  }

  /** Refutes an update that reports this host as failed, by a higher incarnation. */
  #mergeOwnUpdate(update: Member, now: number): boolean {
    const self = this.getSelf();
    const isHarmless = update.status === "alive" || self.status === "left";
    if (isHarmless && update.incarnation <= self.incarnation) return false;
    const incarnation = Math.max(update.incarnation, self.incarnation) + 1;
    this.#setMember({ ...self, incarnation }, now);
    return true;
  }

  /** Records that a host answered a heartbeat. */
  recordAnswer(name: string): void {
    const record = this.#records.get(name);
    if (record !== undefined) record.misses = 0;
  }

  /** Records that a host did not answer a heartbeat. */
  recordMiss(name: string, now: number): void {
    const record = this.#records.get(name);
    if (record === undefined) return;
    record.misses += 1;
    const suspected = record.misses >= this.#timeouts.suspectAfterMisses;
    if (suspected && record.member.status === "alive") {
      this.#setMember({ ...record.member, status: "suspect" }, now);
    }
  }

  /** Records that this host is leaving the failure domain. */
  leave(now: number): void {
    this.#setMember({ ...this.getSelf(), status: "left" }, now);
  }

  /** Declares hosts dead that stayed suspect for too long, and forgets hosts removed long ago; returns whether the view changed. */
  tick(now: number): boolean {
    const timedOut = [...this.#records.values()].filter((record) =>
      record.member.status === "suspect" &&
      now - record.changedAt >= this.#timeouts.deadAfterMs
    );
    timedOut.forEach((record) =>
      this.#setMember({ ...record.member, status: "dead" }, now)
    );
    [...this.#records.values()].filter((record) =>
      SEVERITY[record.member.status] >= SEVERITY.dead &&
      now - record.changedAt >= this.#timeouts.forgetAfterMs
    ).forEach((record) => this.#records.delete(record.member.name));
    return timedOut.length > 0;
  }

  #setMember(member: Member, now: number): void {
    const misses = this.#records.get(member.name)?.misses ?? 0;
    this.#records.set(member.name, {
      member,
      changedAt: now,
      misses: member.status === "alive" ? 0 : misses,
      sendsLeft: UPDATE_SENDS_FACTOR *
        Math.ceil(Math.log2(this.#records.size + 2)),
    });
    this.#ring = undefined;
  }

  #getRing(): string[] {
    this.#ring ??= [...this.#records.values()]
      .filter((record) => SEVERITY[record.member.status] < SEVERITY.dead)
      .map((record) => record.member.name)
      .toSorted((a, b) => hashName(a) < hashName(b) ? -1 : 1);
    return this.#ring;
  }
}

/** Returns whether an update supersedes a record: by a higher incarnation, or by a more severe status of the same incarnation. */
function isNewer(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return SEVERITY[update.status] > SEVERITY[known.status];
}

const hashCache = new Map<string, string>();

function hashName(name: string): string {
  const cached = hashCache.get(name);
  if (cached !== undefined) return cached;
  const hash = utils.computeDigest(name);
  hashCache.set(name, hash);
  return hash;
}

/**
 * Orders hosts for a purpose by rendezvous hashing, so that the loss of a host
 * moves only the assignments of that host.
 *
 * @example
 * rankMembers(members, "relay")[0];
 */
export function rankMembers<M extends { readonly name: string }>(
  members: readonly M[],
  purpose: string,
): M[] {
  return members
    .map((member) => ({ member, hash: hashName(`${purpose}/${member.name}`) }))
    .toSorted((a, b) => a.hash < b.hash ? -1 : 1)
    .map(({ member }) => member);
}
