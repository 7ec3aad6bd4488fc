/**
 * Which engine takes a request where many hosts choose without word of each
 * other. An engine reads prompts one after the other, in between the tokens of
 * what it runs, so what a long prompt waits for is the prompts before it, not a
 * slot: engines are compared by the prompt tokens that they have not read yet.
 * Where short and long prompts have engines of their own (`engine_division.ts`),
 * work goes over the border only where its own part is full.
 *
 * Long prompts about one subject meet at one engine, which keeps the part that
 * they share: each of the others would have to read it again.
 */
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as request from "./request.ts";
import * as textHash from "./text_hash.ts";

/** Mean prompt tokens of a class up to which it counts as short: to read one again takes less than the way to its engine. */
const SHORT_PROMPT_TOKENS = 1_500;
/** Part of an engine's slots at which its part of the engines counts as full. */
const FULL_SHARE = 0.7;
/** Prompt tokens not yet read that weigh like one running request. */
const TOKENS_PER_LOAD = 8_000;
/** Unread prompt tokens above the mean at which a subject's own engine is left, as a multiple and in prompts of the same length. */
const SUBJECT_BOUND = { factor: 1.25, prompts: 2 };
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
  /** Prompt tokens of all hosts that it is taken not to have read yet. */
  readonly prompting: number;
  /** Those of this host among them. */
  readonly ownPrompting: number;
  /** Whether this host has a connection to it that nothing uses. */
  readonly connected: boolean;
}

/** What is placed. */
export interface EngineRequest {
  readonly isShort: boolean;
  /** Subject or session of the prompt; empty if there is none. */
  readonly prefix: string;
  readonly promptTokens: number;
}

/** Learns which classes have short prompts, and the tightest pause that they allow. */
export class PromptLengths {
  readonly #means = new Map<string, number>();
  readonly #tightestMs = new Map<string, number>();

  record(
    { className, target, promptTokens, targetBetweenMs }: Pick<
      request.Request,
      "className" | "target" | "promptTokens" | "targetBetweenMs"
    >,
  ): void {
    const mean = this.#means.get(className) ?? promptTokens;
    const change = constants.EWMA_WEIGHT * (promptTokens - mean);
    this.#means.set(className, mean + change);
    if (!this.isShort(className)) return;
    const before = this.getTightestMs(target);
    this.#tightestMs.set(target, Math.min(before, targetBetweenMs));
  }

  /** The shortest pause that a class with short prompts allows between two events, in ms. */
  getTightestMs(target: string): number {
    return this.#tightestMs.get(target) ?? Number.POSITIVE_INFINITY;
  }

  /** Whether a class's prompts are short; by the class, so that its large requests fare like its small ones. */
  isShort(className: string): boolean {
    return (this.#means.get(className) ?? 0) <= SHORT_PROMPT_TOKENS;
  }
}

/** Options of {@link chooseEngine}. */
export interface EngineChoiceOptions {
  /** All engines that live. */
  readonly live: readonly EngineView[];
  /** Those of them that may be given one more request. */
  readonly usable: readonly EngineView[];
  /** Names of the engines for short prompts; undefined where all engines take both kinds. */
  readonly shortNames: ReadonlySet<string> | undefined;
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
 * their engine is busy, was reclaimed, or has just started. To fetch the
 * beginning takes a fraction of the time in which it is read again, and other
 * streams wait for that.
 *
 * @example
 * const choice = chooseEngine({ isShort: true, prefix: "", promptTokens: 600 }, options);
 */
export function chooseEngine(
  wanted: EngineRequest,
  options: EngineChoiceOptions,
): EngineChoice | undefined {
  const { usable, live, shortNames } = options;
  const isOwn = ({ name }: EngineView) =>
    shortNames === undefined || shortNames.has(name) === wanted.isShort;
  const own = usable.filter((engine) =>
    isOwn(engine) && engine.load < FULL_SHARE * engine.slots
  );
  const among = own.length > 0 ? own : usable;
  if (wanted.isShort || wanted.prefix === "") {
    const lightest = chooseLightest(among, options);
    return lightest && { name: lightest.name };
  }
  const most = computeSubjectBound(among, wanted);
  const chosen = rankForSubject(among, wanted.prefix)
    .find((engine) => engine.prompting <= most) ??
    chooseLightest(among, options);
  if (chosen === undefined) return undefined;
  // The first of the rank holds what it was given before; where that is the
  // chosen one, it may be new, and the second was the first until then.
  const source = rankForSubject(live.filter(isOwn), wanted.prefix)
    .slice(0, 2).find(({ name }) => name !== chosen.name);
  return { name: chosen.name, ...(source && { source: source.name }) };
}

/** Ranks engines for a subject, alike on every host. */
function rankForSubject(
  engines: readonly EngineView[],
  prefix: string,
): EngineView[] {
  return engines.map((engine) => ({
    engine,
    rank: textHash.hashText(`${prefix}|${engine.name}`),
  })).toSorted((a, b) => a.rank - b.rank).map(({ engine }) => engine);
}

/** Unread prompt tokens at which an engine takes no more of its subjects. */
function computeSubjectBound(
  engines: readonly EngineView[],
  { promptTokens }: EngineRequest,
): number {
  const sum = engines.reduce((total, one) => total + one.prompting, 0);
  const mean = sum / Math.max(1, engines.length);
  return SUBJECT_BOUND.factor * mean + SUBJECT_BOUND.prompts * promptTokens;
}

/**
 * Chooses among the engines with the least work of this host, at random.
 *
 * Load pattern: sixty hosts with a few requests each see most engines without
 * any work of their own; where all took the first engine of equal ones, it would
 * get several times the mean. Word of the other hosts is a second old, and all
 * hosts have the same: if each took the engine with the least load by it, all
 * would take the same one until the next word. So that word only rules out the
 * engines that are crowded.
 */
function chooseLightest(
  engines: readonly EngineView[],
  { failureDomain, random }: EngineChoiceOptions,
): EngineView | undefined {
  const open = findUncrowded(engines);
  const score = (engine: EngineView) =>
    engine.own + engine.ownPrompting / TOKENS_PER_LOAD +
    (engine.failureDomain === failureDomain ? 0 : FOREIGN_LOAD);
  const least = Math.min(...open.map(score));
  const lightest = open.filter((engine) => score(engine) === least);
  const connected = lightest.filter((engine) => engine.connected);
  const drawn = connected.length > 0 ? connected : lightest;
  return drawn[random.below(drawn.length)];
}

/** Finds the engines whose load over all hosts is not well above the mean. */
function findUncrowded(engines: readonly EngineView[]): readonly EngineView[] {
  const sum = engines.reduce((total, one) => total + measureLoad(one), 0);
  const mean = sum / Math.max(1, engines.length);
  const bound = CROWDED_BOUND.factor * mean + CROWDED_BOUND.slack;
  return engines.filter((engine) => measureLoad(engine) <= bound);
}

function measureLoad({ load, prompting }: EngineView): number {
  return load + prompting / TOKENS_PER_LOAD;
}
