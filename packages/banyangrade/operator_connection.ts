/** Connection of the operators' commands to the store and the hosts. */
import * as fs from "node:fs";
import * as z from "zod";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as commandLine from "./command_line.ts";

/** Schema of an operator's settings file. */
export const OPERATOR_SCHEMA = z.strictObject({
  store_url: z.string().describe("Key-value service."),
  hosts: z.array(z.string()).min(1).describe(
    "Peer addresses of one or more hosts.",
  ),
  secret_file: z.string().describe("File with the shared secret of the hosts."),
});

/** Clients for the store and the hosts that the options name. */
export interface OperatorConnection {
  readonly store: store.StoreClient;
  readonly clients: peer.PeerClients;
  readonly hosts: readonly string[];
  readonly close: () => Promise<void>;
}

/**
 * Opens the connection that the options describe. The error is a message for
 * the operator.
 *
 * @example
 * const connection = openConnection(input.options).unwrap();
 */
export function openConnection(
  options: commandLine.Options,
): utils.Result<OperatorConnection, string> {
  const file = typeof options.operator === "string"
    ? utils.readTomlFile(options.operator, OPERATOR_SCHEMA)
    : utils.Ok(undefined);
  if (file.err) {
    return utils.Err(file.val.map(utils.formatProblem).join("\n"));
  }
  const url = options.store ?? file.val?.store_url;
  const hosts = typeof options.host === "string"
    ? [options.host]
    : file.val?.hosts;
  const secretFile = options["secret-file"] ?? file.val?.secret_file;
  if (
    typeof url !== "string" || hosts === undefined ||
    typeof secretFile !== "string"
  ) {
    return utils.Err(
      "Specify --operator FILE, or all of --store, --host and --secret-file.",
    );
  }
  const secret = fs.readFileSync(secretFile, "utf8").split("\n")[0].trim();
  const client = store.createStoreClient({ url });
  const clients = new peer.PeerClients({ secret, clock: utils.SYSTEM_CLOCK });
  return utils.Ok({
    store: client,
    clients,
    hosts,
    close: async () => {
      clients.close();
      await client.close();
    },
  });
}

/**
 * Opens the connection that the options describe, runs `work` with it and closes
 * it. If the options are invalid, prints the error and returns the exit code.
 *
 * @example
 * return await withConnection(input.options, async (connection) => 0);
 */
export async function withConnection(
  options: commandLine.Options,
  work: (connection: OperatorConnection) => Promise<number>,
): Promise<number> {
  const connection = openConnection(options);
  if (connection.err) {
    process.stderr.write(`${connection.val}\n`);
    return EXIT_USAGE;
  }
  try {
    return await work(connection.val);
  } finally {
    await connection.val.close();
  }
}

/** Exit code of an invalid command line. */
const EXIT_USAGE = 2;

/**
 * Calls the hosts in order until one answers without an error, and returns its
 * answer, or the last error.
 *
 * @example
 * const status = await callAnyHost(connection, (client, signal) => client.status.query(undefined, { signal }));
 */
export async function callAnyHost<Answer>(
  connection: OperatorConnection,
  run: Parameters<peer.PeerClients["call"]>[1] extends
    (client: infer Client, signal: AbortSignal) => unknown
    ? (client: Client, signal: AbortSignal) => Promise<Answer>
    : never,
): Promise<utils.Result<Answer, utils.StepError>> {
  let lastResult: utils.Result<Answer, utils.StepError> = utils.Err(
    utils.createStepError("unreachable", {
      step: "operator.ask",
      peer: "hosts",
      message: "No host address is configured.",
    }),
  );
  for (const address of connection.hosts) {
    lastResult = await connection.clients.call(
      { address, step: "operator.ask" },
      run,
      3_000,
    );
    if (lastResult.ok) return lastResult;
  }
  return lastResult;
}

/**
 * Waits until a revision is in force at every host. Returns the hosts where it
 * is not yet in force when the time limit ends.
 *
 * @example
 * const outdated = await waitUntilInForce(connection, { revision: 7, seconds: 10 });
 */
export async function waitUntilInForce(
  connection: OperatorConnection,
  options: { readonly revision: number; readonly seconds: number },
): Promise<utils.Result<readonly peer.HostRevision[], utils.StepError>> {
  const deadline = Date.now() + options.seconds * 1_000;
  for (;;) {
    const listed = await callAnyHost(
      connection,
      (client, signal) => client.revisions.query("everywhere", { signal }),
    );
    const outdated = listed.ok
      ? listed.val.filter((one) => one.revision < options.revision)
      : undefined;
    if (outdated?.length === 0 || Date.now() >= deadline) {
      return listed.map(() => outdated ?? []);
    }
    await utils.waitFor(100);
  }
}
