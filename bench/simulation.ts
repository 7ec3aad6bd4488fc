/**
 * One run in virtual time: hosts with the real dispatcher and allocator (or the
 * naive version), engines by their model, messages with delays, and troubles.
 */
import * as tinyqueue from "tinyqueue";
import * as core from "@banyangrade/core";
import * as engineModel from "@banyangrade/engine/model.ts";
import * as utils from "@banyangrade/utils";
import * as loadSource from "./load_source.ts";
import * as measure from "./measure.ts";
import * as naive from "./naive.ts";
import type * as scenarios from "./scenario.ts";

/** Times in ms. */
const TICK_MS = 50;
const DEMAND_MS = 250;
const REPORT_MS = 1_000;
const REPORT_LAG_MS = 500;
const MESSAGE_MS = 0.5;
/** Messages from a host through two relays to a host of another failure domain. */
const RELAY_HOPS = 3;
/** Requests that arrive so late in a run may not have ended and are not counted. */
const TAIL_MS = 30_000;
/** Between two rounds of the autoscaler. */
const SCALE_MS = 5_000;
/** Between an order and a new server's readiness. */
const BOOT_MS = 30_000;
/** Between a server's notice to leave and its end, when it was ordered away. */
const LEAVE_MS = 20_000;
/** Time between a server's loss and the hosts' list without it. */
const LIST_LAG_MS = 1_000;

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

interface Server {
  info: core.ServerInfo;
  /** Ordered away and paid for no longer. */
  gone: boolean;
  readonly pool: core.PoolPart;
  readonly engine: engineModel.EngineModel;
  readonly work: Map<string, Work>;
  alive: boolean;
  stepping: boolean;
}

/** An attempt at a server. */
interface Work {
  readonly host: Host;
  readonly request: core.Request;
  readonly attempt: number;
  readonly offset: number;
  tokens: number;
}

interface Host {
  readonly name: string;
  readonly domain: string;
  readonly policy: naive.Policy;
  /** Rounds of demand so far. */
  turn: number;
  /** Where each running request is. */
  readonly places: Map<string, { server: Server; key: string }>;
}

/** Options of {@link Simulation}. */
export interface SimulationOptions {
  readonly scenario: scenarios.Scenario;
  readonly troubles: readonly scenarios.Trouble[];
  readonly policy: "banyangrade" | "naive";
  readonly seed: number;
  readonly runMs: number;
  /** Whether the autoscaler orders servers. @default false */
  readonly scaling?: boolean;
}

