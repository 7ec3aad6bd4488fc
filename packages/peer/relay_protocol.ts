/** Messages between a relay, which follows the store, and the hosts that follow the relay. */
import * as z from "zod";
import type * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as procedures from "./procedures.ts";

const { accept, buildProcedures, procedure } = procedures;

/** What a relay says of a prefix of the store. */
export type RelayedChanges =
  | ({ readonly kind: "changes" } & store.Changes & { readonly ageMs: number })
  /** It no longer knows what has gone since; the prefix must be read in full. */
  | { readonly kind: "gone" }
  /** It has not read the prefix itself. */
  | { readonly kind: "unready" };

/** A prefix in full, as a relay has it. */
export type RelayedSnapshot =
  | ({ readonly kind: "snapshot" } & store.Snapshot & {
    readonly ageMs: number;
  })
  | { readonly kind: "unready" };

/** What a follower asks for. */
export interface PollMessage {
  readonly prefix: string;
  /** Revision behind which it wants changes. */
  readonly after: number;
  /** Longest time that the relay keeps the call, in ms. */
  readonly waitMs: number;
}

/** What a relay says to a follower's word. */
export interface ReportAnswer {
  /** What is known of all other hosts. */
  readonly others: core.HostsSummary;
  /** Whether the relay's statuses reach the store; else the follower's own may. */
  readonly publishes: boolean;
}

/** What a relay does with the calls of other hosts. */
export interface RelayHandlers {
  readonly readAll: (prefix: string) => RelayedSnapshot;
  readonly pollChanges: (message: PollMessage) => Promise<RelayedChanges>;
  /** Takes statuses; the first one is the caller's own. */
  readonly report: (statuses: readonly core.HostStatus[]) => ReportAnswer;
  /** Sums up the relay's own followers, for other relays. */
  readonly getSummary: () => core.HostsSummary;
}

/**
 * Builds the router around a relay's handlers.
 *
 * @example
 * const server = await startPeerServer({ router: buildRelayRouter(handlers), ...rest });
 */
export function buildRelayRouter(handlers: RelayHandlers) {
  return buildProcedures({
    readAll: procedure.input(z.string())
      .query(({ input }) => handlers.readAll(input)),
    pollChanges: procedure.input(accept<PollMessage>())
      .query(({ input }) => handlers.pollChanges(input)),
    report: procedure.input(accept<readonly core.HostStatus[]>())
      .mutation(({ input }) => handlers.report(input)),
    summary: procedure.query(() => handlers.getSummary()),
  });
}

/** The router's type, for clients. */
export type RelayRouter = ReturnType<typeof buildRelayRouter>;
