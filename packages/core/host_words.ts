/**
 * What hosts tell each other of themselves, and what follows from the words of
 * many. A word replaces the one before, so a lost one is made good by the next.
 * Counts of work are of use for a few seconds; what a host counted for usage
 * must outlast it.
 */
import type * as engineChoice from "./engine_choice.ts";
import type * as events from "./events.ts";
import type * as windowCounts from "./window_counts.ts";

/** Requests by server. */
export type ServerCounts = Readonly<Record<string, number>>;

/** Demand by service. */
export type ServiceDemands = Readonly<
  Record<string, engineChoice.PromptDemand>
>;

/** What one host tells. */
export interface HostWord {
  readonly host: string;
  readonly incarnation: string;
  /** Its true time of day when it said this, Unix ms. */
  readonly at: number;
  /** Requests running and queued by service and length of prompt. */
  readonly demand: ServiceDemands;
  /** Requests running at each engine. */
  readonly running: ServerCounts;
  readonly usage: windowCounts.WindowTable;
  /** Servers lost of late, and the requests that they ran. */
  readonly suspects: readonly events.SuspectMark[];
}

/** How engines are divided between short and long prompts, as one host decided it. */
export interface EngineDivision {
  /** True time of day of the decision, Unix ms; the newest one holds. */
  readonly at: number;
  /** Part of the engines that is for short prompts, by service. */
  readonly shortShares: Readonly<Record<string, number>>;
}

/** What is known of some hosts together. */
export interface HostsDigest {
  /** How many they are. */
  readonly hosts: number;
  readonly demand: ServiceDemands;
  readonly running: ServerCounts;
  /** True times of day of some of them, Unix ms, as they are now. */
  readonly times: readonly number[];
  readonly suspects: readonly events.SuspectMark[];
  /** Absent until one was heard of. */
  readonly division?: EngineDivision;
}

/** Time for which a host's counts of usage are kept, in ms: three usage windows, in which a window is fixed even by a second holder of the role. */
export const KEEP_WORD_MS = 15_000;
/** Age up to which counts of work say what runs, in ms: three words. */
const WORK_VALID_MS = 3_000;
/** Times of other hosts that are passed on: enough for a median that a few jumped clocks do not move. */
const MAX_TIMES = 15;

/** A digest of no hosts. */
export const EMPTY_DIGEST: HostsDigest = {
  hosts: 0,
  demand: {},
  running: {},
  times: [],
  suspects: [],
};

interface Heard {
  readonly word: HostWord;
  /** Monotonic ms. */
  readonly at: number;
  /** Whether the host said it itself. */
  readonly direct: boolean;
}

/** The words that a host has heard. */
export class HostWords {
  readonly #heard = new Map<string, Heard>();

  /**
   * Takes over a word, unless it is no newer than what is known of the same
   * process. One that another host passes on is of unknown age: only what it
   * counted is of use. Taken for new, the times of words that were passed on
   * during an outage set every host's time of day back by seconds.
   */
  take(
    word: HostWord,
    { now, direct }: { readonly now: number; readonly direct: boolean },
  ): void {
    const key = `${word.host}/${word.incarnation}`;
    const known = this.#heard.get(key);
    if (known !== undefined && known.word.at >= word.at) return;
    this.#heard.set(key, { word, at: now, direct });
  }

  /** Lists the words that are kept, those of earlier incarnations included. */
  list(now: number): HostWord[] {
    [...this.#heard].filter(([, { at }]) => now - at > KEEP_WORD_MS)
      .forEach(([key]) => this.#heard.delete(key));
    return [...this.#heard.values()].map(({ word }) => word);
  }

  /** Sums the words up, but for those of one host. */
  sum(now: number, options: { readonly without?: string } = {}): HostsDigest {
    const others = [...this.#heard.values()]
      .filter(({ word }) => word.host !== options.without);
    const working = others.filter(({ at, direct }) =>
      direct && now - at <= WORK_VALID_MS
    );
    return mergeDigests([
      {
        ...EMPTY_DIGEST,
        hosts: new Set(others.map(({ word }) => word.host)).size,
        suspects: others.flatMap(({ word }) => word.suspects),
      },
      ...working.map(({ word, at }) => ({
        ...EMPTY_DIGEST,
        demand: word.demand,
        running: word.running,
        times: [word.at + now - at],
      })),
    ]);
  }
}

/**
 * Merges what is known of several groups of hosts.
 *
 * @example
 * mergeDigests([own, ...others]).hosts;
 */
export function mergeDigests(digests: readonly HostsDigest[]): HostsDigest {
  const marks = new Map(
    digests.flatMap(({ suspects }) => suspects)
      .map((mark) => [`${mark.fingerprint}/${mark.server}`, mark]),
  );
  const division = findNewest(digests.flatMap((one) => one.division ?? []));
  return {
    ...(division && { division }),
    hosts: digests.reduce((sum, { hosts }) => sum + hosts, 0),
    demand: sumDemands(digests.map(({ demand }) => demand)),
    running: sumCounts(digests.map(({ running }) => running)),
    times: digests.flatMap(({ times }) => times).slice(0, MAX_TIMES),
    suspects: [...marks.values()],
  };
}

/**
 * Takes out of a digest what is too old to be true.
 *
 * @example
 * dropOldWork(digest, 4_000).running; // {}
 */
export function dropOldWork(digest: HostsDigest, ageMs: number): HostsDigest {
  if (ageMs > WORK_VALID_MS) {
    return { ...digest, demand: {}, running: {}, times: [] };
  }
  return { ...digest, times: digest.times.map((time) => time + ageMs) };
}

/**
 * Finds the newest of some decisions on the division of engines.
 *
 * @example
 * findNewest([own, heard])?.shortShares;
 */
export function findNewest(
  divisions: readonly EngineDivision[],
): EngineDivision | undefined {
  return divisions.reduce<EngineDivision | undefined>(
    (newest, one) => newest !== undefined && newest.at >= one.at ? newest : one,
    undefined,
  );
}

function sumDemands(demands: readonly ServiceDemands[]): ServiceDemands {
  const total: Record<string, engineChoice.PromptDemand> = {};
  demands.flatMap((demand) => Object.entries(demand))
    .forEach(([service, { short, long }]) => {
      const sum = total[service] ?? { short: 0, long: 0 };
      total[service] = { short: sum.short + short, long: sum.long + long };
    });
  return total;
}

function sumCounts(counts: readonly ServerCounts[]): ServerCounts {
  const total: Record<string, number> = {};
  counts.flatMap((one) => Object.entries(one)).forEach(([server, count]) => {
    total[server] = (total[server] ?? 0) + count;
  });
  return total;
}

/**
 * Keeps the newest word of each host.
 *
 * @example
 * listCurrentWords(words).length; // hosts
 */
export function listCurrentWords(words: readonly HostWord[]): HostWord[] {
  const newest = new Map<string, HostWord>();
  words.forEach((word) => {
    const known = newest.get(word.host);
    if (known === undefined || known.at < word.at) newest.set(word.host, word);
  });
  return [...newest.values()];
}

/**
 * Sums the demand of hosts for a service.
 *
 * @example
 * sumDemand(words, "planner").short; // 41
 */
export function sumDemand(
  words: readonly HostWord[],
  service: string,
): engineChoice.PromptDemand {
  return sumDemands(words.map(({ demand }) => demand))[service] ??
    { short: 0, long: 0 };
}
