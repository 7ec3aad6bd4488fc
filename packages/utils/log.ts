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
    { level: options.level ?? "info", base: options.fields ?? {} },
    pino.destination({
      dest: options.output === "stdout" ? 1 : 2,
      sync: false,
      maxLength: MAX_UNWRITTEN_BYTES,
    }),
  );
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
