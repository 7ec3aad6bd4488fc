/**
 * Holds the requests that arrive before the host has its first state from the
 * store, and releases them in order of arrival. Their bodies are not read
 * meanwhile.
 */
import type * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as metricsModule from "../metrics.ts";

/** How a wait ended. */
export type WaitOutcome = "served" | "refused" | "left";

/** A request that may wait. */
export interface WaitingRequest {
  readonly deadlineMs: number | undefined;
  readonly headerBytes: number;
  readonly onDisconnect: (listener: () => void) => void;
  /** Called once when the wait ends; not for a request whose caller disconnected before. */
  readonly onEnd: (outcome: WaitOutcome) => void;
}

/** Options of {@link StartupWaits}. */
export interface StartupWaitsOptions {
  readonly clock: utils.Clock;
  readonly admission: core.StartupAdmission;
  readonly metrics: Pick<metricsModule.Metrics, "recordStartupWait">;
}

/** The requests that wait for the first state, in order of arrival. */
export class StartupWaits {
  readonly #options: StartupWaitsOptions;
  readonly #waiting = new Map<WaitingRequest, NodeJS.Timeout>();
  #waitingBytes = 0;
  #closed = false;

  constructor(options: StartupWaitsOptions) {
    this.#options = options;
  }

  /** Holds a request until the state arrives or its wait ends; returns false if it may not wait. */
  add(request: WaitingRequest): boolean {
    if (this.#closed) return false;
    const { admission, clock } = this.#options;
    const waitMs = admission.getWaitMs({
      ...request,
      waiting: this.#waiting.size,
      waitingBytes: this.#waitingBytes,
    }, clock.now());
    if (waitMs <= 0) return false;
    this.#waiting.set(
      request,
      setTimeout(() => this.#end(request, "refused"), waitMs),
    );
    this.#waitingBytes += request.headerBytes;
    request.onDisconnect(() => this.#end(request, "left"));
    return true;
  }

  /** Releases all requests when the state has arrived; no request waits from then on. */
  release(): void {
    this.#endAll("served");
  }

  /** Refuses all requests because the host stops; no request waits from then on. */
  refuseAll(): void {
    this.#endAll("refused");
  }

  count(): number {
    return this.#waiting.size;
  }

  #endAll(outcome: WaitOutcome): void {
    this.#closed = true;
    [...this.#waiting.keys()].forEach((request) => this.#end(request, outcome));
  }

  #end(request: WaitingRequest, outcome: WaitOutcome): void {
    const timer = this.#waiting.get(request);
    if (timer === undefined) return;
    clearTimeout(timer);
    this.#waiting.delete(request);
    this.#waitingBytes -= request.headerBytes;
    this.#options.metrics.recordStartupWait(outcome);
    request.onEnd(outcome);
  }
}
