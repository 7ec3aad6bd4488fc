/**
 * The choice of a backend server: the failure domain's own servers first,
 * prefix affinity while the server is not overloaded, else the better of two
 * drawn at random, so that hosts with the same lagging reports do not all
 * choose the same one.
 */
import * as lru from "lru-cache";
import type * as utils from "@banyangrade/utils";
import type * as coldTurns from "./cold_turns.ts";
import * as constants from "./constants.ts";
import * as engineChoice from "./engine_choice.ts";
import * as engineDivision from "./engine_division.ts";
import type * as request from "./request.ts";
import * as serverFit from "./server_fit.ts";
import * as serverState from "./server_state.ts";
import * as servers from "./servers.ts";

/** Draws tried before every server is looked at. */
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
  readonly coldTurns: coldTurns.ColdTurns;
  /** Whether engines are chosen by their unread prompts, for hosts without grants. @default false */
  readonly comparesPrompts?: boolean;
  /** Whether this host has a connection to a server that nothing uses. @default none */
  readonly isConnected?: (server: string) => boolean;
}

/** What the choice depends on besides the request. */
export interface RouteOptions extends serverFit.TurnOptions {
  readonly now: number;
  /** The request was in flight as a server was lost. */
  readonly suspect: boolean;
  /** Server of the attempt before, which is avoided if another one has room. */
  readonly avoid?: string;
  /** Whether other failure domains' servers may be used. */
  readonly overflow: boolean;
}

/** Moment and bounds of one look at the servers. */
interface Choice {
  readonly wanted: request.Request;
  readonly now: number;
  readonly isUsable: (server: serverState.ServerState) => boolean;
}

/** Where a request goes. */
export interface RouteChoice {
  readonly server: serverState.ServerState;
  /** An engine that may hold the beginning of its prompt. */
  readonly source?: serverState.ServerState;
}

