/**
 * Selects a backend server for a request. Servers of the host's own failure
 * domain come first. Prefix affinity applies while the server is not
 * overloaded; otherwise the less loaded of two random servers is selected, so
 * that hosts with the same outdated load reports do not all select the same
 * server.
 */
import * as lru from "lru-cache";
import type * as utils from "@banyangrade/utils";
import type * as brittleServers from "./brittle_servers.ts";
import type * as coldPermits from "./cold_permits.ts";
import * as constants from "./constants.ts";
import * as engineChoice from "./engine_choice.ts";
import type * as engineDivision from "./engine_division.ts";
import type * as enginePaces from "./engine_paces.ts";
import * as engineTargets from "./engine_targets.ts";
import type * as failureShares from "./failure_shares.ts";
import type * as request from "./request.ts";
import * as serverAvailability from "./server_availability.ts";
import * as serverEligibility from "./server_eligibility.ts";
import type * as serverLimits from "./server_limits.ts";
import * as serverState from "./server_state.ts";
import * as servers from "./servers.ts";

/** Number of random pairs that are compared before all servers are scanned. */
const RANDOM_PAIRS = 2;

/** Options of {@link Router}. */
export interface RouterOptions {
  readonly table: servers.ServerTable;
  readonly random: utils.Random;
  /** This host's failure domain. */
  readonly failureDomain: string;
  /** Whether prefix affinity is used. @default true */
  readonly affinity?: boolean;
  readonly prompts: engineChoice.PromptLengths;
  readonly paces: enginePaces.EnginePaces;
  readonly coldPermits: coldPermits.ColdServerPermits;
  readonly limits: serverLimits.ServerLimits;
  readonly brittle: brittleServers.BrittleServers;
  readonly failureShares: failureShares.FailureShares;
  /** Whether engines are compared by prompt tokens that await prefill; used by hosts without slot grants. @default false */
  readonly comparesPrompts?: boolean;
  /** Whether this host has an idle connection to a server. @default none */
  readonly isConnected?: (server: string) => boolean;
}

/** Options of {@link Router.choose}. */
export interface RouteOptions extends serverEligibility.GuaranteeOptions {
  readonly now: number;
  /** Whether the request was in flight when a backend server was lost. */
  readonly suspect: boolean;
  /** Server of the previous attempt, which is used only if no other server has room. */
  readonly avoid?: string;
  /** Whether servers of other failure domains may be used. */
  readonly overflow: boolean;
}

/** Request, time and filter of one scan over the servers. */
interface SelectionContext {
  readonly request: request.Request;
  readonly now: number;
  readonly isUsable: (server: serverState.ServerState) => boolean;
}

/** The selected backend server. */
export interface RouteChoice {
  readonly server: serverState.ServerState;
  /** An engine whose KV cache may hold a prefix of the request's prompt. */
  readonly source?: serverState.ServerState;
  /** Speed of an engine relative to its service's mean; absent if it is 1. */
  readonly speed?: number;
  /** Prompt tokens that an engine prefills before the first event, divided by its speed; absent if engines are equally fast. */
  readonly expectedTokens?: number;
}

