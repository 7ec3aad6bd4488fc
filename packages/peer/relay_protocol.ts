/** Messages between a relay, which polls the store, and its followers, which poll the relay. */
import * as z from "zod";
import type * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as procedures from "./procedures.ts";

const { accept, buildProcedures, procedure } = procedures;

/** Response of a relay to a poll for changes of a store prefix. */
export type RelayedChanges =
  | ({ readonly kind: "changes" } & store.Changes & { readonly ageMs: number })
  /** The relay no longer knows all removals since the revision, so the prefix must be read in full. */
  | { readonly kind: "gone" }
  /** The relay has no current copy of the prefix. */
  | { readonly kind: "unready" };

/** Response of a relay to a full read of a store prefix. */
export type RelayedSnapshot =
  | ({ readonly kind: "snapshot" } & store.PrefixSnapshot & {
    readonly ageMs: number;
  })
  /** The relay has sent much just now; the follower reads the store itself. */
  | { readonly kind: "busy" }
  | { readonly kind: "unready" };

/** A follower's poll for changes. */
export interface PollMessage {
  readonly prefix: string;
  /** Revision after which changes are requested. */
  readonly after: number;
  /** Maximum time for which the relay holds the call while there are no changes, in ms. */
  readonly waitMs: number;
}

/** A relay and how it is reached. */
export type RelayRecord = Omit<store.RoleRecord, "writerToken">;

/** Response of a relay to the statuses that a follower reports. */
export interface ReportResponse {
  /** Summary of all other hosts. */
  readonly others: core.HostsSummary;
  /** Whether the relay publishes the statuses to the store; if not, the follower publishes its own. */
  readonly publishes: boolean;
  /**
   * Whether the relay has learned what hosts knew before it started; a follower that
   * starts asks others if not. Absent from hosts of earlier versions.
   */
  readonly recalled?: boolean;
  /**
   * The relay that the answering host follows itself, if it is no longer the relay.
   * A follower that the store rejects finds the new relay by it. Absent from hosts
   * of earlier versions.
   */
  readonly relay?: RelayRecord;
}

/** Streams with the software versions that began them. */
export interface OriginShare {
  readonly origins: readonly core.OriginRecord[];
  /** Whether another relay has stored them too, so that they are not sent further. */
  readonly isCopy: boolean;
}

/** Response of a relay that has stored the beginnings of streams. */
export interface OriginShareResponse {
  /** The other relays, which are used if this one is lost. */
  readonly relays: readonly store.RoleContact[];
}

/** A question for the software version that began a stream. */
export interface OriginQuestion {
  readonly stream: number;
  readonly service: string;
  /** Whether a relay asks, which asks the other relays itself. */
  readonly isForwarded: boolean;
}

/** What a relay, and the other relays that it asked, know of a stream. */
export interface OriginResponse {
  /** Absent if the stream is not known. */
  readonly software?: string;
  /** Views of the relays that answered. */
  readonly views: readonly core.VersionView[];
  readonly relays: readonly store.RoleContact[];
}

/** Handlers of a relay for the calls of other hosts. */
export interface RelayHandlers {
  readonly readAll: (prefix: string) => RelayedSnapshot;
  readonly pollChanges: (message: PollMessage) => Promise<RelayedChanges>;
  /** Stores reported statuses; the first one is the caller's own. */
  readonly report: (statuses: readonly core.HostStatus[]) => ReportResponse;
  /** Returns the summary of the relay's followers, for other relays. */
  readonly getSummary: () => core.HostsSummary;
  /** Stores streams that other hosts began. */
  readonly shareOrigins: (share: OriginShare) => OriginShareResponse;
  readonly findOrigin: (question: OriginQuestion) => Promise<OriginResponse>;
  /** Accepts the relay that has replaced this host, which the store may still reject. */
  readonly acceptRelay: (relay: RelayRecord) => void;
}

/**
 * Builds the router that calls a relay's handlers.
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
    shareOrigins: procedure.input(accept<OriginShare>())
      .mutation(({ input }) => handlers.shareOrigins(input)),
    findOrigin: procedure.input(accept<OriginQuestion>())
      .query(({ input }) => handlers.findOrigin(input)),
    announceRelay: procedure.input(accept<RelayRecord>())
      .mutation(({ input }) => handlers.acceptRelay(input)),
  });
}

/** Type of the router, for typed clients. */
export type RelayRouter = ReturnType<typeof buildRelayRouter>;
