/** An entry host: all its tasks, put together, started and stopped. */
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import * as engine from "@banyangrade/engine";
import * as fleet from "@banyangrade/fleet";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as usage from "@banyangrade/usage";
import * as utils from "@banyangrade/utils";
import * as capacityTask from "./capacity_task.ts";
import * as configTask from "./config_task.ts";
import * as certificatesModule from "./certificates.ts";
import * as constants from "./constants.ts";
import * as dispatchTask from "./dispatch_task.ts";
import * as front from "./front.ts";
import * as guard from "./operation_guard.ts";
import * as metricsModule from "./metrics.ts";
import * as operations from "./operations_server.ts";
import * as ordersTask from "./orders_task.ts";
import * as refusalsModule from "./recent_refusals.ts";
import * as settingsModule from "./settings.ts";
import * as statusModule from "./status.ts";
import * as usageTask from "./usage_task.ts";

/** A running host. */
export interface Host {
  /** Stops gracefully: nothing new is taken, what runs is finished. */
  readonly drain: () => Promise<void>;
  /** Stops at once. */
  readonly close: () => Promise<void>;
}

/** Options of {@link startHost}. */
export interface HostOptions {
  readonly log: utils.Logger;
  /** Told that an operator asks for a planned stop. */
  readonly onDrainAsked: () => void;
}

/**
 * Starts a host.
 *
 * @example
 * const host = await startHost(settings, { log, onDrainAsked });
 */
export async function startHost(
  settings: settingsModule.Settings,
  options: HostOptions,
): Promise<Host> {
  const { log } = options;
  const parts = buildParts(settings, options);
  const servers = await startServers(parts);
  parts.overlay.start();
  await parts.config.start(
    settings.peer.seeds.filter((seed) => seed.name !== settings.host.name)
      .map((seed) => seed.address),
  );
  parts.capacity.start();
  parts.usage.start();
  parts.orders.start();
  const stopPolls = startPolls(parts);
  const stopCertificates = parts.certificates.watch({
    onCaller: servers.caller.setTls,
    onPeer: servers.peer.setTls,
  });
  await pollServers(parts);
  parts.state.ready = true;
  log.info({ host: settings.host.name }, "Host ready.");

  async function stopAll(): Promise<void> {
    stopPolls();
    stopCertificates();
    parts.capacity.stop();
    parts.orders.stop();
    parts.config.stop();
    parts.dispatch.stop();
    parts.overlay.stop();
    parts.clients.close();
    await Promise.all([
      servers.caller.close(),
      servers.peer.close(),
      servers.operations.close(),
      parts.store.close(),
      parts.agent.destroy(),
    ]);
  }

  return {
    close: stopAll,
    drain: async () => {
      await drainHost(parts, servers);
      await stopAll();
      log.info("Host stopped.");
    },
  };
}

/** Everything a host is made of. */
export interface HostParts {
  readonly settings: settingsModule.Settings;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
  readonly incarnation: string;
  readonly state: { ready: boolean; draining: boolean };
  readonly store: store.StoreClient;
  readonly fleet: fleet.FleetClient;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly config: configTask.ConfigTask;
  readonly dispatcher: core.Dispatcher;
  readonly dispatch: dispatchTask.DispatchTask;
  readonly withdrawn: Set<string>;
  readonly capacity: capacityTask.CapacityTask;
  readonly usage: usageTask.UsageTask;
  readonly orders: ordersTask.OrdersTask;
  readonly roles: readonly store.LeaseHolder[];
  readonly storeGuard: guard.StoreGuard;
  readonly front: front.Front;
  readonly metrics: metricsModule.Metrics;
  readonly refusals: refusalsModule.RecentRefusals;
  readonly certificates: certificatesModule.Certificates;
  readonly onDrainAsked: () => void;
  readonly agent: ReturnType<typeof utils.createBackendAgent>;
}

