/**
 * Admits callers' HTTP requests: checks the route, the API key and the limits,
 * picks a service and opens an exchange for the request.
 */
import * as core from "@banyangrade/core";
import type * as listener from "@banyangrade/listener";
import * as utils from "@banyangrade/utils";
import * as unexpectedErrors from "../unexpected_errors.ts";
import * as admissionRefusals from "./admission_refusals.ts";
import type * as clusterStateTask from "./cluster_state_task.ts";
import type * as heldBytesModule from "./held_bytes.ts";
import * as ingress from "./ingress.ts";
import type * as platformInterface from "./platform_interface.ts";
import * as refusalResponse from "./refusal_response.ts";
import * as requestExchange from "./request_exchange.ts";
import type * as startupWaits from "./startup_waits.ts";
import * as takenStreams from "./taken_streams.ts";

/** Share of the caller's timeout that a request may spend in the queue. */
const QUEUE_SHARE = 0.4;

/** Options of {@link RequestHandler}. */
export interface RequestHandlerOptions extends requestExchange.ExchangeContext {
  readonly belief: clusterStateTask.ClusterStateTask;
  /** Whether the host is draining and no longer accepts requests. */
  readonly isClosed: () => boolean;
  readonly isDraining: () => boolean;
  /** Whether the host takes requests of other hosts. */
  readonly takesHandovers: () => boolean;
  readonly startupWaits: startupWaits.StartupWaits;
  readonly clientGuard: Pick<listener.ClientGuard, "isFull">;
  readonly random: utils.Random;
  /** Region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;
}

/** Event loop delay from which a caller may have disconnected before its request is read, in ms; below the timeout of any caller. */
const LATE_LOOP_MS = 100;

/** A request that arrived. */
interface Arrival {
  readonly incoming: ingress.IncomingRequest;
  readonly head: platformInterface.RequestHead;
  readonly arrivedAt: number;
}

/** A request that passed admission. */
interface AdmittedRequest extends Arrival {
  /** Later than the arrival for a request that waited for the host's first state or for its body. */
  readonly admittedAt: number;
  readonly head: platformInterface.RequestHead & { readonly requestId: string };
  readonly table: core.RouteTable;
  readonly route: core.Route;
  readonly grant: core.CustomerIdentity | undefined;
}

/** Handles callers' requests. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  #pending = 0;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Returns the number of accepted requests that are neither opened nor refused yet. */
  countPending(): number {
    return this.#pending;
  }

  /** Admits a request and opens an exchange for it, or refuses it, `waitedMs` after its head was read. */
  handle(incoming: ingress.IncomingRequest, waitedMs = 0): void {
    const arrivedAt = this.#options.clock.now() - waitedMs;
    try {
      const head = this.#options.wire.readRequestHead(incoming.headers);
      this.#handleArrival({ incoming, head, arrivedAt });
    } catch (thrown) {
      this.#fail({ incoming, arrivedAt }, { step: "request.admit", thrown });
    }
  }

