/** Logs one line about the start of a host: each step, when it was done and who answered. */
import type * as utils from "@banyangrade/utils";

/** What a host needs before it takes work. */
export type StartStep = "relay" | "configuration" | "servers" | "recall";

/** Options of {@link StartLog}. */
export interface StartLogOptions {
  readonly clock: Pick<utils.Clock, "now">;
  readonly log: utils.Logger;
}

/** The steps of a start. */
export class StartLog {
  readonly #options: StartLogOptions;
  readonly #startedAt: number;
  readonly #steps = new Map<
    StartStep,
    { readonly ms: number; readonly source: string }
  >();

  constructor(options: StartLogOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Records that a step is done; only its first end counts. */
  record(step: StartStep, { source }: { readonly source: string }): void {
    if (this.#steps.has(step)) return;
    this.#steps.set(step, { ms: this.#getElapsedMs(), source });
  }

  /** Logs all steps; the host takes work from now on. */
  finish(): void {
    this.#options.log.info({
      ms: this.#getElapsedMs(),
      steps: Object.fromEntries(this.#steps),
    }, "First state complete.");
  }

  #getElapsedMs(): number {
    return Math.round(this.#options.clock.now() - this.#startedAt);
  }
}
