/**
 * Keeps the refusals of brittle servers low. A brittle server says how many
 * requests it may refuse in a second for want of room, from all hosts together;
 * beyond that it crashes. No host knows what the others send, so each server has
 * one sender: a host that runs the requests of all hosts there, up to the slots
 * (see `brittle_senders.ts`). Other hosts hand their requests to the senders.
 *
 * A host that knows no senders keeps to its share of the slots, and where there are
 * more hosts than slots, or once it is refused, to permits, which are fewer than the
 * refusals that the server bears.
 */
import * as lru from "lru-cache";
import type * as utils from "@banyangrade/utils";
import * as brittleRecords from "./brittle_records.ts";
import type * as brittleSenders from "./brittle_senders.ts";
import * as constants from "./constants.ts";
import * as ratePermits from "./rate_permits.ts";

/**
 * Standard deviations by which the bearable refusals exceed the mean rate of the
 * permits: hosts draw independently, and the number of hosts may be out of date.
 */
const MARGIN = 6;
/** Lifetime of a permit, in ms; long, because permits are rare and a host that is not busy must not lose them. */
const PERMIT_MS = 5_000;
/** Bounds of the bearable refusals per second; a host that never tries a server would not learn that it has room. */
const PER_SECOND_BOUNDS = { min: 0.2, max: 1_000_000 } as const;
/** Share of the bearable refusals that a sender uses; two hosts may send for a moment when the sender changes. */
const SENDER_SHARE = 0.5;
/** Time in which a refusal arrives, in ms; a sender starts no more requests in it than the server may refuse. */
const REFUSAL_MS = 15;
/** Time after which a request counts as accepted, in ms; a sender that tries for more room waits as long. */
const ACCEPTED_MS = 100;
/** Time after a refusal in which a sender does not try for more room, in ms. */
const HOLD_MS = 3_000;
/** Time after its first word from which a server that gets a new sender had another one before, in ms. */
const FIRST_SENDER_MS = 5_000;
/** Time for which the senders that a host was told of stay valid, in ms: several status intervals. */
const SENDERS_VALID_MS = 6_000;
/** Time for which a sender without a relay goes on, in ms; shorter than its relay waits before another one starts. */
const OWN_VALID_MS = 5_000;
/** Time that a new sender waits, in ms: a status interval, in which the one before learns of it. */
const CHANGE_MS = 1_200;
/** Time for which a host is not handed requests after one failed, in ms; its status is out of date for as long. */
const FAILED_PEER_MS = 3_000;
/** Time after its first word in which a brittle server still has its usual room, in ms; shorter than all stability windows. */
const USUAL_ROOM_MS = 2_800;

/** What this host has seen of its own requests at a brittle server. */
interface OwnUse {
  /** When the server last refused a request; undefined if it has served one sent since. */
  readonly refusedAt?: number;
  /** Requests that the server is known to have room for, apart from this host's share. */
  readonly window: number;
  /** Time from which this host may try for more room, monotonic ms. */
  readonly growsFrom: number;
  /** Time until which a sender starts nothing there, after a refusal; monotonic ms. */
  readonly pausedUntil: number;
  /** When the last requests were started, monotonic ms. */
  readonly startedAt: readonly number[];
}

/** Load of this host at a server. */
export interface OwnLoad {
  readonly running: number;
  readonly slots: number;
  readonly now: number;
}

/** Numbers of brittle servers: those that this host sends to for all hosts, and of the others, by whether they refused this host's last request. */
export interface BrittleCounts {
  readonly sender: number;
  readonly open: number;
  readonly refusing: number;
}

/** Options of {@link BrittleServers}. */
export interface BrittleServersOptions {
  readonly random: utils.Random;
  /** Name of this host. */
  readonly host: string;
}

/** The senders that a host was told of. */
interface KnownSenders {
  readonly at: number;
  readonly services: ReadonlySet<string>;
  /** Servers whose sender this host is. */
  readonly own: ReadonlySet<string>;
  readonly others: readonly brittleSenders.SenderAssignment[];
}

const NO_SENDERS: KnownSenders = {
  at: Number.NEGATIVE_INFINITY,
  services: new Set(),
  own: new Set(),
  others: [],
};
const UNUSED: OwnUse = {
  window: 1,
  growsFrom: 0,
  pausedUntil: 0,
  startedAt: [],
};

