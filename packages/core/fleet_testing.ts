/** Test helpers that simulations of the hosts of a deployment share: virtual time and dispatchers. */
import * as tinyqueue from "tinyqueue";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Runs timers in the order of their times, without waiting. */
export class VirtualTime {
  readonly #timers = new tinyqueue.default<Timer>([], (a, b) => a.at - b.at);
  /** Time of the timer that runs, in ms. */
  now = 0;

  schedule(ms: number, run: () => void): void {
    this.#timers.push({ at: this.now + ms, run });
  }

  /** Runs all timers before a time. */
  run(until: number): void {
    for (
      let next = this.#timers.pop();
      next !== undefined && next.at < until;
      next = this.#timers.pop()
    ) {
      this.now = next.at;
      next.run();
    }
  }
}

/**
 * Creates the dispatcher of a simulated host of the users' platform.
 *
 * @example
 * const dispatcher = createDispatcher({ host: "h0", failureDomain: "d0", seed: 1 });
 */
export function createDispatcher(
  { host, failureDomain, seed, suspects, budget, mayTryParts }: {
    readonly host: string;
    readonly failureDomain: string;
    readonly seed: number;
    readonly suspects?: core.SuspectOptions;
    /** @default a token bucket */
    readonly budget?: core.RetryBudget;
    /** @default never */
    readonly mayTryParts?: () => boolean;
  },
): core.Dispatcher {
  return new core.Dispatcher({
    failureDomain,
    host,
    random: utils.createRandom(seed),
    preempts: false,
    minRetryAfterMs: 50,
    comparesPrompts: true,
    tracksLinks: true,
    ...(suspects && { suspects }),
    ...(budget && { budget }),
    ...(mayTryParts && { mayTryParts }),
  });
}

/**
 * Builds the configuration of a simulated host with one service.
 *
 * @example
 * buildConfiguration({ failureDomain: "d0", slots: 6, serves: "service" });
 */
export function buildConfiguration(
  changes: Pick<core.PoolPart, "failureDomain" | "slots" | "serves">,
): core.Configuration {
  return testing.buildConfiguration([
    testing.buildClass(1),
    { ...testing.POOL, ...changes },
  ]);
}
