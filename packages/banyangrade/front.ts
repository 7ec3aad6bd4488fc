/** From a caller's HTTP request to an open request: key, class, target. */
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as acceptedModule from "./accepted.ts";
import * as callFront from "./call_front.ts";
import * as generateExchange from "./generate_exchange.ts";

/** Header by which a caller asks for one of its key's classes. */
const CLASS_HEADER = "x-class";

/** Options of {@link Front}. */
export interface FrontOptions extends callFront.CallFrontOptions {
  /** Whether word of withdrawn keys is recent enough to trust keys. */
  readonly isFresh: () => boolean;
}

/** Turns callers' requests into work. */
export class Front {
  readonly #options: FrontOptions;
  readonly #calls: callFront.CallFront;

  constructor(options: FrontOptions) {
    this.#options = options;
    this.#calls = new callFront.CallFront(options);
  }

  /** Runs an operation that another host forwarded with this host's ticket. */
  runTicket(message: peer.TicketMessage): Promise<peer.TicketAnswer> {
    return this.#calls.runTicket(message);
  }

  /** Checks a caller's key before its body is read; answers if it is refused. */
  acceptHead(head: caller.CallerHead): boolean {
    const accepted = this.#accept(head);
    if (accepted.ok) return true;
    const refusal = accepted.val;
    acceptedModule.refuseUnclaimed(this.#options, { head, refusal });
    return false;
  }

  /**
   * Handles one request of a caller. The key is checked again: it may have been
   * withdrawn while a slow caller sent the body.
   */
  handle(incoming: caller.CallerRequest): void {
    const checked = this.#accept(incoming);
    if (checked.err) {
      return acceptedModule.refuseUnclaimed(this.#options, {
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
        return this.#generate(accepted, route.api);
      case "call":
        return void this.#calls.call(accepted, route);
    }
  }

  #accept(
    head: caller.CallerHead,
  ): utils.Result<acceptedModule.Checked, core.Refusal> {
    const configuration = this.#options.getConfiguration();
    const secret = caller.getPresentedKey(head.headers) ?? "";
    const grant = core.findGrant(configuration, secret);
    if (grant === undefined || this.#options.isWithdrawn(grant.key.name)) {
      return utils.Err(acceptedModule.buildKeyRefusal("not_authenticated"));
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
    if (part === undefined) {
      return utils.Err(acceptedModule.buildKeyRefusal("not_allowed"));
    }
    return utils.Ok({ secret, grant, part });
  }

  #refuse(head: caller.CallerHead, refusal: core.Refusal): void {
    acceptedModule.refuseHead(this.#options, { head, refusal });
  }

  #listModels({ incoming, grant }: acceptedModule.Accepted): void {
    const engines = [...this.#options.getConfiguration().pools.values()]
      .filter((pool) => pool.serves === "engine")
      .flatMap((pool) => pool.targets);
    const data = [...new Set(engines)]
      .filter((name) => grant.customer.targets.includes(name))
      .map((id) => ({ id, object: "model", owned_by: "banyangrade" }));
    sendJson(incoming.answer, { object: "list", data });
  }

  #issueTicket({ incoming, grant }: acceptedModule.Accepted): void {
    const ticket = this.#options.ticketGuard.issue(grant.customer.name);
    sendJson(incoming.answer, { ticket });
  }

  #generate(
    accepted: acceptedModule.Accepted,
    api: "chat" | "completion",
  ): void {
    const { incoming, secret, grant, part } = accepted;
    const { requestId } = incoming;
    const parsed = caller.parseGenerate(incoming.body, api);
    if (parsed.err) {
      return this.#refuse(incoming, buildParseRefusal(parsed.val));
    }
    const body = parsed.val;
    const denied = acceptedModule.checkTarget(accepted, body.model);
    if (denied !== undefined) return this.#refuse(incoming, denied);
    const request = acceptedModule.buildRequest({
      requestId,
      customer: grant.customer,
      keyId: grant.key.name,
      part,
      target: body.model,
      fingerprint: utils.computeDigest(
        `${grant.customer.name}\n${incoming.body.toString("utf8")}`,
      ),
    }, this.#options.clock.now());
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
}

function buildParseRefusal(message: string): core.Refusal {
  const step = "caller.parse";
  return core.buildRefusal({ code: "bad_request", ran: "no", step, message });
}

function sendJson(answer: caller.CallerAnswer, value: unknown): void {
  answer.send({
    status: 200,
    headers: { "content-type": "application/json" },
    body: JSON.stringify(value),
  });
}
