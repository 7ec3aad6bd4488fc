/**
 * The dispatcher of one host: a state machine that takes an event, updates its
 * state and returns the effects to carry out. It opens no sockets and gets the
 * time and random numbers from its caller, so that the daemon, the fuzzer and
 * the benchmark run the same code.
 */
import * as attemptEnd from "./attempt_end.ts";
import type * as brittleSenders from "./brittle_senders.ts";
import type * as brittleRecords from "./brittle_records.ts";
import type * as brittleServers from "./brittle_servers.ts";
import type * as engineDivision from "./engine_division.ts";
import type * as events from "./events.ts";
import type * as failureShares from "./failure_shares.ts";
import * as handover from "./handover.ts";
import * as linkChecks from "./link_checks.ts";
import * as grants from "./grants.ts";
import * as hostState from "./host_state.ts";
import * as admissionControl from "./admission_control.ts";
import type * as partBlames from "./part_blames.ts";
import * as progress from "./progress.ts";
import type * as queue from "./queue.ts";
import type * as serverLimits from "./server_limits.ts";
import * as senderRooms from "./sender_rooms.ts";
import * as serverSignals from "./server_signals.ts";
import * as serverState from "./server_state.ts";
import * as serverWaits from "./server_waits.ts";
import * as strandedRequests from "./stranded_requests.ts";
import * as suspectChecks from "./suspect_checks.ts";
import * as overflow from "./overflow.ts";
import * as dispatching from "./dispatching.ts";
import * as deadlineChecks from "./deadline_checks.ts";

/** Admits, queues, routes and retries the requests of one host. */
export class Dispatcher {
  readonly #state: hostState.HostState;

  constructor(options: hostState.HostStateOptions) {
    this.#state = hostState.createHostState(options);
  }

