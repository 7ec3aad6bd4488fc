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

/**
 * Runs `work` repeatedly, with a pause of `intervalMs` before the first run and
 * between two runs. Returns a function that stops the repetition.
 *
 * @example
 * const stop = startInterval(1000, async () => await renew());
 */
export function startInterval(
  intervalMs: number,
  work: () => void | Promise<void>,
): () => void {
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;
  async function runOnce(): Promise<void> {
    await work();
    if (!stopped) timer = setTimeout(runOnce, intervalMs);
  }
  timer = setTimeout(runOnce, intervalMs);
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}
