/**
 * Runs a small deployment on the loopback interface: fakes of the store, the
 * platform and the backend servers in this process, and each host in a child
 * process. The demo, the benchmarks and the process tests use it.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as toml from "smol-toml";
import type * as core from "@banyangrade/core";
import * as engineFake from "@banyangrade/engine/fake.ts";
import type * as engineModel from "@banyangrade/engine/latency_model.js";
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
  /** Failure domain of each host. */
  readonly hosts: readonly string[];
  /** Pool of each fake engine. */
  readonly engines: readonly string[];
  /** Pool of each fake service that is not an engine. */
  readonly services: readonly string[];
  /** Folder of the service files to publish. */
  readonly serviceFiles: string;
  /** Capacity and timing of the fake engines. */
  readonly engineParameters?: engineModel.EngineParameters;
  readonly windowSeconds?: number;
  readonly leaseSeconds?: number;
  readonly offlineSeconds?: number;
  /**
   * Whether hosts reach each other through forwarders that can be disconnected.
   * @default false
   */
  readonly usesPeerForwarders?: boolean;
  /**
   * Log level of the hosts, each of which logs to its own file.
   * @default "info"
   */
  readonly logLevel?: string;
  /** Further settings of the hosts' port for callers. @default none */
  readonly caller?: Readonly<Record<string, number>>;
}

/** The child process of a host. */
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
  /**
   * URL of the store for each failure domain; each can be disconnected
   * separately.
   */
  readonly storeUrls: ReadonlyMap<string, string>;
  readonly fleet: fleetFake.FakeFleet;
  readonly usage: usageFake.FakeUsage;
  readonly engines: readonly engineFake.FakeEngine[];
  readonly services: readonly serviceFake.FakeService[];
  readonly hosts: HostProcess[];
  /**
   * The forwarder in front of the peer port of each host; empty if hosts
   * connect directly.
   */
  readonly peerForwarders: readonly forwarder.Forwarder[];
  /** Starts a new process for a host with the same name and addresses. */
  readonly restartHost: (index: number) => Promise<void>;
  /** Runs an operator command and returns its exit code and output. */
  readonly runCommand: (
    args: readonly string[],
  ) => Promise<{ readonly code: number; readonly output: string }>;
  /** Creates an API key and returns it. */
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
  /** Port that other hosts connect to: the peer port or its forwarder. */
  readonly advertised: number;
}

/** Number of seed hosts in the settings of each host. */
const SEED_HOSTS = 4;
/** Timeout for a host to become ready, in ms. */
const READY_TIMEOUT_MS = 60_000;

/**
 * Starts a deployment, waits until its hosts are ready and publishes its service
 * files.
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
  const fakes = await startFakes(options);
  const planned = await planHosts(options.hosts);
  const peerForwarders = options.usesPeerForwarders === true
    ? await Promise.all(
      planned.map((plan) => forwarder.startForwarder(plan.peer)),
    )
    : [];
  const plans = planned.map((plan, index) => ({
    ...plan,
    advertised: peerForwarders[index]?.port ?? plan.peer,
  }));
  const settingsFiles = plans.map((plan) =>
    writeSettings(plan, { plans, folder, secretFile, fakes, options })
  );
  const operatorFile = path.join(folder, "operator.toml");
  fs.writeFileSync(
    operatorFile,
    toml.stringify({
      store_url: fakes.store.url,
      hosts: plans.map((plan) => `127.0.0.1:${plan.peer}`),
      secret_file: secretFile,
    }),
  );
  const hosts = plans.map((plan, index) =>
    spawnHost(plan, { folder, settingsFile: settingsFiles[index] })
  );
  // Kills the hosts if this process exits without close(), for example because the
  // start failed; they would keep running otherwise.
  process.once(
    "exit",
    () => hosts.forEach((host) => host.child.kill("SIGKILL")),
  );
  await Promise.all(hosts.map((host) => waitReady(host)));

  const runCommand = (args: readonly string[]) =>
    runProgram([...args, "--operator", operatorFile]);
  const published = await runCommand([
    "publish",
    "--services",
    options.serviceFiles,
  ]);
  if (published.code !== 0) throw new Error(published.output);

  return {
    folder,
    operatorFile,
    ...fakes,
    hosts,
    peerForwarders,
    restartHost: async (index) => {
      hosts[index] = spawnHost(plans[index], {
        folder,
        settingsFile: settingsFiles[index],
      });
      await waitReady(hosts[index]);
    },
    runCommand,
    createKey: async (customer, classes) => {
      const result = await runCommand([
        "key",
        "create",
        customer,
        ...classes,
        "--json",
      ]);
      return JSON.parse(result.output).key as string;
    },
    close: async () => {
      hosts.forEach((host) => host.child.kill("SIGKILL"));
      await Promise.all(
        peerForwarders.map((peerForwarder) => peerForwarder.close()),
      );
      await fakes.close();
      fs.rmSync(folder, { recursive: true, force: true });
    },
  };
}

/**
 * Runs the program until it exits. The call is asynchronous because the program
 * talks to the fakes in this process, which a synchronous call would block.
 *
 * @example
 * const result = await runProgram(["check", "--settings", "host.toml"]);
 */
