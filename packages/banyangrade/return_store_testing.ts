/** The store of simulated returns, which answers as the faults of the moment say. */
import * as store from "@banyangrade/store";
import * as kvState from "@banyangrade/store/kv_state.ts";
import * as utils from "@banyangrade/utils";
import type * as virtualProcesses from "./virtual_processes_testing.ts";

/** Time that the store takes for a call, in ms; calls are served one after another. */
const SERVICE_MS = 0.2;
/** Time that a message takes in one direction, in ms. */
const LATENCY_MS = 1;

/** How the store answers. */
export type StoreFault =
  | { readonly kind: "none" }
  | { readonly kind: "silent" }
  | { readonly kind: "slow"; readonly ms: number }
  /** Answers a share of the calls with status 503. */
  | { readonly kind: "busy"; readonly share: number }
  /** Answers calls beyond a number per second with status 429. */
  | { readonly kind: "limited"; readonly perSecond: number }
  /** Executes a share of the calls without an answer. */
  | { readonly kind: "answers_lost"; readonly share: number };

/** Connections of a host to the store. */
interface SimulatedConnections extends store.Connections {
  readonly destroyed: AbortSignal;
}

function openConnections(): SimulatedConnections {
  const abort = new AbortController();
  return {
    destroyed: abort.signal,
    close: () => Promise.resolve(),
    destroy: () => Promise.resolve(abort.abort()),
  };
}

/** Options of {@link SimulatedStore}. */
export interface SimulatedStoreOptions {
  readonly time: virtualProcesses.VirtualTime;
  readonly random: utils.Random;
}

/** A call that is on its way. */
interface SentCall {
  readonly process: virtualProcesses.VirtualProcess;
  readonly isCut: () => boolean;
  /** Each ends the call. */
  readonly signals: readonly AbortSignal[];
  readonly kind: store.CallKind["kind"];
}

