/**
 * The decisions of one host: takes an event, changes its own state and returns
 * what is to be done. It holds no socket, no clock and no random source, so
 * the daemon, the fuzzer and the bench run the same code.
 */
import type * as utils from "@banyangrade/utils";
import * as admission from "./admission.ts";
import * as attempts from "./attempts.ts";
import * as config from "./config.ts";
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import * as fairness from "./fairness.ts";
import * as lengths from "./lengths.ts";
import * as preemption from "./preemption.ts";
import * as quarantine from "./quarantine.ts";
import * as queue from "./queue.ts";
import * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as retry from "./retry.ts";
import * as router from "./router.ts";
import * as servers from "./servers.ts";

/** Options of {@link Dispatcher}. */
export interface DispatcherOptions {
  readonly failureDomain: string;
  readonly random: utils.Random;
}

/** Demand of one host for one pool, for the failure domain's allocator. */
export interface PoolDemand {
  readonly pool: string;
  /** Tier, class, running and queued counts; only classes with either. */
  readonly classes: readonly ClassDemand[];
}

/** Demand of one class. */
export interface ClassDemand {
  readonly className: string;
  readonly tier: number;
  readonly running: number;
  readonly queued: number;
}

/** A host's admission, queue, routing and retries. */
export class Dispatcher {
  readonly #table = new servers.ServerTable();
  readonly #queue = new queue.RequestQueue();
  readonly #running = new attempts.AttemptTable();
  readonly #budget = new retry.RetryBudget();
  readonly #lengths = new lengths.LengthEstimator();
  readonly #credits = new fairness.ShareCredits();
  readonly #router: router.Router;
  readonly #failureDomain: string;
  readonly #suspects = new quarantine.SuspectTable();
  #classes: ReadonlyMap<string, config.ClassPart> = new Map();
  #grantAsOf = Number.NEGATIVE_INFINITY;
  #draining = false;
  #effects: events.DispatchEffect[] = [];

  constructor(options: DispatcherOptions) {
    this.#failureDomain = options.failureDomain;
    this.#router = new router.Router({ table: this.#table, ...options });
  }

  /** Handles one event at monotonic time `now` and returns what is to be done. */
  handle(event: events.DispatchEvent, now: number): events.DispatchEffect[] {
    this.#effects = [];
    this.#apply(event, now);
    return this.#effects;
  }

