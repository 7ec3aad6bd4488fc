/**
 * The parts of a host that serves by routes, and how they are connected. They
 * refer to each other, so they are added to one draft, step by step, and look
 * each other up when they are called.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as dispatchTask from "../dispatch_task.ts";
import * as metricsModule from "../metrics.ts";
import * as beliefTask from "./belief_task.ts";
import * as hostUpdates from "./host_updates.ts";
import * as hostClocks from "./host_clocks.ts";
import type * as ingressModule from "./ingress.ts";
import type * as ports from "./ports.ts";
import * as presenceTask from "./presence_task.ts";
import * as relayTask from "./relay_task.ts";
import * as relayedFeed from "./relayed_feed.ts";
import * as rolesTask from "./roles_task.ts";
import * as routedExchange from "./routed_exchange.ts";
import * as routedFront from "./routed_front.ts";
import * as serverPools from "./server_pools.ts";

/** Options of {@link buildRoutedParts}. */
export interface RoutedHostOptions {
  readonly settings: ports.RoutedSettings;
  readonly platform: ports.Platform;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
}

/** Everything a host is made of but its servers. */
export interface RoutedParts extends RoutedHostOptions {
  readonly clocks: hostClocks.HostClocks;
  readonly incarnation: string;
  readonly random: utils.Random;
  /** Draining: not ready any more. Closed: nothing more is taken. */
  readonly state: { draining: boolean; closed: boolean };
  readonly pools: serverPools.ServerPools;
  readonly metrics: metricsModule.Metrics;
  readonly budget: core.WindowRetryBudget;
  readonly counter: core.WindowCounter;
  readonly dispatch: dispatchTask.DispatchTask;
  /** Servers lost of late, and the requests that they ran. */
  readonly marks: core.MarkSet;
  readonly coldStarts: core.ColdStarts;
  readonly relay: relayTask.RelayTask;
  readonly feed: relayedFeed.RelayedFeed;
  readonly belief: beliefTask.BeliefTask;
  readonly presence: presenceTask.PresenceTask;
  readonly roles: rolesTask.RolesTask;
  readonly front: routedFront.RoutedFront;
  /** Set when the server for callers has started. */
  ingress?: ingressModule.Ingress;
}

/** Parts while they are being added. */
type Draft = { -readonly [Name in keyof RoutedParts]: RoutedParts[Name] };

/**
 * A request is run apart once it has taken two servers, and refused after
 * three. Every host knows of all of them: sixty hosts that each let it take two
 * would lose every server to it.
 */
const SUSPECTS: core.SuspectOptions = {
  isolateAfter: 2,
  poisonLimit: 3,
  // Callers send again after any loss, mostly to another host; only what has
  // taken several servers waits.
  holdsForeign: false,
};
/** Time for which the other hosts are told of a lost server, in ms: some words, so that each hears of it. */
const MARK_MS = 10_000;
/** Hosts that are taken to share budgets and connections before their number is known. */
const HOSTS_AT_FIRST = 8;

/**
 * Builds all parts; nothing is started.
 *
 * @example
 * const parts = buildRoutedParts({ settings, platform, log, clock });
 */
export function buildRoutedParts(options: RoutedHostOptions): RoutedParts {
  const draft = buildBase(options) as Draft;
  addDispatch(draft);
  addRelay(draft);
  addBelief(draft);
  addPresence(draft);
  addRoles(draft);
  addFront(draft);
  return draft;
}

/**
 * Whether new connections do well to come to this host.
 *
 * @example
 * const status = isReady(parts) ? 200 : 503;
 */
export function isReady(
  { state, belief }: Pick<RoutedParts, "state" | "belief">,
): boolean {
  return !state.draining && belief.isReady();
}

