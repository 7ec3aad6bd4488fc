/** Structured logging: short sentences with a fixed prefix for each part. */
import * as pino from "pino";

/** The logger type that the parts take. */
export type Logger = pino.Logger;

/** Levels that settings accept. */
export const LOG_LEVELS = ["debug", "info", "warn", "error", "silent"] as const;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Least severe level that is written. @default "info" */
  readonly level?: (typeof LOG_LEVELS)[number];
  /** Fields on each line, such as the host's name. @default {} */
  readonly fields?: Record<string, string>;
}

/**
 * Makes the process's logger, which writes JSON lines to standard error, so
 * that standard output stays free for what a command prints.
 *
 * @example
 * const log = createPartLogger(createLogger({ level: "info" }), "store");
 * log.info("Lease renewed.");
 */
export function createLogger(options: LoggerOptions = {}): Logger {
  return pino.pino(
    { level: options.level ?? "info", base: options.fields ?? {} },
    pino.destination({ dest: 2, sync: false }),
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
