/**
 * A small deployment on loopback: stand-ins in this process and hosts as
 * processes of their own. Used by the demo, the measurements and the tests
 * that need real processes.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as toml from "smol-toml";
import type * as core from "@banyangrade/core";
import * as engineFake from "@banyangrade/engine/fake.ts";
import type * as engineModel from "@banyangrade/engine/model.ts";
import * as fleetFake from "@banyangrade/fleet/fake.ts";
import * as serviceFake from "@banyangrade/service/fake.ts";
import * as storeFake from "@banyangrade/store/fake.ts";
import * as usageFake from "@banyangrade/usage/fake.ts";
import * as testing from "@banyangrade/utils/testing.ts";
import * as utils from "@banyangrade/utils";
import * as forwarder from "./forwarder.ts";
import * as build from "../scripts/build.ts";

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  /** Failure domain of each host, in order. */
  readonly hosts: readonly string[];
  /** Engines: pool of each one. */
  readonly engines: readonly string[];
  /** Plain services: pool of each one. */
  readonly services: readonly string[];
  /** Folder with the service files to publish. */
  readonly serviceFiles: string;
  readonly shape?: engineModel.EngineShape;
  readonly windowSeconds?: number;
  readonly leaseSeconds?: number;
  readonly offlineSeconds?: number;
  /** Whether hosts reach each other by ways that can be cut. @default false */
  readonly cuttable?: boolean;
  /** @default "info", into a file for each host */
  readonly logLevel?: string;
}

/** A host's process. */
export interface HostProcess {
  readonly name: string;
  readonly failureDomain: string;
  readonly callerUrl: string;
  readonly operationsUrl: string;
  readonly peerAddress: string;
  readonly logFile: string;
  readonly child: childProcess.ChildProcess;
}

/** A running deployment. */
export interface Cluster {
  readonly folder: string;
  readonly operatorFile: string;
  readonly store: storeFake.FakeStore;
  /** Each failure domain's way to the store, which can be cut. */
  readonly storeWays: ReadonlyMap<string, string>;
  readonly fleet: fleetFake.FakeFleet;
  readonly usage: usageFake.FakeUsage;
  readonly engines: readonly engineFake.FakeEngine[];
  readonly services: readonly serviceFake.FakeService[];
  readonly hosts: HostProcess[];
  /** Ways from other hosts to each host, in order; none unless cuttable. */
  readonly peerWays: readonly forwarder.Forwarder[];
  /** Starts a host again, under its old name and addresses. */
  readonly restartHost: (index: number) => Promise<void>;
  /** Runs an operator's command; the output is what it printed. */
  readonly runCommand: (
    words: readonly string[],
  ) => Promise<{ readonly code: number; readonly output: string }>;
  /** Creates a key and returns it. */
  readonly createKey: (
    customer: string,
    classes: readonly string[],
  ) => Promise<string>;
  readonly close: () => Promise<void>;
}

interface HostPlan {
  readonly name: string;
  readonly failureDomain: string;
  readonly caller: number;
  readonly operations: number;
  readonly peer: number;
  /** Port by which other hosts reach it. */
  readonly advertised: number;
}

/** Hosts that stand in the settings of each host. */
const SEEDS = 4;
/** Longest time a host may take to become ready, in ms. */
const READY_MS = 60_000;

/**
 * Starts a deployment and publishes its service files.
 *
 * @example
 * const cluster = await startCluster(options);
 * await cluster.close();
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  await build.buildBundle();
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "banyangrade-"));
  const secretFile = path.join(folder, "secret");
  fs.writeFileSync(secretFile, `${utils.createId()}\n`, { mode: 0o600 });
  const standIns = await startStandIns(options);
  const planned = await planHosts(options.hosts);
  const peerWays = options.cuttable === true
    ? await Promise.all(
      planned.map((plan) => forwarder.startForwarder(plan.peer)),
    )
    : [];
  const plans = planned.map((plan, index) => ({
    ...plan,
    advertised: peerWays[index]?.port ?? plan.peer,
  }));
  const settingsFiles = plans.map((plan) =>
    writeSettings(plan, { plans, folder, secretFile, standIns, options })
  );
  const operatorFile = path.join(folder, "operator.toml");
  fs.writeFileSync(
    operatorFile,
    toml.stringify({
      store_url: standIns.store.url,
      hosts: plans.map((plan) => `127.0.0.1:${plan.peer}`),
      secret_file: secretFile,
    }),
  );
  const hosts = plans.map((plan, index) =>
    spawnHost(plan, { folder, settingsFile: settingsFiles[index] })
  );
  // Hosts of a start that failed must not outlive it.
  process.once(
    "exit",
    () => hosts.forEach((host) => host.child.kill("SIGKILL")),
  );
  await Promise.all(hosts.map((host) => waitReady(host)));

  const runCommand = (words: readonly string[]) =>
    runProgram([...words, "--operator", operatorFile]);
  const published = await runCommand([
    "publish",
    "--services",
    options.serviceFiles,
  ]);
  if (published.code !== 0) throw new Error(published.output);

  return {
    folder,
    operatorFile,
    ...standIns,
    hosts,
    peerWays,
    restartHost: async (index) => {
      hosts[index] = spawnHost(plans[index], {
        folder,
        settingsFile: settingsFiles[index],
      });
      await waitReady(hosts[index]);
    },
    runCommand,
    createKey: async (customer, classes) => {
      const ran = await runCommand([
        "key",
        "create",
        customer,
        ...classes,
        "--json",
      ]);
      return JSON.parse(ran.output).key as string;
    },
    close: async () => {
      hosts.forEach((host) => host.child.kill("SIGKILL"));
      await Promise.all(peerWays.map((way) => way.close()));
      await standIns.close();
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
}

/**
 * Runs the program to its end. Not the synchronous way: the stand-ins that it
 * talks to live in this process.
 *
 * @example
 * const ran = await runProgram(["check", "--settings", "host.toml"]);
 */
