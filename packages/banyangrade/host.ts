/** Starts and stops a host that serves callers by API keys and classes. */
import * as caller from "@banyangrade/caller";
import * as engine from "@banyangrade/engine";
import * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";
import * as constants from "./constants.ts";
import * as hostParts from "./host_parts.ts";
import * as operations from "./operations_server.ts";
import * as settingsModule from "./settings.ts";
import * as statusModule from "./status.ts";

/** A running host. */
export interface Host {
  /** Stops gracefully: accepts no new requests and finishes the running ones, up to the drain time. */
  readonly drain: () => Promise<void>;
  /** Stops immediately; running requests are aborted. */
  readonly close: () => Promise<void>;
}

/**
 * Starts a host.
 *
 * @example
 * const host = await startHost(settings, { log, onDrainAsked });
 */
export async function startHost(
  settings: settingsModule.Settings,
  options: hostParts.HostOptions,
): Promise<Host> {
  const { log } = options;
  const parts = hostParts.buildParts(settings, options);
  const servers = await startServers(parts);
  parts.overlay.start();
  await parts.config.start(
    settings.peer.seeds.filter((seed) => seed.name !== settings.host.name)
      .map((seed) => seed.address),
  );
  parts.capacity.start();
  parts.overflow.start();
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
    parts.overflow.stop();
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

interface HostServers {
  readonly caller: caller.CallerServer;
  readonly peer: peer.PeerServer;
  readonly operations: operations.OperationsServer;
}

async function startServers(parts: hostParts.HostParts): Promise<HostServers> {
  const { settings } = parts;
  const split = utils.splitAddress;
  const limits = settingsModule.getClientLimits(settings);
  return {
    peer: await peer.startPeerServer({
      ...split(settings.peer.address),
      secrets: settingsModule.readSecrets(settings),
      tls: parts.certificates.getPeerTls(),
      guard: parts.clientGuard,
      maxConnections: limits.maxPeerConnections,
      router: peer.buildRouter(buildHandlers(parts)),
    }),
    caller: await caller.startCallerServer({
      ...split(settings.caller.address),
      tls: parts.certificates.getCallerTls(),
      limits: {
        ...caller.DEFAULT_LIMITS,
        maxBodyBytes: settings.caller.max_body_bytes,
        maxBufferedBytes: settings.caller.max_buffered_bytes,
        maxConnections: limits.maxConnections,
        maxRequestsAhead: limits.maxRequestsAhead,
      },
      guard: parts.clientGuard,
      acceptHead: (head) => parts.requestHandler.acceptHead(head),
      onRequest: (request) => parts.requestHandler.handle(request),
    }),
    operations: await operations.startOperationsServer({
      ...split(settings.operations.address),
      metrics: parts.metrics,
      isReady: () => parts.state.ready && !parts.state.draining,
      getStatus: () => statusModule.buildStatus(parts),
      guard: parts.clientGuard,
      maxConnections: limits.maxControlConnections,
    }),
  };
}

function buildHandlers(parts: hostParts.HostParts): peer.PeerHandlers {
  return {
    takeHeartbeat: (beat) => parts.overlay.mergeHeartbeat(beat),
    listMembers: () => parts.overlay.members.listAll(),
    getDelta: (revision) => parts.config.getDelta(revision),
    takeDemand: (message) => parts.capacity.takeDemand(message),
    takeGrants: (message) => parts.capacity.takeGrants(message),
    listRemoteContacts: () => parts.overlay.listRemoteContacts(),
    takeUsage: (message) => parts.usage.takeBatches(message),
    sumDemand: (pools) => parts.capacity.sumDemand(pools),
    runTicket: (message) => parts.requestHandler.runTicket(message),
    getRevision: () => parts.config.get().revision,
    listRevisions: (scope) => statusModule.listRevisions(parts, scope),
    withdrawKey: (keyId) => parts.overlay.addWithdrawn(keyId),
    getStatus: () => statusModule.buildStatus(parts),
    findRefusal: (requestId) => parts.refusals.find(requestId) ?? null,
    startDrain: () => parts.onDrainAsked(),
  };
}

function startPolls(parts: hostParts.HostParts): () => void {
  const startPoll = (
    step: string,
    ms: number,
    poll: (parts: hostParts.HostParts) => void | Promise<void>,
  ) =>
    utils.startInterval(
      { ms, onError: utils.createErrorLog(parts.log, step) },
      () => poll(parts),
    );
  const stops = [
    startPoll("host.pollServers", constants.SERVERS_MS, pollServers),
    startPoll("host.pollLoad", constants.LOAD_POLL_MS, pollLoad),
    startPoll("host.pollHosts", constants.HOSTS_MS, pollHosts),
    startPoll(
      "host.releaseClaims",
      constants.CLAIM_CLEANUP_MS,
      ({ storeGuard }) => storeGuard.releaseStale(),
    ),
  ];
  return () => stops.forEach((stop) => stop());
}

/** Updates the list of servers. If the fleet does not answer, the last list stays in use. */
async function pollServers(parts: hostParts.HostParts): Promise<void> {
  const domain = parts.settings.host.failure_domain;
  const listed = await parts.fleet.listServers(domain);
  if (listed.err) return;
  parts.dispatch.send({ kind: "servers_changed", servers: listed.val });
}

async function pollLoad(parts: hostParts.HostParts): Promise<void> {
  const engines = parts.dispatcher.inspect().servers.filter((server) =>
    // Idle servers are skipped; they report their load with the next response.
    server.pool.serves === "engine" && server.running > 0
  ).slice(0, constants.LOAD_POLL_SERVERS);
  await Promise.all(engines.map(async (server) => {
    const report = await engine.fetchLoad(parts.agent, server.info);
    if (report === undefined) return;
    parts.dispatch.send({ kind: "load_reported", report });
  }));
}

async function pollHosts(parts: hostParts.HostParts): Promise<void> {
  if (!parts.overlay.isRelay()) return;
  const listed = await parts.fleet.listHosts();
  if (listed.err) return;
  parts.overlay.setContacts(
    listed.val.filter((host) => host.name !== parts.settings.host.name),
  );
}

/** Interval at which a draining host checks for running requests, in ms. */
const DRAIN_POLL_MS = 50;
/** Time for the load balancer to notice that the host is not ready, in ms. */
const DRAIN_NOTICE_MS = 500;

async function drainHost(
  parts: hostParts.HostParts,
  servers: HostServers,
): Promise<void> {
  const { settings, state, clock, log } = parts;
  state.draining = true;
  log.info(
    { open: parts.dispatch.countOpen() },
    "Draining; waiting for open requests.",
  );
  await Promise.all(parts.roles.map((role) => role.release()));
  // The host reports itself not ready before it stops accepting requests, because the
  // load balancer sends more until it notices, and those must not be cut off.
  await utils.waitFor(DRAIN_NOTICE_MS);
  servers.caller.drain();
  const deadline = clock.now() + settings.control.drain_seconds * 1_000;
  while (parts.dispatch.countOpen() > 0 && clock.now() < deadline) {
    await utils.waitFor(DRAIN_POLL_MS);
  }
  await parts.usage.stop();
  await parts.overlay.leave();
}
