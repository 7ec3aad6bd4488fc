/** Status of a host, and the revisions in force at all hosts. */
import type * as peer from "@banyangrade/peer";
import type * as hostParts from "./host_parts.ts";

/** Status of one host, as it sees itself and its failure domain. */
export interface HostStatus {
  readonly host: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly draining: boolean;
  readonly revision: number;
  readonly secondsSinceStoreSeen: number;
  readonly members: readonly { name: string; status: string }[];
  readonly roles: readonly { role: string; host: string; token: number }[];
  readonly capacityLeader: string;
  readonly pools: readonly {
    name: string;
    servers: number;
    running: number;
    slots: number;
    /** Each class whose requests are held back, with its limit in slots on this host. */
    limits: readonly string[];
  }[];
  readonly servers: readonly {
    name: string;
    pool: string;
    state: string;
    running: number;
    ejected: boolean;
  }[];
  readonly lanes: readonly { lane: string; tier: number; waiting: number }[];
  readonly open: { readonly queued: number; readonly running: number };
  readonly withdrawnAhead: number;
  readonly quarantined: number;
}

/**
 * Builds the status from the current state of the host.
 *
 * @example
 * const status = buildStatus(parts);
 */
export function buildStatus(parts: hostParts.HostParts): HostStatus {
  const snapshot = parts.dispatcher.inspect();
  const now = parts.clock.now();
  const storeAgeMs = parts.clock.wall() - parts.overlay.getConfirmedAt();
  return {
    host: parts.settings.host.name,
    failureDomain: parts.settings.host.failure_domain,
    ready: parts.state.ready,
    draining: parts.state.draining,
    revision: parts.config.get().revision,
    secondsSinceStoreSeen: Math.round(storeAgeMs / 1_000),
    members: parts.overlay.members.listAll().map(({ name, status }) => ({
      name,
      status,
    })),
    roles: parts.overlay.listRoles().map(({ role, host, token }) => ({
      role,
      host,
      token,
    })),
    capacityLeader: parts.capacity.getLeader().name,
    pools: snapshot.pools.map((pool) => ({
      name: pool.part.name,
      servers:
        snapshot.servers.filter((server) => server.info.pool === pool.part.name)
          .length,
      running: pool.running,
      slots: pool.totalSlots,
      limits: [...pool.limits].map(([name, slots]) => `${name} ${slots}`),
    })),
    servers: snapshot.servers.map((server) => ({
      name: server.info.name,
      pool: server.info.pool,
      state: server.info.state,
      running: server.running,
      ejected: server.ejectedUntil > now,
    })),
    lanes: snapshot.lanes.map((lane) => ({
      lane: lane.key,
      tier: lane.tier,
      waiting: lane.size,
    })),
    open: parts.dispatcher.countOpen(),
    withdrawnAhead: parts.withdrawn.size,
    quarantined: parts.overlay.countMarks(),
  };
}

/**
 * Lists the revision in force at each host. This host asks each active member
 * of its own failure domain, and one contact host of each other failure domain
 * for the revisions there. A host that does not respond has the revision -1.
 *
 * @example
 * const revisions = await listRevisions(parts, "everywhere");
 */
export async function listRevisions(
  parts: hostParts.HostParts,
  scope: "domain" | "everywhere",
): Promise<peer.HostRevision[]> {
  const local = await fetchDomainRevisions(parts);
  if (scope === "domain") return local;
  const remote = await Promise.all(
    parts.overlay.listRemoteContacts().map((contact) =>
      fetchRemoteRevisions(parts, contact)
    ),
  );
  return [...local, ...remote.flat()];
}

async function fetchRemoteRevisions(
  parts: hostParts.HostParts,
  contact: peer.Contact,
): Promise<readonly peer.HostRevision[]> {
  const response = await parts.clients.call(
    { address: contact.address, step: "peer.revisions" },
    (client, signal) => client.revisions.query("domain", { signal }),
  );
  if (response.ok) return response.val;
  const { name: host, failureDomain } = contact;
  return [{ host, failureDomain, revision: -1 }];
}

async function fetchDomainRevisions(
  parts: hostParts.HostParts,
): Promise<peer.HostRevision[]> {
  const failureDomain = parts.settings.host.failure_domain;
  const self = parts.settings.host.name;
  return await Promise.all(
    parts.overlay.members.listActive().map(async (member) => ({
      host: member.name,
      failureDomain,
      revision: member.name === self
        ? parts.config.get().revision
        : await fetchRevision(parts, member.address),
    })),
  );
}

async function fetchRevision(
  parts: hostParts.HostParts,
  address: string,
): Promise<number> {
  const response = await parts.clients.call(
    { address, step: "peer.revision" },
    (client, signal) => client.revision.query(undefined, { signal }),
  );
  return response.ok ? response.val : -1;
}
