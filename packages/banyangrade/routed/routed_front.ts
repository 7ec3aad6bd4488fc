/** From a caller's HTTP request to an open request: route, key, customer, service. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as beliefTask from "./belief_task.ts";
import type * as ingress from "./ingress.ts";
import type * as ports from "./ports.ts";
import * as refusalAnswer from "./refusal_answer.ts";
import * as routedExchange from "./routed_exchange.ts";

/** When to come back to a host that has no word from the store, in ms: another host is likely to have it. */
const UNPROVED_RETRY_MS = 100;
/** When to come back to a host that is stopping, in ms: on a new connection, which leads elsewhere. */
const CLOSED_RETRY_MS = 50;
/** Part of the caller's time for which a request may wait for a server. */
const QUEUE_SHARE = 0.4;

/** Options of {@link RoutedFront}. */
export interface RoutedFrontOptions extends routedExchange.ExchangeContext {
  readonly belief: beliefTask.BeliefTask;
  /** Whether nothing more is taken; see the drain of the host. */
  readonly isClosed: () => boolean;
  readonly random: utils.Random;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
}

/** Delay of the event loop from which callers may have left before they are read, in ms: less than any caller's patience. */
const LATE_MS = 100;

/** A request that may be served. */
interface Admitted {
  readonly incoming: ingress.IncomingRequest;
  readonly arrivedAt: number;
  readonly head: ports.RequestHead & { readonly requestId: string };
  readonly table: core.RouteTable;
  readonly route: core.Route;
  readonly grant: core.RoutedGrant | undefined;
}

/** Turns callers' requests into work. */
export class RoutedFront {
  readonly #options: RoutedFrontOptions;

  constructor(options: RoutedFrontOptions) {
    this.#options = options;
  }

  /** Handles one request. */
  handle(incoming: ingress.IncomingRequest): void {
    const head = this.#options.wire.readRequest(incoming.headers);
    const admitted = this.#admit(incoming, head);
    if (admitted.err) {
      return this.#refuse(incoming, { head, refusal: admitted.val });
    }
    void this.#open(admitted.val);
  }

