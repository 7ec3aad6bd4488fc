/**
 * One run in virtual time: hosts with the real dispatcher and allocator (or the
 * naive version), messages with delays, and the load that comes to them.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as autoscaling from "./autoscaling.ts";
import * as backendModule from "./backend.ts";
import * as loadSource from "./load_source.ts";
import * as measure from "./measure.ts";
import * as naive from "./naive.ts";
import type * as scenarios from "./scenario.ts";
import * as timelineModule from "./timeline.ts";
import * as troubles from "./troubles.ts";

/** Times in ms. */
const TICK_MS = 50;
const DEMAND_MS = 250;
const REPORT_MS = 1_000;
const REPORT_LAG_MS = 500;
const MESSAGE_MS = 0.5;
/** Messages from a host through two relays to a host of another failure domain. */
const RELAY_HOPS = 3;
/** Messages from a host to another failure domain's capacity leader. */
const VISIT_HOPS = 2;
/** Requests that arrive so late in a run may not have ended and are not counted. */
const TAIL_MS = 30_000;
/** Time between a server's loss and the hosts' list without it. */
const LIST_LAG_MS = 1_000;

interface Host extends backendModule.WorkOwner {
  readonly domain: string;
  readonly policy: naive.Policy;
  /** Rounds of demand so far. */
  turn: number;
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
  readonly #timeline = new timelineModule.Timeline();
  readonly #load: loadSource.LoadSource;
  readonly #backend: backendModule.Backend;
  readonly #hosts: Host[] = [];
  readonly #allocators = new Map<string, core.CapacityAllocator>();
  readonly #lengths = new Map<string, number>();
  readonly #asked = new Set<string>();