/** What a host may do at a brittle server. */
type Role =
  /** It runs the requests of all hosts. */
  | "sender"
  /** Another host does. */
  | "other"
  /** No sender is known. */
  | "unassigned";

/** The brittle servers that a host knows. */
export class BrittleServers {
  readonly #host: string;
  readonly #records = new brittleRecords.BrittleRecords({
    onForgotten: (server) => {
      this.#uses.delete(server);
      this.#permits.forget(server);
    },
  });
  readonly #uses = new lru.LRUCache<string, OwnUse>(constants.SERVER_CACHE);
  readonly #permits: ratePermits.RatePermits;
  readonly #failedPeers = new Map<string, number>();
  #senders = NO_SENDERS;
  #hosts: number | undefined;
  /** Time of the last refusal or loss of a brittle server, by service; none of them has its usual room any more. */
  readonly #shortSince = new Map<string, number>();

  constructor(options: BrittleServersOptions) {
    this.#host = options.host;
    this.#permits = new ratePermits.RatePermits(options);
  }

  /** Sets the number of hosts; before that, the host runs one request at a time at a brittle server and has no permits. */
  setHosts(hosts: number): void {
    this.#hosts = hosts;
    this.#permits.setHosts(hosts);
  }

  /** Sets the listed servers. */
  setServers(servers: readonly brittleRecords.BrittleTarget[]): void {
    this.#records.setServers(servers);
  }

  /** Sets the senders that hosts agree on; those of services that have none any more stay valid for some time. */
  setSenders(
    assignments: readonly brittleSenders.SenderAssignment[],
    now: number,
  ): void {
    if (assignments.length === 0) return;
    const isOwn = ({ sender }: brittleSenders.SenderAssignment) =>
      sender.host === this.#host;
    assignments.filter((one) =>
      isOwn(one) && !this.#senders.own.has(one.server)
    ).forEach((one) => this.#uses.set(one.server, this.#createUse(one, now)));
    this.#senders = {
      at: now,
      services: new Set(assignments.map(({ service }) => service)),
      own: new Set(assignments.filter(isOwn).map(({ server }) => server)),
      others: assignments.filter((one) => !isOwn(one)),
    };
  }

  /** Records what a response says; `now` is the time of the response. */
  recordResponse(
    server: string,
    report: brittleRecords.BrittlenessReport,
    now: number,
  ): void {
    this.#records.record(server, report, now);
    const { perSecond, succeeded, sentAt } = report;
    if (perSecond === undefined || !succeeded) return;
    this.#recordServed(server, { sentAt, now });
  }

  #recordServed(
    server: string,
    { sentAt, now }: { readonly sentAt: number; readonly now: number },
  ): void {
    const { refusedAt, ...use } = this.#getUse(server);
    // A request that was sent before the refusal says nothing about the time since.
    if (refusedAt !== undefined && sentAt <= refusedAt) return;
    const window = use.window + (now >= use.growsFrom ? 1 : 0);
    this.#uses.set(server, { ...use, window });
  }

  /** Records that a server refused a request for want of room while it ran `running` others of this host. */
  recordRefusal(
    { server, service }: brittleRecords.BrittleTarget,
    { running, now }: Pick<OwnLoad, "running" | "now">,
  ): void {
    const perSecond = this.#records.findRate({ server, service }, now);
    if (perSecond === undefined) return;
    const pauseMs = 1_000 / (SENDER_SHARE * computeBearable(perSecond));
    const isSender = this.#findRole({ server, service }, now) === "sender";
    this.#uses.set(server, {
      ...this.#getUse(server),
      refusedAt: now,
      window: Math.max(1, running),
      growsFrom: isSender ? now + HOLD_MS : now,
      pausedUntil: now + pauseMs,
    });
    this.#shortSince.set(service, now);
    this.#permits.use(server);
  }

  /** Records that a connection to a server was lost, as by a crash. */
  recordLoss(target: brittleRecords.BrittleTarget, now: number): void {
    if (this.#records.findRate(target, now) === undefined) return;
    const { pausedUntil } = this.#getUse(target.server);
    this.#uses.set(target.server, { ...UNUSED, pausedUntil });
    this.#shortSince.set(target.service, now);
  }

  /** Records that a request could not be handed to a host. */
  recordFailedPeer(host: string, now: number): void {
    [...this.#failedPeers].filter(([, until]) => until <= now)
      .forEach(([name]) => this.#failedPeers.delete(name));
    this.#failedPeers.set(host, now + FAILED_PEER_MS);
  }

  /** Merges what other hosts know; the newest record of a server applies. */
  merge(records: readonly brittleRecords.BrittleRecord[], now: number): void {
    this.#records.merge(records, now);
  }

  /** Lists what this host learned from responses lately, to share with other hosts. */
  listOwn(now: number): brittleRecords.BrittleRecord[] {
    return this.#records.listOwn(now);
  }

  /** Whether a server counts as brittle: it says so, or it is silent so far and its service does. */
  isBrittle(target: brittleRecords.BrittleTarget, now: number): boolean {
    return this.#records.findRate(target, now) !== undefined;
  }

  /** Counts the servers that say that they are brittle. */
  countByState(): BrittleCounts {
    const brittle = this.#records.listBrittle();
    const others = brittle.filter((server) => !this.#senders.own.has(server));
    const refusing =
      others.filter((server) => this.#uses.get(server)?.refusedAt !== undefined)
        .length;
    return {
      sender: brittle.length - others.length,
      open: others.length - refusing,
      refusing,
    };
  }

  /** Whether any server is brittle. */
  hasAny(): boolean {
    return this.#records.size > 0;
  }

  /** Lists the servers whose sender this host is. */
  listSentTo(now: number): string[] {
    return this.#isOwnValid(now) ? [...this.#senders.own] : [];
  }

  /** Whether each brittle server of a service has a sender, as far as this host knows. */
  hasSenders(service: string, now: number): boolean {
    return this.#hasValidSenders(now) && this.#senders.services.has(service);
  }

  /** Lists the other senders of a service that take requests. */
  listOtherSenders(
    service: string,
    now: number,
  ): brittleSenders.SenderAssignment[] {
    if (!this.hasSenders(service, now)) return [];
    return this.#senders.others.filter((one) =>
      one.service === service &&
      (this.#failedPeers.get(one.sender.host) ?? 0) <= now
    );
  }

  /** Counts the requests that this host may start at a server whose sender it is; 0 at others. */
  countFree(target: brittleRecords.BrittleTarget, load: OwnLoad): number {
    if (this.#findRole(target, load.now) !== "sender") return 0;
    const { window, pausedUntil, growsFrom } = this.#getUse(target.server);
    if (load.now < pausedUntil) return 0;
    const most = load.now < growsFrom
      ? Math.min(window, load.slots)
      : load.slots;
    return Math.max(0, most - load.running);
  }

  /** Whether this host may send a server one more request. */
  mayUse(target: brittleRecords.BrittleTarget, load: OwnLoad): boolean {
    const perSecond = this.#records.findRate(target, load.now);
    if (perSecond === undefined) return true;
    switch (this.#findRole(target, load.now)) {
      case "sender":
        return this.#maySend(target, { ...load, perSecond });
      case "other":
        return false;
      case "unassigned":
        return this.#mayUseShare(target, { ...load, perSecond });
    }
  }

  /** Returns the time until this host may try a server, in ms; 0 if it may now, or waits for one of its own requests there. */
  getWaitMs(
    target: brittleRecords.BrittleTarget,
    { slots, now }: Pick<OwnLoad, "slots" | "now">,
  ): number {
    const perSecond = this.#records.findRate(target, now);
    if (perSecond === undefined) return 0;
    switch (this.#findRole(target, now)) {
      case "sender":
        return Math.max(0, this.#getUse(target.server).pausedUntil - now);
      case "other":
        return Number.POSITIVE_INFINITY;
      case "unassigned":
        return this.#mayOnlyUsePermits(target, { slots, now })
          ? this.#permits.getWaitMs(buildRate(target.server, perSecond), now)
          : 0;
    }
  }

  /** Records that a request starts at a server that ran `running` others of this host; uses up the permit for it. */
  use(
    target: brittleRecords.BrittleTarget,
    { running, now }: Pick<OwnLoad, "running" | "now">,
  ): void {
    if (this.#records.findRate(target, now) === undefined) return;
    const use = this.#getUse(target.server);
    const startedAt = use.startedAt.filter((at) => now - at < ACCEPTED_MS);
    const accepted = running - startedAt.length;
    this.#uses.set(target.server, {
      ...use,
      window: Math.max(use.window, accepted),
      startedAt: [...startedAt, now],
    });
    if (this.#findRole(target, now) === "unassigned") {
      this.#permits.use(target.server);
    }
  }

  #maySend(
    { server }: brittleRecords.BrittleTarget,
    { running, slots, perSecond, now }: OwnLoad & {
      readonly perSecond: number;
    },
  ): boolean {
    const { window, pausedUntil, growsFrom, startedAt } = this.#getUse(server);
    if (now < pausedUntil || running >= slots) return false;
    const countSince = (ms: number) =>
      startedAt.filter((at) => now - at < ms).length;
    const most = Math.max(1, Math.floor(perSecond));
    if (running < window) return countSince(REFUSAL_MS) < most;
    return now >= growsFrom &&
      countSince(ACCEPTED_MS) < Math.max(1, Math.floor(SENDER_SHARE * most));
  }

  #mayUseShare(
    target: brittleRecords.BrittleTarget,
    { running, slots, perSecond, now }: OwnLoad & {
      readonly perSecond: number;
    },
  ): boolean {
    const { server } = target;
    if (this.#mayOnlyUsePermits(target, { slots, now })) {
      return running === 0 &&
        this.#permits.has(buildRate(server, perSecond), now);
    }
    const share = Math.max(1, this.#computeShare(slots));
    return running < Math.min(this.#getUse(server).window, share);
  }

  /** Whether this host may only use permits at a server without a sender: it was refused there, or there are more hosts than slots. */
  #mayOnlyUsePermits(
    target: brittleRecords.BrittleTarget,
    { slots, now }: Pick<OwnLoad, "slots" | "now">,
  ): boolean {
    return this.#getUse(target.server).refusedAt !== undefined ||
      (this.#computeShare(slots) < 1 && !this.#hasUsualRoom(target, now));
  }

  #computeShare(slots: number): number {
    return Math.floor(slots / (this.#hosts ?? slots));
  }

  /** Whether a server has only just said that it is brittle, and still lets as many requests wait as before. */
  #hasUsualRoom(
    { server, service }: brittleRecords.BrittleTarget,
    now: number,
  ): boolean {
    const startedAt = this.#records.findStart(server);
    return startedAt !== undefined && now - startedAt < USUAL_ROOM_MS &&
      (this.#shortSince.get(service) ?? -Infinity) < startedAt;
  }

  #findRole(
    { server, service }: brittleRecords.BrittleTarget,
    now: number,
  ): Role {
    if (!this.hasSenders(service, now)) return "unassigned";
    return this.#isOwnValid(now) && this.#senders.own.has(server)
      ? "sender"
      : "other";
  }

  #hasValidSenders(now: number): boolean {
    return now - this.#senders.at <= SENDERS_VALID_MS;
  }

  #isOwnValid(now: number): boolean {
    return now - this.#senders.at <= OWN_VALID_MS;
  }

  #getUse(server: string): OwnUse {
    return this.#uses.get(server) ?? UNUSED;
  }

  /** Creates the state of a server whose sender this host has just become. */
  #createUse(target: brittleRecords.BrittleTarget, now: number): OwnUse {
    if (this.#hasUsualRoom(target, now)) {
      return { ...UNUSED, window: Number.POSITIVE_INFINITY };
    }
    const startedAt = this.#records.findStart(target.server) ?? now;
    const hadSender = now - startedAt > FIRST_SENDER_MS;
    return { ...UNUSED, pausedUntil: hadSender ? now + CHANGE_MS : 0 };
  }
}

function computeBearable(perSecond: number): number {
  const { min, max } = PER_SECOND_BOUNDS;
  return Math.min(max, Math.max(min, perSecond));
}

function buildRate(name: string, perSecond: number): ratePermits.SharedRate {
  const bearable = computeBearable(perSecond);
  return { name, perSecond: computePermitRate(bearable), permitMs: PERMIT_MS };
}

/** Computes the rate whose mean and {@link MARGIN} standard deviations in a second add up to the bearable refusals. */
function computePermitRate(bearable: number): number {
  const root = Math.sqrt(bearable + MARGIN ** 2 / 4) - MARGIN / 2;
  return root ** 2;
}
