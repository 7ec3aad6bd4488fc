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
/** Time for which a sender that hears of no relay goes on, in ms; shorter than its relay waits before another one starts. */
const OWN_VALID_MS = 5_000;
/** Time that a new sender waits, in ms: a status interval, in which the one before is told. */
const CHANGE_MS = 1_200;
/** Time for which a host is not handed requests after one failed, in ms; its status is out of date for as long. */
const FAILED_PEER_MS = 3_000;
/** Time after its first word in which a brittle server still has its usual room, in ms; shorter than all stability windows. */
const USUAL_ROOM_MS = 2_800;
/** Time for which the word of some servers counts for silent ones of their service, in ms; longer than a restart. */
const SERVICE_MS = 10_000;
/** Time for which the rate of a service's silent servers is not computed again, in ms. */
const SERVICE_RATE_MS = 50;
/** Share of a service's servers that must be brittle for its silent ones to count as brittle. */
const SERVICE_SHARE = 0.5;
/** Age up to which the end of brittleness is reported to other hosts, in ms: several status intervals, so that each host receives it. */
const END_REPORT_MS = 15_000;
/** Time for which the end is told anew with each success, in ms; longer than {@link END_MARGIN_MS}. */
const END_REPEAT_MS = 4_000;
/** Time without a word of a server after which it is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Time by which the end that another host saw must be newer than the last word of the server, in ms; the clocks of hosts may differ. */
const END_MARGIN_MS = 2_000;

/** What hosts tell each other of a brittle server. */
export interface BrittleRecord {
  readonly server: string;
  readonly service: string;
  /** Refusals per second that the server bears; absent if it is no longer brittle. */
  readonly perSecond?: number;
  /** Time of the last response that named it, or at which a request was sent whose response named none, in ms. */
  readonly at: number;
  /** Time before `at` for which it has been brittle, in ms. */
  readonly forMs: number;
}

/** What a response says about the brittleness of its server. */
export interface BrittlenessReport {
  readonly service: string;
  /** Refusals per second that the server bears; undefined if it is not brittle. */
  readonly perSecond: number | undefined;
  /** Time at which the request was sent, monotonic ms. */
  readonly sentAt: number;
  /** Whether the server answered the request with success. */
  readonly succeeded: boolean;
}

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

/** What a host knows of a brittle server. */
interface KnownServer extends BrittleRecord {
  /** Whether this host learned it from a response. */
  readonly own: boolean;
  /** When this host first saw that the server is no longer brittle, monotonic ms. */
  readonly endedAt?: number;
}

