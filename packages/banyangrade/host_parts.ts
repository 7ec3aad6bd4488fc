/**
 * Builds and connects the components of a host that serves callers by API keys and
 * classes. The components refer to each other, so they are added to one object step by
 * step and look each other up when they are called.
 */
import * as core from "@banyangrade/core";
import * as listener from "@banyangrade/listener";
import * as fleet from "@banyangrade/fleet";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as usage from "@banyangrade/usage";
import * as utils from "@banyangrade/utils";
import * as capacityTask from "./capacity_task.ts";
import * as certificatesModule from "./certificates.ts";
import * as configTask from "./config_task.ts";
import * as constants from "./constants.ts";
import * as dispatchTask from "./dispatch_task.ts";
import * as callerRequestHandler from "./caller_request_handler.ts";
import * as metricsModule from "./metrics.ts";
import * as operationGuard from "./operation_guard.ts";
import * as overflowTask from "./overflow_task.ts";
import * as autoscalerTask from "./autoscaler_task.ts";
import * as refusalsModule from "./recent_refusals.ts";
import * as settingsModule from "./settings.ts";
import * as unexpectedErrors from "./unexpected_errors.ts";
import * as usageTask from "./usage_task.ts";

/** Options of {@link buildParts}. */
export interface HostOptions {
  readonly log: utils.Logger;
  /** Called when an operator requests a drain. */
  readonly onDrainAsked: () => void;
}

/** The components of a host, except its network servers. */
export interface HostParts {
  readonly settings: settingsModule.Settings;
  readonly host: string;
  readonly failureDomain: string;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
  readonly incarnation: string;
  readonly state: { ready: boolean; draining: boolean };
  readonly store: store.StoreClient;
  readonly fleet: fleet.FleetClient;
  readonly certificates: certificatesModule.Certificates;
  readonly clients: peer.PeerClients;
  readonly overlay: peer.Overlay;
  readonly config: configTask.ConfigTask;
  readonly dispatcher: core.Dispatcher;
  readonly dispatch: dispatchTask.DispatchTask;
  /** Keys that were withdrawn before the configuration without them arrived; kept until the process ends. */
  readonly withdrawn: Set<string>;
  readonly capacity: capacityTask.CapacityTask;
  readonly overflow: overflowTask.OverflowTask;
  readonly usage: usageTask.UsageTask;
  readonly orders: autoscalerTask.AutoscalerTask;
  readonly roles: readonly store.LeaseHolder[];
  readonly storeGuard: operationGuard.StoreGuard;
  readonly requestHandler: callerRequestHandler.CallerRequestHandler;
  readonly metrics: metricsModule.Metrics;
  readonly clientGuard: listener.ClientGuard;
  readonly refusals: refusalsModule.RecentRefusals;
  readonly onDrainAsked: () => void;
  readonly agent: ReturnType<typeof utils.createBackendAgent>;
}

/** The components while they are being added. */
type Draft = { -readonly [Name in keyof HostParts]: HostParts[Name] };

/**
 * Builds all components without starting them, except the lease holders, which begin to
 * compete for the control roles.
 *
 * @example
 * const parts = buildParts(settings, { log, onDrainAsked });
 */
export function buildParts(
  settings: settingsModule.Settings,
  options: HostOptions,
): HostParts {
  const draft = buildBase(settings, options) as Draft;
  addDispatch(draft);
  addOverlay(draft);
  addConfig(draft);
  addCapacity(draft);
  addRoles(draft);
  addRequestHandler(draft);
  addGauges(draft);
  return draft;
}