export function runProgram(
  args: readonly string[],
): Promise<{ readonly code: number; readonly output: string }> {
  return new Promise((resolve) => {
    childProcess.execFile(
      process.execPath,
      [build.BUNDLE, ...args],
      { encoding: "utf8" },
      (error, stdout, stderr) =>
        resolve({
          code: error === null ? 0 : Number(error.code ?? -1),
          output: stdout + stderr,
        }),
    );
  });
}

interface Fakes {
  readonly store: storeFake.FakeStore;
  readonly storeUrls: ReadonlyMap<string, string>;
  readonly fleet: fleetFake.FakeFleet;
  readonly usage: usageFake.FakeUsage;
  readonly engines: readonly engineFake.FakeEngine[];
  readonly services: readonly serviceFake.FakeService[];
  readonly close: () => Promise<void>;
}

async function startFakes(options: ClusterOptions): Promise<Fakes> {
  const store = await storeFake.startFakeStore({});
  const domains = [...new Set(options.hosts)];
  const storeUrls = new Map(
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
      engineFake.startFakeEngine({ shape: options.engineParameters })
    ),
  );
  const services = await Promise.all(
    options.services.map(() => serviceFake.startFakeService({})),
  );
  const infos = [
    ...engines.map((one, index) =>
      toServerInfo(one.url, options.engines[index])
    ),
    ...services.map((one, index) =>
      toServerInfo(one.url, options.services[index])
    ),
  ];
  // The name of a pool begins with the name of its failure domain.
  domains.forEach((domain) =>
    fleet.setServers(
      domain,
      infos.filter((info) => info.pool.startsWith(domain)),
    )
  );
  const all = [store, fleet, usage, ...engines, ...services];
  return {
    store,
    storeUrls,
    fleet,
    usage,
    engines,
    services,
    close: async () => {
      await Promise.all(all.map((one) => one.close()));
    },
  };
}

function toServerInfo(url: string, pool: string): core.ServerInfo {
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
  { plans, folder, secretFile, fakes, options }: {
    readonly plans: readonly HostPlan[];
    readonly folder: string;
    readonly secretFile: string;
    readonly fakes: Fakes;
    readonly options: ClusterOptions;
  },
): string {
  const file = path.join(folder, `${plan.name}.toml`);
  const settings = {
    host: { name: plan.name, failure_domain: plan.failureDomain },
    caller: { address: `127.0.0.1:${plan.caller}`, ...options.caller },
    operations: { address: `127.0.0.1:${plan.operations}` },
    peer: {
      address: `127.0.0.1:${plan.peer}`,
      advertised_address: `127.0.0.1:${plan.advertised}`,
      secret_file: secretFile,
      // A few seeds suffice, as a host learns of all other hosts from them.
      seeds: plans.slice(0, SEED_HOSTS).map((other) => ({
        name: other.name,
        failure_domain: other.failureDomain,
        address: `127.0.0.1:${other.advertised}`,
      })),
    },
    platform: {
      store_url: fakes.storeUrls.get(plan.failureDomain) ?? "",
      fleet_url: fakes.fleet.url,
      usage_url: fakes.usage.url,
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
  const until = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < until) {
    const ready = await fetch(`${host.operationsUrl}/readyz`)
      .then((answer) => answer.ok, () => false);
    if (ready) return;
    await utils.waitFor(50);
  }
  const log = fs.readFileSync(host.logFile, "utf8");
  throw new Error(`${host.name} did not become ready:\n${log}`);
}
