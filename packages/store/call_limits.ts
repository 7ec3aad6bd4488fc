/**
 * Decides how long calls to the store are waited for and over which connections
 * they are sent.
 *
 * Guards against calls that make their own load: a call without an answer ends no
 * other one, an answer that comes late is used to learn how long answers take, and
 * a process that is late itself waits longer.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Shortest and longest time that an answer is waited for, in ms. The longest leaves a read's answer young enough to serve keys by it. */
const LIMITS = { minMs: 1_000, maxMs: 3_000 };
/** Time after its limit for which a late answer to a read is still read, in ms. */
const LATE_READ_MS = 3_000;
/** Sets of former connections that are kept for the answers that are due on them. */
const MAX_FORMER = 3;

/** Connections to the store. */
export interface Connections {
  /** Closes the connections once their calls have ended. */
  readonly close: () => Promise<void>;
  /** Closes the connections; their calls fail. */
  readonly destroy: () => Promise<void>;
}

/** What a call asks for. */
export type CallKind =
  | { readonly kind: "read" }
  /** A long poll. */
  | { readonly kind: "poll"; readonly waitMs: number }
  /** It must not take effect after the limit. */
  | { readonly kind: "write" };

/** Options of {@link CallLimits}. */
export interface CallLimitsOptions<Open extends Connections> {
  readonly clock: Pick<utils.Clock, "now">;
  readonly open: () => Open;
}

/** What a call is sent with. */
export interface CallMeans<Open> {
  readonly connections: Open;
  /** Aborted when the answer is of no more use. */
  readonly signal: AbortSignal;
  /** Longest time that a poll waits for a change, in ms; 0 for other calls. */
  readonly waitMs: number;
}

/** Sends a call. */
export type CallSender<Open, Answer> = (
  means: CallMeans<Open>,
) => Promise<Answer>;

/** A set of connections with the polls that are pending on it. */
interface Generation<Open> {
  readonly connections: Open;
  readonly polls: Set<() => void>;
}

/** The limits of the calls of one host. */
export class CallLimits<Open extends Connections> {
  readonly #options: CallLimitsOptions<Open>;
  readonly #times = new core.AnswerTimes(LIMITS);
  #current: Generation<Open>;
  #former: Generation<Open>[] = [];

  constructor(options: CallLimitsOptions<Open>) {
    this.#options = options;
    this.#current = this.#open();
  }

  /** Returns how long an answer is waited for now, in ms. */
  getLimitMs(): number {
    return this.#times.getLimitMs();
  }

  /** Sends a call; throws what `send` throws, or an error at the limit. */
  async run<Answer>(
    call: CallKind,
    send: CallSender<Open, Answer>,
  ): Promise<Answer> {
    switch (call.kind) {
      case "read":
      case "write":
        return await this.#runOnce({ call, waitMs: 0 }, send);
      case "poll":
        return await this.#runPoll(call, send);
    }
  }

  async close(): Promise<void> {
    const all = [this.#current, ...this.#former];
    await Promise.all(all.map(({ connections }) => connections.destroy()));
  }

  /**
   * Sends a poll, and once more over new connections if these are answered while the
   * poll waits: after a network partition the old ones may never deliver anything.
   */
  async #runPoll<Answer>(
    call: Extract<CallKind, { kind: "poll" }>,
    send: CallSender<Open, Answer>,
  ): Promise<Answer> {
    const { polls } = this.#current;
    const superseded = new AbortController();
    const supersede = () => superseded.abort();
    const { signal } = superseded;
    polls.add(supersede);
    try {
      return await this.#runOnce({ call, waitMs: call.waitMs, signal }, send);
    } catch (thrown) {
      if (!signal.aborted) throw thrown;
      return await this.#runOnce({ call, waitMs: 0 }, send);
    } finally {
      polls.delete(supersede);
    }
  }

  async #runOnce<Answer>(
    { call, waitMs, signal }: {
      readonly call: CallKind;
      readonly waitMs: number;
      /** Ends the call early. */
      readonly signal?: AbortSignal;
    },
    send: CallSender<Open, Answer>,
  ): Promise<Answer> {
    const { clock } = this.#options;
    const used = this.#current;
    const sentAt = clock.now();
    const abort = new AbortController();
    signal?.addEventListener("abort", () => abort.abort());
    const late = this.#startLimit({ call, used, quietMs: waitMs, abort });
    const { connections } = used;
    const sent = send({ connections, signal: abort.signal, waitMs })
      .then((answer) => {
        this.#recordAnswered(used, clock.now() - sentAt - waitMs);
        return answer;
      });
    try {
      return await Promise.race([sent, late.ended]);
    } catch (thrown) {
      if (!abort.signal.aborted) this.#renew(used);
      throw thrown;
    } finally {
      late.stop();
      utils.runDetached(
        () => sent.finally(late.stopReading),
        () => undefined,
      );
    }
  }

  /** Starts the limit of a call. A read stays open after it, so that a late answer shows how long answers take. */
  #startLimit(
    { call, used, quietMs, abort }: {
      readonly call: CallKind;
      readonly used: Generation<Open>;
      readonly quietMs: number;
      readonly abort: AbortController;
    },
  ) {
    const { clock } = this.#options;
    let reading: NodeJS.Timeout | undefined;
    let stop = () => {};
    const ended = new Promise<never>((_, reject) => {
      stop = utils.startPatientTimer({
        clock,
        quietMs,
        getLimitMs: () => this.getLimitMs(),
        onEnd: () => {
          if (call.kind === "read") {
            reading = setTimeout(() => abort.abort(), LATE_READ_MS);
          } else abort.abort();
          this.#renew(used);
          const ms = Math.round(this.getLimitMs());
          reject(new Error(`The store did not answer within ${ms} ms.`));
        },
      });
    });
    return { ended, stop, stopReading: () => clearTimeout(reading) };
  }

  #open(): Generation<Open> {
    return { connections: this.#options.open(), polls: new Set() };
  }

  /** Opens new connections for further calls; the calls on the former ones are waited for. */
  #renew(used: Generation<Open>): void {
    if (this.#current !== used) return;
    this.#current = this.#open();
    const all = [...this.#former, used];
    this.#former = all.slice(-MAX_FORMER);
    closeDetached(() => used.connections.close());
    all.slice(0, -MAX_FORMER).forEach(({ connections }) =>
      closeDetached(() => connections.destroy())
    );
  }

  /**
   * Records an answer `ms` milliseconds after the wait that the call asked for;
   * negative if a change ended a poll early. If it came over the newest connections,
   * the store answers there, and polls on former ones may wait for nothing.
   */
  #recordAnswered(used: Generation<Open>, ms: number): void {
    if (ms >= 0) this.#times.record(ms);
    if (this.#current !== used) return;
    this.#former.forEach(({ polls }) => polls.forEach((end) => end()));
  }
}

/** Closes connections that nobody waits for; that one cannot be closed changes nothing for further calls. */
function closeDetached(close: () => Promise<void>): void {
  utils.runDetached(close, () => undefined);
}