  constructor(options: SimulationOptions) {
    this.#options = options;
    const { scenario } = options;
    this.#load = new loadSource.LoadSource({
      ...options,
      hosts: scenario.failureDomains.length * scenario.hostsPerDomain,
    });
    this.measure = new measure.Measure(options.scenario, {
      countUntilMs: options.runMs - TAIL_MS,
    });
    this.#backend = new backendModule.Backend({
      scenario,
      timeline: this.#timeline,
      measure: this.measure,
      random: utils.createRandom(options.seed + 1_000),
      priorities: options.policy !== "naive",
      getOutputTokens: (requestId) => this.#lengths.get(requestId) ?? 1,
      onEvent: (host, event) => this.#send(host as Host, event),
      onChange: () => this.#listSoon(),
    });
  }

  /** Runs to the end. */
  run(): void {
    const { scenario, runMs } = this.#options;
    scenario.failureDomains.forEach((domain) => this.#addDomain(domain));
    this.#timeline.after(REPORT_MS, () => this.#reportLoads());
    this.#startScaling();
    scenario.loads.forEach((load) => this.#scheduleArrival(load));
    this.#options.troubles.forEach((trouble) =>
      troubles.scheduleTrouble(trouble, {
        scenario,
        timeline: this.#timeline,
        backend: this.#backend,
        arrive: (load, fingerprint) => this.#arrive(load, fingerprint),
        onChange: () => this.#listSoon(),
      })
    );
    this.#timeline.runUntil(runMs);
  }

  // ---- building ----

  #addDomain(domain: string): void {
    const { hostsPerDomain } = this.#options.scenario;
    this.#allocators.set(domain, new core.CapacityAllocator());
    const names = Array.from(
      { length: hostsPerDomain },
      (_, index) => `${domain}-${index}`,
    );
    names.forEach((name, index) => {
      const host = this.#addHost(domain, name);
      this.#send(host, { kind: "hosts_changed", hosts: names });
      // Hosts tick out of step with each other.
      this.#timeline.after(index * 7, () => this.#tick(host));
      this.#timeline.after(index * 11 + 1, () => this.#runDemand(host));
    });
  }

  #addHost(domain: string, name: string): Host {
    const random = utils.createRandom(this.#options.seed + this.#hosts.length);
    const host: Host = {
      name,
      domain,
      places: new Map(),
      turn: 0,
      policy: this.#options.policy === "naive"
        ? new naive.NaiveDispatcher()
        : new core.Dispatcher({ failureDomain: domain, host: name, random }),
    };
    this.#hosts.push(host);
    const configuration = this.#buildConfiguration();
    this.#send(host, { kind: "configured", configuration });
    this.#sendServers(host);
    return host;
  }

  #startScaling(): void {
    const options = {
      scenario: this.#options.scenario,
      timeline: this.#timeline,
      measure: this.measure,
      backend: this.#backend,
      getAllocator: (domain: string) => this.#getAllocator(domain),
      onChange: () => this.#listSoon(),
    };
    autoscaling.startCost(options);
    if (this.#options.scaling !== true) return;
    this.#options.scenario.failureDomains
      .forEach((domain) => autoscaling.startScaling(domain, options));
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

  // ---- hosts ----

  #tick(host: Host): void {
    this.#send(host, { kind: "ticked" });
    this.#timeline.after(TICK_MS, () => this.#tick(host));
  }

  #send(host: Host, event: core.DispatchEvent): void {
    host.policy.handle(event, this.#timeline.now)
      .forEach((effect) => this.#carryOut(host, effect));
  }

  #carryOut(host: Host, effect: core.DispatchEffect): void {
    switch (effect.kind) {
      case "start":
        return this.#backend.start(host, effect);
      case "stop":
        return this.#backend.stop(host, effect.requestId);
      case "refuse":
        this.measure.recordRefused(effect.requestId, effect.refusal, {
          lowerElsewhere: (request) => this.#hasLowerWork(request, host),
        });
        return;
      case "suspect":
        return this.#spreadMark(host, effect.mark);
      case "ask_capacity":
        return this.#askSoon(host);
    }
  }

  #spreadMark(from: Host, mark: core.SuspectMark): void {
    this.#hosts.filter((host) => host !== from).forEach((host) => {
      const hops = host.domain === from.domain ? 1 : RELAY_HOPS;
      this.#timeline.after(
        hops * MESSAGE_MS,
        () => this.#send(host, { kind: "suspected", marks: [mark] }),
      );
    });
  }

  /** Hosts hear of a change of the servers when the list is next read. */
  #listSoon(): void {
    this.#timeline.after(
      LIST_LAG_MS,
      () => this.#hosts.forEach((host) => this.#sendServers(host)),
    );
  }

  #sendServers(host: Host): void {
    const servers = this.#backend.servers.filter((server) =>
      server.alive && server.pool.failureDomain === host.domain
    ).map((server) => server.info);
    this.#send(host, { kind: "servers_changed", servers });
  }

  #reportLoads(): void {
    const silent = this.#options.troubles.some((trouble) =>
      trouble.kind === "no_reports" &&
      loadSource.isWithin(trouble, this.#timeline.now)
    );
    const reporting = this.#backend.servers.filter((server) =>
      !silent && server.alive && server.pool.serves === "engine"
    ).map((server) => ({
      domain: server.pool.failureDomain,
      report: { server: server.info.name, ...server.engine.getLoad() },
    }));
    this.#timeline.after(
      REPORT_LAG_MS,
      () =>
        this.#hosts.forEach((host) =>
          reporting.filter((one) => one.domain === host.domain)
            .forEach(({ report }) =>
              this.#send(host, { kind: "load_reported", report })
            )
        ),
    );
    this.#timeline.after(REPORT_MS, () => this.#reportLoads());
  }

  // ---- slots ----

  #runDemand(host: Host): void {
    this.#sendDemand(host);
    this.#sendOverflow(host);
    this.#timeline.after(DEMAND_MS, () => this.#runDemand(host));
  }

  /** At most one urgent demand of a host every 50 ms, as in the daemon. */
  #askSoon(host: Host): void {
    if (this.#asked.has(host.name)) return;
    this.#asked.add(host.name);
    this.#sendDemand(host);
    this.#timeline.after(TICK_MS, () => this.#asked.delete(host.name));
  }

  /** Demand goes to the failure domain's allocator and its grants come back. */
  #sendDemand(host: Host): void {
    if (this.#options.policy === "naive") return;
    const demands = host.policy.listDemand();
    const asOf = this.#timeline.now;
    this.measure.messages += 1;
    this.#timeline.after(MESSAGE_MS, () => {
      const { now } = this.#timeline;
      const allocator = this.#getAllocator(host.domain);
      allocator.setDemand(host.name, { demands, now });
      const capacities = this.#listCapacities(host.domain);
      const grants = allocator.allocate(capacities, now);
      this.#timeline.after(MESSAGE_MS, () => {
        this.#hosts.filter((other) => other.domain === host.domain)
          .forEach((other) => {
            const own = grants.get(other.name);
            const urgent = own?.some((grant) => grant.recallForTier > 0);
            if (own === undefined || (other !== host && !urgent)) return;
            this.#send(other, { kind: "granted", grants: own, asOf });
          });
      });
    });
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
    if (domains.length === 0) return;
    const names = domains.map((domain) => domain.failureDomain);
    const all = new Set([...asked, ...names]);
    domains.forEach((domain) => this.#askDomain(host, domain));
    const answeredMs = (2 * VISIT_HOPS + 1) * MESSAGE_MS;
    this.#timeline.after(answeredMs, () => this.#sendOverflow(host, all));
  }

  #askDomain(host: Host, { failureDomain, demands }: core.DomainDemand): void {
    const { name } = host;
    const asOf = this.#timeline.now;
    this.measure.messages += 1;
    this.#timeline.after(VISIT_HOPS * MESSAGE_MS, () => {
      const { now } = this.#timeline;
      const allocator = this.#getAllocator(failureDomain);
      const capacities = this.#listCapacities(failureDomain);
      allocator.setDemand(name, { demands, now, remote: true });
      const grants = allocator.allocate(capacities, now).get(name) ?? [];
      const servers = allocator.listLentServers(name, capacities);
      const kind = "overflow_granted";
      this.#timeline.after(
        VISIT_HOPS * MESSAGE_MS,
        () => this.#send(host, { kind, failureDomain, grants, servers, asOf }),
      );
    });
  }

  #getAllocator(domain: string): core.CapacityAllocator {
    return this.#allocators.get(domain) as core.CapacityAllocator;
  }

  #listCapacities(domain: string): core.PoolCapacity[] {
    const { scenario } = this.#options;
    const shares = new Map(
      scenario.loads.map((load) => [load.part.name, load.part.share]),
    );
    return scenario.pools.filter((pool) => pool.failureDomain === domain)
      .map((pool) => {
        const live = this.#backend.listLive(pool);
        return {
          pool: pool.name,
          slots: core.countGrantable(pool, live.length * pool.slots),
          shares,
          servers: live.map((server) => server.info),
        };
      });
  }

  /** Whether lower work beyond its share runs where the request could have. */
  #hasLowerWork(request: core.Request, host: Host): boolean {
    const running = this.#backend.listWork(host.domain, request.target);
    const capacities = this.#listCapacities(host.domain);
    return running.some(({ work, pool }) => {
      const lower = work.request.tier > request.tier && work.request.repeatable;
      if (!lower) return false;
      const capacity = capacities.find((one) => one.pool === pool.name);
      const share = capacity?.shares.get(work.request.className) ?? 0;
      const own = running.filter((other) =>
        other.pool === pool &&
        other.work.request.className === work.request.className
      ).length;
      return own > Math.ceil(share * (capacity?.slots ?? 0));
    });
  }

  // ---- load ----

  #scheduleArrival(load: scenarios.ClassLoad): void {
    const gapMs = this.#load.drawGap(load, this.#timeline.now);
    this.#timeline.after(gapMs, () => {
      this.#arrive(load);
      this.#scheduleArrival(load);
    });
  }

  #arrive(load: scenarios.ClassLoad, fingerprint?: string): void {
    const { now } = this.#timeline;
    const drawn = this.#load.drawRequest(load, { now, fingerprint });
    const { request } = drawn;
    this.#lengths.set(request.id, drawn.outputTokens);
    this.measure.recordArrived(request);
    this.#send(this.#hosts[drawn.host], { kind: "arrived", request });
  }
}
