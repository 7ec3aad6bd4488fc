/** Starts and stops a host that serves requests by the operators' routes, with its components and network servers. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as operationsServer from "../operations_server.ts";
import * as ingressModule from "./ingress.ts";
import * as listenerProbe from "./listener_probe.ts";
import * as readinessModule from "./readiness.ts";
import * as gatewayParts from "./gateway_parts.ts";
import * as sharedKnowledge from "./shared_knowledge.ts";
import * as startTasks from "./start_tasks.ts";

/** A running host. */
export interface GatewayHost {
  /** Stops gracefully: reports itself not ready, then finishes open requests. */
  readonly drain: () => Promise<void>;
  /** Stops immediately. */
  readonly close: () => Promise<void>;
}

/** Time within which the load balancer sees the host not ready twice, in ms; it checks once a second. */
const READINESS_NOTICE_MS = 2_300;
/** Share of the grace period after which open requests are abandoned; the rest is for publishing the last usage counts to the store. */
const DRAIN_SHARE = 0.85;
/** Longest time for closing after the requests have ended, in ms; less than the remaining share of the shortest grace period, of a few seconds. */
const CLOSE_TIMEOUT_MS = 900;
/** Interval between checks for open requests while draining, in ms. */
const DRAIN_POLL_MS = 50;

/**
 * Starts a host.
 *
 * @example
 * const host = await startGatewayHost({ settings, platform, log, clock });
 */
export async function startGatewayHost(
  options: gatewayParts.GatewayHostOptions,
): Promise<GatewayHost> {
  const parts = gatewayParts.buildGatewayParts(options);
  const servers = await startServers(parts);
  addGauges(parts);
  await startTasks.startTasks(parts);
  options.log.info({ host: options.settings.host }, "Host started.");
  return {
    close: () => closeHost(parts, servers),
    drain: async () => {
      await drainHost(parts, servers);
      // A call that gets no response must not keep the process running beyond its
      // grace period: it would be killed, and a planned stop would count as a loss.
      await Promise.race([
        closeHost(parts, servers),
        utils.waitFor(CLOSE_TIMEOUT_MS),
      ]);
    },
  };
}

interface HostServers {
  readonly ingress: ingressModule.Ingress;
  readonly probe: listenerProbe.ListenerProbe;
  readonly readiness: { readonly close: () => void };
  readonly operations: operationsServer.OperationsServer | undefined;
}

async function startServers(
  parts: gatewayParts.GatewayParts,
): Promise<HostServers> {
  const { settings, platform, state, belief, dispatch, metrics } = parts;
  const { clientGuard } = parts;
  const { clients } = settings;
  const address = utils.splitAddress(settings.callerAddress);
  const probe = new listenerProbe.ListenerProbe({
    address,
    clock: parts.clocks.lease,
    log: utils.createPartLogger(parts.log, "ingress"),
    describe: () => ({
      loopDelayMs: Math.round(dispatch.getLoopDelay()),
      connections: clientGuard.countConnections(),
      silent: clientGuard.countSilent(),
      open: dispatch.countOpen(),
    }),
  });
  const isReady = () => gatewayParts.isReady(parts) && probe.isServed();
  const ingress = await ingressModule.startIngress({
    ...address,
    onRequest: (request, waitedMs) =>
      parts.requestHandler.handle(request, waitedMs),
    heldBytes: parts.heldBytes,
    guard: clientGuard,
    limits: clients,
    takeConnection: (accepted) => probe.take(accepted),
    closesConnections: () =>
      state.draining || !belief.isReady() || clientGuard.isFull(),
  });
  parts.ingress = ingress;
  probe.start();
  const readiness = await readinessModule.startReadiness({
    ...utils.splitAddress(settings.readinessAddress),
    path: platform.wire.readinessPath,
    isReady,
    guard: clientGuard,
    maxConnections: clients.maxControlConnections,
  });
  const { metricsAddress } = settings;
  const operations = metricsAddress === undefined
    ? undefined
    : await operationsServer.startOperationsServer({
      ...utils.splitAddress(metricsAddress),
      metrics,
      isReady,
      guard: clientGuard,
      maxConnections: clients.maxControlConnections,
      getStatus: () => ({ open: dispatch.countOpen() }),
    });
  return { ingress, probe, readiness, operations };
}

