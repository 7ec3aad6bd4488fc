/** Structured logging: short sentences with a fixed prefix for each part. */
import * as pino from "pino";

/** The logger type that the parts take. */
export type Logger = pino.Logger;

/** Levels that settings accept. */
export const LOG_LEVELS = ["debug", "info", "warn", "error", "silent"] as const;

/** Most characters of lines that wait for their reader, about 4,000 lines. */
const MAX_UNWRITTEN_BYTES = 1024 * 1024;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Least severe level that is written. @default "info" */
  readonly level?: (typeof LOG_LEVELS)[number];
  /** Fields on each line, such as the host's name. @default {} */
  readonly fields?: Record<string, string>;
  /** @default "stderr" */
  readonly output?: "stdout" | "stderr";
  /** Most lines a second; more are counted and left out. @default unbounded */
  readonly linesPerSecond?: number;
}

/**
 * Makes the process's logger, which writes JSON lines. A command writes them to
 * standard error, so that standard output stays free for what it prints. Lines
 * are written behind the work, and dropped while a reader does not take them:
 * a log that nobody reads must not stop a host or fill its memory.
 *
 * @example
 * const log = createPartLogger(createLogger({ level: "info" }), "store");
 * log.info("Lease renewed.");
 */
export function createLogger(options: LoggerOptions = {}): Logger {
  return pino.pino(
    {
      level: options.level ?? "info",
      base: options.fields ?? {},
      hooks: buildHooks(options.linesPerSecond),
    },
    pino.destination({
      dest: options.output === "stdout" ? 1 : 2,
      sync: false,
      maxLength: MAX_UNWRITTEN_BYTES,
    }),
  );
}

/**
 * Leaves out the lines beyond a bound and counts them, so that a host under a
 * flood of refusals spends its time on requests instead of on telling of them.
 */
function buildHooks(
  linesPerSecond: number | undefined,
): pino.LoggerOptions["hooks"] {
  if (linesPerSecond === undefined) return {};
  let second = 0;
  let written = 0;
  let leftOut = 0;
  return {
    logMethod(values, method) {
      const now = Math.floor(performance.now() / 1_000);
      if (now !== second) {
        if (leftOut > 0) method.call(this, { leftOut }, "Lines left out.");
        second = now;
        written = 0;
        leftOut = 0;
      }
      written += 1;
      if (written > linesPerSecond) leftOut += 1;
      else method.apply(this, values);
    },
  };
}

/**
 * Derives the logger of one part; its lines begin with `part: `.
 *
 * @example
 * createPartLogger(log, "peer").warn("Connection lost.");
 */
export function createPartLogger(log: Logger, part: string): Logger {
  return log.child({}, { msgPrefix: `${part}: ` });
}
