/** What the decisions of one host work on. */
import type * as utils from "@banyangrade/utils";
import type * as admission from "./admission.ts";
import * as attempts from "./attempts.ts";
import * as coldTurns from "./cold_turns.ts";
import type * as config from "./config.ts";
import * as constants from "./constants.ts";
import * as domainSilence from "./domain_silence.ts";
import * as engineChoice from "./engine_choice.ts";
import type * as events from "./events.ts";
import * as fairness from "./fairness.ts";
import * as lengths from "./lengths.ts";
import * as pauses from "./pauses.ts";
import * as preemption from "./preemption.ts";
import * as quarantine from "./quarantine.ts";
import * as queue from "./queue.ts";
import * as reading from "./reading.ts";
import * as refusals from "./refusals.ts";
import type * as request from "./request.ts";
import * as retry from "./retry.ts";
import * as router from "./router.ts";
import type * as serverState from "./server_state.ts";
import * as servers from "./servers.ts";

/** Options of {@link createHostState}. */
export interface HostStateOptions {
  readonly failureDomain: string;
  /** Name of this host. */
  readonly host: string;
  readonly random: utils.Random;
  /** @default a token bucket of this host alone */
  readonly budget?: retry.RetryBudget;
  /** Whether running work gives way here; engines may do that themselves. @default true */
  readonly preempts?: boolean;
  /** Shortest time to come back that a refusal gives, in ms. @default constants.RETRY_AFTER_MIN_MS */
  readonly leastRetryMs?: number;
  /** Whether engines are chosen by their unread prompts, for hosts without grants. @default false */
  readonly comparesPrompts?: boolean;
  readonly suspects?: quarantine.SuspectOptions;
  /** Whether this host has a connection to a server that nothing uses. @default none */
  readonly isConnected?: (server: string) => boolean;
}

/** The state of one host's decisions. */
export interface HostState {
  /** Time of the event that is handled, monotonic ms. */
  now: number;
  /** What is to be done, in order. */
  effects: events.DispatchEffect[];
  classes: ReadonlyMap<string, config.ClassPart>;
  /** When the demand was sent that the grants answer. */
  grantAsOf: number;
  draining: boolean;
  readonly preempts: boolean;
  readonly leastRetryMs: number;
  readonly failureDomain: string;
  readonly table: servers.ServerTable;
  readonly queue: queue.RequestQueue;
  readonly running: attempts.AttemptTable;
  readonly budget: retry.RetryBudget;
  readonly lengths: lengths.LengthEstimator;
  readonly credits: fairness.ShareCredits;
  readonly suspects: quarantine.SuspectTable;
  readonly prompts: engineChoice.PromptLengths;
  /** Requests whose prompts are not read yet. */
  readonly reading: reading.ReadingAverages;
  /** Pauses of streams beside long prompts. */
  readonly pauses: pauses.PauseCounter;
  /** Servers of other failure domains that give no sign of life. */
  readonly silences: domainSilence.DomainSilences;
  /** When this host may give cold servers a request. */
  readonly coldTurns: coldTurns.ColdTurns;
  readonly router: router.Router;
}

/**
 * Makes the state of a host that knows nothing yet.
 *
 * @example
 * const state = createHostState({ failureDomain: "rosenheim", random });
 */
export function createHostState(options: HostStateOptions): HostState {
  const table = new servers.ServerTable(options);
  const prompts = new engineChoice.PromptLengths();
  const turns = new coldTurns.ColdTurns(options);
  return {
    now: 0,
    effects: [],
    classes: new Map(),
    grantAsOf: Number.NEGATIVE_INFINITY,
    draining: false,
    preempts: options.preempts ?? true,
    leastRetryMs: options.leastRetryMs ?? constants.RETRY_AFTER_MIN_MS,
    failureDomain: options.failureDomain,
    table,
    queue: new queue.RequestQueue(),
    running: new attempts.AttemptTable(),
    budget: options.budget ?? new retry.TokenRetryBudget(),
    lengths: new lengths.LengthEstimator(),
    credits: new fairness.ShareCredits(),
    suspects: new quarantine.SuspectTable(options.suspects),
    prompts,
    reading: new reading.ReadingAverages(),
    pauses: new pauses.PauseCounter(),
    silences: new domainSilence.DomainSilences(),
    coldTurns: turns,
    router: new router.Router({ table, prompts, coldTurns: turns, ...options }),
  };
}

/**
 * Refuses a request.
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
      leastRetryMs: state.leastRetryMs,
      ...reason,
    }),
  });
}

/**
 * Returns the key by which requests of a kind are learned from.
 *
 * @example
 * state.lengths.get(getLengthKey(request)).tokens;
 */
export function getLengthKey(wanted: request.Request): string {
  return `${wanted.className}|${wanted.target}`;
}

/**
 * Whether a request has waited so long that lower work should give way to it.
 *
 * @example
 * isLate(state, request);
 */
export function isLate(state: HostState, wanted: request.Request): boolean {
  const patience = Math.min(
    constants.PREEMPT_AT_SLACK * (wanted.startBy - wanted.arrivedAt),
    constants.PREEMPT_AT_TARGET * wanted.targetMs,
  );
  return state.now - wanted.arrivedAt >= patience;
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
  wanted: admission.Routed,
): serverState.PoolState[] {
  return listOwnPools(state).filter((pool) => isServedBy(wanted, pool));
}

/**
 * Finds running work on this host that gives way to a request.
 *
 * @example
 * const victim = findVictim(state, request);
 */
export function findVictim(
  state: HostState,
  wanted: request.Request,
): attempts.Attempt | undefined {
  if (!state.preempts) return undefined;
  return preemption.findVictim(state.running.list(), {
    tier: wanted.tier,
    pools: listPoolsFor(state, wanted),
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
  wanted: admission.Routed,
): number {
  return listPoolsFor(state, wanted)
    .reduce((sum, pool) => sum + pool.totalSlots, 0);
}

/**
 * Whether a pool may serve a request or a lane.
 *
 * @example
 * isServedBy(lane, pool);
 */
export function isServedBy(
  wanted: admission.Routed,
  pool: serverState.PoolState,
): boolean {
  return pool.part.targets.includes(wanted.target) &&
    (wanted.pools.length === 0 || wanted.pools.includes(pool.part.name));
}
