/**
 * Processes in virtual time, each with a processor that it may share with others.
 * Code that runs in a process uses the ordinary timers; they are served as Node.js
 * does: expired timers first, then what has arrived, then immediates. So a process
 * without processor time finds its time-outs over before it reads the answers.
 */
import * as asyncHooks from "node:async_hooks";
import * as tinyqueue from "tinyqueue";
import type * as utils from "@banyangrade/utils";

/** Time of a processor that a callback takes, in ms. */
const CALLBACK_MS = 0.3;
/** Share of the rounds after which a process that shares its processor is suspended, and for how long on average, in ms of a whole processor. */
const SUSPENDED_SHARE = 0.05;
const SUSPENDED_MS = 25;

interface Due {
  readonly at: number;
  readonly order: number;
  readonly run: () => void | Promise<void>;
}

type DueQueue = tinyqueue.default<Due>;

function createDueQueue(): DueQueue {
  return new tinyqueue.default<Due>(
    [],
    (a, b) => a.at - b.at || a.order - b.order,
  );
}

const running = new asyncHooks.AsyncLocalStorage<VirtualProcess>();
const system = {
  setTimeout: globalThis.setTimeout,
  clearTimeout: globalThis.clearTimeout,
  setInterval: globalThis.setInterval,
  clearInterval: globalThis.clearInterval,
  setImmediate: globalThis.setImmediate,
};

/** Runs what is due in the order of its times. */
export class VirtualTime {
  now = 0;
  readonly #due = createDueQueue();
  #order = 0;

  /** Runs a callback outside of any process. */
  schedule(ms: number, run: Due["run"]): void {
    this.#order += 1;
    this.#due.push({ at: this.now + ms, order: this.#order, run });
  }

  /** Runs everything that is due before a time. */
  async run(until: number): Promise<void> {
    for (
      let next = this.#due.peek();
      next !== undefined && next.at < until;
      next = this.#due.peek()
    ) {
      this.#due.pop();
      this.now = Math.max(this.now, next.at);
      await next.run();
      await settlePromises();
    }
    this.now = until;
  }
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => system.setImmediate(() => resolve()));
}

/** Options of {@link VirtualProcess}. */
export interface VirtualProcessOptions {
  readonly time: VirtualTime;
  readonly random: utils.Random;
  /** Share of a processor that the process gets, in (0, 1]. */
  readonly share: number;
}

/** A process. */
export class VirtualProcess {
  readonly #options: VirtualProcessOptions;
  readonly #timers = createDueQueue();
  readonly #arrived = createDueQueue();
  #immediates: (() => void)[] = [];
  readonly #cancelled = new Set<number>();
  #order = 0;
  #now: number;
  #wakeAt = Number.POSITIVE_INFINITY;
  #alive = true;

  constructor(options: VirtualProcessOptions) {
    this.#options = options;
    this.#now = options.time.now;
  }

