/** Authenticates and authorises callers' HTTP requests and opens them at the dispatcher. */
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as unexpectedErrors from "./unexpected_errors.ts";
import * as authenticatedRequest from "./authenticated_request.ts";
import * as serviceCallHandler from "./service_call_handler.ts";
import * as generateExchange from "./generate_exchange.ts";

/** Header with which a caller selects one of the classes that its key allows. */
const CLASS_HEADER = "x-class";

/** Options of {@link CallerRequestHandler}. */
export interface CallerRequestHandlerOptions
  extends serviceCallHandler.ServiceCallHandlerOptions {
  /** Whether the list of withdrawn keys is recent enough for keys to be accepted. */
  readonly isFresh: () => boolean;
}

/** Handles the requests of callers. */
export class CallerRequestHandler {
  readonly #options: CallerRequestHandlerOptions;
  readonly #serviceCalls: serviceCallHandler.ServiceCallHandler;

  constructor(options: CallerRequestHandlerOptions) {
    this.#options = options;
    this.#serviceCalls = new serviceCallHandler.ServiceCallHandler(options);
  }

  /** Runs an operation that another host forwarded because this host issued its ticket. */
  runTicket(message: peer.TicketMessage): Promise<peer.TicketResponse> {
    return this.#serviceCalls.runTicket(message);
  }

  /** Checks a request's key before its body is read; sends the refusal and returns false if the key is refused. */
  acceptHead(head: caller.CallerHead): boolean {
    const accepted = this.#verifyKey(head);
    if (accepted.ok) return true;
    const refusal = accepted.val;
    authenticatedRequest.refuseBeforeClaim(this.#options, { head, refusal });
    return false;
  }

  /**
   * Handles one request of a caller. The key is checked a second time, because it
   * may have been withdrawn while the body was received.
   */
  handle(incoming: caller.CallerRequest): void {
    const checked = this.#verifyKey(incoming);
    if (checked.err) {
      return authenticatedRequest.refuseBeforeClaim(this.#options, {
        head: incoming,
        refusal: checked.val,
      });
    }
    const accepted = { ...checked.val, incoming };
    const { route } = incoming;
    switch (route.kind) {
      case "models":
        return this.#listModels(accepted);
      case "ticket":
        return this.#issueTicket(accepted);
      case "generate":
        return this.#openGeneration(accepted, route.api);
      case "call":
        return this.#call(accepted, route);
    }
  }

  /** Runs a call; if that throws, the caller is told that it may have run. */
  #call(
    accepted: authenticatedRequest.AuthenticatedRequest,
    route: Extract<caller.Route, { kind: "call" }>,
  ): void {
    const { answer } = accepted.incoming;
    utils.runDetached(
      () => this.#serviceCalls.call(accepted, route),
      (thrown) => {
        const step = "caller.call";
        const context = this.#options;
        unexpectedErrors.reportUnexpected(context, { step, thrown });
        const code = "internal_error";
        answer.refuse(core.buildRefusal({ code, ran: "unknown", step }));
      },
    );
  }

  #verifyKey(
    head: caller.CallerHead,
  ): utils.Result<authenticatedRequest.AuthenticatedHead, core.Refusal> {
    const configuration = this.#options.getConfiguration();
    const secret = caller.getPresentedKey(head.headers) ?? "";
    const grant = core.findGrant(configuration, secret);
    if (grant === undefined || this.#options.isWithdrawn(grant.key.name)) {
      return utils.Err(
        authenticatedRequest.buildKeyRefusal("not_authenticated"),
      );
    }
    if (!this.#options.isFresh()) {
      return utils.Err(core.buildRefusal({
        code: "store_unavailable",
        ran: "no",
        step: "caller.authenticate",
        peer: "store",
        waitMs: 10_000,
        message:
          "This host's list of withdrawn keys is out of date, so it cannot verify the key; retry later.",
      }));
    }
    const asked = head.headers[CLASS_HEADER];
    const part = core.resolveClass(grant, {
      asked: typeof asked === "string" ? asked : undefined,
      classes: configuration.classes,
    });
    if (part === undefined) {
      return utils.Err(authenticatedRequest.buildKeyRefusal("not_allowed"));
    }
    return utils.Ok({ secret, grant, part });
  }

  #refuse(head: caller.CallerHead, refusal: core.Refusal): void {
    authenticatedRequest.refuseRequest(this.#options, { head, refusal });
  }

  #listModels(
    { incoming, grant }: authenticatedRequest.AuthenticatedRequest,
  ): void {
    const engines = [...this.#options.getConfiguration().pools.values()]
      .filter((pool) => pool.serves === "engine")
      .flatMap((pool) => pool.targets);
    const data = [...new Set(engines)]
      .filter((name) => grant.customer.targets.includes(name))
      .map((id) => ({ id, object: "model", owned_by: "banyangrade" }));
    sendJson(incoming.answer, { object: "list", data });
  }

  #issueTicket(
    { incoming, grant }: authenticatedRequest.AuthenticatedRequest,
  ): void {
    const ticket = this.#options.ticketGuard.issue(grant.customer.name);
    sendJson(incoming.answer, { ticket });
  }

  #openGeneration(
    accepted: authenticatedRequest.AuthenticatedRequest,
    api: "chat" | "completion",
  ): void {
    const { incoming, secret, grant, part } = accepted;
    const { requestId } = incoming;
    const parsed = caller.parseGenerate(incoming.body, api);
    if (parsed.err) {
      return this.#refuse(incoming, buildParseRefusal(parsed.val));
    }
    const body = parsed.val;
    const refusal = authenticatedRequest.checkTarget(accepted, body.model);
    if (refusal !== undefined) return this.#refuse(incoming, refusal);
    const request = authenticatedRequest.buildRequest({
      requestId,
      customer: grant.customer,
      keyId: grant.key.name,
      part,
      target: body.model,
      fingerprint: utils.computeDigest(
        `${grant.customer.name}\n${incoming.body.toString("utf8")}`,
      ),
    }, this.#options.clock.now());
    generateExchange.openGeneration(this.#options, {
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
}

function buildParseRefusal(message: string): core.Refusal {
  const step = "caller.parse";
  return core.buildRefusal({ code: "bad_request", ran: "no", step, message });
}

function sendJson(answer: caller.CallerResponse, value: unknown): void {
  answer.send({
    status: 200,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value),
  });
}
