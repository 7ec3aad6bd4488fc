/**
 * Slots between the hosts of a failure domain. Every host sends its demand to
 * the capacity leader, the first live host by hash, and gets its grants back;
 * the leader also pushes grants to hosts that must give slots up.
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

/** Asks for slots and, at the leader, grants them. */
export class CapacityTask {
  readonly #options: CapacityTaskOptions;
  readonly #allocator = new core.CapacityAllocator();
  /** Peer addresses of hosts of other failure domains that asked. */
  readonly #visitors = new Map<string, string>();
  #grants: ReadonlyMap<string, readonly core.Grant[]> = new Map();
  #leaderSince = Number.POSITIVE_INFINITY;
  #allocatedAt = Number.NEGATIVE_INFINITY;
  #askedAt = Number.NEGATIVE_INFINITY;
  #misses = 0;
  #hosts = "";
  #saidIdle = false;
  #asking = false;
  #scheduled: NodeJS.Timeout | undefined;
  #stop: () => void = () => undefined;

  constructor(options: CapacityTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      constants.DEMAND_MS,
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
    clearTimeout(this.#scheduled);
  }

  getLeader(): core.Member {
    return this.#options.overlay.members.listRanked("capacity", 1)[0];
  }

  /** Sends demand now instead of at the next round, at most every 50 ms. */
  askNow(): void {
    const since = this.#options.clock.now() - this.#askedAt;
    if (since >= constants.ALLOCATE_MS * this.#getScale()) void this.#ask();
  }

  /**
   * Factor on the time between demands. It grows with the failure domain, so
   * that what its leader takes in does not.
   */
  #getScale(): number {
    const hosts = this.#options.overlay.members.listActive().length;
    return Math.max(1, hosts / constants.HOSTS_AT_FULL_RATE);
  }

  /**
   * Takes a host's demand and answers with its grants, at the leader; a host of
   * another failure domain does not know who that is, so its demand is passed on.
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
    const visiting = visitor !== undefined;
    if (visiting) this.#visitors.set(host, visitor);
    this.#allocator.setDemand(host, { demands, now, remote: visiting });
    if (!this.#isLeader()) return undefined;
    this.#leaderSince = Math.min(this.#leaderSince, now);
    // A new leader does not know what the others are running yet.
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
      servers: this.#visitors.has(host)
        ? this.#allocator.listLentServers(host, this.#listCapacities())
        : [],
    };
  }

  /** Takes grants that a leader pushed. */
  takeGrants(message: peer.GrantMessage): void {
    this.#apply(message, this.#options.clock.now());
  }

  /** Demand for pools over the failure domain, as the leader knows it. */
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
    this.#noteHosts();
    if (!this.#isLeader()) this.#leaderSince = Number.POSITIVE_INFINITY;
    const { queued, running } = this.#options.dispatcher.countOpen();
    const idle = queued + running === 0;
    const since = this.#options.clock.now() - this.#askedAt;
    const due = since >= constants.DEMAND_MS * this.#getScale();
    // A host that asks for nothing says so once.
    if (due && !(idle && this.#saidIdle)) await this.#ask();
  }

  /** Tells the dispatcher which hosts share the failure domain's servers. */
  #noteHosts(): void {
    const hosts = this.#options.overlay.members.listActive()
      .map((member) => member.name).toSorted();
    const joined = hosts.join(" ");
    if (joined === this.#hosts) return;
    this.#hosts = joined;
    this.#options.dispatch.send({ kind: "hosts_changed", hosts });
  }

  async #ask(): Promise<void> {
    if (this.#asking) return;
    this.#asking = true;
    const sentAt = this.#options.clock.now();
    this.#askedAt = sentAt;
    const message = {
      host: this.#options.host,
      demands: this.#options.dispatcher.listDemand(),
    };
    const answer = await this.#sendDemand(message);
    this.#saidIdle = answer.ok && message.demands.length === 0;
    this.#asking = false;
    if (answer.err) return this.#recordMiss();
    this.#misses = 0;
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

  /** A host that cannot reach its leader goes on with all slots it sees. */
  #recordMiss(): void {
    this.#misses += 1;
    if (this.#misses !== constants.LOST_LEADER_TRIES) return;
    this.#options.log.warn("Capacity leader lost; grants dropped.");
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

  /** Allocates now, or once 50 ms have passed since the last time. */
  #allocateSoon(): void {
    const now = this.#options.clock.now();
    const due = this.#allocatedAt + constants.ALLOCATE_MS - now;
    if (due <= 0) return this.#allocate();
    this.#scheduled ??= setTimeout(() => {
      this.#scheduled = undefined;
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
      this.#visitors.get(host);
    if (address === undefined) return;
    void this.#options.clients.call(
      { address, step: "peer.grants" },
      (client, signal) => client.grants.mutate(message, { signal }),
    );
  }
}

/** Whether a grant takes slots back for a higher tier, and did not before. */
function isRecall(
  grant: core.Grant,
  before: readonly core.Grant[] | undefined,
): boolean {
  if (grant.recallForTier === 0) return false;
  const last = before?.find((one) => one.pool === grant.pool);
  return JSON.stringify(last?.limits) !== JSON.stringify(grant.limits) ||
    last?.recallForTier !== grant.recallForTier;
}
