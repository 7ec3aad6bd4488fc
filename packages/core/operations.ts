/**
 * Operation tickets. A caller may request a ticket before an operation and use
 * it as the operation's idempotency key. Only the host incarnation that issued
 * the ticket runs the operation. Other hosts forward the request to it; if it no
 * longer exists, they answer that the operation may have run. Tickets need no
 * write to the store, so they work during a store outage.
 */

/** Prefix of every ticket; distinguishes tickets from idempotency keys that callers choose. */
const TICKET_PREFIX = "op";
/** Maximum number of tickets that a host keeps; the oldest are dropped first. */
const MAX_TICKETS = 100_000;

/** The host incarnation that issued a ticket. */
export interface TicketOrigin {
  readonly host: string;
  /** Unique per run of the host's process. */
  readonly incarnation: string;
}

/** State of an operation at the host that issued its ticket. */
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

/** Result of using a ticket. */
export type TicketUse<Answer> =
  | { readonly kind: "run" }
  | { readonly kind: "repeat"; readonly answer: Answer }
  /** The ticket was used for another request or belongs to another customer, or its operation is still running. */
  | { readonly kind: "conflict"; readonly reason: "other_request" | "running" }
  /** The host no longer keeps the ticket; its operation may have run. */
  | { readonly kind: "forgotten" };

/**
 * Formats a ticket. The identifier must be unpredictable.
 *
 * @example
 * formatTicket({ host: "a", incarnation: "x1" }, "r4nd0m"); // "op.a.x1.r4nd0m"
 */
export function formatTicket(origin: TicketOrigin, id: string): string {
  return [TICKET_PREFIX, origin.host, origin.incarnation, id].join(".");
}

/**
 * Parses the origin of a ticket; undefined for an idempotency key that the
 * caller chose.
 *
 * @example
 * parseTicket("op.a.x1.r4nd0m")?.host; // "a"
 */
export function parseTicket(key: string): TicketOrigin | undefined {
  const parts = key.split(".");
  if (parts.length !== 4 || parts[0] !== TICKET_PREFIX) return undefined;
  return { host: parts[1], incarnation: parts[2] };
}

/** The tickets that this host incarnation issued. */
export class TicketTable<Answer> {
  readonly #states = new Map<string, OperationState<Answer>>();

  /** Records a ticket as issued. */
  issue(ticket: string, customer: string): void {
    this.#states.set(ticket, { kind: "issued", customer });
    if (this.#states.size <= MAX_TICKETS) return;
    this.#states.delete(this.#states.keys().next().value as string);
  }

  /** Uses a ticket. Returns `run` at most once, unless {@link TicketTable.release} makes the ticket usable again. */
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

  /** Records the response of an operation that ran or may have run. */
  complete(ticket: string, answer: Answer): void {
    const state = this.#states.get(ticket);
    if (state?.kind !== "running") return;
    const { customer, fingerprint } = state;
    this.#states.set(ticket, { kind: "done", customer, fingerprint, answer });
  }

  /** Makes a ticket usable again; call it only if the operation certainly did not run. */
  release(ticket: string): void {
    const state = this.#states.get(ticket);
    if (state?.kind !== "running") return;
    this.#states.set(ticket, { kind: "issued", customer: state.customer });
  }
}
