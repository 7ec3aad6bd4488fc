/**
 * Requests by usage window and customer, as each host counts them and all
 * hosts together have them. A host publishes its counts of the last windows
 * again and again; each time they replace what it published before, so nothing
 * counts twice and a lost publication is made good by the next one.
 */
import type * as billing from "./billing.ts";

/** Requests by customer. */
export type CustomerCounts = Readonly<Record<string, number>>;

/** Requests by window and customer. */
export type WindowTable = Readonly<Record<string, CustomerCounts>>;

/** Windows that a host keeps: as many as can be open at once while a report is late. */
const KEPT_WINDOWS = 5;

/** What one host counted. */
export class WindowCounter {
  readonly #windows = new Map<number, Map<string, number>>();

  /** Counts one request that began to run. */
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

/** Counts of all hosts, from which windows are fixed. */
export class WindowCollector {
  #tables: readonly WindowTable[] = [];

  /** Takes over what all hosts have published. */
  setTables(tables: readonly WindowTable[]): void {
    this.#tables = tables;
  }

  /** Nothing is carried over from one window to the next. */
  setCounted(): void {}

  /** Builds a window's figures from what is published. */
  buildWindow(window: number, failureDomain: string): billing.FixedWindow {
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

/** When windows may be fixed. Times in ms, all after a window's end. */
export interface WindowTimes {
  /** True time of day. */
  readonly now: number;
  /** True times at which the hosts last published their counts. */
  readonly publishedAt: readonly number[];
  readonly windowMs: number;
  /** Least time for the counts of requests that have just begun. */
  readonly countsMs: number;
  /** From when on it is enough that half of the hosts have published. */
  readonly partialMs: number;
  /** When a window is fixed in any case, as its report would come too late. */
  readonly latestMs: number;
}

/** Windows that can be open at once; older ones are fixed in any case. */
const OPEN_WINDOWS = 4;

/**
 * Finds the newest window that may be fixed: all hosts have published since its
 * end; or half of them have, and the rest may be gone; or it is the last moment.
 * A window that was fixed without counts cannot be mended, so it waits for hosts
 * that are cut off, but not for one that is dead. A host that has published
 * nothing for the whole window either is dead or was without word from the
 * store, and served nothing that counts.
 *
 * @example
 * findLastWindow({ now, publishedAt, windowMs: 5_000, ...times });
 */
export function findLastWindow(times: WindowTimes): number {
  const { now, windowMs } = times;
  const newest = Math.floor(now / windowMs) - 1;
  const open = Array.from({ length: OPEN_WINDOWS }, (_, age) => newest - age);
  return open.find((window) => mayFix((window + 1) * windowMs, times)) ??
    newest - OPEN_WINDOWS;
}

function mayFix(end: number, times: WindowTimes): boolean {
  const since = times.now - end;
  if (since >= times.latestMs) return true;
  const { publishedAt } = times;
  const living = publishedAt.filter((at) => at >= end - times.windowMs);
  const done = living.filter((at) => at >= end).length;
  if (since >= times.countsMs && done > 0 && done === living.length) {
    return true;
  }
  return since >= times.partialMs && 2 * done >= publishedAt.length &&
    done > 0;
}
