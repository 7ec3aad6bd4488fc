/** Refusals of late, so that an operator can ask why a request was refused. */
import * as lru from "lru-cache";
import type * as core from "@banyangrade/core";

/** Refusals remembered at one host. */
const MAX_REFUSALS = 2_000;

/** Remembers the last refusals by request. */
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
