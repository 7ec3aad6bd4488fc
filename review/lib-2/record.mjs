/** The record of a case: `record.txt` in its folder, and the exit code. */
import * as fs from "node:fs";
import * as path from "node:path";

const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Creates the record; an error that nothing handles ends the process with "could not run". */
export function createRecord(folder) {
  const file = path.join(folder, "record.txt");
  fs.writeFileSync(file, `TROUBLE=${process.env.TROUBLE ?? "1"}\n`);
  const line = (text) => {
    fs.appendFileSync(file, `${text}\n`);
    console.log(text);
  };
  const fail = (thrown) => {
    line(`could not run: ${thrown?.stack ?? thrown}`);
    process.exit(EXIT.notRun);
  };
  process.on("uncaughtException", fail);
  process.on("unhandledRejection", fail);
  process.on("SIGTERM", () => fail("stopped"));
  return {
    line,
    end: (isBroken, reason) => {
      line(`${isBroken ? "BROKEN" : "HELD"}: ${reason}`);
      process.exit(isBroken ? EXIT.broken : EXIT.held);
    },
  };
}
