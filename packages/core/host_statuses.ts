/**
 * What hosts tell each other of themselves, and what follows from the statuses of
 * many. A status replaces the one before, so a lost one is made good by the next.
 * Counts of work are of use for a few seconds; what a host counted for usage
 * must outlast it.
 */
import type * as engineDivision from "./engine_division.ts";
import type * as events from "./events.ts";
import * as pauses from "./pauses.ts";
import type * as windowCounts from "./window_counts.ts";

/** Requests by server. */
export type ServerCounts = Readonly<Record<string, number>>;

/** Demand by service. */
export type ServiceDemands = Readonly<
  Record<string, engineDivision.PromptDemand>
>;

/** What one host tells. */
export interface HostStatus {
  readonly host: string;
  readonly incarnation: string;
  /** Its true time of day when it said this, Unix ms. */
  readonly at: number;
  /** Requests running and queued by service and length of prompt. */
  readonly demand: ServiceDemands;
  /** Requests running at each engine. */
  readonly running: ServerCounts;
  /** Prompt tokens that each engine has not yet read. */
  readonly prompting: ServerCounts;
  readonly usage: windowCounts.WindowTable;
  /** Servers lost of late, and the requests that they ran. */
  readonly suspects: readonly events.SuspectMark[];
}

/** How engines are divided between short and long prompts, as one host decided it. */
export interface DecidedDivisions {
  /** True time of day of the decision, Unix ms; the newest one holds. */
  readonly at: number;
  readonly byService: Readonly<Record<string, engineDivision.EngineDivision>>;
}

/** What is known of some hosts together. */
export interface HostsSummary {
  /** How many they are. */
  readonly hosts: number;
  readonly demand: ServiceDemands;
  readonly running: ServerCounts;
  readonly prompting: ServerCounts;
  /** True times of day of some of them, Unix ms, as they are now. */
  readonly times: readonly number[];
  readonly suspects: readonly events.SuspectMark[];
  /** Absent until one was heard of. */
  readonly divisions?: DecidedDivisions;
}

/** Time for which a host's counts of usage are kept, in ms: three usage windows, in which a window is fixed even by a second holder of the role. */
export const KEEP_STATUS_MS = 15_000;
/** Age up to which counts of work say what runs, in ms: three statuses. */
const WORK_VALID_MS = 3_000;
/** Times of other hosts that are passed on: enough for a median that a few jumped clocks do not move. */
const MAX_TIMES = 15;

const NO_DEMAND: engineDivision.PromptDemand = {
  short: 0,
  long: 0,
  reading: 0,
  pauses: pauses.NO_PAUSES,
};

/** A summary of no hosts. */
export const EMPTY_SUMMARY: HostsSummary = {
  hosts: 0,
  demand: {},
  running: {},
  prompting: {},
  times: [],
  suspects: [],
};

interface Heard {
  readonly status: HostStatus;
  /** Monotonic ms. */
  readonly at: number;
  /** Whether the host said it itself. */
  readonly direct: boolean;
}

/** The statuses that a host has heard. */
export class HostStatuses {
  readonly #heard = new Map<string, Heard>();

  /**
   * Takes over a status, unless it is no newer than what is known of the same
   * process. One that another host passes on is of unknown age: only what it
   * counted is of use. Taken for new, the times of statuses that were passed on
   * during an outage set every host's time of day back by seconds.
   */
  take(
    status: HostStatus,
    { now, direct }: { readonly now: number; readonly direct: boolean },
  ): void {
    const key = `${status.host}/${status.incarnation}`;
    const known = this.#heard.get(key);
    if (known !== undefined && known.status.at >= status.at) return;
    this.#heard.set(key, { status, at: now, direct });
  }

