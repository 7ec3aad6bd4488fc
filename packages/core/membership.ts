/**
 * Membership of one failure domain by heartbeats along a few fingers. Hosts
 * stand in a ring by the hash of their names; each beats to those 1, 2, 4, ...
 * places on, so state per host is its failure domain and messages grow with
 * the logarithm of it. A host that misses beats is suspected by whoever beat
 * to it, word of it spreads with the beats, and the host itself takes it back
 * by a higher incarnation, so a pause or a one-way cut does not remove it.
 */
import * as utils from "@banyangrade/utils";

/** What is believed of a host. */
export type MemberStatus = "alive" | "suspect" | "dead" | "left";

/** A host of the failure domain. */
export interface Member {
  readonly name: string;
  readonly address: string;
  /** Raised by the host itself, to take back a suspicion or to start anew. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** Times in ms. */
export interface MembershipTimes {
  /** Beats missed in a row before a host is suspected. */
  readonly suspectAfterMisses: number;
  /** Time from suspicion to removal. */
  readonly deadAfterMs: number;
  /** Time for which a removed host is remembered, so that old news of it is known as old. */
  readonly forgetAfterMs: number;
}

/** Defaults: a dead host is out within about 4 s at one beat a second. */
export const DEFAULT_TIMES: MembershipTimes = {
  suspectAfterMisses: 2,
  deadAfterMs: 2_000,
  forgetAfterMs: 60_000,
};

/** Times that one piece of news is passed on to each finger. */
const NEWS_REPEATS = 3;
/** Most members in the news of one beat. */
const NEWS_LIMIT = 16;

interface Known {
  member: Member;
  /** Monotonic ms of the last change of status. */
  changedAt: number;
  misses: number;
  /** Beats that still carry it. */
  repeats: number;
}

const SEVERITY: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
  left: 3,
};

/** One host's view of its failure domain. */
export class Membership {
  readonly #self: string;
  readonly #times: MembershipTimes;
  readonly #known = new Map<string, Known>();
  #ring: string[] | undefined;

  constructor(self: Member, times: MembershipTimes = DEFAULT_TIMES) {
    this.#self = self.name;
    this.#times = times;
    this.#set(self, 0);
  }

