/**
 * Simulated store in virtual time for fuzz tests. Calls stay pending until the
 * test delivers them; the test decides their order and which calls or responses
 * are lost.
 */
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import * as kvState from "./kv_state.ts";
import * as entryIntake from "./entry_intake.ts";
import * as etcdMessages from "./etcd_messages.ts";

/** Outcome that the test chooses for a call. */
export type CallFate =
  /** The call takes effect and its response arrives. */
  | "answered"
  /** The call takes effect, but its response is lost. */
  | "answer_lost"
  /** The call never reaches the store. */
  | "lost"
  /** The caller gets no response now, and the call takes effect later. */
  | "delayed";

interface PendingCall {
  readonly host: string;
  /** Applies the call to the state and returns the response. */
  readonly apply: () => unknown;
  readonly resolve: (result: utils.Result<unknown, utils.StepError>) => void;
}

/** Simulated store that several simulated hosts share. */
export class SimStore {
  readonly kv = new kvState.KvState();
  readonly #now: () => number;
  readonly #pending: PendingCall[] = [];
  readonly #delayed: PendingCall[] = [];
  readonly #heldResponses = new Map<string, (() => void)[]>();
  /** Hosts whose calls are refused immediately. */
  readonly unreachable = new Set<string>();

  constructor(now: () => number) {
    this.#now = now;
  }

  countPending(): number {
    return this.#pending.length;
  }

  /** Ends the pending call at index `pick`, modulo the number of pending calls, with the given outcome. */
  deliver(pick: number, fate: CallFate): void {
    if (this.#pending.length === 0) return;
    const [call] = this.#pending.splice(pick % this.#pending.length, 1);
    const noResponse = utils.Err(utils.createStepError("unknown_outcome", {
      step: "store.call",
      peer: "store",
      message: "The store did not answer.",
    }));
    switch (fate) {
      case "answered":
        return this.#answer(call, utils.Ok(this.#apply(call)));
      case "answer_lost":
        this.#apply(call);
        return this.#answer(call, noResponse);
      case "lost":
        return this.#answer(call, noResponse);
      case "delayed":
        this.#delayed.push(call);
        return this.#answer(call, noResponse);
    }
  }

  /** Applies the delayed call at index `pick`, modulo the number of delayed calls. */
  deliverDelayed(pick: number): void {
    if (this.#delayed.length === 0) return;
    this.#apply(this.#delayed.splice(pick % this.#delayed.length, 1)[0]);
  }

  /** Suspends a host: it receives no responses until it is resumed. */
  suspend(host: string): void {
    if (!this.#heldResponses.has(host)) this.#heldResponses.set(host, []);
  }

  resume(host: string): void {
    const held = this.#heldResponses.get(host) ?? [];
    this.#heldResponses.delete(host);
    held.forEach((deliver) => deliver());
  }

  isPaused(host: string): boolean {
    return this.#heldResponses.has(host);
  }

  /** Creates the client of one host. Watches are not simulated. */
  createClient(host: string): client.StoreClient {
    const call = <ResponseBody>(apply: () => ResponseBody) =>
      this.#call(host, apply);
    return {
      get: (key) =>
        call(() => {
          const pair = this.kv.get(key);
          return pair && toEntry(pair);
        }),
      list: (prefix, { after, limit, take } = {}) =>
        call(() => [...entryIntake.takeAll(
          this.kv.list(
            after === undefined ? prefix : `${after}\0`,
            etcdMessages.getRangeEnd(prefix),
          ).slice(0, limit || undefined).map(toEntry),
          { take },
        )]),
      swap: (swap) => call(() => this.#swap(swap)),
      grantLease: (seconds) =>
        call(() => this.kv.grantLease(seconds * 1_000, this.#now())),
      renewLease: (id) => call(() => this.kv.renewLease(id, this.#now()) > 0),
      revokeLease: (id) => call(() => this.kv.revokeLease(id)),
      watch: () => () => undefined,
      close: () => Promise.resolve(),
    };
  }

  #call<ResponseBody>(
    host: string,
    apply: () => ResponseBody,
  ): Promise<utils.Result<ResponseBody, utils.StepError>> {
    if (this.unreachable.has(host)) {
      return Promise.resolve(utils.Err(utils.createStepError("unreachable", {
        step: "store.call",
        peer: "store",
        message: "The store refused the connection.",
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
    const held = this.#heldResponses.get(call.host);
    if (held === undefined) deliver();
    else held.push(deliver);
  }

  #swap(swap: client.Swap): client.SwapOutcome {
    const { key, value, lease } = swap;
    const isLeaseValid = lease === undefined || this.kv.hasLease(lease);
    if (!this.kv.isAt(key, swap.expected) || !isLeaseValid) {
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
 * Runs all promise callbacks that are ready.
 *
 * @example
 * await flushPromises();
 */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
