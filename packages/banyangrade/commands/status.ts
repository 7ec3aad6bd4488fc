/** `banyangrade status`: hosts, revisions, roles, pools and servers. */
import type * as peer from "@banyangrade/peer";
import * as commandLine from "../command_line.ts";
import * as reachModule from "../reach.ts";
import type * as statusModule from "../status.ts";
import * as table from "../table.ts";
import * as publish from "./publish.ts";

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  return await reachModule.useReach(
    input.options,
    (reach) => showStatus(reach, input.options.json === true),
  );
}

async function showStatus(
  reach: reachModule.Reach,
  json: boolean,
): Promise<number> {
  const status = await reachModule.askAnyHost(
    reach,
    (client, signal) => client.status.query(undefined, { signal }),
  );
  if (status.err) return publish.printError(status.val);
  const revisions = await reachModule.askAnyHost(
    reach,
    (client, signal) => client.revisions.query("everywhere", { signal }),
  );
  const seen = status.val as statusModule.HostStatus;
  const hosts = revisions.ok ? revisions.val : [];
  process.stdout.write(
    json
      ? `${JSON.stringify({ status: seen, hosts })}\n`
      : formatStatus(seen, hosts),
  );
  return commandLine.EXIT.ok;
}

function formatStatus(
  seen: statusModule.HostStatus,
  hosts: readonly peer.HostRevision[],
): string {
  const sections = [
    `Seen from ${seen.host} in ${seen.failureDomain}; ` +
    `store read ${seen.secondsSinceStoreSeen} s ago.`,
    table.formatTable(
      ["host", "failure domain", "revision"],
      hosts.map((one) => [
        one.host,
        one.failureDomain,
        one.revision < 0 ? "no answer" : one.revision,
      ]),
    ),
    table.formatTable(
      ["role", "held by", "fencing token"],
      [
        ...seen.roles.map((role) => [role.role, role.host, role.token]),
        ["capacity", seen.capacityLeader, "-"],
      ],
    ),
    table.formatTable(
      ["pool", "servers", "running here", "slots", "held back"],
      seen.pools.map((pool) => [
        pool.name,
        pool.servers,
        pool.running,
        pool.slots,
        pool.limits.join(", "),
      ]),
    ),
    table.formatTable(
      ["server", "pool", "state", "running here"],
      seen.servers.map((server) => [
        server.name,
        server.pool,
        server.ejected ? "ejected" : server.state,
        server.running,
      ]),
    ),
    table.formatTable(
      ["waiting in", "tier", "requests"],
      seen.lanes.map((lane) => [lane.lane, lane.tier, lane.waiting]),
    ),
  ];
  return `${sections.join("\n\n")}\n`;
}
