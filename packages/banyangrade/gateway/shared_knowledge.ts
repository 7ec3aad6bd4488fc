/**
 * Keeps what hosts know together over their restarts: a host that starts asks the
 * others before it takes work, and one that drains tells them what it knows. Without
 * this, a request that ended servers would run again once the hosts that saw it have
 * restarted.
 */
import * as utils from "@banyangrade/utils";
import type * as gatewayParts from "./gateway_parts.ts";

/** Longest time for which a host that starts asks before it takes work, in ms; two slow calls. */
const RECALL_MS = 600;

/**
 * Asks what other hosts know, for a bounded time, and lets this host take work then.
 *
 * @example
 * void fetchShared(parts);
 */
export async function fetchShared(
  { belief, clock, dispatch, log, metrics, presence, spreading, startLog }:
    gatewayParts.GatewayParts,
): Promise<void> {
  const startedAt = clock.now();
  const source = await Promise.race([
    presence.fetchShared(),
    utils.waitFor(RECALL_MS).then(() => "nobody" as const),
  ]);
  const marks = dispatch.listKnownMarks();
  metrics.recordRecall(source);
  utils.createPartLogger(log, "presence").info({
    source,
    marks: marks.length,
    poison: dispatch.countPoisonRequests(),
    ms: Math.round(clock.now() - startedAt),
  }, "Asked what other hosts know.");
  startLog.record("recall", { source });
  belief.recordRecall();
  spreading.sendAll(marks);
}

/**
 * Asks what other hosts have learned while this one was cut off, and tells hosts that
 * were cut off with it. A host whose relay answered all the while leaves it to that
 * one: all followers at once would make the relay late, and they would give it up.
 *
 * @example
 * void updateShared(parts);
 */
export async function updateShared(
  { dispatch, presence, relay, spreading }: Pick<
    gatewayParts.GatewayParts,
    "dispatch" | "presence" | "relay" | "spreading"
  >,
): Promise<void> {
  if (relay.getFollowed() !== undefined) return;
  await presence.fetchShared();
  const marks = dispatch.listKnownMarks();
  if (marks.length > 0) spreading.sendAll(marks);
}

/**
 * Tells other hosts what this host knows, because it drains.
 *
 * @example
 * sendShared(parts);
 */
export function sendShared(
  { dispatch, log, spreading }: gatewayParts.GatewayParts,
): void {
  const marks = dispatch.listKnownMarks();
  if (marks.length === 0) return;
  spreading.sendAll(marks);
  utils.createPartLogger(log, "presence").info(
    { marks: marks.length, poison: dispatch.countPoisonRequests() },
    "Told other hosts what this one knows.",
  );
}
