/** Simulated returns: all hosts of a deployment are lost at once and start again, in virtual time. */
import * as peer from "@banyangrade/peer";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as gatewayParts from "./gateway/gateway_parts.ts";
import type * as platformInterface from "./gateway/platform_interface.ts";
import type * as relayNetwork from "./gateway/relay_network.ts";
import * as startTasks from "./gateway/start_tasks.ts";
import * as returnStore from "./return_store_testing.ts";
import * as virtualProcesses from "./virtual_processes_testing.ts";

/** Time at which all hosts are lost; their relays and statuses are in the store then. */
const LOST_AT = 5_000;
/** Time from the loss until the first host starts again, and until the last one does, in ms. */
const DOWN_MS = 1_000;
const SPREAD_MS = 500;
/** Time from the last start until the end, in ms. */
const OBSERVED_MS = 17_500;
/** Time for which hosts serve without a break before the service counts as back, in ms. */
const STEADY_MS = 3_000;
/** Time of a processor that a process takes until its code runs, in ms. */
const LOAD_MS = 250;
/** Time of a processor that a request takes, and how many a host gets in a second, in ms. */
const REQUEST_MS = 2;
const REQUESTS_PER_SECOND = 5;
/** Factor of the requests in the first second, as all callers come back at once. */
const BURST = 5;
/** Time that a message between hosts takes, in ms. */
const LATENCY_MS = 1;
/** Time within which the answer to a connection attempt shows whether anything listens, in ms. */
const TRIAL_MS = 500;
const SERVERS = 12;
const TICK_MS = 100;

/** A return. */
export interface SimulatedReturn {
  readonly hosts: number;
  readonly domains: number;
  readonly seed: number;
  /** Share of a processor that each host gets from the loss on. */
  readonly share: number;
  readonly fault: returnStore.StoreFault;
  /** Time after the last start until which the fault lasts, in ms; it begins with the loss. */
  readonly faultMs: number;
  /** Time after the last start after which all are killed again, in ms. @default not */
  readonly againMs?: number;
  /** Whether the hosts of one failure domain reach neither the store nor others. @default none is cut off */
  readonly cutsDomain?: boolean;
}

/** What was seen of a return. Times in ms from the last host's return, or the end of the fault if later. */
export interface SeenReturn {
  /** Time from which half of the hosts that are not cut off serve, for three seconds at least; undefined if never. */
  readonly halfMs: number | undefined;
  /** Smallest share of the hosts that served at a moment later than 15 s after the last start. */
  readonly leastLater: number;
  /** Most calls of the store in a second from the return on. */
  readonly mostReads: number;
  readonly mostWrites: number;
  /** All calls of the store from the return on, for ten seconds. */
  readonly calls: number;
}

/** A simulated host. */
interface SimulatedHost {
  readonly name: string;
  readonly address: string;
  readonly domain: string;
  process: virtualProcesses.VirtualProcess;
  parts: gatewayParts.GatewayParts | undefined;
  startedAt: number;
}

type Router = ReturnType<typeof peer.buildRelayRouter>;

/** What listens at the address of a host. */
interface Listener {
  readonly process: virtualProcesses.VirtualProcess;
  readonly secret: string;
  readonly router: Router;
}

/** Hosts, their network and the store. */
class Deployment {
  readonly time = new virtualProcesses.VirtualTime();
  readonly random: utils.Random;
  readonly store: returnStore.SimulatedStore;
  readonly hosts: readonly SimulatedHost[];
  readonly #options: SimulatedReturn;
  readonly #listeners = new Map<string, Listener>();
  #incarnations = 0;
  isCutting = false;

  constructor(options: SimulatedReturn) {
    this.#options = options;
    this.random = utils.createRandom(options.seed);
    this.store = new returnStore.SimulatedStore(this);
    this.store.put("operators/configuration", "{}");
    Array.from(
      { length: SERVERS },
      (_, index) => this.store.put(`servers/s${index}`, "{}"),
    );
    this.hosts = Array.from({ length: options.hosts }, (_, index) => ({
      name: `h${index}`,
      address: `127.201.${Math.floor(index / 250)}.${index % 250}:7340`,
      domain: `d${index % options.domains}`,
      process: this.#createProcess(1),
      parts: undefined,
      startedAt: 0,
    }));
  }

  /** Whether no message passes between a host and others. */
  isCutOff({ domain }: Pick<SimulatedHost, "domain">): boolean {
    return this.isCutting && domain === "d0" && this.#options.domains > 1;
  }

  startAll(share: number): void {
    this.hosts.forEach((host) => {
      const delayMs = this.random.next() * SPREAD_MS;
      this.time.schedule(delayMs, () => this.#start(host, share));
    });
  }

  endAll(): void {
    this.hosts.forEach((host) => {
      host.process.end();
      host.parts = undefined;
    });
    this.#listeners.clear();
  }

  #createProcess(share: number): virtualProcesses.VirtualProcess {
    const seed = Math.floor(this.random.next() * 2 ** 31);
    return new virtualProcesses.VirtualProcess({
      time: this.time,
      random: utils.createRandom(seed),
      share,
    });
  }

