/** Keeps recent refusals, so that operators can look up why a request was refused. */
import * as lru from "lru-cache";
import type * as core from "@banyangrade/core";

/** Maximum number of refusals that a host keeps. */
const MAX_REFUSALS = 2_000;

/** The most recent refusals by request identifier. */
export class RecentRefusals {
  readonly #refusals = new lru.LRUCache<string, core.Refusal>({
    max: MAX_REFUSALS,
  });

  add(requestId: string, refusal: core.Refusal): void {
    this.#refusals.set(requestId, refusal);
  }

  find(requestId: string): core.Refusal | undefined {
    return this.#refusals.get(requestId);
  }
}
