/** The dispatcher's state at one host, and queries on it. */
import type * as utils from "@banyangrade/utils";
import type * as admissionEstimates from "./admission_estimates.ts";
import * as attempts from "./attempts.ts";
import * as brittleServers from "./brittle_servers.ts";
import * as coldPermits from "./cold_permits.ts";
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import * as domainFailureDetector from "./domain_failure_detector.ts";
import * as engineChoice from "./engine_choice.ts";
import * as enginePaces from "./engine_paces.ts";
import type * as events from "./events.ts";
import * as failureShares from "./failure_shares.ts";
import * as fairness from "./fairness.ts";
import type * as handover from "./handover.ts";
import * as hostCount from "./host_count.ts";
import * as lengths from "./length_estimates.ts";
import * as partBlames from "./part_blames.ts";
import * as pauses from "./pauses.ts";
import * as preemption from "./preemption.ts";
import * as quarantine from "./quarantine.ts";
import * as queue from "./queue.ts";
import * as prefillAverages from "./prefill_averages.ts";
import * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as retry from "./retry.ts";
import * as router from "./router.ts";
import * as serverAvailability from "./server_availability.ts";
import * as serverLimits from "./server_limits.ts";
import * as serverDoubts from "./server_doubts.ts";
import type * as serverLinks from "./server_links.ts";
import type * as serverState from "./server_state.ts";
import * as servers from "./servers.ts";
import * as stoppedAttempts from "./stopped_attempts.ts";

/** Options of {@link createHostState}. */
export interface HostStateOptions {
  readonly failureDomain: string;
  /** Name of this host. */
  readonly host: string;
  readonly random: utils.Random;
  /** @default a token bucket of this host alone */
  readonly budget?: retry.RetryBudget;
  /** Whether this host preempts running work; false where the engines do it themselves. @default true */
  readonly preempts?: boolean;
  /** Shortest Retry-After time of a refusal, in ms. @default constants.RETRY_AFTER_MIN_MS */
  readonly minRetryAfterMs?: number;
  /** Whether engines are chosen by their pending prefill tokens, for hosts without grants. @default false */
  readonly comparesPrompts?: boolean;
  readonly suspects?: quarantine.SuspectOptions;
  /** Whether this host has an idle connection to a server. @default none */
  readonly isConnected?: (server: string) => boolean;
  /** Whether this host may let a request try a part of prompts that is blamed. @default never */
  readonly mayTryParts?: () => boolean;
  /** Whether the list of servers is as in the store. @default always */
  readonly isListCurrent?: () => boolean;
  /** Whether this host finds out if it has lost its links to the servers. @default false */
  readonly tracksLinks?: boolean;
}

/** The dispatcher's state at one host. */
export interface HostState {
  /** Time of the event being handled, monotonic ms. */
  now: number;
  /** Time of the first event, monotonic ms. */
  startedAt: number;
  /** Effects of the event being handled, in order. */
  effects: events.DispatchEffect[];
  classes: ReadonlyMap<string, config.ClassPart>;
  /** When this host sent the demand on which its grants are based, monotonic ms. */
  grantDemandAt: number;
  draining: boolean;
  /** Time of the last check for overdue servers, monotonic ms. */
  serversCheckedAt: number;
  readonly preempts: boolean;
  readonly minRetryAfterMs: number;
  readonly failureDomain: string;
  readonly table: servers.ServerTable;
  readonly queue: queue.RequestQueue;
  readonly running: attempts.AttemptTable;
  /** Attempts that were stopped lately, under which a server may still end. */
  readonly stopped: stoppedAttempts.StoppedAttempts;
  readonly budget: retry.RetryBudget;
  readonly lengths: lengths.LengthEstimator;
  readonly credits: fairness.ShareCredits;
  readonly suspects: quarantine.SuspectTable;
  /** Parts of prompts that may crash servers. */
  readonly parts: partBlames.PartBlames;
  readonly mayTryParts: () => boolean;
  readonly isListCurrent: () => boolean;
  readonly prompts: engineChoice.PromptLengths;
  /** Times between the events of streams, by engine process. */
  readonly paces: enginePaces.EnginePaces;
  /** Average number of requests whose prompt is not prefilled yet, by target. */
  readonly reading: prefillAverages.PrefillAverages;
  /** Pauses of streams whose engine prefills long prompts. */
  readonly pauses: pauses.TokenPauseCounter;
  /** Unresponsive servers of other failure domains. */
  readonly domainFailures: domainFailureDetector.DomainFailureDetector;
  /** Number of hosts that share the rates of servers. */
  readonly hostCount: hostCount.HostCount;
  /** Permits of this host to send requests to cold servers. */
  readonly coldPermits: coldPermits.ColdServerPermits;
  /** Limits that servers name, and permits of this host for them. */
  readonly limits: serverLimits.ServerLimits;
  /** Servers that crash if they must refuse too many requests. */
  readonly brittle: brittleServers.BrittleServers;
  /** Targets of which requests are sent to ejected servers. */
  readonly panics: serverAvailability.PanicTargets;
  /** Whether calls may wait at servers whose slots are in use; false on hosts with slot grants. */
  readonly mayExceedSlots: boolean;
  /** Servers that fail a part of their requests. */
  readonly failureShares: failureShares.FailureShares;
  /** Other hosts with working links; known only while this host's own ones are lost or have just been restored. */
  peers: readonly handover.PeerHost[];
  /** Lost servers that may only be out of reach. */
  readonly doubts: serverDoubts.ServerDoubts;
  /** Links of this host to the servers of each pool; undefined if it does not track them. */
  readonly links: Map<string, serverLinks.ServerLinks> | undefined;
  readonly random: utils.Random;
  readonly router: router.Router;
}

