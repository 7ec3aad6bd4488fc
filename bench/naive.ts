/**
 * The naive version to compare with: first come first served, round robin,
 * everything straight into the engines' own queues, every failure of a
 * repeatable request tried again at once.
 */
import * as core from "@banyangrade/core";

/** Tries of one request. */
const MAX_ATTEMPTS = 4;

interface Running {
  readonly request: core.Request;
  readonly attempt: number;
  readonly server: string;
}

/** What the bench drives: the real dispatcher or the naive one. */
export interface Policy {
  readonly handle: (
    event: core.DispatchEvent,
    now: number,
  ) => core.DispatchEffect[];
  readonly listDemand: () => core.PoolDemand[];
}

/** Dispatches without looking. */
export class NaiveDispatcher implements Policy {
  readonly #running = new Map<string, Running>();
  #servers: readonly core.ServerInfo[] = [];
  #pools: ReadonlyMap<string, core.PoolPart> = new Map();
  #next = 0;

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
        return this.#tryAgain(event);
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
    this.#next += 1;
    const server = usable[this.#next % usable.length];
    this.#running.set(request.id, { request, attempt, server: server.name });
    return [{ kind: "start", request, attempt, server, offset: 0 }];
  }

  #tryAgain(
    event: Extract<core.DispatchEvent, { kind: "failed" }>,
  ): core.DispatchEffect[] {
    const one = this.#running.get(event.requestId);
    if (one === undefined || one.attempt !== event.attempt) return [];
    this.#running.delete(event.requestId);
    const again = one.request.repeatable && one.attempt < MAX_ATTEMPTS;
    return again
      ? this.#start(one.request, one.attempt + 1)
      : [this.#refuse(one.request, "backend_failed")];
  }

  #refuse(
    request: core.Request,
    code: core.RefusalCode,
  ): core.DispatchEffect {
    const refusal = core.buildRefusal({ code, ran: "unknown" });
    return { kind: "refuse", requestId: request.id, refusal };
  }
}