  #admit(
    incoming: ingress.IncomingRequest,
    head: ports.RequestHead,
  ): utils.Result<Admitted, core.Refusal> {
    const { belief, clock } = this.#options;
    const { requestId } = head;
    if (this.#options.isClosed()) {
      return utils.Err(core.buildRefusal({
        code: "draining",
        ran: "no",
        step: "caller.admit",
        waitMs: CLOSED_RETRY_MS,
        leastRetryMs: CLOSED_RETRY_MS,
      }));
    }
    const table = belief.getTable();
    if (table === undefined) return utils.Err(buildUnproved("configuration"));
    if (requestId === undefined) {
      return utils.Err(buildFrontRefusal("bad_request", {
        message: "The request has no identifier.",
      }));
    }
    const { host, path } = incoming;
    const route = core.findRoute(table, { host, path });
    // What this host does not know another one may; only who has recent word
    // may say that there is no such route or key.
    if (route === undefined) {
      return utils.Err(
        belief.isProved()
          ? buildFrontRefusal("not_found")
          : buildUnproved("routes"),
      );
    }
    const grant = table.byKey.get(head.key ?? "");
    const open = route.anonymous ||
      table.configuration.customers === undefined;
    if (!open && !belief.isProved()) return utils.Err(buildUnproved("keys"));
    if (!open && grant === undefined) {
      return utils.Err(buildFrontRefusal("not_authenticated"));
    }
    return utils.Ok({
      incoming,
      arrivedAt: clock.now(),
      head: { ...head, requestId },
      table,
      route,
      grant,
    });
  }

  async #open(admitted: Admitted): Promise<void> {
    const { incoming, head, table } = admitted;
    const { maxBodyBytes, maxHeaderBytes } = table.configuration.limits;
    if (countHeaderBytes(incoming) > maxHeaderBytes) {
      const refusal = buildFrontRefusal("too_large");
      return this.#refuse(incoming, { head, refusal });
    }
    const read = await incoming.readBody(maxBodyBytes);
    switch (read.kind) {
      case "left":
        return this.#recordLeft(admitted);
      case "too_large": {
        const refusal = buildFrontRefusal("too_large");
        return this.#refuse(incoming, { head, refusal });
      }
      case "whole":
        await this.#waitWhereLate();
        if (incoming.isGone()) return this.#recordLeft(admitted);
        return this.#openExchange(admitted, read.body);
    }
  }

  /** A host that is late may have read a request without the end of its connection, which came behind it. */
  async #waitWhereLate(): Promise<void> {
    if (this.#options.dispatch.getLoopDelay() < LATE_MS) return;
    await utils.waitForReads();
  }

  #openExchange(admitted: Admitted, body: Buffer): void {
    const { incoming, head, table, arrivedAt } = admitted;
    const service = core.drawService(admitted.route, this.#options.random);
    if (service === undefined) {
      const refusal = buildFrontRefusal("no_capacity");
      return this.#refuse(incoming, { head, refusal });
    }
    const request = this.#buildRequest(admitted, { service, body });
    routedExchange.openExchange(this.#options, {
      incoming,
      head,
      body,
      request,
      table,
      route: admitted.route,
      open: admitted.route.anonymous || admitted.grant === undefined,
      endsAt: arrivedAt + getPatience(admitted),
    });
  }

  /** Nobody waits for an answer any more. */
  #recordLeft({ head, route, arrivedAt }: Admitted): void {
    const { log, metrics, dispatch, clock } = this.#options;
    const stage = "reading";
    metrics.recordLeft(stage);
    log.info({
      requestId: head.requestId,
      route: route.name,
      stage,
      totalMs: Math.round(clock.now() - arrivedAt),
      loopDelayMs: Math.round(dispatch.getLoopDelay()),
    }, "Caller left.");
  }

  #buildRequest(
    admitted: Admitted,
    { service, body }: { readonly service: string; readonly body: Buffer },
  ): core.Request {
    const { head, route, grant, arrivedAt, incoming } = admitted;
    const customer = grant?.customer ?? "";
    const queueMs = Math.min(
      route.targetMs,
      QUEUE_SHARE * getPatience(admitted),
    );
    return {
      // Callers' identifiers are theirs to choose: two could be the same.
      id: utils.createId(),
      customer,
      keyId: head.key ?? "",
      className: route.name,
      tier: core.rankRequest(admitted.table, {
        customerTier: grant?.tier,
        routeTier: route.tier,
      }),
      target: service,
      kind: route.kind === "stream" ? "generate" : "call",
      pools: [],
      promptTokens: head.promptTokens,
      maxTokens: head.maxTokens,
      prefix: findSharedPart(head.parts),
      fingerprint: utils.computeDigest(
        `${incoming.path}\n${customer}\n${body.toString("latin1")}`,
      ),
      repeatable: core.isRepeatable(route),
      arrivedAt,
      startBy: arrivedAt + queueMs,
      targetMs: route.targetMs,
      targetBetweenMs: route.betweenMs > 0
        ? route.betweenMs
        : Number.POSITIVE_INFINITY,
      weight: 1,
      maxAttempts: route.maxAttempts,
      homes: core.listHomes({ route, grant, regions: this.#options.regions }),
    };
  }

  #refuse(
    incoming: ingress.IncomingRequest,
    { head, refusal }: {
      readonly head: ports.RequestHead;
      readonly refusal: core.Refusal;
    },
  ): void {
    const { belief, log, metrics } = this.#options;
    const { requestId } = head;
    metrics.recordRefusal(refusal);
    log.info({
      requestId,
      ...refusal,
      path: incoming.path,
      version: belief.getTable()?.configuration.version,
      proofAgeMs: belief.getAge(),
    }, "Request refused.");
    refusalAnswer.sendRefusal(incoming.answer, { refusal, requestId });
  }
}

/** Time until the caller, or the operators for it, no longer wait, in ms. */
function getPatience({ head, route }: Admitted): number {
  return Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
}

/**
 * Returns the last part of a prompt that other requests may share: the subject
 * or session. Requests about it do well to meet at one server.
 */
function findSharedPart(parts: readonly ports.PromptPart[]): string {
  return (parts.length > 1 ? parts[parts.length - 2] : parts[0])?.id ?? "";
}

/** Bytes of the head as the caller sent it, near enough for a limit. */
function countHeaderBytes({ path, headers }: ingress.IncomingRequest): number {
  return Object.entries(headers).reduce(
    (sum, [name, value]) => sum + name.length + String(value).length + 4,
    path.length,
  );
}

function buildFrontRefusal(
  code: core.RefusalCode,
  { message }: { readonly message?: string } = {},
): core.Refusal {
  return core.buildRefusal({ code, ran: "no", step: "caller.admit", message });
}

function buildUnproved(what: string): core.Refusal {
  return core.buildRefusal({
    code: "store_unavailable",
    ran: "no",
    step: "caller.admit",
    peer: "store",
    waitMs: UNPROVED_RETRY_MS,
    leastRetryMs: UNPROVED_RETRY_MS,
    message: `This host has had no recent word from the store of its ${what}.`,
  });
}
