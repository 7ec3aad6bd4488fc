/** Runs the dispatcher: feeds it events one by one and carries out its effects. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import * as loopDelay from "./loop_delay.ts";

/** One open request, to which the effects that concern it are passed. */
export interface OpenRequest {
  readonly onStart: (
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
  ) => void;
  readonly onStop: (
    effect: Extract<core.DispatchEffect, { kind: "stop" }>,
  ) => void;
  readonly onRefuse: (refusal: core.Refusal) => void;
}

/** Options of {@link DispatchTask}. */
export interface DispatchTaskOptions {
  readonly clock: utils.Clock;
  readonly dispatcher: core.Dispatcher;
  readonly onSuspect: (
    effect: Extract<core.DispatchEffect, { kind: "suspect" }>,
  ) => void;
  readonly onAskCapacity: () => void;
}

/** Owns the dispatcher and the open requests. */
export class DispatchTask {
  readonly #options: DispatchTaskOptions;
  readonly #open = new Map<string, OpenRequest>();
  readonly #events: core.DispatchEvent[] = [];
  readonly #delay = new loopDelay.LoopDelay();
  #ticking: NodeJS.Timeout | undefined;
  /** When the next look at the time is due, monotonic ms. */
  #tickAt = Number.POSITIVE_INFINITY;
  #stopped = false;
  #busy = false;

  constructor(options: DispatchTaskOptions) {
    this.#options = options;
    this.#tick();
  }

  #tick(): void {
    if (this.#stopped) return;
    const now = this.#options.clock.now();
    this.#delay.record(Math.max(0, now - this.#tickAt), now);
    this.#tickAt = Number.POSITIVE_INFINITY;
    this.send({ kind: "ticked" });
  }

  /** Time until the next look: time decides about requests that wait; what runs and what rests has no use for it. */
  #getTickMs(): number {
    if (this.#options.dispatcher.countOpen().queued > 0) {
      return constants.TICK_MS;
    }
    return this.#open.size > 0
      ? constants.RUNNING_TICK_MS
      : constants.IDLE_TICK_MS;
  }

  /** Has the next look come in time for what is open now. */
  #scheduleTick(): void {
    const ms = this.#getTickMs();
    const at = this.#options.clock.now() + ms;
    if (this.#stopped || this.#tickAt <= at) return;
    clearTimeout(this.#ticking);
    this.#tickAt = at;
    this.#ticking = setTimeout(() => this.#tick(), ms);
  }

  /** Opens a request; its effects go to `handlers` until it is closed. */
  open(request: core.Request, handlers: OpenRequest): void {
    this.#open.set(request.id, handlers);
    this.send({ kind: "arrived", request });
  }

  /** Closes a request that got its answer. */
  close(requestId: string): void {
    this.#open.delete(requestId);
  }

  /**
   * Handles an event and what follows from it. An effect may send further
   * events; they are handled after it, so the dispatcher is never entered
   * twice.
   */
  send(event: core.DispatchEvent): void {
    this.#events.push(event);
    if (this.#busy) return;
    this.#busy = true;
    try {
      for (
        let next = this.#events.shift();
        next !== undefined;
        next = this.#events.shift()
      ) {
        const now = this.#options.clock.now();
        this.#options.dispatcher.handle(next, now)
          .forEach((effect) => this.#carryOut(effect));
      }
    } finally {
      this.#busy = false;
      this.#scheduleTick();
    }
  }

  /** What this host asks of each model or service. */
  countByTarget(): Record<string, core.PromptDemand> {
    return this.#options.dispatcher.countByTarget();
  }

  /** Requests running at each engine. */
  countByEngine(): Record<string, number> {
    return this.#options.dispatcher.countByEngine();
  }

  /** Prompt tokens that each engine has not yet read. */
  countPrompting(): Record<string, number> {
    return this.#options.dispatcher.countPendingPrefill();
  }

  /** Takes over how a service's engines are divided. */
  setDivision(target: string, division: core.EngineDivision): void {
    this.#options.dispatcher.setDivision(target, division);
  }

  countOpen(): number {
    return this.#open.size;
  }

  /** How long this process lately took to notice what happened, in ms. */
  getLoopDelay(): number {
    return this.#delay.get(this.#options.clock.now());
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#ticking);
  }

  #carryOut(effect: core.DispatchEffect): void {
    switch (effect.kind) {
      case "start":
        this.#open.get(effect.request.id)?.onStart(effect);
        return;
      case "stop":
        this.#open.get(effect.requestId)?.onStop(effect);
        return;
      case "refuse":
        this.#open.get(effect.requestId)?.onRefuse(effect.refusal);
        this.#open.delete(effect.requestId);
        return;
      case "suspect":
        return this.#options.onSuspect(effect);
      case "ask_capacity":
        return this.#options.onAskCapacity();
    }
  }
}
