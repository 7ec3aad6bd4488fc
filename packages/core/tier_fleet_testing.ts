/**
 * Simulates the hosts of a deployment before one service of which three kinds of
 * requests with shared parts of prompts are asked for, and checks the users' rule
 * that urgent requests get nothing only where less urgent ones do not begin either.
 */
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as fleetTesting from "./fleet_testing.ts";
import * as testing from "./testing.ts";

const TICK_MS = 50;
const LINK_MS = 2;
const ROUND_MS = 1_000;
/** Time for which published statuses stay in the store, in ms. */
const PUBLISHED_MS = 15_000;
const MARK_TTL_MS = 10_000;
const SPREAD_MS = 100;
const FANOUT = 4;
const KILLED_MS = 1_000;
const DOWN_MS = 3_000;
const SERVICE_MS = 100;
const SLOTS = 6;
const DEADLINE_MS = 2_500;
const RETRIES = { ratio: 0.2, slack: 56, windowMs: 10_000 };
/** Requests of a kind share one of so many first parts. */
const PARTS = [4, 2, 1];
/** Length of the spans that are judged, and the share and number of requests from which the rule is broken. */
const WINDOW_MS = 5_000;
const STEP_MS = 1_000;
const MAX_NOTHING = 10;
const MAX_SHARE = 1 / 12;
/** The kinds, the most urgent first: their share of all requests, and the size of a request. */
const KINDS = [
  { share: 0.3, size: 1 },
  { share: 0.5, size: 1 },
  { share: 0.2, size: 3 },
] as const;

/** A deployment and its faults. */
export interface Fleet {
  readonly hosts: number;
  readonly domains: number;
  readonly servers: number;
  /** Requests as a share of what all slots serve. */
  readonly load: number;
  readonly totalMs: number;
  readonly faults: readonly Fault[];
  readonly seed: number;
}

/** A fault at a time in ms. */
export type Fault =
  /** All hosts are killed and start again a second later. */
  | { readonly kind: "all_killed"; readonly at: number }
  | { readonly kind: "host_killed"; readonly host: number; readonly at: number }
  /** A host neither hears other hosts nor the store. */
  | {
    readonly kind: "cut_off";
    readonly host: number;
    readonly at: number;
    readonly forMs: number;
  }
  /** Some servers run requests and lose the responses with a reset. */
  | {
    readonly kind: "responses_lost";
    readonly share: number;
    readonly rate: number;
    readonly at: number;
    readonly forMs: number;
  }
  | {
    readonly kind: "server_lost";
    readonly server: number;
    readonly at: number;
  }
  /** One kind is asked for more often. */
  | {
    readonly kind: "burst";
    readonly of: number;
    readonly factor: number;
    readonly at: number;
    readonly forMs: number;
  };

/** A request over all attempts of its caller. */
interface Asked {
  readonly kind: number;
  readonly at: number;
  /** Whether a server began to run it. */
  began: boolean;
  served: boolean;
  /** Codes of its refusals. */
  readonly codes: core.RefusalCode[];
}

/** A span in which an urgent kind got nothing while a less urgent one began. */
export interface Violation {
  readonly at: number;
  readonly kind: number;
  readonly asked: number;
  readonly nothing: number;
  /** Whether responses were lost in the span; then only requests that no server began count. */
  readonly isLossy: boolean;
}

/** What happened. */
export interface Outcome {
  readonly violations: readonly Violation[];
  readonly asked: number;
  readonly served: number;
  /** Refusals by code, from spans that were judged or not. */
  readonly refusals: Readonly<Record<string, number>>;
}

interface Host {
  readonly name: string;
  readonly index: number;
  readonly domain: string;
  readonly dispatcher: core.Dispatcher;
  readonly marks: core.MarkSet;
  readonly calls: Map<string, (outcome: core.Refusal | "served") => void>;
  statuses: core.HostStatuses;
  news: core.SuspectEvidence[];
  isSpreading: boolean;
  alive: boolean;
}