  /** Refuses a request whose handling threw before an exchange was opened for it, so that it has not run. */
  #fail(
    { incoming, head }: Omit<Arrival, "head"> & Partial<Arrival>,
    { step, thrown }: utils.UnexpectedError,
  ): void {
    const requestId = head?.requestId;
    const error = { step, thrown, requestId };
    unexpectedErrors.reportUnexpected(this.#options, error);
    if (incoming.answer.isEnded()) return;
    const refusal = admissionRefusals.buildInternalError();
    this.#options.metrics.recordRefusal(refusal);
    refusalResponse.sendRefusal(incoming.answer, { refusal, requestId });
  }

  #handleArrival(arrival: Arrival): void {
    const { incoming } = arrival;
    if (incoming.handover !== undefined) {
      return this.#takeHandover(arrival, incoming.handover);
    }
    if (!this.#waitForFirstState(arrival)) this.#accept(arrival);
  }

  /** Accepts a request of another host, or declines it at once. */
  #takeHandover(arrival: Arrival, handover: ingress.Handover): void {
    const { metrics, takesHandovers } = this.#options;
    if (!takesHandovers()) {
      return this.#refuse(arrival.incoming, {
        head: arrival.head,
        refusal: admissionRefusals.buildHandover(),
      });
    }
    metrics.recordHandover("taken");
    const arrivedAt = arrival.arrivedAt - handover.elapsedMs;
    this.#accept({ ...arrival, arrivedAt });
  }

  /** Lets a request wait if the host has not had its first state yet; returns false if the request must not wait. */
  #waitForFirstState(arrival: Arrival): boolean {
    const { belief, startupWaits, isClosed } = this.#options;
    if (belief.hasHadState() || isClosed()) return false;
    return startupWaits.add({
      deadlineMs: arrival.head.deadlineMs,
      headerBytes: countHeaderBytes(arrival.incoming),
      onDisconnect: arrival.incoming.onDisconnect,
      onEnd: (outcome) => this.#endWait(arrival, outcome),
    });
  }

  #endWait(arrival: Arrival, outcome: startupWaits.WaitOutcome): void {
    try {
      this.#applyOutcome(arrival, outcome);
    } catch (thrown) {
      this.#fail(arrival, { step: "request.wait", thrown });
    }
  }

  #applyOutcome(arrival: Arrival, outcome: startupWaits.WaitOutcome): void {
    switch (outcome) {
      case "served":
        return this.#accept(arrival);
      case "refused":
        // Parts of the state may have arrived, which suffice for some requests.
        if (!this.#options.isDraining()) return this.#accept(arrival);
        return this.#refuse(arrival.incoming, {
          head: arrival.head,
          refusal: admissionRefusals.buildDraining(),
        });
      case "left":
        return this.#recordCallerLeft(arrival, { stage: "waiting" });
    }
  }

  #accept(arrival: Arrival): void {
    const { incoming, head } = arrival;
    const admitted = this.#admit(arrival);
    if (admitted.err) {
      return this.#refuse(incoming, { head, refusal: admitted.val });
    }
    this.#pending += 1;
    utils.runDetached(
      () =>
        this.#readAndOpen(admitted.val).finally(() => {
          this.#pending -= 1;
        }),
      (thrown) => this.#fail(arrival, { step: "request.read", thrown }),
    );
  }

  #admit(arrival: Arrival): utils.Result<AdmittedRequest, core.Refusal> {
    const { belief, clock } = this.#options;
    const { incoming, head } = arrival;
    const { requestId } = head;
    if (this.#options.isClosed()) {
      return utils.Err(admissionRefusals.buildDraining());
    }
    if (this.#options.clientGuard.isFull()) {
      return utils.Err(admissionRefusals.buildPressed());
    }
    const table = belief.getTable();
    if (table === undefined) {
      return utils.Err(admissionRefusals.buildStale("configuration"));
    }
    if (requestId === undefined) {
      return utils.Err(admissionRefusals.buildRefusal("bad_request", {
        message: "The request has no identifier; send one with each request.",
      }));
    }
    const { host, path } = incoming;
    const route = core.findRoute(table, { host, path });
    // Another host may already know a route or key that is missing here, so only
    // a host with fresh data answers that it does not exist.
    if (route === undefined) {
      return utils.Err(
        belief.isFresh()
          ? admissionRefusals.buildRefusal("not_found")
          : admissionRefusals.buildStale("routes"),
      );
    }
    const grant = table.byKey.get(head.key ?? "");
    const keyless = route.anonymous ||
      table.configuration.customers === undefined;
    if (!keyless && !belief.isFresh()) {
      return utils.Err(admissionRefusals.buildStale("keys"));
    }
    if (!keyless && grant === undefined) {
      return utils.Err(admissionRefusals.buildRefusal("not_authenticated"));
    }
    return utils.Ok({
      ...arrival,
      admittedAt: clock.now(),
      head: { ...head, requestId },
      table,
      route,
      grant,
    });
  }

  async #readAndOpen(arrived: AdmittedRequest): Promise<void> {
    const { incoming, head, table } = arrived;
    const { maxBodyBytes, maxHeaderBytes } = table.configuration.limits;
    const isTooLarge = countHeaderBytes(incoming) > maxHeaderBytes ||
      ingress.readDeclaredBytes(incoming.headers) > maxBodyBytes;
    if (isTooLarge) {
      const refusal = admissionRefusals.buildRefusal("too_large");
      return this.#refuse(incoming, { head, refusal });
    }
    if (!await this.#waitForBody(arrived)) return;
    const { heldBytes, clock } = this.#options;
    const admitted = { ...arrived, admittedAt: clock.now() };
    const account = heldBytes.openAccount(incoming.holder, { kind: "request" });
    const read = await this.#readBody(admitted, { maxBodyBytes, account });
    heldBytes.endBody(incoming.holder);
    const isOpened = read.kind === "complete" &&
      await this.#openComplete(admitted, { body: read.body, account });
    if (!isOpened) account.close();
    switch (read.kind) {
      case "complete":
        return;
      case "left":
        return this.#recordLeftWhileReading(admitted);
      case "too_large": {
        const refusal = admissionRefusals.buildRefusal("too_large");
        return this.#refuse(incoming, { head, refusal });
      }
      case "shed":
        return this.#refuse(incoming, {
          head,
          refusal: admissionRefusals.buildPressed(),
        });
      case "late": {
        const refusal = core.buildRefusal({
          code: "deadline_exceeded",
          ran: "no",
          step: "caller.read",
          peer: "caller",
        });
        return this.#refuse(incoming, { head, refusal });
      }
    }
  }

  /** Waits until the body may be read; refuses the request and returns false if the host holds too many bytes or stops. */
  async #waitForBody(admitted: AdmittedRequest): Promise<boolean> {
    const { heldBytes, clock, isClosed } = this.#options;
    const { incoming, head, arrivedAt, table } = admitted;
    const { holder } = incoming;
    const bytes = getDeclaredBytes(incoming, table.configuration.limits);
    const level = heldBytes.getLevel();
    const isFull = level === "full" || level === "over";
    const maxMs = core.computeMaxBodyWait(head.deadlineMs) -
      (clock.now() - arrivedAt);
    const isGranted = !isFull &&
      await heldBytes.waitForBody({ holder, bytes, maxMs });
    if (isGranted && !isClosed()) return true;
    if (isGranted) heldBytes.endBody(holder);
    if (incoming.isDisconnected()) {
      this.#recordLeftWhileReading(admitted);
      return false;
    }
    const refusal = isClosed()
      ? admissionRefusals.buildDraining()
      : admissionRefusals.buildPressed();
    this.#refuse(incoming, { head, refusal });
    return false;
  }

  /**
   * Reads the body; if the limit of held bytes is in force, only until the caller's
   * deadline, and only while this body is not the largest of too many.
   */
  async #readBody(
    admitted: AdmittedRequest,
    { maxBodyBytes, account }: {
      readonly maxBodyBytes: number;
      readonly account: heldBytesModule.HeldAccount;
    },
  ): Promise<ingress.BodyResult | { readonly kind: "late" | "shed" }> {
    const { heldBytes, clock } = this.#options;
    const { incoming, arrivedAt } = admitted;
    let timer: NodeJS.Timeout | undefined;
    const given = new Promise<{ readonly kind: "late" | "shed" }>((resolve) => {
      if (!heldBytes.isEnabled()) return;
      const remainingMs = arrivedAt + getTimeoutMs(admitted) - clock.now();
      timer = setTimeout(() => resolve({ kind: "late" }), remainingMs);
      heldBytes.setShed(incoming.holder, () => {
        account.close();
        resolve({ kind: "shed" });
      });
    });
    const read = incoming.readBody(maxBodyBytes, account.add);
    const result = await Promise.race([read, given]);
    clearTimeout(timer);
    return result;
  }

  /** Opens an exchange for a complete request; returns false if its caller has disconnected or it was refused. */
  async #openComplete(
    admitted: AdmittedRequest,
    complete: {
      readonly body: Buffer;
      readonly account: heldBytesModule.HeldAccount;
    },
  ): Promise<boolean> {
    await this.#waitForPendingReads();
    const service = core.drawService(admitted.route, this.#options.random);
    const version = service === undefined
      ? undefined
      : await takenStreams.findVersion(this.#options, { ...admitted, service });
    if (admitted.incoming.isDisconnected()) {
      this.#recordLeftWhileReading(admitted);
      return false;
    }
    if (this.#options.isClosed()) {
      const { incoming, head } = admitted;
      this.#refuse(incoming, {
        head,
        refusal: admissionRefusals.buildDraining(),
      });
      return false;
    }
    return this.#openExchange(admitted, { ...complete, service, version });
  }

  /**
   * Lets pending socket reads finish while the event loop is late: a caller may
   * have closed its connection after the request, and that is not read yet.
   */
  async #waitForPendingReads(): Promise<void> {
    if (this.#options.dispatch.getLoopDelay() < LATE_LOOP_MS) return;
    await utils.waitForSocketPoll();
  }

  /** Returns false if the request was refused. */
  #openExchange(
    admitted: AdmittedRequest,
    { body, account, service, version }: {
      readonly body: Buffer;
      readonly account: heldBytesModule.HeldAccount;
      readonly service: string | undefined;
      /** Version that began the stream that the caller takes up; undefined if it begins one. */
      readonly version: core.StreamVersion | undefined;
    },
  ): boolean {
    const { incoming, head, table, arrivedAt } = admitted;
    if (version?.kind === "unknown") {
      const refusal = admissionRefusals.buildOriginUnknown();
      this.#refuse(incoming, { head, refusal });
      return false;
    }
    if (service === undefined) {
      const refusal = admissionRefusals.buildRefusal("no_capacity");
      this.#refuse(incoming, { head, refusal });
      return false;
    }
    const isCut = incoming.handover !== undefined &&
      this.#options.dispatch.hasLostLinks(service);
    if (isCut) {
      this.#refuse(incoming, {
        head,
        refusal: admissionRefusals.buildHandover(),
      });
      return false;
    }
    const software = version?.software;
    const request = this.#buildRequest(admitted, { service, body, software });
    requestExchange.openExchange(this.#options, {
      incoming,
      head,
      body,
      bodyAccount: account,
      request,
      table,
      route: admitted.route,
      open: admitted.route.anonymous || admitted.grant === undefined,
      deadlineAt: arrivedAt + getTimeoutMs(admitted),
    });
    return true;
  }

  #recordLeftWhileReading(admitted: AdmittedRequest): void {
    const route = admitted.route.name;
    this.#recordCallerLeft(admitted, { stage: "reading", route });
  }

  /** Records that the caller disconnected before its request was opened. */
  #recordCallerLeft(
    { head, arrivedAt }: Arrival,
    { stage, route }: {
      readonly stage: "waiting" | "reading";
      readonly route?: string;
    },
  ): void {
    const { log, metrics, dispatch, clock } = this.#options;
    metrics.recordCallerLeft(stage);
    log.info({
      requestId: head.requestId,
      route,
      stage,
      totalMs: Math.round(clock.now() - arrivedAt),
      loopDelayMs: Math.round(dispatch.getLoopDelay()),
    }, "Caller left.");
  }

  #buildRequest(
    admitted: AdmittedRequest,
    { service, body, software }: {
      readonly service: string;
      readonly body: Buffer;
      readonly software: string | undefined;
    },
  ): core.Request {
    const { head, route, grant, arrivedAt, admittedAt, incoming } = admitted;
    const customer = grant?.customer ?? "";
    const queueMs = Math.min(
      route.targetLatencyMs,
      QUEUE_SHARE * getTimeoutMs(admitted),
    );
    return {
      // Callers choose their own request identifiers, which need not be unique.
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
      parts: core.listSharedParts(head.parts.map(({ id }) => id)),
      fingerprint: utils.computeDigest(
        `${incoming.path}\n${customer}\n${body.toString("latin1")}`,
      ),
      repeatable: core.isRepeatable(route),
      arrivedAt,
      // The waits for the first state and for the body must not count as time in the
      // queue: a short target would be over before the request could be dispatched.
      startBy: admittedAt + queueMs,
      queueMs,
      targetMs: route.targetLatencyMs,
      targetBetweenMs: route.targetGapMs > 0
        ? route.targetGapMs
        : Number.POSITIVE_INFINITY,
      weight: 1,
      maxAttempts: Math.max(
        1,
        route.maxAttempts - (incoming.handover?.sent ?? 0),
      ),
      handedOver: incoming.handover !== undefined,
      resumable: route.kind === "stream" && route.resumable,
      ...(software !== undefined && { software }),
      allowedDomains: core.listAllowedDomains({
        route,
        customer: grant,
        regions: this.#options.regions,
      }),
    };
  }

  #refuse(
    incoming: ingress.IncomingRequest,
    { head, refusal }: {
      readonly head: platformInterface.RequestHead;
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
      proofAgeMs: belief.getProofAge(),
    }, "Request refused.");
    refusalResponse.sendRefusal(incoming.answer, { refusal, requestId });
  }
}

