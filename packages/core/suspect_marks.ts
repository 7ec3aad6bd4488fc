/** Marks of suspects that this host makes, and which of them may be wrong. */
import type * as events from "./events.ts";
import type * as hostState from "./host_state.ts";

/** Time for which a server at whose address nothing listened counts as one that has started again, in ms. */
const RESTARTED_MS = 10_000;

/**
 * Reports a suspect of this host to the others. The mark is doubtful if this host
 * has lost its links to the server, which may only be out of its reach.
 *
 * @example
 * const made = reportSuspect(state, { fingerprint, server: "s1@1", doubtful: false });
 */
export function reportSuspect(
  state: hostState.HostState,
  { fingerprint, server, place, doubtful = false }: events.SuspectMark,
): events.SuspectMark {
  const { doubts, now } = state;
  const mark: events.SuspectMark = {
    fingerprint,
    server,
    at: now,
    ...(place !== undefined && { place }),
    ...(isRestarted(state, server) && { restarted: true }),
  };
  if (doubtful) doubts.add({ server, at: now }, now);
  else doubts.recordLoss({ server, at: now });
  recordChange(state, { change: "made", marks: [mark] });
  if (doubtful) recordChange(state, { change: "doubted", marks: [mark] });
  state.effects.push({ kind: "suspect", mark });
  return mark;
}

/** Whether nothing listened at the address of a server shortly before. */
function isRestarted(
  { table, now }: hostState.HostState,
  server: string,
): boolean {
  const refusedAt = table.get(server)?.refusedAt;
  return refusedAt !== undefined && now - refusedAt <= RESTARTED_MS;
}

/**
 * Makes the marks of recent losses doubtful, because this host has lost its links
 * to the servers since a time, monotonic ms.
 *
 * @example
 * markDoubtful(state, { servers, since: 4_000 });
 */
export function markDoubtful(
  state: hostState.HostState,
  { servers, since }: {
    readonly servers: readonly string[];
    readonly since: number;
  },
): void {
  const { doubts, suspects, now } = state;
  const added = doubts.listRecent(new Set(servers), since)
    .filter((loss) => doubts.add(loss, now));
  recordChange(state, {
    change: "doubted",
    marks: added.flatMap(({ server }) => suspects.listAt(server)),
  });
}

/**
 * Records for logs and metrics what became of marks.
 *
 * @example
 * recordChange(state, { change: "received", marks });
 */
export function recordChange(
  state: hostState.HostState,
  changed: {
    readonly change: events.SuspectChange;
    readonly marks: readonly events.SuspectMark[];
  },
): void {
  if (changed.marks.length === 0) return;
  state.effects.push({ kind: "suspects_changed", ...changed });
}
