/** `npm run bench`: every scenario, case and fleet, beside the naive version. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const OUT = path.join(import.meta.dirname, "../docs/measurements/bench.txt");
const PARTS = [
  ["cases", "tanzraum"],
  ["cases", "jadeleaf"],
  ["autoscaled", "tanzraum"],
  ["autoscaled", "jadeleaf"],
];

/** Runs a part in a process of its own; they do not depend on each other. */
function runPart(words: readonly string[]): Promise<string> {
  const part = path.join(import.meta.dirname, "part.ts");
  return new Promise((resolve, reject) => {
    childProcess.execFile(
      process.execPath,
      ["--import=tsx", part, ...words],
      { encoding: "utf8" },
      (error, stdout) => error === null ? resolve(stdout) : reject(error),
    );
  });
}

const startedAt = Date.now();
const texts = await Promise.all(PARTS.map(runPart));
const text = `Repeat with: npm run bench\n\n${texts.join("\n")}`;
fs.writeFileSync(OUT, text);
const seconds = Math.round((Date.now() - startedAt) / 1_000);
process.stdout.write(`${text}\n${seconds} s\n`);
