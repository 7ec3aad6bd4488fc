/** Messages between hosts, and the tRPC router that handles them. */
import * as z from "zod";
import type * as core from "@banyangrade/core";
import * as procedures from "./procedures.ts";

const { accept, buildProcedures, procedure } = procedures;

/** Holder of a control role, as sent in heartbeats. */
export interface RoleUpdate {
  readonly role: string;
  readonly host: string;
  readonly address: string;
  /** Fencing token; the record with the highest token names the current holder. */
  readonly token: number;
}

/** A heartbeat, and the response to one: state of the sender and updates about other hosts. */
export interface Heartbeat {
  readonly from: core.Member;
  readonly failureDomain: string;
  /** Configuration revision in use at the sender. */
  readonly revision: number;
  /** Latest known wall-clock time in ms at which any host read the newest revision from the store. */
  readonly confirmedAt: number;
  /** Digest of the sender's view of its failure domain. */
  readonly view: string;
  /** Membership updates. */
  readonly news: readonly core.Member[];
  readonly marks: readonly core.PoisonMark[];
  /** Ids of API keys that were withdrawn before the configuration that removes them. */
  readonly withdrawn: readonly string[];
  /** Sum of the fencing tokens of all known roles, to detect that two hosts know different holders. */
  readonly rolesSum: number;
  /** All known roles; sent for some time after a change, and in a response if the sums differ. */
  readonly roles: readonly RoleUpdate[];
}

/** Configuration sent to a host with an older revision. */
export type ConfigDelta =
  | { readonly kind: "changes"; readonly changes: readonly core.ConfigChange[] }
  | { readonly kind: "snapshot"; readonly snapshot: core.ConfigSnapshot };

/** Demand of a host for each pool. */
export interface DemandMessage {
  readonly host: string;
  readonly demands: readonly core.PoolDemand[];
  /** Peer address of the sender if it belongs to another failure domain; absent otherwise. */
  readonly visitor?: string;
}

/** Grants of the capacity leader for one host. */
export interface GrantMessage {
  readonly leader: string;
  /** Failure domain of the pools. */
  readonly failureDomain: string;
  readonly grants: readonly core.Grant[];
  /** Servers lent to a host of another failure domain. */
  readonly servers: readonly core.ServerInfo[];
}

/** A host with its peer address and failure domain. */
export interface Contact {
  readonly name: string;
  readonly address: string;
  readonly failureDomain: string;
}

/** Usage batches, sent towards the host that reports usage. */
export interface UsageMessage {
  readonly batches: readonly core.UsageBatch[];
}

/** Batches that the usage collector has counted in final windows. */
export interface UsageResponse {
  readonly counted: core.SequenceVector;
}

/** An operation that is forwarded to the host that issued its ticket. */
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

/** Response to a forwarded ticket operation. */
export interface TicketResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Base64. */
  readonly body: string;
}

/** Configuration revision of one host, for the operator who publishes a change. */
export interface HostRevision {
  readonly host: string;
  readonly failureDomain: string;
  /** -1 if the host did not answer. */
  readonly revision: number;
}

/** Handlers of a host for the messages of other hosts. */
export interface PeerHandlers {
  readonly takeHeartbeat: (heartbeat: Heartbeat) => Heartbeat;
  readonly listMembers: () => readonly core.Member[];
  readonly getDelta: (revision: number) => ConfigDelta;
  readonly takeDemand: (
    message: DemandMessage,
  ) => Promise<GrantMessage | undefined>;
  /** Returns one host in each other failure domain. */
  readonly listRemoteContacts: () => readonly Contact[];
  readonly takeGrants: (message: GrantMessage) => void;
  readonly takeUsage: (message: UsageMessage) => UsageResponse;
  readonly sumDemand: (
    pools: readonly string[],
  ) => readonly { pool: string; demand: number; upperDemand: number }[];
  readonly runTicket: (message: TicketMessage) => Promise<TicketResponse>;
  readonly getRevision: () => number;
  readonly listRevisions: (
    scope: "domain" | "everywhere",
  ) => Promise<readonly HostRevision[]>;
  readonly withdrawKey: (keyId: string) => void;
  readonly getStatus: () => unknown;
  readonly findRefusal: (requestId: string) => core.Refusal | null;
  /** Starts a graceful shutdown; returns before it has finished. */
  readonly startDrain: () => void;
}

/**
 * Builds the router that calls a host's handlers.
 *
 * @example
 * const router = buildRouter(handlers);
 */
export function buildRouter(handlers: PeerHandlers) {
  return buildProcedures({
    beat: procedure.input(accept<Heartbeat>())
      .mutation(({ input }) => handlers.takeHeartbeat(input)),
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

/** Type of the router, for typed clients. */
export type PeerRouter = ReturnType<typeof buildRouter>;