  /** Handles one event at monotonic time `now`, in ms, and returns the effects to carry out. */
  handle(event: events.DispatchEvent, now: number): events.DispatchEffect[] {
    this.#state.now = now;
    this.#state.startedAt = Math.min(this.#state.startedAt, now);
    this.#state.effects = [];
    applyEvent(this.#state, event);
    return this.#state.effects;
  }

  /** Counts the requests queued and running at this host. */
  countOpen(): { readonly queued: number; readonly running: number } {
    const { queue, running } = this.#state;
    return { queued: queue.size, running: running.size };
  }

  /** Sets how the engines of a target are divided between short and long prompts. */
  setDivision(target: string, division: engineDivision.EngineDivision): void {
    this.#state.router.setDivision(target, division);
  }

  /**
   * Counts the queued and running requests for each target, by prompt length, with
   * the target's averages. Targets that other hosts serve for this one are left
   * out, because those hosts count the requests.
   */
  countByTarget(): Record<string, engineDivision.PromptDemand> {
    const { queue, running, prompts, reading, pauses, now } = this.#state;
    const counts: Record<string, engineDivision.PromptDemand> = {};
    const add = (target: string, className: string, count: number) => {
      const { short, long } = counts[target] ?? { short: 0, long: 0 };
      const isShort = prompts.isShort(className);
      counts[target] = {
        short: short + (isShort ? count : 0),
        long: long + (isShort ? 0 : count),
        reading: reading.get(target),
        pauses: pauses.get(target, now),
      };
    };
    running.list().forEach(({ request: { target, className } }) =>
      add(target, className, 1)
    );
    queue.listNonEmptyLanes().forEach((lane) =>
      add(lane.target, lane.className, lane.size)
    );
    return Object.fromEntries(
      Object.entries(counts).filter(([target]) =>
        !handover.isServedElsewhere(this.#state, target)
      ),
    );
  }

  /** Counts the requests that this host runs at each engine, to share with other hosts. */
  countByEngine(): Record<string, number> {
    return this.#listByEngine(({ running }) => running);
  }

  /** Counts the prompt tokens of this host that each engine has not prefilled yet, to share with other hosts. */
  countPendingPrefill(): Record<string, number> {
    return this.#listByEngine(({ prompting }) => prompting);
  }

  /** Whether a request that was assigned to a server may still be sent there; checked when its connection is open. */
  maySendTo(server: string, now: number): boolean {
    const known = this.#state.table.get(server);
    return known !== undefined && serverState.maySendTo(known, now);
  }

  /** Lists the limits that this host has learned from listed servers, to share with other hosts. */
  listLimits(now: number): serverLimits.LimitRecord[] {
    const { limits, table } = this.#state;
    return limits.listOwn(now)
      .filter(({ server }) => table.get(server) !== undefined);
  }

  /** Lists the paces of the engines that this host has sampled recently, in ms, to share with other hosts. */
  listPaces(now: number): Record<string, number> {
    return this.#state.paces.list(now);
  }

  /** Lists the speeds of all live engines, relative to the means of their services. */
  listSpeeds(now: number): number[] {
    return this.#state.router.listSpeeds(now);
  }

  /** Lists the parts of prompts with which answers of this host have begun and that are suspect, with monotonic times, to share with other hosts. */
  listAnsweredParts(now: number): partBlames.PartAnswers {
    return this.#state.parts.listAnswers(now);
  }

  /** Counts the parts of prompts that crash servers and are refused. */
  countBlamedParts(): number {
    return this.#state.parts.listBlamed().length;
  }

  /** Lists marks of requests that are refused, with monotonic times, to share them as long as they are. */
  listPoisonMarks(): events.SuspectMark[] {
    return this.#state.suspects.listPoisonMarks();
  }

  /** Lists marks of requests and parts for hosts that know none, with monotonic times. */
  listKnownMarks(): events.SuspectMark[] {
    const { parts, suspects } = this.#state;
    return [...suspects.listKnown(), ...parts.listKnown()];
  }

  /** Lists the suspects that have completed, with monotonic times, to share with other hosts. */
  listAnsweredRequests(now: number): events.AnsweredRequests {
    return this.#state.suspects.listAnswered(now);
  }

  /** Whether it is in doubt that a lost server has ended. */
  isDoubted(server: string): boolean {
    return this.#state.doubts.has(server);
  }

  /** Lists the losses that this host knows to be wrong, with monotonic times, to share with other hosts. */
  listWrongLosses(now: number): events.WrongLosses {
    return this.#state.doubts.listWrong(now);
  }

  /** Counts the requests that are refused because servers were lost while they ran. */
  countPoisonRequests(): number {
    return this.#state.suspects.countPoison();
  }

  /** Lists the outcomes of this host's recent attempts, to share with other hosts. */
  listOutcomes(now: number): failureShares.HostOutcomes {
    return this.#state.failureShares.list(now);
  }

  #listByEngine(
    read: (server: serverState.ServerState) => number,
  ): Record<string, number> {
    return Object.fromEntries(
      this.#state.table.listServers()
        .filter((server) => server.pool.serves === "engine" && read(server) > 0)
        .map((server) => [server.info.name, read(server)]),
    );
  }

  /** Counts the servers that are overdue; see `unresponsive_servers.ts`. */
  countOverdueServers(now: number): number {
    return this.#state.table.listServers()
      .filter((server) => serverState.isOverdue(server, now)).length;
  }

  /** Whether a server is brittle; see `brittle_servers.ts`. */
  isBrittle(server: string, now: number): boolean {
    const { brittle, table } = this.#state;
    const service = table.get(server)?.info.pool ?? "";
    return brittle.isBrittle({ server, service }, now);
  }

  /** Lists what this host has learned of brittle servers, to share with other hosts. */
  listBrittleRecords(now: number): brittleRecords.BrittleRecord[] {
    return this.#state.brittle.listOwn(now);
  }

  /** Lists the live servers that count as brittle and need a sender. */
  listBrittle(now: number): brittleSenders.BrittleServerInfo[] {
    const { brittle, table } = this.#state;
    if (!brittle.hasAny()) return [];
    return table.listServers()
      .filter(({ info }) => info.state === "live")
      .map(({ info: { name, pool, failureDomain } }) => ({
        server: name,
        service: pool,
        ...(failureDomain !== undefined && { failureDomain }),
      }))
      .filter((target) => brittle.isBrittle(target, now));
  }

  /** Lists the servers whose sender this host is. */
  listSentTo(now: number): string[] {
    return this.#state.brittle.listSentTo(now);
  }

  /** Describes what this host does as a sender of brittle servers, to share with its relay. */
  describeSender(
    now: number,
  ): Pick<brittleSenders.SenderCandidate, "room" | "servers"> {
    const room = senderRooms.countRooms(this.#state, now);
    return { room, servers: this.listSentTo(now) };
  }

  /** Counts the brittle servers. */
  countBrittleServers(): brittleServers.BrittleCounts {
    return this.#state.brittle.countByState();
  }

  /** Whether this host has lost its links to the servers of a target. */
  hasLostLinks(target: string): boolean {
    return linkChecks.hasLostLinks(this.#state, target);
  }

  /** Lists the pools to whose servers this host has lost its links. */
  listLostLinks(): string[] {
    return [...this.#state.links ?? []].filter(([, links]) => links.isLost())
      .map(([pool]) => pool);
  }

  /** Whether this host runs all its requests over its own links. */
  hasFullShare(now: number): boolean {
    return [...this.#state.links?.values() ?? []]
      .every((links) => links.getOwnShare(now) === 1);
  }

  /** Lists the services of which a server is in use, with the time since this host last reached one, in ms. */
  listReached(now: number): Record<string, number> {
    const { table, links } = this.#state;
    const inUse = table.listServers().filter((server) =>
      serverState.isInUse(server, now) &&
      !links?.get(server.info.pool)?.isLost()
    );
    return Object.fromEntries(inUse.map(({ pool }) => [
      pool.name,
      now - (links?.get(pool.name)?.getReachedAt() ?? -Infinity),
    ]));
  }

  /** Returns the servers, pools and lanes, for the `status` and `explain` commands. */
  inspect(): {
    readonly servers: readonly serverState.ServerState[];
    readonly pools: readonly serverState.PoolState[];
    readonly lanes: readonly queue.Lane[];
  } {
    const { table, queue } = this.#state;
    return {
      servers: table.listServers(),
      pools: table.listPools(),
      lanes: queue.listNonEmptyLanes(),
    };
  }

  /** Lists the demand that this host sends to other failure domains; see {@link overflow.listOverflow}. */
  listOverflow(turn: number): overflow.DomainDemand[] {
    return overflow.listOverflow(this.#state, turn);
  }

  /** Lists this host's demand for each pool of its failure domain. */
  listDemand(): events.PoolDemand[] {
    const lanes = this.#state.queue.listNonEmptyLanes();
    return hostState.listOwnPools(this.#state).map((pool) => ({
      pool: pool.part.name,
      classes: listClassDemand(this.#state, { pool, lanes }),
      servers: this.#state.table.listShared(pool.part.name),
    })).filter((demand) => demand.classes.length > 0);
  }
}

function applyEvent(
  state: hostState.HostState,
  event: events.DispatchEvent,
): void {
  switch (event.kind) {
    case "arrived":
      return admissionControl.admitRequest(state, event.request);
    case "cancelled":
      return attemptEnd.cancelRequest(state, event.requestId);
    case "progressed":
      return progress.recordProgress(state, event);
    case "blocked":
      return state.running.recordBlocked(event, state.now);
    case "finished":
      return attemptEnd.finishAttempt(state, event);
    case "failed":
      return attemptEnd.failAttempt(state, event);
    case "load_reported":
      state.table.recordReport(event.report);
      return dispatching.dispatchQueue(
        state,
        state.table.get(event.report.server)?.pool.targets ?? [],
      );
    case "load_shared":
      state.table.recordAllElsewhere(event, event.asOf);
      setHosts(state, event.hosts);
      state.limits.merge(event.limits ?? []);
      state.brittle.merge(event.brittle ?? [], state.now);
      state.brittle.setSenders(event.senders ?? [], state.now);
      state.paces.merge(event.paces ?? {});
      updateFailureShares(state, event);
      return dispatching.dispatchQueue(state);
    case "responded":
      return recordSignals(state, event);
    case "connection_tried":
      linkChecks.recordConnection(state, event);
      if (event.refused) attemptEnd.markStopped(state, event.server);
      return;
    case "peers_changed":
      state.peers = event.peers;
      return dispatching.dispatchQueue(state);
    case "peer_failed":
      return state.brittle.recordFailedPeer(event.host, state.now);
    case "links_questioned":
      linkChecks.scheduleTrials(state);
      return linkChecks.tryLinks(state);
    case "servers_changed":
      state.table.setServers(event.servers, state.now);
      state.brittle.setServers(
        event.servers.filter((server) => server.state === "live")
          .map(({ name, pool }) => ({ server: name, service: pool })),
      );
      state.paces.keep(
        new Set(state.table.listServers().map(({ info }) => info.name)),
      );
      strandedRequests.refuseStranded(state);
      return dispatching.dispatchQueue(state);
    case "hosts_changed":
      return state.table.setHosts(event.hosts);
    case "configured":
      state.classes = event.configuration.classes;
      state.table.setPools(event.configuration.pools);
      return dispatching.dispatchQueue(state);
    case "granted":
      return grants.setGrants(state, event);
    case "grants_lost":
      return grants.dropGrants(state);
    case "overflow_granted":
      return grants.setOverflow(state, event);
    case "suspected":
      return addSuspects(state, event);
    case "cleared":
      event.fingerprints.forEach((fingerprint) =>
        state.suspects.clear(fingerprint)
      );
      return;
    case "key_withdrawn":
      return attemptEnd.withdrawKey(state, event.keyId);
    case "draining":
      state.draining = true;
      return;
    case "ticked":
      return deadlineChecks.handleTick(state);
  }
}

/** Adds the marks of other hosts, and refuses or separates the queued requests that they concern. */
function addSuspects(
  state: hostState.HostState,
  event: Extract<events.DispatchEvent, { kind: "suspected" }>,
): void {
  attemptEnd.separateSuspects(
    state,
    suspectChecks.mergeSuspects(state, event),
  );
}

/** Finds the servers that fail over all hosts. */
function updateFailureShares(
  state: hostState.HostState,
  { outcomes = { servers: {}, services: {} } }: Extract<
    events.DispatchEvent,
    { kind: "load_shared" }
  >,
): void {
  const servers = state.table.listServers()
    .filter(({ info }) => info.state === "live")
    .map((server) => ({
      name: server.info.name,
      service: server.info.pool,
      weight: serverState.isInUse(server, state.now)
        ? state.router.getSpeed(server, state.now)
        : 0,
    }));
  state.failureShares.update(outcomes, { servers, now: state.now });
}

/** Sets the number of hosts that share the rates of servers. */
function setHosts(state: hostState.HostState, hosts: number): void {
  const largest = state.hostCount.record(hosts, state.now);
  state.coldPermits.setHosts(largest);
  state.limits.setHosts(largest);
  state.brittle.setHosts(largest);
}

/** Records what a response says about its server. */
function recordSignals(
  state: hostState.HostState,
  { server, signals, ...response }: Extract<
    events.DispatchEvent,
    { kind: "responded" }
  >,
): void {
  const perSecond = serverSignals.findLimit(signals);
  state.limits.recordResponse(server, { ...response, perSecond }, state.now);
  const responding = response.succeeded && state.table.get(server);
  if (responding) progress.recordResponse(state, responding);
  state.brittle.recordResponse(server, {
    ...response,
    service: state.table.get(server)?.info.pool ?? "",
    perSecond: serverSignals.findBrittleness(signals),
  }, state.now);
  const restMs = serverSignals.findRest(signals);
  if (signals.leaving) state.table.recordLeaving(server);
  if (restMs !== undefined) serverWaits.recordRest(state, { server, restMs });
}

function listClassDemand(
  state: hostState.HostState,
  { pool, lanes }: {
    readonly pool: serverState.PoolState;
    readonly lanes: readonly queue.Lane[];
  },
): events.ClassDemand[] {
  const matching = lanes.filter((lane) => hostState.isServedBy(lane, pool));
  return [...state.classes.values()].map((part) => ({
    className: part.name,
    tier: part.tier,
    running: pool.runningByClass.get(part.name) ?? 0,
    queued: matching.filter((lane) => lane.className === part.name)
      .reduce((sum, lane) => sum + lane.size, 0),
  })).filter((demand) => demand.running + demand.queued > 0);
}