export function runProgram(
  words: readonly string[],
): Promise<{ readonly code: number; readonly output: string }> {
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [build.BUNDLE, ...words],
      { encoding: "utf8" },
      (error, stdout, stderr) =>
        resolve({
          code: error === null ? 0 : Number(error.code ?? -1),
          output: stdout + stderr,
        }),
    );
  });
}

interface StandIns {
  readonly store: storeFake.FakeStore;
  readonly storeWays: ReadonlyMap<string, string>;
  readonly fleet: fleetFake.FakeFleet;
  readonly usage: usageFake.FakeUsage;
  readonly engines: readonly engineFake.FakeEngine[];
  readonly services: readonly serviceFake.FakeService[];
  readonly close: () => Promise<void>;
}

async function startStandIns(options: ClusterOptions): Promise<StandIns> {
  const store = await storeFake.startFakeStore({});
  const domains = [...new Set(options.hosts)];
  const storeWays = new Map(
    await Promise.all(
      domains.map(async (domain) =>
        [domain, await store.openListener()] as const
      ),
    ),
  );
  const fleet = await fleetFake.startFakeFleet({});
  const usage = await usageFake.startFakeUsage(0);
  const engines = await Promise.all(
    options.engines.map(() =>
      engineFake.startFakeEngine({ shape: options.shape })
    ),
  );
  const services = await Promise.all(
    options.services.map(() => serviceFake.startFakeService({})),
  );
  const infos = [
    ...engines.map((one, index) => toInfo(one.url, options.engines[index])),
    ...services.map((one, index) => toInfo(one.url, options.services[index])),
  ];
  // A pool's name begins with its failure domain's.
  domains.forEach((domain) =>
    fleet.setServers(
      domain,
      infos.filter((info) => info.pool.startsWith(domain)),
    )
  );
  const all = [store, fleet, usage, ...engines, ...services];
  return {
    store,
    storeWays,
    fleet,
    usage,
    engines,
    services,
    close: async () => {
      await Promise.all(all.map((one) => one.close()));
    },
  };
}

function toInfo(url: string, pool: string): core.ServerInfo {
  return { name: `${pool}-${new URL(url).port}`, pool, url, state: "live" };
}

async function planHosts(
  domains: readonly string[],
): Promise<Omit<HostPlan, "advertised">[]> {
  const ports = await Promise.all(
    domains.flatMap(() => [1, 2, 3].map(() => testing.findFreePort())),
  );
  return domains.map((failureDomain, index) => ({
    name: `${failureDomain}-${index + 1}`,
    failureDomain,
    caller: ports[3 * index],
    operations: ports[3 * index + 1],
    peer: ports[3 * index + 2],
  }));
}

function writeSettings(
  plan: HostPlan,
  { plans, folder, secretFile, standIns, options }: {
    readonly plans: readonly HostPlan[];
    readonly folder: string;
    readonly secretFile: string;
    readonly standIns: StandIns;
    readonly options: ClusterOptions;
  },
): string {
  const file = path.join(folder, `${plan.name}.toml`);
  const settings = {
    host: { name: plan.name, failure_domain: plan.failureDomain },
    caller: { address: `127.0.0.1:${plan.caller}` },
    operations: { address: `127.0.0.1:${plan.operations}` },
    peer: {
      address: `127.0.0.1:${plan.peer}`,
      advertised_address: `127.0.0.1:${plan.advertised}`,
      secret_file: secretFile,
      // A few are enough: the others are learned from them.
      seeds: plans.slice(0, SEEDS).map((other) => ({
        name: other.name,
        failure_domain: other.failureDomain,
        address: `127.0.0.1:${other.advertised}`,
      })),
    },
    platform: {
      store_url: standIns.storeWays.get(plan.failureDomain) ?? "",
      fleet_url: standIns.fleet.url,
      usage_url: standIns.usage.url,
    },
    usage: { window_seconds: options.windowSeconds ?? 60, grace_seconds: 2 },
    control: {
      lease_seconds: options.leaseSeconds ?? 8,
      offline_seconds: options.offlineSeconds ?? 900,
    },
    log: { level: options.logLevel ?? "info" },
  };
  fs.writeFileSync(file, toml.stringify(settings));
  return file;
}

function spawnHost(
  plan: HostPlan,
  { folder, settingsFile }: {
    readonly folder: string;
    readonly settingsFile: string;
  },
): HostProcess {
  const logFile = path.join(folder, `${plan.name}.log`);
  const log = fs.openSync(logFile, "a");
  const child = childProcess.spawn(
    process.execPath,
    [build.BUNDLE, "serve", "--settings", settingsFile],
    { stdio: ["ignore", "ignore", log] },
  );
  fs.closeSync(log);
  return {
    name: plan.name,
    failureDomain: plan.failureDomain,
    callerUrl: `http://127.0.0.1:${plan.caller}`,
    operationsUrl: `http://127.0.0.1:${plan.operations}`,
    peerAddress: `127.0.0.1:${plan.peer}`,
    logFile,
    child,
  };
}

async function waitReady(host: HostProcess): Promise<void> {
  const until = Date.now() + READY_MS;
  while (Date.now() < until) {
    const ready = await fetch(`${host.operationsUrl}/readyz`)
      .then((answer) => answer.ok, () => false);
    if (ready) return;
    await utils.waitFor(50);
  }
  const log = fs.readFileSync(host.logFile, "utf8");
  throw new Error(`${host.name} did not become ready:\n${log}`);
}
