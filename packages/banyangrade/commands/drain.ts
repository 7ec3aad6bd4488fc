/** `banyangrade drain`: asks one host for a planned stop and waits for its end. */
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as reachModule from "../reach.ts";
import * as publish from "./publish.ts";

/** Longest wait for the host to stop, in ms. */
const WAIT_MS = 300_000;
/** Between two questions whether it still answers, in ms. */
const ASK_MS = 300;

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  if (typeof input.options.host !== "string") {
    process.stderr.write("Name the host to stop: --host ADDRESS.\n");
    return commandLine.EXIT.usage;
  }
  return await reachModule.useReach(input.options, drainHost);
}

async function drainHost(reach: reachModule.Reach): Promise<number> {
  const asked = await reachModule.askAnyHost(
    reach,
    (client, signal) => client.drain.mutate(undefined, { signal }),
  );
  if (asked.err) return publish.printError(asked.val);
  process.stdout.write("Draining; waiting until the host has stopped.\n");
  const until = Date.now() + WAIT_MS;
  while (Date.now() < until) {
    await utils.waitFor(ASK_MS);
    const alive = await reachModule.askAnyHost(
      reach,
      (client, signal) => client.revision.query(undefined, { signal }),
    );
    if (alive.err) {
      process.stdout.write("The host has stopped.\n");
      return commandLine.EXIT.ok;
    }
  }
  process.stderr.write("The host still runs; look at its log.\n");
  return commandLine.EXIT.failed;
}
