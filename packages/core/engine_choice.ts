/**
 * Which engine takes a request where many hosts choose without word of each
 * other. An engine takes prompts in between the tokens of what it runs, so a
 * long prompt holds up every stream beside it, and under a run of long prompts
 * the streams of a short one come many times too slowly. So engines are divided
 * between short and long prompts, by a rank that every host computes alike;
 * work goes over the border only where its own part is full.
 *
 * Long prompts about one subject meet at one engine, which keeps the part that
 * they share: each of the others would have to take it in again.
 */
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";

/** Mean prompt tokens of a class up to which it counts as short: at 64 tokens a ms they hold other streams up for 23 ms, a tenth of the tightest pause of 250 ms. */
const SHORT_PROMPT_TOKENS = 1_500;
/** Part of an engine's slots that short prompts are planned to fill: a class may burst to 2.5 times its load before word of it is round. */
const SHORT_FILL = 0.25;
/** Part of an engine's slots that long prompts are planned to fill: their time goes into prompts, not into tokens. */
const LONG_FILL = 0.15;
/** Part of an engine's slots at which its part of the engines counts as full. */
const FULL_SHARE = 0.7;
/** Prompt tokens not yet taken in that weigh like one running request. */
const TOKENS_PER_LOAD = 8_000;
/** Load above the mean at which a subject's own engine is left, as a multiple and in requests. */
const SUBJECT_BOUND = { factor: 1.25, slack: 3 };
/** Weight of the way to another failure domain, in running requests. */
const FOREIGN_LOAD = 0.5;
/** Load of all hosts above the mean at which an engine gets no short prompt, as a multiple and in requests. */
const CROWDED_BOUND = { factor: 1.3, slack: 2 };

/** An engine as this host sees it. */
export interface EngineView {
  readonly name: string;
  readonly failureDomain: string | undefined;
  readonly slots: number;
  /** Requests of all hosts that it is taken to run. */
  readonly load: number;
  /** Requests of this host among them. */
  readonly own: number;
  /** Prompt tokens of this host that it has not yet taken in. */
  readonly prompting: number;
  /** Whether this host has a connection to it that nothing uses. */
  readonly connected: boolean;
}

/** Requests running and queued over all hosts, by the length of their prompts. */
export interface PromptDemand {
  readonly short: number;
  readonly long: number;
  /** Requests whose prompt is not read yet, on average. */
  readonly reading: number;
}

/** What is placed. */
export interface EngineRequest {
  readonly isShort: boolean;
  /** Subject or session of the prompt; empty if there is none. */
  readonly prefix: string;
}

/** Learns which classes have short prompts. */
export class PromptLengths {
  readonly #means = new Map<string, number>();

  record(className: string, promptTokens: number): void {
    const mean = this.#means.get(className) ?? promptTokens;
    const change = constants.EWMA_WEIGHT * (promptTokens - mean);
    this.#means.set(className, mean + change);
  }

