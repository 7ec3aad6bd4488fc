/**
 * Sends scaling orders for backend servers from the host that holds the role. The
 * intent is stored by compare-and-swap before the order is sent. The lease is
 * checked again directly before the send, in the same event loop turn.
 */
import * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** Maximum delivery time of an order, in ms. The next lease holder waits this long before it sends. */
export const MAX_ORDER_DELIVERY_MS = 2_500;

/** Stored order of a pool. */
export interface OrderIntent {
  readonly pool: string;
  readonly count: number;
  readonly fencingToken: number;
  readonly orderId: string;
}

/** Options of {@link sendDesiredCount}. */
export interface SendDesiredOptions {
  readonly store: store.KeyValueClient;
  readonly fleet: client.FleetClient;
  readonly clock: utils.Clock;
  readonly getLease: () => core.LeaseState;
}

/** Outcome of sending one desired count. */
export type OrderOutcome =
  | { readonly kind: "sent"; readonly intent: OrderIntent }
  | { readonly kind: "unchanged" }
  | { readonly kind: "not_leader" }
  | { readonly kind: "failed"; readonly error: utils.StepError };

/**
 * Stores the desired count of one pool and sends the order to the fleet API.
 *
 * @example
 * const outcome = await sendDesiredCount({ pool: "spot-a", count: 3 }, options);
 */
export async function sendDesiredCount(
  desired: core.DesiredCount,
  options: SendDesiredOptions,
): Promise<OrderOutcome> {
  const lease = options.getLease();
  if (lease.kind === "none" || !core.mayAct(lease, options.clock.now())) {
    return { kind: "not_leader" };
  }
  const written = await writeIntent(desired, { lease, store: options.store });
  if (written.err) return { kind: "failed", error: written.val };
  if (written.val === undefined) return { kind: "not_leader" };
  // No await between this check and the send: guards against an order from a
  // process that was paused while it stored the intent and whose lease has expired.
  if (!core.mayAct(options.getLease(), options.clock.now())) {
    return { kind: "not_leader" };
  }
  const sent = await options.fleet.sendOrder(written.val);
  return sent.ok
    ? { kind: "sent", intent: written.val }
    : { kind: "failed", error: sent.val };
}

/** Stores the intent; returns undefined if a later leader has already stored one. */
async function writeIntent(
  desired: core.DesiredCount,
  { lease, store }: {
    readonly lease: Extract<core.LeaseState, { kind: "held" }>;
    readonly store: store.KeyValueClient;
  },
): Promise<utils.Result<OrderIntent | undefined, utils.StepError>> {
  const key = `banyangrade/orders/${desired.pool}`;
  const entry = await store.get(key);
  if (entry.err) return entry;
  const previous = entry.val && JSON.parse(entry.val.value) as OrderIntent;
  if (previous !== undefined && previous.fencingToken > lease.token) {
    return utils.Ok(undefined);
  }
  if (
    previous?.count === desired.count && previous.fencingToken === lease.token
  ) return utils.Ok(previous);
  const intent: OrderIntent = {
    pool: desired.pool,
    count: desired.count,
    fencingToken: lease.token,
    orderId: utils.createId(),
  };
  const swapped = await store.swap({
    key,
    expected: entry.val?.modRevision ?? 0,
    value: JSON.stringify(intent),
  });
  if (swapped.err) return swapped;
  return utils.Ok(swapped.val.kind === "won" ? intent : undefined);
}
