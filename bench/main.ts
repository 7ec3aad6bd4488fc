/**
 * `npm run bench`: runs all cases and autoscaling runs of each scenario in the
 * simulation, compares the dispatcher with a naive baseline and writes
 * docs/measurements/bench.txt.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const OUTPUT_FILE = path.join(
  import.meta.dirname,
  "../docs/measurements/bench.txt",
);
const SUITES = [
  ["cases", "tanzraum"],
  ["cases", "jadeleaf"],
  ["autoscaled", "tanzraum"],
  ["autoscaled", "jadeleaf"],
];

/** Runs a suite in a child process and returns what it printed. */
function runSuite(args: readonly string[]): Promise<string> {
  const script = path.join(import.meta.dirname, "suite.ts");
  return new Promise((resolve, reject) => {
    childProcess.execFile(
      process.execPath,
      ["--import=tsx", script, ...args],
      { encoding: "utf8" },
      (error, stdout) => error === null ? resolve(stdout) : reject(error),
    );
  });
}

const startedAt = Date.now();
const outputs = await Promise.all(SUITES.map(runSuite));
const text = `Repeat with: npm run bench\n\n${outputs.join("\n")}`;
fs.writeFileSync(OUTPUT_FILE, text);
const seconds = Math.round((Date.now() - startedAt) / 1_000);
process.stdout.write(`${text}\n${seconds} s\n`);