  /** Whether a class's prompts are short; by the class, so that its large requests fare like its small ones. */
  isShort(className: string): boolean {
    return (this.#means.get(className) ?? 0) <= SHORT_PROMPT_TOKENS;
  }
}

/** Change of the demand's division at which that of the engines follows: each time, subjects lose their engines. */
const SHARE_STEP = 0.08;
/** Part of the engines for short prompts before anything is known. */
export const SHARE_AT_FIRST = 0.4;

/** Largest part of the engines that short prompts get ahead of long ones. */
const FIRST_SHARE = 0.5;

/** A service's engines, and what all hosts ask of them. */
export interface EngineDemand {
  readonly demand: PromptDemand;
  readonly engines: number;
  /** Slots of an engine. */
  readonly slots: number;
}

/**
 * Computes the part of a service's engines that is for short prompts. One host
 * decides it for all: where each went by its own word of the demand, they
 * disagreed on some engines, which got prompts of both kinds.
 *
 * Load pattern: a burst of long prompts beyond what all engines can take. By
 * the demand alone, short prompts would be left with a tenth of the engines and
 * fail too, though they need little: they get what they need first, up to half.
 *
 * @example
 * const share = computeShortShare({ demand, engines: 20, slots: 16 }, SHARE_AT_FIRST);
 */
export function computeShortShare(
  { demand, engines, slots }: EngineDemand,
  before: number,
): number {
  const short = demand.short / (SHORT_FILL * slots);
  const long = demand.long / (LONG_FILL * slots);
  if (short + long === 0 || engines === 0) return before;
  const needed = Math.min(FIRST_SHARE, short / engines);
  const share = Math.max(short / (short + long), needed);
  return Math.abs(share - before) > SHARE_STEP ? share : before;
}

/**
 * Returns the names of the engines that are for short prompts: the first ones
 * in the common rank. A kind that nobody asks for takes none.
 *
 * @example
 * const names = divideEngines(engines, 0.4);
 */
export function divideEngines(
  engines: readonly EngineView[],
  share: number,
): ReadonlySet<string> {
  const least = share > 0 ? 1 : 0;
  const most = engines.length - (share < 1 ? 1 : 0);
  const count = Math.max(
    least,
    Math.min(most, Math.round(share * engines.length)),
  );
  return new Set(
    rankEngines(engines).slice(0, count).map((engine) => engine.name),
  );
}

/**
 * Ranks engines alike on every host, the failure domains by turns, so that the
 * loss of one takes its part of each kind.
 */
function rankEngines(engines: readonly EngineView[]): EngineView[] {
  const turns = new Map<string, number>();
  return engines.toSorted((a, b) => hashText(a.name) - hashText(b.name))
    .map((engine) => {
      const domain = engine.failureDomain ?? "";
      const turn = turns.get(domain) ?? 0;
      turns.set(domain, turn + 1);
      return { engine, turn, domain };
    })
    .toSorted((a, b) =>
      a.turn - b.turn || hashText(a.domain) - hashText(b.domain)
    )
    .map(({ engine }) => engine);
}

/** Options of {@link chooseEngine}. */
export interface EngineChoiceOptions {
  /** All engines that live. */
  readonly live: readonly EngineView[];
  /** Those of them that may be given one more request. */
  readonly usable: readonly EngineView[];
  /** Names of the engines for short prompts. */
  readonly shortNames: ReadonlySet<string>;
  /** This host's failure domain. */
  readonly failureDomain: string;
  readonly random: utils.Random;
}

/** Where a request goes. */
export interface EngineChoice {
  readonly name: string;
  /** Another engine that may hold the beginning of its prompt, to be fetched from there. */
  readonly source?: string;
}

/**
 * Chooses an engine; undefined if none is usable.
 *
 * Load pattern: prompts that share a long beginning come every ten seconds, and
 * their engine is full, was reclaimed, or has just come into the division. To
 * read 4,870 tokens again takes an engine 71 ms at 68 tokens a ms, in which its
 * other streams wait; to fetch them takes 9 ms at 740 Gbit/s (both computed).
 * With fetches 245,000 in place of 434,000 tokens were read again in a minute of
 * eight hosts' traffic.
 *
 * @example
 * const choice = chooseEngine({ isShort: true, prefix: "" }, options);
 */
export function chooseEngine(
  wanted: EngineRequest,
  options: EngineChoiceOptions,
): EngineChoice | undefined {
  const { usable, shortNames } = options;
  const isOwn = ({ name }: EngineView) =>
    shortNames.has(name) === wanted.isShort;
  const own = usable.filter((engine) =>
    isOwn(engine) && engine.load < FULL_SHARE * engine.slots
  );
  const among = own.length > 0 ? own : usable;
  if (wanted.isShort || wanted.prefix === "") {
    const lightest = chooseLightest(among, options);
    return lightest && { name: lightest.name };
  }
  const most = computeSubjectBound(among);
  const chosen = rankForSubject(among, wanted.prefix)
    .find((engine) => measureLoad(engine) < most) ??
    chooseLightest(among, options);
  if (chosen === undefined) return undefined;
  // The first of the rank holds what it was given before; where that is the
  // chosen one, it may be new, and the second was the first until then.
  const source = rankForSubject(
    options.live.filter(({ name }) => !shortNames.has(name)),
    wanted.prefix,
  ).slice(0, 2).find(({ name }) => name !== chosen.name);
  return { name: chosen.name, ...(source && { source: source.name }) };
}

/** Ranks engines for a subject, alike on every host. */
function rankForSubject(
  engines: readonly EngineView[],
  prefix: string,
): EngineView[] {
  return engines.map((engine) => ({
    engine,
    rank: hashText(`${prefix}|${engine.name}`),
  })).toSorted((a, b) => a.rank - b.rank).map(({ engine }) => engine);
}

/** Load at which an engine takes no more of its subjects. */
function computeSubjectBound(engines: readonly EngineView[]): number {
  return SUBJECT_BOUND.factor * measureMean(engines) + SUBJECT_BOUND.slack;
}

/**
 * Chooses among the engines with the least work of this host, at random.
 *
 * Load pattern: sixty hosts with a few requests each see most engines without
 * any work of their own. Where all took the first engine of equal ones, the
 * busiest of 63 engines got 4.9 times the mean, refused 10% of what it was sent
 * and 11% of the most urgent queries got no answer. Word of the other hosts is
 * a second old, and all hosts have the same: if each took the engine with the
 * least load by it, all would take the same one until the next word. So that
 * word only rules out the engines that are crowded.
 */
function chooseLightest(
  engines: readonly EngineView[],
  { failureDomain, random }: EngineChoiceOptions,
): EngineView | undefined {
  const open = findUncrowded(engines);
  const score = (engine: EngineView) =>
    engine.own + engine.prompting / TOKENS_PER_LOAD +
    (engine.failureDomain === failureDomain ? 0 : FOREIGN_LOAD);
  const least = Math.min(...open.map(score));
  const lightest = open.filter((engine) => score(engine) === least);
  // Sixty hosts opened 6,921 connections to engines in a minute of the same
  // traffic in place of 7,617, where each drew among all.
  const connected = lightest.filter((engine) => engine.connected);
  const drawn = connected.length > 0 ? connected : lightest;
  return drawn[random.below(drawn.length)];
}

/** Finds the engines whose load over all hosts is not well above the mean. */
function findUncrowded(engines: readonly EngineView[]): readonly EngineView[] {
  const mean = measureMean(engines);
  const bound = CROWDED_BOUND.factor * mean + CROWDED_BOUND.slack;
  return engines.filter((engine) => measureLoad(engine) <= bound);
}

function measureMean(engines: readonly EngineView[]): number {
  const sum = engines.reduce((total, one) => total + measureLoad(one), 0);
  return sum / Math.max(1, engines.length);
}

function measureLoad({ load, prompting }: EngineView): number {
  return load + prompting / TOKENS_PER_LOAD;
}

const hashes = new Map<string, number>();
/** Texts whose hashes are remembered; engines and subjects come and go. */
const MAX_HASHES = 20_000;

function hashText(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  if (hashes.size >= MAX_HASHES) hashes.clear();
  const hash = utils.hashSeed(text);
  hashes.set(text, hash);
  return hash;
}