/** A server at which a request may start. */
export interface BrittleTarget {
  readonly server: string;
  readonly service: string;
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
  /** Whether other hosts soon tell this one which servers are brittle; until then any may be. @default false */
  readonly asksOthers?: boolean;
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
  readonly #asksOthers: boolean;
  /** Kept also for servers that are not listed: an entry that expired during a store outage comes back. */
  readonly #known = new lru.LRUCache<string, KnownServer>({
    ...constants.SERVER_CACHE,
    dispose: (_, server, reason) => {
      if (reason === "evict") this.#permits.forget(server);
    },
  });
  readonly #uses = new lru.LRUCache<string, OwnUse>(constants.SERVER_CACHE);
  /** Servers that answered without naming themselves brittle. */
  readonly #sound = new lru.LRUCache<string, true>(constants.SERVER_CACHE);
  readonly #permits: ratePermits.RatePermits;
  readonly #failedPeers = new Map<string, number>();
  #listed: ReadonlyMap<string, number> = new Map();
  #senders = NO_SENDERS;
  /** What silent servers of a service bear, and when it was found. */
  readonly #serviceRates = new Map<
    string,
    { readonly at: number; readonly perSecond: number | undefined }
  >();
  #hosts: number | undefined;
  /** Time of the last refusal or loss of a brittle server, by service; none of them has its usual room any more. */
  readonly #shortSince = new Map<string, number>();

  constructor(options: BrittleServersOptions) {
    this.#host = options.host;
    this.#asksOthers = options.asksOthers ?? false;
    this.#permits = new ratePermits.RatePermits(options);
  }

  /** Sets the number of hosts; before that, the host runs one request at a time at a brittle server and has no permits. */
  setHosts(hosts: number): void {
    this.#hosts = hosts;
    this.#permits.setHosts(hosts);
  }

  /** Sets the listed servers. */
  setServers(servers: readonly BrittleTarget[]): void {
    const counts = new Map<string, number>();
    servers.forEach(({ service }) =>
      counts.set(service, (counts.get(service) ?? 0) + 1)
    );
    this.#listed = counts;
  }

  /** Sets the senders that hosts agree on; those of services that have none any more stay valid for some time. */
  setSenders(
    assignments: readonly brittleSenders.SenderAssignment[],
    now: number,
  ): void {
    if (assignments.length === 0) return;
    const own = new Set(
      assignments.filter(({ sender }) => sender.host === this.#host)
        .map(({ server }) => server),
    );
    [...own].filter((server) => !this.#senders.own.has(server))
      .forEach((server) =>
        this.#uses.set(server, this.#createUse(server, now))
      );
    this.#senders = {
      at: now,
      services: new Set(assignments.map(({ service }) => service)),
      own,
      others: assignments.filter(({ sender }) => sender.host !== this.#host),
    };
  }

  /** Records what a response says; `now` is the time of the response. */
  recordResponse(
    server: string,
    { service, perSecond, sentAt, succeeded }: BrittlenessReport,
    now: number,
  ): void {
    const known = this.#known.get(server);
    if (perSecond === undefined) {
      if (succeeded && this.hasAny()) this.#sound.set(server, true);
      if (succeeded && known !== undefined && sentAt > known.at) {
        this.#recordSound(known, sentAt);
      }
      return;
    }
    const startedAt = known?.perSecond === undefined
      ? now
      : known.at - known.forMs;
    const forMs = now - startedAt;
    this.#sound.delete(server);
    this.#known.set(server, {
      server,
      service,
      perSecond,
      at: now,
      forMs,
      own: true,
    });
    if (succeeded) this.#recordServed(server, { sentAt, now });
  }

  /** Records that a server no longer names itself, and repeats it until the clocks of other hosts cannot hide it. */
  #recordSound(known: KnownServer, at: number): void {
    const { endedAt = at } = known;
    const isOld = at - endedAt > END_REPEAT_MS;
    if (known.perSecond === undefined && isOld) return;
    this.#end({ ...known, at, endedAt, own: true });
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
    { server, service }: BrittleTarget,
    { running, now }: Pick<OwnLoad, "running" | "now">,
  ): void {
    const perSecond = this.#findRate({ server, service }, now);
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
  recordLoss(target: BrittleTarget, now: number): void {
    if (this.#findRate(target, now) === undefined) return;
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
  merge(records: readonly BrittleRecord[], now: number): void {
    this.#forgetOld(now);
    records.forEach((record) => {
      const known = this.#known.get(record.server);
      const hasEnded = record.perSecond === undefined;
      if (hasEnded && known?.perSecond === undefined) return;
      const marginMs = hasEnded ? END_MARGIN_MS : 0;
      if (record.at <= (known?.at ?? -Infinity) + marginMs) return;
      if (hasEnded) return this.#end({ ...record, own: false });
      const isSame = known?.perSecond !== undefined;
      const forMs = isSame
        ? Math.max(record.forMs, record.at - (known.at - known.forMs))
        : record.forMs;
      this.#known.set(record.server, { ...record, forMs, own: false });
    });
  }

  /** Forgets servers that no host has sent anything for long, and such as are gone. */
  #forgetOld(now: number): void {
    [...this.#known.values()]
      .filter(({ at, perSecond }) =>
        now - at > (perSecond === undefined ? END_REPORT_MS : FORGET_MS)
      )
      .forEach(({ server }) => {
        this.#known.delete(server);
        this.#uses.delete(server);
        this.#permits.forget(server);
      });
    if (this.#known.size === 0) this.#sound.clear();
  }

  /** Lists what this host learned from responses lately, to share with other hosts. */
  listOwn(now: number): BrittleRecord[] {
    return [...this.#known.values()]
      .filter(({ own, at }) => own && now - at <= END_REPORT_MS)
      .map(({ own: _own, endedAt: _endedAt, ...record }) => record);
  }

  /** Whether a server counts as brittle: it says so, or it is silent so far and its service does. */
  isBrittle(target: BrittleTarget, now: number): boolean {
    return this.#findRate(target, now) !== undefined;
  }

  /** Counts the servers that say that they are brittle. */
  countByState(): BrittleCounts {
    const brittle = [...this.#known.values()]
      .filter(({ perSecond }) => perSecond !== undefined)
      .map(({ server }) => server);
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

  /** Whether any server is brittle, or may be as far as this host knows. */
  hasAny(): boolean {
    return this.#known.size > 0 || this.#isUninformed();
  }

  /** Whether no other host has told this one yet which servers are brittle. */
  #isUninformed(): boolean {
    return this.#asksOthers && this.#hosts === undefined;
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
  countFree(target: BrittleTarget, load: OwnLoad): number {
    if (this.#findRole(target, load.now) !== "sender") return 0;
    const { window, pausedUntil, growsFrom } = this.#getUse(target.server);
    if (load.now < pausedUntil) return 0;
    const most = load.now < growsFrom
      ? Math.min(window, load.slots)
      : load.slots;
    return Math.max(0, most - load.running);
  }

  /** Whether this host may send a server one more request. */
  mayUse(target: BrittleTarget, load: OwnLoad): boolean {
    const perSecond = this.#findRate(target, load.now);
    if (perSecond === undefined) {
      return !this.#isUninformed() || load.running === 0;
    }
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
    target: BrittleTarget,
    { slots, now }: Pick<OwnLoad, "slots" | "now">,
  ): number {
    const perSecond = this.#findRate(target, now);
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
    target: BrittleTarget,
    { running, now }: Pick<OwnLoad, "running" | "now">,
  ): void {
    if (this.#findRate(target, now) === undefined) return;
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
    { server }: BrittleTarget,
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
    target: BrittleTarget,
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
    target: BrittleTarget,
    { slots, now }: Pick<OwnLoad, "slots" | "now">,
  ): boolean {
    return this.#getUse(target.server).refusedAt !== undefined ||
      (this.#computeShare(slots) < 1 && !this.#hasUsualRoom(target, now));
  }

  #computeShare(slots: number): number {
    return Math.floor(slots / (this.#hosts ?? slots));
  }

  /** Whether a server has only just said that it is brittle, and still lets as many requests wait as before. */
  #hasUsualRoom({ server, service }: BrittleTarget, now: number): boolean {
    const known = this.#known.get(server);
    if (known?.perSecond === undefined) return false;
    const startedAt = known.at - known.forMs;
    return now - startedAt < USUAL_ROOM_MS &&
      (this.#shortSince.get(service) ?? -Infinity) < startedAt;
  }

  #findRole({ server, service }: BrittleTarget, now: number): Role {
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

  /** Returns the refusals per second that a server bears; undefined if it is not brittle. */
  #findRate(
    { server, service }: BrittleTarget,
    now: number,
  ): number | undefined {
    if (this.#known.size === 0) return undefined;
    const known = this.#known.get(server);
    if (known !== undefined) return known.perSecond;
    if (this.#sound.has(server)) return undefined;
    return this.#findServiceRate(service, now);
  }

  /** Returns the refusals per second that a silent server of a service bears; undefined if the service is not brittle. */
  #findServiceRate(service: string, now: number): number | undefined {
    const cached = this.#serviceRates.get(service);
    if (cached !== undefined && now - cached.at < SERVICE_RATE_MS) {
      return cached.perSecond;
    }
    const siblings = [...this.#known.values()].filter((one) =>
      one.service === service && one.perSecond !== undefined &&
      now - one.at <= SERVICE_MS
    );
    const listed = this.#listed.get(service) ?? 0;
    const isBrittle = siblings.length > 0 &&
      siblings.length >= SERVICE_SHARE * listed;
    const perSecond = isBrittle
      ? Math.min(...siblings.map((one) => one.perSecond ?? 0))
      : undefined;
    this.#serviceRates.set(service, { at: now, perSecond });
    return perSecond;
  }

  #getUse(server: string): OwnUse {
    return this.#uses.get(server) ?? UNUSED;
  }

  /** Creates the state of a server whose sender this host has just become. */
  #createUse(server: string, now: number): OwnUse {
    const known = this.#known.get(server);
    if (known !== undefined && this.#hasUsualRoom(known, now)) {
      return { ...UNUSED, window: Number.POSITIVE_INFINITY };
    }
    const hadSender = known !== undefined &&
      now - (known.at - known.forMs) > FIRST_SENDER_MS;
    return { ...UNUSED, pausedUntil: hadSender ? now + CHANGE_MS : 0 };
  }

  #end(known: KnownServer): void {
    const { perSecond: _perSecond, ...ended } = known;
    this.#known.set(known.server, ended);
    this.#uses.delete(known.server);
    this.#permits.forget(known.server);
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
