/** The autoscaler of a failure domain, run by the host that holds its role. */
import * as core from "@banyangrade/core";
import * as fleet from "@banyangrade/fleet";
import type * as peer from "@banyangrade/peer";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as capacity from "./capacity_task.ts";
import * as constants from "./constants.ts";

/** Options of {@link OrdersTask}. */
export interface OrdersTaskOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly store: store.StoreClient;
  readonly fleet: fleet.FleetClient;
  readonly clients: peer.PeerClients;
  readonly capacity: capacity.CapacityTask;
  readonly dispatcher: core.Dispatcher;
  readonly holder: store.LeaseHolder;
  readonly host: string;
  readonly failureDomain: string;
}

/** Computes desired counts and orders them. */
export class OrdersTask {
  readonly #options: OrdersTaskOptions;
  #state = core.INITIAL_SCALING;
  #last: readonly core.DesiredCount[] = [];
  #stop: () => void = () => undefined;

  constructor(options: OrdersTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      constants.ORDERS_MS,
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
  }

  /** The counts desired in the last round. */
  getDesired(): readonly core.DesiredCount[] {
    return this.#last;
  }

  async #runRound(): Promise<void> {
    if (this.#options.holder.getLease().kind === "none") return;
    const pools = this.#listPools();
    const demand = await this.#fetchDemand(pools.map((pool) => pool.part.name));
    if (demand === undefined || pools.length === 0) return;
    const loads = pools.map((pool) => {
      const own = demand.find((one) => one.pool === pool.part.name);
      return {
        part: pool.part,
        servers: pool.totalSlots / pool.part.slots,
        demand: own?.demand ?? 0,
        upperDemand: own?.upperDemand ?? 0,
      };
    });
    const computed = core.computeDesired(loads, {
      state: this.#state,
      now: this.#options.clock.now(),
    });
    this.#state = computed.state;
    this.#last = computed.desired;
    for (const desired of computed.desired) await this.#order(desired);
  }

  /** The failure domain's pools whose size is not left alone. */
  #listPools() {
    return this.#options.dispatcher.inspect().pools.filter((pool) =>
      pool.part.failureDomain === this.#options.failureDomain &&
      pool.part.maxServers > 0
    );
  }

  async #fetchDemand(
    pools: readonly string[],
  ): Promise<
    readonly { pool: string; demand: number; upperDemand: number }[] | undefined
  > {
    const leader = this.#options.capacity.getLeader();
    if (leader.name === this.#options.host) {
      return this.#options.capacity.sumDemand(pools);
    }
    const answer = await this.#options.clients.call(
      { address: leader.address, step: "peer.sumDemand" },
      (client, signal) => client.sumDemand.query([...pools], { signal }),
    );
    return answer.ok ? answer.val : undefined;
  }

  async #order(desired: core.DesiredCount): Promise<void> {
    const outcome = await fleet.sendDesired(desired, {
      ...this.#options,
      getLease: this.#options.holder.getLease,
    });
    switch (outcome.kind) {
      case "sent":
        this.#options.log.debug({ ...outcome.intent }, "Order sent.");
        return;
      case "failed":
        this.#options.log.warn({ error: outcome.error }, "Order failed.");
        return;
      case "unchanged":
      case "not_leader":
        return;
    }
  }
}
