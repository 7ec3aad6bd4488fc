/** Logs exceptions that no step foresees; each is a fault of this program. */
import * as errors from "./errors.ts";
import type * as log from "./log.ts";

/** Number of lines of a stack in a log line. */
const STACK_LINES = 6;
/** Longest text of an error in a log line, in characters. */
const MAX_TEXT = 2_000;

/** What was thrown, and where. */
export interface UnexpectedError {
  /** Step that threw, from a bounded set: it labels a metric. */
  readonly step: string;
  readonly thrown: unknown;
  /** @default the error belongs to no request */
  readonly requestId?: string;
}

/**
 * Writes an unexpected error to the log.
 *
 * @example
 * recordUnexpected(log, { step: "presence.round", thrown });
 */
export function recordUnexpected(
  logger: log.Logger,
  { step, thrown, requestId }: UnexpectedError,
): void {
  logger.error({
    step,
    requestId,
    error: errors.getErrorMessage(thrown).slice(0, MAX_TEXT),
    stack: describeStack(thrown),
  }, "Unexpected error.");
}

/**
 * Creates a handler that logs what a step throws.
 *
 * @example
 * startInterval({ ms: 1000, onError: createErrorLog(log, "usage.flush") }, flush);
 */
export function createErrorLog(
  logger: log.Logger,
  step: string,
): (thrown: unknown) => void {
  return (thrown) => recordUnexpected(logger, { step, thrown });
}

function describeStack(thrown: unknown): string | undefined {
  if (!(thrown instanceof Error)) return undefined;
  return thrown.stack?.slice(0, MAX_TEXT).split("\n").slice(0, STACK_LINES)
    .join("\n");
}
