/**
 * Counts the bytes that a host holds for callers and servers that read slowly,
 * and decides by their total which work the host postpones, refuses or ends.
 */

/** What held bytes belong to. */
export type HeldKind =
  /** Bodies of requests that may still be sent. */
  | "request"
  /** Plain responses that are held until they are complete. */
  | "response"
  /** Bytes written to callers that these have not read. */
  | "caller";

/** How much a host holds in relation to its limit. */
export type HeldLevel = "normal" | "pressed" | "full" | "over";

/** Shares of the limit from which the levels begin. */
const PRESSED_SHARE = 0.5;
const FULL_SHARE = 0.8;
/** Memory that the process needs without any held bytes, in MB. */
const PROCESS_MB = 120;
/** Share of the remaining memory that held bytes may take; the rest is for buffers of the HTTP client and for garbage. */
const HELD_SHARE = 0.6;
/** Smallest limit, in MB, for hosts with hardly more memory than the process needs. */
const MIN_LIMIT_MB = 4;
const BYTES_PER_MB = 1_000_000;
/** Share of the limit that may be in flight to one server. */
const SERVER_SHARE = 0.25;

/**
 * Computes the limit of held bytes from the memory of a host.
 *
 * @example
 * computeHeldBytesLimit(210); // 54,000,000
 */
export function computeHeldBytesLimit(memoryMb: number): number {
  const remainingMb = HELD_SHARE * (memoryMb - PROCESS_MB);
  return Math.round(Math.max(MIN_LIMIT_MB, remainingMb) * BYTES_PER_MB);
}

/** A number of bytes of one kind. */
export interface HeldPart {
  readonly kind: HeldKind;
  readonly bytes: number;
}

/** The ledger of the bytes that a host holds, by holder: one request of a caller. */
export class ByteBudget {
  readonly #limitBytes: number | undefined;
  readonly #holders = new Map<string, Record<HeldKind, number>>();
  readonly #totals = { request: 0, response: 0, caller: 0 };
  readonly #inFlight = new Map<string, number>();

  constructor({ limitBytes }: { readonly limitBytes: number | undefined }) {
    this.#limitBytes = limitBytes;
  }

  add(holder: string, { kind, bytes }: HeldPart): void {
    if (bytes <= 0) return;
    const held = this.#holders.get(holder) ??
      { request: 0, response: 0, caller: 0 };
    held[kind] += bytes;
    this.#totals[kind] += bytes;
    this.#holders.set(holder, held);
  }

  /** Removes bytes, at most those that the holder has of this kind. */
  remove(holder: string, { kind, bytes }: HeldPart): void {
    const held = this.#holders.get(holder);
    if (held === undefined || bytes <= 0) return;
    const removed = Math.min(bytes, held[kind]);
    held[kind] -= removed;
    this.#totals[kind] -= removed;
    if (sumKinds(held) === 0) this.#holders.delete(holder);
  }

  /** Removes all bytes of a holder. */
  removeHolder(holder: string): void {
    const { request, response, caller } = this.#holders.get(holder) ??
      { request: 0, response: 0, caller: 0 };
    this.#totals.request -= request;
    this.#totals.response -= response;
    this.#totals.caller -= caller;
    this.#holders.delete(holder);
  }

  getTotals(): Readonly<Record<HeldKind, number>> {
    return this.#totals;
  }

  /** Returns the level, or the one with further bytes added; always "normal" without a limit. */
  getLevel(addedBytes = 0): HeldLevel {
    if (this.#limitBytes === undefined) return "normal";
    const share = (sumKinds(this.#totals) + addedBytes) / this.#limitBytes;
    if (share < PRESSED_SHARE) return "normal";
    if (share < FULL_SHARE) return "pressed";
    return share < 1 ? "full" : "over";
  }

  /** Returns the holder of the most bytes among those that are eligible. */
  findLargest(isEligible: (holder: string) => boolean): string | undefined {
    let largest: string | undefined;
    let most = 0;
    this.#holders.forEach((held, holder) => {
      const bytes = sumKinds(held);
      if (bytes <= most || !isEligible(holder)) return;
      most = bytes;
      largest = holder;
    });
    return largest;
  }

  /**
   * Counts a request body in flight to a server and returns whether it may be
   * sent; counts nothing if it would exceed the bound of the server. The bound
   * is a quarter of the limit, and at least one largest body.
   */
  addInFlight(
    server: string,
    { bytes, maxBodyBytes }: {
      readonly bytes: number;
      readonly maxBodyBytes: number;
    },
  ): boolean {
    const sum = (this.#inFlight.get(server) ?? 0) + bytes;
    const bound = this.#limitBytes === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(SERVER_SHARE * this.#limitBytes, maxBodyBytes);
    if (sum > bound) return false;
    if (sum > 0) this.#inFlight.set(server, sum);
    return true;
  }

  removeInFlight(server: string, bytes: number): void {
    const sum = (this.#inFlight.get(server) ?? 0) - bytes;
    if (sum > 0) this.#inFlight.set(server, sum);
    else this.#inFlight.delete(server);
  }

  /** Returns the number of servers to which counted bytes are in flight. */
  countServersInFlight(): number {
    return this.#inFlight.size;
  }
}

function sumKinds(held: Readonly<Record<HeldKind, number>>): number {
  return held.request + held.response + held.caller;
}
