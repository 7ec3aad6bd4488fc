/**
 * The store in virtual time for fuzzing: calls wait until the test delivers
 * them, in whatever order and with whatever is lost.
 */
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import * as kvState from "./kv_state.ts";
import * as wire from "./wire.ts";

/** What becomes of a call. */
export type CallFate =
  /** It takes effect and is answered. */
  | "answered"
  /** It takes effect, but the answer is lost. */
  | "answer_lost"
  /** It never arrives. */
  | "lost"
  /** It is given up now and takes effect later. */
  | "delayed";

interface PendingCall {
  readonly host: string;
  /** Takes effect and returns the answer. */
  readonly apply: () => unknown;
  readonly resolve: (result: utils.Result<unknown, utils.StepError>) => void;
}

/** A store shared by simulated hosts. */
export class SimStore {
  readonly kv = new kvState.KvState();
  readonly #now: () => number;
  readonly #pending: PendingCall[] = [];
  readonly #delayed: PendingCall[] = [];
  readonly #held = new Map<string, (() => void)[]>();
  /** Hosts whose calls fail at once. */
  readonly unreachable = new Set<string>();

  constructor(now: () => number) {
    this.#now = now;
  }

  countPending(): number {
    return this.#pending.length;
  }

  /** Decides the fate of the call at `pick`, modulo how many there are. */
  deliver(pick: number, fate: CallFate): void {
    if (this.#pending.length === 0) return;
    const [call] = this.#pending.splice(pick % this.#pending.length, 1);
    const lost = utils.Err(utils.createStepError("unknown_outcome", {
      step: "store.call",
      peer: "store",
      message: "No answer.",
    }));
    switch (fate) {
      case "answered":
        return this.#answer(call, utils.Ok(this.#apply(call)));
      case "answer_lost":
        this.#apply(call);
        return this.#answer(call, lost);
      case "lost":
        return this.#answer(call, lost);
      case "delayed":
        this.#delayed.push(call);
        return this.#answer(call, lost);
    }
  }

  /** Lets a delayed call take effect. */
  deliverDelayed(pick: number): void {
    if (this.#delayed.length === 0) return;
    this.#apply(this.#delayed.splice(pick % this.#delayed.length, 1)[0]);
  }

  /** Freezes a host: answers reach it only once it is thawed. */
  freeze(host: string): void {
    if (!this.#held.has(host)) this.#held.set(host, []);
  }

  thaw(host: string): void {
    const held = this.#held.get(host) ?? [];
    this.#held.delete(host);
    held.forEach((deliver) => deliver());
  }

  isFrozen(host: string): boolean {
    return this.#held.has(host);
  }

  /** The client of one host. Watches are not simulated. */
  createClient(host: string): client.StoreClient {
    const call = <Answer>(apply: () => Answer) => this.#call(host, apply);
    return {
      get: (key) =>
        call(() => {
          const pair = this.kv.get(key);
          return pair && toEntry(pair);
        }),
      list: (prefix, { after, limit } = {}) =>
        call(() =>
          this.kv.list(
            after === undefined ? prefix : `${after}\0`,
            wire.getRangeEnd(prefix),
          ).slice(0, limit || undefined).map(toEntry)
        ),
      swap: (swap) => call(() => this.#swap(swap)),
      grantLease: (seconds) =>
        call(() => this.kv.grantLease(seconds * 1_000, this.#now())),
      renewLease: (id) => call(() => this.kv.renewLease(id, this.#now()) > 0),
      revokeLease: (id) => call(() => this.kv.revokeLease(id)),
      watch: () => () => undefined,
      close: () => Promise.resolve(),
    };
  }

  #call<Answer>(
    host: string,
    apply: () => Answer,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    if (this.unreachable.has(host)) {
      return Promise.resolve(utils.Err(utils.createStepError("unreachable", {
        step: "store.call",
        peer: "store",
        message: "Refused.",
      })));
    }
    return new Promise((resolve) =>
      this.#pending.push({
        host,
        apply,
        resolve: resolve as PendingCall["resolve"],
      })
    );
  }

  #apply(call: PendingCall): unknown {
    this.kv.expire(this.#now());
    return call.apply();
  }

  #answer(
    call: PendingCall,
    result: utils.Result<unknown, utils.StepError>,
  ): void {
    const deliver = () => call.resolve(result);
    const held = this.#held.get(call.host);
    if (held === undefined) deliver();
    else held.push(deliver);
  }

  #swap(swap: client.Swap): client.SwapOutcome {
    const { key, value, lease } = swap;
    const leased = lease === undefined || this.kv.hasLease(lease);
    if (!this.kv.isAt(key, swap.expected) || !leased) {
      const pair = this.kv.get(key);
      return { kind: "lost", current: pair && toEntry(pair) };
    }
    if (value === undefined) this.kv.remove(key);
    else this.kv.put(key, { value, lease });
    return { kind: "won", modRevision: this.kv.revision };
  }
}

function toEntry(pair: kvState.KvPair): client.StoreEntry {
  return { key: pair.key, value: pair.value, modRevision: pair.modRevision };
}

/**
 * Lets every promise that can go on do so.
 *
 * @example
 * await flushPromises();
 */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
