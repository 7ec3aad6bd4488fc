/** Runs the dispatcher: passes it events one at a time and applies the effects that it returns. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import * as loopDelay from "./loop_delay.ts";

/** Handlers for the effects that concern one open request. */
export interface RequestEffectHandlers {
  readonly onStart: (
    effect: Extract<core.DispatchEffect, { kind: "start" }>,
  ) => void;
  readonly onStop: (
    effect: Extract<core.DispatchEffect, { kind: "stop" }>,
  ) => void;
  readonly onRefuse: (refusal: core.Refusal) => void;
  /** Called when another host must run the request. @default never happens, as the host tracks no links */
  readonly onHandOver?: (
    effect: Extract<core.DispatchEffect, { kind: "hand_over" }>,
  ) => void;
  /** Called when one of these handlers, or the dispatcher for an event of the request, threw. @default ignored */
  readonly onError?: (thrown: unknown) => void;
}

/** Options of {@link DispatchTask}. */
export interface DispatchTaskOptions {
  readonly clock: utils.Clock;
  readonly dispatcher: core.Dispatcher;
  readonly onSuspect: (
    effect: Extract<core.DispatchEffect, { kind: "suspect" }>,
  ) => void;
  /** Called when a suspect has completed, so that its marks no longer count. @default ignored */
  readonly onSuspectAnswered?: (
    effect: Extract<core.DispatchEffect, { kind: "suspect_answered" }>,
  ) => void;
  /** Called when a mark of a part is known to be cleared. @default ignored */
  readonly onPartAnswered?: (
    effect: Extract<core.DispatchEffect, { kind: "part_answered" }>,
  ) => void;
  /** Called when other hosts must not be told of losses any more. @default ignored */
  readonly onLossesWithdrawn?: (
    effect: Extract<core.DispatchEffect, { kind: "losses_withdrawn" }>,
  ) => void;
  /** Called when marks of suspects were made, or more is known of them. @default ignored */
  readonly onSuspectsChanged?: (
    effect: Extract<core.DispatchEffect, { kind: "suspects_changed" }>,
  ) => void;
  /** Called when the parts of prompts that crash servers change. @default ignored */
  readonly onPartsBlamed?: (
    effect: Extract<core.DispatchEffect, { kind: "parts_blamed" }>,
  ) => void;
  readonly onAskCapacity: () => void;
  /** Called when a server is overdue or answers again. @default ignored */
  readonly onOverdueChanged?: (
    effect: Extract<core.DispatchEffect, { kind: "overdue_changed" }>,
  ) => void;
  /** Called to try connections to servers. @default ignored */
  readonly onTryLinks?: (
    effect: Extract<core.DispatchEffect, { kind: "try_links" }>,
  ) => void;
  /** Called when this host has lost its links to the servers or has them again. @default ignored */
  readonly onLinksChanged?: (
    effect: Extract<core.DispatchEffect, { kind: "links_changed" }>,
  ) => void;
  readonly onPanicChanged?: (
    effect: Extract<core.DispatchEffect, { kind: "panic_changed" }>,
  ) => void;
  /** Called with what the dispatcher or a handler of an effect threw; the other effects are applied all the same. */
  readonly onError: (
    error: { readonly step: string; readonly thrown: unknown },
  ) => void;
}

/** Owns the dispatcher and the effect handlers of the open requests. */
export class DispatchTask {
  readonly #options: DispatchTaskOptions;
  readonly #handlers = new Map<string, RequestEffectHandlers>();
  readonly #events: core.DispatchEvent[] = [];
  readonly #delay = new loopDelay.LoopDelay();
  #tickTimer: NodeJS.Timeout | undefined;
  /** Time at which the next tick is due, monotonic ms. */
  #tickAt = Number.POSITIVE_INFINITY;
  #stopped = false;
  #handling = false;

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

