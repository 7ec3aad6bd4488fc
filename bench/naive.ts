/**
 * The naive baseline: sends each request on arrival to the next server by round
 * robin, leaves queueing to the engines and retries a failed repeatable request
 * immediately.
 */
import * as core from "@banyangrade/core";

/** Maximum number of attempts of one request. */
const MAX_ATTEMPTS = 4;

interface Running {
  readonly request: core.Request;
  readonly attempt: number;
  readonly server: string;
}

/** A dispatcher under test: the real one or the naive baseline. */
export interface Policy {
  readonly handle: (
    event: core.DispatchEvent,
    now: number,
  ) => core.DispatchEffect[];
  readonly listDemand: () => core.PoolDemand[];
}

/** Dispatches requests without regard to load, tiers or deadlines. */
export class NaiveDispatcher implements Policy {
  readonly #running = new Map<string, Running>();
  #servers: readonly core.ServerInfo[] = [];
  #pools: ReadonlyMap<string, core.PoolPart> = new Map();
  #nextIndex = 0;

  listDemand(): core.PoolDemand[] {
    return [];
  }

  handle(event: core.DispatchEvent): core.DispatchEffect[] {
    switch (event.kind) {
      case "configured":
        this.#pools = event.configuration.pools;
        return [];
      case "servers_changed":
        this.#servers = event.servers;
        return [];
      case "arrived":
        return this.#start(event.request, 1);
      case "finished":
        this.#running.delete(event.requestId);
        return [];
      case "failed":
        return this.#repeatFailed(event);
      case "cancelled":
        this.#running.delete(event.requestId);
        return [];
      default:
        return [];
    }
  }

  #start(request: core.Request, attempt: number): core.DispatchEffect[] {
    const usable = this.#servers.filter((server) =>
      server.state === "live" &&
      this.#pools.get(server.pool)?.targets.includes(request.target)
    );
    if (usable.length === 0) {
      return [this.#refuse(request, "no_capacity")];
    }
    this.#nextIndex += 1;
    const server = usable[this.#nextIndex % usable.length];
    this.#running.set(request.id, { request, attempt, server: server.name });
    return [{ kind: "start", request, attempt, server, offset: 0 }];
  }

  #repeatFailed(
    event: Extract<core.DispatchEvent, { kind: "failed" }>,
  ): core.DispatchEffect[] {
    const failed = this.#running.get(event.requestId);
    if (failed === undefined || failed.attempt !== event.attempt) return [];
    this.#running.delete(event.requestId);
    const mayRepeat = failed.request.repeatable &&
      failed.attempt < MAX_ATTEMPTS;
    return mayRepeat
      ? this.#start(failed.request, failed.attempt + 1)
      : [this.#refuse(failed.request, "backend_failed")];
  }

  #refuse(
    request: core.Request,
    code: core.RefusalCode,
  ): core.DispatchEffect {
    const refusal = core.buildRefusal({ code, ran: "unknown" });
    return { kind: "refuse", requestId: request.id, refusal };
  }
}