function buildParts(
  settings: settingsModule.Settings,
  { log, onDrainAsked }: HostOptions,
): HostParts {
  const clock = utils.SYSTEM_CLOCK;
  const { name: host, failure_domain: failureDomain } = settings.host;
  const incarnation = utils.createId().replaceAll(".", "");
  const part = (name: string) => utils.createPartLogger(log, name);
  const state = { ready: false, draining: false };
  const storeClient = store.createStoreClient({
    url: settings.platform.store_url,
  });
  const fleetClient = fleet.createFleetClient(settings.platform.fleet_url);
  const metrics = new metricsModule.Metrics();
  const agent = utils.createBackendAgent();
  const withdrawn = new Set<string>();
  const certificates = new certificatesModule.Certificates(settings);
  const refusals = new refusalsModule.RecentRefusals();
  const clients = new peer.PeerClients({
    secret: settingsModule.readSecrets(settings)[0],
    clock,
    getTls: () => certificates.getPeer(),
  });
  const dispatcher = new core.Dispatcher({
    failureDomain,
    random: utils.createRandom(hashSeed(incarnation)),
  });
  const dispatch = new dispatchTask.DispatchTask({
    clock,
    dispatcher,
    onSuspect: (effect) =>
      overlay.addMark({
        ...effect.mark,
        until: clock.wall() + core.constants.QUARANTINE_MS,
      }),
    onAskCapacity: () => capacity.askNow(),
  });
  const overlay: peer.Overlay = new peer.Overlay({
    self: {
      name: host,
      address: settings.peer.address,
      // Higher than whatever an earlier run under this name reached.
      incarnation: Math.floor(clock.wall() / 1_000),
      status: "alive",
    },
    failureDomain,
    seeds: settings.peer.seeds.map((seed) => ({
      name: seed.name,
      address: seed.address,
      failureDomain: seed.failure_domain,
    })).filter((seed) => seed.name !== host),
    clients,
    clock,
    random: utils.createRandom(hashSeed(host)),
    log: part("peer"),
    getRevision: () => config.get().revision,
    onAhead: (address) => void config.pull(address),
    onMarks: (marks) => dispatch.send({ kind: "suspected", marks }),
    onCleared: (fingerprints) =>
      dispatch.send({ kind: "cleared", fingerprints }),
    onWithdrawn: (keyIds) =>
      keyIds.forEach((keyId) => {
        withdrawn.add(keyId);
        dispatch.send({ kind: "key_withdrawn", keyId });
      }),
    onMembers: () => undefined,
  });
  const config: configTask.ConfigTask = new configTask.ConfigTask({
    store: storeClient,
    clients,
    clock,
    log: part("config"),
    isRelay: () => overlay.isRelay(),
    onChange: (configuration, removedKeys) => {
      dispatch.send({ kind: "configured", configuration });
      removedKeys.forEach((keyId) =>
        dispatch.send({ kind: "key_withdrawn", keyId })
      );
      // What the configuration no longer holds needs no list of its own.
      [...withdrawn].filter((keyId) => !configuration.keys.has(keyId))
        .forEach((keyId) => withdrawn.delete(keyId));
      overlay.spread();
    },
    onConfirmed: (wall) => overlay.confirm(wall),
  });
  const startRole = (role: "usage" | "orders", flightMs: number) =>
    store.startLeaseHolder({
      store: storeClient,
      clock,
      log: part(role),
      role: `${role}/${failureDomain}`,
      host,
      incarnation,
      terms: {
        ttlMs: settings.control.lease_seconds * 1_000,
        marginMs: constants.LEASE_MARGIN_MS,
      },
      flightMs,
      isCandidate: () =>
        !state.draining &&
        overlay.members.isRanked(role, constants.ROLE_CANDIDATES),
      onChange: (lease) => {
        if (lease.kind === "none") return;
        overlay.setRole({
          role: `${role}/${failureDomain}`,
          host,
          address: settings.peer.address,
          token: lease.token,
        });
      },
    });
  const usageHolder = startRole("usage", usage.REPORT_FLIGHT_MS);
  const ordersHolder = startRole("orders", fleet.ORDER_FLIGHT_MS);
  const usageOfHost = new usageTask.UsageTask({
    clock,
    log: part("usage"),
    store: storeClient,
    usage: usage.createUsageClient(settings.platform.usage_url),
    clients,
    overlay,
    holder: usageHolder,
    failureDomain,
    source: `${host}/${incarnation}`,
    windowMs: settings.usage.window_seconds * 1_000,
    graceMs: settings.usage.grace_seconds * 1_000,
  });
  const capacity: capacityTask.CapacityTask = new capacityTask.CapacityTask({
    clock,
    log: part("capacity"),
    clients,
    overlay,
    dispatch,
    dispatcher,
    getConfiguration: () => config.get(),
    failureDomain,
    host,
  });
  const orders = new ordersTask.OrdersTask({
    clock,
    log: part("orders"),
    store: storeClient,
    fleet: fleetClient,
    clients,
    capacity,
    dispatcher,
    holder: ordersHolder,
    host,
    failureDomain,
  });
  const storeGuard = new guard.StoreGuard({
    claims: store.createClaimKeeper({ store: storeClient, host, clock }),
    log: part("operation"),
  });
  const frontOfHost = new front.Front({
    clock,
    log: part("caller"),
    dispatch,
    metrics,
    refusals,
    usage: usageOfHost,
    agent,
    getConfiguration: () => config.get(),
    isWithdrawn: (keyId) => withdrawn.has(keyId),
    isFresh: () =>
      clock.wall() - overlay.getConfirmedAt() <=
        settings.control.offline_seconds * 1_000,
    storeGuard,
    ticketGuard: new guard.TicketGuard({
      origin: { host, incarnation },
      clients,
      findAddress: (name) => overlay.findAddress(name),
    }),
  });
  metrics.addGauge("banyangrade_revision", {
    help: "Configuration revision in force.",
    read: () => config.get().revision,
  });
  metrics.addGauge("banyangrade_members", {
    help: "Hosts of the failure domain that take part.",
    read: () => overlay.members.listActive().length,
  });
  metrics.addGauge("banyangrade_peer_calls", {
    help: "Calls to other hosts so far.",
    read: () => clients.countSent(),
  });
  return {
    settings,
    log,
    clock,
    incarnation,
    state,
    store: storeClient,
    fleet: fleetClient,
    clients,
    overlay,
    config,
    dispatcher,
    dispatch,
    withdrawn,
    capacity,
    usage: usageOfHost,
    orders,
    roles: [usageHolder, ordersHolder],
    storeGuard,
    front: frontOfHost,
    metrics,
    refusals,
    certificates,
    onDrainAsked,
    agent,
  };
}

