/**
 * Paces of engine processes: the time between two events of a stream, as a low
 * estimate, and the speeds of the engines of a service that follow from them.
 *
 * Handles a service whose engines differ in speed without announcing it. Each host
 * samples a few engines, so hosts share their estimates with their statuses. Paces
 * do not affect a service whose engines are about equal: their speeds are all 1.
 */
import * as constants from "./constants.ts";

/** Sum of the paces that several hosts observed of one engine process. */
export interface SharedPace {
  /** Sum of the paces, in ms. */
  readonly sum: number;
  /** Number of hosts, each of which contributes one pace. */
  readonly hosts: number;
}

/** Paces by engine process, in ms. */
export type Paces = Readonly<Record<string, number>>;

/** Paces of several hosts by engine process. */
export type SharedPaces = Readonly<Record<string, SharedPace>>;

/** Time over which samples form an estimate, in ms: several transient slow phases of 0.6 s, but short enough to detect a permanent slowdown within 3 s. */
const WINDOW_MS = 2_000;
/** Minimum time that the samples of an estimate cover, in ms: samples from a single transient slow phase cover at most 0.6 s. */
const MIN_COVERED_MS = 650;
/** Rank of the sample that is the estimate, as a share of the samples. The very lowest is not used because events that were held up arrive together. */
const LOW_RANK = 0.25;
/** Maximum number of samples kept per engine. */
const MAX_SAMPLES = 32;
/** Age of the last sample up to which an estimate is shared, in ms. */
const SHARED_FOR_MS = 5_000;
/** Maximum number of estimates in a status. */
const MAX_LISTED = 32;
/** Range of plausible paces, in ms. */
const PLAUSIBLE_MS = { min: 0.1, max: 60_000 };
/** Largest plausible number of hosts that share a pace. */
const MAX_HOSTS = 10_000;
/** Largest factor by which a pace may differ from the median of those it is compared with. */
const MAX_FACTOR = 8;
/** Minimum number of engines with known paces from which on a service can be uneven. */
const MIN_KNOWN_ENGINES = 6;
/** Ratio of the paces at the upper and the lower fifth of the engines: above `start`, a service becomes uneven, and below `end` even again. */
const UNEVEN_RATIOS = { start: 1.5, end: 1.35 };
/** Speeds are powers of the fourth root of 2. */
const STEPS_PER_OCTAVE = 4;
/** Distance from the current step beyond which a speed changes to the nearest step. */
const STEP_HYSTERESIS = 0.75;

/** Speeds from which engines count as slow or fast in the metrics. */
const SPEED_KINDS = { slowBelow: 0.8, fastAbove: 1.25 };

/** Speeds of a service whose engines are about equal, or not known yet. */
const EVEN_SPEEDS: ReadonlyMap<string, number> = new Map();

interface Sample {
  readonly eventMs: number;
  readonly at: number;
}

/** What a host has sampled of one engine process. */
interface ObservedPace {
  samples: readonly Sample[];
  /** Last estimate, in ms; undefined until the samples cover enough time. */
  paceMs: number | undefined;
}

/** Paces of the engine processes that a host knows. */
export class EnginePaces {
  readonly #observed = new Map<string, ObservedPace>();
  readonly #shared = new Map<string, SharedPace>();
  /** Speeds of engines of uneven services, as exponents of the fourth root of 2. */
  readonly #steps = new Map<string, number>();

  /** Records the mean time between some events of a stream, in ms. */
  record(server: string, eventMs: number, now: number): void {
    if (!isPlausible(eventMs)) return;
    const observed = this.#observed.get(server) ??
      { samples: [], paceMs: undefined };
    observed.samples = [...observed.samples, { eventMs, at: now }]
      .slice(-MAX_SAMPLES);
    this.#observed.set(server, observed);
    updateEstimate(observed, now);
  }

