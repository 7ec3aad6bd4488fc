/**
 * Simulates the hosts of a deployment and a small service whose servers end under a
 * poison request: dispatchers, statuses over the relays of the failure domains,
 * messages between hosts, callers that come again, and faults of hosts, links and
 * servers.
 */
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as fleetTesting from "./fleet_testing.ts";
import * as testing from "./testing.ts";

/** Time from which the poison request comes, in ms. */
const POISON_FROM_MS = 4_000;
/** Time from its start to the end of its server, in ms. */
const POISON_RUN_MS = 60;
const DOWN_MS = 3_000;
/** Time until hosts learn of a new server, in ms. */
const LIST_MS = 300;
const LINK_MS = 1;
const ROUND_MS = 1_000;
const ELECTION_MS = 3_000;
const DRAIN_MS = 4_500;
/** Time for which published statuses stay in the store, in ms. */
const PUBLISHED_MS = 15_000;
const TICK_MS = 20;
const CONNECT_TIMEOUT_MS = 400;
const ASK_MS = 400;
const TRIAL_WAIT_MS = 60;
const REACHED_MS = 400;
const SPREAD_MS = 20;
const FANOUT = 4;
const MARK_TTL_MS = 10_000;
const TARGET_MS = 300;
const DEADLINE_MS = 1_500;
const SERVICE_MS = 70;
const SLOTS = 6;
const ROOM = 8;
const SERVICE = "rooms";
/** Ends from which the users' rule counts, and the time that it allows then, in ms. */
const COUNTED_ENDS = 3;
const WINDOW_MS = 3_000;
/** Time after which the servers and hosts have recovered from a fault, in ms. */
const RECOVERY_MS = 4_000;

/** A deployment with one service and the callers of a poison request. */
export interface Fleet {
  readonly hosts: number;
  readonly domains: number;
  readonly servers: number;
  /** Time after the end of a server at which its entry goes, in ms. */
  readonly goneMs: number;
  /** Whether a server is back under its name. */
  readonly keepsName: boolean;
  /** Callers of the poison request; 0 means that there is none. */
  readonly callers: number;
  /** Pause of such a caller between two requests, in ms. */
  readonly pauseMs: number;
  readonly repeatable: boolean;
  /** Sound requests as a share of what all slots serve, and the share of them that are alike. */
  readonly load: number;
  readonly alike: number;
  /** Largest error of the hosts' clocks, in ms. */
  readonly skewMs: number;
  readonly totalMs: number;
  /** Time after which a caller of the poison request leaves, in ms; its server goes on with it. @default it waits */
  readonly leavesMs?: number;
  readonly faults: readonly Fault[];
  readonly seed: number;
}

/** A fault at a time in ms. */
export type Fault =
  /** A host is killed and starts again a second later. */
  | { readonly kind: "killed"; readonly host: number; readonly at: number }
  | { readonly kind: "joined"; readonly at: number }
  /** All hosts drain, one after the other or together, and start again. */
  | { readonly kind: "rolled"; readonly gapMs: number; readonly at: number }
  /** All hosts are killed and start again a second later. */
  | { readonly kind: "all_killed"; readonly at: number }
  /** Nobody reaches the host, and it reaches nobody. */
  | {
    readonly kind: "cut_off";
    readonly host: number;
    readonly at: number;
    readonly forMs: number;
  }
  /** Hosts lose their links to all servers. */
  | {
    readonly kind: "links_cut";
    readonly share: number;
    readonly how: "hang" | "reset" | "refuse_new";
    readonly at: number;
    readonly forMs: number;
  }
  | {
    readonly kind: "relay_killed";
    readonly domain: number;
    readonly at: number;
  }
  /** No relay is elected meanwhile. */
  | { readonly kind: "store_lost"; readonly at: number; readonly forMs: number }
  /** A server ends for another reason. */
  | {
    readonly kind: "server_lost";
    readonly server: number;
    readonly at: number;
  };

/** What happened. */
export interface Outcome {
  /** Ends of servers under the poison request. */
  readonly ends: number;
  /** Arrivals of the poison request at servers, sent by hosts in touch later than the window after the third end. */
  readonly more: number;
  /** The same, sent by any host. */
  readonly moreAnywhere: number;
  /** Sound requests at hosts in touch while the service was whole, and those that were served. */
  readonly sound: number;
  readonly served: number;
  /** Sound requests that were refused as poison. */
  readonly refusedAsPoison: number;
}

