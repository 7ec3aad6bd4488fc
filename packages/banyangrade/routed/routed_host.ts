/** A host that serves by routes: its tasks, put together, started and stopped. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as dispatchTask from "../dispatch_task.ts";
import * as metricsModule from "../metrics.ts";
import * as operationsServer from "../operations_server.ts";
import * as beliefTask from "./belief_task.ts";
import * as ingressModule from "./ingress.ts";
import type * as ports from "./ports.ts";
import * as presenceTask from "./presence_task.ts";
import * as rolesTask from "./roles_task.ts";
import * as routedExchange from "./routed_exchange.ts";
import * as routedFront from "./routed_front.ts";
import * as serverPools from "./server_pools.ts";

/** Options of {@link startRoutedHost}. */
export interface RoutedHostOptions {
  readonly settings: ports.RoutedSettings;
  readonly platform: ports.Platform;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
}

/** A running host. */
export interface RoutedHost {
  /** Stops gracefully: calls itself not ready, then finishes what runs. */
  readonly drain: () => Promise<void>;
  /** Stops at once. */
  readonly close: () => Promise<void>;
}

/** Shortest time to come back that a refusal gives, in ms: some turns of the shortest calls. */
const LEAST_RETRY_MS = 50;
/** Servers lost to one request before it is run apart from others. */
const ISOLATE_AFTER = 2;
/** Hosts that are taken to share the retry budget before their number is known. */
const HOSTS_AT_FIRST = 8;

/**
 * Starts a host.
 *
 * @example
 * const host = await startRoutedHost({ settings, platform, log, clock });
 */
export async function startRoutedHost(
  options: RoutedHostOptions,
): Promise<RoutedHost> {
  const { settings, platform, log, clock } = options;
  const state = { draining: false, closed: false };
  const pools = new serverPools.ServerPools({ clock });
  const metrics = new metricsModule.Metrics();
  const budget = new core.WindowRetryBudget(settings.retries, {
    hosts: HOSTS_AT_FIRST,
  });
  pools.setHosts(HOSTS_AT_FIRST);
  const random = utils.createRandom(utils.hashSeed(utils.createId()));
  const dispatch = new dispatchTask.DispatchTask({
    clock,
    dispatcher: new core.Dispatcher({
      failureDomain: settings.failureDomain,
      host: settings.host,
      random,
      budget,
      preempts: false,
      leastRetryMs: LEAST_RETRY_MS,
      isolateAfter: ISOLATE_AFTER,
      dividesEngines: true,
    }),
    onSuspect: () => undefined,
    onAskCapacity: () => undefined,
  });
  const suspensions = new core.SuspensionClock();
  const trueClock = new core.TrueClock();
  const incarnation = utils.createId();
  const counter = new core.WindowCounter();
  const readClocks = () => ({ now: clock.now(), wall: clock.wall() });
  const getTrueTime = () => trueClock.read(readClocks());
  /** For leases and proofs, which go on while the process is suspended. */
  const leaseClock: utils.Clock = {
    now: () => suspensions.read(readClocks()),
    wall: clock.wall,
  };
  const belief = new beliefTask.BeliefTask({
    platform,
    clock: leaseClock,
    log: utils.createPartLogger(log, "belief"),
    withdrawMs: settings.withdrawMs,
    leaveMs: settings.leaveMs,
    countHosts: () => presenceTask.listCurrent(presence.list()).length,
    onConfiguration: ({ configuration }) => {
      ingress.setLimits(configuration.limits);
      dispatch.send({
        kind: "configured",
        configuration: core.toDispatchConfiguration(
          configuration,
          settings.failureDomain,
        ),
      });
      applyServers(belief.listServers());
    },
    onServers: applyServers,
  });

  function applyServers(listed: readonly core.ListedServer[]): void {
    const limits = new Map(
      (belief.getTable()?.configuration.services ?? [])
        .map((one) => [one.name, one.connectionLimit]),
    );
    const servers = listed.map((server) => {
      const name = getServerName(server);
      const limit = pools.getLimit(name, limits.get(server.service) ?? 0);
      return toServerInfo(server, { name, limit });
    });
    pools.keep(new Set(servers.map((server) => server.name)));
    dispatch.send({ kind: "servers_changed", servers });
  }

  function checkKey(key: string, customer: string): routedExchange.KeyCheck {
    if (!belief.isProved()) return "unproved";
    const grant = belief.getTable()?.byKey.get(key);
    return grant?.customer === customer ? "valid" : "withdrawn";
  }

  const front = new routedFront.RoutedFront({
    belief,
    isClosed: () => state.closed,
    random,
    clock,
    log: utils.createPartLogger(log, "request"),
    dispatch,
    metrics,
    pools,
    wire: platform.wire,
    checkKey,
    countUsage: (customer, at) => {
      const sinceMs = clock.now() - at;
      const window = Math.floor(
        (getTrueTime() - sinceMs) / settings.usageWindowMs,
      );
      counter.record(window, customer);
    },
  });
  const presence: presenceTask.PresenceTask = new presenceTask.PresenceTask({
    store: platform.store,
    clock: leaseClock,
    log: utils.createPartLogger(log, "presence"),
    host: settings.host,
    incarnation,
    describe: () => ({
      host: settings.host,
      incarnation,
      at: getTrueTime(),
      demand: dispatch.countByTarget(),
      usage: counter.list(),
    }),
    hasRole: () => roles.hasRole(),
    onEntries: (entries) => {
      const current = presenceTask.listCurrent(entries);
      budget.setHosts(current.length);
      pools.setHosts(current.length);
      belief.getTable()?.configuration.services.forEach(({ name }) =>
        dispatch.setDemand(name, presenceTask.sumDemand(current, name))
      );
      trueClock.update(readClocks(), {
        publishMs: presence.getPublishMs(),
        others: current.filter((entry) => entry.host !== settings.host)
          .map((entry) => entry.at),
      });
    },
  });
  const roles: rolesTask.RolesTask = new rolesTask.RolesTask({
    settings,
    platform,
    clock: leaseClock,
    log: utils.createPartLogger(log, "roles"),
    incarnation,
    isReady: () => !state.draining && belief.isReady(),
    getTrueTime,
    getConfiguration: () => belief.getTable()?.configuration,
    listServers: () => belief.listServers(),
    listEntries: () => presence.list(),
    getEntriesAt: () => presence.getReadAt(),
  });
  const ingress = await ingressModule.startIngress({
    ...utils.splitAddress(settings.callerAddress),
    onRequest: (request) => front.handle(request),
    isLeaving: () => state.draining || !belief.isReady(),
  });
  const readiness = await ingressModule.startReadiness({
    ...utils.splitAddress(settings.readinessAddress),
    path: platform.wire.readinessPath,
    isReady: () => !state.draining && belief.isReady(),
  });
  const operations = settings.metricsAddress === undefined
    ? undefined
    : await operationsServer.startOperationsServer({
      ...utils.splitAddress(settings.metricsAddress),
      metrics,
      isReady: () => !state.draining && belief.isReady(),
      getStatus: () => ({ open: dispatch.countOpen() }),
    });
  addGauges(metrics, { belief, dispatch, roles });
  belief.start();
  presence.start();
  roles.start();
  log.info({ host: settings.host }, "Host started.");

  async function close(): Promise<void> {
    belief.stop();
    await Promise.all([roles.stop(), presence.stop()]);
    dispatch.stop();
    ingress.close();
    readiness.close();
    await Promise.all([
      operations?.close(),
      pools.close(),
      platform.store.close(),
    ]);
  }

  return {
    close,
    drain: async () => {
      const until = clock.now() + settings.graceMs - STOP_MARGIN_MS;
      state.draining = true;
      log.info({ open: dispatch.countOpen() }, "Draining.");
      // Requests are still taken until the balancer has seen it.
      await Promise.all([roles.stop(), utils.waitFor(BALANCER_NOTICE_MS)]);
      // A connection that was busy all the while may bring one more request,
      // which could outlast the stop; its caller loses less by going elsewhere.
      state.closed = true;
      ingress.drain();
      while (dispatch.countOpen() > 0 && clock.now() < until) {
        await utils.waitFor(DRAIN_POLL_MS);
      }
      log.info({ open: dispatch.countOpen() }, "Host stopped.");
      await close();
    },
  };
}