interface Server {
  readonly index: number;
  readonly domain: string;
  readonly losesResponses: number;
  born: number;
  isUp: boolean;
  running: number;
  readonly waiting: { readonly tier: number; readonly run: () => void }[];
}

/**
 * Runs a fleet and judges it.
 *
 * @example
 * replayFleet(fleet).violations.length; // 0
 */
export function replayFleet(fleet: Fleet): Outcome {
  return new Simulation(fleet).run();
}

class Simulation {
  readonly #fleet: Fleet;
  readonly #random: utils.Random;
  readonly #time = new fleetTesting.VirtualTime();
  readonly #hosts: Host[];
  readonly #servers: Server[];
  readonly #asked: Asked[] = [];
  readonly #refusals: Record<string, number> = {};
  /** What relays published in the store, by failure domain. */
  readonly #published = new Map<
    string,
    { readonly evidence: core.SuspectEvidence; readonly at: number }
  >();
  #ids = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#random = utils.createRandom(fleet.seed);
    this.#servers = Array.from({ length: fleet.servers }, (_, index) => ({
      index,
      domain: `d${index % fleet.domains}`,
      losesResponses: this.#random.next(),
      born: 0,
      isUp: true,
      running: 0,
      waiting: [],
    }));
    this.#hosts = Array.from(
      { length: fleet.hosts },
      (_, index) => this.#createHost(index),
    );
    this.#hosts.forEach((host) => this.#startHost(host));
  }

  get #now(): number {
    return this.#time.now;
  }

  run(): Outcome {
    this.#fleet.faults.forEach((fault) => this.#scheduleFault(fault));
    KINDS.forEach((_, kind) => this.#scheduleRequest(kind));
    this.#time.run(this.#fleet.totalMs);
    return {
      violations: this.#listViolations(),
      asked: this.#asked.length,
      served: this.#asked.filter(({ served }) => served).length,
      refusals: this.#refusals,
    };
  }

  #createHost(index: number): Host {
    const domain = `d${index % this.#fleet.domains}`;
    const name = `h${index}`;
    return {
      name,
      index,
      domain,
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
        budget: new core.WindowRetryBudget(RETRIES, {
          hosts: this.#fleet.hosts,
        }),
        // The first host that is up holds the control roles.
        mayTryParts: () =>
          this.#hosts.find(({ alive }) => alive)?.name === name,
      }),
      marks: new core.MarkSet(),
      calls: new Map(),
      statuses: new core.HostStatuses(),
      news: [],
      isSpreading: false,
      alive: true,
    };
  }

  #startHost(host: Host): void {
    const configuration = testing.buildConfiguration([
      ...KINDS.map((_, kind) => testing.buildClass(kind + 1)),
      {
        ...testing.POOL,
        failureDomain: host.domain,
        slots: SLOTS,
        serves: "service",
      },
    ]);
    this.#send(host, { kind: "configured", configuration });
    this.#sendServers(host);
    this.#readPublished(host);
    this.#time.schedule(
      this.#random.below(TICK_MS),
      () => this.#tick(host),
    );
    this.#time.schedule(
      300 + this.#random.below(ROUND_MS / 2),
      () => this.#runRound(host),
    );
  }

  #scheduleFault(fault: Fault): void {
    const at = (run: () => void) => this.#time.schedule(fault.at, run);
    switch (fault.kind) {
      case "all_killed":
        return at(() => this.#hosts.forEach((host) => this.#crashHost(host)));
      case "host_killed":
        return at(() =>
          this.#crashHost(this.#hosts[fault.host % this.#fleet.hosts])
        );
      case "server_lost":
        return at(() =>
          this.#endServer(this.#servers[fault.server % this.#servers.length])
        );
      case "cut_off":
      case "responses_lost":
      case "burst":
        return;
    }
  }

  #crashHost(host: Host): void {
    if (!host.alive) return;
    host.alive = false;
    [...host.calls.values()].forEach((end) =>
      end(core.buildRefusal({ code: "cancelled", ran: "unknown" }))
    );
    this.#time.schedule(KILLED_MS, () => {
      this.#hosts[host.index] = this.#createHost(host.index);
      this.#startHost(this.#hosts[host.index]);
    });
  }

  #endServer(server: Server): void {
    if (!server.isUp) return;
    server.isUp = false;
    server.running = 0;
    server.waiting.splice(0);
    this.#time.schedule(DOWN_MS, () => {
      server.isUp = true;
      server.born = this.#now;
      this.#hosts.forEach((host) => this.#sendServers(host));
    });
  }

  #getName({ index, born }: Server): string {
    return `s${index}@${born}`;
  }

  #sendServers(host: Host): void {
    if (this.#isCutOff(host)) return;
    this.#send(host, {
      kind: "servers_changed",
      servers: this.#servers.map((server): core.ServerInfo => ({
        name: this.#getName(server),
        pool: testing.POOL.name,
        url: "",
        state: "live",
        slots: SLOTS,
        failureDomain: server.domain,
      })),
    });
  }

  #listActive<Kind extends Fault["kind"]>(
    kind: Kind,
    now = this.#now,
  ): Extract<Fault, { kind: Kind }>[] {
    return this.#fleet.faults.filter((
      fault,
    ): fault is Extract<Fault, { kind: Kind }> =>
      fault.kind === kind && "forMs" in fault && now >= fault.at &&
      now < fault.at + fault.forMs
    );
  }

  #isCutOff({ index }: Host): boolean {
    return this.#listActive("cut_off")
      .some(({ host }) => host % this.#fleet.hosts === index);
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
      case "refuse": {
        const end = host.calls.get(effect.requestId);
        host.calls.delete(effect.requestId);
        return end?.(effect.refusal);
      }
      case "suspect":
        host.marks.add({ ...effect.mark, until: this.#now + MARK_TTL_MS });
        return this.#addNews(host, { marks: [effect.mark] });
      case "part_answered":
        return this.#addNews(host, {
          answeredParts: { [effect.part]: effect.at },
        });
      case "losses_withdrawn":
        host.marks.withdraw(effect.loss);
        return this.#addNews(host, {
          wrongLosses: { [effect.loss.server]: effect.loss.at },
        });
      case "try_links":
        return effect.servers.forEach(({ name }) => {
          const server = this.#findServer(name);
          this.#time.schedule(LINK_MS, () =>
            this.#send(host, {
              kind: "connection_tried",
              server: name,
              reachable: server !== undefined,
              refused: server === undefined,
            }));
        });
      default:
        return;
    }
  }

  #findServer(name: string): Server | undefined {
    return this.#servers.find((server) =>
      server.isUp && this.#getName(server) === name
    );
  }

  #scheduleRequest(kind: number): void {
    const { servers, load } = this.#fleet;
    const factor = this.#listActive("burst")
      .filter(({ of }) => of === kind)
      .reduce((product, burst) => product * burst.factor, 1);
    const perMs = factor * load * KINDS[kind].share * servers * SLOTS /
      SERVICE_MS;
    this.#time.schedule(utils.drawExponential(this.#random, 1 / perMs), () => {
      this.#scheduleRequest(kind);
      const asked = {
        kind,
        at: this.#now,
        began: false,
        served: false,
        codes: [],
      };
      this.#asked.push(asked);
      this.#ask(asked, { triesLeft: 1 });
    });
  }

  #ask(asked: Asked, { triesLeft }: { readonly triesLeft: number }): void {
    const open = this.#hosts.filter(({ alive }) => alive);
    const again = (waitMs: number) => {
      const isOver = this.#now + waitMs > asked.at + DEADLINE_MS;
      if (triesLeft === 0 || isOver) return;
      this.#time.schedule(
        waitMs,
        () => this.#ask(asked, { triesLeft: triesLeft - 1 }),
      );
    };
    if (open.length === 0) return again(KILLED_MS);
    const host = open[this.#random.below(open.length)];
    this.#ids += 1;
    const id = `r${this.#ids}`;
    const { kind } = asked;
    host.calls.set(id, (outcome) => {
      if (outcome === "served") {
        asked.served = true;
        return;
      }
      asked.codes.push(outcome.code);
      this.#refusals[outcome.code] = (this.#refusals[outcome.code] ?? 0) + 1;
      again(Math.min(outcome.retryAfterMs ?? 0, DEADLINE_MS / 3));
    });
    this.#send(host, {
      kind: "arrived",
      request: {
        ...testing.buildRequest(id, { tier: kind + 1 }),
        // Only parts that are shared may be blamed; the last one is the request's own.
        parts: [`k${kind}p${this.#random.below(PARTS[kind])}`],
        arrivedAt: this.#now,
        startBy: asked.at + DEADLINE_MS,
        targetMs: DEADLINE_MS / 2,
        maxAttempts: 2,
      },
    });
    this.#byId.set(id, asked);
  }

  readonly #byId = new Map<string, Asked>();

  #sendAttempt(
    host: Host,
    { request, attempt, server: { name } }: Extract<
      core.DispatchEffect,
      { kind: "start" }
    >,
  ): void {
    const fail = (failure: core.AttemptFailure) =>
      this.#send(host, {
        kind: "failed",
        requestId: request.id,
        attempt,
        failure,
        refused: failure === "not_sent",
        answerStarted: false,
        resumable: false,
      });
    this.#time.schedule(LINK_MS, () => {
      const server = this.#findServer(name);
      this.#send(host, {
        kind: "connection_tried",
        server: name,
        reachable: server !== undefined,
        refused: server === undefined,
      });
      if (server === undefined) return fail("not_sent");
      const run = () => this.#runAt(server, { host, request, attempt, fail });
      if (server.running < SLOTS) return run();
      server.waiting.push({ tier: request.tier, run });
      server.waiting.sort((a, b) => a.tier - b.tier);
      if (server.waiting.length <= 2 * SLOTS) return;
      // A full server refuses the last one that came, as those of the users do.
      server.waiting.splice(
        server.waiting.findIndex((one) => one.run === run),
        1,
      );
      fail("refused");
    });
  }

  #runAt(
    server: Server,
    { host, request, attempt, fail }: {
      readonly host: Host;
      readonly request: core.Request;
      readonly attempt: number;
      readonly fail: (failure: core.AttemptFailure) => void;
    },
  ): void {
    const { born } = server;
    server.running += 1;
    const asked = this.#byId.get(request.id);
    if (asked !== undefined) asked.began = true;
    const size = KINDS[request.tier - 1].size;
    const ms = SERVICE_MS * size / 1.4 * (0.5 + this.#random.next());
    this.#time.schedule(ms, () => {
      const isGone = !server.isUp || server.born !== born;
      if (isGone) return fail("connection_lost");
      server.running -= 1;
      if (server.running < SLOTS) server.waiting.shift()?.run();
      if (this.#isLost(server)) return fail("connection_lost");
      this.#send(host, {
        kind: "responded",
        server: this.#getName(server),
        signals: core.NO_SIGNALS,
        sentAt: this.#now - ms,
        succeeded: true,
      });
      this.#send(host, {
        kind: "finished",
        requestId: request.id,
        attempt,
        tokens: 1,
      });
      const end = host.calls.get(request.id);
      host.calls.delete(request.id);
      end?.("served");
    });
  }

  #isLost({ losesResponses }: Server): boolean {
    return this.#listActive("responses_lost").some(({ share, rate }) =>
      losesResponses < share && this.#random.next() < rate
    );
  }

  #addNews(host: Host, news: Partial<core.SuspectEvidence>): void {
    host.news.push({ ...core.NO_EVIDENCE, ...news });
    if (host.isSpreading) return;
    host.isSpreading = true;
    this.#time.schedule(SPREAD_MS, () => {
      host.isSpreading = false;
      const evidence = core.mergeEvidence(host.news.splice(0));
      if (!host.alive || this.#isCutOff(host)) return;
      const others = this.#hosts.filter((one) =>
        one !== host && one.alive && !this.#isCutOff(one)
      );
      Array.from(
        { length: Math.min(FANOUT, others.length) },
        () => others.splice(this.#random.below(others.length), 1)[0],
      ).forEach((other) =>
        this.#send(other, { kind: "suspected", ...evidence })
      );
    });
  }

  /** Lets a host that starts take over what is in the store. */
  #readPublished(host: Host): void {
    const current = [...this.#published.values()]
      .filter(({ at }) => this.#now - at <= PUBLISHED_MS)
      .map(({ evidence }) => evidence);
    const evidence = core.mergeEvidence(current);
    this.#send(host, { kind: "suspected", ...evidence });
  }

  #runRound(host: Host): void {
    if (!host.alive) return;
    this.#time.schedule(ROUND_MS, () => this.#runRound(host));
    const relay = this.#hosts.find(({ alive, domain }) =>
      alive && domain === host.domain
    );
    if (relay === undefined || this.#isCutOff(host)) return;
    const status = this.#describe(host);
    relay.statuses.record(status, { now: this.#now, direct: true });
    const own = core.getEvidence(relay.statuses.sum(this.#now));
    const others = [...this.#published].filter(([domain]) =>
      domain !== host.domain
    ).map(([, { evidence }]) => evidence);
    this.#send(host, {
      kind: "suspected",
      ...core.mergeEvidence([own, ...others]),
    });
    if (host !== relay) return;
    const known = {
      ...core.NO_EVIDENCE,
      marks: host.dispatcher.listKnownMarks(),
    };
    this.#published.set(host.domain, {
      evidence: core.mergeEvidence([own, known]),
      at: this.#now,
    });
  }

  #describe(host: Host): core.HostStatus {
    const { dispatcher, marks, name } = host;
    marks.removeExpired(this.#now);
    return {
      host: name,
      incarnation: "1",
      at: this.#now,
      demand: {},
      running: {},
      prompting: {},
      usage: {},
      suspects: marks.list().map(({ until: _until, ...mark }) => mark),
      wrongLosses: dispatcher.listWrongLosses(this.#now),
      answeredRequests: dispatcher.listAnsweredRequests(this.#now),
      answeredParts: dispatcher.listAnsweredParts(this.#now),
    };
  }

  #listViolations(): Violation[] {
    const { totalMs } = this.#fleet;
    const starts = Array.from(
      { length: Math.floor((totalMs - WINDOW_MS - DEADLINE_MS) / STEP_MS) },
      (_, index) => index * STEP_MS,
    ).filter((at) => this.#isCalm(at));
    return starts.flatMap((at) =>
      KINDS.slice(0, -1).flatMap((_, kind) => this.#checkSpan(kind, at))
    );
  }

  /** Whether no host or server is in disruption in a span; they are back before it. */
  #isCalm(from: number): boolean {
    const until = from + WINDOW_MS + DEADLINE_MS;
    return this.#fleet.faults.every((fault) => {
      switch (fault.kind) {
        case "all_killed":
        case "host_killed":
          return fault.at >= until || fault.at + KILLED_MS <= from;
        case "server_lost":
          return fault.at >= until || fault.at + DOWN_MS <= from;
        case "cut_off":
        case "burst":
          return fault.at >= until || fault.at + fault.forMs <= from;
        case "responses_lost":
          return true;
      }
    });
  }

  /** Judges a kind in a span in the words of the rule; where responses are lost, only requests that no server began count. */
  #checkSpan(kind: number, at: number): Violation[] {
    const within = this.#asked.filter((one) =>
      one.at >= at && one.at < at + WINDOW_MS
    );
    const isLossy = Array.from({ length: WINDOW_MS / STEP_MS + 1 })
      .some((_, step) =>
        this.#listActive("responses_lost", at + step * STEP_MS).length > 0
      );
    const own = within.filter((one) => one.kind === kind);
    const nothing =
      own.filter(({ served, began }) => !served && (!isLossy || !began)).length;
    const begun = within.some((one) =>
      one.kind > kind && KINDS[one.kind].size > 2 * KINDS[kind].size &&
      one.began
    );
    const isBroken = nothing >= MAX_NOTHING &&
      nothing > MAX_SHARE * own.length && begun;
    return isBroken ? [{ at, kind, asked: own.length, nothing, isLossy }] : [];
  }
}
