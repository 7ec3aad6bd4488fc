/**
 * Allocates the slots of a failure domain's servers to its hosts. Every host sends its
 * demand to the capacity leader, which is the first active host by rendezvous hash, and
 * receives its grants in return. The leader also pushes grants to hosts whose slots it
 * recalls.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as dispatch from "./dispatch_task.ts";

/** Options of {@link CapacityTask}. */
export interface CapacityTaskOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly dispatch: dispatch.DispatchTask;
  readonly dispatcher: core.Dispatcher;
  readonly getConfiguration: () => core.Configuration;
  readonly failureDomain: string;
  readonly host: string;
}

/** Requests slots from the capacity leader; at the leader, also grants them. */
export class CapacityTask {
  readonly #options: CapacityTaskOptions;
  readonly #allocator = new core.CapacityAllocator();
  /** Peer addresses of the hosts of other failure domains that sent a demand. */
  readonly #remoteHosts = new Map<string, string>();
  #grants: ReadonlyMap<string, readonly core.Grant[]> = new Map();
  #leaderSince = Number.POSITIVE_INFINITY;
  #allocatedAt = Number.NEGATIVE_INFINITY;
  #demandSentAt = Number.NEGATIVE_INFINITY;
  #failedDemands = 0;
  #hostList = "";
  #idleReported = false;
  #asking = false;
  #allocateTimer: NodeJS.Timeout | undefined;
  #stop: () => void = () => undefined;

  constructor(options: CapacityTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      {
        ms: constants.DEMAND_MS,
        onError: utils.createErrorLog(this.#options.log, "capacity.round"),
      },
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
    clearTimeout(this.#allocateTimer);
  }

  getLeader(): core.Member {
    return this.#options.overlay.members.listRanked("capacity", 1)[0];
  }

  /**
   * Sends the demand now instead of in the next round, unless the last one was sent less
   * than {@link constants.ALLOCATE_MS} ago. That time grows with the number of hosts.
   */
  askLeaderNow(): void {
    const age = this.#options.clock.now() - this.#demandSentAt;
    if (age >= constants.ALLOCATE_MS * this.#getScale()) {
      utils.runDetached(
        () => this.#askLeader(),
        utils.createErrorLog(this.#options.log, "capacity.ask"),
      );
    }
  }

  /**
   * Returns the factor by which the interval between demands is longer than in a
   * small failure domain. It grows with the number of hosts, so that the leader's
   * load does not.
   */
  #getScale(): number {
    const hosts = this.#options.overlay.members.listActive().length;
    return Math.max(1, hosts / constants.HOSTS_AT_FULL_RATE);
  }

  /**
   * Handles the demand of a host and returns its grants if this host is the leader.
   * Demand from another failure domain is forwarded to the leader, because hosts there
   * do not know which host that is.
   */
  async takeDemand(
    message: peer.DemandMessage,
  ): Promise<peer.GrantMessage | undefined> {
    if (message.visitor === undefined || this.#isLeader()) {
      return this.#answerDemand(message);
    }
    const answer = await this.#callLeader(message);
    return answer.unwrapOr(undefined);
  }

  #answerDemand(message: peer.DemandMessage): peer.GrantMessage | undefined {
    const now = this.#options.clock.now();
    const { host, demands, visitor } = message;
    const remote = visitor !== undefined;
    if (remote) this.#remoteHosts.set(host, visitor);
    this.#allocator.setDemand(host, { demands, now, remote });
    if (!this.#isLeader()) return undefined;
    this.#leaderSince = Math.min(this.#leaderSince, now);
    // A new leader first collects the demand of the hosts: it does not know yet how
    // many requests they run and would grant occupied slots.
    if (now - this.#leaderSince < constants.LEADER_WARMUP_MS) return undefined;
    this.#allocateSoon();
    const grants = this.#grants.get(host);
    return grants && this.#buildMessage(host, grants);
  }

  #buildMessage(
    host: string,
    grants: readonly core.Grant[],
  ): peer.GrantMessage {
    return {
      leader: this.#options.host,
      failureDomain: this.#options.failureDomain,
      grants,
      servers: this.#remoteHosts.has(host)
        ? this.#allocator.listLentServers(host, this.#listCapacities())
        : [],
    };
  }

  /** Applies grants that a capacity leader pushed. */
  takeGrants(message: peer.GrantMessage): void {
    this.#apply(message, this.#options.clock.now());
  }

  /** Sums the demand of the failure domain's hosts for each pool; complete only at the leader. */
  sumDemand(
    pools: readonly string[],
  ): { pool: string; demand: number; upperDemand: number }[] {
    return pools.map((pool) => ({
      pool,
      demand: this.#allocator.sumDemand(pool),
      upperDemand: this.#allocator.sumDemand(pool, core.RESERVE_TIER),
    }));
  }

  #isLeader(): boolean {
    return this.getLeader().name === this.#options.host;
  }

  async #runRound(): Promise<void> {
    this.#updateHosts();
    if (!this.#isLeader()) this.#leaderSince = Number.POSITIVE_INFINITY;
    const { queued, running } = this.#options.dispatcher.countOpen();
    const idle = queued + running === 0;
    const since = this.#options.clock.now() - this.#demandSentAt;
    const due = since >= constants.DEMAND_MS * this.#getScale();
    // A host without demand reports that once, then stays silent.
    if (due && !(idle && this.#idleReported)) await this.#askLeader();
  }

  /** Reports a changed list of the failure domain's hosts to the dispatcher. */
  #updateHosts(): void {
    const hosts = this.#options.overlay.members.listActive()
      .map((member) => member.name).toSorted();
    const hostList = hosts.join(" ");
    if (hostList === this.#hostList) return;
    this.#hostList = hostList;
    this.#options.dispatch.send({ kind: "hosts_changed", hosts });
  }

  async #askLeader(): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    const sentAt = this.#options.clock.now();
    this.#demandSentAt = sentAt;
    const message = {
      host: this.#options.host,
      demands: this.#options.dispatcher.listDemand(),
    };
    const answer = await this.#sendDemand(message);
    this.#idleReported = answer.ok && message.demands.length === 0;
    this.#asking = false;
    if (answer.err) return this.#recordFailedDemand();
    this.#failedDemands = 0;
    if (answer.val !== undefined) this.#apply(answer.val, sentAt);
  }

  async #sendDemand(
    message: peer.DemandMessage,
  ): Promise<utils.Result<peer.GrantMessage | undefined, utils.StepError>> {
    if (this.#isLeader()) return utils.Ok(this.#answerDemand(message));
    return await this.#callLeader(message);
  }

  async #callLeader(
    message: peer.DemandMessage,
  ): Promise<utils.Result<peer.GrantMessage | undefined, utils.StepError>> {
    const leader = this.getLeader();
    const answer = await this.#options.clients.call(
      { address: leader.address, step: "peer.demand" },
      (client, signal) => client.demand.mutate(message, { signal }),
    );
    return answer.map((grant) => grant ?? undefined);
  }

