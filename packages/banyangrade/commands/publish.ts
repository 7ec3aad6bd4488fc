/** `banyangrade publish`: commits the service files as a revision and waits until it is in force at every host. */
import * as os from "node:os";
import * as core from "@banyangrade/core";
import * as operator from "@banyangrade/operator";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as operatorConnection from "../operator_connection.ts";

/** Default time limit for the revision to be in force at every host, in seconds. */
const DEFAULT_WAIT_SECONDS = 10;

/** Runs the command. */
export async function run(input: commandLine.CommandInput): Promise<number> {
  const { services } = input.options;
  if (typeof services !== "string") {
    process.stderr.write("The option --services FOLDER is missing.\n");
    return commandLine.EXIT.usage;
  }
  const collected = operator.collectParts(services);
  if (collected.err) {
    collected.val.forEach((problem) =>
      process.stderr.write(`${utils.formatProblem(problem)}\n`)
    );
    return commandLine.EXIT.usage;
  }
  const parts = collected.val;
  return await operatorConnection.withConnection(
    input.options,
    (connection) => publish(connection, { input, parts }),
  );
}

async function publish(
  connection: operatorConnection.OperatorConnection,
  { input, parts }: {
    readonly input: commandLine.CommandInput;
    readonly parts: readonly core.ConfigPart[];
  },
): Promise<number> {
  if (input.options["dry-run"] === true) {
    return await showDifference(connection, parts);
  }
  const published = await operator.publishParts(connection.store, {
    parts,
    author: getAuthor(input.options),
  });
  if (published.err) return printError(published.val);
  switch (published.val.kind) {
    case "unchanged":
      process.stdout.write(
        `Nothing to publish: revision ${published.val.revision} has the same content.\n`,
      );
      return commandLine.EXIT.ok;
    case "overtaken":
      process.stderr.write(
        `${published.val.by.author} published revision ` +
          `${published.val.by.revision} first. Review the difference with ` +
          `"publish --dry-run", then publish again.\n`,
      );
      return commandLine.EXIT.overtaken;
    case "committed":
      process.stdout.write(formatChange(published.val.change));
      return await confirmInForce(connection, {
        revision: published.val.change.revision,
        seconds: Number(input.options.wait ?? DEFAULT_WAIT_SECONDS),
      });
  }
}

async function showDifference(
  connection: operatorConnection.OperatorConnection,
  parts: readonly core.ConfigPart[],
): Promise<number> {
  const read = await store.readConfiguration(
    connection.store,
    core.EMPTY_CONFIGURATION,
  );
  if (read.err) return printError(read.val);
  const difference = core.computeDifference(read.val.configuration, {
    wanted: parts,
    owned: operator.SERVICE_FILE_KINDS,
  });
  process.stdout.write(formatDifference(difference));
  return commandLine.EXIT.ok;
}

function formatDifference(difference: core.ConfigDifference): string {
  const lines = [
    ...difference.puts.map((part) => `  + ${core.getPartId(part)}`),
    ...difference.removes.map((id) => `  - ${id}`),
  ];
  return lines.length === 0 ? "No difference.\n" : `${lines.join("\n")}\n`;
}

function formatChange(change: core.ConfigChange): string {
  return `Revision ${change.revision} is committed:\n${
    formatDifference(change)
  }`;
}

/**
 * Waits until the revision is in force at every host, prints the hosts where it
 * is not, and returns the exit code.
 *
 * @example
 * const code = await confirmInForce(connection, { revision: 3, seconds: 10 });
 */
export async function confirmInForce(
  connection: operatorConnection.OperatorConnection,
  options: { readonly revision: number; readonly seconds: number },
): Promise<number> {
  const outdated = await operatorConnection.waitUntilInForce(
    connection,
    options,
  );
  if (outdated.err) {
    process.stderr.write(
      "The change is committed, but no host could be asked whether it is in force.\n",
    );
    return commandLine.EXIT.notInForce;
  }
  if (outdated.val.length === 0) {
    process.stdout.write("The change is in force at every host.\n");
    return commandLine.EXIT.ok;
  }
  outdated.val.forEach((one) =>
    process.stderr.write(
      `Not in force at ${one.host} in ${one.failureDomain}: ` +
        (one.revision < 0 ? "no answer.\n" : `revision ${one.revision}.\n`),
    )
  );
  return commandLine.EXIT.notInForce;
}

/**
 * Returns the author that the audit trail records for a change.
 *
 * @example
 * getAuthor({ author: "ana" }); // "ana"
 */
export function getAuthor(options: commandLine.Options): string {
  return typeof options.author === "string"
    ? options.author
    : os.userInfo().username;
}

/**
 * Prints an error and returns the exit code for it.
 *
 * @example
 * return printError(result.val);
 */
export function printError(error: utils.StepError): number {
  process.stderr.write(`${utils.formatStepError(error)}\n`);
  return commandLine.EXIT.failed;
}
