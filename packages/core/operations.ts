/**
 * Operation tickets. A caller may take a ticket first and use it as its
 * idempotency key. Only the host incarnation that issued it runs it; another
 * host forwards to that one, and if it is gone says that the operation may
 * have run. No write to the store is needed, so it works in an outage.
 */

/** Prefix of every ticket, by which hosts tell it from a caller's own key. */
const TICKET_PREFIX = "op";
/** Most tickets a host remembers; the oldest are dropped first. */
const MAX_TICKETS = 100_000;

/** Where a ticket was issued. */
export interface TicketOrigin {
  readonly host: string;
  /** Unique to one run of the host's process. */
  readonly incarnation: string;
}

/** State of an operation at its issuer. */
export type OperationState<Answer> =
  | { readonly kind: "issued"; readonly customer: string }
  | {
    readonly kind: "running";
    readonly customer: string;
    readonly fingerprint: string;
  }
  | {
    readonly kind: "done";
    readonly customer: string;
    readonly fingerprint: string;
    readonly answer: Answer;
  };

/** What a use of a ticket leads to. */
export type TicketUse<Answer> =
  | { readonly kind: "run" }
  | { readonly kind: "repeat"; readonly answer: Answer }
  /** Used for another request, by another customer, or still running. */
  | { readonly kind: "conflict"; readonly reason: "other_request" | "running" }
  /** Issued so long ago that it is forgotten; it may have run. */
  | { readonly kind: "forgotten" };

/**
 * Formats a ticket. The identifier must be unguessable.
 *
 * @example
 * formatTicket({ host: "a", incarnation: "x1" }, "r4nd0m"); // "op.a.x1.r4nd0m"
 */
export function formatTicket(origin: TicketOrigin, id: string): string {
  return [TICKET_PREFIX, origin.host, origin.incarnation, id].join(".");
}

/**
 * Parses a ticket's origin; undefined for a caller's own idempotency key.
 *
 * @example
 * parseTicket("op.a.x1.r4nd0m")?.host; // "a"
 */
export function parseTicket(key: string): TicketOrigin | undefined {
  const parts = key.split(".");
  if (parts.length !== 4 || parts[0] !== TICKET_PREFIX) return undefined;
  return { host: parts[1], incarnation: parts[2] };
}

/** Tickets that this incarnation of this host issued. */
export class TicketTable<Answer> {
  readonly #states = new Map<string, OperationState<Answer>>();

  /** Records a ticket as issued. */
  issue(ticket: string, customer: string): void {
    this.#states.set(ticket, { kind: "issued", customer });
    if (this.#states.size <= MAX_TICKETS) return;
    this.#states.delete(this.#states.keys().next().value as string);
  }

  /** Uses a ticket; at most one use ever leads to `run`. */
  use(
    ticket: string,
    by: { readonly customer: string; readonly fingerprint: string },
  ): TicketUse<Answer> {
    const state = this.#states.get(ticket);
    if (state === undefined) return { kind: "forgotten" };
    if (state.customer !== by.customer) {
      return { kind: "conflict", reason: "other_request" };
    }
    switch (state.kind) {
      case "issued":
        this.#states.set(ticket, { kind: "running", ...by });
        return { kind: "run" };
      case "running":
        return state.fingerprint === by.fingerprint
          ? { kind: "conflict", reason: "running" }
          : { kind: "conflict", reason: "other_request" };
      case "done":
        return state.fingerprint === by.fingerprint
          ? { kind: "repeat", answer: state.answer }
          : { kind: "conflict", reason: "other_request" };
    }
  }

  /** Records the answer of an operation that ran or may have run. */
  complete(ticket: string, answer: Answer): void {
    const state = this.#states.get(ticket);
    if (state?.kind !== "running") return;
    const { customer, fingerprint } = state;
    this.#states.set(ticket, { kind: "done", customer, fingerprint, answer });
  }

  /** Makes a ticket usable again; only for an operation that certainly did not run. */
  release(ticket: string): void {
    const state = this.#states.get(ticket);
    if (state?.kind !== "running") return;
    this.#states.set(ticket, { kind: "issued", customer: state.customer });
  }
}