/** The store. */
export class SimulatedStore {
  fault: StoreFault = { kind: "none" };
  /** Calls by second of their arrival. */
  readonly calls = new Map<number, { reads: number; writes: number }>();
  readonly #options: SimulatedStoreOptions;
  readonly #log: { readonly key: string; readonly change: store.Change }[] = [];
  readonly #waiting = new Map<() => void, string>();
  #freeAt = 0;
  readonly #kv = new kvState.KvState((change) => {
    const { key } = change.pair;
    const modRevision = this.#kv.revision;
    this.#log.push({
      key,
      change: change.kind === "put"
        ? { kind: "put", entry: change.pair }
        : { kind: "deleted", key, modRevision },
    });
    this.#waiting.forEach((prefix, wake) => {
      if (key.startsWith(prefix)) wake();
    });
  });

  constructor(options: SimulatedStoreOptions) {
    this.#options = options;
    this.#scheduleExpiry();
  }

  put(key: string, value: string): void {
    this.#kv.put(key, { value });
  }

  /** Creates the client of a process; `isCut` says whether no message passes. */
  createClient(
    process: virtualProcesses.VirtualProcess,
    isCut: () => boolean,
  ): store.KeyValueClient & store.FeedClient {
    const limits = new store.CallLimits({
      clock: { now: () => process.getNow() },
      open: openConnections,
    });
    const run = async <Answer>(
      call: store.CallKind,
      execute: (waitMs: number) => Answer | Promise<Answer>,
    ): Promise<utils.Result<Answer, utils.StepError>> => {
      try {
        return await limits.run(
          call,
          ({ connections, signal, waitMs }) =>
            this.#send<Answer>({
              process,
              isCut,
              signals: [signal, connections.destroyed],
              kind: call.kind,
            }, () => execute(waitMs)),
        );
      } catch (thrown) {
        return utils.Err(utils.createStepError("unknown_outcome", {
          step: `store.${call.kind}`,
          peer: "store",
          message: utils.getErrorMessage(thrown),
        }));
      }
    };
    const READ = { kind: "read" } as const;
    const WRITE = { kind: "write" } as const;
    const list = (prefix: string) => this.#kv.list(prefix, `${prefix}\uffff`);
    return {
      get: (key) => run(READ, () => this.#kv.get(key)),
      list: (prefix, options) =>
        run(READ, () => [...store.takeAll(list(prefix), options)]),
      readAll: (prefix, options) =>
        run(READ, () => ({
          entries: store.takeAll(list(prefix), options),
          revision: this.#kv.revision,
        })),
      pollChanges: (prefix, { after, waitMs: longest, take }) =>
        run(
          { kind: "poll", waitMs: longest },
          (waitMs) => this.#poll(prefix, { after, waitMs, take }),
        ),
      swap: (swap) => run(WRITE, () => this.#swap(swap)),
      grantLease: (seconds) =>
        run(
          WRITE,
          () => this.#kv.grantLease(seconds * 1_000, this.#options.time.now),
        ),
      renewLease: (id) =>
        run(WRITE, () => this.#kv.renewLease(id, this.#options.time.now) > 0),
      revokeLease: (id) => run(WRITE, () => void this.#kv.revokeLease(id)),
      close: () => Promise.resolve(),
    };
  }

  #scheduleExpiry(): void {
    const { time } = this.#options;
    time.schedule(50, () => {
      this.#kv.expire(time.now);
      this.#scheduleExpiry();
    });
  }

  #send<Answer>(
    { process, isCut, signals, kind }: SentCall,
    execute: () => Answer | Promise<Answer>,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    const { time } = this.#options;
    return new Promise((resolve, reject) => {
      signals.forEach((signal) =>
        signal.addEventListener("abort", () => reject(new Error("aborted")))
      );
      const answer = (result: utils.Result<Answer, utils.StepError>) => {
        if (isCut()) return;
        process.deliver(time.now + LATENCY_MS, () => resolve(result));
      };
      time.schedule(process.getNow() - time.now + LATENCY_MS, () => {
        if (!isCut()) this.#arrive({ signals, kind, answer }, execute);
      });
    });
  }

  #arrive<Answer>(
    { signals, kind, answer }: Pick<SentCall, "signals" | "kind"> & {
      readonly answer: (result: utils.Result<Answer, utils.StepError>) => void;
    },
    execute: () => Answer | Promise<Answer>,
  ): void {
    const { time, random } = this.#options;
    const inSecond = this.#count(kind);
    const { fault } = this;
    const refuse = (code: "rejected" | "rate_limited") =>
      answer(utils.Err(utils.createStepError(code, {
        step: `store.${kind}`,
        peer: "store",
        message: code,
      })));
    if (fault.kind === "silent") return;
    if (fault.kind === "busy" && random.next() < fault.share) {
      return refuse("rejected");
    }
    if (fault.kind === "limited" && inSecond > fault.perSecond) {
      return refuse("rate_limited");
    }
    const slowMs = fault.kind === "slow" ? fault.ms : 0;
    const isLost = fault.kind === "answers_lost" &&
      random.next() < fault.share;
    this.#freeAt = Math.max(this.#freeAt, time.now) + SERVICE_MS;
    time.schedule(this.#freeAt - time.now + slowMs, async () => {
      if (signals.some(({ aborted }) => aborted)) return;
      const executed = execute();
      const send = (value: Answer) => {
        if (!isLost && this.fault.kind !== "silent") answer(utils.Ok(value));
      };
      if (executed instanceof Promise) {
        utils.runDetached(() => executed.then(send), () => undefined);
      } else send(executed);
      await Promise.resolve();
    });
  }

  /** Counts a call; returns the number in this second. */
  #count(kind: store.CallKind["kind"]): number {
    const second = Math.floor(this.#options.time.now / 1_000);
    const counted = this.calls.get(second) ?? { reads: 0, writes: 0 };
    if (kind === "write") counted.writes += 1;
    else counted.reads += 1;
    this.calls.set(second, counted);
    return counted.reads + counted.writes;
  }

  #swap(swap: store.Swap): store.SwapOutcome {
    const isLeaseValid = swap.lease === undefined ||
      this.#kv.hasLease(swap.lease);
    if (!this.#kv.isAt(swap.key, swap.expected) || !isLeaseValid) {
      return { kind: "lost", current: this.#kv.get(swap.key) };
    }
    if (swap.value === undefined) this.#kv.remove(swap.key);
    else this.#kv.put(swap.key, { value: swap.value, lease: swap.lease });
    return { kind: "won", modRevision: this.#kv.revision };
  }

  #poll(
    prefix: string,
    { after, waitMs, take }: store.PollOptions,
  ): Promise<store.Changes> {
    const { time } = this.#options;
    const list = () => {
      const from = this.#log.findLastIndex(({ change }) =>
        getRevision(change) <= after
      );
      return this.#log.slice(from + 1)
        .flatMap(({ key, change }) => key.startsWith(prefix) ? [change] : []);
    };
    return new Promise((resolve) => {
      const end = () => {
        this.#waiting.delete(wake);
        const changes = store.takeAllChanges(list(), { take });
        resolve({ changes, revision: this.#kv.revision });
      };
      const wake = () => {
        if (this.#waiting.has(wake)) end();
      };
      if (waitMs === 0 || list().length > 0) return end();
      this.#waiting.set(wake, prefix);
      time.schedule(waitMs, wake);
    });
  }
}

function getRevision(change: store.Change): number {
  return change.kind === "put" ? change.entry.modRevision : change.modRevision;
}
