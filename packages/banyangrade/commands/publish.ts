/** `banyangrade publish`: from service files to a revision in force everywhere. */
import * as os from "node:os";
import * as core from "@banyangrade/core";
import * as operator from "@banyangrade/operator";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as reachModule from "../reach.ts";

/** Time to wait for the revision to be in force everywhere, in seconds. */
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
  return await reachModule.useReach(
    input.options,
    (reach) => publish(reach, { input, parts }),
  );
}

async function publish(
  reach: reachModule.Reach,
  { input, parts }: {
    readonly input: commandLine.CommandInput;
    readonly parts: readonly core.ConfigPart[];
  },
): Promise<number> {
  if (input.options["dry-run"] === true) {
    return await showDifference(reach, parts);
  }
  const published = await operator.publishParts(reach.store, {
    parts,
    author: getAuthor(input.options),
  });
  if (published.err) return printError(published.val);
  switch (published.val.kind) {
    case "unchanged":
      process.stdout.write(
        `Nothing to publish; revision ${published.val.revision} holds it all.\n`,
      );
      return commandLine.EXIT.ok;
    case "overtaken":
      process.stderr.write(
        `${published.val.by.author} published revision ` +
          `${published.val.by.revision} first. Look at its change with ` +
          `"publish --dry-run", then publish again.\n`,
      );
      return commandLine.EXIT.overtaken;
    case "committed":
      process.stdout.write(formatChange(published.val.change));
      return await confirmInForce(reach, {
        revision: published.val.change.revision,
        seconds: Number(input.options.wait ?? DEFAULT_WAIT_SECONDS),
      });
  }
}

async function showDifference(
  reach: reachModule.Reach,
  parts: readonly core.ConfigPart[],
): Promise<number> {
  const read = await store.readConfiguration(
    reach.store,
    core.EMPTY_CONFIGURATION,
  );
  if (read.err) return printError(read.val);
  const difference = core.computeDifference(read.val.configuration, {
    wanted: parts,
    owned: operator.OWNED_KINDS,
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
 * Waits until the revision is in force everywhere and says where it is not.
 *
 * @example
 * const code = await confirmInForce(reach, { revision: 3, seconds: 10 });
 */
export async function confirmInForce(
  reach: reachModule.Reach,
  options: { readonly revision: number; readonly seconds: number },
): Promise<number> {
  const behind = await reachModule.waitInForce(reach, options);
  if (behind.err) {
    process.stderr.write("It is committed, but no host could be asked.\n");
    return commandLine.EXIT.notInForce;
  }
  if (behind.val.length === 0) {
    process.stdout.write("It is in force at every host.\n");
    return commandLine.EXIT.ok;
  }
  behind.val.forEach((one) =>
    process.stderr.write(
      `Not in force at ${one.host} in ${one.failureDomain}: ` +
        (one.revision < 0 ? "no answer.\n" : `revision ${one.revision}.\n`),
    )
  );
  return commandLine.EXIT.notInForce;
}

/**
 * Returns who publishes, for the audit trail.
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
