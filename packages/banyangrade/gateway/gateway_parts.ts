/**
 * Builds and connects the components of a host that serves requests by the
 * operators' routes. The components refer to each other, so they are added to one
 * object step by step and look each other up when they are called.
 */
import * as core from "@banyangrade/core";
import * as listener from "@banyangrade/listener";
import * as service from "@banyangrade/service";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as dispatchTask from "../dispatch_task.ts";
import * as metricsModule from "../metrics.ts";
import * as unexpectedErrors from "../unexpected_errors.ts";
import * as clusterStateTask from "./cluster_state_task.ts";
import * as hostUpdates from "./host_updates.ts";
import * as hostClocks from "./host_clocks.ts";
import type * as ingressModule from "./ingress.ts";
import type * as platformInterface from "./platform_interface.ts";
import * as hostStatusTask from "./host_status_task.ts";
import type * as relayNetwork from "./relay_network.ts";
import * as relayTask from "./relay_task.ts";
import * as relayedFeed from "./relayed_feed.ts";
import * as controlRolesTask from "./control_roles_task.ts";
import * as savedOrigins from "./saved_origins.ts";
import * as requestExchange from "./request_exchange.ts";
import * as requestHandler from "./request_handler.ts";
import * as serverSignals from "./server_signals.ts";
import * as connectionPools from "./connection_pools.ts";
import * as handoverTask from "./handover_task.ts";
import * as linkTelemetry from "./link_telemetry.ts";
import * as suspectSpreading from "./suspect_spreading.ts";
import * as suspectTelemetry from "./suspect_telemetry.ts";
import * as sharedKnowledge from "./shared_knowledge.ts";
import * as startLog from "./start_log.ts";
import * as startupWaits from "./startup_waits.ts";
import * as streamOriginsTask from "./stream_origins_task.ts";
import * as heldBytes from "./held_bytes.ts";

/** Options of {@link buildGatewayParts}. */
export interface GatewayHostOptions {
  readonly settings: platformInterface.GatewaySettings;
  readonly platform: platformInterface.Platform;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
  /** Identifies this run of the process. @default drawn */
  readonly incarnation?: string;
  /** Network between hosts. @default that of the operating system */
  readonly network?: relayNetwork.RelayNetwork;
}

/** The components of a host, except its network servers. */
export interface GatewayParts extends GatewayHostOptions {
  readonly clocks: hostClocks.HostClocks;
  readonly incarnation: string;
  readonly random: utils.Random;
  /** While draining, the host reports itself not ready; once closed, it refuses new requests. */
  readonly state: { draining: boolean; closed: boolean };
  readonly pools: connectionPools.ConnectionPools;
  readonly metrics: metricsModule.Metrics;
  readonly budget: core.WindowRetryBudget;
  readonly counter: core.WindowCounter;
  readonly dispatch: dispatchTask.DispatchTask;
  /** Recently lost servers, with the requests that they ran. */
  readonly marks: core.MarkSet;
  readonly spreading: suspectSpreading.SuspectSpreading;
  readonly coldStarts: core.ColdStartTracker;
  readonly versions: core.SoftwareVersions;
  readonly streamOrigins: streamOriginsTask.StreamOriginsTask;
  readonly signalLog: serverSignals.SignalLog;
  readonly relay: relayTask.RelayTask;
  readonly feed: relayedFeed.RelayedFeed;
  readonly belief: clusterStateTask.ClusterStateTask;
  readonly presence: hostStatusTask.HostStatusTask;
  readonly roles: controlRolesTask.RolesTask;
  readonly heldBytes: heldBytes.HeldBytes;
  readonly clientGuard: listener.ClientGuard;
  readonly handover: handoverTask.HandoverTask;
  readonly startLog: startLog.StartLog;
  readonly startupWaits: startupWaits.StartupWaits;
  readonly requestHandler: requestHandler.RequestHandler;
  /** Set when the server for callers has started. */
  ingress?: ingressModule.Ingress;
}

/** The components while they are being added. */
type Draft = { -readonly [Name in keyof GatewayParts]: GatewayParts[Name] };

