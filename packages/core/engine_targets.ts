/** Speeds of the engines of each target, and their division between short and long prompts. */
import * as engineDivision from "./engine_division.ts";
import type * as enginePaces from "./engine_paces.ts";
import type * as serverState from "./server_state.ts";
import type * as servers from "./servers.ts";

/** Time for which computed speeds of engines are used, in ms; short compared with the interval of the statuses from which they follow. */
const SPEEDS_VALID_MS = 200;
/** Speeds of the engines of a target, with the list of servers they were computed for. */
interface TargetSpeeds {
  readonly servers: readonly serverState.ServerState[];
  readonly at: number;
  readonly speeds: ReadonlyMap<string, number>;
}

/** Engines of a target that are reserved for short prompts, with the state they were selected by. */
interface ShortPromptEngines {
  readonly servers: readonly serverState.ServerState[];
  readonly division: engineDivision.EngineDivision;
  readonly speeds: ReadonlyMap<string, number>;
  readonly names: ReadonlySet<string> | undefined;
}

/** Options of {@link EngineTargets}. */
export interface EngineTargetsOptions {
  readonly table: servers.ServerTable;
  readonly paces: enginePaces.EnginePaces;
}

/** The engines of all targets, as far as they are compared with each other. */
export class EngineTargets {
  readonly #table: servers.ServerTable;
  readonly #paces: enginePaces.EnginePaces;
  readonly #speeds = new Map<string, TargetSpeeds>();
  readonly #shortPromptEngines = new Map<string, ShortPromptEngines>();
  readonly #divisions = new Map<string, engineDivision.EngineDivision>();

  constructor({ table, paces }: EngineTargetsOptions) {
    this.#table = table;
    this.#paces = paces;
  }

  /** Sets how a target's engines are divided between short and long prompts. */
  setDivision(target: string, division: engineDivision.EngineDivision): void {
    this.#divisions.set(target, division);
  }

  /** Lists the speeds of all live engines, relative to the means of their services. */
  listSpeeds(now: number): number[] {
    const targets = new Set(
      this.#table.listPools().filter(({ part }) => part.serves === "engine")
        .flatMap(({ part }) => part.targets),
    );
    return [...targets].flatMap((target) => {
      const speeds = this.computeSpeeds(target, now);
      return this.listLive(target).map(({ info }) =>
        speeds.get(info.name) ?? 1
      );
    });
  }

  /** Returns the speed of a server relative to the mean of its service; 1 for plain services. */
  getSpeed({ info, pool }: serverState.ServerState, now: number): number {
    if (pool.serves !== "engine") return 1;
    const speeds = this.computeSpeeds(pool.targets[0] ?? "", now);
    return speeds.get(info.name) ?? 1;
  }

  /** Computes the speeds of a target's live engines, at most once per {@link SPEEDS_VALID_MS}. */
  computeSpeeds(target: string, now: number): ReadonlyMap<string, number> {
    const servers = this.#table.listFor(target);
    const known = this.#speeds.get(target);
    if (
      known !== undefined && known.servers === servers &&
      now - known.at < SPEEDS_VALID_MS
    ) return known.speeds;
    const names = this.listLive(target).map(({ info }) => info.name);
    const computed = this.#paces.computeSpeeds(names, now);
    const isUnchanged = known !== undefined &&
      hasSameEntries(known.speeds, computed);
    const speeds = isUnchanged ? known.speeds : computed;
    this.#speeds.set(target, { servers, at: now, speeds });
    return speeds;
  }

  /** Lists the live servers of a target. */
  listLive(target: string): serverState.ServerState[] {
    return this.#table.listFor(target)
      .filter(({ info }) => info.state === "live");
  }

  /** Lists the engines reserved for short prompts; undefined if engines are not divided. */
  listShortNames(
    target: string,
    now: number,
  ): ReadonlySet<string> | undefined {
    const division = this.#divisions.get(target) ??
      engineDivision.INITIAL_DIVISION;
    const speeds = this.computeSpeeds(target, now);
    // The table makes new lists whenever a server or its state changes.
    const servers = this.#table.listFor(target);
    const known = this.#shortPromptEngines.get(target);
    if (
      known !== undefined && known.servers === servers &&
      known.division === division && known.speeds === speeds
    ) return known.names;
    const names = engineDivision.listShortPromptEngines(
      this.listLive(target).map(({ info: { name, failureDomain } }) => ({
        name,
        failureDomain,
        speed: speeds.get(name) ?? 1,
      })),
      division,
    );
    this.#shortPromptEngines.set(target, { servers, division, speeds, names });
    return names;
  }
}

function hasSameEntries(
  one: ReadonlyMap<string, number>,
  other: ReadonlyMap<string, number>,
): boolean {
  return one.size === other.size &&
    [...one].every(([name, speed]) => other.get(name) === speed);
}
