/** Handles calls of plain services; calls that are not idempotent and carry an idempotency key run at most once. */
import type * as undici from "undici";
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as authenticatedRequest from "./authenticated_request.ts";
import * as callExchange from "./call_exchange.ts";
import type * as exchange from "./exchange.ts";
import * as operationModule from "./operation.ts";
import type * as guard from "./operation_guard.ts";

/** Maximum length of an idempotency key, in characters. */
const MAX_KEY_LENGTH = 255;

/** Options of {@link ServiceCallHandler}. */
export interface ServiceCallHandlerOptions extends exchange.ExchangeContext {
  readonly agent: undici.Agent;
  readonly getConfiguration: () => core.Configuration;
  readonly isWithdrawn: (keyId: string) => boolean;
  readonly storeGuard: guard.StoreGuard;
  readonly ticketGuard: guard.TicketGuard;
}

/** Handles callers' calls of plain services. */
export class ServiceCallHandler {
  readonly #options: ServiceCallHandlerOptions;

  constructor(options: ServiceCallHandlerOptions) {
    this.#options = options;
  }

  /** Runs an operation that another host forwarded because this host issued its ticket. */
  async runTicket(message: peer.TicketMessage): Promise<peer.TicketResponse> {
    const configuration = this.#options.getConfiguration();
    const part = configuration.classes.get(message.className);
    const authorized = part !== undefined &&
      configuration.keys.has(message.keyId) &&
      !this.#options.isWithdrawn(message.keyId);
    if (!authorized) {
      return operationModule.toTicketAnswer({
        kind: "refused",
        // An earlier request with the same ticket may have run.
        refusal: core.buildRefusal({ code: "key_withdrawn", ran: "unknown" }),
      });
    }
    const body = Buffer.from(message.body, "base64");
    const outcome = await this.#options.ticketGuard.run({
      customer: message.customer,
      idempotencyKey: message.ticket,
      fingerprint: operationModule.computeFingerprint(message, body),
      run: () =>
        this.#runCall({
          ...message,
          body,
          requestId: utils.createId(),
          part,
        }),
    });
    return operationModule.toTicketAnswer(outcome);
  }

  /** Runs one call and answers its caller. */
  async call(
    accepted: authenticatedRequest.AuthenticatedRequest,
    route: Extract<caller.Route, { kind: "call" }>,
  ): Promise<void> {
    const { incoming } = accepted;
    const refusal = authenticatedRequest.checkTarget(accepted, route.service) ??
      checkIdempotencyKey(incoming);
    if (refusal !== undefined) {
      return authenticatedRequest.refuseBeforeClaim(this.#options, {
        head: incoming,
        refusal,
      });
    }
    const outcome = await this.#runGuarded(accepted, route);
    this.#sendOutcome(accepted, outcome);
  }

  #sendOutcome(
    { incoming }: authenticatedRequest.AuthenticatedRequest,
    outcome: guard.GuardOutcome | peer.TicketResponse,
  ): void {
    if (!("kind" in outcome)) {
      const body = Buffer.from(outcome.body, "base64");
      return incoming.answer.send({ ...outcome, body });
    }
    switch (outcome.kind) {
      case "whole":
        return incoming.answer.send(outcome.answer);
      case "repeated":
        return incoming.answer.send({
          status: outcome.answer.status,
          headers: {
            "content-type": outcome.answer.contentType,
            "idempotent-replayed": "true",
          },
          body: outcome.answer.body,
        });
      case "refused":
        return authenticatedRequest.refuseRequest(this.#options, {
          head: incoming,
          refusal: outcome.refusal,
        });
      case "left":
        return;
    }
  }

  async #runGuarded(
    accepted: authenticatedRequest.AuthenticatedRequest,
    route: Extract<caller.Route, { kind: "call" }>,
  ): Promise<guard.GuardOutcome | peer.TicketResponse> {
    const { incoming, secret, grant, part } = accepted;
    const { requestId } = incoming;
    const operation = {
      customer: grant.customer.name,
      keyId: grant.key.name,
      className: part.name,
      target: route.service,
      method: incoming.method,
      path: caller.removeKeyFromPath(route.path, secret),
      headers: caller.removeKeyFromHeaders(
        caller.getForwardableHeaders(incoming.headers),
        secret,
      ),
    };
    const body = caller.removeKeyFromBody(incoming.body, secret);
    const run = () =>
      this.#runCall({
        ...operation,
        body,
        requestId,
        part,
        onDisconnect: (callback) => incoming.answer.watchDisconnect(callback),
      });
    const idempotencyKey = getIdempotencyKey(incoming);
    const repeatable = this.#isRepeatable(route.service, incoming.method);
    if (repeatable || idempotencyKey === undefined) return await run();
    const guardedOperation = {
      customer: operation.customer,
      idempotencyKey,
      fingerprint: operationModule.computeFingerprint(operation, body),
      run,
    };
    const origin = core.parseTicket(idempotencyKey);
    if (origin === undefined) {
      return await this.#options.storeGuard.run(guardedOperation);
    }
    if (this.#options.ticketGuard.isOwn(origin)) {
      return await this.#options.ticketGuard.run(guardedOperation);
    }
    const forwarded = await this.#options.ticketGuard.forward(origin, {
      ...operation,
      ticket: idempotencyKey,
      body: body.toString("base64"),
    });
    return "status" in forwarded
      ? forwarded
      : { kind: "refused", refusal: forwarded };
  }

  #runCall(
    operation: {
      readonly requestId: string;
      readonly customer: string;
      readonly keyId: string;
      readonly part: core.ClassPart;
      readonly target: string;
      readonly method: string;
      readonly path: string;
      readonly headers: Readonly<Record<string, string | string[]>>;
      readonly body: Buffer;
      readonly onDisconnect?: (callback: () => void) => void;
    },
  ): Promise<callExchange.CallOutcome> {
    const customer = this.#options.getConfiguration().customers.get(
      operation.customer,
    );
    if (customer === undefined) {
      const refusal = authenticatedRequest.buildKeyRefusal("not_authenticated");
      return Promise.resolve({ kind: "refused", refusal });
    }
    const request = authenticatedRequest.buildRequest({
      ...operation,
      customer,
      fingerprint: operationModule.computeFingerprint(
        operation,
        operation.body,
      ),
    }, this.#options.clock.now());
    const repeatable = this.#isRepeatable(operation.target, operation.method);
    return callExchange.runCall(this.#options, {
      ...operation,
      agent: this.#options.agent,
      request: {
        ...request,
        kind: "call",
        promptTokens: 0,
        maxTokens: 0,
        prefix: "",
        repeatable,
      },
    });
  }

  #isRepeatable(service: string, method: string): boolean {
    const part = this.#options.getConfiguration().services.get(service);
    return part?.repeatable.includes(method) ?? false;
  }
}

function getIdempotencyKey(
  incoming: caller.CallerRequest,
): string | undefined {
  const key = incoming.headers["idempotency-key"];
  return typeof key === "string" ? key : undefined;
}

function checkIdempotencyKey(
  incoming: caller.CallerRequest,
): core.Refusal | undefined {
  const key = getIdempotencyKey(incoming);
  if (key === undefined) return undefined;
  if (key.length > 0 && key.length <= MAX_KEY_LENGTH) return undefined;
  return core.buildRefusal({
    code: "bad_request",
    ran: "no",
    step: "caller.parse",
    message:
      `The Idempotency-Key header must have 1 to ${MAX_KEY_LENGTH} characters.`,
  });
}