/** Chooses backend servers for one host. */
export class Router {
  readonly #table: servers.ServerTable;
  readonly #random: utils.Random;
  readonly #failureDomain: string;
  readonly #affinity: boolean;
  readonly #prompts: engineChoice.PromptLengths;
  readonly #coldTurns: coldTurns.ColdTurns;
  readonly #comparesPrompts: boolean;
  readonly #isConnected: (server: string) => boolean;
  readonly #divisions = new Map<string, engineDivision.EngineDivision>();
  readonly #prefixes = new lru.LRUCache<string, string>({
    max: constants.MAX_PREFIXES,
  });

  constructor(options: RouterOptions) {
    this.#table = options.table;
    this.#random = options.random;
    this.#failureDomain = options.failureDomain;
    this.#affinity = options.affinity ?? true;
    this.#prompts = options.prompts;
    this.#coldTurns = options.coldTurns;
    this.#comparesPrompts = options.comparesPrompts ?? false;
    this.#isConnected = options.isConnected ?? (() => false);
  }

  /** Takes over how a target's engines are divided. */
  setDivision(target: string, division: engineDivision.EngineDivision): void {
    this.#divisions.set(target, division);
  }

  /** Chooses a server with room, or none. */
  choose(
    wanted: request.Request,
    options: RouteOptions,
  ): RouteChoice | undefined {
    const pools = this.#findUsablePools(wanted, options);
    // Under load most classes have used up their grants; then no server need
    // be looked at.
    if (pools.size === 0) return undefined;
    const turns = this.#findColdTurns(pools, options.now);
    const isOpen = (server: serverState.ServerState) =>
      pools.has(server.info.pool) && serverState.mayRunAt(server, wanted) &&
      serverFit.isFit(server, options) &&
      (!serverState.isCold(server, options.now) || turns.has(server.info.pool));
    const isUsable = (server: serverState.ServerState) =>
      server.info.name !== options.avoid && isOpen(server);
    if (this.#comparesPrompts && wanted.kind === "generate") {
      const choice = this.#chooseByPrompts(wanted, { options, isUsable });
      if (choice !== undefined) return choice;
    }
    const server = this.#chooseUsable(wanted, { options, isUsable }) ??
      this.#chooseAvoided(isOpen, options);
    if (server === undefined) return undefined;
    if (wanted.prefix !== "") {
      this.#prefixes.set(this.#getPrefixKey(wanted), server.info.name);
    }
    return { server };
  }

  #chooseUsable(
    wanted: request.Request,
    { options, isUsable }: {
      readonly options: RouteOptions;
      readonly isUsable: Choice["isUsable"];
    },
  ): serverState.ServerState | undefined {
    const { now } = options;
    if (this.#comparesPrompts && wanted.kind === "generate") return undefined;
    const all = this.#table.listFor(wanted.target);
    const home = this.#table.listHomeFor(wanted.target);
    // A server whose tokens come too slowly for the class misses its target for
    // certain; what is left of the patience is better spent waiting.
    const probing = this.#random.below(constants.PROBE_ONE_IN) === 0;
    const longest = constants.SPEED_MARGIN * wanted.targetBetweenMs;
    const isFast = (server: serverState.ServerState) =>
      (probing || server.tokenMs <= longest) && isUsable(server);
    const isNear = (server: serverState.ServerState) =>
      server.pool.failureDomain === this.#failureDomain && isFast(server);
    const isHome = (server: serverState.ServerState) =>
      server.running < server.homeSlots && isFast(server);
    const near =
      this.#chooseByPrefix(wanted, { wanted, now, isUsable: isNear }) ??
        this.#chooseByLoad(home, { wanted, now, isUsable: isHome }) ??
        this.#chooseByLoad(all, { wanted, now, isUsable: isNear });
    if (near !== undefined || !options.overflow) return near;
    // Another failure domain's fast server goes before a slow one that is near.
    return this.#chooseByLoad(all, { wanted, now, isUsable: isFast }) ??
      this.#chooseByLoad(all, { wanted, now, isUsable });
  }

  /** Chooses an engine by unread prompts; see {@link engineChoice}. */
  #chooseByPrompts(
    wanted: request.Request,
    { options, isUsable }: {
      readonly options: RouteOptions;
      readonly isUsable: Choice["isUsable"];
    },
  ): RouteChoice | undefined {
    const { now } = options;
    const all = this.#listLive(wanted.target);
    const live = all.filter((server) => serverState.mayRunAt(server, wanted));
    const views = live.map((server) => ({
      name: server.info.name,
      failureDomain: server.info.failureDomain,
      slots: serverState.getSlots(server),
      load: serverState.estimateLoad(server, now),
      own: server.running,
      prompting: serverState.estimatePrompting(server, now),
      ownPrompting: server.prompting,
      connected: this.#isConnected(server.info.name),
    }));
    const usable = new Set(
      live.filter(isUsable).map((server) => server.info.name),
    );
    const choice = engineChoice.chooseEngine({
      isShort: this.#prompts.isShort(wanted.className),
      prefix: wanted.prefix,
      promptTokens: wanted.promptTokens,
    }, {
      live: views,
      usable: views.filter((view) => usable.has(view.name)),
      shortNames: this.#listShortNames(wanted.target, all),
      failureDomain: this.#failureDomain,
      random: this.#random,
    });
    const server = choice && this.#table.get(choice.name);
    if (server === undefined) return undefined;
    const source = this.#table.get(choice?.source ?? "");
    const answers = source !== undefined && now >= source.ejectedUntil;
    return answers ? { server, source } : { server };
  }

  #listLive(target: string): serverState.ServerState[] {
    return this.#table.listFor(target)
      .filter(({ info }) => info.state === "live");
  }

  /** Names of the engines for short prompts, where engines are divided. */
  #listShortNames(
    target: string,
    live: readonly serverState.ServerState[],
  ): ReadonlySet<string> | undefined {
    const division = this.#divisions.get(target) ??
      engineDivision.DIVISION_AT_FIRST;
    return engineDivision.listShortNames(
      live.map(({ info: { name, failureDomain } }) => ({
        name,
        failureDomain,
      })),
      division,
    );
  }

  /** Finds the pools that the request may use and whose grants have room. */
  #findUsablePools(
    wanted: request.Request,
    options: RouteOptions,
  ): ReadonlySet<string> {
    const { now } = options;
    const { className } = wanted;
    const usable = this.#table.listPoolsFor(wanted.target).filter((pool) => {
      const allowed = wanted.pools.length === 0 ||
        wanted.pools.includes(pool.part.name);
      const near = !pool.foreign || options.overflow;
      const granted = serverState.isWithinGrant(pool, { className, now }) ||
        serverFit.isWithinTurn(pool, { wanted, options });
      return allowed && near && granted;
    });
    return new Set(usable.map((pool) => pool.part.name));
  }

  #getPrefixKey(wanted: request.Request): string {
    return `${wanted.target}|${wanted.prefix}`;
  }

  /**
   * Returns the server that last saw the prefix, unless it is loaded well
   * above the mean of its pool: a warm cache does not pay for a long wait.
   */
  #chooseByPrefix(
    wanted: request.Request,
    { now, isUsable }: Choice,
  ): serverState.ServerState | undefined {
    if (!this.#affinity || wanted.prefix === "") return undefined;
    const name = this.#prefixes.get(this.#getPrefixKey(wanted));
    const server = name === undefined ? undefined : this.#table.get(name);
    if (server === undefined || !isUsable(server)) return undefined;
    const pool = this.#table.getPool(server.info.pool);
    const usual = (pool?.running ?? 0) / Math.max(1, pool?.totalSlots ?? 1);
    const bound = constants.AFFINITY_LOAD_BOUND * usual *
      serverState.getSlots(server);
    return serverState.estimateLoad(server, now) <= Math.max(1, bound)
      ? server
      : undefined;
  }

  #chooseByLoad(
    candidates: readonly serverState.ServerState[],
    choice: Choice,
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
    choice: Choice,
  ): serverState.ServerState | undefined {
    return usable.reduce<serverState.ServerState | undefined>(
      (best, server) =>
        best && this.#score(best, choice) <= this.#score(server, choice)
          ? best
          : server,
      undefined,
    );
  }

  /** Relative load, weighed by how slow its tokens are against its pool's. */
  #score(server: serverState.ServerState, { wanted, now }: Choice): number {
    const prompting = server.prompting / constants.PROMPT_TOKENS_PER_LOAD;
    // A long prompt holds up every stream beside it.
    const disturbed = constants.DISTURBANCE *
      serverFit.countHigher(server, wanted.tier) * wanted.promptTokens /
      constants.PROMPT_TOKENS_PER_LOAD;
    const load =
      (serverState.estimateLoad(server, now) + prompting + disturbed + 1) /
      serverState.getSlots(server);
    const typical = this.#table.getPool(server.info.pool)?.tokenMs ?? 0;
    const known = server.tokenMs > 0 && typical > 0;
    return load * (known ? server.tokenMs / typical : 1);
  }

  /** Falls back to the server that failed before, where no other one is usable. */
  #chooseAvoided(
    isOpen: (server: serverState.ServerState) => boolean,
    options: RouteOptions,
  ): serverState.ServerState | undefined {
    const server = options.avoid && this.#table.get(options.avoid);
    if (!server || options.suspect) return undefined;
    return isOpen(server) ? server : undefined;
  }

  /** Finds the pools at whose cold servers it is this host's turn. */
  #findColdTurns(
    pools: ReadonlySet<string>,
    now: number,
  ): ReadonlySet<string> {
    const sparing = this.#table.listPools().filter(({ part }) =>
      part.coldStart !== undefined && pools.has(part.name)
    );
    const open = sparing.filter(({ part: { name, coldStart, targets } }) =>
      this.#coldTurns.has({
        name,
        servers: this.#countCold(name, { target: targets[0], now }),
        mostPerSecond: coldStart?.mostPerSecond ?? 0,
      }, now)
    );
    return new Set(open.map(({ part }) => part.name));
  }

  /**
   * Counts the cold servers among which a turn is drawn: where engines are
   * divided, those of the part that has fewer.
   */
  #countCold(
    pool: string,
    { target, now }: { readonly target: string; readonly now: number },
  ): number {
    const live = this.#listLive(target);
    const cold = live.filter((server) =>
      server.info.pool === pool && serverState.isInUse(server, now) &&
      serverState.isCold(server, now)
    );
    if (cold.length === 0 || !this.#comparesPrompts) return cold.length;
    const shortNames = this.#listShortNames(target, live);
    const short = cold.filter(({ info }) => shortNames?.has(info.name)).length;
    const long = cold.length - short;
    return short > 0 && long > 0 ? Math.min(short, long) : cold.length;
  }
}