/**
 * A request during which two servers were lost is isolated, and refused after
 * three. The hosts share what they know of lost servers: if each of sixty hosts
 * allowed the request two servers, it would take down all servers.
 */
const SUSPECT_OPTIONS: core.SuspectOptions = {
  isolateAfter: 2,
  poisonLimit: 3,
  // Callers retry after any loss, mostly at another host, so a request is not held
  // for a single loss that another host saw.
  holdsRemote: false,
  sparesAnswered: true,
};
/** Time for which a lost server is reported to the other hosts, in ms; several status reports, so that each host receives it. */
const SUSPECT_TTL_MS = 10_000;
/** Number of hosts assumed to share the retry budget and the connections until it is known. */
const ASSUMED_HOSTS = 8;

/**
 * Builds all components without starting them.
 *
 * @example
 * const parts = buildGatewayParts({ settings, platform, log, clock });
 */
export function buildGatewayParts(options: GatewayHostOptions): GatewayParts {
  const draft: Draft = buildBase(options, (ended) => {
    draft.metrics.recordStoreCall(ended);
    draft.relay.recordStoreCall(ended);
    recordFailedCall(draft, ended);
  }) as Draft;
  addDispatch(draft);
  addHandover(draft);
  addRelay(draft);
  addClusterState(draft);
  addHostStatus(draft);
  addStreamOrigins(draft);
  addRoles(draft);
  addRequestHandler(draft);
  return draft;
}

/**
 * Whether the load balancer should send new connections to this host.
 *
 * @example
 * const status = isReady(parts) ? 200 : 503;
 */
export function isReady(
  { state, belief }: Pick<GatewayParts, "state" | "belief">,
): boolean {
  return !state.draining && belief.isReady();
}

/** Logs a call that the store did not process, and whether this process was late itself. */
function recordFailedCall(
  { log, dispatch }: Draft,
  { call, ms, error }: store.EndedStoreCall,
): void {
  if (error === undefined) return;
  utils.createPartLogger(log, "store").info({
    call,
    error,
    ms: Math.round(ms),
    loopDelayMs: Math.round(dispatch.getLoopDelay()),
  }, "Call failed.");
}

/** Builds the components that refer to no other one. */
function buildBase(
  options: GatewayHostOptions,
  onStoreCall: (ended: store.EndedStoreCall) => void,
): Partial<Draft> {
  const { settings, clock } = options;
  const incarnation = options.incarnation ?? utils.createId();
  const metrics = new metricsModule.Metrics();
  return {
    ...options,
    platform: {
      ...options.platform,
      store: store.countCalls(options.platform.store, {
        clock,
        onCall: onStoreCall,
      }),
    },
    incarnation,
    clocks: hostClocks.createHostClocks(clock),
    random: utils.createRandom(utils.hashSeed(incarnation)),
    state: { draining: false, closed: false },
    metrics,
    counter: new core.WindowCounter(),
    budget: new core.WindowRetryBudget(settings.retries, {
      hosts: ASSUMED_HOSTS,
    }),
    marks: new core.MarkSet(),
    heldBytes: new heldBytes.HeldBytes({
      clock,
      log: utils.createPartLogger(options.log, "held"),
      limitBytes: settings.heldBytesLimit,
    }),
    clientGuard: new listener.ClientGuard({
      clock,
      log: utils.createPartLogger(options.log, "clients"),
      limits: settings.clients,
      onClosed: (name, reason) => metrics.recordClosedConnection(name, reason),
      onAccepted: (name) => metrics.recordAcceptedConnection(name),
      onUnread: (name) => metrics.recordUnreadConnection(name),
    }),
    startLog: new startLog.StartLog({
      clock,
      log: utils.createPartLogger(options.log, "start"),
    }),
    startupWaits: new startupWaits.StartupWaits({
      clock,
      metrics,
      admission: new core.StartupAdmission({ startedAt: clock.now() }),
    }),
    coldStarts: new core.ColdStartTracker(),
    versions: new core.SoftwareVersions(),
    signalLog: new serverSignals.SignalLog({
      log: utils.createPartLogger(options.log, "server"),
      metrics,
    }),
  };
}

