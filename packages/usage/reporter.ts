/**
 * Finalises and reports usage windows on the host that holds the role. The figures
 * of a window are stored before they are sent. The store accepts the record of a
 * window only once, so every host sends the same figures.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** Maximum number of windows finalised in one round, so that a backlog after an outage does not delay the other steps of the round. */
const MAX_WINDOWS_PER_ROUND = 20;
/** Number of reported windows that the store retains. */
const RETAINED_WINDOWS = 10;

/** Maximum delivery time of a report, in ms. The next lease holder waits this long before it sends. */
export const MAX_REPORT_DELIVERY_MS = 2_500;

/** Options of {@link reportWindows}. */
export interface ReportOptions {
  readonly store: store.KeyValueClient;
  readonly usage: client.UsageClient;
  readonly clock: utils.Clock;
  readonly getLease: () => core.LeaseState;
  readonly collector: Pick<
    core.UsageCollector,
    "setCounted" | "buildWindow"
  >;
  readonly failureDomain: string;
  /** Number of the newest window whose grace period has ended. */
  readonly lastClosed: number;
}

/** Result of one round. */
export interface ReportRound {
  readonly fixed: number;
  readonly reported: number;
  /** Error that ended the round early, if any. */
  readonly error?: utils.StepError;
}

/** Stored record of a final window. */
interface WindowRecord {
  readonly fixed: core.FinalWindow;
  readonly reported: boolean;
}

interface StoredWindow {
  readonly entry: store.StoreEntry;
  readonly record: WindowRecord;
}

/**
 * Finalises the windows whose grace period has ended and reports the unreported ones.
 *
 * @example
 * const round = await reportWindows({ store, usage, collector, ...rest });
 */
export async function reportWindows(
  options: ReportOptions,
): Promise<ReportRound> {
  const listed = await listWindows(options);
  if (listed.err) return { fixed: 0, reported: 0, error: listed.val };
  const newest = listed.val.at(-1);
  options.collector.setCounted(newest?.record.fixed.counted ?? {});
  const fixed = await fixWindows(newest?.record.fixed.window, options);
  const unreported = [...listed.val, ...fixed.windows]
    .filter((stored) => !stored.record.reported);
  const reported = await reportFixed(unreported, options);
  await dropReported(listed.val, options);
  return {
    fixed: fixed.windows.length,
    reported: reported.count,
    error: fixed.error ?? reported.error,
  };
}

function getStorePrefix(failureDomain: string): string {
  return `banyangrade/usage/${failureDomain}/`;
}

function getStoreKey(failureDomain: string, window: number): string {
  return getStorePrefix(failureDomain) + String(window).padStart(12, "0");
}

async function listWindows(
  options: ReportOptions,
): Promise<utils.Result<StoredWindow[], utils.StepError>> {
  const listed = await options.store.list(
    getStorePrefix(options.failureDomain),
  );
  return listed.map((entries) =>
    entries.map((entry) => ({
      entry,
      record: JSON.parse(entry.value) as WindowRecord,
    }))
  );
}

async function fixWindows(
  newest: number | undefined,
  options: ReportOptions,
): Promise<{ windows: StoredWindow[]; error?: utils.StepError }> {
  const windows: StoredWindow[] = [];
  const first = newest === undefined ? options.lastClosed : newest + 1;
  const last = Math.min(options.lastClosed, first + MAX_WINDOWS_PER_ROUND - 1);
  for (let window = first; window <= last; window += 1) {
    const fixed = await fixWindow(window, options);
    if (fixed.err) return { windows, error: fixed.val };
    options.collector.setCounted(fixed.val.record.fixed.counted);
    windows.push(fixed.val);
  }
  return { windows };
}

/** Creates the record of a window, or returns the record that another lease holder created. */
async function fixWindow(
  window: number,
  options: ReportOptions,
): Promise<utils.Result<StoredWindow, utils.StepError>> {
  const { failureDomain } = options;
  const record: WindowRecord = {
    fixed: options.collector.buildWindow(window, failureDomain),
    reported: false,
  };
  const key = getStoreKey(failureDomain, window);
  const value = JSON.stringify(record);
  if (!core.isLeaseHeld(options.getLease(), options.clock.now())) {
    return utils.Err(buildNotLeaderError("usage.fix"));
  }
  const swapped = await store.swapAndConfirm(options.store, {
    key,
    expected: 0,
    value,
  });
  if (swapped.err) return swapped;
  if (swapped.val.kind === "won") {
    const modRevision = swapped.val.modRevision;
    return utils.Ok({ entry: { key, value, modRevision }, record });
  }
  const current = swapped.val.current;
  if (current === undefined) return utils.Err(buildNotLeaderError("usage.fix"));
  return utils.Ok({
    entry: current,
    record: JSON.parse(current.value) as WindowRecord,
  });
}

function buildNotLeaderError(step: string): utils.StepError {
  return utils.createStepError("conflict", {
    step,
    peer: "store",
    message: "Another host now reports usage for this failure domain.",
  });
}

async function reportFixed(
  unreported: readonly StoredWindow[],
  options: ReportOptions,
): Promise<{ count: number; error?: utils.StepError }> {
  let count = 0;
  for (const stored of unreported) {
    const lease = options.getLease();
    // No await between this check and the send: guards against a report after the lease has expired.
    if (lease.kind === "none" || !core.mayAct(lease, options.clock.now())) {
      return { count, error: buildNotLeaderError("usage.report") };
    }
    const sent = await options.usage.report(stored.record.fixed, lease.token);
    if (sent.err) return { count, error: sent.val };
    count += 1;
    await options.store.swap({
      key: stored.entry.key,
      expected: stored.entry.modRevision,
      value: JSON.stringify({ ...stored.record, reported: true }),
    });
  }
  return { count };
}

async function dropReported(
  listed: readonly StoredWindow[],
  options: ReportOptions,
): Promise<void> {
  const old = listed.slice(0, -RETAINED_WINDOWS)
    .filter((stored) => stored.record.reported);
  for (const { entry } of old) {
    await options.store.swap({
      key: entry.key,
      expected: entry.modRevision,
      value: undefined,
    });
  }
}
