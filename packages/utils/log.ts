/** Structured logging with a fixed message prefix for each part. */
import * as pino from "pino";

/** Logger of the process or of one part. */
export type Logger = pino.Logger;

/** Levels that settings accept. */
export const LOG_LEVELS = ["debug", "info", "warn", "error", "silent"] as const;

/** Maximum size of the output buffer in characters, about 4,000 lines. */
const MAX_BUFFERED_CHARACTERS = 1024 * 1024;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Lowest level that is logged. @default "info" */
  readonly level?: (typeof LOG_LEVELS)[number];
  /** Fields of each line, such as the host's name. @default {} */
  readonly fields?: Record<string, string>;
  /** @default "stderr" */
  readonly output?: "stdout" | "stderr";
  /** Maximum number of lines per second; further lines are dropped and counted. @default unlimited */
  readonly linesPerSecond?: number;
}

/**
 * Creates the logger of the process, which writes JSON lines. Commands log to
 * standard error, because standard output carries their results. Lines are written
 * asynchronously and dropped while the buffer is full. This guards against a log
 * reader that stops reading, which would block the host or exhaust its memory.
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
      maxLength: MAX_BUFFERED_CHARACTERS,
    }),
  );
}

/**
 * Drops and counts the lines above the rate limit. This guards against a flood of
 * refusals whose logging would take the host's time away from its requests.
 */
function buildHooks(
  linesPerSecond: number | undefined,
): pino.LoggerOptions["hooks"] {
  if (linesPerSecond === undefined) return {};
  let currentSecond = 0;
  let writtenLines = 0;
  let leftOut = 0;
  return {
    logMethod(values, method) {
      const now = Math.floor(performance.now() / 1_000);
      if (now !== currentSecond) {
        if (leftOut > 0) method.call(this, { leftOut }, "Lines dropped.");
        currentSecond = now;
        writtenLines = 0;
        leftOut = 0;
      }
      writtenLines += 1;
      if (writtenLines > linesPerSecond) leftOut += 1;
      else method.apply(this, values);
    },
  };
}

/**
 * Creates the logger of one part, whose messages begin with `part: `.
 *
 * @example
 * createPartLogger(log, "peer").warn("Connection lost.");
 */
export function createPartLogger(log: Logger, part: string): Logger {
  return log.child({}, { msgPrefix: `${part}: ` });
}
