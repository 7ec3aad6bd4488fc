/**
 * Statuses that hosts send to each other, and summaries of the statuses of many
 * hosts. Each status replaces the previous status of the same host process, so
 * the next one makes up for a lost one. The load in a status is valid for a few
 * seconds; the usage counts are kept longer, because they must be reported even
 * after the host has crashed.
 */
import * as brittleSenders from "./brittle_senders.ts";
import type * as brittleRecords from "./brittle_records.ts";
import type * as engineDivision from "./engine_division.ts";
import * as enginePaces from "./engine_paces.ts";
import type * as events from "./events.ts";
import * as failureShares from "./failure_shares.ts";
import type * as partBlames from "./part_blames.ts";
import * as pauses from "./pauses.ts";
import type * as serverLimits from "./server_limits.ts";
import * as suspectEvidence from "./suspect_evidence.ts";
import type * as windowCounts from "./window_counts.ts";

/** Number of requests, or of prompt tokens, by server. */
export type ServerCounts = Readonly<Record<string, number>>;

/** Demand by service. */
export type ServiceDemands = Readonly<
  Record<string, engineDivision.PromptDemand>
>;

/** How other hosts reach a host to hand requests to it. */
export interface HostContact {
  readonly host: string;
  readonly failureDomain: string;
  readonly address: string;
  readonly secret: string;
}

/** Status that one host sends to other hosts. */
export interface HostStatus {
  readonly host: string;
  readonly incarnation: string;
  /** Corrected time of day of the host when it sent the status, in Unix ms. */
  readonly at: number;
  /** Requests running and queued, by service and prompt length. */
  readonly demand: ServiceDemands;
  /** Requests running on each engine. */
  readonly running: ServerCounts;
  /** Prompt tokens that await prefill on each engine. */
  readonly prompting: ServerCounts;
  readonly usage: windowCounts.WindowTable;
  /** Servers that failed recently, with the requests that ran on them. */
  readonly suspects: readonly events.SuspectMark[];
  /** Limits that the host learned from servers, in Unix ms; absent from hosts of earlier versions. */
  readonly limits?: readonly serverLimits.LimitRecord[];
  /** Low estimates of the time between two events of a stream, by engine, in ms; absent from hosts of earlier versions. */
  readonly paces?: enginePaces.Paces;
  /** Outcomes of the host's recent attempts; absent from hosts of earlier versions. */
  readonly outcomes?: failureShares.HostOutcomes;
  /** Suspect parts of prompts with which answers have begun, in Unix ms; absent from hosts of earlier versions. */
  readonly answeredParts?: partBlames.PartAnswers;
  /** Losses of servers that have not ended, in Unix ms; absent if there are none, and from hosts of earlier versions. */
  readonly wrongLosses?: events.WrongLosses;
  /** Suspects that have completed, in Unix ms; absent if there are none, and from hosts of earlier versions. */
  readonly answeredRequests?: events.AnsweredRequests;
  /** Absent from hosts that take no requests of others, and from hosts of earlier versions. */
  readonly contact?: HostContact;
  /** What the host learned of brittle servers, in Unix ms; absent from hosts of earlier versions. */
  readonly brittle?: readonly brittleRecords.BrittleRecord[];
  /** What the host does as a sender of brittle servers; absent if it must not be one. */
  readonly sender?: Omit<brittleSenders.SenderCandidate, "contact">;
}

/** Decision of one host on how engines are divided between short and long prompts. */
export interface EngineDivisionDecision {
  /** Corrected time of day of the decision, in Unix ms; the newest decision applies. */
  readonly at: number;
  readonly byService: Readonly<Record<string, engineDivision.EngineDivision>>;
}