  /** Drops the grants after several failed demands: a host that cannot reach the leader then uses all slots that it sees. */
  #recordFailedDemand(): void {
    this.#failedDemands += 1;
    if (this.#failedDemands !== constants.MAX_FAILED_DEMANDS) return;
    this.#options.log.warn(
      "Capacity leader unreachable; continuing without grants.",
    );
    this.#options.dispatch.send({ kind: "grants_lost" });
  }

  #apply(message: peer.GrantMessage, asOf: number): void {
    const { failureDomain, grants, servers } = message;
    const own = failureDomain === this.#options.failureDomain;
    this.#options.dispatch.send(
      own
        ? { kind: "granted", grants, asOf }
        : { kind: "overflow_granted", failureDomain, grants, servers, asOf },
    );
  }

  /** Allocates now, or as soon as {@link constants.ALLOCATE_MS} have passed since the last allocation. */
  #allocateSoon(): void {
    const now = this.#options.clock.now();
    const due = this.#allocatedAt + constants.ALLOCATE_MS - now;
    if (due <= 0) return this.#allocate();
    this.#allocateTimer ??= setTimeout(() => {
      this.#allocateTimer = undefined;
      this.#allocate();
    }, due);
  }

  #allocate(): void {
    const now = this.#options.clock.now();
    this.#allocatedAt = now;
    const before = this.#grants;
    const active = this.#options.overlay.members.listActive();
    this.#allocator.keepHosts(new Set(active.map((member) => member.name)));
    this.#grants = this.#allocator.allocate(this.#listCapacities(), now);
    this.#grants.forEach((grants, host) => {
      const urgent = grants.some((grant) => isRecall(grant, before.get(host)));
      if (urgent) this.#push(host, grants);
    });
  }

  #listCapacities(): core.PoolCapacity[] {
    const { classes } = this.#options.getConfiguration();
    const shares = new Map(
      [...classes.values()].map((part) => [part.name, part.share]),
    );
    const inspected = this.#options.dispatcher.inspect();
    const servers = inspected.servers.map((server) => server.info)
      .filter((info) => info.state === "live");
    return inspected.pools
      .filter((pool) => pool.part.failureDomain === this.#options.failureDomain)
      .map((pool) => ({
        pool: pool.part.name,
        slots: core.countGrantable(pool.part, pool.totalSlots),
        shares,
        servers: servers.filter((info) => info.pool === pool.part.name),
      }));
  }

  #push(host: string, grants: readonly core.Grant[]): void {
    const message = this.#buildMessage(host, grants);
    if (host === this.#options.host) return this.takeGrants(message);
    const address = this.#options.overlay.members.get(host)?.address ??
      this.#remoteHosts.get(host);
    if (address === undefined) return;
    utils.runDetached(() =>
      this.#options.clients.call(
        { address, step: "peer.grants" },
        (client, signal) => client.grants.mutate(message, { signal }),
      ), utils.createErrorLog(this.#options.log, "capacity.push"));
  }
}

/** Whether a grant recalls slots for a higher tier and differs from the grant before. */
function isRecall(
  grant: core.Grant,
  before: readonly core.Grant[] | undefined,
): boolean {
  if (grant.recallForTier === 0) return false;
  const last = before?.find((candidate) => candidate.pool === grant.pool);
  return JSON.stringify(last?.limits) !== JSON.stringify(grant.limits) ||
    last?.recallForTier !== grant.recallForTier;
}
