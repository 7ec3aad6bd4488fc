/**
 * Tracks how long each backend server stays cold after a start. A server
 * reports its remaining cold time. Without a report, or when the server's
 * failure domain came back into use after the report, the server counts as cold
 * for the full start time of its service.
 */

/** Limits for the servers of a service that are cold after a start. */
export interface ColdStartLimits {
  /** Time for which a server is cold after it starts, in ms. */
  readonly startMs: number;
  /** Maximum number of requests that all hosts together may send to a cold server within any second. */
  readonly mostPerSecond: number;
}

/** The cold state that a backend server reports. */
export interface ColdReport {
  /** Identifier of the server's incarnation. */
  readonly name: string;
  readonly failureDomain: string;
  /** Remaining cold time when the server reported it, in ms; undefined if the server does not report it. */
  readonly coldMs: number | undefined;
  /** Grows with each report of the server. */
  readonly revision: number;
}

interface ReceivedReport {
  readonly report: ColdReport;
  /** Time at which the host received the report, monotonic ms. */
  readonly at: number;
}

/** The latest cold state of each backend server, as received by this host. */
export class ColdStartTracker {
  readonly #received = new Map<string, ReceivedReport>();
  /** Time at which each failure domain came back into use, monotonic ms. */
  readonly #returnedAt = new Map<string, number>();

  /**
   * Replaces the reports of all listed servers. A report that is received again
   * with the same revision keeps its first receive time: the server's cold time
   * would otherwise start again with each read of the list.
   */
  setAll(reports: readonly ColdReport[], now: number): void {
    const listed = new Set(reports.map(({ name }) => name));
    [...this.#received.keys()].filter((name) => !listed.has(name))
      .forEach((name) => this.#received.delete(name));
    reports.forEach((report) => {
      const known = this.#received.get(report.name);
      if (known?.report.revision === report.revision) return;
      this.#received.set(report.name, { report, at: now });
    });
  }

  /** Records that a failure domain is used again; its servers may be cold. */
  recordReturn(failureDomain: string, now: number): void {
    this.#returnedAt.set(failureDomain, now);
  }

  /** Returns the remaining time for which a server counts as cold, in ms; 0 if it is warm. */
  getRemainingMs(
    name: string,
    { startMs, now }: { readonly startMs: number; readonly now: number },
  ): number {
    const received = this.#received.get(name);
    if (received === undefined) return startMs;
    const { report, at } = received;
    const returnedAt = this.#returnedAt.get(report.failureDomain);
    const until = Math.max(
      at + (report.coldMs ?? startMs),
      (returnedAt ?? Number.NEGATIVE_INFINITY) + startMs,
    );
    return Math.max(0, until - now);
  }
}