/** Ages of beliefs, open work and roles, read when the metrics are. */
function addGauges(
  metrics: metricsModule.Metrics,
  { belief, dispatch, roles }: {
    readonly belief: beliefTask.BeliefTask;
    readonly dispatch: dispatchTask.DispatchTask;
    readonly roles: rolesTask.RolesTask;
  },
): void {
  metrics.addGauge("banyangrade_proof_age_seconds", {
    help: "Age of the last word from the store.",
    read: () => belief.getAge() / 1_000,
  });
  metrics.addGauge("banyangrade_open_requests", {
    help: "Requests queued and running.",
    read: () => dispatch.countOpen(),
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

/** Time for the balancer to find the host not ready twice, in ms; it asks once a second. */
const BALANCER_NOTICE_MS = 2_300;
/** Time before the end of the grace period at which the rest is given up, in ms. */
const STOP_MARGIN_MS = 400;
/** Between two looks at what is still running, in ms. */
const DRAIN_POLL_MS = 50;

/** A server that started again under its identifier is another one: it knows nothing of the first. */
function getServerName(listed: core.ListedServer): string {
  return `${listed.id}@${listed.bornAt}`;
}

function toServerInfo(
  listed: core.ListedServer,
  { name, limit }: { readonly name: string; readonly limit: number },
): core.ServerInfo {
  return {
    name,
    instance: listed.id,
    pool: listed.service,
    url: `http://${listed.address}`,
    state: listed.state === "ready" ? "live" : "leaving",
    slots: Math.min(listed.slots, limit),
    failureDomain: listed.failureDomain,
  };
}
