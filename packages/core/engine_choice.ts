/**
 * Chooses an engine for a request when many hosts choose without coordination. An
 * engine prefills prompts one after another, interleaved with decoding, so a long
 * prompt waits for the prompts before it and not for a slot. Engines are therefore
 * compared by the prompt tokens that await prefill. If short and long prompts have
 * separate engines (`engine_division.ts`), a request goes to an engine of the other
 * kind only when all engines of its own kind are full.
 *
 * Long prompts with a common prefix go to one engine, which keeps the prefix in its
 * KV cache. Any other engine would have to prefill it again.
 *
 * If the engines of a service differ in speed (`engine_paces.ts`), load counts as
 * the time that an engine needs for it. Otherwise speeds have no effect, not even on
 * the random draws.
 */
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import type * as request from "./request.ts";
import * as textHash from "./text_hash.ts";

/** Mean number of prompt tokens up to which a class counts as short: prefilling such a prompt again takes less time than reaching the engine that has it cached. */
const SHORT_PROMPT_TOKENS = 1_500;
/** Share of an engine's slots in use from which it counts as full for its kind of prompts. */
const FULL_UTILISATION = 0.7;
/** Prompt tokens awaiting prefill that count as much load as one running request. */
const TOKENS_PER_REQUEST = 8_000;
/** Limit on the prompt tokens awaiting prefill on the engine of a prefix, as a multiple of the mean plus a number of prompts of the same length. Above it, another engine is chosen. */
const PREFIX_LOAD_LIMIT = { factor: 1.25, prompts: 2 };
/** Penalty for an engine in another failure domain, in running requests. */
const REMOTE_PENALTY = 0.5;
/** Limit on the load of an engine over all hosts, as a multiple of the mean plus a number of requests. Above it, the engine counts as overloaded. */
const LOAD_LIMIT = { factor: 1.3, slack: 2 };

/** Number of different hashes of a text. */
const HASH_RANGE = 2 ** 32;

/** State of an engine as known to this host. */
export interface EngineView {
  readonly name: string;
  readonly failureDomain: string | undefined;
  readonly slots: number;
  /** Estimated number of running requests of all hosts. */
  readonly load: number;
  /** Number of running requests of this host. */
  readonly ownRequests: number;
  /** Estimated prompt tokens of all hosts that await prefill. */
  readonly prompting: number;
  /** Prompt tokens of this host that await prefill. */
  readonly ownPrompting: number;
  /** Whether this host has an idle connection to the engine. */
  readonly hasIdleConnection: boolean;
  /** Speed relative to the mean of the service's engines. @default 1 */
  readonly speed?: number;
}

/** Properties of a request that determine its engine. */
export interface EngineRequest {
  readonly isShort: boolean;
  /** Identifier of the prefix that the prompt shares with others, such as a session; empty if there is none. */
  readonly prefix: string;
  readonly promptTokens: number;
}

/** Learns which classes have short prompts, and the smallest gap between tokens that they allow. */
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
    const before = this.getMinTargetBetweenMs(target);
    this.#tightestMs.set(target, Math.min(before, targetBetweenMs));
  }

  /** Returns the smallest target time between tokens of the classes with short prompts, in ms; infinity if there is none. */
  getMinTargetBetweenMs(target: string): number {
    return this.#tightestMs.get(target) ?? Number.POSITIVE_INFINITY;
  }

  /** Returns whether the prompts of a class are short on average. All requests of a class are treated alike, whatever their own prompt length. */
  isShort(className: string): boolean {
    return (this.#means.get(className) ?? 0) <= SHORT_PROMPT_TOKENS;
  }
}

/** Options of {@link chooseEngine}. */
export interface EngineChoiceOptions {
  /** All engines that are alive. */
  readonly live: readonly EngineView[];
  /** The engines among `live` that may get one more request. */
  readonly usable: readonly EngineView[];
  /** Names of the engines for short prompts; undefined if all engines take both kinds. */
  readonly shortPromptEngines: ReadonlySet<string> | undefined;
  /** This host's failure domain. */
  readonly failureDomain: string;
  readonly random: utils.Random;
}

