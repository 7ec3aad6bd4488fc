/** From a caller's HTTP request to an open request: key, class, target, guard. */
import * as undici from "undici";
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as callExchange from "./call_exchange.ts";
import * as exchange from "./exchange.ts";
import * as generateExchange from "./generate_exchange.ts";
import * as operationModule from "./operation.ts";
import * as guard from "./operation_guard.ts";

/** Header by which a caller asks for one of its key's classes. */
const CLASS_HEADER = "x-class";
/** Longest idempotency key, in characters. */
const MAX_IDEMPOTENCY_KEY = 255;

/** Options of {@link Front}. */
export interface FrontOptions extends exchange.ExchangeContext {
  readonly agent: undici.Agent;
  readonly getConfiguration: () => core.Configuration;
  readonly isWithdrawn: (keyId: string) => boolean;
  /** Whether word of withdrawn keys is recent enough to trust keys. */
  readonly isFresh: () => boolean;
  readonly storeGuard: guard.StoreGuard;
  readonly ticketGuard: guard.TicketGuard;
}

/** What a request's headers grant. */
interface Checked {
  readonly secret: string;
  readonly grant: core.KeyGrant;
  readonly part: core.ClassPart;
}

/** A caller's request whose key was accepted. */
interface Accepted extends Checked {
  readonly incoming: caller.CallerRequest;
}

/** Turns callers' requests into work. */
export class Front {
  readonly #options: FrontOptions;

  constructor(options: FrontOptions) {
    this.#options = options;
  }

  /** Checks a caller's key before its body is read; answers if it is refused. */
  acceptHead(head: caller.CallerHead): boolean {
    const accepted = this.#accept(head);
    if (accepted.ok) return true;
    this.#refuseUnclaimed(head, accepted.val);
    return false;
  }

  /**
   * Handles one request of a caller. The key is checked again: it may have been
   * withdrawn while a slow caller sent the body.
   */
  handle(incoming: caller.CallerRequest): void {
    const checked = this.#accept(incoming);
    if (checked.err) return this.#refuseUnclaimed(incoming, checked.val);
    const accepted = { ...checked.val, incoming };
    const { route } = incoming;
    switch (route.kind) {
      case "models":
        return this.#listModels(accepted);
      case "ticket":
        return this.#issueTicket(accepted);
      case "generate":
        return this.#generate(accepted, route.api);
      case "call":
        return void this.#call(accepted, route);
    }
  }

