/** `banyangrade serve`: runs a host until a signal or an operator drains it. */
import * as utils from "@banyangrade/utils";
import * as commandLine from "../command_line.ts";
import * as hostModule from "../host.ts";
import * as settingsModule from "../settings.ts";

/** Runs the command. */
export async function run(
  input: commandLine.CommandInput,
): Promise<number | undefined> {
  const file = input.options.settings;
  if (typeof file !== "string") {
    process.stderr.write("The option --settings FILE is missing.\n");
    return commandLine.EXIT.usage;
  }
  const settings = utils.readTomlFile(file, settingsModule.SETTINGS_SCHEMA);
  if (settings.err) {
    settings.val.forEach((problem) =>
      process.stderr.write(`${utils.formatProblem(problem)}\n`)
    );
    return commandLine.EXIT.usage;
  }
  const log = utils.createLogger({
    level: settings.val.log.level,
    fields: { host: settings.val.host.name },
  });
  let stop: () => void = () => undefined;
  const host = await hostModule.startHost(settings.val, {
    log,
    onDrainAsked: () => stop(),
  });
  stop = handleSignals(host, log);
  return undefined;
}

/**
 * Drains the host on the first signal and exits at once on the second. Returns
 * the signal handler, so that a drain command has the same effect.
 */
function handleSignals(host: hostModule.Host, log: utils.Logger): () => void {
  let stopping = false;
  const stop = () => {
    if (stopping) {
      log.warn("Second stop signal; exiting without draining.");
      process.exit(commandLine.EXIT.failed);
    }
    stopping = true;
    host.drain().then(
      () => process.exit(commandLine.EXIT.ok),
      (thrown) => {
        log.error({ error: utils.getErrorMessage(thrown) }, "Drain failed.");
        process.exit(commandLine.EXIT.failed);
      },
    );
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  return stop;
}