/** Engine chosen for a request. */
export interface EngineChoice {
  readonly name: string;
  /** Another engine that may have the prefix of the prompt in its KV cache, to fetch it from. */
  readonly source?: string;
}

/**
 * Chooses an engine for a request; returns undefined if no engine is usable.
 *
 * Handles prompts with a long common prefix that arrive every ten seconds while
 * their engine is busy, was reclaimed, or has just started. Fetching the cached
 * prefix from another engine takes a fraction of the time of prefilling it again,
 * which would also delay other streams.
 *
 * @example
 * const choice = chooseEngine({ isShort: true, prefix: "", promptTokens: 600 }, options);
 */
export function chooseEngine(
  prompt: EngineRequest,
  options: EngineChoiceOptions,
): EngineChoice | undefined {
  const { usable, live, shortPromptEngines } = options;
  const isSameKind = ({ name }: EngineView) =>
    shortPromptEngines === undefined ||
    shortPromptEngines.has(name) === prompt.isShort;
  const sameKind = usable.filter((engine) =>
    isSameKind(engine) &&
    engine.load < FULL_UTILISATION * engine.slots * getSpeed(engine)
  );
  const candidates = sameKind.length > 0 ? sameKind : usable;
  if (prompt.isShort || prompt.prefix === "") {
    const leastLoaded = chooseLeastLoaded(candidates, { prompt, options });
    return leastLoaded && { name: leastLoaded.name };
  }
  const limit = computePrefixLimit(candidates, prompt);
  const chosen = rankForPrefix(candidates, prompt.prefix)
    .find((engine) => measurePrompting(engine) <= limit) ??
    chooseLeastLoaded(candidates, { prompt, options });
  if (chosen === undefined) return undefined;
  // The first engine in the rank has usually cached the prefix. If it is the chosen
  // engine, it may have just started, and the second engine was first until then.
  const source = rankForPrefix(live.filter(isSameKind), prompt.prefix)
    .slice(0, 2).find(({ name }) => name !== chosen.name);
  return { name: chosen.name, ...(source && { source: source.name }) };
}

function getSpeed({ speed = 1 }: EngineView): number {
  return speed;
}

/** Whether all engines are equally fast. */
function hasEqualSpeeds(engines: readonly EngineView[]): boolean {
  return engines.every((engine) => getSpeed(engine) === 1);
}

/** Measures the prompt tokens that await prefill in the time of an engine of mean speed. */
function measurePrompting(engine: EngineView): number {
  return engine.prompting / getSpeed(engine);
}

/** Ranks engines for a prompt prefix by rendezvous hashing, in the same order on every host. The number of prefixes for which an engine is the first is proportional to its speed. */
function rankForPrefix(
  engines: readonly EngineView[],
  prefix: string,
): EngineView[] {
  const isEven = hasEqualSpeeds(engines);
  return engines.map((engine) => {
    const hash = textHash.hashText(`${prefix}|${engine.name}`);
    const rank = isEven
      ? hash
      // The hash as an exponentially distributed value whose rate is the speed.
      : -Math.log(1 - hash / HASH_RANGE) / getSpeed(engine);
    return { engine, rank };
  }).toSorted((a, b) => a.rank - b.rank).map(({ engine }) => engine);
}

/** Computes the prompt tokens awaiting prefill above which an engine gets no more prompts of its prefixes. */
function computePrefixLimit(
  engines: readonly EngineView[],
  { promptTokens }: EngineRequest,
): number {
  const sum = engines.reduce((total, one) => total + measurePrompting(one), 0);
  const mean = sum / Math.max(1, engines.length);
  return PREFIX_LOAD_LIMIT.factor * mean +
    PREFIX_LOAD_LIMIT.prompts * promptTokens;
}