/**
 * Creates the initial state of a host, without configuration, servers or requests.
 *
 * @example
 * const state = createHostState({ failureDomain: "rosenheim", random });
 */
export function createHostState(options: HostStateOptions): HostState {
  const table = new servers.ServerTable(options);
  const prompts = new engineChoice.PromptLengths();
  const paces = new enginePaces.EnginePaces();
  const permits = new coldPermits.ColdServerPermits(options);
  const limits = new serverLimits.ServerLimits(options);
  const brittle = new brittleServers.BrittleServers(options);
  const shares = new failureShares.FailureShares();
  return {
    now: 0,
    startedAt: Number.POSITIVE_INFINITY,
    effects: [],
    classes: new Map(),
    grantDemandAt: Number.NEGATIVE_INFINITY,
    draining: false,
    serversCheckedAt: Number.NEGATIVE_INFINITY,
    preempts: options.preempts ?? true,
    minRetryAfterMs: options.minRetryAfterMs ?? constants.RETRY_AFTER_MIN_MS,
    failureDomain: options.failureDomain,
    table,
    queue: new queue.RequestQueue(),
    running: new attempts.AttemptTable(),
    stopped: new stoppedAttempts.StoppedAttempts(),
    budget: options.budget ?? new retry.TokenRetryBudget(),
    lengths: new lengths.LengthEstimator(),
    credits: new fairness.ShareCredits(),
    suspects: new quarantine.SuspectTable(options.suspects),
    parts: new partBlames.PartBlames(),
    mayTryParts: options.mayTryParts ?? (() => false),
    isListCurrent: options.isListCurrent ?? (() => true),
    prompts,
    paces,
    reading: new prefillAverages.PrefillAverages(),
    pauses: new pauses.TokenPauseCounter(),
    domainFailures: new domainFailureDetector.DomainFailureDetector(),
    hostCount: new hostCount.HostCount(),
    coldPermits: permits,
    limits,
    brittle,
    panics: new serverAvailability.PanicTargets(),
    mayExceedSlots: options.comparesPrompts ?? false,
    failureShares: shares,
    peers: [],
    doubts: new serverDoubts.ServerDoubts(),
    links: options.tracksLinks ? new Map() : undefined,
    random: options.random,
    router: new router.Router({
      table,
      failureShares: shares,
      prompts,
      paces,
      coldPermits: permits,
      limits,
      brittle,
      ...options,
    }),
  };
}

/**
 * Refuses a request: adds the effect that answers its caller.
 *
 * @example
 * refuse(state, { refused: request, code: "draining", ran: "no" });
 */
export function refuse(
  state: HostState,
  { refused, ...reason }: refusals.RefusalReason & {
    readonly refused: request.Request;
  },
): void {
  state.effects.push({
    kind: "refuse",
    requestId: refused.id,
    refusal: refusals.buildRefusal({
      minRetryAfterMs: state.minRetryAfterMs,
      ...reason,
    }),
  });
}

/**
 * Returns the key under which the length and service time of requests like this one
 * are estimated.
 *
 * @example
 * state.lengths.get(getEstimateKey(request)).tokens;
 */
export function getEstimateKey(request: request.Request): string {
  return `${request.className}|${request.target}`;
}

/**
 * Whether a request has waited so long that work of lower tiers is preempted for it.
 *
 * @example
 * isPreemptionDue(state, request);
 */
export function isPreemptionDue(
  state: HostState,
  request: request.Request,
): boolean {
  const maxDelayMs = Math.min(
    constants.PREEMPT_AT_QUEUE_TIME_SHARE *
      (request.startBy - request.arrivedAt),
    constants.PREEMPT_AT_TARGET_SHARE * request.targetMs,
  );
  return state.now - request.arrivedAt >= maxDelayMs;
}

/**
 * Lists the pools of this host's failure domain.
 *
 * @example
 * listOwnPools(state);
 */
export function listOwnPools(state: HostState): serverState.PoolState[] {
  return state.table.listPools().filter((pool) =>
    pool.part.failureDomain === state.failureDomain
  );
}

/**
 * Lists the pools of this host's failure domain that may serve a request.
 *
 * @example
 * listPoolsFor(state, request);
 */
export function listPoolsFor(
  state: HostState,
  selector: admissionEstimates.PoolSelector,
): serverState.PoolState[] {
  return listOwnPools(state).filter((pool) => isServedBy(selector, pool));
}

/**
 * Finds the attempt at this host to preempt for a request; undefined if there is
 * none.
 *
 * @example
 * const victim = findVictim(state, request);
 */
export function findVictim(
  state: HostState,
  request: request.Request,
): attempts.Attempt | undefined {
  if (!state.preempts) return undefined;
  return preemption.findVictim(state.running.list(), {
    tier: request.tier,
    pools: listPoolsFor(state, request),
    classes: state.classes,
  });
}

/**
 * Counts the slots of this host's failure domain that may serve a request.
 *
 * @example
 * countOwnSlots(state, request);
 */
export function countOwnSlots(
  state: HostState,
  selector: admissionEstimates.PoolSelector,
): number {
  return listPoolsFor(state, selector)
    .reduce((sum, pool) => sum + pool.totalSlots, 0);
}

/**
 * Whether a pool may serve a request or a lane.
 *
 * @example
 * isServedBy(lane, pool);
 */
export function isServedBy(
  selector: admissionEstimates.PoolSelector,
  pool: serverState.PoolState,
): boolean {
  return pool.part.targets.includes(selector.target) &&
    (selector.pools.length === 0 || selector.pools.includes(pool.part.name));
}