interface Host {
  readonly name: string;
  readonly index: number;
  readonly domain: string;
  readonly startedAt: number;
  readonly skewMs: number;
  readonly dispatcher: core.Dispatcher;
  readonly marks: core.MarkSet;
  readonly told: Set<string>;
  readonly calls: Map<string, Call>;
  news: core.SuspectMark[];
  wrong: Record<string, number>;
  answered: Record<string, number>;
  isSpreading: boolean;
  isAsking: boolean;
  peers: core.PeerHost[];
  statuses: core.HostStatuses;
  published?: core.HostsSummary;
  alive: boolean;
  isDraining: boolean;
}

interface Server {
  readonly index: number;
  readonly domain: string;
  born: number;
  isUp: boolean;
  upFrom: number;
  listed: readonly string[];
  running: Attempt[];
  waiting: Attempt[];
}

interface Attempt {
  readonly host: Host;
  readonly request: core.Request;
  readonly attempt: number;
  ended: boolean;
}

/** A request of a caller. */
interface Call {
  readonly sentAt: number;
  readonly host: Host;
  readonly isCounted: boolean;
  readonly fingerprint: string;
  /** Called when it is served or refused. */
  readonly onEnd: (served: boolean, waitMs?: number) => void;
}

/**
 * Runs a fleet and counts what happened.
 *
 * @example
 * const { ends, more } = replayFleet(fleet);
 */
export function replayFleet(fleet: Fleet): Outcome {
  return new Simulation(fleet).run();
}

