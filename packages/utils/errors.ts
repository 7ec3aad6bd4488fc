/** Errors that name the failed step and the peer. */

/** Kind of failure, by which the caller decides how to proceed. */
export type FailureCode =
  | "unreachable"
  | "timeout"
  | "rate_limited"
  | "conflict"
  | "rejected"
  | "unknown_outcome"
  | "invalid"
  | "not_found";

/** Failure of one step of communication with a peer. */
export interface StepError {
  readonly code: FailureCode;
  /** Failed step, for example `store.put`. */
  readonly step: string;
  /** Peer of the call: a host, a backend server or a platform service. */
  readonly peer: string;
  readonly message: string;
}

/**
 * Creates an error for a failed step.
 *
 * @example
 * createStepError("timeout", { step: "store.get", peer: "store", message: "No response." });
 */
export function createStepError(
  code: FailureCode,
  details: Omit<StepError, "code">,
): StepError {
  return { code, ...details };
}

/**
 * Formats an error for a log line or a terminal.
 *
 * @example
 * formatStepError(error); // "store.get at store: No response. (timeout)"
 */
export function formatStepError(error: StepError): string {
  return `${error.step} at ${error.peer}: ${error.message} (${error.code})`;
}

/**
 * Returns the message of a thrown value of any type.
 *
 * @example
 * getErrorMessage(new Error("no")); // "no"
 */
export function getErrorMessage(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