/** Adds the dispatcher and the connections that it fills. */
function addDispatch(draft: Draft): void {
  const { settings, clock, random, budget } = draft;
  const serverLog = utils.createPartLogger(draft.log, "server");
  draft.dispatch = new dispatchTask.DispatchTask({
    clock,
    dispatcher: new core.Dispatcher({
      failureDomain: settings.failureDomain,
      host: settings.host,
      random,
      budget,
      preempts: false,
      minRetryAfterMs: requestExchange.MIN_RETRY_MS,
      suspects: SUSPECT_OPTIONS,
      comparesPrompts: true,
      isConnected: (server) => draft.pools.hasIdleConnection(server),
      tracksLinks: true,
      // One host at a time, so that all hosts together try a part no more often.
      mayTryParts: () => draft.roles.hasRole(),
      isListCurrent: () => draft.belief.isListCurrent(),
    }),
    onSuspect: ({ mark }) => {
      draft.marks.add({ ...mark, until: clock.now() + SUSPECT_TTL_MS });
      draft.spreading.add([mark]);
    },
    onSuspectsChanged: (changed) => {
      suspectTelemetry.recordSuspectsChanged(draft, changed);
      if (changed.change === "doubted") draft.spreading.add(changed.marks);
    },
    onPartsBlamed: ({ blamed }) =>
      suspectTelemetry.recordPartsBlamed(draft, blamed),
    onSuspectAnswered: ({ fingerprint, at }) =>
      draft.spreading.addAnswered({ fingerprint, at }),
    onPartAnswered: (answer) => draft.spreading.addAnsweredPart(answer),
    onLossesWithdrawn: ({ loss }) => {
      draft.marks.withdraw(loss);
      draft.spreading.addWrongLoss(loss);
    },
    onAskCapacity: () => undefined,
    onOverdueChanged: ({ server, overdue }) =>
      serverLog.info(
        { server },
        overdue ? "Response overdue." : "Responding again.",
      ),
    onTryLinks: ({ servers }) =>
      servers.forEach((server) =>
        unexpectedErrors.runReported(draft, {
          step: "links.try",
          work: () => tryLink(draft, server),
        })
      ),
    onError: (error) => unexpectedErrors.reportUnexpected(draft, error),
    onLinksChanged: ({ pool, change }) => {
      linkTelemetry.recordLinksChanged(draft, { service: pool, change });
      draft.handover.start();
    },
    onPanicChanged: ({ target, active }) =>
      utils.createPartLogger(draft.log, "server").warn(
        { service: target },
        active
          ? "No server of the service is in use; ejected servers are tried."
          : "A server of the service is in use again.",
      ),
  });
  draft.pools = new connectionPools.ConnectionPools({
    clock,
    maySendTo: (server) => draft.dispatch.maySendTo(server),
    onConnected: (server) =>
      draft.dispatch.send({
        kind: "connection_tried",
        server,
        reachable: true,
      }),
    onError: (thrown) =>
      unexpectedErrors.reportUnexpected(draft, {
        step: "connections.close",
        thrown,
      }),
  });
  draft.pools.setHosts(ASSUMED_HOSTS);
}

/** Tries to open a connection to a server and reports the outcome to the dispatcher. */
async function tryLink(
  { dispatch }: Pick<Draft, "dispatch">,
  { name, url }: core.ServerInfo,
): Promise<void> {
  const trial = await service.tryConnection(url);
  dispatch.send({
    kind: "connection_tried",
    server: name,
    reachable: trial === "opened",
    refused: trial === "refused",
  });
}

function addHandover(draft: Draft): void {
  const { settings, clock, random, log, dispatch, heldBytes } = draft;
  draft.handover = new handoverTask.HandoverTask({
    clock,
    random,
    log: utils.createPartLogger(log, "handover"),
    host: settings.host,
    failureDomain: settings.failureDomain,
    address: settings.peerAddress,
    dispatch,
    heldBytes,
    takesRequests: () =>
      !draft.state.draining && !draft.state.closed &&
      draft.belief.hasHadState(),
    onRequest: (incoming) => draft.requestHandler.handle(incoming),
    onSuspects: (text) => {
      draft.metrics.recordSuspectMessage("taken");
      draft.spreading.accept(text);
    },
  });
  draft.spreading = new suspectSpreading.SuspectSpreading({
    log: utils.createPartLogger(log, "server"),
    clock,
    clocks: draft.clocks,
    isDoubted: (server) => dispatch.isDoubted(server),
    getContact: () => draft.handover.getContact(),
    onContact: (contact) => draft.handover.recordContacts([contact]),
    onSend: (text, hosts) => {
      draft.metrics.recordSuspectMessage("sent");
      draft.handover.sendSuspects(text, hosts);
    },
    onNews: ({ contact: _contact, ...evidence }) =>
      dispatch.send({ kind: "suspected", ...evidence }),
  });
}