  /** Runs an operation that another host forwarded with this host's ticket. */
  async runTicket(message: peer.TicketMessage): Promise<peer.TicketAnswer> {
    const configuration = this.#options.getConfiguration();
    const part = configuration.classes.get(message.className);
    const known = part !== undefined && configuration.keys.has(message.keyId) &&
      !this.#options.isWithdrawn(message.keyId);
    if (!known) {
      return operationModule.toTicketAnswer({
        kind: "refused",
        // An earlier sending of the ticket may have run.
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

  /** Refuses what was not looked up among earlier sendings. */
  #refuseUnclaimed(head: caller.CallerHead, refusal: core.Refusal): void {
    const keyed = caller.isKeyedCall(head);
    this.#refuse(head, keyed ? core.clearUnproven(refusal) : refusal);
  }

  #refuse(head: caller.CallerHead, refusal: core.Refusal): void {
    const { answer, requestId } = head;
    exchange.refuseCaller(this.#options, { answer, refusal, requestId });
  }

  #accept(head: caller.CallerHead): utils.Result<Checked, core.Refusal> {
    const configuration = this.#options.getConfiguration();
    const secret = caller.getPresentedKey(head.headers) ?? "";
    const grant = core.findGrant(configuration, secret);
    if (grant === undefined || this.#options.isWithdrawn(grant.key.name)) {
      return utils.Err(buildKeyRefusal("not_authenticated"));
    }
    if (!this.#options.isFresh()) {
      return utils.Err(core.buildRefusal({
        code: "store_unavailable",
        ran: "no",
        step: "caller.authenticate",
        peer: "store",
        waitMs: 10_000,
        message: "This host has had no word of withdrawn keys for too long.",
      }));
    }
    const asked = head.headers[CLASS_HEADER];
    const part = core.resolveClass(grant, {
      asked: typeof asked === "string" ? asked : undefined,
      classes: configuration.classes,
    });
    if (part === undefined) return utils.Err(buildKeyRefusal("not_allowed"));
    return utils.Ok({ secret, grant, part });
  }

  #listModels({ incoming, grant }: Accepted): void {
    const engines = [...this.#options.getConfiguration().pools.values()]
      .filter((pool) => pool.serves === "engine")
      .flatMap((pool) => pool.targets);
    const data = [...new Set(engines)]
      .filter((name) => grant.customer.targets.includes(name))
      .map((id) => ({ id, object: "model", owned_by: "banyangrade" }));
    sendJson(incoming.answer, { object: "list", data });
  }

  #issueTicket({ incoming, grant }: Accepted): void {
    const ticket = this.#options.ticketGuard.issue(grant.customer.name);
    sendJson(incoming.answer, { ticket });
  }

  #generate(accepted: Accepted, api: "chat" | "completion"): void {
    const { incoming, secret, grant, part } = accepted;
    const { requestId } = incoming;
    const parsed = caller.parseGenerate(incoming.body, api);
    if (parsed.err) {
      const refusal = core.buildRefusal({
        code: "bad_request",
        ran: "no",
        step: "caller.parse",
        message: parsed.val,
      });
      return this.#refuse(incoming, refusal);
    }
    const body = parsed.val;
    const denied = this.#checkTarget(accepted, body.model);
    if (denied !== undefined) return this.#refuse(incoming, denied);
    const request = this.#buildRequest({
      requestId,
      customer: grant.customer,
      keyId: grant.key.name,
      part,
      target: body.model,
      fingerprint: utils.computeDigest(
        `${grant.customer.name}\n${incoming.body.toString("utf8")}`,
      ),
    });
    generateExchange.openGenerate(this.#options, {
      agent: this.#options.agent,
      request: {
        ...request,
        kind: "generate",
        promptTokens: body.promptTokens,
        maxTokens: body.maxTokens,
        prefix: body.prefix,
        repeatable: true,
      },
      part,
      api,
      stream: body.stream,
      body: caller.removeKeyFromJson(body.value, secret) as Record<
        string,
        unknown
      >,
      answer: incoming.answer,
    });
  }

  async #call(
    accepted: Accepted,
    route: Extract<caller.Route, { kind: "call" }>,
  ): Promise<void> {
    const { incoming } = accepted;
    const denied = this.#checkTarget(accepted, route.service) ??
      checkIdempotencyKey(incoming);
    if (denied !== undefined) return this.#refuseUnclaimed(incoming, denied);
    const outcome = await this.#runGuarded(accepted, route);
    this.#sendOutcome(accepted, outcome);
  }

  #sendOutcome(
    { incoming }: Accepted,
    outcome: guard.GuardOutcome | peer.TicketAnswer,
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
        return this.#refuse(incoming, outcome.refusal);
      case "left":
        return;
    }
  }

  async #runGuarded(
    accepted: Accepted,
    route: Extract<caller.Route, { kind: "call" }>,
  ): Promise<guard.GuardOutcome | peer.TicketAnswer> {
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
        caller.keepHeaders(incoming.headers),
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
        onLeft: (callback) => incoming.answer.watchLeft(callback),
      });
    const idempotencyKey = getIdempotencyKey(incoming);
    const repeatable = this.#isRepeatable(route.service, incoming.method);
    if (repeatable || idempotencyKey === undefined) return await run();
    const guarded = {
      customer: operation.customer,
      idempotencyKey,
      fingerprint: operationModule.computeFingerprint(operation, body),
      run,
    };
    const origin = core.parseTicket(idempotencyKey);
    if (origin === undefined) {
      return await this.#options.storeGuard.run(guarded);
    }
    if (this.#options.ticketGuard.isOwn(origin)) {
      return await this.#options.ticketGuard.run(guarded);
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
      readonly onLeft?: (callback: () => void) => void;
    },
  ): Promise<callExchange.CallOutcome> {
    const customer = this.#options.getConfiguration().customers.get(
      operation.customer,
    );
    if (customer === undefined) {
      const refusal = buildKeyRefusal("not_authenticated");
      return Promise.resolve({ kind: "refused", refusal });
    }
    const request = this.#buildRequest({
      ...operation,
      customer,
      fingerprint: operationModule.computeFingerprint(
        operation,
        operation.body,
      ),
    });
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

  #checkTarget(accepted: Accepted, target: string): core.Refusal | undefined {
    if (accepted.grant.customer.targets.includes(target)) return undefined;
    return core.buildRefusal({
      code: "not_found",
      ran: "no",
      step: "caller.authorize",
      message: `The key grants nothing named "${target.slice(0, 80)}".`,
    });
  }

  #buildRequest(
    options: {
      readonly requestId: string;
      readonly customer: core.CustomerPart;
      readonly keyId: string;
      readonly part: core.ClassPart;
      readonly target: string;
      readonly fingerprint: string;
    },
  ) {
    const now = this.#options.clock.now();
    return {
      id: options.requestId,
      customer: options.customer.name,
      keyId: options.keyId,
      className: options.part.name,
      tier: options.part.tier,
      target: options.target,
      pools: options.customer.pools,
      fingerprint: options.fingerprint,
      arrivedAt: now,
      startBy: now + options.part.queueMs,
      targetMs: options.part.firstTokenMs,
      targetBetweenMs: options.part.betweenTokensMs,
      weight: options.customer.weight,
    };
  }
}

function buildKeyRefusal(
  code: "not_authenticated" | "not_allowed",
): core.Refusal {
  return core.buildRefusal({ code, ran: "no", step: "caller.authenticate" });
}

function sendJson(answer: caller.CallerAnswer, value: unknown): void {
  answer.send({
    status: 200,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value),
  });
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
  if (key.length > 0 && key.length <= MAX_IDEMPOTENCY_KEY) return undefined;
  return core.buildRefusal({
    code: "bad_request",
    ran: "no",
    step: "caller.parse",
    message: `An Idempotency-Key has 1 to ${MAX_IDEMPOTENCY_KEY} characters.`,
  });
}
