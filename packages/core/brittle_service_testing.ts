/**
 * Simulates the hosts of a deployment and a brittle service whose servers crash if
 * they must refuse too many requests in a second: dispatchers, statuses over the
 * relays of the failure domains, callers that come again, and faults of hosts.
 */
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as fleetTesting from "./fleet_testing.ts";
import * as testing from "./testing.ts";

/** Time from which the servers say that they are brittle, in ms. */
const BRITTLE_MS = 2_000;
/** Time from which they have little room and crash, in ms. */
const SHORT_MS = BRITTLE_MS + 3_000;
/** Time for which a server is down after a crash, in ms. */
const DOWN_MS = 3_000;
/** Time until hosts learn of a change of the servers, in ms. */
const LIST_MS = 800;
const LINK_MS = 1;
const ROUND_MS = 1_000;
/** Time without a relay after one was lost, in ms. */
const ELECTION_MS = 3_000;
const TARGET_MS = 300;
const DEADLINE_MS = 1_500;
const USUAL_ROOM = 24;
const BUSY_TICK_MS = 20;
const CALM_TICK_MS = 50;
const SERVICE = "rooms";

/** A deployment with one service. */
export interface Fleet {
  readonly hosts: number;
  readonly domains: number;
  readonly servers: number;
  readonly slots: number;
  readonly serves: "service" | "engine";
  /** Requests that may wait at a server with little room. */
  readonly room: number;
  /** Refusals per second that a server bears. */
  readonly perSecond: number;
  /** Requests as a share of what all slots serve. */
  readonly load: number;
  readonly serviceMs: number;
  /** Largest share of the requests that a host gets, relative to the smallest. */
  readonly uneven: number;
  /** Whether a server that crashed is back under its name. */
  readonly keepsName: boolean;
  readonly totalMs: number;
  readonly faults: readonly Fault[];
  readonly seed: number;
}

/** A fault of a host or server, at a time in ms. */
export type Fault =
  | { readonly kind: "killed"; readonly host: number; readonly at: number }
  | { readonly kind: "joined"; readonly at: number }
  /** Its relay, and the other hosts, do not reach it. */
  | {
    readonly kind: "cut_off";
    readonly host: number;
    readonly at: number;
    readonly forMs: number;
  }
  /** The relay of a failure domain is killed. */
  | {
    readonly kind: "relay_killed";
    readonly domain: number;
    readonly at: number;
  }
  /** A server is lost for another reason than its refusals, and comes back. */
  | {
    readonly kind: "server_lost";
    readonly server: number;
    readonly at: number;
  };

/** What happened. */
export interface Outcome {
  readonly crashes: number;
  /** Refusals since the servers have had little room. */
  readonly refusals: number;
  /** Requests of callers since then, and those that were served before their deadline. */
  readonly requests: number;
  readonly served: number;
  readonly handedOver: number;
  /** Share of the time since then in which a slot of a server was in use. */
  readonly slotUse: number;
  /** Times of the crashes since the first request, in ms. */
  readonly crashedAt: readonly number[];
}

interface Host {
  readonly name: string;
  readonly domain: string;
  readonly weight: number;
  readonly dispatcher: core.Dispatcher;
  readonly calls: Map<string, Call>;
  readonly startedAt: number;
  statuses: core.HostStatuses;
  chooser: core.SenderChooser;
  /** What the other relays know of this one and its followers. */
  published?: core.HostsSummary;
  alive: boolean;
}

interface Server {
  readonly index: number;
  name: string;
  domain: string;
  upFrom: number;
  running: Attempt[];
  waiting: Attempt[];
  refusedAt: number[];
}

interface Attempt {
  readonly host: Host;
  readonly request: core.Request;
  readonly attempt: number;
  readonly sentAt: number;
  /** When it took a slot, in ms. */
  runsFrom?: number;
  ended: boolean;
}

/** A request of a caller. */
interface Call {
  readonly id: string;
  readonly sentAt: number;
  triesLeft: number;
  done: boolean;
  readonly onRefused?: (waitMs: number | undefined) => void;
}