/** Returns the shorter of the caller's deadline and the route's timeout, in ms. */
function getTimeoutMs({ head, route }: AdmittedRequest): number {
  return Math.min(head.deadlineMs ?? route.timeoutMs, route.timeoutMs);
}

/**
 * Returns the last part of a prompt that other requests may share: the subject
 * or session. The router uses it to send these requests to the same server,
 * which has the part in its cache.
 */
function findSharedPart(
  parts: readonly platformInterface.PromptPart[],
): string {
  return (parts.length > 1 ? parts[parts.length - 2] : parts[0])?.id ?? "";
}

/** Returns the declared size of a request body; for a body of unknown size, the largest that is accepted. */
function getDeclaredBytes(
  { headers }: ingress.IncomingRequest,
  { maxBodyBytes }: core.RoutingLimits,
): number {
  // Without either header a request has no body.
  const unknown = headers["transfer-encoding"] === undefined ? 0 : maxBodyBytes;
  return Math.min(Number(headers["content-length"] ?? unknown), maxBodyBytes);
}

/** Estimates the bytes of the request line and headers, accurately enough for a limit. */
function countHeaderBytes({ path, headers }: ingress.IncomingRequest): number {
  return Object.entries(headers).reduce(
    (sum, [name, value]) => sum + name.length + String(value).length + 4,
    path.length,
  );
}