/** Builds the components that refer to no other one. */
function buildBase(
  settings: settingsModule.Settings,
  options: HostOptions,
): Partial<Draft> {
  const clock = utils.SYSTEM_CLOCK;
  const certificates = new certificatesModule.Certificates(settings);
  const metrics = new metricsModule.Metrics();
  return {
    ...options,
    settings,
    clock,
    certificates,
    host: settings.host.name,
    failureDomain: settings.host.failure_domain,
    incarnation: utils.createId().replaceAll(".", ""),
    state: { ready: false, draining: false },
    withdrawn: new Set(),
    store: store.createStoreClient({ url: settings.platform.store_url }),
    fleet: fleet.createFleetClient(settings.platform.fleet_url),
    metrics,
    clientGuard: new listener.ClientGuard({
      clock,
      log: utils.createPartLogger(options.log, "clients"),
      limits: settingsModule.getClientLimits(settings),
      onClosed: (name, reason) => metrics.recordClosedConnection(name, reason),
    }),
    refusals: new refusalsModule.RecentRefusals(),
    agent: utils.createBackendAgent(),
    clients: new peer.PeerClients({
      secret: settingsModule.readSecrets(settings)[0],
      clock,
      getTls: () => certificates.getPeerTls(),
    }),
  };
}

function getLog(draft: Draft, part: string): utils.Logger {
  return utils.createPartLogger(draft.log, part);
}

function addDispatch(draft: Draft): void {
  draft.dispatcher = new core.Dispatcher({
    failureDomain: draft.failureDomain,
    host: draft.host,
    random: utils.createRandom(utils.hashSeed(draft.incarnation)),
  });
  draft.dispatch = new dispatchTask.DispatchTask({
    clock: draft.clock,
    dispatcher: draft.dispatcher,
    // The time of a mark is known to this host's clock only.
    onSuspect: ({ mark: { fingerprint, server } }) =>
      draft.overlay.addMark({
        fingerprint,
        server,
        until: draft.clock.wall() + core.constants.QUARANTINE_MS,
      }),
    onAskCapacity: () => draft.capacity.askLeaderNow(),
    onError: (error) => unexpectedErrors.reportUnexpected(draft, error),
  });
}

function addOverlay(draft: Draft): void {
  const { settings, dispatch } = draft;
  draft.overlay = new peer.Overlay({
    self: {
      name: draft.host,
      address: settingsModule.getAdvertisedAddress(settings),
      // Higher than the incarnation that an earlier run of this host reached.
      incarnation: Math.floor(draft.clock.wall() / 1_000),
      status: "alive",
    },
    failureDomain: draft.failureDomain,
    seeds: settings.peer.seeds.map((seed) => ({
      name: seed.name,
      address: seed.address,
      failureDomain: seed.failure_domain,
    })).filter((seed) => seed.name !== draft.host),
    clients: draft.clients,
    clock: draft.clock,
    random: utils.createRandom(utils.hashSeed(draft.host)),
    log: getLog(draft, "peer"),
    getRevision: () => draft.config.get().revision,
    onNewerRevision: (address) =>
      utils.runDetached(
        () => draft.config.pull(address),
        utils.createErrorLog(draft.log, "config.pull"),
      ),
    onMarks: (marks) => dispatch.send({ kind: "suspected", marks }),
    onMarksExpired: (fingerprints) =>
      dispatch.send({ kind: "cleared", fingerprints }),
    onWithdrawn: (keyIds) =>
      keyIds.forEach((keyId) => {
        draft.withdrawn.add(keyId);
        dispatch.send({ kind: "key_withdrawn", keyId });
      }),
  });
}

function addConfig(draft: Draft): void {
  const { dispatch, overlay } = draft;
  draft.config = new configTask.ConfigTask({
    store: draft.store,
    clients: draft.clients,
    clock: draft.clock,
    log: getLog(draft, "config"),
    isRelay: () => overlay.isRelay(),
    onChange: (configuration, removedKeys) => {
      dispatch.send({ kind: "configured", configuration });
      removedKeys.forEach((keyId) =>
        dispatch.send({ kind: "key_withdrawn", keyId })
      );
      overlay.sendImmediately();
    },
    onConfirmed: (wall) => overlay.confirm(wall),
  });
}

function addCapacity(draft: Draft): void {
  draft.capacity = new capacityTask.CapacityTask({
    ...draft,
    log: getLog(draft, "capacity"),
    getConfiguration: () => draft.config.get(),
  });
  draft.overflow = new overflowTask.OverflowTask({
    ...draft,
    log: getLog(draft, "overflow"),
    address: settingsModule.getAdvertisedAddress(draft.settings),
  });
}

