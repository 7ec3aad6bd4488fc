/** Retry policy: the retry budget and the rules for which failed attempts are retried. */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as request from "./request.ts";

/** Limits the number of retries in relation to first attempts. */
export interface RetryBudget {
  /** Records the first attempt of a request to a model or service. */
  readonly recordFirst: (target: string, now: number) => void;
  /** Takes one retry from the budget; returns false if none is left for the request. */
  readonly take: (
    request: Pick<request.Request, "target" | "tier">,
    now: number,
  ) => boolean;
}

/**
 * A token bucket that is refilled by first attempts. When all attempts fail,
 * retries add at most {@link constants.RETRY_SHARE} to the load instead of
 * multiplying it, so an overload does not amplify itself.
 */
export class TokenRetryBudget implements RetryBudget {
  #tokens = constants.RETRY_BURST;

  /** Records the first attempt of a request. */
  recordFirst(): void {
    this.#tokens = Math.min(
      constants.RETRY_BURST,
      this.#tokens + constants.RETRY_SHARE,
    );
  }

  /** Takes one retry from the budget; returns false if the budget is exhausted. */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Whether a failed attempt is retried. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | {
    readonly kind: "give_up";
    readonly ran: request.Ran;
    readonly reason: request.GiveUpReason;
  };

/** A failed attempt and the state of its request. */
export interface FailedAttempt {
  readonly failure: events.AttemptFailure;
  /** Number of attempts so far of which a byte may have left this host. */
  readonly sent: number;
  /** Largest number of attempts of the request. @default constants.MAX_ATTEMPTS */
  readonly maxAttempts?: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether a part of the response was already sent to the caller. */
  readonly answerStarted: boolean;
  /** Whether another backend server can continue the response at its offset. */
  readonly resumable: boolean;
}

/**
 * Determines whether a failed attempt may have run the request. The result is
 * "no" only if no byte left this host or the backend server refused the attempt.
 *
 * @example
 * resolveRan("connection_lost"); // "unknown"
 */
export function resolveRan(failure: events.AttemptFailure): request.Ran {
  switch (failure) {
    case "not_sent":
    case "withheld":
    case "refused":
    case "misdirected":
      return "no";
    case "server_error":
    case "connection_lost":
    case "timeout":
    case "crossed":
    case "unread":
      return "unknown";
  }
}

/**
 * Decides whether a failed attempt is retried. A request that is not repeatable
 * is retried only if nothing ran. A response that has begun is retried only if
 * it can be resumed at its offset.
 *
 * An attempt that was not sent puts no load on a backend server, so it is retried
 * without taking from the budget. Its server is ejected at once, and the request
 * goes to another server or waits. If such attempts counted, all queued requests
 * would use up their attempts in the second until a lost server is removed from
 * the list of servers.
 *
 * @example
 * decideRetry(failed, () => budget.take());
 */
export function decideRetry(
  failed: FailedAttempt,
  takeBudget: () => boolean,
): RetryDecision {
  const ran = resolveRan(failed.failure);
  const giveUp = (reason: request.GiveUpReason) =>
    ({ kind: "give_up", ran, reason }) as const;
  const isSafe = ran === "no" || failed.repeatable;
  const canResume = !failed.answerStarted || failed.resumable;
  if (!canResume) return giveUp("not_resumable");
  const isUnsent = failed.failure === "not_sent" ||
    failed.failure === "withheld";
  if (isUnsent) return { kind: "retry" };
  if (!isSafe) return giveUp("not_repeatable");
  const maxAttempts = failed.maxAttempts ?? constants.MAX_ATTEMPTS;
  if (failed.sent >= maxAttempts) return giveUp("attempts_used");
  return takeBudget() ? { kind: "retry" } : giveUp("budget_spent");
}

/**
 * Combines whether two attempts ran a request. The result is "no" only if both
 * are "no".
 *
 * @example
 * mergeRan("no", "unknown"); // "unknown"
 */
export function mergeRan(first: request.Ran, second: request.Ran): request.Ran {
  if (first === "yes" || second === "yes") return "yes";
  return first === "no" && second === "no" ? "no" : "unknown";
}
