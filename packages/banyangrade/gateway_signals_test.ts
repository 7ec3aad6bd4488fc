/** Tests which signals of backend servers are logged and counted. */
import * as pino from "pino";
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as serverSignals from "./gateway/server_signals.ts";
import * as metricsModule from "./metrics.ts";

const tap = tapModule.default;

// Guards against a server that names its limit in each response and fills the log with it.
tap.test("a signal is logged when it changes", async (t) => {
  const lines: string[] = [];
  const metrics = new metricsModule.Metrics();
  const log = new serverSignals.SignalLog({
    log: pino.pino({ base: {} }, {
      write: (line: string) => void lines.push(JSON.parse(line).msg),
    }),
    metrics,
  });
  const name = (limitsPerSecond: readonly number[]) =>
    log.record("s1@1", { ...core.NO_SIGNALS, limitsPerSecond });
  [[], [1.5], [1.5], [2], [], []].forEach(name);
  t.same(lines, ["Limit named.", "Limit named.", "Limit no longer named."]);
  const malformed = [{ header: "server-limit", value: "x" }];
  log.record("s1@1", { ...core.NO_SIGNALS, malformed });
  log.record("s1@1", { ...core.NO_SIGNALS, malformed });
  t.same(lines.slice(3), ["Malformed signal ignored."]);
  const other = [{ header: "server-limit", value: "y" }];
  log.record("s1@1", { ...core.NO_SIGNALS, malformed: other });
  t.equal(lines.length, 4, "one line for each server and header");
  log.record("s1@1", { ...core.NO_SIGNALS, restsMs: [1_000, 3_000] });
  t.same(lines.slice(4), ["Rest requested."]);
  log.record("s1@1", { ...core.NO_SIGNALS, leaving: true });
  log.record("s1@1", { ...core.NO_SIGNALS, leaving: true });
  t.same(lines.slice(5), ["Leaving announced."]);
  t.match(
    await metrics.registry.metrics(),
    /banyangrade_server_signals_total\{signal="limit_named"\} 2/,
  );
});