function hashSeed(text: string): number {
  return Number.parseInt(utils.computeDigest(text).slice(0, 8), 16);
}

interface HostServers {
  readonly caller: caller.CallerServer;
  readonly peer: peer.PeerServer;
  readonly operations: operations.OperationsServer;
}

async function startServers(parts: HostParts): Promise<HostServers> {
  const { settings } = parts;
  const split = settingsModule.splitAddress;
  return {
    peer: await peer.startPeerServer({
      ...split(settings.peer.address),
      secrets: settingsModule.readSecrets(settings),
      tls: parts.certificates.getPeer(),
      handlers: buildHandlers(parts),
    }),
    caller: await caller.startCallerServer({
      ...split(settings.caller.address),
      tls: parts.certificates.getCaller(),
      limits: {
        ...caller.DEFAULT_LIMITS,
        maxBodyBytes: settings.caller.max_body_bytes,
        maxConnections: settings.caller.max_connections,
      },
      onRequest: (request) => parts.front.handle(request),
    }),
    operations: await operations.startOperationsServer({
      ...split(settings.operations.address),
      metrics: parts.metrics,
      isReady: () => parts.state.ready && !parts.state.draining,
      getStatus: () => statusModule.buildStatus(parts),
    }),
  };
}

function buildHandlers(parts: HostParts): peer.PeerHandlers {
  return {
    takeBeat: (beat) => parts.overlay.takeBeat(beat),
    listMembers: () => parts.overlay.members.listAll(),
    getDelta: (revision) => parts.config.getDelta(revision),
    takeDemand: (message) => parts.capacity.takeDemand(message),
    takeGrants: (message) => parts.capacity.takeGrants(message),
    takeUsage: (message) => parts.usage.take(message),
    sumDemand: (pools) => parts.capacity.sumDemand(pools),
    runTicket: (message) => parts.front.runTicket(message),
    getRevision: () => parts.config.get().revision,
    listRevisions: (scope) => statusModule.listRevisions(parts, scope),
    withdrawKey: (keyId) => parts.overlay.addWithdrawn(keyId),
    getStatus: () => statusModule.buildStatus(parts),
    findRefusal: (requestId) => parts.refusals.find(requestId) ?? null,
    startDrain: () => parts.onDrainAsked(),
  };
}