/** Summary of the statuses of a group of hosts. */
export interface HostsSummary {
  /** Number of hosts in the group. */
  readonly hosts: number;
  readonly demand: ServiceDemands;
  readonly running: ServerCounts;
  readonly prompting: ServerCounts;
  /** Current corrected times of day of some hosts of the group, in Unix ms. */
  readonly times: readonly number[];
  readonly suspects: readonly events.SuspectMark[];
  /** Newest limit of each server, in Unix ms; absent from hosts of earlier versions. */
  readonly limits?: readonly serverLimits.LimitRecord[];
  /** Sums of the paces of engines over hosts; absent from hosts of earlier versions. */
  readonly paces?: enginePaces.SharedPaces;
  /** Outcomes of recent attempts; absent from hosts of earlier versions. */
  readonly outcomes?: failureShares.SharedOutcomes;
  /** Suspect parts of prompts with which answers have begun, in Unix ms; absent from hosts of earlier versions. */
  readonly answeredParts?: partBlames.PartAnswers;
  /** Losses of servers that have not ended, in Unix ms; absent if there are none, and from hosts of earlier versions. */
  readonly wrongLosses?: events.WrongLosses;
  /** Suspects that have completed, in Unix ms; absent if there are none, and from hosts of earlier versions. */
  readonly answeredRequests?: events.AnsweredRequests;
  /** Some hosts of the group in turn; absent from hosts of earlier versions. */
  readonly contacts?: readonly HostContact[];
  /** Newest record of each brittle server, in Unix ms; absent from hosts of earlier versions. */
  readonly brittle?: readonly brittleRecords.BrittleRecord[];
  /** Senders of brittle servers; absent if there are none, and from hosts of earlier versions. */
  readonly senders?: readonly brittleSenders.SenderAssignment[];
  /** Failure domains whose relays choose senders. */
  readonly relayDomains?: readonly string[];
  /** Newest decision; absent until one has been received. */
  readonly divisions?: EngineDivisionDecision;
}

/** Time in ms for which the usage counts of a host are kept: three usage windows, within which a window is finalised even if the responsible host fails over. */
export const STATUS_RETENTION_MS = 15_000;
/** Age in ms up to which the load of a status is valid: three status intervals. */
const LOAD_VALID_MS = 3_000;
/** Age in ms up to which a host may be a sender of brittle servers. Later another one starts, when this one has stopped if it was only cut off from its relay. */
const CANDIDATE_MS = 4_000;
/** Maximum number of contacts in a summary; others each time, so that all are known after some time. */
const MAX_CONTACTS = 3;
/** Time for which the same contacts are in a summary, in ms: one status interval. */
const CONTACTS_MS = 1_000;
/** Multiplier that scatters the first contact; a plain rotation at each of two levels could skip some for good. */
const SCATTER_MULTIPLIER = 2_654_435_761;
/** Maximum number of clock readings in a summary: enough for a median that a few wrong clocks do not shift. */
const MAX_CLOCK_READINGS = 15;

const NO_DEMAND: engineDivision.PromptDemand = {
  short: 0,
  long: 0,
  reading: 0,
  pauses: pauses.NO_TOKEN_PAUSES,
};

/** Summary of an empty group of hosts. */
export const EMPTY_SUMMARY: HostsSummary = {
  hosts: 0,
  demand: {},
  running: {},
  prompting: {},
  times: [],
  suspects: [],
};

interface ReceivedStatus {
  readonly status: HostStatus;
  /** Paces and outcomes of the status as those of one host; computed once, because a relay adds them up for each follower. */
  readonly shared: Pick<HostsSummary, "paces" | "outcomes">;
  /** Monotonic time of receipt, in ms. */
  readonly at: number;
  /** Whether the status came from the host itself and not through another host. */
  readonly direct: boolean;
}

/** Statuses that a host has received. */
export class HostStatuses {
  readonly #received = new Map<string, ReceivedStatus>();

