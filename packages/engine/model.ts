/**
 * A model of what decides an engine's latency: batched decoding that slows
 * with the batch, prefill, a prefix cache in limited memory, and priority.
 * It has no clock of its own, so the stand-in runs it in real time and the
 * bench in virtual time.
 */

/** Sizes of an engine; times in ms. */
export interface EngineShape {
  /** Most sequences decoded at a time. */
  readonly maxBatch: number;
  /** Time of a decoding step with an empty batch. */
  readonly stepMs: number;
  /** Time that each sequence adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Time of one prompt token that is not cached. */
  readonly prefillMsPerToken: number;
  /** Most prompt tokens taken in by one step. */
  readonly prefillChunk: number;
  /** Prefixes that the cache holds. */
  readonly cachedPrefixes: number;
}

/** A common engine: about 30 ms between tokens when well loaded. */
export const DEFAULT_SHAPE: EngineShape = {
  maxBatch: 8,
  stepMs: 18,
  stepPerSequenceMs: 1.2,
  prefillMsPerToken: 0.08,
  prefillChunk: 1_024,
  cachedPrefixes: 64,
};

/** Share of a prompt that a cached prefix saves. */
const PREFIX_SHARE = 0.8;

/** A request at an engine. */
export interface Sequence {
  readonly id: string;
  readonly promptTokens: number;
  readonly prefix: string;
  /** Tokens still to be generated. */
  readonly outputTokens: number;
  /** Smaller goes first. */
  readonly priority: number;
}

interface Active {
  readonly sequence: Sequence;
  prefillLeft: number;
  tokensLeft: number;
}

/** What one step did. */
export interface StepResult {
  readonly ms: number;
  /** Sequences that brought a token. */
  readonly tokens: readonly string[];
  readonly finished: readonly string[];
}

/** An engine's sequences and cache. */
export class EngineModel {
  /** Factor on every time; 3 is an engine slowed to a third. */
  slowdown = 1;
  readonly #shape: EngineShape;
  readonly #waiting: Sequence[] = [];
  readonly #active = new Map<string, Active>();
  readonly #cache = new Map<string, true>();

  constructor(shape: EngineShape = DEFAULT_SHAPE) {
    this.#shape = shape;
  }

  /** Adds a sequence; higher priority goes before what waits. */
  add(sequence: Sequence): void {
    const at = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, sequence);
  }

  /** Removes a sequence wherever it is. */
  cancel(id: string): void {
    this.#active.delete(id);
    const at = this.#waiting.findIndex((sequence) => sequence.id === id);
    if (at >= 0) this.#waiting.splice(at, 1);
  }

  /** Drops everything, as a crash does; returns what was lost. */
  clear(): string[] {
    const lost = [
      ...this.#active.keys(),
      ...this.#waiting.map((sequence) => sequence.id),
    ];
    this.#active.clear();
    this.#waiting.length = 0;
    this.#cache.clear();
    return lost;
  }

  getLoad(): { running: number; waiting: number; cacheFree: number } {
    return {
      running: this.#active.size,
      waiting: this.#waiting.length,
      cacheFree: 1 - this.#cache.size / this.#shape.cachedPrefixes,
    };
  }

  isIdle(): boolean {
    return this.#active.size === 0 && this.#waiting.length === 0;
  }

  /** Decodes one token of each sequence whose prompt has been taken in. */
  step(): StepResult {
    this.#admit();
    const prefilled = this.#prefill();
    const ready = [...this.#active.values()].filter((one) =>
      one.prefillLeft <= 0
    );
    ready.forEach((one) => {
      one.tokensLeft -= 1;
    });
    const finished = ready.filter((one) => one.tokensLeft <= 0)
      .map((one) => one.sequence.id);
    const ms = this.#shape.stepMs +
      this.#shape.stepPerSequenceMs * this.#active.size +
      this.#shape.prefillMsPerToken * prefilled;
    finished.forEach((id) => this.#active.delete(id));
    return {
      ms: ms * this.slowdown,
      tokens: ready.map((one) => one.sequence.id),
      finished,
    };
  }

  #admit(): void {
    while (
      this.#active.size < this.#shape.maxBatch && this.#waiting.length > 0
    ) {
      const sequence = this.#waiting.shift() as Sequence;
      const cached = this.#useCache(sequence.prefix);
      this.#active.set(sequence.id, {
        sequence,
        prefillLeft: sequence.promptTokens * (cached ? 1 - PREFIX_SHARE : 1),
        tokensLeft: sequence.outputTokens,
      });
    }
  }

  #prefill(): number {
    let budget = this.#shape.prefillChunk;
    // Priority counts for prompts too, or a dossier would hold up a label.
    const byPriority = [...this.#active.values()].toSorted((a, b) =>
      a.sequence.priority - b.sequence.priority
    );
    byPriority.forEach((one) => {
      const taken = Math.min(budget, Math.max(0, one.prefillLeft));
      one.prefillLeft -= taken;
      budget -= taken;
    });
    return this.#shape.prefillChunk - budget;
  }

  /** Looks a prefix up and makes it the most recently used one. */
  #useCache(prefix: string): boolean {
    if (prefix === "") return false;
    const hit = this.#cache.delete(prefix);
    this.#cache.set(prefix, true);
    if (this.#cache.size > this.#shape.cachedPrefixes) {
      this.#cache.delete(this.#cache.keys().next().value as string);
    }
    return hit;
  }
}
