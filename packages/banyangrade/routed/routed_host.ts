/** A host that serves by routes: its parts and servers, started and stopped. */
import * as utils from "@banyangrade/utils";
import * as operationsServer from "../operations_server.ts";
import * as ingressModule from "./ingress.ts";
import * as readinessModule from "./readiness.ts";
import * as routedParts from "./routed_parts.ts";

/** A running host. */
export interface RoutedHost {
  /** Stops gracefully: calls itself not ready, then finishes what runs. */
  readonly drain: () => Promise<void>;
  /** Stops at once. */
  readonly close: () => Promise<void>;
}

/** Time for the balancer to find the host not ready twice, in ms; it asks once a second. */
const BALANCER_NOTICE_MS = 2_300;
/** Part of the grace period after which what still runs is given up; the rest is for the last counts, which take a call to the store. */
const GIVE_UP_SHARE = 0.85;
/** Longest time for those after the requests have ended, in ms; less than the rest of the shortest grace period of some seconds. */
const CLOSE_MS = 900;
/** Between two looks at what is still running, in ms. */
const DRAIN_POLL_MS = 50;

/**
 * Starts a host.
 *
 * @example
 * const host = await startRoutedHost({ settings, platform, log, clock });
 */
export async function startRoutedHost(
  options: routedParts.RoutedHostOptions,
): Promise<RoutedHost> {
  const parts = routedParts.buildRoutedParts(options);
  const servers = await startServers(parts);
  addGauges(parts);
  await parts.relay.start();
  parts.belief.start();
  parts.presence.start();
  parts.roles.start();
  options.log.info({ host: options.settings.host }, "Host started.");
  return {
    close: () => closeHost(parts, servers),
    drain: async () => {
      await drainHost(parts, servers);
      // Whatever does not answer must not keep the process beyond its grace
      // period: it would be killed, and a planned stop count as a loss.
      await Promise.race([
        closeHost(parts, servers),
        utils.waitFor(CLOSE_MS),
      ]);
    },
  };
}

interface HostServers {
  readonly ingress: ingressModule.Ingress;
  readonly readiness: { readonly close: () => void };
  readonly operations: operationsServer.OperationsServer | undefined;
}

async function startServers(
  parts: routedParts.RoutedParts,
): Promise<HostServers> {
  const { settings, platform, state, belief, dispatch, metrics } = parts;
  const isReady = () => routedParts.isReady(parts);
  const ingress = await ingressModule.startIngress({
    ...utils.splitAddress(settings.callerAddress),
    onRequest: (request) => parts.front.handle(request),
    isLeaving: () => state.draining || !belief.isReady(),
  });
  parts.ingress = ingress;
  const readiness = await readinessModule.startReadiness({
    ...utils.splitAddress(settings.readinessAddress),
    path: platform.wire.readinessPath,
    isReady,
  });
  const { metricsAddress } = settings;
  const operations = metricsAddress === undefined
    ? undefined
    : await operationsServer.startOperationsServer({
      ...utils.splitAddress(metricsAddress),
      metrics,
      isReady,
      getStatus: () => ({ open: dispatch.countOpen() }),
    });
  return { ingress, readiness, operations };
}

/** Ages of beliefs, open work and roles, read when the metrics are. */
function addGauges(
  { metrics, belief, dispatch, roles, relay }: routedParts.RoutedParts,
): void {
  metrics.addGauge("banyangrade_is_relay", {
    help: "1 while this host follows the store for its failure domain.",
    read: () => relay.isRelay() ? 1 : 0,
  });
  metrics.addGauge("banyangrade_proof_age_seconds", {
    help: "Age of the last word from the store.",
    read: () => belief.getAge() / 1_000,
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
  metrics.addGauge("banyangrade_has_role", {
    help: "1 while this host holds the control roles.",
    read: () => roles.hasRole() ? 1 : 0,
  });
}

async function drainHost(
  { settings, state, clock, log, dispatch, roles, relay }:
    routedParts.RoutedParts,
  { ingress }: HostServers,
): Promise<void> {
  const until = clock.now() + GIVE_UP_SHARE * settings.graceMs;
  state.draining = true;
  log.info({ open: dispatch.countOpen() }, "Draining.");
  // Requests are still taken until the balancer has seen it.
  await Promise.all([
    roles.stop(),
    relay.stop(),
    utils.waitFor(BALANCER_NOTICE_MS),
  ]);
  // A connection that was busy all the while may bring one more request,
  // which could outlast the stop; its caller loses less by going elsewhere.
  state.closed = true;
  ingress.drain();
  while (dispatch.countOpen() > 0 && clock.now() < until) {
    await utils.waitFor(DRAIN_POLL_MS);
  }
  log.info({ open: dispatch.countOpen() }, "Host stopped.");
}

async function closeHost(
  parts: routedParts.RoutedParts,
  { ingress, readiness, operations }: HostServers,
): Promise<void> {
  parts.belief.stop();
  await Promise.all([
    parts.roles.stop(),
    parts.relay.stop(),
    parts.presence.stop(),
  ]);
  parts.dispatch.stop();
  ingress.close();
  readiness.close();
  await Promise.all([
    operations?.close(),
    parts.relay.close(),
    parts.pools.close(),
    parts.platform.store.close(),
  ]);
}