  /**
   * Stores a status, unless a status of the same process that is as new is known
   * already. A status that another host forwards is of unknown age, so only its
   * usage counts and suspects are used. If its clock reading were used as well,
   * statuses forwarded during an outage would set the time of day of every host
   * back by seconds.
   */
  record(
    status: HostStatus,
    { now, direct }: { readonly now: number; readonly direct: boolean },
  ): void {
    const key = `${status.host}/${status.incarnation}`;
    const known = this.#received.get(key);
    if (known !== undefined && known.status.at >= status.at) return;
    const shared = {
      paces: enginePaces.toSharedPaces(status.paces),
      ...(status.outcomes && {
        outcomes: failureShares.sumOutcomes([status.outcomes]),
      }),
    };
    this.#received.set(key, { status, shared, at: now, direct });
  }

  /** Lists the statuses within their retention time, including those of earlier incarnations. */
  list(now: number): HostStatus[] {
    [...this.#received].filter(([, { at }]) => now - at > STATUS_RETENTION_MS)
      .forEach(([key]) => this.#received.delete(key));
    return [...this.#received.values()].map(({ status }) => status);
  }

  /** Lists the hosts that may be senders of brittle servers, by their current statuses. */
  listCandidates(now: number): brittleSenders.SenderCandidate[] {
    const current = [...this.#received.values()]
      .filter(({ at, direct }) => direct && now - at <= CANDIDATE_MS);
    return keepLatestIncarnations(current).flatMap(
      ({ status: { contact, sender } }) =>
        contact === undefined || sender === undefined
          ? []
          : [{ contact, ...sender }],
    );
  }

  /** Summarises the statuses, optionally without those of one host. */
  sum(now: number, options: { readonly without?: string } = {}): HostsSummary {
    const others = [...this.#received.values()]
      .filter(({ status }) => status.host !== options.without);
    const current = keepLatestIncarnations(
      others.filter(({ at, direct }) => direct && now - at <= LOAD_VALID_MS),
    );
    const summary = mergeSummaries([
      {
        ...EMPTY_SUMMARY,
        hosts: new Set(others.map(({ status }) => status.host)).size,
        ...describeEvidence(
          suspectEvidence.mergeEvidence(
            others.map(({ status }) => suspectEvidence.getEvidence(status)),
          ),
        ),
      },
      ...current.map(({ status, shared, at }) => ({
        ...EMPTY_SUMMARY,
        demand: status.demand,
        running: status.running,
        prompting: status.prompting,
        limits: status.limits ?? [],
        ...(status.brittle?.length && { brittle: status.brittle }),
        ...shared,
        ...(status.contact && { contacts: [status.contact] }),
        times: [status.at + now - at],
      })),
    ]);
    return { ...summary, contacts: chooseContacts(summary, now) };
  }
}

/** Keeps the last received status of each host, because the requests of an earlier process ended with that process. */
function keepLatestIncarnations(
  received: readonly ReceivedStatus[],
): ReceivedStatus[] {
  const latest = new Map<string, ReceivedStatus>();
  received.forEach((one) => {
    const known = latest.get(one.status.host);
    if (known === undefined || known.at <= one.at) {
      latest.set(one.status.host, one);
    }
  });
  return [...latest.values()];
}

/**
 * Merges the summaries of several groups of hosts.
 *
 * @example
 * mergeSummaries([own, ...others]).hosts;
 */
export function mergeSummaries(
  summaries: readonly HostsSummary[],
): HostsSummary {
  const evidence = suspectEvidence.mergeEvidence(
    summaries.map(suspectEvidence.getEvidence),
  );
  const divisions = findNewestDecision(
    summaries.flatMap((one) => one.divisions ?? []),
  );
  return {
    ...(divisions && { divisions }),
    hosts: summaries.reduce((sum, { hosts }) => sum + hosts, 0),
    demand: sumDemands(summaries.map(({ demand }) => demand)),
    running: sumCounts(summaries.map(({ running }) => running)),
    prompting: sumCounts(summaries.map(({ prompting }) => prompting)),
    times: summaries.flatMap(({ times }) => times).slice(0, MAX_CLOCK_READINGS),
    ...describeEvidence(evidence),
    contacts: summaries.flatMap(({ contacts }) => contacts ?? []),
    outcomes: failureShares.mergeOutcomes(
      summaries.flatMap(({ outcomes }) => outcomes ?? []),
    ),
    limits: keepNewest(summaries.flatMap(({ limits }) => limits ?? [])),
    ...mergeBrittle(summaries),
    paces: enginePaces.sumPaces(summaries.map(({ paces }) => paces ?? {})),
  };
}

/** Describes what is known of suspects; what clears marks is left out while there is none. */
function describeEvidence(
  { marks, wrongLosses, answered, answeredParts }:
    suspectEvidence.SuspectEvidence,
): Pick<
  HostsSummary,
  "suspects" | "wrongLosses" | "answeredRequests" | "answeredParts"
> {
  const hasAny = (times: object) => Object.keys(times).length > 0;
  return {
    suspects: suspectEvidence.mergeMarks(marks),
    ...(hasAny(wrongLosses) && { wrongLosses }),
    ...(hasAny(answered) && { answeredRequests: answered }),
    ...(hasAny(answeredParts) && { answeredParts }),
  };
}

/**
 * Chooses the contacts of a summary: a few, others each time.
 *
 * @example
 * const summary = { ...merged, contacts: chooseContacts(merged, now) };
 */
export function chooseContacts(
  { contacts = [] }: Pick<HostsSummary, "contacts">,
  now: number,
): HostContact[] {
  const turn = Math.floor(now / CONTACTS_MS);
  const first = Math.imul(turn, SCATTER_MULTIPLIER) >>> 8;
  return Array.from(
    { length: Math.min(MAX_CONTACTS, contacts.length) },
    (_, index) => contacts[(first + index) % contacts.length],
  );
}

/** Merges what is known of brittle servers; empty while there are none. */
function mergeBrittle(
  summaries: readonly HostsSummary[],
): Pick<HostsSummary, "brittle" | "senders"> {
  const brittle = keepNewest(summaries.flatMap((one) => one.brittle ?? []));
  const senders = brittleSenders.mergeSenders(
    summaries.flatMap((one) => one.senders ? [one.senders] : []),
  );
  return {
    ...(brittle.length > 0 && { brittle }),
    ...(senders.length > 0 && { senders }),
  };
}

/** Keeps the newest record of each server. */
function keepNewest<
  Record extends { readonly server: string; readonly at: number },
>(records: readonly Record[]): Record[] {
  const newest = new Map<string, Record>();
  records.forEach((record) => {
    const known = newest.get(record.server);
    if (known === undefined || known.at < record.at) {
      newest.set(record.server, record);
    }
  });
  return [...newest.values()];
}

/**
 * Advances the clock readings of a summary by its age, and drops its load and
 * clock readings once they are too old to be valid.
 *
 * @example
 * dropStaleLoad(summary, 4_000).running; // {}
 */
export function dropStaleLoad(
  summary: HostsSummary,
  ageMs: number,
): HostsSummary {
  if (ageMs > LOAD_VALID_MS) {
    return { ...EMPTY_SUMMARY, ...pickDurableFields(summary) };
  }
  return { ...summary, times: summary.times.map((time) => time + ageMs) };
}

/** Picks the fields of a summary that remain valid longer than the load. */
function pickDurableFields(
  { hosts, suspects, wrongLosses, divisions }: HostsSummary,
): Partial<HostsSummary> {
  return {
    hosts,
    suspects,
    ...(wrongLosses && { wrongLosses }),
    ...(divisions && { divisions }),
  };
}

/**
 * Finds the newest decision on the division of engines.
 *
 * @example
 * findNewestDecision([own, received])?.byService;
 */
export function findNewestDecision(
  decisions: readonly EngineDivisionDecision[],
): EngineDivisionDecision | undefined {
  return decisions.reduce<EngineDivisionDecision | undefined>(
    (newest, decision) =>
      newest !== undefined && newest.at >= decision.at ? newest : decision,
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
 * Sums the demand of all hosts for a service.
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
