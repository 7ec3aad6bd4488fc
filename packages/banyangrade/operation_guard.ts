/**
 * At most once: a call that may not be repeated and carries an idempotency key
 * is claimed before it is dispatched, in the store or, with a ticket, at the
 * host that issued it.
 */
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as call from "./call_exchange.ts";
import * as constants from "./constants.ts";

/** What the operation is and how to run it, at most once. */
export interface GuardedOperation {
  readonly customer: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  readonly run: () => Promise<call.CallOutcome>;
}

/** What the caller gets. */
export type GuardOutcome =
  | call.CallOutcome
  | { readonly kind: "repeated"; readonly answer: store.KeptAnswer };

/** Runs operations whose claim stands in the store. */
export class StoreGuard {
  readonly #claims: store.ClaimKeeper;
  readonly #log: utils.Logger;

  constructor(
    options: { readonly claims: store.ClaimKeeper; readonly log: utils.Logger },
  ) {
    this.#claims = options.claims;
    this.#log = options.log;
  }

  /** Takes back claims that could not be taken back at once. */
  async tidy(): Promise<void> {
    await this.#claims.tidy();
  }

  /** Claims, runs and settles one operation. */
  async run(operation: GuardedOperation): Promise<GuardOutcome> {
    const outcome = await this.#claims.claim(operation);
    if (outcome.err) return refuseUnclaimed(outcome.val);
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
    // The caller does not wait for this: its answer is there already.
    void this.#settle(own, ended).catch((thrown) =>
      this.#log.warn({ error: utils.readMessage(thrown) }, "Claim not settled.")
    );
    return ended;
  }

  async #settle(own: store.OwnClaim, ended: call.CallOutcome): Promise<void> {
    switch (ended.kind) {
      case "whole":
        return await this.#claims.complete(own, toKept(ended));
      case "refused":
        // Only what certainly did not run may be claimed again.
        if (ended.refusal.ran === "no") await this.#claims.release(own);
        return;
      case "left":
        return;
    }
  }
}

function toKept(
  ended: Extract<call.CallOutcome, { kind: "whole" }>,
): store.KeptAnswer {
  const type = ended.answer.headers["content-type"];
  return {
    status: ended.answer.status,
    contentType: typeof type === "string" ? type : "application/octet-stream",
    body: ended.answer.body.toString("utf8"),
  };
}

function refuseUnclaimed(error: utils.StepError): GuardOutcome {
  return {
    kind: "refused",
    refusal: core.buildRefusal({
      code: "store_unavailable",
      // This sending did not run, but an earlier one of the same key may have,
      // here or at another host; only a claim could tell.
      ran: "unknown",
      waitMs: 2_000,
      step: error.step,
      peer: error.peer,
      message: "The operation cannot be claimed now; send it again with the " +
        "same key. For a new one, take a ticket from POST /operations and " +
        "send it as the Idempotency-Key: that works without the store.",
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
      message: "The idempotency key was used for another request.",
    });
  }
  switch (claim.state.kind) {
    case "claimed":
      return refuseConflict({
        ran: "unknown",
        peer: claim.host,
        message: "The operation is running, or its outcome was lost.",
      });
    case "done":
      return claim.state.answer === undefined
        ? refuseConflict({
          ran: "yes",
          message: "The operation ran; its answer was too large to keep.",
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

/** Runs operations whose ticket this host issued, and forwards the others. */
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

  /** Whether this very incarnation issued it. */
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
            ? { ran: "unknown", message: "The operation is running." }
            : { ran: "no", message: "The ticket is for another request." },
        );
      case "forgotten":
        return refuseConflict({
          ran: "unknown",
          message: "The ticket is forgotten.",
        });
    }
  }

  async #runOnce(
    ticket: string,
    operation: GuardedOperation,
  ): Promise<call.CallOutcome> {
    const ended = await operation.run();
    const unrun = ended.kind === "refused" && ended.refusal.ran === "no";
    if (unrun) this.#tickets.release(ticket);
    else this.#tickets.complete(ticket, ended);
    return ended;
  }

  /** Forwards an operation to the host that issued its ticket. */
  async forward(
    origin: core.TicketOrigin,
    message: peer.TicketMessage,
  ): Promise<peer.TicketAnswer | core.Refusal> {
    const address = this.#options.findAddress(origin.host);
    // A host under the same name with a new incarnation answers `forgotten`.
    if (address === undefined) return refuseGone(origin);
    const answer = await this.#options.clients.call(
      { address, step: "peer.ticket" },
      (client, signal) => client.ticket.mutate(message, { signal }),
      constants.TICKET_TIMEOUT_MS,
    );
    return answer.ok ? answer.val : refuseGone(origin);
  }
}

function refuseGone(origin: core.TicketOrigin): core.Refusal {
  return core.buildRefusal({
    code: "conflict",
    ran: "unknown",
    waitMs: 2_000,
    step: "operation.forward",
    peer: origin.host,
    message: "The host that issued the ticket cannot be reached; the " +
      "operation may have run.",
  });
}
