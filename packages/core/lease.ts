/**
 * The holder's view of a lease. The holder computes the expiry from the time
 * before it sent the renewal, on its monotonic clock, less a safety margin. It
 * therefore stops relying on the lease before the store can grant it to another
 * host. The clock must include the time for which the process was suspended, so
 * that a process that was paused detects the expiry at its next check.
 */

/** Durations of a lease, in ms. */
export interface LeaseTerms {
  readonly ttlMs: number;
  /** Safety margin for clock drift and for the time between a check and the write that it protects. */
  readonly marginMs: number;
}

/** A host's view of a lease that it wants to hold. */
export type LeaseState =
  | { readonly kind: "none" }
  | {
    readonly kind: "held";
    readonly leaseId: string;
    /** Fencing token; grows with every new holder. */
    readonly token: number;
    /** Time at which the holder stops relying on the lease, monotonic ms. */
    readonly expiresAt: number;
    /** Time from which the holder may send orders, monotonic ms. */
    readonly actsFrom: number;
  };

/**
 * Whether the holder can rely on the lease at `now`. Check this in the same
 * synchronous block as the write that it protects.
 *
 * @example
 * if (isLeaseHeld(lease, clock.now())) send(order);
 */
export function isLeaseHeld(lease: LeaseState, now: number): boolean {
  return lease.kind === "held" && now < lease.expiresAt;
}

/**
 * Whether the holder may act: it holds the lease and has waited for the longest
 * time that an order of its predecessor can be in transit. Otherwise backend
 * servers that ignore fencing tokens would obey two hosts at the same time.
 *
 * @example
 * if (mayAct(lease, clock.now())) send(order);
 */
export function mayAct(lease: LeaseState, now: number): boolean {
  return lease.kind === "held" && isLeaseHeld(lease, now) &&
    now >= lease.actsFrom;
}

/**
 * Records the acquisition of a lease. `sentAt` is the time at which the first
 * call to the store was sent.
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
    /** Longest time for which an order of the predecessor can be in transit, in ms. */
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
 * Records a successful renewal. `sentAt` is the time at which its call to the
 * store was sent.
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
