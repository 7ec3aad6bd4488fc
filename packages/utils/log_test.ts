/** Tests of the log's rate limit and of a reader that stops reading. */
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

// Guards against a log that blocks every request or exhausts the memory. The reader
// of the log stops reading while the process keeps logging.
tap.test("a reader that stops reading does not block the process", async (t) => {
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
  t.match(external, /^\d+$/, "the process reached its end");
});

// Guards against logging that costs more than the requests. A flood of refusals
// logs one line for each.
tap.test("lines above the rate limit are dropped and counted", async (t) => {
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
