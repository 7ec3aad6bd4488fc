/** Entry point of the program: runs the command that the arguments name. */
import * as commandLine from "./command_line.ts";
import * as utils from "@banyangrade/utils";

commandLine.runCommand(process.argv.slice(2)).then((code) => {
  // A command that keeps running, such as `serve`, has no exit code yet; it
  // ends the process itself.
  if (code !== undefined) process.exitCode = code;
}).catch((thrown) => {
  process.stderr.write(`${utils.getErrorMessage(thrown)}\n`);
  process.exitCode = commandLine.EXIT.failed;
});
