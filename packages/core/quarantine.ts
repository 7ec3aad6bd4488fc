/**
 * Quarantine of poison requests. A request that was in flight at a server when
 * that server was lost is a suspect. Hosts replicate suspect marks as a
 * grow-only set of (fingerprint, server) pairs, so every host counts each lost
 * server once.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** A suspect mark with its expiry. */
export interface PoisonMark extends events.SuspectMark {
  /** Expiry as wall-clock time in ms, the same on each host. */
  readonly until: number;
}

/** The loss of a server while a request was in flight there. */
interface Loss {
  readonly server: string;
  /** Monotonic ms; undefined if it is not known. */
  readonly at: number | undefined;
  readonly restarted: boolean;
  /** Whether the request has completed since, so that the loss had another cause. */
  cleared: boolean;
}

interface Suspect {
  readonly losses: Loss[];
  /** Time until which another host may be retrying the request, monotonic ms. */
  heldUntil: number;
  /** When a loss was last added, monotonic ms. */
  addedAt: number;
  /** When it last completed, monotonic ms. */
  answeredAt: number;
}

/** Maximum number of tracked fingerprints; the oldest are evicted first, those that are refused last. */
const MAX_SUSPECTS = 10_000;
/** Maximum number of marks of refused requests that are shared again. */
const MAX_SHARED = 60;
/** Maximum number of marks that a host which knows none is told. */
const MAX_KNOWN = 60;
/** Time for which other hosts are told that a suspect has completed, in ms; longer than marks stay in the store. */
const SHARE_ANSWER_MS = 30_000;
/** Largest number of suspects among which the one to remove is sought. */
const MAX_EXAMINED = 100;
/** Largest number of completed requests that are remembered. */
const MAX_ANSWERED = 1_000;
/** Time for which a request counts as frequent after it completed, in ms. */
const RECENT_ANSWER_MS = 10_000;
/** Time within which servers were lost at the same moment, in ms. */
const SAME_MOMENT_MS = 500;
/** Shortest time between two removals of old suspects, in ms. */
const FORGET_MS = 1_000;

/** Options of {@link SuspectTable}. */
export interface SuspectOptions {
  /** Number of servers lost to a request at which it no longer runs beside other suspects. @default 1 */
  readonly isolateAfter?: number;
  /** Number of servers lost to a request at which it is refused. @default constants.POISON_LIMIT */
  readonly poisonLimit?: number;
  /** Whether copies of a request are refused while another host may be retrying it. @default true */
  readonly holdsRemote?: boolean;
  /** Whether losses count less against a request that has completed before. @default false */
  readonly sparesAnswered?: boolean;
}

/** Whether a loss of a server is the same as another one; a process that resets connections has not ended each time. */
function isSameLoss(
  one: Omit<events.SuspectMark, "fingerprint">,
  other: Omit<events.SuspectMark, "fingerprint">,
): boolean {
  const isOneProcess = !one.restarted && !other.restarted;
  return one.server === other.server &&
    (isOneProcess || one.at === undefined || other.at === undefined ||
      Math.abs(one.at - other.at) <= constants.SAME_LOSS_MS);
}

/** Maps request fingerprints to the servers that were lost while these requests were in flight. */
export class SuspectTable {
  readonly #suspects = new Map<string, Suspect>();
  /** When requests last completed at this host, monotonic ms; the latest last. */
  readonly #answeredAt = new Map<string, number>();
  readonly #isolateAfter: number;
  readonly #poisonLimit: number;
  readonly #holdsRemote: boolean;
  readonly #sparesAnswered: boolean;
  #forgottenAt = Number.NEGATIVE_INFINITY;

  constructor(options: SuspectOptions = {}) {
    this.#isolateAfter = options.isolateAfter ?? 1;
    this.#poisonLimit = options.poisonLimit ?? constants.POISON_LIMIT;
    this.#holdsRemote = options.holdsRemote ?? true;
    this.#sparesAnswered = options.sparesAnswered ?? false;
  }

  /** Adds a mark that this host made. */
  add(mark: events.SuspectMark): void {
    const suspect = this.#get(mark.fingerprint, mark.at ?? 0);
    const known = suspect.losses.find((loss) => isSameLoss(loss, mark));
    if (known !== undefined) known.cleared = false;
    else suspect.losses.push(toLoss(mark));
  }