  /** Lists the own estimates of recently sampled engines, for the status of this host. */
  list(now: number): Record<string, number> {
    const recent = [...this.#observed].flatMap(([server, observed]) => {
      const paceMs = updateEstimate(observed, now);
      const at = observed.samples.at(-1)?.at ?? Number.NEGATIVE_INFINITY;
      const isRecent = paceMs !== undefined && now - at <= SHARED_FOR_MS;
      return isRecent ? [{ server, paceMs, at }] : [];
    });
    return Object.fromEntries(
      recent.toSorted((a, b) => b.at - a.at).slice(0, MAX_LISTED)
        .map(({ server, paceMs }) => [server, computeRounded(paceMs)]),
    );
  }

  /** Takes over the paces that other hosts observed. An engine without a new one keeps its last one. */
  merge(shared: SharedPaces): void {
    Object.entries(shared).filter(([, pace]) => isPlausibleSum(pace))
      .forEach(([server, pace]) => this.#shared.set(server, pace));
  }

  /** Forgets all engine processes except the given ones. */
  keep(names: ReadonlySet<string>): void {
    [this.#observed, this.#shared, this.#steps].forEach((entries) =>
      [...entries.keys()].filter((name) => !names.has(name))
        .forEach((name) => entries.delete(name))
    );
  }

  /**
   * Computes the speeds of the engines of one service, relative to their mean. The
   * result lists no engine if they are about equal. An engine that is not listed
   * has the speed 1.
   */
  computeSpeeds(
    engines: readonly string[],
    now: number,
  ): ReadonlyMap<string, number> {
    const known = engines.flatMap((name) => {
      const paceMs = this.#getPace(name, now);
      return paceMs === undefined ? [] : [{ name, paceMs }];
    });
    const wasUneven = engines.some((name) => this.#steps.has(name));
    if (!isUneven(known.map(({ paceMs }) => paceMs), wasUneven)) {
      engines.forEach((name) => this.#steps.delete(name));
      return EVEN_SPEEDS;
    }
    const median = computeMedian(known.map(({ paceMs }) => paceMs));
    const speeds = known.map(({ name, paceMs }) => ({
      name,
      speed: 1 / computeBounded(paceMs, median),
    }));
    const mean = speeds.reduce((sum, { speed }) => sum + speed, 0) /
      speeds.length;
    return new Map(
      speeds.map((
        { name, speed },
      ) => [name, this.#computeSpeed(name, speed / mean)]),
    );
  }

  /** Returns the mean pace over all hosts that observed an engine, in ms; undefined if there is none. */
  #getPace(server: string, now: number): number | undefined {
    const observed = this.#observed.get(server);
    const own = observed && updateEstimate(observed, now);
    const shared = this.#shared.get(server);
    if (shared === undefined) return own;
    const isRecent = now - (observed?.samples.at(-1)?.at ?? 0) <= SHARED_FOR_MS;
    if (own === undefined || !isRecent) return shared.sum / shared.hosts;
    return (shared.sum + own) / (shared.hosts + 1);
  }

  /** Rounds a speed to a step, and keeps the current step while the speed is near it. */
  #computeSpeed(server: string, speed: number): number {
    const exact = STEPS_PER_OCTAVE * Math.log2(speed);
    const current = this.#steps.get(server);
    const keeps = current !== undefined &&
      Math.abs(exact - current) <= STEP_HYSTERESIS;
    const step = keeps ? current : Math.round(exact);
    this.#steps.set(server, step);
    return 2 ** (step / STEPS_PER_OCTAVE);
  }
}

/**
 * Updates an estimate from the samples within the window, and returns it. It is
 * kept while the samples cover too little time to tell a slow engine from a
 * transient slow phase.
 */
function updateEstimate(
  observed: ObservedPace,
  now: number,
): number | undefined {
  const inWindow = observed.samples.filter(({ at }) => now - at <= WINDOW_MS);
  // A sample of an engine that became much slower may take longer than the window.
  const recent = inWindow.length > 0 ? inWindow : observed.samples.slice(-1);
  const [first] = recent;
  const last = recent.at(-1);
  if (first === undefined || last === undefined) return observed.paceMs;
  const coveredMs = last.at - first.at +
    constants.SPEED_SAMPLE_TOKENS * first.eventMs;
  if (coveredMs < MIN_COVERED_MS) return observed.paceMs;
  const sorted = recent.map(({ eventMs }) => eventMs).toSorted((a, b) => a - b);
  observed.paceMs = sorted[Math.floor(LOW_RANK * sorted.length)];
  return observed.paceMs;
}

/** Whether engines with these paces differ so much that their speeds count. */
function isUneven(paces: readonly number[], wasUneven: boolean): boolean {
  if (paces.length < MIN_KNOWN_ENGINES) return false;
  const sorted = paces.toSorted((a, b) => a - b);
  const fifth = Math.floor((sorted.length - 1) / 5);
  const ratio = sorted[sorted.length - 1 - fifth] / sorted[fifth];
  return ratio > (wasUneven ? UNEVEN_RATIOS.end : UNEVEN_RATIOS.start);
}

/**
 * Adds up the paces of several hosts or groups of hosts. Drops implausible ones,
 * and limits the influence of a host that reports wrong paces: a pace counts as at
 * most 8 times, and at least an eighth of, the median for the same engine.
 *
 * @example
 * sumPaces([{ e1: { sum: 30, hosts: 1 } }, { e1: { sum: 62, hosts: 2 } }]); // { e1: { sum: 92, hosts: 3 } }
 */
export function sumPaces(
  groups: readonly SharedPaces[],
): Record<string, SharedPace> {
  const byServer = new Map<string, SharedPace[]>();
  groups.flatMap((group) => Object.entries(group)).forEach(([server, pace]) => {
    if (!isPlausibleSum(pace)) return;
    const known = byServer.get(server);
    if (known === undefined) byServer.set(server, [pace]);
    else known.push(pace);
  });
  return Object.fromEntries(
    [...byServer].map(([server, paces]) => [server, sumBounded(paces)]),
  );
}

function sumBounded(paces: readonly SharedPace[]): SharedPace {
  if (paces.length === 1) return paces[0];
  const median = computeMedian(paces.map(({ sum, hosts }) => sum / hosts));
  const total = paces.reduce((all, { sum, hosts }) => ({
    sum: all.sum + hosts * computeBounded(sum / hosts, median),
    hosts: all.hosts + hosts,
  }), { sum: 0, hosts: 0 });
  return { ...total, sum: computeRounded(total.sum) };
}

/**
 * Reads the paces of a status as the votes of one host.
 *
 * @example
 * toSharedPaces({ e1: 30 }); // { e1: { sum: 30, hosts: 1 } }
 */
export function toSharedPaces(
  paces: Paces | undefined,
): Record<string, SharedPace> {
  return Object.fromEntries(
    Object.entries(paces ?? {}).filter(([, paceMs]) => isPlausible(paceMs))
      .slice(0, MAX_LISTED)
      .map(([server, paceMs]) => [server, { sum: paceMs, hosts: 1 }]),
  );
}

/** Numbers of engines by speed. */
export interface SpeedCounts {
  readonly slow: number;
  readonly mean: number;
  readonly fast: number;
}

/**
 * Counts engines by speed.
 *
 * @example
 * countSpeeds([0.5, 1, 1.41]); // { slow: 1, mean: 1, fast: 1 }
 */
export function countSpeeds(speeds: readonly number[]): SpeedCounts {
  const slow = speeds.filter((speed) => speed < SPEED_KINDS.slowBelow).length;
  const fast = speeds.filter((speed) => speed > SPEED_KINDS.fastAbove).length;
  return { slow, mean: speeds.length - slow - fast, fast };
}

function isPlausible(paceMs: unknown): paceMs is number {
  return typeof paceMs === "number" && paceMs >= PLAUSIBLE_MS.min &&
    paceMs <= PLAUSIBLE_MS.max;
}

function isPlausibleSum(pace: Partial<SharedPace> | null): boolean {
  const hosts = pace?.hosts;
  const sum = pace?.sum;
  return typeof hosts === "number" && Number.isInteger(hosts) && hosts >= 1 &&
    hosts <= MAX_HOSTS && typeof sum === "number" && isPlausible(sum / hosts);
}

function computeMedian(values: readonly number[]): number {
  const sorted = values.toSorted((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}

/** Rounds to one decimal, so that messages stay short. */
function computeRounded(paceMs: number): number {
  return Math.round(10 * paceMs) / 10;
}

function computeBounded(paceMs: number, median: number): number {
  return Math.min(MAX_FACTOR * median, Math.max(median / MAX_FACTOR, paceMs));
}
