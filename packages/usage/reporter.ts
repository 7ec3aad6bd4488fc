/**
 * Fixes and reports usage windows from the one host that holds the role. A
 * window's figures are created in the store before they are sent; creating is
 * possible once, so whoever sends, sends the same figures.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** Most windows fixed in one round, so that a backlog after an outage does not hold up the rest. */
const WINDOWS_PER_ROUND = 20;
/** Windows kept in the store after they were reported. */
const KEPT_WINDOWS = 10;

/** Longest time a report may be under way, in ms; a successor waits it out. */
export const REPORT_FLIGHT_MS = 2_500;

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
  /** The newest window that is over, grace included. */
  readonly lastClosed: number;
}

/** What one round did. */
export interface ReportRound {
  readonly fixed: number;
  readonly reported: number;
  /** Set if the round ended early. */
  readonly error?: utils.StepError;
}

/** A fixed window and whether it was reported, as kept in the store. */
interface WindowRecord {
  readonly fixed: core.FinalWindow;
  readonly reported: boolean;
}

interface StoredWindow {
  readonly entry: store.StoreEntry;
  readonly record: WindowRecord;
}

/**
 * Fixes the windows that are over and reports those that are not yet reported.
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
  const waiting = [...listed.val, ...fixed.windows]
    .filter((stored) => !stored.record.reported);
  const reported = await reportFixed(waiting, options);
  await dropOld(listed.val, options);
  return {
    fixed: fixed.windows.length,
    reported: reported.count,
    error: fixed.error ?? reported.error,
  };
}

function getPrefix(failureDomain: string): string {
  return `banyangrade/usage/${failureDomain}/`;
}

function getKey(failureDomain: string, window: number): string {
  return getPrefix(failureDomain) + String(window).padStart(12, "0");
}

async function listWindows(
  options: ReportOptions,
): Promise<utils.Result<StoredWindow[], utils.StepError>> {
  const listed = await options.store.list(getPrefix(options.failureDomain));
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
  const last = Math.min(options.lastClosed, first + WINDOWS_PER_ROUND - 1);
  for (let window = first; window <= last; window += 1) {
    const fixed = await fixWindow(window, options);
    if (fixed.err) return { windows, error: fixed.val };
    options.collector.setCounted(fixed.val.record.fixed.counted);
    windows.push(fixed.val);
  }
  return { windows };
}

/** Creates a window's record, or reads the one that another holder created. */
async function fixWindow(
  window: number,
  options: ReportOptions,
): Promise<utils.Result<StoredWindow, utils.StepError>> {
  const { failureDomain } = options;
  const record: WindowRecord = {
    fixed: options.collector.buildWindow(window, failureDomain),
    reported: false,
  };
  const key = getKey(failureDomain, window);
  const value = JSON.stringify(record);
  if (!core.isLeaseHeld(options.getLease(), options.clock.now())) {
    return utils.Err(buildNotLeader("usage.fix"));
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
  if (current === undefined) return utils.Err(buildNotLeader("usage.fix"));
  return utils.Ok({
    entry: current,
    record: JSON.parse(current.value) as WindowRecord,
  });
}

function buildNotLeader(step: string): utils.StepError {
  return utils.createStepError("conflict", {
    step,
    peer: "store",
    message: "Another host reports for this failure domain now.",
  });
}

async function reportFixed(
  waiting: readonly StoredWindow[],
  options: ReportOptions,
): Promise<{ count: number; error?: utils.StepError }> {
  let count = 0;
  for (const stored of waiting) {
    const lease = options.getLease();
    // Checked in the same turn as the send, like an order.
    if (lease.kind === "none" || !core.mayAct(lease, options.clock.now())) {
      return { count, error: buildNotLeader("usage.report") };
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

async function dropOld(
  listed: readonly StoredWindow[],
  options: ReportOptions,
): Promise<void> {
  const old = listed.slice(0, -KEPT_WINDOWS)
    .filter((stored) => stored.record.reported);
  for (const { entry } of old) {
    await options.store.swap({
      key: entry.key,
      expected: entry.modRevision,
      value: undefined,
    });
  }
}
