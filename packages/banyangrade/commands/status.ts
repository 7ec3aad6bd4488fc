/** `banyangrade status`: shows hosts, revisions, roles, pools and servers. */
import type * as peer from "@banyangrade/peer";
import * as commandLine from "../command_line.ts";
import * as operatorConnection from "../operator_connection.ts";
import type * as statusModule from "../status.ts";
import * as table from "../table.ts";
import * as publish from "./publish.ts";

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  return await operatorConnection.withConnection(
    input.options,
    (connection) => showStatus(connection, input.options.json === true),
  );
}

async function showStatus(
  connection: operatorConnection.OperatorConnection,
  json: boolean,
): Promise<number> {
  const response = await operatorConnection.callAnyHost(
    connection,
    (client, signal) => client.status.query(undefined, { signal }),
  );
  if (response.err) return publish.printError(response.val);
  const revisions = await operatorConnection.callAnyHost(
    connection,
    (client, signal) => client.revisions.query("everywhere", { signal }),
  );
  const hostStatus = response.val as statusModule.HostStatus;
  const hosts = revisions.ok ? revisions.val : [];
  process.stdout.write(
    json
      ? `${JSON.stringify({ status: hostStatus, hosts })}\n`
      : formatStatus(hostStatus, hosts),
  );
  return commandLine.EXIT.ok;
}

function formatStatus(
  hostStatus: statusModule.HostStatus,
  hosts: readonly peer.HostRevision[],
): string {
  const sections = [
    `Seen from ${hostStatus.host} in ${hostStatus.failureDomain}; ` +
    `store read ${hostStatus.secondsSinceStoreSeen} s ago.`,
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
        ...hostStatus.roles.map((role) => [role.role, role.host, role.token]),
        ["capacity", hostStatus.capacityLeader, "-"],
      ],
    ),
    table.formatTable(
      ["pool", "servers", "running here", "slots", "held back"],
      hostStatus.pools.map((pool) => [
        pool.name,
        pool.servers,
        pool.running,
        pool.slots,
        pool.limits.join(", "),
      ]),
    ),
    table.formatTable(
      ["server", "pool", "state", "running here"],
      hostStatus.servers.map((server) => [
        server.name,
        server.pool,
        server.ejected ? "ejected" : server.state,
        server.running,
      ]),
    ),
    table.formatTable(
      ["waiting in", "tier", "requests"],
      hostStatus.lanes.map((lane) => [lane.lane, lane.tier, lane.waiting]),
    ),
  ];
  return `${sections.join("\n\n")}\n`;
}
