/**
 * Runs operations at most once. A call that is not idempotent and carries an idempotency
 * key is claimed before it is dispatched: in the store or, if the key is a ticket, at the
 * host that issued the ticket.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as call from "./call_exchange.ts";
import * as constants from "./constants.ts";

/** An operation that must run at most once. */
export interface GuardedOperation {
  readonly customer: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly run: () => Promise<call.CallOutcome>;
}

/** Outcome of an operation; "repeated" is the kept answer of an earlier run. */
export type GuardOutcome =
  | call.CallOutcome
  | { readonly kind: "repeated"; readonly answer: store.StoredResponse };

/** Runs operations at most once by claims in the store. */
export class StoreGuard {
  readonly #claims: store.ClaimKeeper;
  readonly #log: utils.Logger;

  constructor(
    options: { readonly claims: store.ClaimKeeper; readonly log: utils.Logger },
  ) {
    this.#claims = options.claims;
    this.#log = options.log;
  }

  /** Releases claims that could not be released before: the response to the claim was lost, or the release failed. */
  async releaseStale(): Promise<void> {
    await this.#claims.releaseStale();
  }

  /** Claims an operation, runs it and stores its outcome. */
  async run(operation: GuardedOperation): Promise<GuardOutcome> {
    const outcome = await this.#claims.claim(operation);
    if (outcome.err) return refuseClaimFailure(outcome.val);
    switch (outcome.val.kind) {
      case "exists":
        return resolveExisting(outcome.val.claim, operation);
      case "claimed":
        return await this.#runClaimed(outcome.val.own, operation);
    }
  }

  async #runClaimed(
    own: store.OwnClaim,
    operation: GuardedOperation,
  ): Promise<call.CallOutcome> {
    const ended = await operation.run();
    // The caller's response does not wait for the store.
    void this.#settle(own, ended).catch((thrown) =>
      this.#log.warn(
        { error: utils.getErrorMessage(thrown) },
        "The outcome of an operation could not be stored with its claim.",
      )
    );
    return ended;
  }

  async #settle(own: store.OwnClaim, ended: call.CallOutcome): Promise<void> {
    switch (ended.kind) {
      case "whole":
        return await this.#claims.complete(own, toKeptAnswer(ended));
      case "refused":
        // The operation may be claimed again only if it certainly did not run; otherwise
        // it could run twice.
        if (ended.refusal.ran === "no") await this.#claims.release(own);
        return;
      case "left":
        return;
    }
  }
}

function toKeptAnswer(
  ended: Extract<call.CallOutcome, { kind: "whole" }>,
): store.StoredResponse {
  const type = ended.answer.headers["content-type"];
  return {
    status: ended.answer.status,
    contentType: typeof type === "string" ? type : "application/octet-stream",
    body: ended.answer.body.toString("utf8"),
  };
}

function refuseClaimFailure(error: utils.StepError): GuardOutcome {
  return {
    kind: "refused",
    refusal: core.buildRefusal({
      code: "store_unavailable",
      // This request did not run the operation, but an earlier request with the same
      // key may have, at this host or another; only the claim could tell.
      ran: "unknown",
      waitMs: 2_000,
      step: error.step,
      peer: error.peer,
      message:
        "The store cannot be reached, so the operation was not claimed; " +
        "retry with the same Idempotency-Key. For a new operation, use a ticket " +
        "from POST /operations as the Idempotency-Key: it needs no store.",
    }),
  };
}

function resolveExisting(
  claim: store.Claim,
  operation: GuardedOperation,
): GuardOutcome {
  if (claim.fingerprint !== operation.fingerprint) {
    return refuseConflict({
      ran: "no",
      message:
        "The idempotency key was already used for a different request; use a new key.",
    });
  }
  switch (claim.state.kind) {
    case "claimed":
      return refuseConflict({
        ran: "unknown",
        peer: claim.host,
        message:
          "The operation is still running, or its outcome was lost; it may have run.",
      });
    case "done":
      return claim.state.answer === undefined
        ? refuseConflict({
          ran: "yes",
          message:
            "The operation ran, but its response was too large to store, so it cannot be repeated.",
        })
        : { kind: "repeated", answer: claim.state.answer };
  }
}

function refuseConflict(
  reason: { ran: core.Ran; message: string; peer?: string },
): GuardOutcome {
  return {
    kind: "refused",
    refusal: core.buildRefusal({
      code: "conflict",
      step: "operation.claim",
      ...reason,
    }),
  };
}

/** Options of {@link TicketGuard}. */
export interface TicketGuardOptions {
  readonly origin: core.TicketOrigin;
  readonly clients: Pick<peer.PeerClients, "call">;
  readonly findAddress: (host: string) => string | undefined;
}

/** Runs operations at most once by tickets; operations with another host's ticket are forwarded to that host. */
export class TicketGuard {
  readonly #options: TicketGuardOptions;
  readonly #tickets = new core.TicketTable<call.CallOutcome>();

  constructor(options: TicketGuardOptions) {
    this.#options = options;
  }

  /** Issues a ticket to a customer. */
  issue(customer: string): string {
    const id = utils.createId().replaceAll(".", "");
    const ticket = core.formatTicket(this.#options.origin, id);
    this.#tickets.issue(ticket, customer);
    return ticket;
  }

  /** Whether a ticket was issued by this incarnation of this host. */
  isOwn(origin: core.TicketOrigin): boolean {
    const own = this.#options.origin;
    return origin.host === own.host && origin.incarnation === own.incarnation;
  }

  /** Runs an operation whose ticket this incarnation issued. */
  async run(operation: GuardedOperation): Promise<GuardOutcome> {
    const ticket = operation.idempotencyKey;
    const use = this.#tickets.use(ticket, operation);
    switch (use.kind) {
      case "run":
        return await this.#runOnce(ticket, operation);
      case "repeat":
        return use.answer;
      case "conflict":
        return refuseConflict(
          use.reason === "running"
            ? { ran: "unknown", message: "The operation is still running." }
            : {
              ran: "no",
              message:
                "The ticket belongs to a different request; get a new ticket.",
            },
        );
      case "forgotten":
        return refuseConflict({
          ran: "unknown",
          message: "Ticket unknown or expired; the operation may have run.",
        });
    }
  }

  async #runOnce(
    ticket: string,
    operation: GuardedOperation,
  ): Promise<call.CallOutcome> {
    const ended = await operation.run();
    const notRun = ended.kind === "refused" && ended.refusal.ran === "no";
    if (notRun) this.#tickets.release(ticket);
    else this.#tickets.complete(ticket, ended);
    return ended;
  }

  /** Forwards an operation to the host that issued its ticket. */
  async forward(
    origin: core.TicketOrigin,
    message: peer.TicketMessage,
  ): Promise<peer.TicketResponse | core.Refusal> {
    const address = this.#options.findAddress(origin.host);
    // A host that restarted under the same name does not know the ticket and refuses it.
    if (address === undefined) return refuseUnreachable(origin);
    const answer = await this.#options.clients.call(
      { address, step: "peer.ticket" },
      (client, signal) => client.ticket.mutate(message, { signal }),
      constants.TICKET_TIMEOUT_MS,
    );
    return answer.ok ? answer.val : refuseUnreachable(origin);
  }
}

function refuseUnreachable(origin: core.TicketOrigin): core.Refusal {
  return core.buildRefusal({
    code: "conflict",
    ran: "unknown",
    waitMs: 2_000,
    step: "operation.forward",
    peer: origin.host,
    message: "The host that issued the ticket cannot be reached; the " +
      "operation may have run. Retry with the same ticket.",
  });
}