function addRelay(draft: Draft): void {
  const { settings, platform, clocks, log, random, incarnation, state } = draft;
  draft.relay = new relayTask.RelayTask({
    store: platform.store,
    clock: clocks.lease,
    log: utils.createPartLogger(log, "relay"),
    random,
    host: settings.host,
    incarnation,
    failureDomain: settings.failureDomain,
    address: settings.peerAddress,
    linkMbps: settings.linkMbps,
    guard: draft.clientGuard,
    maxConnections: settings.clients.maxPeerConnections,
    network: draft.network,
    countDomainHosts: () => draft.presence.countDomainHosts(),
    onRequest: (request, response) => {
      try {
        draft.handover.handle(request, response);
      } catch (thrown) {
        const step = "handover.handle";
        unexpectedErrors.reportUnexpected(draft, { step, thrown });
        response.destroy();
      }
    },
    getHandlers: () => ({
      readAll: (prefix) => draft.feed.answerReadAll(prefix),
      pollChanges: (message) => {
        // The error makes followers look for another relay or the store at once.
        if (state.draining) throw new Error("This relay is draining.");
        return draft.feed.answerPoll(message);
      },
      report: (statuses) => {
        const followed = draft.relay.getFollowed();
        return {
          ...draft.presence.acceptStatuses(statuses),
          ...(followed && { relay: followed }),
        };
      },
      acceptRelay: (relay) => draft.relay.acceptRelay(relay),
      shareOrigins: (share) => draft.streamOrigins.acceptShare(share),
      findOrigin: (question) => draft.streamOrigins.answer(question),
      getSummary: () => draft.presence.getSummary(),
    }),
  });
  draft.feed = new relayedFeed.RelayedFeed({
    feed: platform.store,
    relay: draft.relay,
    clock: clocks.lease,
    onReadAll: ({ prefix, source }) => {
      const step = prefix === platform.serversPrefix
        ? "servers"
        : "configuration";
      draft.startLog.record(step, { source });
    },
  });
}

function addClusterState(draft: Draft): void {
  const { settings, platform, clocks, log, random } = draft;
  draft.belief = new clusterStateTask.ClusterStateTask({
    platform,
    clock: clocks.lease,
    random,
    log: utils.createPartLogger(log, "belief"),
    withdrawMs: settings.withdrawMs,
    leaveMs: settings.leaveMs,
    feed: draft.feed,
    countStoreReaders: () => draft.presence.countRelays(),
    // The host may have been cut off, and has not heard what others learned meanwhile.
    onReachable: () =>
      unexpectedErrors.runReported(draft, {
        step: "presence.update",
        work: () => sharedKnowledge.updateShared(draft),
      }),
    onFirstState: () => {
      draft.startLog.finish();
      draft.startupWaits.release();
    },
    onConfiguration: ({ configuration }) => {
      draft.ingress?.setLimits(configuration.limits);
      draft.dispatch.send({
        kind: "configured",
        configuration: core.toDispatchConfiguration(
          configuration,
          settings,
        ),
      });
      hostUpdates.applyServers(draft, draft.belief.listServers());
    },
    onServers: (listed) => hostUpdates.applyServers(draft, listed),
    onEvacuations: (changed) => hostUpdates.applyEvacuations(draft, changed),
    onInvalidEntry: (kind) => draft.metrics.recordInvalidEntry(kind),
  });
}