/** Selects backend servers for the requests of one host. */
export class Router {
  readonly #table: servers.ServerTable;
  readonly #random: utils.Random;
  readonly #failureDomain: string;
  readonly #affinity: boolean;
  readonly #prompts: engineChoice.PromptLengths;
  readonly #engines: engineTargets.EngineTargets;
  readonly #coldPermits: coldPermits.ColdServerPermits;
  readonly #limits: serverLimits.ServerLimits;
  readonly #brittle: brittleServers.BrittleServers;
  readonly #failureShares: failureShares.FailureShares;
  readonly #comparesPrompts: boolean;
  readonly #isConnected: (server: string) => boolean;
  readonly #prefixes = new lru.LRUCache<string, string>({
    max: constants.MAX_PREFIXES,
  });

  constructor(options: RouterOptions) {
    this.#table = options.table;
    this.#random = options.random;
    this.#failureDomain = options.failureDomain;
    this.#affinity = options.affinity ?? true;
    this.#prompts = options.prompts;
    this.#engines = new engineTargets.EngineTargets(options);
    this.#coldPermits = options.coldPermits;
    this.#limits = options.limits;
    this.#brittle = options.brittle;
    this.#failureShares = options.failureShares;
    this.#comparesPrompts = options.comparesPrompts ?? false;
    this.#isConnected = options.isConnected ?? (() => false);
  }

  /** Sets how a target's engines are divided between short and long prompts. */
  setDivision(target: string, division: engineDivision.EngineDivision): void {
    this.#engines.setDivision(target, division);
  }

  /** Lists the speeds of all live engines, relative to the means of their services. */
  listSpeeds(now: number): number[] {
    return this.#engines.listSpeeds(now);
  }

  /** Returns the speed of an engine relative to the mean of its service; 1 if it is not known. */
  getSpeed(server: serverState.ServerState, now: number): number {
    return this.#engines.getSpeed(server, now);
  }

  /** Selects a server with room; undefined if there is none. */
  choose(
    request: request.Request,
    options: RouteOptions,
  ): RouteChoice | undefined {
    const skipped = this.#drawSkipped(request.target, options.now);
    const choice = skipped.size > 0
      ? this.#chooseWithout(skipped, { request, options })
      : undefined;
    const chosen = choice ??
      this.#chooseWithout(new Set(), { request, options });
    if (chosen !== undefined) this.#recordPrefix(request, chosen);
    return chosen;
  }

  /**
   * Finds a server to which a request would be sent now instead of `avoid`, and
   * which is neither overdue nor untried. Nothing is recorded, because the attempt
   * at `avoid` may continue.
   */
  findAlternative(
    request: request.Request,
    { avoid, ...options }: RouteOptions,
  ): RouteChoice | undefined {
    const { now } = options;
    const excluded = this.#table.listFor(request.target).filter((server) =>
      server.info.name === avoid || serverState.isOverdue(server, now) ||
      serverState.isUntried(server, now)
    ).map(({ info }) => info.name);
    const skipped = new Set([
      ...excluded,
      ...this.#drawSkipped(request.target, now),
    ]);
    return this.#chooseWithout(skipped, { request, options }) ??
      this.#chooseWithout(new Set(excluded), { request, options });
  }

  /** Draws the servers that a request is not sent to because they fail a part of their requests. */
  #drawSkipped(target: string, now: number): ReadonlySet<string> {
    const limited = this.#failureShares.listLimited(now);
    if (limited.size === 0) return new Set();
    // No number is drawn for the servers of other targets, so that their faults
    // change no choice here.
    const names = new Set(
      this.#table.listFor(target).map(({ info }) => info.name),
    );
    const skipped = [...limited].filter(([name, success]) =>
      names.has(name) && this.#random.next() >= success
    );
    return new Set(skipped.map(([server]) => server));
  }

  #chooseWithout(
    skipped: ReadonlySet<string>,
    { request, options }: {
      readonly request: request.Request;
      readonly options: RouteOptions;
    },
  ): RouteChoice | undefined {
    const isEligible = this.#createFilter(request, {
      options,
      hasRoom: (server) => serverEligibility.isEligible(server, options),
    });
    if (isEligible === undefined) return undefined;
    const isUsable = (server: serverState.ServerState) =>
      server.info.name !== options.avoid && !skipped.has(server.info.name) &&
      isEligible(server);
    const choice = this.#chooseAnswering(request, { options, isUsable });
    if (choice !== undefined && this.#isChosenByPrompts(request)) return choice;
    const server = choice?.server ?? this.#chooseAvoided(isEligible, options);
    return server && { server };
  }

  /** Records which server last received the prompt prefix of a request. */
  #recordPrefix(request: request.Request, { server }: RouteChoice): void {
    if (request.prefix === "" || this.#isChosenByPrompts(request)) return;
    this.#prefixes.set(this.#getPrefixKey(request), server.info.name);
  }

  /** Whether engines are chosen for the request by prompt tokens that await prefill. */
  #isChosenByPrompts({ kind }: request.Request): boolean {
    return this.#comparesPrompts && kind === "generate";
  }

  /** Selects a server that the request does not avoid; if there is none, any usable server. */
  #chooseAnswering(
    request: request.Request,
    { options, isUsable }: {
      readonly options: RouteOptions;
      readonly isUsable: SelectionContext["isUsable"];
    },
  ): RouteChoice | undefined {
    const { now } = options;
    const { target, repeatable } = request;
    const isAvoided = (server: serverState.ServerState) =>
      serverState.isAvoided(server, { now, repeatable });
    const isAnswering = (server: serverState.ServerState) =>
      !isAvoided(server) && isUsable(server);
    const all = this.#table.listFor(target);
    const hasPreference = all.some(isAvoided) && all.some(isAnswering);
    const filters = hasPreference ? [isAnswering, isUsable] : [isUsable];
    for (const filter of filters) {
      const choice = this.#isChosenByPrompts(request)
        ? this.#chooseByPrompts(request, { options, isUsable: filter })
        : this.#chooseUsable(request, { options, isUsable: filter });
      if (choice !== undefined) return choice;
    }
    return undefined;
  }

  /**
   * Selects a server for a request that no server has room for by the usual
   * rules; see {@link serverAvailability.listAvailable}. Draws no random number
   * if there is none.
   */
  chooseBeyondRoom(
    request: request.Request,
    options: RouteOptions & serverAvailability.AvailabilityOptions,
  ): RouteChoice | undefined {
    const candidates = serverAvailability.listAvailable(
      this.#table.listEligible(request),
      options,
    ).filter((server) =>
      server.info.name !== options.avoid || !options.suspect
    );
    if (candidates.length === 0) return undefined;
    const isUsable = this.#createFilter(request, {
      options,
      hasRoom: (server) =>
        candidates.includes(server) &&
        serverEligibility.isAlone(server, options),
    });
    if (isUsable === undefined) return undefined;
    const preferred = this.#listPreferred(candidates.filter(isUsable), {
      request,
      options,
    });
    const isPreferred = (server: serverState.ServerState) =>
      preferred.includes(server);
    if (this.#isChosenByPrompts(request)) {
      return this.#chooseByPrompts(request, { options, isUsable: isPreferred });
    }
    const server = this.#chooseByLoad(candidates, {
      request,
      now: options.now,
      isUsable: isPreferred,
    });
    return server && { server };
  }

  /**
   * Lists the servers that a request prefers among those it may use: the ones
   * that do not fail a part of their requests, that it does not avoid, and at
   * which its previous attempt did not fail. A condition that no server meets is
   * ignored.
   */
  #listPreferred(
    usable: readonly serverState.ServerState[],
    { request: { target, repeatable }, options: { now, avoid } }: {
      readonly request: request.Request;
      readonly options: RouteOptions;
    },
  ): readonly serverState.ServerState[] {
    if (usable.length < 2) return usable;
    const skipped = this.#drawSkipped(target, now);
    const conditions: SelectionContext["isUsable"][] = [
      ({ info }) => !skipped.has(info.name),
      (server) => !serverState.isAvoided(server, { now, repeatable }),
      ({ info }) => info.name !== avoid,
    ];
    return conditions.reduce((left, isMet) => {
      const kept = left.filter(isMet);
      return kept.length > 0 ? kept : left;
    }, usable);
  }

  /** Creates the filter for servers with room that may be sent the request now; undefined if no pool may serve it. */
  #createFilter(
    request: request.Request,
    { options, hasRoom }: {
      readonly options: RouteOptions;
      readonly hasRoom: SelectionContext["isUsable"];
    },
  ): SelectionContext["isUsable"] | undefined {
    const { now } = options;
    const pools = this.#findUsablePools(request, options);
    // Under load most classes have used up their grants. Returning here avoids
    // a scan over all servers.
    if (pools.size === 0) return undefined;
    const poolsWithColdTurn = this.#findColdPermits(pools, now);
    const hasBrittle = this.#brittle.hasAny();
    return (server) =>
      pools.has(server.info.pool) && serverState.mayRunAt(server, request) &&
      hasRoom(server) &&
      (!serverState.isCold(server, now) ||
        poolsWithColdTurn.has(server.info.pool)) &&
      this.#limits.mayUse(server.info.name, now) &&
      (!hasBrittle ||
        this.#brittle.mayUse(serverState.toBrittleTarget(server), {
          running: server.running,
          slots: serverState.getSlots(server),
          now,
        }));
  }

  #chooseUsable(
    request: request.Request,
    { options, isUsable }: {
      readonly options: RouteOptions;
      readonly isUsable: SelectionContext["isUsable"];
    },
  ): RouteChoice | undefined {
    const { now } = options;
    const all = this.#table.listFor(request.target);
    const preferred = this.#table.listPreferredFor(request.target);
    // A server whose time between tokens exceeds the target of the class would
    // certainly miss it, so the request stays queued for a faster server.
    const probesSlowServers =
      this.#random.below(constants.SPEED_PROBE_ONE_IN) === 0;
    const maxTokenMs = constants.TOKEN_TIME_TARGET_SHARE *
      request.targetBetweenMs;
    const isFast = (server: serverState.ServerState) =>
      (probesSlowServers || server.tokenMs <= maxTokenMs) && isUsable(server);
    const isLocal = (server: serverState.ServerState) =>
      server.pool.failureDomain === this.#failureDomain && isFast(server);
    const isPreferred = (server: serverState.ServerState) =>
      server.running < server.preferredSlots && isFast(server);
    const local =
      this.#chooseByPrefix(request, { request, now, isUsable: isLocal }) ??
        this.#chooseByLoad(preferred, {
          request,
          now,
          isUsable: isPreferred,
        }) ??
        this.#chooseByLoad(all, { request, now, isUsable: isLocal });
    if (local !== undefined) return { server: local };
    if (!options.overflow) return undefined;
    // A fast server of another failure domain is preferred over a slow server
    // of this one.
    const remote =
      this.#chooseByLoad(all, { request, now, isUsable: isFast }) ??
        this.#chooseByLoad(all, { request, now, isUsable });
    return remote && { server: remote };
  }

  /** Selects an engine by prompt tokens that await prefill; see {@link engineChoice}. */
  #chooseByPrompts(
    request: request.Request,
    { options, isUsable }: {
      readonly options: RouteOptions;
      readonly isUsable: SelectionContext["isUsable"];
    },
  ): RouteChoice | undefined {
    const { now } = options;
    const all = this.#engines.listLive(request.target);
    const live = all.filter((server) => serverState.mayRunAt(server, request));
    const speeds = this.#engines.computeSpeeds(request.target, now);
    const views = live.map((server) => ({
      name: server.info.name,
      failureDomain: server.info.failureDomain,
      slots: serverState.getSlots(server),
      load: serverState.estimateLoad(server, now),
      ownRequests: server.running,
      prompting: serverState.estimatePrompting(server, now),
      ownPrompting: server.prompting,
      hasIdleConnection: this.#isConnected(server.info.name),
      speed: speeds.get(server.info.name) ?? 1,
    }));
    const choice = engineChoice.chooseEngine({
      isShort: this.#prompts.isShort(request.className),
      prefix: request.prefix,
      promptTokens: request.promptTokens,
    }, {
      live: views,
      usable: views.filter((_, index) => isUsable(live[index])),
      shortPromptEngines: this.#engines.listShortNames(request.target, now),
      failureDomain: this.#failureDomain,
      random: this.#random,
    });
    const server = choice && this.#table.get(choice.name);
    if (server === undefined) return undefined;
    const source = this.#table.get(choice?.source ?? "");
    const isSourceAvailable = source !== undefined &&
      now >= source.ejectedUntil && !serverState.isOverdue(source, now);
    const speed = speeds.get(server.info.name);
    return {
      server,
      ...(isSourceAvailable && { source }),
      ...(speed !== undefined && speed !== 1 && { speed }),
      ...(speed !== undefined && {
        expectedTokens: (serverState.estimatePrompting(server, now) +
          request.promptTokens) / speed,
      }),
    };
  }

  /** Finds the pools that may serve the request and whose grant is not used up. */
  #findUsablePools(
    request: request.Request,
    options: RouteOptions,
  ): ReadonlySet<string> {
    const { now } = options;
    const { className } = request;
    const usable = this.#table.listPoolsFor(request.target).filter((pool) => {
      const allowed = request.pools.length === 0 ||
        request.pools.includes(pool.part.name);
      const isReachable = !pool.remote || options.overflow;
      const granted = serverState.isWithinGrant(pool, { className, now }) ||
        serverEligibility.isWithinGuarantee(pool, { request, options });
      return allowed && isReachable && granted;
    });
    return new Set(usable.map((pool) => pool.part.name));
  }

  #getPrefixKey(request: request.Request): string {
    return `${request.target}|${request.prefix}`;
  }

  /**
   * Returns the server that last received the prompt prefix. A server loaded
   * well above the mean of its pool is skipped, because the wait would cost more
   * than its warm cache saves.
   */
  #chooseByPrefix(
    request: request.Request,
    { now, isUsable }: SelectionContext,
  ): serverState.ServerState | undefined {
    if (!this.#affinity || request.prefix === "") return undefined;
    const name = this.#prefixes.get(this.#getPrefixKey(request));
    const server = name === undefined ? undefined : this.#table.get(name);
    if (server === undefined || !isUsable(server)) return undefined;
    const pool = this.#table.getPool(server.info.pool);
    const meanLoad = (pool?.running ?? 0) / Math.max(1, pool?.totalSlots ?? 1);
    const maxLoad = constants.AFFINITY_LOAD_BOUND * meanLoad *
      serverState.getSlots(server);
    return serverState.estimateLoad(server, now) <= Math.max(1, maxLoad)
      ? server
      : undefined;
  }

  #chooseByLoad(
    candidates: readonly serverState.ServerState[],
    choice: SelectionContext,
  ): serverState.ServerState | undefined {
    const { isUsable } = choice;
    if (candidates.length === 0) return undefined;
    for (let pair = 0; pair < RANDOM_PAIRS; pair += 1) {
      const drawn = [
        candidates[this.#random.below(candidates.length)],
        candidates[this.#random.below(candidates.length)],
      ];
      const better = this.#findLeastLoaded(drawn.filter(isUsable), choice);
      if (better !== undefined) return better;
    }
    return this.#findLeastLoaded(candidates.filter(isUsable), choice);
  }

  #findLeastLoaded(
    usable: readonly serverState.ServerState[],
    choice: SelectionContext,
  ): serverState.ServerState | undefined {
    return usable.reduce<serverState.ServerState | undefined>(
      (best, server) =>
        best && this.#score(best, choice) <= this.#score(server, choice)
          ? best
          : server,
      undefined,
    );
  }

  /** Scores a server by relative load times its time between tokens relative to its pool's. */
  #score(
    server: serverState.ServerState,
    { request, now }: SelectionContext,
  ): number {
    const prompting = server.prompting / constants.PROMPT_TOKENS_PER_LOAD;
    // The prefill of a long prompt delays the tokens of all streams that the
    // server is running.
    const interference = constants.DELAYED_STREAM_WEIGHT *
      serverEligibility.countHigherTiers(server, request.tier) *
      request.promptTokens /
      constants.PROMPT_TOKENS_PER_LOAD;
    const load =
      (serverState.estimateLoad(server, now) + prompting + interference + 1) /
      serverState.getSlots(server);
    const poolTokenMs = this.#table.getPool(server.info.pool)?.tokenMs ?? 0;
    const hasSpeedSamples = server.tokenMs > 0 && poolTokenMs > 0;
    return load * (hasSpeedSamples ? server.tokenMs / poolTokenMs : 1);
  }

  /** Returns the server of the previous attempt if it is still eligible; used if no other server is. */
  #chooseAvoided(
    isOpen: (server: serverState.ServerState) => boolean,
    options: RouteOptions,
  ): serverState.ServerState | undefined {
    const server = options.avoid && this.#table.get(options.avoid);
    if (!server || options.suspect) return undefined;
    return isOpen(server) ? server : undefined;
  }

  /** Finds the pools to whose cold servers this host may send a request now. */
  #findColdPermits(
    pools: ReadonlySet<string>,
    now: number,
  ): ReadonlySet<string> {
    const rateLimited = this.#table.listPools().filter(({ part }) =>
      part.coldStart !== undefined && pools.has(part.name)
    );
    const usable = rateLimited.filter((
      { part: { name, coldStart, targets } },
    ) =>
      this.#coldPermits.has({
        name,
        servers: this.#countCold(name, { target: targets[0], now }),
        mostPerSecond: coldStart?.mostPerSecond ?? 0,
      }, now)
    );
    return new Set(usable.map(({ part }) => part.name));
  }

  /**
   * Counts the cold servers that share the request rate of a pool. If engines
   * are divided by prompt length and both parts have cold servers, the smaller
   * part counts, so that its servers do not exceed their rate.
   */
  #countCold(
    pool: string,
    { target, now }: { readonly target: string; readonly now: number },
  ): number {
    const live = this.#engines.listLive(target);
    const own = live.filter((server) => server.info.pool === pool);
    const inUse = own.filter((server) => serverState.isInUse(server, now));
    const cold = inUse.filter((server) => serverState.isCold(server, now));
    // If all servers are ejected, all requests may go to the same one, so they
    // share the rate of one server.
    if (inUse.length === 0) return own.length > 0 ? 1 : 0;
    if (cold.length === 0 || !this.#comparesPrompts) return cold.length;
    const shortPromptEngines = this.#engines.listShortNames(target, now);
    const short =
      cold.filter(({ info }) => shortPromptEngines?.has(info.name)).length;
    const long = cold.length - short;
    return short > 0 && long > 0 ? Math.min(short, long) : cold.length;
  }
}
