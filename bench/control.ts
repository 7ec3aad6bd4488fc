/**
 * `npm run control -- 8 32`: starts clusters of 8 and 32 host processes in one
 * failure domain and measures the cost of the control plane for each host and the
 * store, idle and under configuration changes, and the time that a configuration
 * change and the takeover of a role take.
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
 * Time for membership updates to spread after all hosts start at once, in ms. It
 * grows by about one heartbeat per host.
 */
const CONVERGENCE_MS = 8_000;
const CONVERGENCE_PER_HOST_MS = 700;
const STEADY_MS = 15_000;
const CHURN_MS = 20_000;
/** Interval between configuration changes, in ms: 18,000 changes a day. */
const CHANGE_INTERVAL_MS = 4_800;
/** Clock ticks per second of the processor times in /proc. */
const CLOCK_TICKS_PER_SECOND = 100;

interface Sample {
  readonly cpu: number;
  readonly bytes: number;
  readonly memory: number;
}

/**
 * Reads the processor time in s, the bytes read and written, and the resident
 * memory in MB of a process.
 */
function readSample(pid: number): Sample {
  const read = (name: string) =>
    fs.readFileSync(`/proc/${pid}/${name}`, "utf8");
  const fields = read("stat").split(") ")[1].split(" ");
  const io = read("io");
  const field = (name: string) =>
    Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? 0);
  return {
    cpu: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND,
    bytes: field("rchar") + field("wchar"),
    memory: Number(/VmRSS:\s+(\d+)/.exec(read("status"))?.[1] ?? 0) / 1_024,
  };
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Measures the cost of the hosts for `ms` while `work` runs. Hosts whose process
 * was replaced meanwhile are left out of the rates.
 */
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
  const unreplaced = pids.flatMap((pid, index) =>
    pid === cluster.hosts[index].child.pid ? [index] : []
  );
  const rate = (field: "cpu" | "bytes") =>
    unreplaced.map((index) =>
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

interface HostStatus {
  readonly revision: number;
  readonly roles: readonly { role: string; host: string; token: number }[];
}

/** Reads the status of a host; undefined if it does not respond. */
async function readStatus(
  host: clusterModule.HostProcess,
): Promise<HostStatus | undefined> {
  try {
    const answer = await fetch(`${host.operationsUrl}/status.json`);
    return await answer.json() as HostStatus;
  } catch {
    return undefined;
  }
}

/** Commits a change and returns the time until all hosts apply it, in ms. */
async function measureChange(cluster: clusterModule.Cluster): Promise<number> {
  const client = store.createStoreClient({ url: cluster.store.url });
  const { part } = core.createKey("load", ["any"]);
  const committed = await operator.commitWithRetry(client, {
    difference: { puts: [part], removes: [] },
    author: "control",
  });
  const startedAt = performance.now();
  const revision = committed.unwrap().revision;
  const isApplied = async (host: clusterModule.HostProcess) => {
    const status = await readStatus(host);
    return status === undefined || status.revision >= revision;
  };
  while (!(await Promise.all(cluster.hosts.map(isApplied))).every(Boolean)) {
    await utils.waitFor(2);
  }
  await client.close();
  return performance.now() - startedAt;
}

/**
 * Kills the host that reports usage; returns the time until another host holds
 * the role, in ms.
 */
async function measureTakeover(
  cluster: clusterModule.Cluster,
): Promise<number> {
  const readRole = async (host: clusterModule.HostProcess) => {
    const status = await readStatus(host);
    return status?.roles.find((role) => role.role === "usage/rosenheim");
  };
  const previousHolder = await readRole(cluster.hosts[0]);
  const index = cluster.hosts.findIndex((host) =>
    host.name === previousHolder?.host
  );
  const watcher = cluster.hosts[index === 0 ? 1 : 0];
  cluster.hosts[index].child.kill("SIGKILL");
  const startedAt = performance.now();
  while ((await readRole(watcher))?.token === previousHolder?.token) {
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
  await utils.waitFor(CONVERGENCE_MS + count * CONVERGENCE_PER_HOST_MS);
  const steady = await measureHosts(cluster, STEADY_MS, {
    work: () => Promise.resolve(),
  });
  rows.push([count, "steady", ...steady]);
  const times: number[] = [];
  const churn = await measureHosts(cluster, CHURN_MS, {
    work: async () => {
      const until = performance.now() + CHURN_MS;
      while (performance.now() < until) {
        await utils.waitFor(CHANGE_INTERVAL_MS);
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
