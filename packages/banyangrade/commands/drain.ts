/** `banyangrade drain`: drains one host and waits until it has stopped. */
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as operatorConnection from "../operator_connection.ts";
import * as publish from "./publish.ts";

/** Time limit for the host to stop, in ms. */
const STOP_TIMEOUT_MS = 300_000;
/** Interval at which the command checks whether the host still responds, in ms. */
const POLL_MS = 300;

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  if (typeof input.options.host !== "string") {
    process.stderr.write(
      "The option --host ADDRESS is missing: the peer address of the host to drain.\n",
    );
    return commandLine.EXIT.usage;
  }
  return await operatorConnection.withConnection(input.options, drainHost);
}

async function drainHost(
  connection: operatorConnection.OperatorConnection,
): Promise<number> {
  const accepted = await operatorConnection.callAnyHost(
    connection,
    (client, signal) => client.drain.mutate(undefined, { signal }),
  );
  if (accepted.err) return publish.printError(accepted.val);
  process.stdout.write("Draining; waiting until the host has stopped.\n");
  const deadline = Date.now() + STOP_TIMEOUT_MS;
  while (Date.now() < deadline) {
    await utils.waitFor(POLL_MS);
    const response = await operatorConnection.callAnyHost(
      connection,
      (client, signal) => client.revision.query(undefined, { signal }),
    );
    if (response.err) {
      process.stdout.write("The host has stopped.\n");
      return commandLine.EXIT.ok;
    }
  }
  process.stderr.write(
    "The host did not stop within the time limit; see its log.\n",
  );
  return commandLine.EXIT.failed;
}