function addHostStatus(draft: Draft): void {
  const { settings, platform, clocks, log, random, incarnation } = draft;
  draft.presence = new hostStatusTask.HostStatusTask({
    store: platform.store,
    clock: clocks.lease,
    log: utils.createPartLogger(log, "presence"),
    random,
    failureDomains: settings.failureDomains.length,
    host: settings.host,
    incarnation,
    relay: draft.relay,
    describe: () => hostUpdates.describeHost(draft),
    listKnown: () => hostUpdates.listKnownSuspects(draft),
    onEvidence: (evidence) => hostUpdates.applyEvidence(draft, evidence),
    failureDomain: settings.failureDomain,
    listBrittle: () => draft.dispatch.listBrittle(),
    hasRole: () => draft.roles.hasRole(),
    getDivisions: () => draft.roles.getDivisions(),
    describeVersions: () => draft.streamOrigins.describeVersions(),
    onVersions: (published) => draft.streamOrigins.acceptPublished(published),
    onInvalidEntry: (kind) => draft.metrics.recordInvalidEntry(kind),
    onSummary: (summary) => hostUpdates.applyHostsSummary(draft, summary),
  });
}

function addStreamOrigins(draft: Draft): void {
  const { clocks, metrics, versions, relay, belief, presence } = draft;
  const log = utils.createPartLogger(draft.log, "origins");
  const saved = new savedOrigins.SavedOrigins({
    store: draft.platform.store,
    clock: clocks.lease,
    log,
    incarnation: draft.incarnation,
    isRelay: () => relay.getContact() !== undefined,
    countRelays: () => presence.countRelays(),
    onRead: (origins) => draft.streamOrigins.acceptSaved(origins),
    onInvalidEntry: (kind) => metrics.recordInvalidEntry(kind),
  });
  draft.streamOrigins = new streamOriginsTask.StreamOriginsTask({
    clock: clocks.lease,
    metrics,
    versions,
    log,
    isFresh: () => belief.isFresh(),
    relay,
    listRelays: () => presence.listRelays(),
    saved,
  });
}

function addRoles(draft: Draft): void {
  const { settings, platform, clocks, log, incarnation } = draft;
  draft.roles = new controlRolesTask.RolesTask({
    settings,
    platform,
    clock: clocks.lease,
    log: utils.createPartLogger(log, "roles"),
    incarnation,
    isCandidate: () =>
      isReady(draft) &&
      (settings.peerAddress === undefined || draft.relay.isRelay()),
    countCandidates: () => draft.presence.countRelays(),
    getTrueTime: clocks.getTrueTime,
    getConfiguration: () => draft.belief.getTable()?.configuration,
    listServers: () => draft.belief.listServers(),
    isEvacuated: (failureDomain) => draft.belief.isEvacuated(failureDomain),
    listStatuses: () => draft.presence.listPublished(),
    getStatusesAt: () => draft.presence.getReadAt(),
  });
}

function addRequestHandler(draft: Draft): void {
  draft.requestHandler = new requestHandler.RequestHandler({
    ...draft,
    log: utils.createPartLogger(draft.log, "request"),
    wire: draft.platform.wire,
    slowReaders: draft.settings.slowReaders,
    regions: draft.settings.regions,
    isClosed: () => draft.state.closed,
    isDraining: () => draft.state.draining,
    takesHandovers: () => draft.handover.mayTakeRequests(),
    applySignals: (server, response) =>
      serverSignals.applySignals(draft, { ...response, server }),
    checkKey: (key, customer) => checkKey(draft, { key, customer }),
    countUsage: (customer, at) => countUsage(draft, { customer, at }),
  });
}

function checkKey(
  { belief }: Draft,
  { key, customer }: { readonly key: string; readonly customer: string },
): requestExchange.KeyCheck {
  if (!belief.isFresh()) return "unverified";
  const grant = belief.getTable()?.byKey.get(key);
  return grant?.customer === customer ? "valid" : "withdrawn";
}

/** Counts a request that began at the monotonic time `at`, in ms, in its usage window. */
function countUsage(
  { clock, clocks, counter, settings }: Draft,
  { customer, at }: { readonly customer: string; readonly at: number },
): void {
  const trueAt = clocks.getTrueTime() - (clock.now() - at);
  counter.record(Math.floor(trueAt / settings.usageWindowMs), customer);
}