/** Adds the tasks of the control roles and starts their lease holders. */
function addRoles(draft: Draft): void {
  const { settings } = draft;
  const usageHolder = startRole(draft, {
    role: "usage",
    flightMs: usage.MAX_REPORT_DELIVERY_MS,
  });
  const autoscalerHolder = startRole(draft, {
    role: "orders",
    flightMs: fleet.MAX_ORDER_DELIVERY_MS,
  });
  draft.roles = [usageHolder, autoscalerHolder];
  draft.usage = new usageTask.UsageTask({
    ...draft,
    log: getLog(draft, "usage"),
    usage: usage.createUsageClient(settings.platform.usage_url),
    holder: usageHolder,
    source: `${draft.host}/${draft.incarnation}`,
    windowMs: settings.usage.window_seconds * 1_000,
    graceMs: settings.usage.grace_seconds * 1_000,
  });
  draft.orders = new autoscalerTask.AutoscalerTask({
    ...draft,
    log: getLog(draft, "orders"),
    holder: autoscalerHolder,
  });
}

function startRole(
  draft: Draft,
  options: { readonly role: "usage" | "orders"; readonly flightMs: number },
): store.LeaseHolder {
  const { settings, overlay, state } = draft;
  const role = `${options.role}/${draft.failureDomain}`;
  return store.startLeaseHolder({
    store: draft.store,
    clock: draft.clock,
    log: getLog(draft, options.role),
    role,
    host: draft.host,
    incarnation: draft.incarnation,
    terms: {
      ttlMs: settings.control.lease_seconds * 1_000,
      marginMs: constants.LEASE_MARGIN_MS,
    },
    flightMs: options.flightMs,
    isCandidate: () =>
      !state.draining &&
      overlay.members.isRanked(options.role, constants.ROLE_CANDIDATES),
    onChange: (lease) => {
      if (lease.kind === "none") return;
      const address = settingsModule.getAdvertisedAddress(settings);
      overlay.setRole({ role, host: draft.host, address, token: lease.token });
    },
  });
}

function addRequestHandler(draft: Draft): void {
  const { settings, clock, host, incarnation } = draft;
  draft.storeGuard = new operationGuard.StoreGuard({
    claims: store.createClaimKeeper({ store: draft.store, host, clock }),
    log: getLog(draft, "operation"),
  });
  draft.requestHandler = new callerRequestHandler.CallerRequestHandler({
    ...draft,
    log: getLog(draft, "caller"),
    getConfiguration: () => draft.config.get(),
    isWithdrawn: (keyId) => draft.withdrawn.has(keyId),
    isFresh: () =>
      clock.wall() - draft.overlay.getConfirmedAt() <=
        settings.control.offline_seconds * 1_000,
    ticketGuard: new operationGuard.TicketGuard({
      origin: { host, incarnation },
      clients: draft.clients,
      findAddress: (name) => draft.overlay.findAddress(name),
    }),
  });
}

function addGauges(draft: Draft): void {
  draft.metrics.addGauge("banyangrade_revision", {
    help: "Configuration revision in force.",
    read: () => draft.config.get().revision,
  });
  draft.metrics.addGauge("banyangrade_client_connections", {
    help: "Open connections of clients at all ports.",
    read: () => draft.clientGuard.countConnections(),
  });
  draft.metrics.addGauge("banyangrade_client_held_bytes", {
    help:
      "Estimated memory of unanswered requests and of bytes that are not parsed.",
    read: () => draft.clientGuard.getHeldBytes(),
  });
  draft.metrics.addGauge("banyangrade_members", {
    help: "Hosts of the failure domain that take part.",
    read: () => draft.overlay.members.listActive().length,
  });
  draft.metrics.addGauge("banyangrade_peer_calls", {
    help: "Calls to other hosts so far.",
    read: () => draft.clients.countSent(),
  });
}