  #start(host: SimulatedHost, share: number): void {
    const process = this.#createProcess(share);
    host.process = process;
    this.#incarnations += 1;
    const incarnation = String(this.#incarnations);
    process.useProcessor(LOAD_MS);
    process.deliver(this.time.now, () => {
      host.startedAt = process.getNow();
      host.parts = gatewayParts.buildGatewayParts({
        settings: buildSettings(host, this.#options),
        platform: buildPlatform(
          this.store.createClient(process, () => this.isCutOff(host)),
        ),
        incarnation,
        network: this.#createNetwork(host, process),
        log: utils.createLogger({ level: "silent" }),
        clock: { now: () => process.getNow(), wall: () => process.getNow() },
      });
      const { parts } = host;
      // Marks of suspects go over HTTP, which is not simulated.
      parts.handover.sendSuspects = () => undefined;
      utils.runDetached(
        () => startTasks.startTasks(parts),
        (thrown) => this.time.schedule(0, () => Promise.reject(thrown)),
      );
      this.#startRequests(process, process.getNow());
    });
  }

  /** Lets the callers' requests use the processor of a host. */
  #startRequests(
    process: virtualProcesses.VirtualProcess,
    startedAt: number,
  ): void {
    if (!process.isAlive()) return;
    const isFirst = this.time.now - startedAt < 1_000;
    const rate = REQUESTS_PER_SECOND * (isFirst ? BURST : 1);
    process.deliver(this.time.now, () => process.useProcessor(REQUEST_MS));
    this.time.schedule(
      1_000 / rate,
      () => this.#startRequests(process, startedAt),
    );
  }

  #createNetwork(
    host: SimulatedHost,
    process: virtualProcesses.VirtualProcess,
  ): relayNetwork.RelayNetwork {
    const isCut = (address: string) =>
      this.isCutOff(host) !==
        this.isCutOff(this.hosts.find((one) => one.address === address)!);
    return {
      startServer: ({ hostname, port, secrets, router }) => {
        this.#listeners.set(`${hostname}:${port}`, {
          process,
          secret: secrets[0],
          router: router as Router,
        });
        return Promise.resolve({
          port,
          setTls: () => undefined,
          close: () => Promise.resolve(),
        });
      },
      createClients: (options) =>
        new peer.PeerClients<peer.RelayRouter>(options, (address) => ({
          client: this.#createClient({
            address,
            secret: options.secret,
            process,
            isCut: () => isCut(address),
          }),
          close: () => undefined,
        })),
      isRefused: (address) =>
        new Promise((resolve) => {
          const isRefused = !isCut(address) && !this.#listeners.has(address);
          const ms = isRefused ? LATENCY_MS : TRIAL_MS;
          process.deliver(process.getNow() + ms, () => resolve(isRefused));
        }),
    };
  }

  /** Creates a client whose procedures are messages to the process that listens at an address. */
  #createClient(
    { address, secret, process, isCut }: {
      readonly address: string;
      readonly secret: string;
      readonly process: virtualProcesses.VirtualProcess;
      readonly isCut: () => boolean;
    },
  ) {
    const call = (procedure: string, input: unknown) =>
      new Promise<unknown>((resolve, reject) => {
        const answer = (end: () => void, from: number) => {
          if (!isCut()) process.deliver(from + LATENCY_MS, end);
        };
        const sentAt = process.getNow();
        this.time.schedule(sentAt - this.time.now + LATENCY_MS, () => {
          const listener = this.#listeners.get(address);
          // The library reconnects until the call's own timeout.
          if (listener === undefined || isCut()) return;
          const { process: other, router } = listener;
          other.deliver(this.time.now, () => {
            if (listener.secret !== secret) {
              const error = Object.assign(new Error("Unauthorized."), {
                data: { code: "UNAUTHORIZED" },
              });
              return answer(() => reject(error), other.getNow());
            }
            const procedures = router.createCaller({
              trusted: true,
            }) as unknown as Record<
              string,
              (input: unknown) => Promise<unknown>
            >;
            procedures[procedure](input).then(
              (value) => answer(() => resolve(value), other.getNow()),
              (thrown) => answer(() => reject(thrown), other.getNow()),
            );
          });
        });
      });
    return new Proxy({}, {
      get: (_, procedure) => ({
        query: (input: unknown) => call(String(procedure), input),
        mutate: (input: unknown) => call(String(procedure), input),
      }),
    }) as ReturnType<peer.ConnectionOpener<peer.RelayRouter>>["client"];
  }
}

