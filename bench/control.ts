/**
 * `npm run control -- 8 32`: what control costs each host and the store, with so
 * many hosts of one failure domain as processes; steady, under changes and
 * restarts, and how long changes and takeovers take.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as core from "@banyangrade/core";
import * as operator from "@banyangrade/operator";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as clusterModule from "../playground/cluster.ts";
import * as table from "../packages/banyangrade/table.ts";

/**
 * Time until hosts that all started at once have passed each other's news on:
 * about a beat for each host, in ms.
 */
const SETTLE_MS = 8_000;
const SETTLE_PER_HOST_MS = 700;
const STEADY_MS = 15_000;
const CHURN_MS = 20_000;
/** 18,000 changes a day. */
const CHANGE_EVERY_MS = 4_800;
/** Clock ticks a second in the kernel's process accounts. */
const TICKS = 100;

interface Sample {
  readonly cpu: number;
  readonly bytes: number;
  readonly memory: number;
}

/** Processor seconds, bytes read and written, and resident MB of a process. */
function readSample(pid: number): Sample {
  const read = (name: string) =>
    fs.readFileSync(`/proc/${pid}/${name}`, "utf8");
  const fields = read("stat").split(") ")[1].split(" ");
  const io = read("io");
  const field = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? 0);
  return {
    cpu: (Number(fields[11]) + Number(fields[12])) / TICKS,
    bytes: field("rchar") + field("wchar"),
    memory: Number(/VmRSS:\s+(\d+)/.exec(read("status"))?.[1] ?? 0) / 1_024,
  };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Mean cost of the hosts over a time in which `work` runs. */
async function measureHosts(
  cluster: clusterModule.Cluster,
  ms: number,
  options: { readonly work: () => Promise<void> },
): Promise<(string | number)[]> {
  const pids = cluster.hosts.map((host) => host.child.pid ?? 0);
  const before = pids.map(readSample);
  const calls = cluster.store.count();
  await Promise.all([utils.waitFor(ms), options.work()]);
  const after = cluster.hosts.map((host) => readSample(host.child.pid ?? 0));
  const kept = pids.flatMap((pid, index) =>
    pid === cluster.hosts[index].child.pid ? [index] : []
  );
  const rate = (field: "cpu" | "bytes") =>
    kept.map((index) =>
      (after[index][field] - before[index][field]) * 1e3 / ms
    );
  const reads = (cluster.store.count().reads - calls.reads) * 1_000 / ms;
  const writes = (cluster.store.count().writes - calls.writes) * 1_000 / ms;
  return [
    (100 * getMean(rate("cpu"))).toFixed(2),
    (100 * Math.max(...rate("cpu"))).toFixed(2),
    (getMean(rate("bytes")) / 1_024).toFixed(2),
    (Math.max(...rate("bytes")) / 1_024).toFixed(2),
    Math.max(...after.map((sample) => sample.memory)).toFixed(0),
    reads.toFixed(1),
    writes.toFixed(1),
  ];
}

interface SeenStatus {
  readonly revision: number;
  readonly roles: readonly { role: string; host: string; token: number }[];
}

/** A host's status; undefined if it does not answer. */
async function readStatus(
  host: clusterModule.HostProcess,
): Promise<SeenStatus | undefined> {
  try {
    const answer = await fetch(`${host.operationsUrl}/status.json`);
    return await answer.json() as SeenStatus;
  } catch {
    return undefined;
  }
}

/** Time from a commit until every host has it in force, in ms. */
async function measureChange(cluster: clusterModule.Cluster): Promise<number> {
  const client = store.createStoreClient({ url: cluster.store.url });
  const { part } = core.createKey("load", ["any"]);
  const committed = await operator.commitAgain(client, {
    difference: { puts: [part], removes: [] },
    author: "control",
  });
  const startedAt = performance.now();
  const revision = committed.unwrap().revision;
  const isInForce = async (host: clusterModule.HostProcess) => {
    const status = await readStatus(host);
    return status === undefined || status.revision >= revision;
  };
  while (!(await Promise.all(cluster.hosts.map(isInForce))).every(Boolean)) {
    await utils.waitFor(2);
  }
  await client.close();
  return performance.now() - startedAt;
}

/** Kills the host that reports usage; time until another one holds the role. */
async function measureTakeover(
  cluster: clusterModule.Cluster,
): Promise<number> {
  const readRole = async (host: clusterModule.HostProcess) => {
    const status = await readStatus(host);
    return status?.roles.find((role) => role.role === "usage/rosenheim");
  };
  const held = await readRole(cluster.hosts[0]);
  const index = cluster.hosts.findIndex((host) => host.name === held?.host);
  const watcher = cluster.hosts[index === 0 ? 1 : 0];
  cluster.hosts[index].child.kill("SIGKILL");
  const startedAt = performance.now();
  while ((await readRole(watcher))?.token === held?.token) {
    await utils.waitFor(20);
  }
  const ms = performance.now() - startedAt;
  await cluster.restartHost(index);
  return ms;
}

const rows: (string | number)[][] = [];
for (const count of process.argv.slice(2).map(Number)) {
  const cluster = await clusterModule.startCluster({
    hosts: Array.from({ length: count }, () => "rosenheim"),
    engines: ["rosenheim-engines"],
    services: ["rosenheim-rooms"],
    serviceFiles: path.join(import.meta.dirname, "services"),
    logLevel: "warn",
  });
  await utils.waitFor(SETTLE_MS + count * SETTLE_PER_HOST_MS);
  const steady = await measureHosts(cluster, STEADY_MS, {
    work: () => Promise.resolve(),
  });
  rows.push([count, "steady", ...steady]);
  const times: number[] = [];
  const churn = await measureHosts(cluster, CHURN_MS, {
    work: async () => {
      const until = performance.now() + CHURN_MS;
      while (performance.now() < until) {
        await utils.waitFor(CHANGE_EVERY_MS);
        times.push(await measureChange(cluster));
      }
    },
  });
  rows.push([count, "0.2 changes/s", ...churn]);
  for (let more = 0; more < 20; more += 1) {
    times.push(await measureChange(cluster));
  }
  const sorted = times.toSorted((a, b) => a - b);
  const takeover = await measureTakeover(cluster);
  process.stdout.write(
    `${count} hosts: in force everywhere after p50 ` +
      `${sorted[Math.floor(sorted.length / 2)].toFixed(0)} ms, longest of ` +
      `${sorted.length} ${sorted.at(-1)?.toFixed(0)} ms; ` +
      `takeover after ${takeover.toFixed(0)} ms with a lease of 8 s\n`,
  );
  await cluster.close();
}
process.stdout.write(
  `${
    table.formatTable(
      [
        "hosts",
        "",
        "CPU %",
        "most",
        "KB/s",
        "most",
        "MB most",
        "store reads/s",
        "writes/s",
      ],
      rows,
    )
  }\n`,
);
