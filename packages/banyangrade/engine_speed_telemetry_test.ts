/** Tests the logs and metrics of engines that differ in speed. */
import * as pino from "pino";
import * as tapModule from "tap";
import type * as utils from "@banyangrade/utils";
import * as core from "@banyangrade/core";
import * as exchangeTelemetry from "./gateway/exchange_telemetry.ts";
import type * as requestExchange from "./gateway/request_exchange.ts";
import * as metricsModule from "./metrics.ts";

const tap = tapModule.default;
const SERVER = {
  name: "s1@1",
  pool: "chat",
  url: "",
  state: "live",
} as const;

function createTelemetry() {
  const lines: Record<string, unknown>[] = [];
  const metrics = new metricsModule.Metrics();
  let now = 0;
  const clock = { now: () => now } as utils.Clock;
  const log = pino.pino({ base: {} }, {
    write: (line: string) => void lines.push(JSON.parse(line)),
  });
  const exchange = {
    head: { requestId: "r1" },
    route: { name: "chat" },
    request: { arrivedAt: 0 },
    table: { configuration: { version: 1 } },
  } as unknown as requestExchange.ExchangeOptions;
  return {
    lines,
    metrics,
    open: () =>
      new exchangeTelemetry.ExchangeTelemetry(
        { clock, log, metrics, dispatch: { isBrittle: () => false } },
        exchange,
      ),
    setNow: (to: number) => void (now = to),
  };
}

// Guards against operators who cannot see that a request went to a slow engine, and
// against a field in each line of services whose engines are equal.
tap.test("the speed of an engine is logged where it is not 1", (t) => {
  const { lines, open } = createTelemetry();
  const start = { attempt: 1, server: SERVER };
  const telemetry = open();
  telemetry.recordAttemptStart(start, { resumeAfter: undefined });
  telemetry.recordAttemptStart({ ...start, speed: 2 ** (1 / 4) }, {
    resumeAfter: undefined,
  });
  t.same(lines.map(({ speed }) => speed), [undefined, 1.19]);
  t.notOk("speed" in lines[0]);
  t.end();
});

// Guards against a wrong expectation of the time to the first event that nobody sees.
tap.test("the first event is compared with its expected time once", async (t) => {
  const { metrics, open, setNow } = createTelemetry();
  const measure = (start: number, firstMs: number, expectedTokens?: number) => {
    const telemetry = open();
    setNow(start);
    telemetry.recordAttemptStart({
      attempt: 1,
      server: SERVER,
      ...(expectedTokens !== undefined && { expectedTokens }),
    }, { resumeAfter: undefined });
    setNow(start + firstMs);
    telemetry.recordEvents(1);
    setNow(start + 5 * firstMs);
    telemetry.recordEvents(1);
  };
  measure(10, 100, 1_000);
  measure(1_000, 100, 1_000);
  measure(2_000, 700, 1_000);
  measure(4_000, 100);
  const text = await metrics.registry.metrics();
  t.match(text, /first_token_error_ratio_count 2/);
  t.match(text, /first_token_error_ratio_bucket\{le="0.8"\} 0/);
  t.match(text, /first_token_error_ratio_bucket\{le="1.25"\} 1/);
  t.match(text, /first_token_error_ratio_bucket\{le="4"\} 1/);
  t.match(text, /first_token_error_ratio_bucket\{le="10"\} 2/);
});

tap.test("the gauge counts engines by speed", async (t) => {
  const { metrics } = createTelemetry();
  let speeds = [0.5, 0.79, 0.84, 1, 1.19, 1.41];
  metrics.addLabelledGauge("banyangrade_engine_speeds", {
    help: "Engines by speed.",
    label: "kind",
    read: () => ({ ...core.countSpeeds(speeds) }),
  });
  t.match(await metrics.registry.metrics(), /engine_speeds\{kind="slow"\} 2/);
  t.match(await metrics.registry.metrics(), /engine_speeds\{kind="mean"\} 3/);
  t.match(await metrics.registry.metrics(), /engine_speeds\{kind="fast"\} 1/);
  speeds = [];
  t.match(await metrics.registry.metrics(), /engine_speeds\{kind="slow"\} 0/);
});
