/** `banyangrade check`: validates settings and service files without connecting to anything. */
import * as operator from "@banyangrade/operator";
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as settingsModule from "../settings.ts";

/** Runs the command. */
export function run(input: commandLine.CommandInput): Promise<number> {
  const { settings, services, json } = input.options;
  if (settings === undefined && services === undefined) {
    process.stderr.write(
      "Specify --settings FILE, --services FOLDER or both.\n",
    );
    return Promise.resolve(commandLine.EXIT.usage);
  }
  const problems = [
    ...(typeof settings === "string" ? checkSettings(settings) : []),
    ...(typeof services === "string" ? checkServices(services) : []),
  ];
  const text = json === true
    ? JSON.stringify({ problems })
    : problems.map(utils.formatProblem).join("\n") || "No problems.";
  process.stdout.write(`${text}\n`);
  return Promise.resolve(
    problems.length === 0 ? commandLine.EXIT.ok : commandLine.EXIT.usage,
  );
}

function checkSettings(file: string): readonly utils.FileProblem[] {
  const read = utils.readTomlFile(file, settingsModule.SETTINGS_SCHEMA);
  return read.err ? read.val : [];
}

function checkServices(folder: string): readonly utils.FileProblem[] {
  const collected = operator.collectParts(folder);
  return collected.err ? collected.val : [];
}
