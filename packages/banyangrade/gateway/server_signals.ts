/** Applies and logs the signals in the responses of backend servers. */
import * as lru from "lru-cache";
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as dispatchTask from "../dispatch_task.ts";
import type * as metrics from "../metrics.ts";

/** The signals of a response and the attempt to which it belongs. */
export interface SignalledResponse {
  readonly signals: core.ServerSignals;
  /** When the attempt was sent, monotonic ms. */
  readonly sentAt: number;
  /** Whether the server itself answered the request with success. */
  readonly succeeded: boolean;
}

/** Components that the signals affect. */
export interface SignalContext {
  readonly signalLog: SignalLog;
  readonly dispatch: dispatchTask.DispatchTask;
}

/**
 * Applies the signals of a response of a server.
 *
 * @example
 * applySignals(parts, { server: "s1@1", signals, sentAt });
 */
export function applySignals(
  { signalLog, dispatch }: SignalContext,
  response: SignalledResponse & { readonly server: string },
): void {
  signalLog.record(response.server, response.signals);
  dispatch.send({ kind: "responded", ...response });
}

/** Kinds of changes that are counted. */
type SignalChange =
  | "limit_named"
  | "limit_ended"
  | "brittle_named"
  | "brittle_ended"
  | "rest_requested"
  | "leaving"
  | "malformed";

/** Length to which the value of a malformed signal is shortened. */
const MAX_VALUE_LENGTH = 40;

/** Logs and counts a signal when it changes, not each response that repeats it. */
export class SignalLog {
  readonly #log: utils.Logger;
  readonly #metrics: metrics.Metrics;
  readonly #limits = new lru.LRUCache<string, number>(
    core.constants.SERVER_CACHE,
  );
  readonly #brittle = new lru.LRUCache<string, number>(
    core.constants.SERVER_CACHE,
  );
  readonly #leaving = new lru.LRUCache<string, true>(
    core.constants.SERVER_CACHE,
  );
  /** Servers and headers of which a malformed value was logged. */
  readonly #malformed = new lru.LRUCache<string, true>(
    core.constants.SERVER_CACHE,
  );

  constructor(
    options: { readonly log: utils.Logger; readonly metrics: metrics.Metrics },
  ) {
    this.#log = options.log;
    this.#metrics = options.metrics;
  }

  /** Records the signals of a response of a server. */
  record(server: string, signals: core.ServerSignals): void {
    this.#recordRate(server, {
      perSecond: core.findLimit(signals),
      known: this.#limits,
      changes: ["limit_named", "limit_ended"],
      messages: ["Limit named.", "Limit no longer named."],
    });
    this.#recordRate(server, {
      perSecond: core.findBrittleness(signals),
      known: this.#brittle,
      changes: ["brittle_named", "brittle_ended"],
      messages: ["Brittleness named.", "Brittleness no longer named."],
    });
    this.#recordRest(server, core.findRest(signals));
    if (signals.leaving) this.#recordLeaving(server);
    signals.malformed.forEach((malformed) =>
      this.#recordMalformed(server, malformed)
    );
  }

  /** Logs a rate that a server names, when it changes. */
  #recordRate(
    server: string,
    { perSecond, known, changes, messages }: {
      readonly perSecond: number | undefined;
      readonly known: lru.LRUCache<string, number>;
      readonly changes: readonly [named: SignalChange, ended: SignalChange];
      readonly messages: readonly [named: string, ended: string];
    },
  ): void {
    const before = known.get(server);
    if (perSecond === before) return;
    if (perSecond === undefined) known.delete(server);
    else known.set(server, perSecond);
    const index = perSecond === undefined ? 1 : 0;
    const fields = { server, perSecond, before };
    this.#write(changes[index], fields, messages[index]);
  }

  /** A rest is logged each time, because each one is a refusal with a time of its own. */
  #recordRest(server: string, restMs: number | undefined): void {
    if (restMs === undefined) return;
    this.#write("rest_requested", { server, restMs }, "Rest requested.");
  }

  #recordLeaving(server: string): void {
    if (this.#leaving.has(server)) return;
    this.#leaving.set(server, true);
    this.#write("leaving", { server }, "Leaving announced.");
  }

  #recordMalformed(
    server: string,
    { header, value }: core.MalformedSignal,
  ): void {
    const text = value.slice(0, MAX_VALUE_LENGTH);
    const key = `${server}/${header}`;
    if (this.#malformed.has(key)) return;
    this.#malformed.set(key, true);
    this.#write(
      "malformed",
      { server, header, value: text },
      "Malformed signal ignored.",
    );
  }

  #write(change: SignalChange, fields: object, message: string): void {
    this.#metrics.recordServerSignal(change);
    this.#log.info(fields, message);
  }
}
