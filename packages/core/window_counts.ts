/**
 * Counts requests by usage window and customer, per host and over all hosts. Each
 * host publishes its counts of the last windows periodically. Each publication
 * replaces the previous one, so no request counts twice and the next publication
 * makes up for a lost one.
 */
import type * as billing from "./billing.ts";

/** Number of requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Number of requests by window and customer. */
export type WindowTable = Readonly<Record<string, CustomerCounts>>;

/** Number of windows that a host keeps: as many as can be open at once while a report is late. */
const KEPT_WINDOWS = 5;

/** Request counts of one host. */
export class WindowCounter {
  readonly #windows = new Map<number, Map<string, number>>();

  /** Counts one request that started running. */
  record(window: number, customer: string): void {
    const counts = this.#windows.get(window) ?? new Map<string, number>();
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
    this.#windows.set(window, counts);
    [...this.#windows.keys()].filter((old) => old <= window - KEPT_WINDOWS)
      .forEach((old) => this.#windows.delete(old));
  }

  list(): WindowTable {
    return Object.fromEntries(
      [...this.#windows].map(([window, counts]) => [
        String(window),
        Object.fromEntries(counts),
      ]),
    );
  }
}

/** Request counts of all hosts, from which the final figures of windows are built. */
export class WindowCollector {
  #tables: readonly WindowTable[] = [];

  /** Replaces the tables by those that all hosts have published. */
  setTables(tables: readonly WindowTable[]): void {
    this.#tables = tables;
  }

  /** Has no effect: no sequence vector is carried from one window to the next. */
  setCounted(): void {}

  /** Builds the figures of a window from the published tables. */
  buildWindow(window: number, failureDomain: string): billing.FinalWindow {
    const requests = new Map<string, number>();
    this.#tables.flatMap((table) => Object.entries(table[String(window)] ?? {}))
      .forEach(([customer, count]) =>
        requests.set(customer, (requests.get(customer) ?? 0) + count)
      );
    const figures = Object.fromEntries(
      [...requests].map(([customer, count]) => [
        customer,
        {
          requests: count,
          promptTokens: 0,
          outputTokens: 0,
          wastedTokens: 0,
        },
      ]),
    );
    return { failureDomain, window, figures, adjustments: [], counted: {} };
  }
}

/** Times that determine which windows may be finalised, in ms. The delays count from the end of a window. */
export interface WindowTimes {
  /** Corrected time of day. */
  readonly now: number;
  /** Corrected times of day at which the hosts last published their counts. */
  readonly publishedAt: readonly number[];
  readonly windowMs: number;
  /** Minimum delay, within which requests that have just started are counted. */
  readonly minDelayMs: number;
  /** Delay after which it is sufficient that half of the hosts have published. */
  readonly halfPublishedDelayMs: number;
  /** Delay after which a window is finalised in any case, because its report would be too late otherwise. */
  readonly maxDelayMs: number;
}

/** Maximum number of windows that are open at once; older windows are finalised in any case. */
const MAX_OPEN_WINDOWS = 4;

/**
 * Finds the newest window that may be finalised. A window may be finalised if all
 * hosts have published since its end, if half of them have and the rest may have
 * crashed, or if its report would be too late otherwise. Counts that arrive after
 * a window has been finalised are lost, so the window waits for unreachable hosts,
 * but not for dead ones. A host that has published nothing during the whole window
 * has either crashed or was disconnected from the store, and has served no
 * requests that count.
 *
 * @example
 * findNewestFinalWindow({ now, publishedAt, windowMs: 5_000, ...times });
 */
export function findNewestFinalWindow(times: WindowTimes): number {
  const { now, windowMs } = times;
  const newest = Math.floor(now / windowMs) - 1;
  const open = Array.from(
    { length: MAX_OPEN_WINDOWS },
    (_, age) => newest - age,
  );
  return open.find((window) => mayFinalise((window + 1) * windowMs, times)) ??
    newest - MAX_OPEN_WINDOWS;
}

function mayFinalise(end: number, times: WindowTimes): boolean {
  const elapsed = times.now - end;
  if (elapsed >= times.maxDelayMs) return true;
  const { publishedAt } = times;
  const active = publishedAt.filter((at) => at >= end - times.windowMs);
  const published = active.filter((at) => at >= end).length;
  if (
    elapsed >= times.minDelayMs && published > 0 && published === active.length
  ) {
    return true;
  }
  return elapsed >= times.halfPublishedDelayMs &&
    2 * published >= publishedAt.length &&
    published > 0;
}
