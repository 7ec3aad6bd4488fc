/**
 * `npm run load`: measures the latency that one host adds to direct calls to the
 * same fake backend servers, its throughput, memory and start-up time.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as hdr from "hdr-histogram-js";
import * as undici from "undici";
import * as utils from "@banyangrade/utils";
import * as clusterModule from "../playground/cluster.ts";
import * as table from "../packages/banyangrade/table.ts";

const RUN_MS = 8_000;
/** Clock ticks per second of the processor times in /proc. */
const CLOCK_TICKS_PER_SECOND = 100;

const agent = new undici.Agent({ connections: 2_000, pipelining: 1 });

/** Reads the processor time that a process has used, in seconds. */
function readCpu(pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, "utf8")
    .split(") ")[1].split(" ");
  return (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND;
}

/** Reads the resident memory of a process, in MB. */
function readMemory(pid: number): number {
  const text = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}

interface Target {
  readonly url: string;
  readonly key: string;
}

/**
 * Sends requests at a constant rate, independent of the responses, and records
 * the duration that `send` returns for each, in microseconds.
 */
async function sendAtRate(
  perSecond: number,
  send: () => Promise<number>,
): Promise<hdr.Histogram> {
  const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
  const all: Promise<void>[] = [];
  const startedAt = performance.now();
  const count = perSecond * RUN_MS / 1_000;
  for (let index = 0; index < count; index += 1) {
    const scheduledAt = startedAt + index * 1_000 / perSecond;
    const wait = scheduledAt - performance.now();
    if (wait > 0) await utils.waitFor(wait);
    all.push(send().then((ms) => histogram.recordValue(ms * 1_000)));
  }
  await Promise.all(all);
  return histogram;
}

async function sendCall(target: Target, prefix: string): Promise<number> {
  const startedAt = performance.now();
  const answer = await undici.request(`${target.url}${prefix}/monday`, {
    dispatcher: agent,
    headers: { authorization: `Bearer ${target.key}` },
  });
  await answer.body.dump();
  if (answer.statusCode !== 200) throw new Error(`HTTP ${answer.statusCode}`);
  return performance.now() - startedAt;
}

/** Streams a response; returns the time to first token, in ms. */
async function sendStream(
  target: Target,
  options: { readonly tokens: number; readonly onTokens?: (n: number) => void },
): Promise<number> {
  const startedAt = performance.now();
  let first = 0;
  const answer = await undici.request(`${target.url}/v1/chat/completions`, {
    dispatcher: agent,
    method: "POST",
    headers: {
      authorization: `Bearer ${target.key}`,
      "x-request-id": "direct",
      "x-attempt": "1",
    },
    body: JSON.stringify({
      model: "model",
      stream: true,
      max_tokens: options.tokens,
      messages: [{ role: "user", content: "Rooms?" }],
    }),
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  for await (const chunk of answer.body) {
    if (first === 0) first = performance.now() - startedAt;
    options.onTokens?.(String(chunk).split("data: ").length - 1);
  }
  return first;
}

function format(histogram: hdr.Histogram): string[] {
  return [50, 99].map((percentile) =>
    (histogram.getValueAtPercentile(percentile) / 1_000).toFixed(2)
  );
}

const cluster = await clusterModule.startCluster({
  hosts: ["rosenheim"],
  engines: Array.from({ length: 4 }, () => "rosenheim-engines"),
  services: ["rosenheim-rooms"],
  serviceFiles: path.join(import.meta.dirname, "services"),
  engineParameters: {
    maxBatch: 1_024,
    stepMs: 8,
    stepPerSequenceMs: 0,
    prefillMsPerToken: 0,
    prefillChunk: 100_000,
    cachedPrefixes: 1,
  },
  logLevel: "warn",
});
const key = await cluster.createKey("load", ["any"]);
const [host] = cluster.hosts;
const pid = host.child.pid ?? 0;
const hostTarget = { url: host.callerUrl, key };
const rows: (string | number)[][] = [];
const idle = readMemory(pid);

for (const perSecond of [60, 300]) {
  const direct = await sendAtRate(
    perSecond,
    () => sendCall({ url: cluster.services[0].url, key }, ""),
  );
  const cpu = readCpu(pid);
  const proxied = await sendAtRate(
    perSecond,
    () => sendCall(hostTarget, "/services/rooms"),
  );
  const share = (readCpu(pid) - cpu) / (RUN_MS / 1_000);
  rows.push([
    `calls at ${perSecond}/s`,
    ...format(direct),
    ...format(proxied),
    `${(share * 100).toFixed(1)}%`,
  ]);
}
for (const perSecond of [60, 300]) {
  const direct = await sendAtRate(
    perSecond,
    () => sendStream({ url: cluster.engines[0].url, key }, { tokens: 20 }),
  );
  const cpu = readCpu(pid);
  const proxied = await sendAtRate(
    perSecond,
    () => sendStream(hostTarget, { tokens: 20 }),
  );
  const share = (readCpu(pid) - cpu) / (RUN_MS / 1_000);
  rows.push([
    `first token at ${perSecond} streams/s`,
    ...format(direct),
    ...format(proxied),
    `${(share * 100).toFixed(1)}%`,
  ]);
}
process.stdout.write(
  `${
    table.formatTable(
      ["ms", "direct p50", "p99", "host p50", "p99", "core"],
      rows,
    )
  }\n`,
);

for (const streams of [100, 200, 400]) {
  let tokens = 0;
  const cpu = readCpu(pid);
  const startedAt = performance.now();
  await Promise.all(
    Array.from({ length: streams }, () =>
      sendStream(hostTarget, {
        tokens: 400,
        onTokens: (n) => {
          tokens += n;
        },
      })),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const used = readCpu(pid) - cpu;
  process.stdout.write(
    `${streams} streams: ${Math.round(tokens / seconds)} tokens/s, ` +
      `${(100 * used / seconds).toFixed(0)}% of a core, ` +
      `${Math.round(tokens / used)} tokens for a core-second\n`,
  );
}
const open = Array.from(
  { length: 1_000 },
  () => sendStream(hostTarget, { tokens: 1_500 }).catch(() => 0),
);
await utils.waitFor(4_000);
process.stdout.write(
  `resident memory: ${idle.toFixed(0)} MB idle, ` +
    `${readMemory(pid).toFixed(0)} MB with 1,000 open streams\n`,
);
const killed = new Promise((resolve) => host.child.once("exit", resolve));
host.child.kill("SIGKILL");
await killed;
await Promise.all(open);
const startedAt = performance.now();
await cluster.restartHost(0);
process.stdout.write(
  `start to ready: ${Math.round(performance.now() - startedAt)} ms\n`,
);
await cluster.close();
await agent.destroy();