  /** Withdraws the losses of a server up to a time, monotonic ms: it has not ended. Returns their marks. */
  withdraw({ server, at: until }: events.ServerLoss): events.SuspectMark[] {
    const isWrong = (loss: Loss) =>
      loss.server === server &&
      (loss.at ?? until) <= until + constants.SAME_LOSS_MS;
    return [...this.#suspects].flatMap(([fingerprint, { losses }]) => {
      const wrong = losses.filter(isWrong);
      if (wrong.length === 0) return [];
      const left = losses.filter((loss) => !isWrong(loss));
      losses.splice(0, losses.length, ...left);
      if (left.length === 0) this.#suspects.delete(fingerprint);
      return wrong.map((loss) => toMark(fingerprint, loss));
    });
  }

  /**
   * Adds a mark that another host made. That host may be retrying the request on
   * a second server now; a copy that ran here at the same time could crash a third.
   * Returns whether it is new.
   */
  addRemote(mark: events.SuspectMark, now: number): boolean {
    if (now - (mark.at ?? now) > constants.QUARANTINE_MS) return false;
    const known = this.#suspects.get(mark.fingerprint)?.losses ?? [];
    if (known.some((loss) => isSameLoss(loss, mark))) return false;
    const suspect = this.#get(mark.fingerprint, now);
    const answeredAt = this.#answeredAt.get(mark.fingerprint) ?? -Infinity;
    const isCleared =
      (mark.at ?? now) <= Math.max(answeredAt, suspect.answeredAt);
    if (isCleared) return false;
    suspect.losses.push(toLoss(mark));
    if (this.#holdsRemote) suspect.heldUntil = now + constants.SUSPECT_HOLD_MS;
    return true;
  }

  /** Counts the fingerprints that are refused. */
  countPoison(): number {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isPoison(fingerprint)).length;
  }

  /** Lists marks of the fingerprints that are refused, to share them again; enough of each to refuse it. */
  listPoisonMarks(): events.SuspectMark[] {
    return [...this.#suspects.keys()]
      .filter((fingerprint) => this.isPoison(fingerprint))
      .flatMap((fingerprint) =>
        this.#listCounted(fingerprint).slice(-this.#poisonLimit)
          .map((loss) => toMark(fingerprint, loss))
      ).slice(-MAX_SHARED);
  }

  /** Lists marks for hosts that know none: those of the requests with most losses first, then the latest. */
  listKnown(): events.SuspectMark[] {
    return [...this.#suspects].map(([fingerprint, { addedAt }]) => ({
      fingerprint,
      addedAt,
      losses: this.#listUncleared(fingerprint).slice(-this.#poisonLimit),
    })).toSorted((a, b) =>
      b.losses.length - a.losses.length || b.addedAt - a.addedAt
    ).flatMap(({ fingerprint, losses }) =>
      losses.map((loss) => toMark(fingerprint, loss))
    ).slice(0, MAX_KNOWN);
  }

  /** Lists the marks of a server. */
  listAt(server: string): events.SuspectMark[] {
    return [...this.#suspects].flatMap(([fingerprint, { losses }]) =>
      losses.filter((loss) => loss.server === server)
        .map((loss) => toMark(fingerprint, loss))
    );
  }

  /** Forgets the requests in whose flight no server was lost for long. */
  forget(now: number): void {
    if (now - this.#forgottenAt < FORGET_MS) return;
    this.#forgottenAt = now;
    this.#suspects.forEach(({ addedAt }, fingerprint) => {
      if (now - addedAt <= constants.QUARANTINE_MS) return;
      this.#suspects.delete(fingerprint);
    });
  }

  #get(fingerprint: string, now: number): Suspect {
    const known = this.#suspects.get(fingerprint);
    if (known !== undefined) {
      known.addedAt = Math.max(known.addedAt, now);
      return known;
    }
    this.#removeOldest();
    const suspect = {
      losses: [],
      heldUntil: 0,
      addedAt: now,
      answeredAt: Number.NEGATIVE_INFINITY,
    };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  /**
   * Records that the request completed at a time, monotonic ms, at this host or
   * another one. Other hosts keep sending its marks for some time. If these marks
   * counted again, later requests with the same fingerprint, such as lookups, would
   * be refused for unrelated server losses. Returns whether it cleared any.
   */
  clear(fingerprint: string, at = Number.POSITIVE_INFINITY): boolean {
    this.#recordAnswer(fingerprint, at);
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined) return false;
    const before = suspect.losses.filter((loss) =>
      !loss.cleared && (loss.at ?? at) <= at
    );
    before.forEach((loss) => {
      loss.cleared = true;
    });
    suspect.heldUntil = 0;
    if (Number.isFinite(at)) {
      suspect.answeredAt = Math.max(suspect.answeredAt, at);
    }
    return before.length > 0;
  }

  #recordAnswer(fingerprint: string, at: number): void {
    if (!this.#sparesAnswered || !Number.isFinite(at)) return;
    this.#answeredAt.delete(fingerprint);
    this.#answeredAt.set(fingerprint, at);
    if (this.#answeredAt.size <= MAX_ANSWERED) return;
    const [oldest] = this.#answeredAt.keys();
    this.#answeredAt.delete(oldest);
  }

  /** Lists when suspects last completed, to share with other hosts, monotonic ms. */
  listAnswered(now: number): events.AnsweredRequests {
    return Object.fromEntries(
      [...this.#suspects].filter(([, { answeredAt }]) =>
        now - answeredAt <= SHARE_ANSWER_MS
      ).slice(-MAX_SHARED)
        .map(([fingerprint, { answeredAt }]) => [fingerprint, answeredAt]),
    );
  }

  #removeOldest(): void {
    if (this.#suspects.size < MAX_SUSPECTS) return;
    const oldest = [...this.#suspects.keys()].slice(0, MAX_EXAMINED);
    const removed = oldest.find((one) => !this.isPoison(one)) ?? oldest[0];
    this.#suspects.delete(removed);
  }

  /**
   * Lists the losses that count. Of a request that has completed before, those do not
   * that a request explains which never has, and of those at the same moment one
   * does if it completed shortly before: it is frequent and was in flight everywhere.
   */
  #listCounted(fingerprint: string): Loss[] {
    const losses = this.#listUncleared(fingerprint);
    const answeredAt = this.#answeredAt.get(fingerprint);
    if (losses.length < 2 || answeredAt === undefined) return losses;
    const guilty = [...this.#suspects.keys()].filter((other) =>
      !this.#answeredAt.has(other) &&
      this.#listUncleared(other).length >= this.#poisonLimit
    ).flatMap((other) => this.#listUncleared(other));
    let last = Number.NEGATIVE_INFINITY;
    return losses.toSorted((a, b) => (a.at ?? 0) - (b.at ?? 0))
      .filter((loss) => !guilty.some((other) => isSameLoss(loss, other)))
      .filter(({ at = 0 }) => {
        const isSameMoment = at - last < SAME_MOMENT_MS &&
          at - answeredAt <= RECENT_ANSWER_MS;
        if (!isSameMoment) last = at;
        return !isSameMoment;
      });
  }

  #listUncleared(fingerprint: string): Loss[] {
    return this.#suspects.get(fingerprint)?.losses
      .filter(({ cleared }) => !cleared) ?? [];
  }

  /** Whether enough servers were lost to the request that it must not run beside other suspects. */
  isSuspect(fingerprint: string): boolean {
    return this.#listCounted(fingerprint).length >= this.#isolateAfter;
  }

  /** Whether a request is a suspect even without the losses of some servers. */
  isSuspectWithout(
    fingerprint: string,
    isLeftOut: (server: string) => boolean,
  ): boolean {
    const left = this.#listCounted(fingerprint)
      .filter(({ server }) => !isLeftOut(server));
    return left.length >= this.#isolateAfter;
  }

  /** Returns how much longer copies of the request are refused because another host may be running it, in ms. */
  getHoldMs(fingerprint: string, now: number): number {
    const until = this.#suspects.get(fingerprint)?.heldUntil ?? 0;
    return Math.max(0, until - now);
  }

  /** Whether enough servers were lost to the request that it must be refused. */
  isPoison(fingerprint: string): boolean {
    return this.#listCounted(fingerprint).length >= this.#poisonLimit;
  }

  /** Whether a request must be refused even without some losses. */
  isPoisonWithout(
    fingerprint: string,
    isLeftOut: (loss: Pick<events.SuspectMark, "server" | "at">) => boolean,
  ): boolean {
    const left = this.#listCounted(fingerprint)
      .filter((loss) => !isLeftOut(loss));
    return left.length >= this.#poisonLimit;
  }

  /** Lists the servers whose losses count against a request. */
  listServers(fingerprint: string): string[] {
    return this.#listCounted(fingerprint).map(({ server }) => server);
  }
}

