/** Logs and metrics of requests that may have crashed servers. */
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as metricsModule from "../metrics.ts";

/** Number of characters of a fingerprint that log lines show. */
const SHOWN_CHARACTERS = 12;
/** Largest number of fingerprints, and of servers, in a log line. */
const MAX_SHOWN = 12;

/** Where changes of suspects are recorded. */
export interface SuspectTelemetryContext {
  readonly log: utils.Logger;
  readonly metrics: metricsModule.Metrics;
}

/**
 * Shortens the fingerprint of a request for log lines.
 *
 * @example
 * shortenFingerprint(request.fingerprint); // "Zk3bT0c81xQa"
 */
export function shortenFingerprint(fingerprint: string): string {
  return fingerprint.slice(0, SHOWN_CHARACTERS);
}

/**
 * Whether a request is refused because servers were lost while it ran.
 *
 * @example
 * isSuspicion("poison_request"); // true
 */
export function isSuspicion(code: core.RefusalCode): boolean {
  return code === "poison_request" || code === "suspect_request";
}

/**
 * Logs and counts what became of the marks of requests and of parts of prompts.
 *
 * @example
 * recordSuspectsChanged(parts, { change: "made", marks });
 */
export function recordSuspectsChanged(
  { log, metrics }: SuspectTelemetryContext,
  { change, marks }: {
    readonly change: core.SuspectChange;
    readonly marks: readonly core.SuspectMark[];
  },
): void {
  metrics.recordSuspectChanges(change, marks.length);
  const fingerprints = marks.map(({ fingerprint }) =>
    shortenFingerprint(fingerprint)
  );
  utils.createPartLogger(log, "server").info({
    change,
    fingerprints: listSome(fingerprints),
    servers: listSome(marks.map(({ server }) => server)),
  }, "Suspects changed.");
}

/**
 * Logs which parts of prompts are blamed, and on what evidence: a blame whose part
 * was answered later than its crashes, or right after a start, is probably wrong.
 *
 * @example
 * recordPartsBlamed(parts, dispatcher.describeBlamed(now));
 */
export function recordPartsBlamed(
  { log }: Pick<SuspectTelemetryContext, "log">,
  blamed: readonly core.BlameEvidence[],
): void {
  utils.createPartLogger(log, "server").warn({
    parts: blamed.map(({ part }) => part),
    evidence: blamed.map((
      { servers, firstMs, lastMs, answeredMs, trials },
    ) => ({
      servers: listSome(servers),
      firstMs: Math.round(firstMs),
      lastMs: Math.round(lastMs),
      answeredMs: answeredMs === undefined ? undefined : Math.round(answeredMs),
      trials,
    })),
  }, "Parts that crash servers changed.");
}

function listSome(names: readonly string[]): string {
  return [...new Set(names)].slice(0, MAX_SHOWN).join(",");
}
