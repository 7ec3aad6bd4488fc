/** Starts the tasks of a host that bring and keep its state. */
import * as unexpectedErrors from "../unexpected_errors.ts";
import type * as gatewayParts from "./gateway_parts.ts";
import * as sharedKnowledge from "./shared_knowledge.ts";

/**
 * Starts the tasks of a host in the order in which it needs them: a relay, which
 * spares reads of the store, then its state, then what other hosts know.
 *
 * @example
 * await startTasks(parts);
 */
export async function startTasks(
  parts: gatewayParts.GatewayParts,
): Promise<void> {
  await parts.relay.start();
  const followed = parts.relay.getFollowed()?.host ?? "none";
  parts.startLog.record("relay", { source: followed });
  parts.belief.start();
  unexpectedErrors.runReported(parts, {
    step: "presence.recall",
    work: () => sharedKnowledge.fetchShared(parts),
  });
  parts.presence.start();
  parts.streamOrigins.start();
  parts.roles.start();
}
