/**
 * Usage windows. Each host numbers its batches of usage; the collector counts
 * a batch once, by a vector of the last number counted from each source. The
 * vector is stored with each fixed window, so a successor goes on exactly
 * where the last fixed window ended, and what arrives late goes into the next
 * window as an adjustment that names the window it belongs to.
 */

/** What is billed, and what is only measured. */
export interface Figures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens generated for nobody: cancelled, retried, preempted; not billed. */
  readonly wastedTokens: number;
}

/** Figures by `customer|class|target`. */
export type FigureTable = Readonly<Record<string, Figures>>;

/** Usage of one host in one window since its batch before. */
export interface UsageBatch {
  /** Host and incarnation. */
  readonly source: string;
  /** Counts up from 1 without gaps. */
  readonly sequence: number;
  readonly window: number;
  readonly figures: FigureTable;
}

/** Last batch counted from each source. */
export type SequenceVector = Readonly<Record<string, number>>;

/** Usage that came too late for its own window. */
export interface Adjustment {
  readonly window: number;
  readonly figures: FigureTable;
}

/** One window's figures, fixed in the store before they are sent. */
export interface FixedWindow {
  readonly failureDomain: string;
  readonly window: number;
  readonly figures: FigureTable;
  readonly adjustments: readonly Adjustment[];
  /** Batches counted up to and including this window. */
  readonly counted: SequenceVector;
}

const NO_FIGURES: Figures = {
  requests: 0,
  promptTokens: 0,
  outputTokens: 0,
  wastedTokens: 0,
};

/**
 * Adds two tables of figures.
 *
 * @example
 * addFigures({}, table); // equal to table
 */
export function addFigures(a: FigureTable, b: FigureTable): FigureTable {
  const sum: Record<string, Figures> = { ...a };
  Object.entries(b).forEach(([key, figures]) => {
    const base = sum[key] ?? NO_FIGURES;
    sum[key] = {
      requests: base.requests + figures.requests,
      promptTokens: base.promptTokens + figures.promptTokens,
      outputTokens: base.outputTokens + figures.outputTokens,
      wastedTokens: base.wastedTokens + figures.wastedTokens,
    };
  });
  return sum;
}

/** Usage of one host that is not yet in a fixed window. */
export class UsageLedger {
  readonly #source: string;
  #sequence = 0;
  #open = new Map<number, FigureTable>();
  #batches: UsageBatch[] = [];

  constructor(source: string) {
    this.#source = source;
  }

  /** Records usage in a window. */
  record(window: number, entry: { key: string; figures: Figures }): void {
    const table = this.#open.get(window) ?? {};
    this.#open.set(window, addFigures(table, { [entry.key]: entry.figures }));
  }

  /** Closes what is open into batches and lists all that are unacknowledged. */
  listBatches(): readonly UsageBatch[] {
    [...this.#open].forEach(([window, figures]) => {
      this.#sequence += 1;
      this.#batches.push({
        source: this.#source,
        sequence: this.#sequence,
        window,
        figures,
      });
    });
    this.#open = new Map();
    return this.#batches;
  }

  /** Forgets the batches that a fixed window has counted. */
  acknowledge(counted: SequenceVector): void {
    const last = counted[this.#source] ?? 0;
    this.#batches = this.#batches.filter((batch) => batch.sequence > last);
  }

  /** Whether everything is in a fixed window. */
  isSettled(): boolean {
    return this.#open.size === 0 && this.#batches.length === 0;
  }
}

/** Batches at the host that reports for a failure domain, or at a replica. */
export class UsageCollector {
  readonly #batches = new Map<string, Map<number, UsageBatch>>();
  #counted: SequenceVector = {};

  /** Takes over the vector of a fixed window; an older one changes nothing. */
  setCounted(counted: SequenceVector): void {
    const merged: Record<string, number> = { ...this.#counted };
    Object.entries(counted).forEach(([source, sequence]) => {
      merged[source] = Math.max(merged[source] ?? 0, sequence);
    });
    this.#counted = merged;
    this.#batches.forEach((batches, source) => {
      const last = merged[source] ?? 0;
      [...batches.keys()].filter((sequence) => sequence <= last)
        .forEach((sequence) => batches.delete(sequence));
      if (batches.size === 0) this.#batches.delete(source);
    });
  }

  getCounted(): SequenceVector {
    return this.#counted;
  }

  /** Adds batches; one that came before changes nothing. */
  add(batches: readonly UsageBatch[]): void {
    batches.forEach((batch) => {
      if (batch.sequence <= (this.#counted[batch.source] ?? 0)) return;
      const own = this.#batches.get(batch.source) ?? new Map();
      if (!own.has(batch.sequence)) own.set(batch.sequence, batch);
      this.#batches.set(batch.source, own);
    });
  }

  /** Lists all batches held, for a new holder of the role. */
  list(): UsageBatch[] {
    return [...this.#batches.values()].flatMap((own) => [...own.values()]);
  }

  /**
   * Builds the figures of a window from what has arrived. Batches are counted
   * in sequence: one behind a gap waits, or the vector would skip the gap.
   */
  buildWindow(window: number, failureDomain: string): FixedWindow {
    const runs = [...this.#batches].map(([source, own]) =>
      listRun(own, this.#counted[source] ?? 0)
        .filter((_, index, run) =>
          // A batch of a later window waits, and all behind it with it.
          run.slice(0, index + 1).every((before) => before.window <= window)
        )
    );
    const batches = runs.flat();
    const counted: Record<string, number> = { ...this.#counted };
    batches.forEach((batch) => {
      const last = counted[batch.source] ?? 0;
      counted[batch.source] = Math.max(last, batch.sequence);
    });
    const late = [...new Set(batches.map((batch) => batch.window))]
      .filter((other) => other < window).toSorted((a, b) => a - b);
    return {
      failureDomain,
      window,
      figures: sumWindow(batches, window),
      adjustments: late.map((other) => ({
        window: other,
        figures: sumWindow(batches, other),
      })),
      counted,
    };
  }
}

/** The batches that follow `last` without a gap. */
function listRun(
  own: ReadonlyMap<number, UsageBatch>,
  last: number,
): UsageBatch[] {
  const run: UsageBatch[] = [];
  for (let next = own.get(last + 1); next; next = own.get(next.sequence + 1)) {
    run.push(next);
  }
  return run;
}

function sumWindow(
  batches: readonly UsageBatch[],
  window: number,
): FigureTable {
  return batches.filter((batch) => batch.window === window)
    .reduce<FigureTable>((sum, batch) => addFigures(sum, batch.figures), {});
}

/**
 * Returns the identifier under which a window is reported; the usage interface
 * knows a repeated report by it.
 *
 * @example
 * getWindowId("rosenheim", 7); // "rosenheim-7"
 */
export function getWindowId(failureDomain: string, window: number): string {
  return `${failureDomain}-${window}`;
}
