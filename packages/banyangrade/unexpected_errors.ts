/**
 * Reports exceptions that no step foresees. Each is logged and counted, and ends only
 * what threw it: a process that ends loses all requests that it has open, and where
 * the cause lies outside, all hosts end alike and again after each start.
 */
import * as utils from "@banyangrade/utils";
import type * as metricsModule from "./metrics.ts";

/** Where unexpected errors are reported. */
export interface UnexpectedErrorContext {
  readonly log: utils.Logger;
  readonly metrics: Pick<metricsModule.Metrics, "recordUnexpectedError">;
}

/**
 * Logs and counts an unexpected error.
 *
 * @example
 * reportUnexpected(context, { step: "presence.round", thrown });
 */
export function reportUnexpected(
  { log, metrics }: UnexpectedErrorContext,
  error: utils.UnexpectedError,
): void {
  metrics.recordUnexpectedError(error.step);
  utils.recordUnexpected(log, error);
}

/**
 * Runs work whose end nobody awaits, and reports what it throws.
 *
 * @example
 * runReported(context, { step: "presence.recall", work: () => fetchShared(parts) });
 */
export function runReported(
  context: UnexpectedErrorContext,
  { step, work }: { readonly step: string; readonly work: () => unknown },
): void {
  utils.runDetached(
    work,
    (thrown) => reportUnexpected(context, { step, thrown }),
  );
}