function buildSettings(
  { name, domain, address }: SimulatedHost,
  { domains }: SimulatedReturn,
): platformInterface.GatewaySettings {
  return {
    host: name,
    failureDomain: domain,
    failureDomains: Array.from({ length: domains }, (_, index) => `d${index}`),
    regions: new Map(),
    callerAddress: "",
    readinessAddress: "",
    peerAddress: address,
    linkMbps: 100,
    metricsAddress: undefined,
    retries: { ratio: 0.2, slack: 100, windowMs: 10_000 },
    withdrawMs: 5_000,
    coldBound: undefined,
    leaveMs: 3_000,
    leaseMs: 3_000,
    usageWindowMs: 5_000,
    usageDueMs: 10_000,
    graceMs: 4_000,
    roles: [],
    heldBytesLimit: undefined,
    clients: core.computeClientLimits({}),
    slowReaders: false,
  };
}

/** Builds a platform of which only the store is used. */
function buildPlatform(
  client: platformInterface.Platform["store"],
): platformInterface.Platform {
  return {
    store: client,
    operatorPrefix: "operators/",
    configurationKey: "operators/configuration",
    evacuationPrefix: "operators/evacuations/",
    serversPrefix: "servers/",
    parseConfiguration: () =>
      utils.Ok({
        version: 1,
        routes: [],
        services: [],
        customers: [],
        limits: {
          headerBytes: 4_096,
          bodyBytes: 10_000,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 5_000,
        },
      }),
    parseServer: ({ key }: { readonly key: string }) =>
      utils.Ok({
        id: key.slice("servers/".length),
        service: "rooms",
        address: "127.0.0.1:9",
        failureDomain: "d0",
        state: "ready",
        slots: 4,
        born: 1,
      }),
  } as unknown as platformInterface.Platform;
}

function isServing({ parts }: SimulatedHost): boolean {
  return parts !== undefined && parts.belief.hasHadState() &&
    parts.belief.isFresh() && parts.belief.listServers().length > 0;
}

/**
 * Plays a return and returns what was seen.
 *
 * @example
 * const { halfMs } = await simulateReturn({ hosts: 61, domains: 3, seed: 1, ...rest });
 */
export async function simulateReturn(
  options: SimulatedReturn,
): Promise<SeenReturn> {
  const restore = virtualProcesses.startVirtualTimers();
  try {
    return await runReturn(options);
  } finally {
    restore();
  }
}

async function runReturn(options: SimulatedReturn): Promise<SeenReturn> {
  const deployment = new Deployment(options);
  const { time, store, hosts } = deployment;
  deployment.startAll(1);
  await time.run(LOST_AT);
  deployment.endAll();
  store.fault = options.fault;
  deployment.isCutting = options.cutsDomain === true;
  await time.run(LOST_AT + DOWN_MS);
  const callsFrom = Math.floor(time.now / 1_000);
  deployment.startAll(options.share);
  const { againMs = 0 } = options;
  if (againMs > 0) {
    await time.run(time.now + againMs);
    deployment.endAll();
    deployment.startAll(options.share);
  }
  const loadedMs = SPREAD_MS + LOAD_MS / options.share;
  const startedAt = time.now + loadedMs;
  const faultUntil = time.now + options.faultMs;
  const isOver = () => time.now >= faultUntil;
  const endAt = Math.max(startedAt, faultUntil) + OBSERVED_MS;
  const seen: SeenShare[] = [];
  while (time.now < endAt) {
    await time.run(time.now + TICK_MS);
    if (isOver() && isTemporary(options.fault)) store.fault = { kind: "none" };
    const counted = hosts.filter((host) => !deployment.isCutOff(host));
    const share = counted.filter(isServing).length / counted.length;
    seen.push({ at: time.now, share });
  }
  deployment.endAll();
  const from = isTemporary(options.fault)
    ? Math.max(startedAt, faultUntil)
    : startedAt;
  const later = seen.filter(({ at }) => at > from + 15_000);
  const counts = [...store.calls].filter(([second]) => second >= callsFrom);
  return {
    halfMs: findHalf(seen, from),
    leastLater: Math.min(...later.map(({ share }) => share)),
    mostReads: Math.max(...counts.map(([, { reads }]) => reads)),
    mostWrites: Math.max(...counts.map(([, { writes }]) => writes)),
    calls: counts.filter(([second]) => second < callsFrom + 10)
      .reduce((sum, [, { reads, writes }]) => sum + reads + writes, 0),
  };
}

/** Share of the hosts that served at a moment. */
interface SeenShare {
  readonly at: number;
  readonly share: number;
}

/** Finds how long after `from` half of the hosts have begun to serve and gone on for some time; undefined if they never do. */
function findHalf(
  seen: readonly SeenShare[],
  from: number,
): number | undefined {
  let servedFrom: number | undefined;
  for (const { at, share } of seen) {
    if (share < 0.5) servedFrom = undefined;
    else servedFrom ??= at;
    if (servedFrom !== undefined && at - servedFrom >= STEADY_MS) {
      return Math.max(0, servedFrom - from);
    }
  }
  return undefined;
}

/** Whether the store answers properly only after the fault; the others last. */
function isTemporary({ kind }: returnStore.StoreFault): boolean {
  switch (kind) {
    case "none":
    case "slow":
      return false;
    case "silent":
    case "busy":
    case "limited":
    case "answers_lost":
      return true;
  }
}
