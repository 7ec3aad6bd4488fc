/**
 * Decides whether engines are divided between short and long prompts, and in
 * which ratio.
 *
 * Handles short prompts with strict limits on the gaps between tokens that arrive
 * along with a series of long prompts. If engines prefill slowly or in large chunks,
 * each long prompt delays the tokens of all streams on the same engine, so short
 * and long prompts get separate engines. If the gaps stay within their limits, all
 * engines take both kinds, because a division would leave some engines idle while
 * prompts queue for the rest.
 */
import type * as pauses from "./pauses.ts";
import * as textHash from "./text_hash.ts";

/** Planned utilisation of an engine for short prompts, as a share of its slots: a class may burst to 2.5 times its load before all hosts know of it. */
const SHORT_PROMPT_UTILISATION = 0.25;
/** Number of requests awaiting prefill that an engine for long prompts is planned for: an engine that spends half of its time on prefill has about that many. */
const LONG_PROMPT_PREFILLS = 0.7;
/** Minimum change of the share of short prompts that changes the division: each change moves prompt prefixes away from the engines that cache them. */
const MIN_SHARE_CHANGE = 0.08;
/** Maximum share of the engines that short prompts get before long prompts. */
const MAX_RESERVED_SHARE = 0.5;
/** Minimum number of observed gaps between tokens for a change between divided and mixed engines. */
const MIN_OBSERVED_GAPS = 200;
/** Share of gaps that exceed their limit: engines become mixed below `mixed`, and divided again from `divided` on. The difference prevents oscillation. */
const LONG_GAP_SHARES = { mixed: 0.02, divided: 0.05 };

/** Division of the engines of a service between short and long prompts. */
export type EngineDivision =
  | { readonly kind: "mixed" }
  /** A share of the engines takes only short prompts, and the rest only long prompts. */
  | { readonly kind: "divided"; readonly shortShare: number };

/** Division before any demand is known. */
export const INITIAL_DIVISION: EngineDivision = {
  kind: "divided",
  shortShare: 0.4,
};

/** Demand of all hosts for the engines of a service. */
export interface PromptDemand {
  /** Number of requests running and queued whose class has short prompts. */
  readonly short: number;
  /** Number of requests running and queued whose class has long prompts. */
  readonly long: number;
  /** Average number of requests whose prompt awaits prefill. */
  readonly reading: number;
  /** Gaps between tokens of streams that share an engine with long prompts. */
  readonly pauses: pauses.TokenPauseCounts;
}

/** Engines of a service and the demand of all hosts for them. */
export interface EngineDemand {
  readonly demand: PromptDemand;
  readonly engines: number;
  /** Slots per engine. */
  readonly slots: number;
}

/**
 * Decides how the engines of a service are divided. One host decides for all
 * hosts. If each host decided by the demand known to it, hosts would disagree on
 * some engines, which would then get prompts of both kinds.
 *
 * @example
 * const division = decideDivision({ demand, engines: 20, slots: 16 }, INITIAL_DIVISION);
 */
export function decideDivision(
  engineDemand: EngineDemand,
  previous: EngineDivision,
): EngineDivision {
  if (mayMix(engineDemand.demand.pauses, previous)) return { kind: "mixed" };
  const divided = previous.kind === "divided" ? previous : INITIAL_DIVISION;
  const share = divided.kind === "divided" ? divided.shortShare : 0;
  return {
    kind: "divided",
    shortShare: computeShortShare(engineDemand, share),
  };
}

function mayMix(
  { seen, long }: pauses.TokenPauseCounts,
  previous: EngineDivision,
): boolean {
  const isMixed = previous.kind === "mixed";
  if (seen < MIN_OBSERVED_GAPS) return isMixed;
  return long / seen <
    (isMixed ? LONG_GAP_SHARES.divided : LONG_GAP_SHARES.mixed);
}

/**
 * Computes the share of the engines for short prompts.
 *
 * Handles a burst of long prompts beyond the capacity of all engines. In
 * proportion to the demand, short prompts would get a tenth of the engines and
 * fail as well, although they need few. They get what they need first, up to half
 * of the engines.
 */
function computeShortShare(
  { demand, engines, slots }: EngineDemand,
  previousShare: number,
): number {
  const shortEngines = demand.short / (SHORT_PROMPT_UTILISATION * slots);
  const longEngines = demand.long === 0
    ? 0
    : demand.reading / LONG_PROMPT_PREFILLS;
  if (shortEngines + longEngines === 0 || engines === 0) return previousShare;
  const reserved = Math.min(MAX_RESERVED_SHARE, shortEngines / engines);
  const share = Math.max(shortEngines / (shortEngines + longEngines), reserved);
  return Math.abs(share - previousShare) > MIN_SHARE_CHANGE
    ? share
    : previousShare;
}

/**
 * Returns the names of the engines that take only short prompts; undefined if all
 * engines take both kinds.
 *
 * @example
 * const shortPromptEngines = listShortPromptEngines(engines, { kind: "mixed" }); // undefined
 */
export function listShortPromptEngines(
  engines: readonly RankedEngine[],
  division: EngineDivision,
): ReadonlySet<string> | undefined {
  switch (division.kind) {
    case "mixed":
      return undefined;
    case "divided":
      return selectShortPromptEngines(engines, division.shortShare);
  }
}

/** Properties of an engine that determine its rank. */
export interface RankedEngine {
  readonly name: string;
  readonly failureDomain: string | undefined;
  /** Speed relative to the mean of the service's engines. @default 1 */
  readonly speed?: number;
}

/**
 * Returns the names of the engines for short prompts: the first ones in a rank
 * that is equal on all hosts. A share of 0 or 1 leaves the other kind without
 * engines; any other share gives each kind at least one. The share is one of the
 * engines' speeds, so that short prompts get the capacity that the division plans.
 *
 * @example
 * const names = selectShortPromptEngines(engines, 0.4);
 */
export function selectShortPromptEngines(
  engines: readonly RankedEngine[],
  share: number,
): ReadonlySet<string> {
  const min = share > 0 ? 1 : 0;
  const max = engines.length - (share < 1 ? 1 : 0);
  const ranked = rankEngines(engines);
  const count = Math.max(min, Math.min(max, countForShare(ranked, share)));
  return new Set(ranked.slice(0, count).map((engine) => engine.name));
}

/** Counts the first engines in the rank whose speeds add up to nearest the share. */
function countForShare(ranked: readonly RankedEngine[], share: number): number {
  if (ranked.every(({ speed = 1 }) => speed === 1)) {
    return Math.round(share * ranked.length);
  }
  const total = ranked.reduce((sum, { speed = 1 }) => sum + speed, 0);
  let left = share * total;
  const first = ranked.findIndex(({ speed = 1 }) => {
    left -= speed;
    return left < -speed / 2;
  });
  return first === -1 ? ranked.length : first;
}

/**
 * Ranks engines in the same order on every host. The rank alternates between
 * failure domains, so that the loss of one failure domain affects both kinds of
 * engines in proportion.
 */
function rankEngines(engines: readonly RankedEngine[]): RankedEngine[] {
  const turns = new Map<string, number>();
  return engines.toSorted((a, b) =>
    textHash.hashText(a.name) - textHash.hashText(b.name)
  )
    .map((engine) => {
      const domain = engine.failureDomain ?? "";
      const turn = turns.get(domain) ?? 0;
      turns.set(domain, turn + 1);
      return { engine, turn, domain };
    })
    .toSorted((a, b) =>
      a.turn - b.turn ||
      textHash.hashText(a.domain) - textHash.hashText(b.domain)
    )
    .map(({ engine }) => engine);
}
