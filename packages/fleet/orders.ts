/**
 * Orders for backend servers from the one host that holds the role. The intent
 * is written by compare-and-swap before the order is sent, and the lease is
 * checked in the same synchronous turn as the send.
 */
import * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";

/** Longest time an order may be under way, in ms; a successor waits it out. */
export const ORDER_FLIGHT_MS = 2_500;

/** What is ordered of a pool, as kept in the store. */
export interface OrderIntent {
  readonly pool: string;
  readonly count: number;
  readonly fencingToken: number;
  readonly orderId: string;
}

/** Options of {@link sendDesired}. */
export interface SendDesiredOptions {
  readonly store: store.KeyValueClient;
  readonly fleet: client.FleetClient;
  readonly clock: utils.Clock;
  readonly getLease: () => core.LeaseState;
}

/** What became of one desired count. */
export type OrderOutcome =
  | { readonly kind: "sent"; readonly intent: OrderIntent }
  | { readonly kind: "unchanged" }
  | { readonly kind: "not_leader" }
  | { readonly kind: "failed"; readonly error: utils.StepError };

/**
 * Brings one pool's order to the fleet interface.
 *
 * @example
 * const outcome = await sendDesired({ pool: "spot-a", count: 3 }, options);
 */
export async function sendDesired(
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
  // No await between this check and the send: a process that was paused while
  // it wrote the intent finds out here that its lease is over.
  if (!core.mayAct(options.getLease(), options.clock.now())) {
    return { kind: "not_leader" };
  }
  const sent = await options.fleet.sendOrder(written.val);
  return sent.ok
    ? { kind: "sent", intent: written.val }
    : { kind: "failed", error: sent.val };
}

/** Writes the intent; undefined if a later leader has written already. */
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
  const before = entry.val && JSON.parse(entry.val.value) as OrderIntent;
  if (before !== undefined && before.fencingToken > lease.token) {
    return utils.Ok(undefined);
  }
  if (
    before?.count === desired.count && before.fencingToken === lease.token
  ) return utils.Ok(before);
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
