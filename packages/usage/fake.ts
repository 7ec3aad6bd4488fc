/** Fake usage API for tests; it records contradictory reports of the same window. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Fault that the fake usage API injects. */
export type UsageFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  /** Stores the report, but closes the connection without a response. */
  | { readonly kind: "lose_answers" };

/** First report of a window. */
export interface ReportedWindow {
  readonly figures: core.UsageTable;
  readonly adjustments: readonly core.Adjustment[];
  readonly fencingToken: number;
}

/** A running fake usage API. */
export interface FakeUsage {
  readonly url: string;
  readonly windows: ReadonlyMap<string, ReportedWindow>;
  /** Identifiers of windows that were reported again with different figures. */
  readonly contradictions: readonly string[];
  readonly setFault: (fault: UsageFault) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a fake usage API on the loopback interface.
 *
 * @example
 * const usage = await startFakeUsage(0);
 * usage.contradictions.length; // 0
 */
export async function startFakeUsage(port: number): Promise<FakeUsage> {
  const windows = new Map<string, ReportedWindow>();
  const contradictions: string[] = [];
  let fault: UsageFault = { kind: "none" };

  function handle(request: utils.JsonRequest): utils.JsonAnswer | undefined {
    if (fault.kind === "down") return undefined;
    const id = decodeURIComponent(request.path.split("/").at(-1) ?? "");
    const known = windows.get(id);
    if (known === undefined) windows.set(id, request.body);
    else if (!isSameReport(known, request.body)) contradictions.push(id);
    if (fault.kind === "lose_answers") return undefined;
    return { status: 200, body: {} };
  }

  const server = await utils.startJsonServer(port, handle);
  return {
    url: server.url,
    windows,
    contradictions,
    setFault: (next) => {
      fault = next;
    },
    close: server.close,
  };
}

function isSameReport(a: ReportedWindow, b: ReportedWindow): boolean {
  const format = (report: ReportedWindow) =>
    utils.formatCanonical([report.figures, report.adjustments]);
  return format(a) === format(b);
}