function toLoss({ server, at, restarted = false }: events.SuspectMark): Loss {
  return { server, at, restarted, cleared: false };
}

function toMark(
  fingerprint: string,
  { server, at, restarted }: Loss,
): events.SuspectMark {
  return { fingerprint, server, at, ...(restarted && { restarted }) };
}

/** The marks of all hosts until they expire, as the overlay keeps them. */
export class MarkSet {
  readonly #marks = new Map<string, PoisonMark>();

  /** Adds a mark; returns whether it is new. */
  add(mark: PoisonMark): boolean {
    const id = `${mark.fingerprint}/${mark.server}`;
    const known = this.#marks.get(id);
    if (known !== undefined && isSameLoss(known, mark)) return false;
    this.#marks.set(id, mark);
    return true;
  }

  /** Withdraws the marks of a server up to a time, monotonic ms: it has not ended. */
  withdraw({ server, at: until }: events.ServerLoss): void {
    this.#marks.forEach((mark, id) => {
      const isWrong = mark.server === server &&
        (mark.at ?? until) <= until + constants.SAME_LOSS_MS;
      if (isWrong) this.#marks.delete(id);
    });
  }

  list(): PoisonMark[] {
    return [...this.#marks.values()];
  }

  /** Removes the expired marks; returns the fingerprints that have no mark left. */
  removeExpired(wall: number): string[] {
    const expired = [...this.#marks].filter(([, mark]) => mark.until <= wall);
    expired.forEach(([id]) => this.#marks.delete(id));
    const remaining = new Set(this.list().map((mark) => mark.fingerprint));
    return expired.map(([, mark]) => mark.fingerprint)
      .filter((fingerprint) => !remaining.has(fingerprint));
  }
}