/** Adds gauges for the age of the store's data, open requests and roles; they are read on each scrape. */
function addGauges(
  {
    metrics,
    belief,
    dispatch,
    roles,
    relay,
    heldBytes,
    clientGuard,
    handover,
    streamOrigins,
  }: gatewayParts.GatewayParts,
): void {
  metrics.addGauge("banyangrade_is_relay", {
    help: "1 while this host follows the store for its failure domain.",
    read: () => relay.isRelay() ? 1 : 0,
  });
  metrics.addGauge("banyangrade_proof_age_seconds", {
    help: "Age of the last word from the store.",
    read: () => belief.getProofAge() / 1_000,
  });
  metrics.addGauge("banyangrade_open_requests", {
    help: "Requests queued and running.",
    read: () => dispatch.countOpen(),
  });
  metrics.addGauge("banyangrade_loop_delay_seconds", {
    help: "Longest delay of late with which the process noticed anything.",
    read: () => dispatch.getLoopDelay() / 1_000,
  });
  metrics.addGauge("banyangrade_servers", {
    help: "Backend servers that are in use.",
    read: () => belief.listServers().length,
  });
  metrics.addGauge("banyangrade_servers_overdue", {
    help: "Backend servers that are avoided because they send nothing.",
    read: () => dispatch.countOverdueServers(),
  });
  metrics.addGauge("banyangrade_poison_requests", {
    help: "Requests that are refused because servers were lost while they ran.",
    read: () => dispatch.countPoisonRequests(),
  });
  metrics.addGauge("banyangrade_blamed_parts", {
    help: "Parts of prompts that are refused because they crash servers.",
    read: () => dispatch.countBlamedParts(),
  });
  metrics.addLabelledGauge("banyangrade_brittle_servers", {
    help:
      "Backend servers that crash if they must refuse too much: those that this host sends to for all hosts, and others by whether they refused its last request.",
    label: "state",
    read: () => ({ ...dispatch.countBrittleServers() }),
  });
  metrics.addGauge("banyangrade_links_lost", {
    help: "Services to whose backend servers this host has lost its links.",
    read: () => dispatch.listLostLinks().length,
  });
  metrics.addGauge("banyangrade_handover_peers", {
    help: "Hosts to which this host hands requests.",
    read: () => handover.countPeers(),
  });
  metrics.addLabelledGauge("banyangrade_engine_speeds", {
    help:
      "Engines by speed relative to their service's mean: slow below 0.8, fast above 1.25.",
    label: "kind",
    read: () => ({ ...core.countSpeeds(dispatch.listSpeeds()) }),
  });
  metrics.addLabelledGauge("banyangrade_held_bytes", {
    help: "Bytes held for callers and servers, by kind.",
    label: "kind",
    read: () => ({ ...heldBytes.getTotals() }),
  });
  metrics.addGauge("banyangrade_client_connections", {
    help: "Open connections of clients at all ports.",
    read: () => clientGuard.countConnections(),
  });
  metrics.addGauge("banyangrade_silent_connections", {
    help: "Open connections of clients of which no byte was read yet.",
    read: () => clientGuard.countSilent(),
  });
  metrics.addGauge("banyangrade_client_held_bytes", {
    help:
      "Estimated memory of unanswered requests and of bytes that are not parsed.",
    read: () => clientGuard.getHeldBytes(),
  });
  metrics.addGauge("banyangrade_stream_origins", {
    help:
      "Streams of which this host knows the software version that began them.",
    read: () => streamOrigins.countStreams(),
  });
  metrics.addGauge("banyangrade_has_role", {
    help: "1 while this host holds the control roles.",
    read: () => roles.hasRole() ? 1 : 0,
  });
}

async function drainHost(
  parts: gatewayParts.GatewayParts,
  { ingress, probe }: HostServers,
): Promise<void> {
  const { settings, state, clock, log, dispatch, roles, relay } = parts;
  const { requestHandler, startupWaits, heldBytes, handover } = parts;
  // A request whose body has not been read is not open at the dispatcher yet, and
  // would be lost without a refusal if the host closed.
  // A response that Node.js has taken is still on its way to a caller that reads slowly.
  const countUnfinished = () =>
    Math.max(
      dispatch.countOpen() + handover.countOpen() +
        requestHandler.countPending(),
      heldBytes.countCallers(),
    );
  const until = clock.now() + DRAIN_SHARE * settings.graceMs;
  state.draining = true;
  startupWaits.refuseAll();
  log.info({ open: dispatch.countOpen() }, "Draining.");
  sharedKnowledge.sendShared(parts);
  // Requests are still accepted until the load balancer has seen the change.
  await Promise.all([
    roles.stop(),
    relay.stop(),
    utils.waitFor(READINESS_NOTICE_MS),
  ]);
  // A connection that stayed busy may still carry a new request, which could run
  // beyond the grace period. It is refused so that its caller retries elsewhere.
  state.closed = true;
  heldBytes.refuseWaits();
  probe.stop();
  ingress.drain();
  const closeIdle = () => {
    if (heldBytes.countCallers() === 0) ingress.closeIdle();
  };
  closeIdle();
  while (countUnfinished() > 0 && clock.now() < until) {
    await utils.waitFor(DRAIN_POLL_MS);
    closeIdle();
  }
  log.info({ open: countUnfinished() }, "Host stopped.");
}

async function closeHost(
  parts: gatewayParts.GatewayParts,
  { ingress, probe, readiness, operations }: HostServers,
): Promise<void> {
  parts.belief.stop();
  parts.streamOrigins.stop();
  parts.startupWaits.refuseAll();
  await Promise.all([
    parts.roles.stop(),
    parts.relay.stop(),
    parts.presence.stop(),
  ]);
  parts.dispatch.stop();
  parts.spreading.stop();
  parts.heldBytes.stop();
  probe.stop();
  ingress.close();
  readiness.close();
  await Promise.all([
    operations?.close(),
    parts.relay.close(),
    parts.pools.close(),
    parts.handover.close(),
    parts.platform.store.close(),
  ]);
}
