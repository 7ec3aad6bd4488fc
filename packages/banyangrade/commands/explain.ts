/** `banyangrade explain`: why a request was refused, a class waits or a server idles. */
import * as fs from "node:fs";
import type * as core from "@banyangrade/core";
import * as commandLine from "../command_line.ts";
import * as requestTrace from "../request_trace.ts";
import * as reachModule from "../reach.ts";
import type * as statusModule from "../status.ts";
import * as publish from "./publish.ts";

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  const [subject, name] = input.arguments;
  const known = subject === "request" || subject === "class" ||
    subject === "server";
  if (!known || name === undefined) {
    process.stderr.write(
      "Write: explain request ID, explain class NAME or explain server NAME.\n",
    );
    return commandLine.EXIT.usage;
  }
  const { log } = input.options;
  if (subject === "request" && typeof log === "string") {
    return explainFromLog(log, name);
  }
  return await reachModule.useReach(input.options, async (reach) => {
    if (subject === "request") return await explainRequest(reach, name);
    const status = await reachModule.askAnyHost(
      reach,
      (client, signal) => client.status.query(undefined, { signal }),
    );
    if (status.err) return publish.printError(status.val);
    const seen = status.val as statusModule.HostStatus;
    const lines = subject === "class"
      ? explainClass(seen, name)
      : explainServer(seen, name);
    process.stdout.write(`${lines.join("\n")}\n`);
    return commandLine.EXIT.ok;
  });
}

/** Tells the story from log lines; needs no host. */
function explainFromLog(file: string, requestId: string): number {
  const lines = requestTrace.formatRequestTrace(
    fs.readFileSync(file, "utf8"),
    requestId,
  );
  if (lines.length === 0) {
    process.stderr.write(`No line in ${file} names ${requestId}.\n`);
    return commandLine.EXIT.failed;
  }
  process.stdout.write(`${lines.join("\n")}\n`);
  return commandLine.EXIT.ok;
}

/** Asks every host that is named, since only one of them refused it. */
async function explainRequest(
  reach: reachModule.Reach,
  requestId: string,
): Promise<number> {
  for (const address of reach.hosts) {
    const answer = await reachModule.askAnyHost(
      { ...reach, hosts: [address] },
      (client, signal) => client.refusal.query(requestId, { signal }),
    );
    if (answer.ok && answer.val !== null) {
      process.stdout.write(`${describeRefusal(answer.val)}\n`);
      return commandLine.EXIT.ok;
    }
  }
  process.stdout.write(
    "No host that was asked refused it of late: it was answered, runs, or " +
      "went to another host.\n",
  );
  return commandLine.EXIT.failed;
}

function describeRefusal(refusal: core.Refusal): string {
  return `Refused at ${refusal.step} (${refusal.code}): ${refusal.message} ` +
    `Ran: ${refusal.ran}. Peer: ${refusal.peer}.`;
}

function explainClass(seen: statusModule.HostStatus, name: string): string[] {
  const lanes = seen.lanes.filter((lane) => lane.lane.startsWith(`${name}|`));
  const held = seen.pools.filter((pool) =>
    pool.limits.some((limit) => limit.startsWith(`${name} `))
  );
  return [
    `Seen from ${seen.host}:`,
    ...lanes.map((lane) => `${lane.waiting} wait in ${lane.lane}.`),
    ...held.map((pool) =>
      `Held back in ${pool.name}, whose ${pool.slots} slots are short: ` +
      `${pool.limits.join(", ")}.`
    ),
    ...(lanes.length + held.length === 0
      ? ["Nothing of this class waits or is held back."]
      : []),
  ];
}

function explainServer(seen: statusModule.HostStatus, name: string): string[] {
  const server = seen.servers.find((one) => one.name === name);
  if (server === undefined) {
    return [
      `${seen.host} does not know it: the fleet's list lacks it, or its pool ` +
      "is not published.",
    ];
  }
  return [
    `${server.name} in ${server.pool} runs ${server.running} for ${seen.host}.`,
    ...(server.state === "leaving"
      ? ["It is leaving and gets nothing new."]
      : []),
    ...(server.ejected
      ? ["It failed several times in a row and is left alone for a while."]
      : []),
  ];
}
