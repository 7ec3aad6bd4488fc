/** Errors that carry the step and the peer at which they arose. */

/** What kind of failure it was, as far as the caller's next step depends on it. */
export type FailureCode =
  | "unreachable"
  | "timeout"
  | "rate_limited"
  | "conflict"
  | "rejected"
  | "unknown_outcome"
  | "invalid"
  | "not_found";

/** A failure at one step towards one peer. */
export interface StepError {
  readonly code: FailureCode;
  /** What was being done, for example `store.put`. */
  readonly step: string;
  /** Who was asked: a host, a backend server or a platform service. */
  readonly peer: string;
  readonly message: string;
}

/**
 * Makes a step's error.
 *
 * @example
 * createStepError("timeout", { step: "store.get", peer: "store", message: "No answer." });
 */
export function createStepError(
  code: FailureCode,
  rest: Omit<StepError, "code">,
): StepError {
  return { code, ...rest };
}

/**
 * Formats an error for a log line or a terminal.
 *
 * @example
 * formatStepError(error); // "store.get at store: No answer. (timeout)"
 */
export function formatStepError(error: StepError): string {
  return `${error.step} at ${error.peer}: ${error.message} (${error.code})`;
}

/**
 * Returns the message of anything that was thrown.
 *
 * @example
 * readMessage(new Error("no")); // "no"
 */
export function readMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