/** What refers to no other part. */
function buildBase(options: RoutedHostOptions): Partial<Draft> {
  const { settings, clock } = options;
  const pools = new serverPools.ServerPools({ clock });
  pools.setHosts(HOSTS_AT_FIRST);
  const incarnation = utils.createId();
  return {
    ...options,
    incarnation,
    pools,
    clocks: hostClocks.createHostClocks(clock),
    random: utils.createRandom(utils.hashSeed(incarnation)),
    state: { draining: false, closed: false },
    metrics: new metricsModule.Metrics(),
    counter: new core.WindowCounter(),
    budget: new core.WindowRetryBudget(settings.retries, {
      hosts: HOSTS_AT_FIRST,
    }),
    marks: new core.MarkSet(),
    coldStarts: new core.ColdStarts(),
  };
}

function addDispatch(draft: Draft): void {
  const { settings, clock, random, budget } = draft;
  draft.dispatch = new dispatchTask.DispatchTask({
    clock,
    dispatcher: new core.Dispatcher({
      failureDomain: settings.failureDomain,
      host: settings.host,
      random,
      budget,
      preempts: false,
      leastRetryMs: routedExchange.LEAST_RETRY_MS,
      suspects: SUSPECTS,
      comparesPrompts: true,
      isConnected: (server) => draft.pools.hasFree(server),
    }),
    onSuspect: ({ mark }) =>
      void draft.marks.add({ ...mark, until: clock.now() + MARK_MS }),
    onAskCapacity: () => undefined,
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
    getHandlers: () => ({
      readAll: (prefix) => draft.feed.answerReadAll(prefix),
      pollChanges: (message) => {
        // Its followers look for another relay while this one still answers.
        if (state.draining) throw new Error("This host is stopping.");
        return draft.feed.answerPoll(message);
      },
      report: (words) => draft.presence.takeStatuses(words),
      getSummary: () => draft.presence.getSummary(),
    }),
  });
  draft.feed = new relayedFeed.RelayedFeed({
    feed: platform.store,
    relay: draft.relay,
    clock: clocks.lease,
  });
}

function addBelief(draft: Draft): void {
  const { settings, platform, clocks, log } = draft;
  draft.belief = new beliefTask.BeliefTask({
    platform,
    clock: clocks.lease,
    log: utils.createPartLogger(log, "belief"),
    withdrawMs: settings.withdrawMs,
    leaveMs: settings.leaveMs,
    feed: draft.feed,
    countHosts: () => draft.presence.countRelays(),
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
  });
}

function addPresence(draft: Draft): void {
  const { settings, platform, clocks, log, incarnation } = draft;
  draft.presence = new presenceTask.PresenceTask({
    store: platform.store,
    clock: clocks.lease,
    log: utils.createPartLogger(log, "presence"),
    host: settings.host,
    incarnation,
    relay: draft.relay,
    describe: () => hostUpdates.describeHost(draft),
    hasRole: () => draft.roles.hasRole(),
    getDivisions: () => draft.roles.getDivisions(),
    onOthers: (digest) => hostUpdates.applyOthers(draft, digest),
  });
}

function addRoles(draft: Draft): void {
  const { settings, platform, clocks, log, incarnation } = draft;
  draft.roles = new rolesTask.RolesTask({
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

function addFront(draft: Draft): void {
  draft.front = new routedFront.RoutedFront({
    ...draft,
    log: utils.createPartLogger(draft.log, "request"),
    wire: draft.platform.wire,
    regions: draft.settings.regions,
    isClosed: () => draft.state.closed,
    checkKey: (key, customer) => checkKey(draft, { key, customer }),
    countUsage: (customer, at) => countUsage(draft, { customer, at }),
  });
}

function checkKey(
  { belief }: Draft,
  { key, customer }: { readonly key: string; readonly customer: string },
): routedExchange.KeyCheck {
  if (!belief.isProved()) return "unproved";
  const grant = belief.getTable()?.byKey.get(key);
  return grant?.customer === customer ? "valid" : "withdrawn";
}

/** Counts a request that began at `at`, monotonic ms, in its usage window. */
function countUsage(
  { clock, clocks, counter, settings }: Draft,
  { customer, at }: { readonly customer: string; readonly at: number },
): void {
  const trueAt = clocks.getTrueTime() - (clock.now() - at);
  counter.record(Math.floor(trueAt / settings.usageWindowMs), customer);
}
