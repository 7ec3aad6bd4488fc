/** Messages between hosts and the tRPC router that carries them. */
import * as z from "zod";
import type * as core from "@banyangrade/core";
import * as procedures from "./procedures.ts";

const { accept, buildProcedures, procedure } = procedures;

/** Who holds a control role, as it spreads with the beats. */
export interface RoleNews {
  readonly role: string;
  readonly host: string;
  readonly address: string;
  /** Fencing token; the higher one is the newer holder. */
  readonly token: number;
}

/** One beat and its answer: what a host tells another about itself and the rest. */
export interface Beat {
  readonly from: core.Member;
  readonly failureDomain: string;
  /** Configuration in force at the sender. */
  readonly revision: number;
  /** Wall-clock ms at which some host last read the newest revision in the store. */
  readonly confirmedAt: number;
  /** Digest of the sender's view of its failure domain. */
  readonly view: string;
  readonly news: readonly core.Member[];
  readonly marks: readonly core.PoisonMark[];
  /** Keys withdrawn ahead of the configuration. */
  readonly withdrawn: readonly string[];
  /** Sum of the fencing tokens of all roles; differs if the views do. */
  readonly rolesSum: number;
  /** Sent for a while after a change, and to whom the sum differs. */
  readonly roles: readonly RoleNews[];
}

/** What a host that is behind gets. */
export type ConfigDelta =
  | { readonly kind: "changes"; readonly changes: readonly core.ConfigChange[] }
  | { readonly kind: "snapshot"; readonly snapshot: core.ConfigSnapshot };

/** A host's demand. */
export interface DemandMessage {
  readonly host: string;
  readonly demands: readonly core.PoolDemand[];
  /** Peer address of a host of another failure domain; absent otherwise. */
  readonly visitor?: string;
}

/** Grants for one host. */
export interface GrantMessage {
  readonly leader: string;
  /** Whose pools they are for. */
  readonly failureDomain: string;
  readonly grants: readonly core.Grant[];
  /** Servers lent to a host of another failure domain. */
  readonly servers: readonly core.ServerInfo[];
}

/** A host and where it stands. */
export interface Contact {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** Usage on its way to the host that reports. */
export interface UsageMessage {
  readonly batches: readonly core.UsageBatch[];
}

/** What the collector has counted in fixed windows. */
export interface UsageAnswer {
  readonly counted: core.SequenceVector;
}

/** An operation that belongs to a ticket of the receiving host. */
export interface TicketMessage {
  readonly ticket: string;
  readonly customer: string;
  readonly keyId: string;
  readonly className: string;
  readonly target: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Base64. */
  readonly body: string;
}

/** What became of it. */
export interface TicketAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Base64. */
  readonly body: string;
}

/** One host's revision, for the publisher. */
export interface HostRevision {
  readonly host: string;
  readonly failureDomain: string;
  /** -1 if the host did not answer. */
  readonly revision: number;
}

/** What a host does with the messages of others. */
export interface PeerHandlers {
  readonly takeBeat: (beat: Beat) => Beat;
  readonly listMembers: () => readonly core.Member[];
  readonly getDelta: (revision: number) => ConfigDelta;
  readonly takeDemand: (
    message: DemandMessage,
  ) => Promise<GrantMessage | undefined>;
  /** One host in each other failure domain. */
  readonly listRemoteContacts: () => readonly Contact[];
  readonly takeGrants: (message: GrantMessage) => void;
  readonly takeUsage: (message: UsageMessage) => UsageAnswer;
  readonly sumDemand: (
    pools: readonly string[],
  ) => readonly { pool: string; demand: number; upperDemand: number }[];
  readonly runTicket: (message: TicketMessage) => Promise<TicketAnswer>;
  readonly getRevision: () => number;
  readonly listRevisions: (
    scope: "domain" | "everywhere",
  ) => Promise<readonly HostRevision[]>;
  readonly withdrawKey: (keyId: string) => void;
  readonly getStatus: () => unknown;
  readonly findRefusal: (requestId: string) => core.Refusal | null;
  /** Starts a planned stop; answers before it is over. */
  readonly startDrain: () => void;
}

/**
 * Builds the router around a host's handlers.
 *
 * @example
 * const router = buildRouter(handlers);
 */
export function buildRouter(handlers: PeerHandlers) {
  return buildProcedures({
    beat: procedure.input(accept<Beat>())
      .mutation(({ input }) => handlers.takeBeat(input)),
    members: procedure.query(() => handlers.listMembers()),
    delta: procedure.input(z.number().int())
      .query(({ input }) => handlers.getDelta(input)),
    demand: procedure.input(accept<DemandMessage>())
      .mutation(({ input }) => handlers.takeDemand(input)),
    remoteContacts: procedure.query(() => handlers.listRemoteContacts()),
    grants: procedure.input(accept<GrantMessage>())
      .mutation(({ input }) => handlers.takeGrants(input)),
    usage: procedure.input(accept<UsageMessage>())
      .mutation(({ input }) => handlers.takeUsage(input)),
    sumDemand: procedure.input(z.array(z.string()))
      .query(({ input }) => handlers.sumDemand(input)),
    ticket: procedure.input(accept<TicketMessage>())
      .mutation(({ input }) => handlers.runTicket(input)),
    revision: procedure.query(() => handlers.getRevision()),
    revisions: procedure.input(z.enum(["domain", "everywhere"]))
      .query(({ input }) => handlers.listRevisions(input)),
    withdrawKey: procedure.input(z.string())
      .mutation(({ input }) => handlers.withdrawKey(input)),
    status: procedure.query(() => handlers.getStatus()),
    refusal: procedure.input(z.string())
      .query(({ input }) => handlers.findRefusal(input)),
    drain: procedure.mutation(() => handlers.startDrain()),
  });
}

/** The router's type, for clients. */
export type PeerRouter = ReturnType<typeof buildRouter>;
