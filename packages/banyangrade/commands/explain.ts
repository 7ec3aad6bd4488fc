/** `banyangrade explain`: explains why a request was refused, a class waits or a server idles. */
import * as fs from "node:fs";
import type * as core from "@banyangrade/core";
import * as commandLine from "../command_line.ts";
import * as requestTrace from "../request_trace.ts";
import * as operatorConnection from "../operator_connection.ts";
import type * as statusModule from "../status.ts";
import * as publish from "./publish.ts";

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  const [subject, name] = input.arguments;
  const isKnownSubject = subject === "request" || subject === "class" ||
    subject === "server";
  if (!isKnownSubject || name === undefined) {
    process.stderr.write(
      "Usage: explain request ID, explain class NAME or explain server NAME.\n",
    );
    return commandLine.EXIT.usage;
  }
  const { log } = input.options;
  if (subject === "request" && typeof log === "string") {
    return explainFromLog(log, name);
  }
  return await operatorConnection.withConnection(
    input.options,
    async (connection) => {
      if (subject === "request") return await explainRequest(connection, name);
      const response = await operatorConnection.callAnyHost(
        connection,
        (client, signal) => client.status.query(undefined, { signal }),
      );
      if (response.err) return publish.printError(response.val);
      const status = response.val as statusModule.HostStatus;
      const lines = subject === "class"
        ? explainClass(status, name)
        : explainServer(status, name);
      process.stdout.write(`${lines.join("\n")}\n`);
      return commandLine.EXIT.ok;
    },
  );
}

/** Prints the trace of a request from a log file, without asking a host. */
function explainFromLog(file: string, requestId: string): number {
  const lines = requestTrace.formatRequestTrace(
    fs.readFileSync(file, "utf8"),
    requestId,
  );
  if (lines.length === 0) {
    process.stderr.write(
      `No log line in ${file} contains the request ID ${requestId}.\n`,
    );
    return commandLine.EXIT.failed;
  }
  process.stdout.write(`${lines.join("\n")}\n`);
  return commandLine.EXIT.ok;
}

/** Asks each configured host in turn, because only the host that refused a request keeps the refusal. */
async function explainRequest(
  connection: operatorConnection.OperatorConnection,
  requestId: string,
): Promise<number> {
  for (const address of connection.hosts) {
    const response = await operatorConnection.callAnyHost(
      { ...connection, hosts: [address] },
      (client, signal) => client.refusal.query(requestId, { signal }),
    );
    if (response.ok && response.val !== null) {
      process.stdout.write(`${describeRefusal(response.val)}\n`);
      return commandLine.EXIT.ok;
    }
  }
  process.stdout.write(
    "No configured host has a recent refusal of this request: it was " +
      "answered, still runs, or went to another host.\n",
  );
  return commandLine.EXIT.failed;
}

function describeRefusal(refusal: core.Refusal): string {
  return `Refused at ${refusal.step} (${refusal.code}): ${refusal.message} ` +
    `Ran: ${refusal.ran}. Peer: ${refusal.peer}.`;
}

function explainClass(status: statusModule.HostStatus, name: string): string[] {
  const lanes = status.lanes.filter((lane) => lane.lane.startsWith(`${name}|`));
  const limitedPools = status.pools.filter((pool) =>
    pool.limits.some((limit) => limit.startsWith(`${name} `))
  );
  return [
    `Seen from ${status.host}:`,
    ...lanes.map((lane) =>
      `${lane.waiting} requests are queued in ${lane.lane}.`
    ),
    ...limitedPools.map((pool) =>
      `Held back in ${pool.name}, which has too few slots (${pool.slots}): ` +
      `${pool.limits.join(", ")}.`
    ),
    ...(lanes.length + limitedPools.length === 0
      ? ["Nothing of this class is queued or held back."]
      : []),
  ];
}

function explainServer(
  status: statusModule.HostStatus,
  name: string,
): string[] {
  const server = status.servers.find((one) => one.name === name);
  if (server === undefined) {
    return [
      `${status.host} does not know this server: it is missing from the ` +
      "fleet's server list, or its pool is not published.",
    ];
  }
  return [
    `${server.name} in ${server.pool} runs ${server.running} requests of ${status.host}.`,
    ...(server.state === "leaving"
      ? ["It is leaving and gets no new requests."]
      : []),
    ...(server.ejected
      ? ["It is ejected for a while because it failed several times in a row."]
      : []),
  ];
}
