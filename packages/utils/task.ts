/** Tasks: units that own their state and sockets and take messages in order. */

/** A running task. */
export interface Task<Message> {
  /** Puts a message into the mailbox; never blocks. */
  readonly send: (message: Message) => void;
  /** Takes no more messages and waits until the mailbox is empty. */
  readonly stop: () => Promise<void>;
}

/** Options of {@link startTask}. */
export interface TaskOptions<Message> {
  /** Handles one message; the next one waits until it is done. */
  readonly handle: (message: Message) => void | Promise<void>;
  /** Told of a handler's failure; the task goes on with the next message. */
  readonly onError: (thrown: unknown) => void;
}

/**
 * Starts a task. Messages are handled one at a time in the order sent, so a
 * handler may await without another one changing the state under it.
 *
 * @example
 * const task = startTask({ handle: (n: number) => console.log(n), onError: console.error });
 * task.send(1);
 */
export function startTask<Message>(
  options: TaskOptions<Message>,
): Task<Message> {
  const mailbox: Message[] = [];
  let running: Promise<void> | undefined;
  let stopped = false;

  async function run(): Promise<void> {
    while (mailbox.length > 0) {
      try {
        await options.handle(mailbox.shift() as Message);
      } catch (thrown) {
        options.onError(thrown);
      }
    }
    running = undefined;
  }

  return {
    send: (message) => {
      if (stopped) return;
      mailbox.push(message);
      running ??= Promise.resolve().then(run);
    },
    stop: async () => {
      stopped = true;
      await running;
    },
  };
}

/**
 * Runs `work` again and again with `intervalMs` between the end of one run and
 * the start of the next. Returns a function that stops it.
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
