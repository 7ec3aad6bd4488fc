/**
 * Exactly-once accounting of usage in billing windows. Each host numbers its
 * batches of usage. The collector counts each batch once, by a vector of the last
 * sequence number counted from each source. The vector is stored with each final
 * window, so that after a failover the next collector continues where the last
 * final window ended. Usage that arrives late is added to the next window as an
 * adjustment that names the window it belongs to.
 */

/** Usage figures of a window: the billed ones and `wastedTokens`, which is only measured. */
export interface UsageFigures {
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens of cancelled, retried or preempted generations that reached no client; not billed. */
  readonly wastedTokens: number;
}

/** Usage figures by `customer|class|target`. */
export type UsageTable = Readonly<Record<string, UsageFigures>>;

/** Usage of one host in one window since its previous batch. */
export interface UsageBatch {
  /** Host and incarnation that counted the usage. */
  readonly source: string;
  /** Sequence number; increases from 1 without gaps. */
  readonly sequence: number;
  readonly window: number;
  readonly figures: UsageTable;
}

/** Sequence number of the last batch counted, by source. */
export type SequenceVector = Readonly<Record<string, number>>;

/** Usage that arrived too late for its own window. */
export interface Adjustment {
  readonly window: number;
  readonly figures: UsageTable;
}

/** Final figures of a window, written to the store before they are reported. */
export interface FinalWindow {
  readonly failureDomain: string;
  readonly window: number;
  readonly figures: UsageTable;
  readonly adjustments: readonly Adjustment[];
  /** Sequence numbers of the batches counted up to and including this window. */
  readonly counted: SequenceVector;
}

const NO_FIGURES: UsageFigures = {
  requests: 0,
  promptTokens: 0,
  outputTokens: 0,
  wastedTokens: 0,
};

/**
 * Adds two tables of usage figures.
 *
 * @example
 * addFigures({}, table); // equal to table
 */
export function addFigures(a: UsageTable, b: UsageTable): UsageTable {
  const sum: Record<string, UsageFigures> = { ...a };
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

/** Usage of one host that is not yet counted in a final window. */
export class UsageLedger {
  readonly #source: string;
  #sequence = 0;
  #openWindows = new Map<number, UsageTable>();
  #batches: UsageBatch[] = [];

  constructor(source: string) {
    this.#source = source;
  }

  /** Records usage in a window. */
  record(window: number, entry: { key: string; figures: UsageFigures }): void {
    const table = this.#openWindows.get(window) ?? {};
    this.#openWindows.set(
      window,
      addFigures(table, { [entry.key]: entry.figures }),
    );
  }

  /** Puts the open windows into new batches and lists all unacknowledged batches. */
  listBatches(): readonly UsageBatch[] {
    [...this.#openWindows].forEach(([window, figures]) => {
      this.#sequence += 1;
      this.#batches.push({
        source: this.#source,
        sequence: this.#sequence,
        window,
        figures,
      });
    });
    this.#openWindows = new Map();
    return this.#batches;
  }

  /** Drops the batches that a final window has counted. */
  acknowledge(counted: SequenceVector): void {
    const last = counted[this.#source] ?? 0;
    this.#batches = this.#batches.filter((batch) => batch.sequence > last);
  }

  /** Returns whether all usage is counted in a final window. */
  isSettled(): boolean {
    return this.#openWindows.size === 0 && this.#batches.length === 0;
  }
}

/** Batches received by the host that reports usage for a failure domain, or by a replica of it. */
export class UsageCollector {
  readonly #batches = new Map<string, Map<number, UsageBatch>>();
  #counted: SequenceVector = {};

  /** Merges the vector of a final window and drops the batches it covers; an older vector has no effect. */
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

  /** Adds batches; a duplicate batch has no effect. */
  add(batches: readonly UsageBatch[]): void {
    batches.forEach((batch) => {
      if (batch.sequence <= (this.#counted[batch.source] ?? 0)) return;
      const held = this.#batches.get(batch.source) ?? new Map();
      if (!held.has(batch.sequence)) held.set(batch.sequence, batch);
      this.#batches.set(batch.source, held);
    });
  }

  /** Lists all batches not yet counted, for a host that takes over reporting. */
  list(): UsageBatch[] {
    return [...this.#batches.values()].flatMap((held) => [...held.values()]);
  }

  /**
   * Builds the figures of a window from the batches received. Batches of a source
   * are counted in sequence. A batch after a missing sequence number waits, because
   * otherwise the vector would skip the missing batch and its usage would be lost.
   */
  buildWindow(window: number, failureDomain: string): FinalWindow {
    const contiguous = [...this.#batches].map(([source, held]) =>
      listContiguous(held, this.#counted[source] ?? 0)
        .filter((_, index, ordered) =>
          // A batch of a later window waits, and so do all batches after it.
          ordered.slice(0, index + 1).every((batch) => batch.window <= window)
        )
    );
    const batches = contiguous.flat();
    const counted: Record<string, number> = { ...this.#counted };
    batches.forEach((batch) => {
      const last = counted[batch.source] ?? 0;
      counted[batch.source] = Math.max(last, batch.sequence);
    });
    const lateWindows = [...new Set(batches.map((batch) => batch.window))]
      .filter((batchWindow) => batchWindow < window).toSorted((a, b) => a - b);
    return {
      failureDomain,
      window,
      figures: sumWindow(batches, window),
      adjustments: lateWindows.map((lateWindow) => ({
        window: lateWindow,
        figures: sumWindow(batches, lateWindow),
      })),
      counted,
    };
  }
}

/** Lists the batches that follow the sequence number `last` without a gap. */
function listContiguous(
  held: ReadonlyMap<number, UsageBatch>,
  last: number,
): UsageBatch[] {
  const batches: UsageBatch[] = [];
  for (
    let next = held.get(last + 1);
    next;
    next = held.get(next.sequence + 1)
  ) {
    batches.push(next);
  }
  return batches;
}

function sumWindow(
  batches: readonly UsageBatch[],
  window: number,
): UsageTable {
  return batches.filter((batch) => batch.window === window)
    .reduce<UsageTable>((sum, batch) => addFigures(sum, batch.figures), {});
}

/**
 * Returns the identifier of a window report, by which the usage service recognises
 * a repeated report.
 *
 * @example
 * getWindowId("rosenheim", 7); // "rosenheim-7"
 */
export function getWindowId(failureDomain: string, window: number): string {
  return `${failureDomain}-${window}`;
}