  /** Returns the time as the process sees it, in ms. */
  getNow(): number {
    return Math.max(this.#now, this.#options.time.now);
  }

  isAlive(): boolean {
    return this.#alive;
  }

  /** Ends the process: nothing that is due in it runs any more. */
  end(): void {
    this.#alive = false;
  }

  /** Runs a callback in the process once it has arrived, at a time, and the process gets its processor. */
  deliver(at: number, run: () => void): void {
    this.#order += 1;
    this.#arrived.push({ at, order: this.#order, run });
    this.#schedule(at);
  }

  /** Uses the processor for some time, in ms of a whole processor. */
  useProcessor(ms: number): void {
    this.#now = this.getNow() + ms / this.#options.share;
  }

  setTimer(ms: number, run: () => void): number {
    const at = this.getNow() + Math.max(1, ms);
    this.#order += 1;
    this.#timers.push({ at, order: this.#order, run });
    this.#schedule(at);
    return this.#order;
  }

  cancelTimer(order: number): void {
    this.#cancelled.add(order);
  }

  addImmediate(run: () => void): void {
    this.#immediates.push(run);
    this.#schedule(this.getNow());
  }

  #schedule(at: number): void {
    const { time } = this.#options;
    const wakeAt = Math.max(at, this.#now, time.now);
    if (wakeAt >= this.#wakeAt) return;
    this.#wakeAt = wakeAt;
    time.schedule(wakeAt - time.now, async () => {
      if (this.#wakeAt !== wakeAt) return;
      this.#wakeAt = Number.POSITIVE_INFINITY;
      await this.#runLoop();
    });
  }

  /** Runs one round of the event loop. */
  async #runLoop(): Promise<void> {
    if (!this.#alive) return;
    this.#now = this.getNow();
    const startedAt = this.#now;
    // A process that shares its processor is suspended at times.
    const { random, share } = this.#options;
    if (share < 1 && random.next() < SUSPENDED_SHARE) {
      this.#now -= Math.log(1 - random.next()) * SUSPENDED_MS / share;
    }
    await this.#runDue(this.#timers, this.#now);
    await this.#runDue(this.#arrived, Math.max(startedAt, this.#now));
    const immediates = this.#immediates;
    this.#immediates = [];
    for (const run of immediates) await this.#runOne(run);
    const next = Math.min(
      this.#timers.peek()?.at ?? Number.POSITIVE_INFINITY,
      this.#arrived.peek()?.at ?? Number.POSITIVE_INFINITY,
      this.#immediates.length > 0 ? this.#now : Number.POSITIVE_INFINITY,
    );
    if (Number.isFinite(next)) this.#schedule(next);
  }

  async #runDue(queue: DueQueue, until: number): Promise<void> {
    for (
      let next = queue.peek();
      next !== undefined && next.at <= until;
      next = queue.peek()
    ) {
      queue.pop();
      if (queue === this.#timers && this.#cancelled.delete(next.order)) {
        continue;
      }
      await this.#runOne(next.run);
    }
  }

  async #runOne(run: () => void): Promise<void> {
    if (!this.#alive) return;
    this.useProcessor(CALLBACK_MS);
    running.run(this, run);
    await settlePromises();
  }
}

/** A timer of a process, as far as code uses the handle that Node.js returns. */
interface TimerHandle {
  readonly unref: () => TimerHandle;
}

const handles = new WeakMap<object, () => void>();

function createHandle(cancel: () => void): TimerHandle {
  const handle: TimerHandle = { unref: () => handle };
  handles.set(handle, cancel);
  return handle;
}

/**
 * Lets the global timers serve virtual processes; other code keeps the usual ones.
 * Returns a function that ends this.
 *
 * @example
 * const restore = startVirtualTimers();
 */
export function startVirtualTimers(): () => void {
  const set = (run: () => void, ms = 0) => {
    const process = running.getStore();
    if (process === undefined) return system.setTimeout(run, ms);
    const order = process.setTimer(ms, run);
    return createHandle(() => process.cancelTimer(order));
  };
  const setRepeated = (run: () => void, ms: number) => {
    const process = running.getStore();
    if (process === undefined) return system.setInterval(run, ms);
    let order = 0;
    const schedule = () => {
      order = process.setTimer(ms, () => {
        schedule();
        run();
      });
    };
    schedule();
    return createHandle(() => process.cancelTimer(order));
  };
  const clear = (timer: unknown) => {
    const cancel = typeof timer === "object" && timer !== null
      ? handles.get(timer)
      : undefined;
    if (cancel === undefined) system.clearTimeout(timer as NodeJS.Timeout);
    else cancel();
  };
  const setImmediately = (run: () => void) => {
    const process = running.getStore();
    return process === undefined
      ? system.setImmediate(run)
      : process.addImmediate(run);
  };
  Object.assign(globalThis, {
    setTimeout: set,
    clearTimeout: clear,
    setInterval: setRepeated,
    clearInterval: clear,
    setImmediate: setImmediately,
  });
  return () => void Object.assign(globalThis, system);
}
