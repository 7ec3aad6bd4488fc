/** Counts the bytes that connections of clients make a process hold, and decides which connections yield. */

/** Share of the limit from which each connection may have one request only. */
const PRESSED_SHARE = 0.5;
/** Share of the limit down to which connections are closed once it is exceeded. */
const RELIEVED_SHARE = 0.75;
/** What a connection with one request of usual headers holds at most, in bytes. */
const ONE_REQUEST_BYTES = 32 * 1024;

/** Options of {@link ClientLedger}. */
export interface ClientLedgerOptions {
  readonly maxHeldBytes: number;
  readonly maxRequestsAhead: number;
}

/** What one connection holds. */
interface Holding {
  bytes: number;
  /** Requests that are not answered. */
  requests: number;
}

/** The bytes that all connections of a process hold. */
export class ClientLedger {
  readonly #options: ClientLedgerOptions;
  readonly #held = new Map<number, Holding>();
  #total = 0;

  constructor(options: ClientLedgerOptions) {
    this.#options = options;
  }

  /** Adds bytes to what a connection holds, or removes them if negative. */
  add(id: number, bytes: number): void {
    this.#total += bytes;
    this.#getHolding(id).bytes += bytes;
  }

  /** Adds a number of unanswered requests of a connection, or removes them if negative. */
  addRequests(id: number, requests: number): void {
    this.#getHolding(id).requests += requests;
  }

  #getHolding(id: number): Holding {
    const known = this.#held.get(id);
    if (known !== undefined) return known;
    const holding = { bytes: 0, requests: 0 };
    this.#held.set(id, holding);
    return holding;
  }

  /** Removes all bytes of a connection. */
  remove(id: number): void {
    this.#total -= this.#held.get(id)?.bytes ?? 0;
    this.#held.delete(id);
  }

  getTotal(): number {
    return this.#total;
  }

  /** Whether a connection with this many unanswered requests may have another one parsed. */
  mayParse(requests: number): boolean {
    const isPressed = this.#total >= PRESSED_SHARE * this.#options.maxHeldBytes;
    return requests < (isPressed ? 1 : this.#options.maxRequestsAhead);
  }

  /** Whether all hold so much that a new request must be refused. */
  isFull(): boolean {
    return this.#total > this.#options.maxHeldBytes;
  }

  /**
   * Lists the connections to close if all hold more than the limit: those that hold
   * most, but none that has one usual request, as it may be served.
   */
  listExcess(): number[] {
    const { maxHeldBytes } = this.#options;
    if (!this.isFull()) return [];
    let total = this.#total;
    return [...this.#held]
      .filter(([, { bytes, requests }]) =>
        requests === 0 || bytes > ONE_REQUEST_BYTES
      )
      .toSorted(([, a], [, b]) => b.bytes - a.bytes)
      .filter(([, { bytes }]) => {
        if (total <= RELIEVED_SHARE * maxHeldBytes) return false;
        total -= bytes;
        return true;
      })
      .map(([id]) => id);
  }
}