  getSelf(): Member {
    return (this.#known.get(this.#self) as Known).member;
  }

  get(name: string): Member | undefined {
    return this.#known.get(name)?.member;
  }

  /** Lists the hosts that take part: alive or merely suspected. */
  listActive(): Member[] {
    return this.#getRing().map((name) =>
      (this.#known.get(name) as Known).member
    );
  }

  /** Lists everything known, for a host that joins or disagrees. */
  listAll(): Member[] {
    return [...this.#known.values()].map((known) => known.member);
  }

  /** Lists hosts that were removed, to be tried again after a cut. */
  listDead(): Member[] {
    return this.listAll().filter((member) => member.status === "dead");
  }

  /** Lists the hosts this one beats to. */
  listFingers(): Member[] {
    const ring = this.#getRing();
    const at = ring.indexOf(this.#self);
    const names = new Set<string>();
    for (let step = 1; step < ring.length; step *= 2) {
      names.add(ring[(at + step) % ring.length]);
    }
    names.delete(this.#self);
    return [...names].map((name) => (this.#known.get(name) as Known).member);
  }

  /** Lists the first `count` hosts by hash for a purpose, the same on all hosts. */
  listRanked(purpose: string, count: number): Member[] {
    return rankMembers(this.listActive(), purpose).slice(0, count);
  }

  /** Whether this host is among the first `count` for a purpose. */
  isRanked(purpose: string, count: number): boolean {
    return this.listRanked(purpose, count).some((member) =>
      member.name === this.#self
    );
  }

  /** Digest of the view; hosts whose digests differ for long exchange everything. */
  getSummary(): string {
    const view = this.listActive().map((member) =>
      `${member.name}:${member.incarnation}`
    );
    return utils.computeDigest(view.toSorted().join()).slice(0, 16);
  }

  /** Takes what is to be passed on with the next beat. */
  takeNews(): Member[] {
    const carried = [...this.#known.values()].filter((known) =>
      known.repeats > 0
    ).slice(0, NEWS_LIMIT);
    carried.forEach((known) => {
      known.repeats -= 1;
    });
    return carried.map((known) => known.member);
  }

  /** Merges news; returns whether the view changed. */
  merge(members: readonly Member[], now: number): boolean {
    return members.filter((member) => this.#mergeOne(member, now)).length > 0;
  }

  #mergeOne(news: Member, now: number): boolean {
    const known = this.#known.get(news.name);
    if (news.name === this.#self) return this.#defend(news, now);
    if (known !== undefined && !isNewer(news, known.member)) return false;
    this.#set(news, now);
    return true;
  }

  /** Takes back what others believe of this host, by a higher incarnation. */
  #defend(news: Member, now: number): boolean {
    const self = this.getSelf();
    const harmless = news.status === "alive" || self.status === "left";
    if (harmless && news.incarnation <= self.incarnation) return false;
    const incarnation = Math.max(news.incarnation, self.incarnation) + 1;
    this.#set({ ...self, incarnation }, now);
    return true;
  }

  /** Records that a beat to a host was answered. */
  recordAnswer(name: string): void {
    const known = this.#known.get(name);
    if (known !== undefined) known.misses = 0;
  }

  /** Records that a beat to a host was missed. */
  recordMiss(name: string, now: number): void {
    const known = this.#known.get(name);
    if (known === undefined) return;
    known.misses += 1;
    const suspected = known.misses >= this.#times.suspectAfterMisses;
    if (suspected && known.member.status === "alive") {
      this.#set({ ...known.member, status: "suspect" }, now);
    }
  }

  /** Records that this host is leaving. */
  leave(now: number): void {
    this.#set({ ...this.getSelf(), status: "left" }, now);
  }

  /** Removes hosts that stayed suspect; returns whether the view changed. */
  tick(now: number): boolean {
    const overdue = [...this.#known.values()].filter((known) =>
      known.member.status === "suspect" &&
      now - known.changedAt >= this.#times.deadAfterMs
    );
    overdue.forEach((known) =>
      this.#set({ ...known.member, status: "dead" }, now)
    );
    [...this.#known.values()].filter((known) =>
      SEVERITY[known.member.status] >= SEVERITY.dead &&
      now - known.changedAt >= this.#times.forgetAfterMs
    ).forEach((known) => this.#known.delete(known.member.name));
    return overdue.length > 0;
  }

  #set(member: Member, now: number): void {
    const misses = this.#known.get(member.name)?.misses ?? 0;
    this.#known.set(member.name, {
      member,
      changedAt: now,
      misses: member.status === "alive" ? 0 : misses,
      repeats: NEWS_REPEATS * Math.ceil(Math.log2(this.#known.size + 2)),
    });
    this.#ring = undefined;
  }

  #getRing(): string[] {
    this.#ring ??= [...this.#known.values()]
      .filter((known) => SEVERITY[known.member.status] < SEVERITY.dead)
      .map((known) => known.member.name)
      .toSorted((a, b) => hashName(a) < hashName(b) ? -1 : 1);
    return this.#ring;
  }
}

/** A higher incarnation wins; within one, the worse news does. */
function isNewer(news: Member, known: Member): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  return SEVERITY[news.status] > SEVERITY[known.status];
}

const hashes = new Map<string, string>();

function hashName(name: string): string {
  const known = hashes.get(name);
  if (known !== undefined) return known;
  const hash = utils.computeDigest(name);
  hashes.set(name, hash);
  return hash;
}

/**
 * Orders hosts for a purpose by rendezvous hash: when one leaves, only what it
 * held moves.
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
