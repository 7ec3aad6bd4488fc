/** Retries: a budget, and what may be tried again. */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as request from "./request.ts";

/** Where requests and their retries meet a limit. */
export interface RetryBudget {
  /** Records a first attempt towards a model or service. */
  readonly recordFirst: (target: string, now: number) => void;
  /** Takes one retry from the budget, if there is one. */
  readonly take: (target: string, now: number) => boolean;
}

/**
 * A token bucket filled by first attempts. When everything fails, retries add
 * at most {@link constants.RETRY_SHARE} to the load instead of multiplying it,
 * so an overload does not feed itself.
 */
export class TokenRetryBudget implements RetryBudget {
  #tokens = constants.RETRY_BURST;

  /** Records a first attempt. */
  recordFirst(): void {
    this.#tokens = Math.min(
      constants.RETRY_BURST,
      this.#tokens + constants.RETRY_SHARE,
    );
  }

  /** Takes one retry from the budget, if there is one. */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** What follows from a failed attempt. */
export type RetryDecision =
  | { readonly kind: "retry" }
  | { readonly kind: "give_up"; readonly ran: request.Ran };

/** What is known of a failed attempt. */
export interface FailedAttempt {
  readonly failure: events.AttemptFailure;
  /** Attempts so far of which a byte may have left this host. */
  readonly sent: number;
  /** @default constants.MAX_ATTEMPTS */
  readonly maxAttempts?: number;
  readonly repeatable: boolean;
  readonly answerStarted: boolean;
  readonly resumable: boolean;
}

/**
 * Says whether anything may have run in a failed attempt. Only "no byte left
 * this host" and a backend server's own word count as "no".
 *
 * @example
 * resolveRan("connection_lost"); // "unknown"
 */
export function resolveRan(failure: events.AttemptFailure): request.Ran {
  switch (failure) {
    case "not_sent":
    case "refused":
      return "no";
    case "server_error":
    case "connection_lost":
    case "timeout":
    case "crossed":
      return "unknown";
  }
}

/**
 * Decides what follows from a failed attempt. A request that may not be
 * repeated is tried again only when nothing ran; an answer that has begun is
 * tried again only if it can be resumed at its offset. An attempt that was not
 * sent cost no backend server anything: it takes nothing from the budget, and
 * its server is ejected at once, so the request goes elsewhere or waits. Were
 * it counted, the second until a lost server leaves the list would use up every
 * attempt of all that waits.
 *
 * @example
 * decideRetry(failed, () => budget.take());
 */
export function decideRetry(
  failed: FailedAttempt,
  takeBudget: () => boolean,
): RetryDecision {
  const ran = resolveRan(failed.failure);
  const safe = ran === "no" || failed.repeatable;
  const whole = !failed.answerStarted || failed.resumable;
  if (failed.failure === "not_sent" && whole) return { kind: "retry" };
  const left = failed.sent <
    (failed.maxAttempts ?? constants.MAX_ATTEMPTS);
  if (safe && whole && left && takeBudget()) return { kind: "retry" };
  return { kind: "give_up", ran };
}

/**
 * Combines what is known of two attempts: a request has not run only if
 * neither of them did.
 *
 * @example
 * mergeRan("no", "unknown"); // "unknown"
 */
export function mergeRan(first: request.Ran, second: request.Ran): request.Ran {
  if (first === "yes" || second === "yes") return "yes";
  return first === "no" && second === "no" ? "no" : "unknown";
}