  #apply(event: events.DispatchEvent, now: number): void {
    switch (event.kind) {
      case "arrived":
        return this.#admit(event.request, now);
      case "cancelled":
        return this.#cancel(event.requestId, now);
      case "progressed":
        return this.#recordProgress(event, now);
      case "finished":
        return this.#finish(event, now);
      case "failed":
        return this.#fail(event, now);
      case "load_reported":
        this.#table.recordReport(event.report);
        return this.#dispatch(now);
      case "servers_changed":
        this.#table.setServers(event.servers);
        return this.#dispatch(now);
      case "configured":
        this.#classes = event.configuration.classes;
        this.#table.setPools(event.configuration.pools);
        return this.#dispatch(now);
      case "granted":
        return this.#setGrants(event, now);
      case "grants_lost":
        return this.#dropGrants(now);
      case "suspected":
        event.marks.forEach((mark) => this.#suspects.addForeign(mark, now));
        return this.#separateSuspects(event.marks, now);
      case "cleared":
        event.fingerprints.forEach((one) => this.#suspects.clear(one));
        return;
      case "key_withdrawn":
        return this.#withdrawKey(event.keyId, now);
      case "draining":
        this.#draining = true;
        return;
      case "ticked":
        return this.#tick(now);
    }
  }

  /** Requests queued and running at this host. */
  countOpen(): { readonly queued: number; readonly running: number } {
    return { queued: this.#queue.size, running: this.#running.size };
  }

  /** Servers, pools and lanes, for `status` and `explain`. */
  inspect(): {
    readonly servers: readonly servers.ServerState[];
    readonly pools: readonly servers.PoolState[];
    readonly lanes: readonly queue.Lane[];
  } {
    return {
      servers: this.#table.listServers(),
      pools: this.#table.listPools(),
      lanes: this.#queue.listWaiting(),
    };
  }

  /** Sums up this host's demand for each pool. */
  listDemand(): PoolDemand[] {
    const lanes = this.#queue.listWaiting();
    return this.#listOwnPools().map((pool) => ({
      pool: pool.part.name,
      classes: this.#listClassDemand(pool, lanes),
    })).filter((demand) => demand.classes.length > 0);
  }

  #listClassDemand(
    pool: servers.PoolState,
    lanes: readonly queue.Lane[],
  ): ClassDemand[] {
    const matching = lanes.filter((lane) => isServedBy(lane, pool));
    return [...this.#classes.values()].map((part) => ({
      className: part.name,
      tier: part.tier,
      running: pool.runningByClass.get(part.name) ?? 0,
      queued: matching.filter((lane) => lane.className === part.name)
        .reduce((sum, lane) => sum + lane.size, 0),
    })).filter((demand) => demand.running + demand.queued > 0);
  }

  // ---- arrivals ----

  #admit(wanted: request.Request, now: number): void {
    if (this.#draining) {
      return this.#refuse(wanted, { code: "draining", ran: "no", waitMs: 0 });
    }
    if (this.#suspects.isPoison(wanted.fingerprint)) {
      return this.#refuse(wanted, { code: "poison_request", ran: "no" });
    }
    const hold = this.#suspects.getHold(wanted.fingerprint, now);
    if (hold > 0) {
      const reason = { code: "poison_request", ran: "no" } as const;
      return this.#refuse(wanted, { ...reason, waitMs: hold });
    }
    if (this.#table.listFor(wanted.target).length === 0) {
      return this.#refuse(wanted, {
        code: "no_capacity",
        ran: "no",
        waitMs: Number.POSITIVE_INFINITY,
      });
    }
    if (this.#shed(wanted, now)) return;
    this.#budget.recordFirst();
    this.#queue.add({
      request: wanted,
      attempt: 1,
      offset: 0,
      ran: "no",
      late: false,
      first: false,
      suspect: this.#suspects.isSuspect(wanted.fingerprint),
    });
    this.#dispatch(now);
  }

  /** Refuses the newcomer, or lower work in its place, if it cannot start in time. */
  #shed(wanted: request.Request, now: number): boolean {
    const pools = this.#listPoolsFor(wanted);
    const waitMs = this.#estimateWait(wanted, pools);
    const late = waitMs > wanted.startBy - now;
    const full = this.#queue.size >= constants.MAX_QUEUED;
    if (!late && !full) return false;
    if (full) {
      const lower = this.#queue.removeLowest(wanted.tier);
      if (lower !== undefined) {
        this.#refuse(lower.request, { code: "overloaded", ran: "no", waitMs });
        return false;
      }
    }
    // A higher tier is not refused while lower work runs anywhere in the
    // failure domain: it waits for the slots that are being called back.
    if (!full && this.#hasLowerWork(wanted, { pools, now })) {
      this.#effects.push({ kind: "ask_capacity" });
      return false;
    }
    this.#refuse(wanted, { code: "overloaded", ran: "no", waitMs });
    return true;
  }

  #hasLowerWork(
    wanted: request.Request,
    { pools, now }: { pools: readonly servers.PoolState[]; now: number },
  ): boolean {
    const known = now - this.#grantAsOf <= constants.GRANT_VALID_MS;
    return (known && admission.hasLowerWork(wanted.tier, pools)) ||
      this.#findVictim(wanted, pools) !== undefined;
  }

  #findVictim(
    wanted: request.Request,
    pools: readonly servers.PoolState[],
  ): attempts.Attempt | undefined {
    return preemption.findVictim(this.#running.list(), {
      tier: wanted.tier,
      pools,
      classes: this.#classes,
    });
  }

  #estimateWait(
    wanted: request.Request,
    pools: readonly servers.PoolState[],
  ): number {
    const lanes = this.#queue.listWaiting();
    return admission.estimateWait(
      admission.measureBacklog(wanted, {
        lanes,
        pools,
        serviceMs: this.#lengths.get(getLengthKey(wanted)).serviceMs,
      }),
    );
  }

  #listPoolsFor(wanted: request.Request): servers.PoolState[] {
    return this.#listOwnPools().filter((pool) => isServedBy(wanted, pool));
  }

  /** Pools of this host's failure domain. */
  #listOwnPools(): servers.PoolState[] {
    return this.#table.listPools().filter((pool) =>
      pool.part.failureDomain === this.#failureDomain
    );
  }

  // ---- starting work ----

  #dispatch(now: number): void {
    if (this.#queue.size === 0) return;
    const lanes = this.#credits.order(this.#queue.listWaiting());
    lanes.forEach((lane) => this.#dispatchLane(lane, now));
    // Work that waits is demand that the allocator has not heard of.
    if (this.#queue.size > 0) this.#effects.push({ kind: "ask_capacity" });
  }

  #dispatchLane(lane: queue.Lane, now: number): void {
    let next = lane.peek();
    while (next !== undefined) {
      const server = this.#chooseServer(lane, { queued: next, now });
      if (server === undefined) return;
      this.#start(lane, server, now);
      next = lane.peek();
    }
  }

  #chooseServer(
    lane: queue.Lane,
    { queued, now }: {
      readonly queued: queue.QueuedRequest;
      readonly now: number;
    },
  ): servers.ServerState | undefined {
    const wanted = queued.request;
    // One copy of a suspect request at a time: two could take two servers.
    if (queued.suspect && this.#running.hasFingerprint(wanted.fingerprint)) {
      return undefined;
    }
    const share = this.#classes.get(wanted.className)?.share ?? 0;
    return this.#router.choose(wanted, {
      now,
      suspect: queued.suspect,
      avoid: queued.avoid,
      turn: this.#credits.hasTurn(lane),
      guaranteedSlots: (pool) =>
        admission.countGuaranteedSlots(share, pool.totalSlots),
      overflow: isLate(wanted, now),
    });
  }

  #start(lane: queue.Lane, server: servers.ServerState, now: number): void {
    const cost = this.#estimateCost(lane.peek()?.request as request.Request);
    const queued = this.#queue.take(lane, cost) as queue.QueuedRequest;
    const { suspect } = queued;
    this.#credits.recordStart(lane, {
      cost,
      waiting: this.#queue.listWaiting(),
      classes: this.#classes,
    });
    this.#table.recordStart(server, queued.request.className);
    if (suspect) server.suspects += 1;
    server.prompting += queued.request.promptTokens;
    this.#running.add({
      request: queued.request,
      attempt: queued.attempt,
      server: server.info.name,
      pool: server.info.pool,
      startedAt: now,
      offset: queued.offset,
      tokens: 0,
      firstTokenAt: 0,
      suspect,
      ranBefore: queued.ran,
    });
    this.#effects.push({
      kind: "start",
      request: queued.request,
      attempt: queued.attempt,
      server: server.info,
      offset: queued.offset,
    });
  }

  #estimateCost(wanted: request.Request): number {
    if (wanted.kind === "call") return 1;
    const learned = this.#lengths.get(getLengthKey(wanted)).tokens;
    return Math.min(learned, wanted.maxTokens) +
      wanted.promptTokens * constants.PROMPT_TOKEN_COST;
  }

  #recordProgress(
    event: { requestId: string; attempt: number; tokens: number },
    now: number,
  ): void {
    const first = this.#running.recordProgress(event, now);
    if (first !== undefined) this.#endPrompt(first);
  }

  /** A server has taken an attempt's prompt in, or will not. */
  #endPrompt(attempt: attempts.Attempt): void {
    const server = this.#table.get(attempt.server);
    if (server === undefined) return;
    server.prompting = Math.max(
      0,
      server.prompting - attempt.request.promptTokens,
    );
  }

  // ---- ends of attempts ----

  /** Takes an attempt out of the tables; undefined if it is not the current one. */
  #end(
    id: { requestId: string; attempt: number },
  ): attempts.Attempt | undefined {
    const ended = this.#running.remove(id);
    if (ended === undefined) return undefined;
    this.#table.recordEnd(ended.server, ended.pool, ended.request.className);
    const server = this.#table.get(ended.server);
    if (server !== undefined && ended.suspect) server.suspects -= 1;
    if (ended.tokens === 0) this.#endPrompt(ended);
    return ended;
  }

  #finish(
    event: { requestId: string; attempt: number; tokens: number },
    now: number,
  ): void {
    const ended = this.#end(event);
    if (ended === undefined) return;
    this.#suspects.clear(ended.request.fingerprint);
    const serviceMs = now - ended.startedAt;
    this.#lengths.record(getLengthKey(ended.request), {
      tokens: event.tokens,
      serviceMs,
    });
    const server = this.#table.get(ended.server);
    if (server !== undefined) {
      this.#table.recordSuccess(server, attempts.measureTokenMs(ended, now));
    }
    this.#dispatch(now);
  }

  #fail(
    event: Extract<events.DispatchEvent, { kind: "failed" }>,
    now: number,
  ): void {
    const ended = this.#end(event);
    if (ended === undefined) return;
    const server = this.#table.get(ended.server);
    if (server !== undefined && event.failure !== "refused") {
      this.#table.recordFailure(server, now);
    }
    if (event.failure === "connection_lost") this.#suspect(ended, now);
    this.#decideRetry(event, { ended, now });
    this.#dispatch(now);
  }

  #suspect(ended: attempts.Attempt, now: number): void {
    const mark = {
      fingerprint: ended.request.fingerprint,
      server: ended.server,
    };
    this.#effects.push({ kind: "suspect", mark });
    this.#suspects.add(mark);
    this.#separateSuspects([mark], now);
  }

  #decideRetry(
    event: Extract<events.DispatchEvent, { kind: "failed" }>,
    { ended, now }: { ended: attempts.Attempt; now: number },
  ): void {
    const wanted = ended.request;
    const decision = retry.decideRetry({
      failure: event.failure,
      attempt: ended.attempt,
      repeatable: wanted.repeatable,
      answerStarted: event.answerStarted,
      resumable: event.resumable,
    }, () => this.#budget.take());
    if (decision.kind === "give_up") {
      return this.#refuse(wanted, {
        code: "backend_failed",
        ran: retry.mergeRan(ended.ranBefore, decision.ran),
        peer: ended.server,
        waitMs: decision.ran === "no" ? 0 : undefined,
      });
    }
    if (this.#suspects.isPoison(wanted.fingerprint)) {
      return this.#refuse(wanted, { code: "poison_request", ran: "unknown" });
    }
    this.#requeue(ended, {
      avoid: ended.server,
      now,
      ran: retry.mergeRan(ended.ranBefore, retry.resolveRan(event.failure)),
    });
  }

  #requeue(
    ended: attempts.Attempt,
    options: {
      readonly avoid?: string;
      readonly now: number;
      readonly ran: request.Ran;
    },
  ): void {
    // A request whose answer has begun has met its start deadline already.
    const begun = ended.offset + ended.tokens > 0;
    const patience = ended.request.startBy - ended.request.arrivedAt;
    this.#queue.add({
      request: begun
        ? { ...ended.request, startBy: options.now + patience }
        : ended.request,
      attempt: ended.attempt + 1,
      offset: ended.offset + ended.tokens,
      avoid: options.avoid,
      ran: options.ran,
      late: false,
      first: true,
      suspect: this.#suspects.isSuspect(ended.request.fingerprint),
    });
  }

  // ---- cancellation and withdrawal ----

  #cancel(requestId: string, now: number): void {
    const queued = this.#queue.removeWhere((entry) =>
      entry.request.id === requestId
    );
    if (queued.length > 0) return;
    this.#stop(requestId, "caller_left");
    this.#dispatch(now);
  }

  #stop(
    requestId: string,
    reason: Extract<events.DispatchEffect, { kind: "stop" }>["reason"],
  ): attempts.Attempt | undefined {
    const current = this.#running.get(requestId);
    if (current === undefined) return undefined;
    const attempt = current.attempt;
    this.#end({ requestId, attempt });
    this.#effects.push({ kind: "stop", requestId, attempt, reason });
    return current;
  }

  #withdrawKey(keyId: string, now: number): void {
    this.#queue.removeWhere((entry) => entry.request.keyId === keyId)
      .forEach((entry) =>
        this.#refuse(entry.request, {
          code: "key_withdrawn",
          ran: entry.ran,
        })
      );
    this.#running.list().filter((entry) => entry.request.keyId === keyId)
      .forEach((entry) => {
        this.#stop(entry.request.id, "key_withdrawn");
        this.#refuse(entry.request, { code: "key_withdrawn", ran: "unknown" });
      });
    this.#dispatch(now);
  }

  /** Refuses what is queued of a poison request; other suspects change lanes. */
  #separateSuspects(marks: readonly events.SuspectMark[], now: number): void {
    const marked = new Set(marks.map((mark) => mark.fingerprint));
    this.#queue.removeWhere((entry) => marked.has(entry.request.fingerprint))
      .forEach((entry) => {
        const { fingerprint } = entry.request;
        const held = this.#suspects.getHold(fingerprint, now) > 0;
        if (!held && !this.#suspects.isPoison(fingerprint)) {
          return this.#queue.add({ ...entry, suspect: true });
        }
        this.#refuse(entry.request, { code: "poison_request", ran: entry.ran });
      });
    this.#dispatch(now);
  }

  // ---- grants and preemption ----

  #setGrants(
    event: Extract<events.DispatchEvent, { kind: "granted" }>,
    now: number,
  ): void {
    this.#grantAsOf = event.asOf;
    const grants = new Map(event.grants.map((grant) => [grant.pool, grant]));
    this.#table.listPools().forEach((pool) => {
      const grant = grants.get(pool.part.name);
      if (grant === undefined) return;
      pool.limits = new Map(
        grant.limits.map((limit) => [limit.className, limit.slots]),
      );
      pool.lowestTierElsewhere = grant.lowestTierElsewhere;
      pool.recallForTier = grant.recallForTier;
      pool.queuedElsewhere = grant.queuedElsewhere;
    });
    this.#returnSlots(now);
    this.#dispatch(now);
  }

  #dropGrants(now: number): void {
    this.#table.listPools().forEach((pool) => {
      pool.limits = new Map();
      pool.lowestTierElsewhere = 0;
      pool.recallForTier = 0;
      pool.queuedElsewhere = [];
    });
    this.#dispatch(now);
  }

  /** Stops lower work beyond its limit where a higher tier waits elsewhere. */
  #returnSlots(now: number): void {
    this.#table.listPools()
      .filter((pool) => pool.recallForTier > 0)
      .forEach((pool) => {
        const over = this.#running.list().filter((attempt) =>
          attempt.pool === pool.part.name &&
          attempt.request.tier > pool.recallForTier &&
          attempt.request.repeatable
        ).toSorted((a, b) => b.startedAt - a.startedAt);
        over.filter((attempt) => exceedsLimit(pool, attempt.request.className))
          .forEach((attempt) => {
            // Each one that is stopped may bring its class within its limit.
            if (exceedsLimit(pool, attempt.request.className)) {
              this.#preempt(attempt, now);
            }
          });
      });
  }

  #preempt(victim: attempts.Attempt, now: number): void {
    this.#stop(victim.request.id, "preempted");
    this.#requeue(victim, { now, ran: "unknown" });
  }

  /**
   * Expires last: after a pause many requests are late at once, and a higher
   * tier must not be refused while lower work still holds slots.
   */
  #tick(now: number): void {
    this.#dispatch(now);
    this.#preemptForLate(now);
    this.#expire(now);
    this.#putBehind(now);
  }

  /** Puts requests that missed their target behind those of their tier that can meet it. */
  #putBehind(now: number): void {
    this.#queue.removeOverdue((entry) =>
      !entry.late && entry.offset === 0 &&
      now - entry.request.arrivedAt > entry.request.targetMs
    ).forEach((entry) =>
      this.#queue.add({ ...entry, late: true, first: false })
    );
  }

  /**
   * Refuses requests whose time to start is over. One that is not at the head
   * of its lane has had no work preempted for it yet, so it first gets that.
   */
  #expire(now: number): void {
    const overdue = this.#queue.removeOverdue((entry) =>
      entry.request.startBy <= now
    );
    overdue.forEach((entry) => {
      const pools = this.#listPoolsFor(entry.request);
      const victim = this.#findVictim(entry.request, pools);
      if (victim === undefined) return this.#refuseOverdue(entry);
      this.#preempt(victim, now);
      this.#postpone(entry, now);
    });
    if (overdue.length > 0) this.#dispatch(now);
  }

  #refuseOverdue(entry: queue.QueuedRequest): void {
    this.#refuse(entry.request, {
      code: "deadline_exceeded",
      ran: entry.ran,
      waitMs: this.#lengths.get(getLengthKey(entry.request)).serviceMs,
    });
  }

  /** Puts an overdue request to the front of its customer's, for one more look. */
  #postpone(entry: queue.QueuedRequest, now: number): void {
    const startBy = now + constants.POSTPONE_MS;
    this.#queue.add({
      ...entry,
      request: { ...entry.request, startBy },
      first: true,
    });
  }

  /** Preempts for requests that have used up half of their time to start. */
  #preemptForLate(now: number): void {
    this.#queue.listWaiting().forEach((lane) => {
      for (
        let head = lane.peek();
        head !== undefined && isLate(head.request, now);
        head = lane.peek()
      ) {
        if (!this.#preemptFor(lane, head, now)) return;
      }
    });
  }

  /**
   * Stops one piece of lower work for the head of a lane; false if there is
   * none. Where the host is over its grant or the server over its capacity,
   * one is not enough, so it goes on until the head starts: it must not be
   * refused while lower work is left.
   */
  #preemptFor(
    lane: queue.Lane,
    head: queue.QueuedRequest,
    now: number,
  ): boolean {
    const pools = this.#listPoolsFor(head.request);
    const victim = this.#findVictim(head.request, pools);
    if (victim === undefined) {
      if (admission.hasLowerWork(head.request.tier, pools)) {
        this.#effects.push({ kind: "ask_capacity" });
      }
      return false;
    }
    this.#preempt(victim, now);
    this.#dispatchLane(lane, now);
    return true;
  }

  #refuse(refused: request.Request, reason: refusals.RefusalReason): void {
    this.#effects.push({
      kind: "refuse",
      requestId: refused.id,
      refusal: refusals.buildRefusal(reason),
    });
  }
}

function exceedsLimit(pool: servers.PoolState, className: string): boolean {
  const limit = pool.limits.get(className) ?? Number.POSITIVE_INFINITY;
  return (pool.runningByClass.get(className) ?? 0) > limit;
}

function isLate(wanted: request.Request, now: number): boolean {
  const patience = Math.min(
    constants.PREEMPT_AT_SLACK * (wanted.startBy - wanted.arrivedAt),
    constants.PREEMPT_AT_TARGET * wanted.targetMs,
  );
  return now - wanted.arrivedAt >= patience;
}

function getLengthKey(wanted: request.Request): string {
  return `${wanted.className}|${wanted.target}`;
}

function isServedBy(
  wanted: { readonly target: string; readonly pools: readonly string[] },
  pool: servers.PoolState,
): boolean {
  return pool.part.targets.includes(wanted.target) &&
    (wanted.pools.length === 0 || wanted.pools.includes(pool.part.name));
}