/**
 * Runs a fleet and counts what happened.
 *
 * @example
 * const { crashes, served, requests } = replayFleet(fleet);
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
  #ids = 0;
  #slotUseMs = 0;
  readonly #crashedAt: number[] = [];
  readonly #counts = { refusals: 0, requests: 0, served: 0, handedOver: 0 };

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#random = utils.createRandom(fleet.seed);
    this.#servers = Array.from({ length: fleet.servers }, (_, index) => ({
      index,
      name: `s${index}@0`,
      domain: `d${index % fleet.domains}`,
      upFrom: 0,
      running: [],
      waiting: [],
      refusedAt: [],
    }));
    Array.from({ length: fleet.hosts }, () => this.#startHost());
  }

  run(): Outcome {
    const { faults, totalMs } = this.#fleet;
    faults.forEach((fault) => this.#scheduleFault(fault));
    this.#scheduleCall();
    this.#time.run(totalMs);
    const { servers, slots } = this.#fleet;
    const slotMs = (totalMs - SHORT_MS) * servers * slots;
    this.#servers.flatMap(({ running }) => running)
      .forEach((attempt) => this.#addSlotUse(attempt, totalMs));
    const slotUse = this.#slotUseMs / slotMs;
    return {
      crashes: this.#crashedAt.length,
      slotUse,
      ...this.#counts,
      crashedAt: this.#crashedAt,
    };
  }

  get #now(): number {
    return this.#time.now;
  }

  #schedule(ms: number, run: () => void): void {
    this.#time.schedule(ms, run);
  }

  /** Whether a request sent at this time counts: the servers have little room, and its deadline is before the end. */
  #isCounted(sentAt: number): boolean {
    return sentAt >= SHORT_MS &&
      sentAt <= this.#fleet.totalMs - DEADLINE_MS;
  }

  #startHost(): Host {
    const { domains, uneven } = this.#fleet;
    const index = this.#hosts.length;
    const host: Host = {
      name: `h${index}`,
      domain: `d${index % domains}`,
      weight: 1 + this.#random.next() * (uneven - 1),
      dispatcher: fleetTesting.createDispatcher({
        failureDomain: `d${index % domains}`,
        host: `h${index}`,
        seed: this.#random.below(2 ** 31),
      }),
      calls: new Map(),
      startedAt: this.#now,
      statuses: new core.HostStatuses(),
      chooser: new core.SenderChooser({ failureDomain: `d${index % domains}` }),
      alive: true,
    };
    this.#hosts.push(host);
    const { serves, slots } = this.#fleet;
    const configuration = fleetTesting.buildConfiguration({
      failureDomain: host.domain,
      slots,
      serves,
    });
    this.#send(host, { kind: "configured", configuration });
    this.#sendServers(host);
    this.#schedule(this.#random.below(BUSY_TICK_MS), () => this.#tick(host));
    this.#schedule(
      300 + this.#random.below(ROUND_MS / 2),
      () => this.#runRound(host),
    );
    return host;
  }

  #scheduleFault(fault: Fault): void {
    switch (fault.kind) {
      case "killed":
        return this.#schedule(
          fault.at,
          () => this.#stopHost(this.#hosts[fault.host % this.#fleet.hosts]),
        );
      case "relay_killed":
        return this.#schedule(fault.at, () => {
          const relay = this.#findRelay(`d${fault.domain}`);
          if (relay !== undefined) this.#stopHost(relay);
        });
      case "server_lost":
        return this.#schedule(fault.at, () =>
          this.#dropServer(
            this.#servers[fault.server % this.#servers.length],
          ));
      case "joined":
        return this.#schedule(fault.at, () => void this.#startHost());
      case "cut_off":
        return;
    }
  }

  #stopHost(host: Host): void {
    host.alive = false;
    this.#servers.forEach((server) => {
      server.running.concat(server.waiting)
        .filter((attempt) => attempt.host === host)
        .forEach((attempt) => this.#leaveServer(server, attempt));
    });
    host.calls.forEach((call) => call.onRefused?.(undefined));
  }

  #isCutOff(host: Host): boolean {
    const index = this.#hosts.indexOf(host);
    return this.#fleet.faults.some((fault) =>
      fault.kind === "cut_off" && fault.host % this.#fleet.hosts === index &&
      this.#now >= fault.at && this.#now < fault.at + fault.forMs
    );
  }

  #tick(host: Host): void {
    if (!host.alive) return;
    this.#send(host, { kind: "ticked" });
    const isBusy = host.dispatcher.countOpen().queued > 0;
    this.#schedule(
      isBusy ? BUSY_TICK_MS : CALM_TICK_MS,
      () => this.#tick(host),
    );
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
        return this.#servers.forEach((server) =>
          server.running.concat(server.waiting).filter(({ request }) =>
            request.id === effect.requestId
          ).forEach((attempt) => this.#leaveServer(server, attempt))
        );
      case "refuse":
        return this.#endCall(host, effect.requestId, {
          waitMs: effect.refusal.retryAfterMs,
        });
      case "hand_over":
        return this.#forwardToPeers(host, effect);
      default:
        return;
    }
  }

  #sendAttempt(
    host: Host,
    { request, attempt, server }: Extract<
      core.DispatchEffect,
      { kind: "start" }
    >,
  ): void {
    const sent: Attempt = {
      host,
      request,
      attempt,
      sentAt: this.#now,
      ended: false,
    };
    this.#schedule(LINK_MS, () => {
      const reached = this.#servers.find(({ name }) => name === server.name);
      const isUp = reached !== undefined && this.#now >= reached.upFrom;
      this.#tryConnection(host, { server: server.name, reachable: isUp });
      if (isUp) this.#arriveAt(reached, sent);
      else this.#failAttempt(sent, "not_sent");
    });
  }

  #tryConnection(
    host: Host,
    outcome: { readonly server: string; readonly reachable: boolean },
  ): void {
    this.#send(host, { kind: "connection_tried", ...outcome });
  }

  #arriveAt(server: Server, attempt: Attempt): void {
    const { slots } = this.#fleet;
    if (!attempt.host.alive) return;
    if (server.running.length < slots) return this.#runAt(server, attempt);
    if (server.waiting.length < this.#getRoom()) {
      server.waiting.push(attempt);
      return;
    }
    this.#refuseAt(server, attempt);
  }

  /** Adds the time for which an attempt held its slot since the servers have had little room. */
  #addSlotUse({ runsFrom }: Attempt, until: number): void {
    if (runsFrom === undefined) return;
    this.#slotUseMs += Math.max(0, until - Math.max(runsFrom, SHORT_MS));
  }

  #getRoom(): number {
    return this.#now < SHORT_MS ? USUAL_ROOM : this.#fleet.room;
  }

  #runAt(server: Server, attempt: Attempt): void {
    server.running.push(attempt);
    attempt.runsFrom = this.#now;
    const { serviceMs } = this.#fleet;
    const ms = serviceMs * (0.5 + this.#random.next());
    this.#schedule(ms, () => {
      if (attempt.ended) return;
      this.#leaveServer(server, attempt);
      this.#schedule(LINK_MS, () => {
        this.#sendSignals(server, { attempt, succeeded: true });
        this.#send(attempt.host, {
          kind: "finished",
          requestId: attempt.request.id,
          attempt: attempt.attempt,
          tokens: 1,
        });
        this.#endCall(attempt.host, attempt.request.id, { served: true });
      });
    });
  }

  #leaveServer(server: Server, attempt: Attempt): void {
    this.#addSlotUse(attempt, this.#now);
    attempt.ended = true;
    server.running = server.running.filter((one) => one !== attempt);
    server.waiting = server.waiting.filter((one) => one !== attempt);
    const next = server.running.length < this.#fleet.slots
      ? server.waiting.shift()
      : undefined;
    if (next !== undefined) this.#runAt(server, next);
  }

  #refuseAt(server: Server, attempt: Attempt): void {
    if (this.#now >= SHORT_MS) this.#counts.refusals += 1;
    server.refusedAt = [...server.refusedAt, this.#now]
      .filter((at) => at > this.#now - 1_000);
    this.#schedule(LINK_MS, () => {
      this.#sendSignals(server, { attempt, succeeded: false });
      this.#failAttempt(attempt, "refused");
    });
    const isOver = server.refusedAt.length > this.#fleet.perSecond;
    if (isOver && this.#now >= SHORT_MS) this.#crash(server);
  }

  #sendSignals(
    { name }: Server,
    { attempt: { host, sentAt }, succeeded }: {
      readonly attempt: Attempt;
      readonly succeeded: boolean;
    },
  ): void {
    const signals = {
      ...core.NO_SIGNALS,
      brittlePerSecond: this.#now < BRITTLE_MS ? [] : [this.#fleet.perSecond],
    };
    this.#send(host, {
      kind: "responded",
      server: name,
      signals,
      sentAt,
      succeeded,
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

  #crash(server: Server): void {
    this.#crashedAt.push(this.#now);
    this.#dropServer(server);
  }

  #dropServer(server: Server): void {
    const lost = server.running.concat(server.waiting);
    Object.assign(server, {
      running: [],
      waiting: [],
      refusedAt: [],
      upFrom: this.#now + DOWN_MS,
    });
    lost.forEach((attempt) => {
      this.#addSlotUse(attempt, this.#now);
      attempt.ended = true;
      this.#schedule(
        LINK_MS,
        () => this.#failAttempt(attempt, "connection_lost"),
      );
    });
    if (this.#fleet.keepsName) return;
    this.#schedule(DOWN_MS, () => {
      server.name = `s${server.index}@${Math.round(this.#now)}`;
      this.#schedule(
        LIST_MS,
        () => this.#hosts.forEach((host) => this.#sendServers(host)),
      );
    });
  }

  #sendServers(host: Host): void {
    const servers = this.#servers.map(({ name, domain }): core.ServerInfo => ({
      name,
      pool: SERVICE,
      url: "",
      state: "live",
      slots: this.#fleet.slots,
      failureDomain: domain,
    }));
    this.#send(host, { kind: "servers_changed", servers });
  }

  #scheduleCall(): void {
    const { servers, slots, serviceMs, load } = this.#fleet;
    const gapMs = serviceMs / (servers * slots * load);
    this.#schedule(utils.drawExponential(this.#random, gapMs), () => {
      this.#ids += 1;
      if (this.#isCounted(this.#now)) this.#counts.requests += 1;
      this.#openCall(this.#drawHost(), {
        id: `r${this.#ids}`,
        sentAt: this.#now,
        triesLeft: 1,
        done: false,
      });
      this.#scheduleCall();
    });
  }

  /** Draws a host for a new connection; more loaded ones more often. */
  #drawHost(): Host {
    const alive = this.#hosts.filter((host) => host.alive);
    const sum = alive.reduce((total, { weight }) => total + weight, 0);
    let left = this.#random.next() * sum;
    return alive.find(({ weight }) => (left -= weight) < 0) ?? alive[0];
  }

  #openCall(
    host: Host,
    call: Call,
    changes: Partial<core.Request> = {},
  ): void {
    this.#ids += 1;
    const id = `${call.id}/${this.#ids}`;
    host.calls.set(id, call);
    const isEngine = this.#fleet.serves === "engine";
    const request: core.Request = {
      ...testing.buildRequest(id, { tier: 1 }),
      kind: isEngine ? "generate" : "call",
      promptTokens: isEngine ? 100 : 0,
      maxTokens: isEngine ? 10 : 0,
      fingerprint: call.id,
      arrivedAt: call.sentAt,
      startBy: this.#now + TARGET_MS,
      queueMs: TARGET_MS,
      targetMs: TARGET_MS,
      maxAttempts: 2,
      ...changes,
    };
    this.#send(host, { kind: "arrived", request });
  }

  #endCall(
    host: Host,
    id: string,
    result: { readonly served?: boolean; readonly waitMs?: number },
  ): void {
    const call = host.calls.get(id);
    host.calls.delete(id);
    if (call === undefined || call.done) return;
    if (result.served) {
      call.done = true;
      const isInTime = this.#now - call.sentAt <= DEADLINE_MS;
      if (isInTime && this.#isCounted(call.sentAt)) this.#counts.served += 1;
      return;
    }
    if (call.onRefused !== undefined) return call.onRefused(result.waitMs);
    const leftMs = DEADLINE_MS - (this.#now - call.sentAt);
    if (call.triesLeft === 0 || leftMs <= 0) return;
    call.triesLeft -= 1;
    this.#schedule(
      Math.min(result.waitMs ?? 0, leftMs / 3),
      () => this.#openCall(this.#drawHost(), call),
    );
  }

  /** Sends a request to other hosts, one after another; if none takes it, its own host does what it can. */
  #forwardToPeers(
    host: Host,
    { request, peers, sent }: Extract<
      core.DispatchEffect,
      { kind: "hand_over" }
    >,
    fullMs?: number,
  ): void {
    const call = host.calls.get(request.id);
    if (call === undefined) return;
    if (fullMs === undefined) this.#counts.handedOver += 1;
    const [name, ...others] = peers;
    const changes = {
      handedOver: true,
      maxAttempts: Math.max(1, (request.maxAttempts ?? 2) - sent),
    };
    if (name === undefined) {
      host.calls.delete(request.id);
      if (fullMs === undefined) return this.#openCall(host, call, changes);
      host.calls.set(request.id, call);
      return this.#endCall(host, request.id, { waitMs: fullMs });
    }
    const peer = this.#hosts.find((one) => one.name === name);
    const tryNext = (waitMs: number | undefined) =>
      this.#forwardToPeers(
        host,
        {
          kind: "hand_over",
          request,
          peers: others,
          sent,
          cause: "brittle",
        },
        waitMs ?? fullMs,
      );
    this.#schedule(LINK_MS, () => {
      const isReached = peer?.alive && !this.#isCutOff(peer) &&
        !this.#isCutOff(host);
      if (!isReached) {
        this.#send(host, { kind: "peer_failed", host: name });
        return tryNext(undefined);
      }
      this.#openCall(peer, {
        id: call.id,
        sentAt: call.sentAt,
        triesLeft: 0,
        get done() {
          return call.done;
        },
        set done(done: boolean) {
          call.done = done;
        },
        onRefused: tryNext,
      }, changes);
    });
  }

  /** Finds the relay of a failure domain; undefined while a new one is elected. */
  #findRelay(domain: string): Host | undefined {
    const known = this.#relays.get(domain);
    if (
      known !== undefined && known.host.alive && !this.#isCutOff(known.host)
    ) {
      known.until = this.#now + ELECTION_MS;
      return known.host;
    }
    if (known !== undefined && this.#now < known.until) return undefined;
    const host = this.#hosts.find((one) =>
      one.alive && one.domain === domain && !this.#isCutOff(one)
    );
    if (host !== undefined) {
      host.statuses = new core.HostStatuses();
      host.chooser = new core.SenderChooser({ failureDomain: domain });
      this.#relays.set(domain, { host, until: this.#now + ELECTION_MS });
    }
    return host;
  }

  #runRound(host: Host): void {
    if (!host.alive) return;
    this.#schedule(ROUND_MS, () => this.#runRound(host));
    const relay = this.#findRelay(host.domain);
    if (relay === undefined || this.#isCutOff(host)) return;
    relay.statuses.record(this.#describe(host), {
      now: this.#now,
      direct: true,
    });
    const others = [...this.#relays.keys()].filter((domain) =>
      domain !== host.domain
    ).flatMap((domain) => this.#findRelay(domain) ?? []);
    relay.chooser.recordRelays(others.map(({ domain }) => domain), this.#now);
    const summary = core.mergeSummaries([
      relay.statuses.sum(this.#now, { without: host.name }),
      { ...core.EMPTY_SUMMARY, senders: this.#chooseSenders(relay) },
      ...others.map((one) => one.published ?? core.EMPTY_SUMMARY),
    ]);
    // Other relays fetch what this one knows once a second.
    if (host === relay) {
      relay.published = {
        ...relay.statuses.sum(this.#now),
        senders: this.#chooseSenders(relay),
      };
    }
    this.#sendLoad(host, {
      ...summary,
      senders: core.chooseSendersFor(host.name, summary.senders ?? []),
    });
  }

  #chooseSenders(relay: Host): core.SenderAssignment[] {
    return relay.chooser.choose(relay.dispatcher.listBrittle(this.#now), {
      candidates: relay.statuses.listCandidates(this.#now),
      holdsLease: true,
      now: this.#now,
    });
  }

  #describe(host: Host): core.HostStatus {
    return {
      host: host.name,
      incarnation: "1",
      at: this.#now,
      demand: {},
      running: host.dispatcher.countByEngine(),
      prompting: {},
      usage: {},
      suspects: [],
      contact: {
        host: host.name,
        failureDomain: host.domain,
        address: host.name,
        secret: "",
      },
      brittle: host.dispatcher.listBrittleRecords(this.#now),
      sender: host.dispatcher.describeSender(this.#now),
    };
  }

  #sendLoad(host: Host, summary: core.HostsSummary): void {
    this.#send(host, {
      kind: "load_shared",
      running: summary.running,
      prompting: summary.prompting,
      hosts: summary.hosts + 1,
      asOf: this.#now,
      brittle: summary.brittle ?? [],
      senders: summary.senders ?? [],
    });
  }
}
