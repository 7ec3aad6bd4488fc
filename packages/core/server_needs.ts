/**
 * How many servers the load of a service needs, by the most that it needed of
 * late. A load is what takes the servers' time: requests in their slots, and
 * prompts that wait to be read while slots stand empty.
 */

/** What a server is planned for: a share of its slots, and requests with unread prompts. */
interface PlannedLoad {
  readonly utilisation: number;
  readonly reading: number;
}

/**
 * Load of a reclaimable server. Prompts of some and tokens of others share its
 * time, so tokens come late long before the slots are full; one that reads some
 * six tenths of the time has one request with an unread prompt.
 */
const SPOT_LOAD: PlannedLoad = { utilisation: 0.2, reading: 1 };
/** Load of an ordinary server where no reclaimable ones are to be had: their price is held for answers that would fail, not for those that would be slow. */
const ORDINARY_LOAD: PlannedLoad = { utilisation: 0.25, reading: 2 };
/** The most that was needed within this time is kept, in ms: a burst that comes back within it finds its servers. */
const KEEP_MS = 20_000;
/** The same for ordinary servers, in ms: a start and some rounds. */
const KEEP_ORDINARY_MS = 6_000;
/**
 * Servers at the beginning for each one that was there: the demand of a burst
 * is not known before it comes, and a server takes some seconds to start.
 */
const FIRST_FACTOR = 1.5;

/** What all hosts ask of a service. */
export interface ServiceLoad {
  /** Slots of a server. */
  readonly slots: number;
  /** Requests running and queued. */
  readonly demand: number;
  /** Those of them whose prompts are not read yet, on average. */
  readonly reading: number;
}

/** Servers that a service needs. */
export interface Needs {
  /** Servers that are wanted while reclaimable ones are to be had. */
  readonly wanted: number;
  /** Servers for which ordinary ones that are there stay. */
  readonly enough: number;
  /** Servers without which answers would fail. */
  readonly least: number;
}

interface Needed {
  readonly at: number;
  /** Servers for the load of that moment, if they are all of a kind. */
  readonly spot: number;
  readonly ordinary: number;
}

/** Keeps what one service needed of late. */
export class ServerNeeds {
  #needed: readonly Needed[] = [];
  #firstAt: number | undefined;

  /**
   * Computes what is needed now. `atFirst` servers were there at the beginning:
   * who has just begun to plan does not know what was needed before, so it keeps
   * those, and some more.
   */
  compute(
    load: ServiceLoad,
    { now, atFirst }: { readonly now: number; readonly atFirst: number },
  ): Needs {
    if (load.demand > 0) this.#firstAt ??= now;
    const begun = now - (this.#firstAt ?? now) < KEEP_MS;
    this.#needed = [
      ...this.#needed.filter((needed) => now - needed.at < KEEP_MS),
      {
        at: now,
        spot: countServers(load, SPOT_LOAD),
        ordinary: countServers(load, ORDINARY_LOAD),
      },
    ];
    const recent = this.#needed.filter(({ at }) => now - at < KEEP_ORDINARY_MS);
    const kept = begun ? atFirst : 0;
    const spot = Math.max(...this.#needed.map((needed) => needed.spot));
    const least = Math.max(...recent.map((needed) => needed.ordinary));
    return {
      wanted: Math.max(spot, Math.ceil(FIRST_FACTOR * kept)),
      enough: Math.max(least, kept),
      least,
    };
  }
}

/** Counts the servers that carry a load. */
function countServers(
  { demand, slots, reading }: ServiceLoad,
  load: PlannedLoad,
): number {
  return Math.ceil(
    Math.max(demand / slots / load.utilisation, reading / load.reading),
  );
}
