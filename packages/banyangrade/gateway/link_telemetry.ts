/** Logs and metrics of this host's links to the backend servers. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as metricsModule from "../metrics.ts";

/** Where changes of the links are recorded. */
export interface LinkTelemetryContext {
  readonly log: utils.Logger;
  readonly metrics: metricsModule.Metrics;
}

/**
 * Logs and counts that this host has lost its links or has them again.
 *
 * @example
 * recordLinksChanged(parts, { service: "planner", change: "lost" });
 */
export function recordLinksChanged(
  { log, metrics }: LinkTelemetryContext,
  { service, change }: {
    readonly service: string;
    readonly change: core.LinkChange;
  },
): void {
  metrics.recordLinksChanged(change);
  utils.createPartLogger(log, "server").warn(
    { service },
    change === "lost"
      ? "Links to the servers lost."
      : "Links to the servers restored.",
  );
}