  /** Lists the statuses that are kept, those of earlier incarnations included. */
  list(now: number): HostStatus[] {
    [...this.#heard].filter(([, { at }]) => now - at > KEEP_STATUS_MS)
      .forEach(([key]) => this.#heard.delete(key));
    return [...this.#heard.values()].map(({ status }) => status);
  }

  /** Sums the statuses up, but for those of one host. */
  sum(now: number, options: { readonly without?: string } = {}): HostsSummary {
    const others = [...this.#heard.values()]
      .filter(({ status }) => status.host !== options.without);
    const working = keepLatestLives(
      others.filter(({ at, direct }) => direct && now - at <= WORK_VALID_MS),
    );
    return mergeSummaries([
      {
        ...EMPTY_SUMMARY,
        hosts: new Set(others.map(({ status }) => status.host)).size,
        suspects: others.flatMap(({ status }) => status.suspects),
      },
      ...working.map(({ status, at }) => ({
        ...EMPTY_SUMMARY,
        demand: status.demand,
        running: status.running,
        prompting: status.prompting,
        times: [status.at + now - at],
      })),
    ]);
  }
}

/** Keeps what was heard last of each host: the work of an earlier process has ended with it. */
function keepLatestLives(heard: readonly Heard[]): Heard[] {
  const latest = new Map<string, Heard>();
  heard.forEach((one) => {
    const known = latest.get(one.status.host);
    if (known === undefined || known.at <= one.at) {
      latest.set(one.status.host, one);
    }
  });
  return [...latest.values()];
}

/**
 * Merges what is known of several groups of hosts.
 *
 * @example
 * mergeSummaries([own, ...others]).hosts;
 */
export function mergeSummaries(
  summaries: readonly HostsSummary[],
): HostsSummary {
  const marks = new Map(
    summaries.flatMap(({ suspects }) => suspects)
      .map((mark) => [`${mark.fingerprint}/${mark.server}`, mark]),
  );
  const divisions = findNewest(summaries.flatMap((one) => one.divisions ?? []));
  return {
    ...(divisions && { divisions }),
    hosts: summaries.reduce((sum, { hosts }) => sum + hosts, 0),
    demand: sumDemands(summaries.map(({ demand }) => demand)),
    running: sumCounts(summaries.map(({ running }) => running)),
    prompting: sumCounts(summaries.map(({ prompting }) => prompting)),
    times: summaries.flatMap(({ times }) => times).slice(0, MAX_TIMES),
    suspects: [...marks.values()],
  };
}

/**
 * Takes out of a summary what is too old to be true.
 *
 * @example
 * dropOldWork(summary, 4_000).running; // {}
 */
export function dropOldWork(
  summary: HostsSummary,
  ageMs: number,
): HostsSummary {
  if (ageMs > WORK_VALID_MS) {
    return { ...EMPTY_SUMMARY, ...keepLasting(summary) };
  }
  return { ...summary, times: summary.times.map((time) => time + ageMs) };
}

/** What of a summary does not grow old with the work. */
function keepLasting(
  { hosts, suspects, divisions }: HostsSummary,
): Partial<HostsSummary> {
  return { hosts, suspects, ...(divisions && { divisions }) };
}

/**
 * Finds the newest of some decisions on the division of engines.
 *
 * @example
 * findNewest([own, heard])?.byService;
 */
export function findNewest(
  divisions: readonly DecidedDivisions[],
): DecidedDivisions | undefined {
  return divisions.reduce<DecidedDivisions | undefined>(
    (newest, one) => newest !== undefined && newest.at >= one.at ? newest : one,
    undefined,
  );
}

function sumDemands(demands: readonly ServiceDemands[]): ServiceDemands {
  const total: Record<string, engineDivision.PromptDemand> = {};
  demands.flatMap((demand) => Object.entries(demand))
    .forEach(([service, demand]) => {
      total[service] = addDemand(total[service] ?? NO_DEMAND, demand);
    });
  return total;
}

function addDemand(
  one: engineDivision.PromptDemand,
  other: engineDivision.PromptDemand,
): engineDivision.PromptDemand {
  return {
    short: one.short + other.short,
    long: one.long + other.long,
    reading: one.reading + other.reading,
    pauses: {
      seen: one.pauses.seen + other.pauses.seen,
      long: one.pauses.long + other.pauses.long,
    },
  };
}

function sumCounts(counts: readonly ServerCounts[]): ServerCounts {
  const total: Record<string, number> = {};
  counts.flatMap((one) => Object.entries(one)).forEach(([server, count]) => {
    total[server] = (total[server] ?? 0) + count;
  });
  return total;
}

/**
 * Keeps the newest status of each host.
 *
 * @example
 * listCurrentStatuses(statuses).length; // hosts
 */
export function listCurrentStatuses(
  statuses: readonly HostStatus[],
): HostStatus[] {
  const newest = new Map<string, HostStatus>();
  statuses.forEach((status) => {
    const known = newest.get(status.host);
    if (known === undefined || known.at < status.at) {
      newest.set(status.host, status);
    }
  });
  return [...newest.values()];
}

/**
 * Sums the demand of hosts for a service.
 *
 * @example
 * sumDemand(statuses, "planner").short; // 41
 */
export function sumDemand(
  statuses: readonly HostStatus[],
  service: string,
): engineDivision.PromptDemand {
  return sumDemands(statuses.map(({ demand }) => demand))[service] ??
    NO_DEMAND;
}
