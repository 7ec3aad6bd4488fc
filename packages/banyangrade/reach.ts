/** How operators' commands reach the store and the hosts. */
import * as fs from "node:fs";
import * as z from "zod";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import type * as commandLine from "./command_line.ts";

/** What an operator's settings file holds. */
export const OPERATOR_SCHEMA = z.strictObject({
  store_url: z.string().describe("Key-value service."),
  hosts: z.array(z.string()).min(1).describe("Peer addresses of some hosts."),
  secret_file: z.string().describe("File with the shared secret of the hosts."),
});

/** The ways that the options open. */
export interface Reach {
  readonly store: store.StoreClient;
  readonly clients: peer.PeerClients;
  readonly hosts: readonly string[];
  readonly close: () => Promise<void>;
}

/**
 * Opens what the options name; the error is a sentence for the operator.
 *
 * @example
 * const reach = openReach(input.options).unwrap();
 */
export function openReach(
  options: commandLine.Options,
): utils.Result<Reach, string> {
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
      "Give --operator FILE, or --store, --host and --secret-file.",
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
 * Opens what the options name, runs `work` and closes it again; a mistake in
 * the options is printed.
 *
 * @example
 * return await useReach(input.options, async (reach) => 0);
 */
export async function useReach(
  options: commandLine.Options,
  work: (reach: Reach) => Promise<number>,
): Promise<number> {
  const reach = openReach(options);
  if (reach.err) {
    process.stderr.write(`${reach.val}\n`);
    return EXIT_USAGE;
  }
  try {
    return await work(reach.val);
  } finally {
    await reach.val.close();
  }
}

/** Exit code of a wrong command line. */
const EXIT_USAGE = 2;

/**
 * Asks the first host that answers.
 *
 * @example
 * const status = await askAnyHost(reach, (client, signal) => client.status.query(undefined, { signal }));
 */
export async function askAnyHost<Answer>(
  reach: Reach,
  run: Parameters<peer.PeerClients["call"]>[1] extends
    (client: infer Client, signal: AbortSignal) => unknown
    ? (client: Client, signal: AbortSignal) => Promise<Answer>
    : never,
): Promise<utils.Result<Answer, utils.StepError>> {
  let last: utils.Result<Answer, utils.StepError> = utils.Err(
    utils.createStepError("unreachable", {
      step: "operator.ask",
      peer: "hosts",
      message: "No host is named.",
    }),
  );
  for (const address of reach.hosts) {
    last = await reach.clients.call(
      { address, step: "operator.ask" },
      run,
      3_000,
    );
    if (last.ok) return last;
  }
  return last;
}

/**
 * Waits until a revision is in force at every host that can be asked, and
 * returns the hosts where it is not when the time is over.
 *
 * @example
 * const behind = await waitInForce(reach, { revision: 7, seconds: 10 });
 */
export async function waitInForce(
  reach: Reach,
  options: { readonly revision: number; readonly seconds: number },
): Promise<utils.Result<readonly peer.HostRevision[], utils.StepError>> {
  const until = Date.now() + options.seconds * 1_000;
  for (;;) {
    const listed = await askAnyHost(
      reach,
      (client, signal) => client.revisions.query("everywhere", { signal }),
    );
    const behind = listed.ok
      ? listed.val.filter((one) => one.revision < options.revision)
      : undefined;
    if (behind?.length === 0 || Date.now() >= until) {
      return listed.map(() => behind ?? []);
    }
    await utils.waitFor(100);
  }
}
