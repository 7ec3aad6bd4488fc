/** Closes new connections of callers unread while this host gets more than it can read; see `core/connection_admission.ts`. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metricsModule from "../metrics.ts";

/** Options of {@link ConnectionLimit}. */
export interface ConnectionLimitOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly metrics: Pick<metricsModule.Metrics, "recordConnectionClosed">;
  readonly dispatch: Pick<
    dispatchTask.DispatchTask,
    "getLoopDelay" | "countQueued" | "countOpen"
  >;
}

/** The limit on new connections of one host. */
export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions;
  readonly #admission: core.ConnectionAdmission;
  /** Requests of the other hosts, and their number, as they last reported. */
  #others = { open: 0, hosts: 0 };

  constructor(options: ConnectionLimitOptions) {
    this.#options = options;
    this.#admission = new core.ConnectionAdmission({
      startedAt: options.clock.now(),
    });
  }

  /** Records what the other hosts report. */
  recordOthers({ hosts, demand }: core.HostsSummary): void {
    const open = Object.values(demand)
      .reduce((sum, { short, long }) => sum + short + long, 0);
    this.#others = { open, hosts };
  }

  /** Whether a new connection is taken. */
  mayTake(): boolean {
    const { clock, log, metrics } = this.#options;
    const wasLimiting = this.#admission.isLimiting();
    const isTaken = this.#admission.mayTake(
      () => this.#readLoad(),
      clock.now(),
    );
    const isLimiting = this.#admission.isLimiting();
    if (isLimiting !== wasLimiting) {
      log.info(
        { ...this.#readLoad() },
        isLimiting
          ? "New connections limited."
          : "New connections no longer limited.",
      );
    }
    if (!isTaken) metrics.recordConnectionClosed();
    return isTaken;
  }

  #readLoad(): core.HostLoad {
    const { dispatch } = this.#options;
    return {
      loopDelayMs: dispatch.getLoopDelay(),
      queued: dispatch.countQueued(),
      open: dispatch.countOpen(),
      openElsewhere: this.#others.open,
      otherHosts: this.#others.hosts,
    };
  }
}
