/**
 * Leases as a promise about time. The holder counts the end from before the
 * renewal was sent, on its monotonic clock, less a margin, so it stops
 * believing in the lease before the store lets anyone else have it. Time goes
 * on while a process is stopped, so one that was paused finds out at its next
 * check.
 */

/** Lengths in ms. */
export interface LeaseTerms {
  readonly ttlMs: number;
  /** Covers clock drift and the time between a check and the write behind it. */
  readonly marginMs: number;
}

/** What a host believes of a lease it wants. */
export type LeaseState =
  | { readonly kind: "none" }
  | {
    readonly kind: "held";
    readonly leaseId: string;
    /** Fencing token: grows with every holder. */
    readonly token: number;
    /** Monotonic ms. */
    readonly expiresAt: number;
    /** Monotonic ms from which orders may go out. */
    readonly actsFrom: number;
  };

/**
 * Whether the lease may be relied on at `now`. Check it in the same
 * synchronous turn as the write it protects.
 *
 * @example
 * if (isLeaseHeld(lease, clock.now())) send(order);
 */
export function isLeaseHeld(lease: LeaseState, now: number): boolean {
  return lease.kind === "held" && now < lease.expiresAt;
}

/**
 * Whether the holder may act: it holds the lease and has waited long enough
 * for whatever its predecessor sent to have arrived. Backend servers that
 * ignore fencing tokens would otherwise obey two hosts at a time.
 *
 * @example
 * if (mayAct(lease, clock.now())) send(order);
 */
export function mayAct(lease: LeaseState, now: number): boolean {
  return lease.kind === "held" && isLeaseHeld(lease, now) &&
    now >= lease.actsFrom;
}

/**
 * Records an acquisition whose first call was sent at `sentAt`.
 *
 * @example
 * const lease = recordAcquired({ leaseId, token, sentAt, wonAt, flightMs }, terms);
 */
export function recordAcquired(
  won: {
    readonly leaseId: string;
    readonly token: number;
    readonly sentAt: number;
    readonly wonAt: number;
    /** Longest time an order of the predecessor can be under way. */
    readonly flightMs: number;
  },
  terms: LeaseTerms,
): LeaseState {
  return {
    kind: "held",
    leaseId: won.leaseId,
    token: won.token,
    expiresAt: won.sentAt + terms.ttlMs - terms.marginMs,
    actsFrom: won.wonAt + won.flightMs,
  };
}

/**
 * Records a renewal that was sent at `sentAt` and succeeded.
 *
 * @example
 * lease = recordRenewed(lease, { sentAt, terms });
 */
export function recordRenewed(
  lease: LeaseState,
  { sentAt, terms }: { readonly sentAt: number; readonly terms: LeaseTerms },
): LeaseState {
  if (lease.kind === "none") return lease;
  const expiresAt = sentAt + terms.ttlMs - terms.marginMs;
  return { ...lease, expiresAt: Math.max(lease.expiresAt, expiresAt) };
}