/** A run. */
export class Simulation {
  readonly measure: measure.Measure;
  readonly #options: SimulationOptions;
  readonly #load: loadSource.LoadSource;
  readonly #random: utils.Random;
  readonly #queue = new tinyqueue.default<Timed>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
  readonly #hosts: Host[] = [];
  readonly #servers: Server[] = [];
  readonly #allocators = new Map<string, core.CapacityAllocator>();
  readonly #lengths = new Map<string, number>();
  readonly #asked = new Set<string>();
  #now = 0;
  #order = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    const { scenario } = options;
    this.#load = new loadSource.LoadSource({
      ...options,
      hosts: scenario.failureDomains.length * scenario.hostsPerDomain,
    });
    this.#random = utils.createRandom(options.seed + 1_000);
    this.measure = new measure.Measure(options.scenario, {
      countUntilMs: options.runMs - TAIL_MS,
    });
  }

  /** Runs to the end. */
  run(): void {
    this.#build();
    this.#options.scenario.loads.forEach((load) => this.#scheduleArrival(load));
    this.#options.troubles.forEach((trouble) => this.#scheduleTrouble(trouble));
    for (
      let next = this.#queue.pop();
      next !== undefined && next.at <= this.#options.runMs;
      next = this.#queue.pop()
    ) {
      this.#now = next.at;
      next.run();
    }
  }

  #after(ms: number, run: () => void): void {
    this.#order += 1;
    this.#queue.push({ at: this.#now + ms, order: this.#order, run });
  }

  // ---- building ----

  #build(): void {
    const { scenario } = this.#options;
    scenario.pools.forEach((pool) => {
      const count = scenario.servers.get(pool.name) ?? 0;
      for (let index = 0; index < count; index += 1) {
        this.#servers.push(createServer(pool, index));
      }
    });
    scenario.failureDomains.forEach((domain) => {
      this.#allocators.set(domain, new core.CapacityAllocator());
      for (let index = 0; index < scenario.hostsPerDomain; index += 1) {
        this.#addHost(domain, index);
      }
    });
    this.#after(REPORT_MS, () => this.#reportLoads());
    if (this.#options.scaling === true) {
      scenario.failureDomains.forEach((domain) =>
        this.#scale(domain, core.INITIAL_SCALING)
      );
    }
    this.#addCost();
  }

  // ---- autoscaling ----

  /** Adds up what the engines cost, second by second. */
  #addCost(): void {
    const perHour = this.#servers.filter((server) =>
      server.pool.serves === "engine" && !server.gone
    ).reduce((sum, server) => sum + server.pool.costPerHour, 0);
    this.measure.cost += perHour / 3_600;
    this.#after(1_000, () => this.#addCost());
  }

  #scale(domain: string, state: core.ScalingState): void {
    const allocator = this.#allocators.get(domain) as core.CapacityAllocator;
    const pools = this.#options.scenario.pools.filter((pool) =>
      pool.failureDomain === domain && pool.maxServers > 0
    );
    const loads = pools.map((part) => ({
      part,
      servers: this.#listOrdered(part).length,
      demand: allocator.sumDemand(part.name),
      upperDemand: allocator.sumDemand(part.name, core.RESERVE_TIER),
    }));
    const computed = core.computeDesired(loads, { state, now: this.#now });
    computed.desired.forEach((desired) => {
      const pool = pools.find((part) => part.name === desired.pool);
      if (pool !== undefined) this.#orderServers(pool, desired.count);
    });
    this.#after(SCALE_MS, () => this.#scale(domain, computed.state));
  }

  /** Servers of a pool that are there or on their way and not leaving. */
  #listOrdered(pool: core.PoolPart): Server[] {
    return this.#servers.filter((server) =>
      server.pool === pool && !server.gone && server.info.state === "live"
    );
  }

  #orderServers(pool: core.PoolPart, count: number): void {
    const ordered = this.#listOrdered(pool);
    for (let index = ordered.length; index < count; index += 1) {
      const server = createServer(pool, this.#servers.length);
      server.alive = false;
      this.#servers.push(server);
      this.#after(BOOT_MS, () => this.#restart(server));
    }
    ordered.slice(count).forEach((server) => {
      server.info = { ...server.info, state: "leaving" };
      this.#after(LIST_LAG_MS, () => this.#sendAllServers());
      this.#after(LEAVE_MS, () => {
        server.gone = true;
        this.#crash(server, Number.POSITIVE_INFINITY);
      });
    });
  }

  #addHost(domain: string, index: number): void {
    const host: Host = {
      name: `${domain}-${index}`,
      domain,
      places: new Map(),
      turn: 0,
      policy: this.#options.policy === "naive"
        ? new naive.NaiveDispatcher()
        : new core.Dispatcher({
          failureDomain: domain,
          host: `${domain}-${index}`,
          random: utils.createRandom(this.#options.seed + this.#hosts.length),
        }),
    };
    this.#hosts.push(host);
    this.#send(host, {
      kind: "configured",
      configuration: this.#buildConfiguration(),
    });
    this.#sendServers(host);
    this.#send(host, {
      kind: "hosts_changed",
      hosts: Array.from(
        { length: this.#options.scenario.hostsPerDomain },
        (_, other) => `${domain}-${other}`,
      ),
    });
    // Hosts tick out of step with each other.
    this.#after(index * 7, () => this.#tick(host));
    this.#after(index * 11 + 1, () => this.#runDemand(host));
  }

  #buildConfiguration(): core.Configuration {
    const { scenario } = this.#options;
    return core.applyChange(core.EMPTY_CONFIGURATION, {
      revision: 1,
      previousDigest: "",
      puts: [...scenario.pools, ...scenario.loads.map((load) => load.part)],
      removes: [],
      author: "bench",
      writerToken: "bench",
    }).unwrap();
  }

  #sendServers(host: Host): void {
    const servers = this.#servers.filter((server) =>
      server.alive && server.pool.failureDomain === host.domain
    ).map((server) => server.info);
    this.#send(host, { kind: "servers_changed", servers });
  }

  // ---- hosts ----

  #tick(host: Host): void {
    this.#send(host, { kind: "ticked" });
    this.#after(TICK_MS, () => this.#tick(host));
  }

  #runDemand(host: Host): void {
    this.#sendDemand(host);
    this.#sendOverflow(host);
    this.#after(DEMAND_MS, () => this.#runDemand(host));
  }

  /**
   * Demand for other failure domains, each answered by its own allocator; goes
   * on to the next one while the one before left work waiting, as in the daemon.
   */
  #sendOverflow(host: Host, asked: ReadonlySet<string> = new Set()): void {
    if (!(host.policy instanceof core.Dispatcher)) return;
    host.turn += 1;
    const domains = host.policy.listOverflow(host.turn).filter((domain) =>
      !asked.has(domain.failureDomain) && (asked.size === 0 || domain.waiting)
    );
    const names = domains.map((domain) => domain.failureDomain);
    const all = new Set([...asked, ...names]);
    domains.forEach((domain) => this.#askDomain(host, domain));
    if (domains.length === 0) return;
    this.#after(5 * MESSAGE_MS, () => this.#sendOverflow(host, all));
  }

  #askDomain(host: Host, { failureDomain, demands }: core.DomainDemand): void {
    const { name } = host;
    const asOf = this.#now;
    this.measure.messages += 1;
    this.#after(2 * MESSAGE_MS, () => {
      const allocator = this.#allocators.get(failureDomain);
      const capacities = this.#listCapacities(failureDomain);
      allocator?.setDemand(name, { demands, now: this.#now, visiting: true });
      const grants = allocator?.allocate(capacities, this.#now).get(name) ?? [];
      const servers = allocator?.listLent(name, capacities) ?? [];
      const kind = "overflow_granted";
      this.#after(
        2 * MESSAGE_MS,
        () => this.#send(host, { kind, failureDomain, grants, servers, asOf }),
      );
    });
  }

  /** Demand goes to the failure domain's allocator and its grants come back. */
  #sendDemand(host: Host): void {
    if (this.#options.policy === "naive") return;
    const demands = host.policy.listDemand();
    const sentAt = this.#now;
    this.measure.messages += 1;
    this.#after(MESSAGE_MS, () => {
      const allocator = this.#allocators.get(host.domain);
      allocator?.setDemand(host.name, { demands, now: this.#now });
      const grants = allocator?.allocate(
        this.#listCapacities(host.domain),
        this.#now,
      );
      this.#after(MESSAGE_MS, () => {
        this.#hosts.filter((other) => other.domain === host.domain)
          .forEach((other) => {
            const own = grants?.get(other.name);
            const urgent = own?.some((grant) => grant.recallForTier > 0);
            if (own === undefined || (other !== host && !urgent)) return;
            this.#send(other, { kind: "granted", grants: own, asOf: sentAt });
          });
      });
    });
  }

  #listCapacities(domain: string): core.PoolCapacity[] {
    const { scenario } = this.#options;
    const shares = new Map(
      scenario.loads.map((load) => [load.part.name, load.part.share]),
    );
    return scenario.pools.filter((pool) => pool.failureDomain === domain)
      .map((pool) => {
        const live = this.#servers.filter((server) =>
          server.pool === pool && server.alive && server.info.state === "live"
        );
        return {
          pool: pool.name,
          slots: core.countGrantable(pool, live.length * pool.slots),
          shares,
          servers: live.map((server) => server.info),
        };
      });
  }

  #send(host: Host, event: core.DispatchEvent): void {
    host.policy.handle(event, this.#now)
      .forEach((effect) => this.#carryOut(host, effect));
  }

  #carryOut(host: Host, effect: core.DispatchEffect): void {
    switch (effect.kind) {
      case "start":
        return this.#start(host, effect);
      case "stop":
        return this.#stop(host, effect.requestId);
      case "refuse":
        this.measure.recordRefused(effect.requestId, effect.refusal, {
          now: this.#now,
          lowerElsewhere: (request) => this.#hasLowerWork(request, host),
        });
        return;
      case "suspect":
        return this.#spreadMark(host, effect.mark);
      case "ask_capacity":
        return this.#askSoon(host);
    }
  }

  /** At most one urgent demand of a host every 50 ms, as in the daemon. */
  #askSoon(host: Host): void {
    if (this.#asked.has(host.name)) return;
    this.#asked.add(host.name);
    this.#sendDemand(host);
    this.#after(TICK_MS, () => this.#asked.delete(host.name));
  }

  #spreadMark(from: Host, mark: core.SuspectMark): void {
    this.#hosts.filter((host) => host !== from).forEach((host) => {
      const hops = host.domain === from.domain ? 1 : RELAY_HOPS;
      this.#after(
        hops * MESSAGE_MS,
        () => this.#send(host, { kind: "suspected", marks: [mark] }),
      );
    });
  }

  /** Whether lower work beyond its share runs where the request could have. */
  #hasLowerWork(request: core.Request, host: Host): boolean {
    const running = this.#servers.filter((server) =>
      server.alive && server.pool.failureDomain === host.domain &&
      server.pool.targets.includes(request.target)
    ).flatMap((server) =>
      [...server.work.values()].map((work) => ({ work, pool: server.pool }))
    );
    return running.some(({ work, pool }) => {
      const lower = work.request.tier > request.tier && work.request.repeatable;
      if (!lower) return false;
      const capacity = this.#listCapacities(host.domain)
        .find((one) => one.pool === pool.name);
      const share = capacity?.shares.get(work.request.className) ?? 0;
      const own = running.filter((other) =>
        other.pool === pool &&
        other.work.request.className === work.request.className
      ).length;
      return own > Math.ceil(share * (capacity?.slots ?? 0));
    });
  }

  // ---- servers ----

  #start(
    host: Host,
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
  ): void {
    const { request, attempt, offset } = effect;
    const server = this.#servers.find((one) =>
      one.info.name === effect.server.name
    );
    if (server === undefined || !server.alive) {
      this.#after(
        1,
        () =>
          this.#fail({ host, request, attempt, offset, tokens: 0 }, "not_sent"),
      );
      return;
    }
    const key = `${request.id}#${attempt}`;
    const work = { host, request, attempt, offset, tokens: 0 };
    server.work.set(key, work);
    host.places.set(request.id, { server, key });
    if (request.fingerprint === "poison") {
      this.#after(200, () => {
        if (server.work.get(key) !== work) return;
        this.measure.poisoned.add(server.info.name);
        this.#crash(server, 20_000);
      });
    }
    if (request.kind === "call") return this.#startCall(server, { key, work });
    server.engine.add({
      id: key,
      promptTokens: request.promptTokens + offset,
      prefix: request.prefix,
      outputTokens: Math.max(1, (this.#lengths.get(request.id) ?? 1) - offset),
      priority: this.#options.policy === "naive" ? 0 : request.tier,
    });
    if (!server.stepping) this.#step(server);
  }

  /** A plain service runs its slots side by side; the rest wait in it. */
  #startCall(
    server: Server,
    { key, work }: { readonly key: string; readonly work: Work },
  ): void {
    const busy = Math.max(1, server.work.size / server.pool.slots);
    const ms = utils.drawExponential(
      this.#random,
      this.#options.scenario.serviceMs * busy,
    );
    this.#after(ms, () => {
      if (server.work.get(key) !== work) return;
      server.work.delete(key);
      work.tokens = 1;
      this.#finish(server, work);
    });
  }

  #step(server: Server): void {
    server.stepping = server.alive && !server.engine.isIdle();
    if (!server.stepping) return;
    const result = server.engine.step();
    this.#after(result.ms, () => {
      if (!server.alive) return;
      result.tokens.forEach((key) => this.#passToken(server, key));
      result.finished.forEach((key) => {
        const work = server.work.get(key);
        if (work === undefined) return;
        server.work.delete(key);
        this.#finish(server, work);
      });
      this.#step(server);
    });
  }

  #passToken(server: Server, key: string): void {
    const work = server.work.get(key);
    if (work === undefined) return;
    work.tokens += 1;
    const { id: requestId } = work.request;
    this.measure.recordToken(requestId, this.#now);
    this.#send(work.host, {
      kind: "progressed",
      requestId,
      attempt: work.attempt,
      tokens: work.tokens,
    });
  }

  #finish(server: Server, work: Work): void {
    const { id: requestId } = work.request;
    work.host.places.delete(requestId);
    if (server.pool.spot) this.measure.spotTokens += work.tokens;
    this.measure.recordFinished(requestId, {
      now: this.#now,
      tokens: work.offset + work.tokens,
    });
    this.#send(work.host, {
      kind: "finished",
      requestId,
      attempt: work.attempt,
      tokens: work.offset + work.tokens,
    });
  }

  #stop(host: Host, requestId: string): void {
    const place = host.places.get(requestId);
    if (place === undefined) return;
    const work = place.server.work.get(place.key);
    // The tokens stay with the caller; what is lost is the prompt's work.
    if (work !== undefined) this.measure.recordLost(0);
    place.server.work.delete(place.key);
    place.server.engine.cancel(place.key);
    host.places.delete(requestId);
  }

  #fail(work: Work, failure: core.AttemptFailure): void {
    const { id: requestId } = work.request;
    work.host.places.delete(requestId);
    const resumes = this.#options.policy !== "naive";
    if (!resumes) this.measure.recordLost(work.tokens);
    this.#send(work.host, {
      kind: "failed",
      requestId,
      attempt: work.attempt,
      failure,
      answerStarted: work.tokens + work.offset > 0,
      resumable: work.request.kind === "generate",
    });
  }

  #crash(server: Server, downMs: number): void {
    if (!server.alive) return;
    server.alive = false;
    const lost = [...server.work.values()];
    server.work.clear();
    server.engine.clear();
    server.stepping = false;
    lost.forEach((work) => this.#fail(work, "connection_lost"));
    this.#after(LIST_LAG_MS, () => this.#sendAllServers());
    if (Number.isFinite(downMs)) {
      this.#after(downMs, () => this.#restart(server));
    }
  }

  #restart(server: Server): void {
    if (server.gone) return;
    server.alive = true;
    this.#after(LIST_LAG_MS, () => this.#sendAllServers());
  }

  #sendAllServers(): void {
    this.#hosts.forEach((host) => this.#sendServers(host));
  }

  #reportLoads(): void {
    const silent = this.#options.troubles.some((trouble) =>
      trouble.kind === "no_reports" && loadSource.isWithin(trouble, this.#now)
    );
    const reports = silent
      ? []
      : this.#servers.filter((server) =>
        server.alive && server.pool.serves === "engine"
      ).map((server) => ({
        domain: server.pool.failureDomain,
        report: { server: server.info.name, ...server.engine.getLoad() },
      }));
    this.#after(
      REPORT_LAG_MS,
      () =>
        this.#hosts.forEach((host) =>
          reports.filter((one) => one.domain === host.domain).forEach((one) =>
            this.#send(host, { kind: "load_reported", report: one.report })
          )
        ),
    );
    this.#after(REPORT_MS, () => this.#reportLoads());
  }

  // ---- load ----

  #scheduleArrival(load: scenarios.ClassLoad): void {
    this.#after(this.#load.drawGap(load, this.#now), () => {
      this.#arrive(load);
      this.#scheduleArrival(load);
    });
  }

  #arrive(load: scenarios.ClassLoad, fingerprint?: string): void {
    const drawn = this.#load.drawRequest(load, {
      now: this.#now,
      fingerprint,
    });
    const { request } = drawn;
    this.#lengths.set(request.id, drawn.outputTokens);
    this.measure.recordArrived(request);
    this.#send(this.#hosts[drawn.host], { kind: "arrived", request });
  }

  // ---- troubles ----

  #scheduleTrouble(trouble: scenarios.Trouble): void {
    const engines = this.#servers.filter((server) =>
      server.pool.serves === "engine"
    );
    const ordinary = engines.filter((server) => !server.pool.spot);
    switch (trouble.kind) {
      case "burst":
      case "greedy":
      case "no_reports":
      case "tide":
        return;
      case "slow_engine":
        this.#after(trouble.from, () => {
          ordinary[0].engine.slowdown = trouble.factor;
        });
        this.#after(trouble.to, () => {
          ordinary[0].engine.slowdown = 1;
        });
        return;
      case "crash":
        this.#after(
          trouble.at,
          () => this.#crash(ordinary[1], trouble.backAt - trouble.at),
        );
        return;
      case "reclaim":
        this.#after(trouble.at, () => this.#takeBack(trouble));
        return;
      case "poison":
        this.#after(trouble.at, () => this.#sendPoison());
    }
  }

  /** All spot servers of the first failure domains get notice, then are gone. */
  #takeBack(trouble: Extract<scenarios.Trouble, { kind: "reclaim" }>): void {
    const domains = this.#options.scenario.failureDomains
      .slice(0, trouble.domains ?? 1);
    const spot = this.#servers.filter((server) =>
      server.pool.spot && domains.includes(server.pool.failureDomain)
    );
    const setState = (state: "live" | "leaving") =>
      spot.forEach((server) => {
        server.info = { ...server.info, state };
      });
    setState("leaving");
    this.#after(LIST_LAG_MS, () => this.#sendAllServers());
    this.#after(
      trouble.noticeMs,
      () =>
        spot.forEach((server) =>
          this.#crash(server, trouble.backAt - trouble.at - trouble.noticeMs)
        ),
    );
    this.#after(trouble.backAt - trouble.at, () => {
      setState("live");
      this.#sendAllServers();
    });
  }

  /** Its caller sends it again every two seconds, wherever the balancer goes. */
  #sendPoison(): void {
    const load = this.#options.scenario.loads.find((one) =>
      one.kind === "generate"
    ) as scenarios.ClassLoad;
    for (let count = 0; count < 10; count += 1) {
      this.#after(count * 2_000, () => this.#arrive(load, "poison"));
    }
  }
}

function createServer(pool: core.PoolPart, index: number): Server {
  return {
    info: {
      name: `${pool.name}-${index}`,
      pool: pool.name,
      url: "",
      state: "live",
    },
    pool,
    gone: false,
    engine: new engineModel.EngineModel(),
    work: new Map(),
    alive: true,
    stepping: false,
  };
}
