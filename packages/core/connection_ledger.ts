/** Decides which connections a port accepts, and which yield to others. */
import * as clientLimits from "./client_limits.ts";

/** Why a connection is not accepted. */
export type ConnectionRefusal = "connections" | "address";

/** What happens to a new connection. */
export type ConnectionAdmission =
  | { readonly kind: "accepted" }
  /** Accepted in place of a connection that has no request. */
  | { readonly kind: "replaces"; readonly id: number }
  | { readonly kind: "refused"; readonly reason: ConnectionRefusal };

/** The connections of one port. */
export class ConnectionLedger {
  readonly #maxConnections: number;
  readonly #addressLimit: number;
  /** Address of each connection. */
  readonly #addresses = new Map<number, string>();
  readonly #counts = new Map<string, number>();
  /** Connections that have had no request, oldest first. */
  readonly #silent = new Set<number>();
  /** Connections whose requests are answered, those that have been so for longest first. */
  readonly #idle = new Set<number>();

  constructor({ maxConnections }: { readonly maxConnections: number }) {
    this.#maxConnections = maxConnections;
    this.#addressLimit = clientLimits.computeAddressLimit(maxConnections);
  }

  /** Decides about a new connection; one that is accepted must be added. */
  admit(address: string): ConnectionAdmission {
    if ((this.#counts.get(address) ?? 0) >= this.#addressLimit) {
      return this.#chooseReplaced(
        "address",
        (id) => this.#addresses.get(id) === address,
      );
    }
    if (this.#addresses.size < this.#maxConnections) {
      return { kind: "accepted" };
    }
    return this.#chooseReplaced("connections", () => true);
  }

  #chooseReplaced(
    reason: ConnectionRefusal,
    isEligible: (id: number) => boolean,
  ): ConnectionAdmission {
    const id = [...this.#silent].find(isEligible) ??
      [...this.#idle].find(isEligible);
    return id === undefined
      ? { kind: "refused", reason }
      : { kind: "replaces", id };
  }

  /** Adds a connection, which has no request yet. */
  add(id: number, address: string): void {
    this.#addresses.set(id, address);
    this.#counts.set(address, (this.#counts.get(address) ?? 0) + 1);
    this.#silent.add(id);
  }

  /** Records whether a connection has requests that are not answered. */
  setIdle(id: number, idle: boolean): void {
    if (!this.#addresses.has(id)) return;
    this.#silent.delete(id);
    if (idle) this.#idle.add(id);
    else this.#idle.delete(id);
  }

  remove(id: number): void {
    const address = this.#addresses.get(id);
    if (address === undefined) return;
    this.#addresses.delete(id);
    this.#silent.delete(id);
    this.#idle.delete(id);
    const count = (this.#counts.get(address) ?? 0) - 1;
    if (count > 0) this.#counts.set(address, count);
    else this.#counts.delete(address);
  }

  count(): number {
    return this.#addresses.size;
  }
}
