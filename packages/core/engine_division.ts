/**
 * Whether engines are divided between short and long prompts, and how.
 *
 * Load pattern: short prompts with tight pauses beside a run of long prompts.
 * Where engines read slowly, or in large pieces, each long prompt breaks the
 * pauses of all streams beside it, so both kinds get engines of their own. Where
 * the streams keep their pauses all the same, every engine takes both: a division
 * would leave one part idle while prompts wait in the other.
 */
import type * as pauses from "./pauses.ts";
import * as textHash from "./text_hash.ts";

/** Part of an engine's slots that short prompts are planned to fill: a class may burst to 2.5 times its load before word of it is round. */
const SHORT_FILL = 0.25;
/** Requests with unread prompts for which an engine for long prompts is planned: one that reads half of the time has about as many. */
const LONG_READING = 0.7;
/** Change of the demand's division at which that of the engines follows: each time, subjects lose their engines. */
const SHARE_STEP = 0.08;
/** Largest part of the engines that short prompts get ahead of long ones. */
const FIRST_SHARE = 0.5;
/** Pauses that must have been seen before engines change between divided and mixed. */
const LEAST_PAUSES = 200;
/** Part of the pauses that may be too long for engines to be mixed, and at which they are divided again. */
const LONG_PAUSES = { mixed: 0.02, divided: 0.05 };

/** How a service's engines take short and long prompts. */
export type EngineDivision =
  | { readonly kind: "mixed" }
  /** Some are for short prompts only, the others for long ones. */
  | { readonly kind: "divided"; readonly shortShare: number };

/** Before anything is known. */
export const DIVISION_AT_FIRST: EngineDivision = {
  kind: "divided",
  shortShare: 0.4,
};

/** What all hosts ask of a service's engines. */
export interface PromptDemand {
  /** Requests running and queued whose class has short prompts. */
  readonly short: number;
  /** The others. */
  readonly long: number;
  /** Requests whose prompt is not read yet, on average. */
  readonly reading: number;
  /** Pauses of streams beside long prompts. */
  readonly pauses: pauses.PauseCounts;
}

/** A service's engines, and what all hosts ask of them. */
export interface EngineDemand {
  readonly demand: PromptDemand;
  readonly engines: number;
  /** Slots of an engine. */
  readonly slots: number;
}

/**
 * Decides how a service's engines are divided. One host decides it for all:
 * where each went by its own word of the demand, they would disagree on some
 * engines, which got prompts of both kinds.
 *
 * @example
 * const division = decideDivision({ demand, engines: 20, slots: 16 }, DIVISION_AT_FIRST);
 */
export function decideDivision(
  asked: EngineDemand,
  before: EngineDivision,
): EngineDivision {
  if (mayMix(asked.demand.pauses, before)) return { kind: "mixed" };
  const divided = before.kind === "divided" ? before : DIVISION_AT_FIRST;
  const share = divided.kind === "divided" ? divided.shortShare : 0;
  return { kind: "divided", shortShare: computeShortShare(asked, share) };
}

function mayMix(
  { seen, long }: pauses.PauseCounts,
  before: EngineDivision,
): boolean {
  const isMixed = before.kind === "mixed";
  if (seen < LEAST_PAUSES) return isMixed;
  return long / seen < (isMixed ? LONG_PAUSES.divided : LONG_PAUSES.mixed);
}

/**
 * Computes the part of the engines that is for short prompts.
 *
 * Load pattern: a burst of long prompts beyond what all engines can take. By
 * the demand alone, short prompts would be left with a tenth of the engines and
 * fail too, though they need little: they get what they need first, up to half.
 */
function computeShortShare(
  { demand, engines, slots }: EngineDemand,
  before: number,
): number {
  const short = demand.short / (SHORT_FILL * slots);
  const long = demand.long === 0 ? 0 : demand.reading / LONG_READING;
  if (short + long === 0 || engines === 0) return before;
  const needed = Math.min(FIRST_SHARE, short / engines);
  const share = Math.max(short / (short + long), needed);
  return Math.abs(share - before) > SHARE_STEP ? share : before;
}

/**
 * Returns the names of the engines that are for short prompts only; undefined
 * where all take both kinds.
 *
 * @example
 * const shortNames = listShortNames(engines, { kind: "mixed" }); // undefined
 */
export function listShortNames(
  engines: readonly RankedEngine[],
  division: EngineDivision,
): ReadonlySet<string> | undefined {
  switch (division.kind) {
    case "mixed":
      return undefined;
    case "divided":
      return divideEngines(engines, division.shortShare);
  }
}

/** An engine as far as its rank depends on it. */
export interface RankedEngine {
  readonly name: string;
  readonly failureDomain: string | undefined;
}

/**
 * Returns the names of the engines that are for short prompts: the first ones
 * in the common rank. A kind that nobody asks for takes none.
 *
 * @example
 * const names = divideEngines(engines, 0.4);
 */
export function divideEngines(
  engines: readonly RankedEngine[],
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
