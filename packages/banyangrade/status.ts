/** What a host says of itself and of its failure domain. */
import type * as peer from "@banyangrade/peer";
import type * as hostParts from "./host_parts.ts";

/** Status of one host. */
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
    /** Classes that are held back, with this host's slots for each. */
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
 * Builds the status from live state.
 *
 * @example
 * const status = buildStatus(parts);
 */
export function buildStatus(parts: hostParts.HostParts): HostStatus {
  const seen = parts.dispatcher.inspect();
  const now = parts.clock.now();
  const since = parts.clock.wall() - parts.overlay.getConfirmedAt();
  return {
    host: parts.settings.host.name,
    failureDomain: parts.settings.host.failure_domain,
    ready: parts.state.ready,
    draining: parts.state.draining,
    revision: parts.config.get().revision,
    secondsSinceStoreSeen: Math.round(since / 1_000),
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
    pools: seen.pools.map((pool) => ({
      name: pool.part.name,
      servers:
        seen.servers.filter((server) => server.info.pool === pool.part.name)
          .length,
      running: pool.running,
      slots: pool.totalSlots,
      limits: [...pool.limits].map(([name, slots]) => `${name} ${slots}`),
    })),
    servers: seen.servers.map((server) => ({
      name: server.info.name,
      pool: server.info.pool,
      state: server.info.state,
      running: server.running,
      ejected: server.ejectedUntil > now,
    })),
    lanes: seen.lanes.map((lane) => ({
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
 * Lists the revision in force at each host: of this failure domain by asking
 * each member, of the others by asking one host there to do the same.
 *
 * @example
 * const revisions = await listRevisions(parts, "everywhere");
 */
export async function listRevisions(
  parts: hostParts.HostParts,
  scope: "domain" | "everywhere",
): Promise<peer.HostRevision[]> {
  const own = await listOwnDomain(parts);
  if (scope === "domain") return own;
  const others = await Promise.all(
    parts.overlay.listRemoteContacts().map((contact) =>
      askDomain(parts, contact)
    ),
  );
  return [...own, ...others.flat()];
}

async function askDomain(
  parts: hostParts.HostParts,
  contact: peer.Contact,
): Promise<readonly peer.HostRevision[]> {
  const answer = await parts.clients.call(
    { address: contact.address, step: "peer.revisions" },
    (client, signal) => client.revisions.query("domain", { signal }),
  );
  if (answer.ok) return answer.val;
  const { name: host, failureDomain } = contact;
  return [{ host, failureDomain, revision: -1 }];
}

async function listOwnDomain(
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
        : await askRevision(parts, member.address),
    })),
  );
}

async function askRevision(
  parts: hostParts.HostParts,
  address: string,
): Promise<number> {
  const answer = await parts.clients.call(
    { address, step: "peer.revision" },
    (client, signal) => client.revision.query(undefined, { signal }),
  );
  return answer.ok ? answer.val : -1;
}