function startPolls(parts: HostParts): () => void {
  const stops = [
    utils.startInterval(constants.SERVERS_MS, () => pollServers(parts)),
    utils.startInterval(constants.LOAD_POLL_MS, () => pollLoad(parts)),
    utils.startInterval(constants.HOSTS_MS, () => pollHosts(parts)),
    utils.startInterval(
      constants.CLAIM_CLEANUP_MS,
      () => parts.storeGuard.tidy(),
    ),
  ];
  return () => stops.forEach((stop) => stop());
}

/** An unanswered listing changes nothing: the last one is better than none. */
async function pollServers(parts: HostParts): Promise<void> {
  const domain = parts.settings.host.failure_domain;
  const listed = await parts.fleet.listServers(domain);
  if (listed.err) return;
  parts.dispatch.send({ kind: "servers_changed", servers: listed.val });
}

async function pollLoad(parts: HostParts): Promise<void> {
  const engines = parts.dispatcher.inspect().servers.filter((server) =>
    // An idle server says all there is to know when it is used again.
    server.pool.serves === "engine" && server.running > 0
  ).slice(0, constants.LOAD_POLL_SERVERS);
  await Promise.all(engines.map(async (server) => {
    const report = await engine.fetchLoad(parts.agent, server.info);
    if (report === undefined) return;
    parts.dispatch.send({ kind: "load_reported", report });
  }));
}

async function pollHosts(parts: HostParts): Promise<void> {
  if (!parts.overlay.isRelay()) return;
  const listed = await parts.fleet.listHosts();
  if (listed.err) return;
  parts.overlay.setContacts(
    listed.val.filter((host) => host.name !== parts.settings.host.name),
  );
}

/** Between two looks at what is still running during a drain, in ms. */
const DRAIN_POLL_MS = 50;
/** Time for the balancer to see that the host is not ready, in ms. */
const DRAIN_NOTICE_MS = 500;

async function drainHost(
  parts: HostParts,
  servers: HostServers,
): Promise<void> {
  const { settings, state, clock, log } = parts;
  state.draining = true;
  log.info({ open: parts.dispatch.countOpen() }, "Draining.");
  await Promise.all(parts.roles.map((role) => role.release()));
  // Not ready first, while requests are still taken: a balancer that has not
  // looked yet goes on sending, and none of these is cut either.
  await utils.waitFor(DRAIN_NOTICE_MS);
  servers.caller.drain();
  const until = clock.now() + settings.control.drain_seconds * 1_000;
  while (parts.dispatch.countOpen() > 0 && clock.now() < until) {
    await utils.waitFor(DRAIN_POLL_MS);
  }
  await parts.usage.stop();
  await parts.overlay.leave();
}
