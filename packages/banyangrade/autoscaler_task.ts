/** Runs the autoscaler of a failure domain at the host that holds the role. */
import * as core from "@banyangrade/core";
import * as fleet from "@banyangrade/fleet";
import type * as peer from "@banyangrade/peer";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as capacity from "./capacity_task.ts";
import * as constants from "./constants.ts";

/** Options of {@link AutoscalerTask}. */
export interface AutoscalerTaskOptions {
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

/** Computes the desired server counts of the pools and orders them from the fleet. */
export class AutoscalerTask {
  readonly #options: AutoscalerTaskOptions;
  #state = core.INITIAL_SCALING;
  #desired: readonly core.DesiredCount[] = [];
  #stop: () => void = () => undefined;

  constructor(options: AutoscalerTaskOptions) {
    this.#options = options;
  }

  start(): void {
    this.#stop = utils.startInterval(
      {
        ms: constants.AUTOSCALER_MS,
        onError: utils.createErrorLog(this.#options.log, "orders.round"),
      },
      () => this.#runRound(),
    );
  }

  stop(): void {
    this.#stop();
  }

  /** Returns the desired counts of the last round. */
  getDesired(): readonly core.DesiredCount[] {
    return this.#desired;
  }

  async #runRound(): Promise<void> {
    if (this.#options.holder.getLease().kind === "none") return;
    const pools = this.#listPools();
    const demand = await this.#fetchDemand(pools.map((pool) => pool.part.name));
    if (demand === undefined || pools.length === 0) return;
    const loads = pools.map((pool) => {
      const poolDemand = demand.find((candidate) =>
        candidate.pool === pool.part.name
      );
      return {
        part: pool.part,
        servers: pool.totalSlots / pool.part.slots,
        demand: poolDemand?.demand ?? 0,
        upperDemand: poolDemand?.upperDemand ?? 0,
      };
    });
    const computed = core.computeDesired(loads, {
      state: this.#state,
      now: this.#options.clock.now(),
    });
    this.#state = computed.state;
    this.#desired = computed.desired;
    for (const desired of computed.desired) await this.#sendOrder(desired);
  }

  /** Lists the failure domain's pools that are scaled. */
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

  async #sendOrder(desired: core.DesiredCount): Promise<void> {
    const outcome = await fleet.sendDesiredCount(desired, {
      ...this.#options,
      getLease: this.#options.holder.getLease,
    });
    switch (outcome.kind) {
      case "sent":
        this.#options.log.debug(
          { ...outcome.intent },
          "Desired server count ordered.",
        );
        return;
      case "failed":
        this.#options.log.warn(
          { error: outcome.error },
          "Ordering a desired server count failed; retrying in the next round.",
        );
        return;
      case "unchanged":
      case "not_leader":
        return;
    }
  }
}
