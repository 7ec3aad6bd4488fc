/** The bound on log lines, and a reader that stops reading. */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as tapModule from "tap";

const tap = tapModule.default;
const LOG = path.join(import.meta.dirname, "log.ts");

function startLogging(script: string): childProcess.ChildProcess {
  return childProcess.spawn(process.execPath, [
    "--import=tsx",
    "--input-type=module",
    "--eval",
    `import { createLogger } from ${JSON.stringify(LOG)}; ${script}`,
  ], { stdio: ["ignore", "pipe", "pipe"] });
}

// Whatever reads the log stops reading. The process must go on at its pace and
// keep its memory; a write that waits would stop every request.
tap.test("a reader that does not read holds nothing up", async (t) => {
  const child = startLogging(`
    const log = createLogger({ output: "stdout" });
    const text = "x".repeat(1000);
    const write = (left) => {
      for (let line = 0; line < 1000; line += 1) log.info(text);
      if (left > 0) return setImmediate(write, left - 1);
      process.stderr.write(String(process.memoryUsage().external));
      process.kill(process.pid, "SIGKILL");
    };
    write(60);
  `);
  t.teardown(() => child.kill("SIGKILL"));
  let external = "";
  child.stderr?.on("data", (chunk) => {
    external += String(chunk);
  });
  await new Promise((resolve) => child.on("close", resolve));
  t.match(external, /^\d+$/, "it came to its end");
});

// A flood of refusals: one line each would cost more than the refusals do.
tap.test("lines beyond the bound are counted and left out", async (t) => {
  const child = startLogging(`
    const log = createLogger({ output: "stdout", linesPerSecond: 10 });
    for (let line = 0; line < 500; line += 1) log.info("flood");
    setTimeout(() => log.info("after"), 1200);
  `);
  let text = "";
  child.stdout?.on("data", (chunk) => {
    text += String(chunk);
  });
  await new Promise((resolve) => child.on("close", resolve));
  const lines = text.trim().split("\n").map((line) => JSON.parse(line));
  const floods = lines.filter(({ msg }) => msg === "flood").length;
  const leftOut = lines.reduce((sum, line) => sum + (line.leftOut ?? 0), 0);
  t.ok(floods <= 20, `${floods} lines`);
  t.equal(floods + leftOut, 500);
  t.equal(lines.at(-1)?.msg, "after");
});