  /**
   * Returns the time until the next tick, in ms. Ticks are frequent only while requests
   * are queued or running, because the passing of time affects only their handling.
   */
  #getTickMs(): number {
    if (this.#options.dispatcher.countOpen().queued > 0) {
      return constants.TICK_MS;
    }
    return this.#handlers.size > 0
      ? constants.RUNNING_TICK_MS
      : constants.IDLE_TICK_MS;
  }

  /** Moves the next tick forward if the open requests need an earlier one. */
  #scheduleTick(): void {
    const ms = this.#getTickMs();
    const at = this.#options.clock.now() + ms;
    if (this.#stopped || this.#tickAt <= at) return;
    clearTimeout(this.#tickTimer);
    this.#tickAt = at;
    this.#tickTimer = setTimeout(() => this.#tick(), ms);
  }

  /** Opens a request; its effects are passed to `handlers` until it is closed. */
  open(request: core.Request, handlers: RequestEffectHandlers): void {
    this.#handlers.set(request.id, handlers);
    this.send({ kind: "arrived", request });
  }

  /** Closes a request that was answered or cancelled. */
  close(requestId: string): void {
    this.#handlers.delete(requestId);
  }

  /**
   * Handles an event and applies its effects. An effect may send further events;
   * they are queued and handled afterwards, so that calls of the dispatcher are
   * never nested.
   */
  send(event: core.DispatchEvent): void {
    this.#events.push(event);
    if (this.#handling) return;
    this.#handling = true;
    try {
      for (
        let next = this.#events.shift();
        next !== undefined;
        next = this.#events.shift()
      ) {
        this.#handle(next).forEach((effect) => this.#tryEffect(effect));
      }
    } finally {
      this.#handling = false;
      this.#scheduleTick();
    }
  }

  #handle(event: core.DispatchEvent): core.DispatchEffect[] {
    try {
      return this.#options.dispatcher.handle(event, this.#options.clock.now());
    } catch (thrown) {
      this.#reportError(findRequest(event), {
        step: `dispatch.${event.kind}`,
        thrown,
      });
      return [];
    }
  }

  /** Applies an effect; if its handler throws, only its own request fails. */
  #tryEffect(effect: core.DispatchEffect): void {
    const requestId = findRequest(effect);
    const handlers = this.#handlers.get(requestId ?? "");
    try {
      this.#applyEffect(effect);
    } catch (thrown) {
      const step = `dispatch.effect.${effect.kind}`;
      this.#reportError(requestId, { step, thrown }, handlers);
    }
  }

  #reportError(
    requestId: string | undefined,
    error: { readonly step: string; readonly thrown: unknown },
    handlers = this.#handlers.get(requestId ?? ""),
  ): void {
    this.#options.onError(error);
    handlers?.onError?.(error.thrown);
  }

  /** Returns this host's demand for each model or service. */
  countByTarget(): Record<string, core.PromptDemand> {
    return this.#options.dispatcher.countByTarget();
  }

  /** Counts this host's running requests at each engine. */
  countByEngine(): Record<string, number> {
    return this.#options.dispatcher.countByEngine();
  }

  /** Counts this host's prompt tokens for which prefill is pending at each engine. */
  countPendingPrefill(): Record<string, number> {
    return this.#options.dispatcher.countPendingPrefill();
  }

  /** Whether a request that was assigned to a server may still be sent there. */
  maySendTo(server: string): boolean {
    return this.#options.dispatcher.maySendTo(
      server,
      this.#options.clock.now(),
    );
  }

  /** Lists the limits that this host has learned from servers, with monotonic times. */
  listLimits(): core.LimitRecord[] {
    return this.#options.dispatcher.listLimits(this.#options.clock.now());
  }

  /** Lists the paces of the engines that this host has sampled recently, in ms. */
  listPaces(): Record<string, number> {
    return this.#options.dispatcher.listPaces(this.#options.clock.now());
  }

  /** Lists the speeds of all live engines, relative to the means of their services. */
  listSpeeds(): number[] {
    return this.#options.dispatcher.listSpeeds(this.#options.clock.now());
  }

  /** Lists the outcomes of this host's recent attempts. */
  listOutcomes(): core.HostOutcomes {
    return this.#options.dispatcher.listOutcomes(this.#options.clock.now());
  }

  /** Lists the suspect parts of prompts with which answers of this host have begun, with monotonic times. */
  listAnsweredParts(): core.PartAnswers {
    return this.#options.dispatcher.listAnsweredParts(
      this.#options.clock.now(),
    );
  }

  /** Lists marks of requests that are refused, with monotonic times. */
  listKnownMarks(): core.SuspectMark[] {
    return this.#options.dispatcher.listKnownMarks();
  }

  listPoisonMarks(): core.SuspectMark[] {
    return this.#options.dispatcher.listPoisonMarks();
  }

  /** Lists the suspects that have completed, with monotonic times. */
  listAnsweredRequests(): core.AnsweredRequests {
    const { dispatcher, clock } = this.#options;
    return dispatcher.listAnsweredRequests(clock.now());
  }

  /** Whether it is in doubt that a lost server has ended. */
  isDoubted(server: string): boolean {
    return this.#options.dispatcher.isDoubted(server);
  }

  /** Lists the losses that this host knows to be wrong, with monotonic times. */
  listWrongLosses(): core.WrongLosses {
    const { dispatcher, clock } = this.#options;
    return dispatcher.listWrongLosses(clock.now());
  }

  /** Counts the requests that are refused because servers were lost while they ran. */
  countPoisonRequests(): number {
    return this.#options.dispatcher.countPoisonRequests();
  }

  /** Counts the parts of prompts that are refused because they crash servers. */
  countBlamedParts(): number {
    return this.#options.dispatcher.countBlamedParts();
  }

  /** Sets how the engines of a service are divided between short and long prompts. */
  setDivision(target: string, division: core.EngineDivision): void {
    this.#options.dispatcher.setDivision(target, division);
  }

  /** Counts the servers that are overdue. */
  countOverdueServers(): number {
    return this.#options.dispatcher.countOverdueServers(
      this.#options.clock.now(),
    );
  }

  /** Whether a server crashes if it must refuse too many requests. */
  isBrittle(server: string): boolean {
    return this.#options.dispatcher.isBrittle(
      server,
      this.#options.clock.now(),
    );
  }

  /** Lists what this host has learned of brittle servers, with monotonic times. */
  listBrittleRecords(): core.BrittleRecord[] {
    return this.#options.dispatcher.listBrittleRecords(
      this.#options.clock.now(),
    );
  }

  /** Lists the brittle servers, each of which needs a sender. */
  listBrittle(): core.BrittleServerInfo[] {
    return this.#options.dispatcher.listBrittle(this.#options.clock.now());
  }

  /** Lists the brittle servers whose sender this host is. */
  listSentTo(): string[] {
    return this.#options.dispatcher.listSentTo(this.#options.clock.now());
  }

  /** Describes what this host does as a sender of brittle servers. */
  describeSender(): Pick<core.SenderCandidate, "room" | "servers"> {
    return this.#options.dispatcher.describeSender(this.#options.clock.now());
  }

  /** Counts the brittle servers. */
  countBrittleServers(): core.BrittleCounts {
    return this.#options.dispatcher.countBrittleServers();
  }

  /** Whether this host has lost its links to the servers of a service. */
  hasLostLinks(target: string): boolean {
    return this.#options.dispatcher.hasLostLinks(target);
  }

  /** Lists the services to whose servers this host has lost its links. */
  listLostLinks(): string[] {
    return this.#options.dispatcher.listLostLinks();
  }

  /** Whether this host runs all its requests over its own links. */
  hasFullShare(): boolean {
    return this.#options.dispatcher.hasFullShare(this.#options.clock.now());
  }

  /** Lists the services that this host may use, with the time since it last reached a server of them, in ms. */
  listReached(): Record<string, number> {
    return this.#options.dispatcher.listReached(this.#options.clock.now());
  }

  /** Counts the queued requests. */
  countQueued(): number {
    return this.#options.dispatcher.countOpen().queued;
  }

  countOpen(): number {
    return this.#handlers.size;
  }

  /** Returns the recent delay of this process's event loop, in ms. */
  getLoopDelay(): number {
    return this.#delay.get(this.#options.clock.now());
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#tickTimer);
  }

  #applyEffect(effect: core.DispatchEffect): void {
    switch (effect.kind) {
      case "start":
        this.#handlers.get(effect.request.id)?.onStart(effect);
        return;
      case "stop":
        this.#handlers.get(effect.requestId)?.onStop(effect);
        return;
      case "refuse":
        this.#handlers.get(effect.requestId)?.onRefuse(effect.refusal);
        this.#handlers.delete(effect.requestId);
        return;
      case "hand_over": {
        const handlers = this.#handlers.get(effect.request.id);
        this.#handlers.delete(effect.request.id);
        return handlers?.onHandOver?.(effect);
      }
      case "suspect":
        return this.#options.onSuspect(effect);
      case "parts_blamed":
        return this.#options.onPartsBlamed?.(effect);
      case "suspect_answered":
        return this.#options.onSuspectAnswered?.(effect);
      case "part_answered":
        return this.#options.onPartAnswered?.(effect);
      case "losses_withdrawn":
        return this.#options.onLossesWithdrawn?.(effect);
      case "suspects_changed":
        return this.#options.onSuspectsChanged?.(effect);
      case "overdue_changed":
        return this.#options.onOverdueChanged?.(effect);
      case "ask_capacity":
        return this.#options.onAskCapacity();
      case "try_links":
        return this.#options.onTryLinks?.(effect);
      case "links_changed":
        return this.#options.onLinksChanged?.(effect);
      case "panic_changed":
        return this.#options.onPanicChanged?.(effect);
    }
  }
}

/** Returns the request that an event or effect concerns; undefined if it concerns none, or several. */
function findRequest(
  one: core.DispatchEvent | core.DispatchEffect,
): string | undefined {
  if ("requestId" in one) return one.requestId;
  return "request" in one ? one.request.id : undefined;
}