class Simulation {
  readonly #fleet: Fleet;
  readonly #random: utils.Random;
  readonly #time = new fleetTesting.VirtualTime();
  readonly #hosts: Host[] = [];
  readonly #servers: Server[];
  readonly #relays = new Map<string, { host: Host; until: number }>();
  /** Hosts of each cut of links, by the index of its fault. */
  readonly #withoutLinks = new Map<number, ReadonlySet<number>>();
  readonly #endedAt: number[] = [];
  /** Last time at which a server ended or the links of a host were cut. */
  #disturbedAt = 0;
  #ids = 0;
  readonly #counts = {
    more: 0,
    moreAnywhere: 0,
    sound: 0,
    served: 0,
    refusedAsPoison: 0,
  };
  /** What relays published in the store, by failure domain; the times of marks are true. */
  readonly #published = new Map<
    string,
    { readonly known: readonly core.SuspectMark[]; readonly at: number }
  >();

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#random = utils.createRandom(fleet.seed);
    this.#servers = Array.from({ length: fleet.servers }, (_, index) => ({
      index,
      domain: `d${index % fleet.domains}`,
      born: 0,
      isUp: true,
      upFrom: 0,
      listed: [`s${index}@0`],
      running: [],
      waiting: [],
    }));
    Array.from(
      { length: fleet.hosts },
      (_, index) => this.#hosts.push(this.#startHost(index)),
    );
  }

  get #now(): number {
    return this.#time.now;
  }

  run(): Outcome {
    const { faults, totalMs, callers } = this.#fleet;
    faults.forEach((fault, index) => this.#scheduleFault(fault, index));
    Array.from(
      { length: callers },
      () => this.#time.schedule(POISON_FROM_MS, () => this.#sendPoison()),
    );
    this.#scheduleSound();
    this.#time.run(totalMs);
    return { ends: this.#endedAt.length, ...this.#counts };
  }

  #startHost(index: number): Host {
    const domain = `d${index % this.#fleet.domains}`;
    const name = `h${index}`;
    const host: Host = {
      name,
      index,
      domain,
      startedAt: this.#now,
      skewMs: (2 * this.#random.next() - 1) * this.#fleet.skewMs,
      dispatcher: fleetTesting.createDispatcher({
        host: name,
        failureDomain: domain,
        seed: this.#random.below(2 ** 31),
        suspects: {
          isolateAfter: 2,
          poisonLimit: 3,
          holdsRemote: false,
          sparesAnswered: true,
        },
      }),
      marks: new core.MarkSet(),
      told: new Set(),
      calls: new Map(),
      news: [],
      wrong: {},
      answered: {},
      isSpreading: false,
      isAsking: false,
      peers: [],
      statuses: new core.HostStatuses(),
      alive: true,
      isDraining: false,
    };
    const configuration = fleetTesting.buildConfiguration({
      failureDomain: domain,
      slots: SLOTS,
      serves: "service",
    });
    this.#send(host, { kind: "configured", configuration });
    this.#sendServers(host);
    this.#askForKnown(host);
    this.#time.schedule(this.#random.below(TICK_MS), () => this.#tick(host));
    this.#time.schedule(
      300 + this.#random.below(ROUND_MS / 2),
      () => this.#runRound(host),
    );
    return host;
  }

  #scheduleFault(fault: Fault, index: number): void {
    const { hosts } = this.#fleet;
    const at = (run: () => void) => this.#time.schedule(fault.at, run);
    switch (fault.kind) {
      case "killed":
        return at(() => this.#restartHost(fault.host % hosts));
      case "joined":
        return at(() =>
          void this.#hosts.push(this.#startHost(this.#hosts.length))
        );
      case "rolled":
        return this.#fleet.hosts === 0
          ? undefined
          : at(() =>
            this.#hosts.forEach(({ index }) =>
              this.#time.schedule(
                index * fault.gapMs,
                () => this.#drainHost(index),
              )
            )
          );
      case "all_killed":
        return at(() =>
          this.#hosts.forEach(({ index }) => this.#restartHost(index))
        );
      case "relay_killed":
        return at(() => {
          const relay = this.#findRelay(`d${fault.domain}`);
          if (relay !== undefined) this.#restartHost(relay.index);
        });
      case "server_lost":
        return at(() =>
          this.#endServer(this.#servers[fault.server % this.#servers.length])
        );
      case "links_cut":
        return at(() => this.#dropLinks(fault, index));
      case "cut_off":
      case "store_lost":
        return;
    }
  }

  /** Drains a host, which takes no callers and is no relay any more, and restarts it. */
  #drainHost(index: number): void {
    const host = this.#hosts[index];
    if (!host.alive || host.isDraining) return;
    host.isDraining = true;
    this.#time.schedule(DRAIN_MS, () => {
      if (this.#hosts[index] === host) this.#restartHost(index);
    });
  }

  #restartHost(index: number): void {
    const host = this.#hosts[index];
    if (!host.alive) return;
    host.alive = false;
    this.#listAttempts().filter((one) => one.host === host)
      .forEach((attempt) => this.#leaveServer(attempt));
    [...host.calls.values()].forEach(({ onEnd }) => onEnd(false));
    this.#time.schedule(1_000, () => {
      this.#hosts[index] = this.#startHost(index);
    });
  }

  #dropLinks(
    fault: Extract<Fault, { kind: "links_cut" }>,
    index: number,
  ): void {
    this.#disturbedAt = Math.max(this.#disturbedAt, fault.at + fault.forMs);
    const cut = new Set(
      this.#hosts.filter(() => this.#random.next() < fault.share)
        .map((host) => host.index),
    );
    this.#withoutLinks.set(index, cut);
    if (fault.how === "refuse_new") return;
    this.#listAttempts().filter(({ host }) => cut.has(host.index))
      .forEach((attempt) => {
        this.#leaveServer(attempt);
        const ms = fault.how === "reset" ? LINK_MS : fault.forMs;
        this.#time.schedule(
          ms,
          () => this.#failAttempt(attempt, "connection_lost"),
        );
      });
  }

  /** Finds how the links of a host are cut now; undefined if they are not. */
  #findCut(host: Host): "hang" | "reset" | "refuse_new" | undefined {
    const { faults } = this.#fleet;
    if (this.#isCutOff(host)) return "hang";
    const [found] = faults.flatMap((fault, index) =>
      fault.kind === "links_cut" && this.#now >= fault.at &&
        this.#now < fault.at + fault.forMs &&
        this.#withoutLinks.get(index)?.has(host.index)
        ? [fault.how]
        : []
    );
    return found;
  }

  #isCutOff({ index }: Host, slackMs = 0): boolean {
    return this.#fleet.faults.some((fault) =>
      fault.kind === "cut_off" && fault.host % this.#fleet.hosts === index &&
      this.#now >= fault.at && this.#now < fault.at + fault.forMs + slackMs
    );
  }

  #isInTouch(host: Host): boolean {
    return host.alive && !this.#isCutOff(host, WINDOW_MS) &&
      (host.startedAt === 0 || this.#now - host.startedAt >= WINDOW_MS);
  }

  #tick(host: Host): void {
    if (!host.alive) return;
    this.#send(host, { kind: "ticked" });
    this.#time.schedule(TICK_MS, () => this.#tick(host));
  }

  #send(host: Host, event: core.DispatchEvent): void {
    if (!host.alive) return;
    host.dispatcher.handle(event, this.#now)
      .forEach((effect) => this.#applyEffect(host, effect));
  }

  #applyEffect(host: Host, effect: core.DispatchEffect): void {
    switch (effect.kind) {
      case "start":
        return this.#sendAttempt(host, effect);
      case "stop":
        return this.#listAttempts()
          .filter(({ request }) => request.id === effect.requestId)
          .forEach((attempt) => this.#leaveServer(attempt));
      case "refuse":
        return this.#refuseCall(host, effect);
      case "hand_over":
        return this.#forwardToPeers(host, effect.request, effect.peers);
      case "suspect":
        host.marks.add({ ...effect.mark, until: this.#now + MARK_TTL_MS });
        return this.#addNews(host, [effect.mark]);
      case "suspects_changed":
        return effect.change === "doubted"
          ? this.#addNews(host, effect.marks)
          : undefined;
      case "suspect_answered":
        host.answered[effect.fingerprint] = effect.at;
        return this.#scheduleSpread(host);
      case "losses_withdrawn":
        host.marks.withdraw(effect.loss);
        host.wrong[effect.loss.server] = effect.loss.at;
        return this.#scheduleSpread(host);
      case "try_links":
        return effect.servers.forEach(({ name }) => this.#tryLink(host, name));
      case "links_changed":
        return this.#startAsking(host);
      default:
        return;
    }
  }

  #listAttempts(): Attempt[] {
    return this.#servers.flatMap(({ running, waiting }) => [
      ...running,
      ...waiting,
    ]);
  }

  /** Finds the process that answers at the address of a listed server. */
  #findServer(name: string): Server | undefined {
    const index = Number(name.slice(1).split("@")[0]);
    const server = this.#servers[index];
    return server.isUp ? server : undefined;
  }

  #tryLink(host: Host, server: string): void {
    const cut = this.#findCut(host);
    const ms = cut === "hang" ? CONNECT_TIMEOUT_MS : LINK_MS;
    this.#time.schedule(ms, () =>
      this.#send(host, {
        kind: "connection_tried",
        server,
        reachable: cut === undefined && this.#findServer(server) !== undefined,
        refused: cut === undefined
          ? this.#findServer(server) === undefined
          : cut !== "hang",
      }));
  }

  #sendAttempt(
    host: Host,
    { request, attempt, server }: Extract<
      core.DispatchEffect,
      { kind: "start" }
    >,
  ): void {
    const sent: Attempt = { host, request, attempt, ended: false };
    const cut = this.#findCut(host);
    if (cut !== undefined) {
      const ms = cut === "hang" ? CONNECT_TIMEOUT_MS : LINK_MS;
      return this.#time.schedule(ms, () => {
        this.#send(host, {
          kind: "connection_tried",
          server: server.name,
          reachable: false,
          refused: cut !== "hang",
        });
        this.#failAttempt(sent, "not_sent");
      });
    }
    this.#time.schedule(LINK_MS, () => {
      const reached = this.#findServer(server.name);
      this.#send(host, {
        kind: "connection_tried",
        server: server.name,
        reachable: reached !== undefined,
        refused: reached === undefined,
      });
      if (reached === undefined) return this.#failAttempt(sent, "not_sent");
      const isNamed = this.#fleet.keepsName ||
        server.name === `s${reached.index}@${reached.born}`;
      if (!isNamed) return this.#failAttempt(sent, "misdirected");
      this.#arriveAt(reached, sent, server.name);
    });
  }

  #arriveAt(server: Server, attempt: Attempt, name: string): void {
    if (!attempt.host.alive) return;
    if (attempt.request.fingerprint === "poison") this.#countPoison(attempt);
    if (server.running.length < SLOTS) {
      return this.#runAt(server, attempt, name);
    }
    if (server.waiting.length < ROOM) {
      server.waiting.push(attempt);
      return;
    }
    this.#time.schedule(LINK_MS, () => this.#failAttempt(attempt, "refused"));
  }

  #countPoison({ host, request }: Attempt): void {
    const third = this.#endedAt[COUNTED_ENDS - 1] ?? Number.POSITIVE_INFINITY;
    if (request.arrivedAt <= third + WINDOW_MS) return;
    this.#counts.moreAnywhere += 1;
    if (this.#isInTouch(host)) this.#counts.more += 1;
  }

  #runAt(server: Server, attempt: Attempt, name: string): void {
    server.running.push(attempt);
    const { born } = server;
    if (attempt.request.fingerprint === "poison") {
      return this.#time.schedule(POISON_RUN_MS, () => {
        const isLeft = attempt.ended && this.#fleet.leavesMs === undefined;
        if (isLeft || server.born !== born || !server.isUp) return;
        this.#endedAt.push(this.#now);
        this.#endServer(server);
      });
    }
    this.#time.schedule(SERVICE_MS * (0.5 + this.#random.next()), () => {
      if (attempt.ended) return;
      this.#leaveServer(attempt);
      const { host, request } = attempt;
      this.#send(host, {
        kind: "responded",
        server: name,
        signals: core.NO_SIGNALS,
        sentAt: this.#now - SERVICE_MS,
        succeeded: true,
      });
      this.#send(host, {
        kind: "finished",
        requestId: request.id,
        attempt: attempt.attempt,
        tokens: 1,
      });
      const call = host.calls.get(request.id);
      host.calls.delete(request.id);
      call?.onEnd(true);
    });
  }

  #leaveServer(attempt: Attempt): void {
    attempt.ended = true;
    this.#servers.forEach((server) => {
      server.running = server.running.filter((one) => one !== attempt);
      server.waiting = server.waiting.filter((one) => one !== attempt);
      const next = server.running.length < SLOTS
        ? server.waiting.shift()
        : undefined;
      if (next !== undefined) {
        this.#runAt(server, next, `s${server.index}@${server.born}`);
      }
    });
  }

  #failAttempt(
    { host, request, attempt }: Attempt,
    failure: core.AttemptFailure,
  ): void {
    this.#send(host, {
      kind: "failed",
      requestId: request.id,
      attempt,
      failure,
      answerStarted: false,
      resumable: false,
    });
  }

  #endServer(server: Server): void {
    if (!server.isUp) return;
    this.#disturbedAt = this.#now;
    const lost = [...server.running, ...server.waiting];
    const old = `s${server.index}@${server.born}`;
    Object.assign(server, { running: [], waiting: [], isUp: false });
    lost.forEach((attempt) => {
      attempt.ended = true;
      this.#time.schedule(
        LINK_MS,
        () => this.#failAttempt(attempt, "connection_lost"),
      );
    });
    const { goneMs, keepsName } = this.#fleet;
    this.#time.schedule(goneMs, () => this.#setListed(server, { drop: old }));
    this.#time.schedule(DOWN_MS, () => {
      server.isUp = true;
      server.born = this.#now;
      server.upFrom = this.#now;
      const name = `s${server.index}@${server.born}`;
      const listMs = keepsName ? Math.max(LIST_MS, goneMs - DOWN_MS) : LIST_MS;
      this.#time.schedule(listMs, () => {
        if (server.born !== Number(name.split("@")[1])) return;
        this.#setListed(server, { add: name });
      });
    });
  }

  #setListed(
    server: Server,
    { drop, add }: { readonly drop?: string; readonly add?: string },
  ): void {
    const left = server.listed.filter((name) => name !== drop);
    const added = add === undefined ? [] : [add];
    // An entry under the same name replaces the one before.
    const kept = add !== undefined && this.#fleet.keepsName ? [] : left;
    server.listed = [...kept, ...added];
    this.#hosts.forEach((host) => this.#sendServers(host));
  }

  #sendServers(host: Host): void {
    if (this.#isCutOff(host)) {
      this.#time.schedule(ROUND_MS, () => this.#sendServers(host));
      return;
    }
    const servers = this.#servers.flatMap(({ listed, domain }) =>
      listed.map((name): core.ServerInfo => ({
        name,
        pool: SERVICE,
        url: "",
        state: "live",
        slots: SLOTS,
        failureDomain: domain,
      }))
    );
    this.#send(host, { kind: "servers_changed", servers });
  }

  #drawHost(): Host | undefined {
    const open = this.#hosts.filter((host) =>
      host.alive && !host.isDraining && !this.#isCutOff(host)
    );
    return open[this.#random.below(Math.max(1, open.length))];
  }

  #sendPoison(): void {
    const again = () =>
      this.#time.schedule(this.#fleet.pauseMs, () => this.#sendPoison());
    const host = this.#drawHost();
    if (host === undefined) return again();
    let isOpen = true;
    const id = this.#openCall(host, {
      sentAt: this.#now,
      host,
      isCounted: false,
      fingerprint: "poison",
      onEnd: () => {
        if (!isOpen) return;
        isOpen = false;
        again();
      },
    }, { repeatable: this.#fleet.repeatable });
    if (this.#fleet.leavesMs === undefined) return;
    this.#time.schedule(this.#fleet.leavesMs, () => {
      if (!isOpen) return;
      isOpen = false;
      host.calls.delete(id);
      this.#send(host, { kind: "cancelled", requestId: id });
      again();
    });
  }

  #scheduleSound(): void {
    const { servers, load, alike } = this.#fleet;
    const gapMs = SERVICE_MS / (servers * SLOTS * load);
    this.#time.schedule(utils.drawExponential(this.#random, gapMs), () => {
      this.#scheduleSound();
      this.#ids += 1;
      const host = this.#drawHost();
      if (host === undefined) return;
      const isAlike = this.#random.next() < alike;
      this.#sendSound(host, {
        fingerprint: isAlike ? "alike" : `f${this.#ids}`,
        triesLeft: 1,
        isCounted: this.#isWhole(host),
      });
    });
  }

  /** Whether a host is in touch and no server has ended, nor link been cut, for some time. */
  #isWhole(host: Host): boolean {
    const { totalMs } = this.#fleet;
    return this.#isInTouch(host) && this.#servers.every(({ isUp }) => isUp) &&
      this.#now - this.#disturbedAt >= DOWN_MS + RECOVERY_MS &&
      this.#now <= totalMs - DEADLINE_MS;
  }

  #sendSound(
    host: Host,
    { fingerprint, triesLeft, isCounted }: {
      readonly fingerprint: string;
      readonly triesLeft: number;
      readonly isCounted: boolean;
    },
  ): void {
    if (isCounted && triesLeft === 1) this.#counts.sound += 1;
    this.#openCall(host, {
      sentAt: this.#now,
      host,
      isCounted,
      fingerprint,
      onEnd: (served, waitMs = 0) => {
        if (served && isCounted) this.#counts.served += 1;
        if (served || triesLeft === 0) return;
        this.#time.schedule(Math.min(waitMs, DEADLINE_MS / 3), () => {
          const other = this.#drawHost();
          if (other === undefined) return;
          this.#sendSound(other, { fingerprint, triesLeft: 0, isCounted });
        });
      },
    });
  }

  #openCall(
    host: Host,
    call: Call,
    changes: Partial<core.Request> = {},
  ): string {
    this.#ids += 1;
    const id = `${call.fingerprint}#${this.#ids}`;
    host.calls.set(id, call);
    this.#send(host, {
      kind: "arrived",
      request: {
        ...testing.buildRequest(id, { tier: 1 }),
        arrivedAt: call.sentAt,
        startBy: this.#now + TARGET_MS,
        queueMs: TARGET_MS,
        targetMs: TARGET_MS,
        maxAttempts: 2,
        ...changes,
      },
    });
    return id;
  }

  #refuseCall(
    host: Host,
    { requestId, refusal }: Extract<core.DispatchEffect, { kind: "refuse" }>,
  ): void {
    const call = host.calls.get(requestId);
    host.calls.delete(requestId);
    if (call === undefined) return;
    const isWrong = refusal.code === "poison_request" &&
      call.fingerprint !== "poison";
    if (isWrong) this.#counts.refusedAsPoison += 1;
    call.onEnd(false, refusal.retryAfterMs);
  }

  /** Sends a request to other hosts, one after another; if none takes it, its own host does what it can. */
  #forwardToPeers(
    host: Host,
    request: core.Request,
    peers: readonly string[],
  ): void {
    const call = host.calls.get(request.id);
    host.calls.delete(request.id);
    if (call === undefined) return;
    const [name, ...others] = peers;
    const changes = { repeatable: request.repeatable, handedOver: true };
    if (name === undefined) return void this.#openCall(host, call, changes);
    const peer = this.#hosts.find((one) => one.name === name && one.alive);
    this.#time.schedule(LINK_MS, () => {
      const isReached = peer !== undefined && !this.#isCutOff(peer) &&
        !this.#isCutOff(host);
      const tryNext = () => {
        host.calls.set(request.id, call);
        this.#forwardToPeers(host, request, others);
      };
      if (!isReached) return tryNext();
      this.#openCall(peer, {
        ...call,
        onEnd: (served, waitMs) =>
          served
            ? call.onEnd(true)
            : others.length > 0
            ? tryNext()
            : call.onEnd(false, waitMs),
      }, changes);
    });
  }

  #startAsking(host: Host): void {
    if (host.isAsking) return;
    host.isAsking = true;
    this.#askPeers(host);
  }

  /** Asks other hosts whether they reach the servers until this host does all itself. */
  #askPeers(host: Host): void {
    if (!host.alive) return;
    if (host.dispatcher.hasFullShare(this.#now)) {
      host.isAsking = false;
      this.#setPeers(host, []);
      return;
    }
    this.#time.schedule(ASK_MS, () => this.#askPeers(host));
    this.#drawOthers(host, 6).forEach((other) => {
      const reached = () =>
        Object.values(other.dispatcher.listReached(this.#now))
          .some((ageMs) => ageMs <= REACHED_MS);
      if (!reached()) this.#send(other, { kind: "links_questioned" });
      this.#time.schedule(TRIAL_WAIT_MS, () => {
        const left = host.peers.filter((peer) => peer.host !== other.name);
        const peer = {
          host: other.name,
          failureDomain: other.domain,
          targets: [SERVICE],
          queued: other.dispatcher.countOpen().queued,
        };
        this.#setPeers(host, reached() ? [...left, peer] : left);
      });
    });
  }

  #setPeers(host: Host, peers: core.PeerHost[]): void {
    host.peers = peers;
    this.#send(host, { kind: "peers_changed", peers });
  }

  #drawOthers(host: Host, count: number): Host[] {
    const left = this.#hosts.filter((one) =>
      one !== host && one.alive && !this.#isCutOff(one) &&
      !this.#isCutOff(host)
    );
    return Array.from(
      { length: Math.min(count, left.length) },
      () => left.splice(this.#random.below(left.length), 1)[0],
    );
  }

  #addNews(host: Host, marks: readonly core.SuspectMark[]): void {
    const news = marks.map((mark) => markDoubtful(host, mark))
      .filter((mark) => isNews(host, mark));
    if (news.length === 0) return;
    host.news.push(...news);
    this.#scheduleSpread(host);
  }

  #scheduleSpread(host: Host): void {
    if (host.isSpreading) return;
    host.isSpreading = true;
    this.#time.schedule(SPREAD_MS, () => {
      host.isSpreading = false;
      const marks = host.news.splice(0).map((mark) => markDoubtful(host, mark));
      const { wrong: wrongLosses, answered } = host;
      host.wrong = {};
      host.answered = {};
      if (!host.alive) return;
      this.#drawOthers(host, FANOUT).forEach((other) =>
        this.#time.schedule(LINK_MS, () => {
          const shifted = applyShift({ marks, wrongLosses, answered }, {
            byMs: host.skewMs - other.skewMs,
          });
          const news = shifted.marks.filter((mark) => isNews(other, mark));
          this.#send(other, { kind: "suspected", ...shifted, marks: news });
          if (news.length === 0) return;
          other.news.push(...news);
          this.#scheduleSpread(other);
        })
      );
    });
  }

  /** Finds the relay of a failure domain; undefined while a new one is elected. */
  #findRelay(domain: string): Host | undefined {
    const known = this.#relays.get(domain);
    const isReplaced = known?.host.isDraining ||
      this.#hosts[known?.host.index ?? 0] !== known?.host;
    if (
      known !== undefined && known.host.alive && !isReplaced &&
      !this.#isCutOff(known.host)
    ) {
      known.until = this.#now + ELECTION_MS;
      return known.host;
    }
    // One that drains has released the role.
    const isElecting = known !== undefined && !known.host.isDraining &&
      this.#now < known.until;
    if (this.#isStoreLost() || isElecting) return undefined;
    const host = this.#hosts.find((one) =>
      one.alive && !one.isDraining && one.domain === domain &&
      !this.#isCutOff(one)
    );
    if (host !== undefined) {
      this.#relays.set(domain, { host, until: this.#now + ELECTION_MS });
    }
    return host;
  }

  #isStoreLost(): boolean {
    return this.#fleet.faults.some((fault) =>
      fault.kind === "store_lost" && this.#now >= fault.at &&
      this.#now < fault.at + fault.forMs
    );
  }

  /** Lets a host that starts learn what its relay knows, or what is published and other relays know. */
  #askForKnown(host: Host): void {
    if (this.#now === 0 || this.#isCutOff(host)) return;
    const own = this.#findRelay(host.domain);
    const relays = own !== undefined && own !== host &&
        this.#now - own.startedAt >= ROUND_MS
      ? [own]
      : [...this.#relays.values()].map((relay) => relay.host)
        .filter((one) => one.alive && !this.#isCutOff(one));
    const published = this.#isStoreLost()
      ? []
      : [...this.#published.values()].filter(({ at }) =>
        this.#now - at <= PUBLISHED_MS
      );
    const marks = [
      ...relays.flatMap((relay) => listKnown(relay)),
      ...published.flatMap(({ known }) => known),
    ];
    this.#send(host, {
      kind: "suspected",
      ...applyShift({ marks, wrongLosses: {}, answered: {} }, {
        byMs: -host.skewMs,
      }),
    });
    this.#addNews(host, host.dispatcher.listKnownMarks());
  }

  #runRound(host: Host): void {
    if (!host.alive) return;
    this.#time.schedule(ROUND_MS, () => this.#runRound(host));
    const relay = this.#findRelay(host.domain);
    if (relay === undefined || this.#isCutOff(host)) return;
    relay.statuses.record(this.#describe(host), {
      now: this.#now,
      direct: true,
    });
    const others = [...this.#relays.keys()].filter((domain) =>
      domain !== host.domain
    ).flatMap((domain) => this.#findRelay(domain)?.published ?? []);
    const summary = core.mergeSummaries([
      relay.statuses.sum(this.#now, { without: host.name }),
      ...others,
    ]);
    // Other relays fetch what this one knows once a second.
    if (host === relay) this.#publish(relay);
    this.#send(host, {
      kind: "load_shared",
      running: {},
      prompting: {},
      hosts: summary.hosts + 1,
      asOf: this.#now,
    });
    const shifted = applyShift({
      marks: summary.suspects,
      wrongLosses: summary.wrongLosses ?? {},
      answered: summary.answeredRequests ?? {},
    }, { byMs: -host.skewMs });
    this.#send(host, { kind: "suspected", ...shifted });
  }

  #publish(relay: Host): void {
    const sum = relay.statuses.sum(this.#now);
    const known = listKnown(relay);
    relay.published = {
      ...sum,
      suspects: core.mergeMarks([...sum.suspects, ...known]),
    };
    if (this.#isStoreLost()) return;
    this.#published.set(relay.domain, { known, at: this.#now });
  }

  #describe(host: Host): core.HostStatus {
    const { dispatcher, marks, skewMs } = host;
    marks.removeExpired(this.#now);
    const recent = marks.list().map(({ until: _until, ...mark }) => mark);
    const shared = applyShift({
      marks: [...dispatcher.listPoisonMarks(), ...recent]
        .map((mark) => markDoubtful(host, mark)),
      wrongLosses: dispatcher.listWrongLosses(this.#now),
      answered: dispatcher.listAnsweredRequests(this.#now),
    }, { byMs: skewMs });
    return {
      host: host.name,
      incarnation: String(host.startedAt),
      at: this.#now,
      demand: {},
      running: {},
      prompting: {},
      usage: {},
      suspects: shared.marks,
      wrongLosses: shared.wrongLosses,
      answeredRequests: shared.answered,
    };
  }
}

function markDoubtful(
  { dispatcher }: Host,
  mark: core.SuspectMark,
): core.SuspectMark {
  return dispatcher.isDoubted(mark.server) ? { ...mark, doubtful: true } : mark;
}

/** Lists the marks that a host knows, at true times. */
function listKnown({ dispatcher, skewMs }: Host): core.SuspectMark[] {
  return dispatcher.listKnownMarks().map(({ at = 0, ...mark }) => ({
    ...mark,
    at: at + skewMs,
    ...(dispatcher.isDoubted(mark.server) && { doubtful: true }),
  }));
}

/** Whether a host has not passed on a mark yet. */
function isNews(
  { told }: Host,
  { fingerprint, server, at = 0, doubtful }: core.SuspectMark,
): boolean {
  const moment = Math.round(at / core.constants.SAME_LOSS_MS);
  const key = [fingerprint, server, moment, doubtful ?? false].join();
  if (told.has(key)) return false;
  told.add(key);
  return true;
}

/** What hosts tell each other. */
interface Shared {
  readonly marks: readonly core.SuspectMark[];
  readonly wrongLosses: core.WrongLosses;
  readonly answered: core.AnsweredRequests;
}

/** Converts times between the clocks of hosts. */
function applyShift(
  { marks, wrongLosses, answered }: Shared,
  { byMs }: { readonly byMs: number },
): Shared {
  return {
    marks: marks.map((mark) =>
      mark.at === undefined ? mark : { ...mark, at: mark.at + byMs }
    ),
    wrongLosses: addToTimes(wrongLosses, byMs),
    answered: addToTimes(answered, byMs),
  };
}

function addToTimes(
  times: Readonly<Record<string, number>>,
  ms: number,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(times).map(([name, at]) => [name, at + ms]),
  );
}