/**
 * Chooses at random among the engines with the least load from this host, and
 * prefers those with an idle connection.
 *
 * Guards against many hosts choosing the same engine. Each of sixty hosts with a
 * few requests has no requests on most engines. If every host took the first of
 * several equal engines, that engine would get several times the mean load. The
 * statuses of the other hosts are up to a second old and equal on all hosts. If
 * every host took the least loaded engine by these statuses, all hosts would take
 * the same engine until the next status. The statuses are therefore used only to
 * exclude overloaded engines, and to compare two randomly drawn ones if engines
 * differ in speed.
 */
function chooseLeastLoaded(
  engines: readonly EngineView[],
  { prompt, options: { failureDomain, random } }: {
    readonly prompt: EngineRequest;
    readonly options: EngineChoiceOptions;
  },
): EngineView | undefined {
  const available = dropOverloaded(engines);
  const score = (engine: EngineView) =>
    engine.ownRequests + engine.ownPrompting / TOKENS_PER_REQUEST +
    (engine.failureDomain === failureDomain ? 0 : REMOTE_PENALTY);
  const minScore = Math.min(...available.map(score));
  const leastLoaded = available.filter((engine) => score(engine) === minScore);
  const connected = leastLoaded.filter((engine) => engine.hasIdleConnection);
  const candidates = connected.length > 0 ? connected : leastLoaded;
  return hasEqualSpeeds(engines)
    ? candidates[random.below(candidates.length)]
    : chooseByTime(candidates, { prompt, failureDomain, random });
}

/** Removes the engines whose load over all hosts is well above the mean. */
function dropOverloaded(
  engines: readonly EngineView[],
): readonly EngineView[] {
  const sum = engines.reduce((total, one) => total + measureLoad(one), 0);
  const mean = sum / Math.max(1, engines.length);
  const limit = LOAD_LIMIT.factor * mean + LOAD_LIMIT.slack;
  return engines.filter((engine) => measureLoad(engine) <= limit);
}

function measureLoad(engine: EngineView): number {
  const { load, prompting } = engine;
  return (load + prompting / TOKENS_PER_REQUEST) / getSpeed(engine);
}

/**
 * Draws two engines with probabilities proportional to their speeds, and chooses the
 * one with the shorter expected time to the first event.
 *
 * Guards against slow engines that get as many requests as fast ones, and against
 * many hosts that all choose the engine with the shortest expected time by statuses
 * that are equal on all hosts and up to a second old. The engines were preselected
 * by the load from this host: two engines drawn from all would mostly be in other
 * failure domains and without an idle connection.
 */
function chooseByTime(
  engines: readonly EngineView[],
  { prompt, failureDomain, random }: {
    readonly prompt: EngineRequest;
    readonly failureDomain: string;
    readonly random: utils.Random;
  },
): EngineView | undefined {
  const measure = (engine: EngineView) =>
    estimateFirstEvent(engine, prompt) +
    (engine.failureDomain === failureDomain
      ? 0
      : REMOTE_PENALTY * TOKENS_PER_REQUEST);
  const first = drawBySpeed(engines, random);
  const second = drawBySpeed(engines, random);
  if (first === undefined || second === undefined) return undefined;
  return measure(second) < measure(first) ? second : first;
}

/** Draws an engine with a probability proportional to its speed. */
function drawBySpeed(
  engines: readonly EngineView[],
  random: utils.Random,
): EngineView | undefined {
  const total = engines.reduce((sum, engine) => sum + getSpeed(engine), 0);
  let left = total * random.next();
  return engines.find((engine) => (left -= getSpeed(engine)) < 0) ??
    engines.at(-1);
}

/** Estimates the time to the first event of a prompt, in prompt tokens that an engine of mean speed prefills in it. */
function estimateFirstEvent(
  engine: EngineView,
  { promptTokens }: Pick<EngineRequest, "promptTokens">,
): number {
  return (engine.prompting + promptTokens + TOKENS_PER_REQUEST * engine.load) /
    getSpeed(engine);
}
