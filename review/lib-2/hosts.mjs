/** Starts hosts as processes, with the command of deploy/system.toml and settings like those of a small deployment. */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";

const ROOT = path.resolve(import.meta.dirname, "../..");
const [PROGRAM, ...ARGUMENTS] = /^run = "(.*)"$/m.exec(
  fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8"),
)[1].split(" ");
const live = new Set();
process.on("exit", () => live.forEach((child) => child.kill("SIGKILL")));

/** Returns a port that was free on a loopback address. */
export function findPort(ip) {
  return new Promise((resolve, reject) => {
    const server = net.createServer().once("error", reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Creates a host; `start` starts its process. */
export async function createHost(options) {
  const { index, zone, zones = [zone], folder, storeAddress, apiAddress } =
    options;
  const name = options.name ?? `frontend-${zone}-${index}`;
  const ip = options.ip ?? `127.${100 + (process.pid % 100)}.${1 + (process.pid >> 8) % 250}.${index}`;
  const [frontend, ready, internal] = options.ports ??
    [await findPort(ip), await findPort(ip), await findPort(ip)];
  const file = path.join(folder, `${name}-${index}.toml`);
  fs.writeFileSync(file, `node_name = "${name}"
role = "host"
machine_class = "frontend"
serves = ["frontend"]
ip = "${ip}"
zone = "${zone}"
region = "region"
internal_port_range = [${internal},${internal}]
seed_nodes = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ${JSON.stringify(["base","drain","config","cost","retry","recover","engine","stream","tenants","leader",...options.contracts ?? [],"platform"])}
[zones]
${zones.map((one) => `${one} = "region"`).join("\n")}
[listen_addresses]
frontend = "${ip}:${frontend}"
ready = "${ip}:${ready}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = ${options.memoryMb ?? 350}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
revocation_strict = true
revoke_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 56
fencing_enforced = true
lease_ms = 3000
usage_window_s = 5
usage_delay_s = 10
recovery_s = 12
${Object.entries(options.bounds ?? {}).map(([name, value]) => `${name} = ${value}\n`).join("")}[platform_settings]
address = "${storeAddress}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
[cloud_api]
address = "${apiAddress}"
rate_per_s = 50.0
duties = ["usage_reporting","autoscaling"]
duty_per_s = 50.0
`);
  const log = path.join(folder, `${name}-${index}.jsonl`);
  const host = { name, ip, frontend, ready, internal, log, exits: [] };
  let child;
  let exited = Promise.resolve();
  return Object.assign(host, {
    start: () => {
      const out = fs.openSync(log, "a");
      child = childProcess.spawn(
        PROGRAM === "node" ? process.execPath : PROGRAM,
        ARGUMENTS,
        {
          cwd: ROOT,
          env: { PATH: process.env.PATH, HOME: process.env.HOME, BANYANGRADE_CONFIG: file },
          stdio: ["ignore", out, out],
        },
      );
      fs.closeSync(out);
      live.add(child);
      const started = child;
      exited = new Promise((resolve) =>
        started.once("exit", (code, signal) => {
          live.delete(started);
          host.exits.push({ at: performance.now(), code, signal });
          resolve({ code, signal });
        })
      );
    },
    signal: (signal) => child?.kill(signal),
    getPid: () => child?.pid,
    isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
    waitForExit: () => exited,
  });
}

/** Whether the host answers its readiness check with 200. */
export async function isReady({ ip, ready }) {
  try {
    const answer = await fetch(`http://${ip}:${ready}/readiness`, {
      signal: AbortSignal.timeout(500),
    });
    await answer.arrayBuffer();
    return answer.status === 200;
  } catch {
    return false;
  }
}

/** Waits until a condition holds; throws after `ms`. */
export async function waitUntil(condition, ms = 20_000) {
  const until = performance.now() + ms;
  while (!await condition()) {
    if (performance.now() > until) throw new Error("It did not happen in time.");
    await wait(20);
  }
}

/** Waits for some ms. */
export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
