/** Tasks, which own their state and process messages in order, and repeated execution. */

/** A running task. */
export interface Task<Message> {
  /** Adds a message to the queue without blocking; ignored after `stop`. */
  readonly send: (message: Message) => void;
  /** Stops accepting messages and waits until the queue is empty. */
  readonly stop: () => Promise<void>;
}

/** Options of {@link startTask}. */
export interface TaskOptions<Message> {
  /** Handles one message; the next message waits until the promise settles. */
  readonly handle: (message: Message) => void | Promise<void>;
  /** Receives an error of `handle`; the task continues with the next message. */
  readonly onError: (thrown: unknown) => void;
}

/**
 * Starts a task. Messages are handled one at a time in the order sent, so no other
 * handler changes the state while a handler awaits.
 *
 * @example
 * const task = startTask({ handle: (n: number) => console.log(n), onError: console.error });
 * task.send(1);
 */
export function startTask<Message>(
  options: TaskOptions<Message>,
): Task<Message> {
  const queue: Message[] = [];
  let running: Promise<void> | undefined;
  let stopped = false;

  async function handleMessages(): Promise<void> {
    while (queue.length > 0) {
      try {
        await options.handle(queue.shift() as Message);
      } catch (thrown) {
        options.onError(thrown);
      }
    }
    running = undefined;
  }

  return {
    send: (message) => {
      if (stopped) return;
      queue.push(message);
      running ??= Promise.resolve().then(handleMessages);
    },
    stop: async () => {
      stopped = true;
      await running;
    },
  };
}

/** Options of {@link startInterval}. */
export interface IntervalOptions {
  /** Pause before the first run and between two runs, in ms. */
  readonly ms: number;
  /** Receives what a run throws; the next one follows after the pause. */
  readonly onError: (thrown: unknown) => void;
}

/**
 * Runs `work` repeatedly. Returns a function that stops the repetition.
 *
 * @example
 * const stop = startInterval({ ms: 1000, onError }, async () => await renew());
 */
export function startInterval(
  { ms, onError }: IntervalOptions,
  work: () => void | Promise<void>,
): () => void {
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  async function runOnce(): Promise<void> {
    try {
      await work();
    } catch (thrown) {
      onError(thrown);
    }
    if (!stopped) timer = setTimeout(runOnce, ms);
  }
  timer = setTimeout(runOnce, ms);
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}

/**
 * Runs work whose end nobody awaits. What it throws goes to `onError` and not to the
 * process, which an unhandled rejection would end with all its requests.
 *
 * @example
 * runDetached(() => renew(), (thrown) => log.error({ thrown }, "Renewal failed."));
 */
export function runDetached(
  work: () => unknown,
  onError: (thrown: unknown) => void,
): void {
  const run = async () => await work();
  run().catch(onError);
}
