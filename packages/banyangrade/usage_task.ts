/**
 * Records this host's usage and sends it in batches to the host that reports for the
 * failure domain and to one replica. Batches are kept until a final window counts them.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as usage from "@banyangrade/usage";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";

/** Options of {@link UsageTask}. */
export interface UsageTaskOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly store: store.StoreClient;
  readonly usage: usage.UsageClient;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly holder: store.LeaseHolder;
  readonly failureDomain: string;
  /** Identifies the sender of batches: host and incarnation. */
  readonly source: string;
  readonly windowMs: number;
  readonly graceMs: number;
}

/** Records and flushes usage, and reports it while this host holds the role. */
export class UsageTask {
  readonly #options: UsageTaskOptions;
  readonly #ledger: core.UsageLedger;
  readonly #collector = new core.UsageCollector();
  readonly #sentSequences = new Map<string, number>();
  #stops: (() => void)[] = [];

  constructor(options: UsageTaskOptions) {
    this.#options = options;
    this.#ledger = new core.UsageLedger(options.source);
  }

  start(): void {
    this.#stops = [
      utils.startInterval({
        ms: constants.FLUSH_MS,
        onError: utils.createErrorLog(this.#options.log, "usage.flush"),
      }, () => this.flush()),
      utils.startInterval({
        ms: constants.REPORT_MS,
        onError: utils.createErrorLog(this.#options.log, "usage.report"),
      }, () => this.#report()),
    ];
  }

  /** Records usage in the current window. */
  record(
    entry: { readonly key: string; readonly figures: core.UsageFigures },
  ): void {
    const window = Math.floor(
      this.#options.clock.wall() / this.#options.windowMs,
    );
    this.#ledger.record(window, entry);
  }

  /** Adds batches of another host, as the reporter or as a replica. */
  takeBatches(message: peer.UsageMessage): peer.UsageResponse {
    this.#collector.add(message.batches);
    return { counted: this.#collector.getCounted() };
  }

  /** Sends the batches that the reporter and the replica have not received. */
  async flush(): Promise<void> {
    const own = this.#ledger.listBatches();
    this.#collector.add(own);
    const reporter = this.#getReporter();
    const replica = this.#options.overlay.members.listHeartbeatTargets()[0];
    await Promise.all([
      reporter && this.#sendTo(reporter, [...own, ...this.#listOrphans()]),
      replica && this.#sendTo(`${replica.address}`, own),
    ]);
  }

  /**
   * Stops the task. Batches that are not yet in a final window are sent to the reporter
   * and other hosts, so that the next reporter can count them.
   */
  async stop(): Promise<void> {
    this.#stops.forEach((stop) => stop());
    await this.flush();
    if (this.isSettled()) return;
    const own = this.#options.overlay.members.getSelf().address;
    const batches = this.#collector.list();
    const next = [this.#getReporter(), ...this.#listPeerAddresses()]
      .filter((address) => address !== undefined && address !== own);
    await Promise.all(
      next.slice(0, 2).map((address) =>
        this.#sendTo(`${address}`, batches, { resend: true })
      ),
    );
  }

  /** Whether all usage of this host is counted in final windows. */
  isSettled(): boolean {
    return this.#ledger.isSettled();
  }

  #listPeerAddresses(): string[] {
    return this.#options.overlay.members.listHeartbeatTargets()
      .map((member) => member.address);
  }

  #getReporter(): string | undefined {
    const role = `usage/${this.#options.failureDomain}`;
    const roleHolder = this.#options.overlay.getRole(role);
    return roleHolder?.address;
  }

  /** Lists the batches that this host holds as a replica for hosts that are no longer active. */
  #listOrphans(): core.UsageBatch[] {
    const active = new Set(
      this.#options.overlay.members.listActive().map((member) => member.name),
    );
    return this.#collector.list().filter((batch) =>
      !active.has(batch.source.split("/")[0])
    );
  }

  async #sendTo(
    address: string,
    batches: readonly core.UsageBatch[],
    { resend = false }: { readonly resend?: boolean } = {},
  ): Promise<void> {
    const role = this.#options.overlay.getRole(
      `usage/${this.#options.failureDomain}`,
    );
    // A new holder of the role has no batches, so those that the former holder received
    // are sent again; the fencing token tells the holders apart.
    const channel = `${address}#${role?.token ?? 0}`;
    const isSent = (batch: core.UsageBatch) =>
      (this.#sentSequences.get(`${channel}#${batch.source}`) ?? 0) >=
        batch.sequence;
    const unsent = batches.filter((batch) => resend || !isSent(batch));
    const answer = await this.#options.clients.call(
      { address, step: "peer.usage" },
      (client, signal) => client.usage.mutate({ batches: unsent }, { signal }),
    );
    if (answer.err) return;
    unsent.forEach((batch) =>
      this.#sentSequences.set(`${channel}#${batch.source}`, batch.sequence)
    );
    if (address === this.#getReporter()) this.#acknowledge(answer.val.counted);
  }

  #acknowledge(counted: core.SequenceVector): void {
    this.#ledger.acknowledge(counted);
    this.#collector.setCounted(counted);
  }

  async #report(): Promise<void> {
    const { holder, clock, log, windowMs, graceMs } = this.#options;
    if (holder.getLease().kind === "none") return;
    const round = await usage.reportWindows({
      ...this.#options,
      getLease: holder.getLease,
      collector: this.#collector,
      lastClosed: Math.floor((clock.wall() - graceMs) / windowMs) - 1,
    });
    this.#acknowledge(this.#collector.getCounted());
    if (round.fixed + round.reported > 0) {
      log.info(
        { fixed: round.fixed, reported: round.reported },
        "Usage windows reported.",
      );
    }
    if (round.error !== undefined) {
      log.warn(
        { error: round.error },
        "Reporting usage windows failed; retrying in the next round.",
      );
    }
  }
}
