/**
 * Latency model of an engine: batched decoding whose step time grows with the
 * batch size, prefill, a prefix cache of limited size, and request priorities.
 * The model reads no clock; the fake engine runs it in real time and the bench
 * in virtual time.
 */

/** Capacity and timing of an engine. Times in ms. */
export interface EngineParameters {
  /** Maximum number of sequences in a batch. */
  readonly maxBatch: number;
  /** Duration of a decoding step with an empty batch. */
  readonly stepMs: number;
  /** Time that each sequence of the batch adds to a step. */
  readonly stepPerSequenceMs: number;
  /** Prefill time of a prompt token that is not cached. */
  readonly prefillMsPerToken: number;
  /** Maximum number of prompt tokens that one step prefills. */
  readonly prefillChunk: number;
  /** Capacity of the prefix cache, in prefixes. */
  readonly cachedPrefixes: number;
}

/** Default engine: about 30 ms between tokens under high load. */
export const DEFAULT_PARAMETERS: EngineParameters = {
  maxBatch: 8,
  stepMs: 18,
  stepPerSequenceMs: 1.2,
  prefillMsPerToken: 0.08,
  prefillChunk: 1_024,
  cachedPrefixes: 64,
};

/** Fraction of the prefill that a cached prefix saves. */
const PREFIX_SAVED_FRACTION = 0.8;

/** A request at an engine. */
export interface Sequence {
  readonly id: string;
  readonly promptTokens: number;
  readonly prefix: string;
  /** Number of tokens to generate. */
  readonly outputTokens: number;
  /** Smaller values are scheduled first. */
  readonly priority: number;
}

interface RunningSequence {
  readonly sequence: Sequence;
  prefillLeft: number;
  tokensLeft: number;
}

/** Result of one decoding step. */
export interface StepResult {
  readonly ms: number;
  /** Identifiers of the sequences that generated a token. */
  readonly tokens: readonly string[];
  readonly finished: readonly string[];
}

/** Simulates the queue, the batch and the prefix cache of an engine. */
export class EngineModel {
  /** Factor on every step duration; 3 means a third of the normal speed. */
  slowdown = 1;
  readonly #shape: EngineParameters;
  readonly #waiting: Sequence[] = [];
  readonly #active = new Map<string, RunningSequence>();
  readonly #cache = new Map<string, true>();

  constructor(shape: EngineParameters = DEFAULT_PARAMETERS) {
    this.#shape = shape;
  }

  /** Queues a sequence in order of priority, behind waiting sequences of the same priority. */
  add(sequence: Sequence): void {
    const at = this.#waiting.findIndex((other) =>
      other.priority > sequence.priority
    );
    this.#waiting.splice(at < 0 ? this.#waiting.length : at, 0, sequence);
  }

  /** Removes a sequence from the queue or the batch. */
  cancel(id: string): void {
    this.#active.delete(id);
    const at = this.#waiting.findIndex((sequence) => sequence.id === id);
    if (at >= 0) this.#waiting.splice(at, 1);
  }

  /** Drops all sequences and the cache, as a crash does; returns the identifiers of the dropped sequences. */
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

  /** Prefills prompts and decodes one token of each sequence whose prefill is complete. */
  step(): StepResult {
    this.#admit();
    const prefilled = this.#prefill();
    const ready = [...this.#active.values()].filter((running) =>
      running.prefillLeft <= 0
    );
    ready.forEach((running) => {
      running.tokensLeft -= 1;
    });
    const finished = ready.filter((running) => running.tokensLeft <= 0)
      .map((running) => running.sequence.id);
    const ms = this.#shape.stepMs +
      this.#shape.stepPerSequenceMs * this.#active.size +
      this.#shape.prefillMsPerToken * prefilled;
    finished.forEach((id) => this.#active.delete(id));
    return {
      ms: ms * this.slowdown,
      tokens: ready.map((running) => running.sequence.id),
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
        prefillLeft: sequence.promptTokens *
          (cached ? 1 - PREFIX_SAVED_FRACTION : 1),
        tokensLeft: sequence.outputTokens,
      });
    }
  }

  #prefill(): number {
    let budget = this.#shape.prefillChunk;
    // Guards against a long low-priority prompt that delays a short high-priority one.
    const byPriority = [...this.#active.values()].toSorted((a, b) =>
      a.sequence.priority - b.sequence.priority
    );
    byPriority.forEach((running) => {
      const tokens = Math.min(budget, Math.max(0, running.prefillLeft));
      running.prefillLeft -= tokens;
      budget -= tokens;
    });
    return this.#shape.prefillChunk - budget;
  }

  /** Returns whether the cache holds a prefix, and makes it the most recently used one. */
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
