/**
 * Computes how many servers a service needs, as the peak need of a recent period.
 * Both the requests in slots and the prompts that await prefill count as load,
 * because prompts can queue while slots are empty.
 */

/** Load that one server is planned for: a share of its slots, and a number of requests whose prompts await prefill. */
interface PlannedLoad {
  readonly utilisation: number;
  readonly reading: number;
}

/**
 * Planned load of a spot server. Prefill and decode share the time of a server,
 * so tokens are late long before all slots are in use. A server that spends about
 * 60% of its time on prefill has one request that awaits prefill on average.
 */
const SPOT_LOAD: PlannedLoad = { utilisation: 0.2, reading: 1 };
/** Planned load of an ordinary server while no spot servers are available. It is higher, because ordinary servers are bought to prevent failed requests, not slow ones. */
const ORDINARY_LOAD: PlannedLoad = { utilisation: 0.25, reading: 2 };
/** Period in ms over which the peak need is kept, so that a burst that recurs within it finds its servers. */
const PEAK_WINDOW_MS = 20_000;
/** Period in ms over which the peak need for ordinary servers is kept: the time to start one and some planning rounds. */
const ORDINARY_PEAK_WINDOW_MS = 6_000;
/**
 * Servers to plan at first per server that was already running. The demand of a
 * burst is unknown before it arrives, and a server takes some seconds to start.
 */
const STARTUP_FACTOR = 1.5;

/** Load of a service over all hosts. */
export interface ServiceLoad {
  /** Slots per server. */
  readonly slots: number;
  /** Number of requests running and queued. */
  readonly demand: number;
  /** Average number of those requests whose prompts await prefill. */
  readonly reading: number;
}

/** Number of servers that a service needs. */
export interface NeededCounts {
  /** Number of servers to run while spot servers are available. */
  readonly preferred: number;
  /** Number of servers up to which existing ordinary servers are kept. */
  readonly retained: number;
  /** Number of servers below which requests would fail. */
  readonly required: number;
}

interface NeedSample {
  readonly at: number;
  /** Number of servers for the load at that time if all are spot servers. */
  readonly spot: number;
  /** Number of servers for the load at that time if all are ordinary servers. */
  readonly ordinary: number;
}

/** Tracks how many servers one service needed recently. */
export class ServerNeeds {
  #samples: readonly NeedSample[] = [];
  #firstLoadAt: number | undefined;

  /**
   * Computes how many servers are needed now. `initialCount` is the number of
   * servers that ran when planning began. A new planner does not know the earlier
   * need, so at first it keeps those servers and adds some.
   */
  compute(
    load: ServiceLoad,
    { now, initialCount }: {
      readonly now: number;
      readonly initialCount: number;
    },
  ): NeededCounts {
    if (load.demand > 0) this.#firstLoadAt ??= now;
    const isStarting = now - (this.#firstLoadAt ?? now) < PEAK_WINDOW_MS;
    this.#samples = [
      ...this.#samples.filter((sample) => now - sample.at < PEAK_WINDOW_MS),
      {
        at: now,
        spot: countServers(load, SPOT_LOAD),
        ordinary: countServers(load, ORDINARY_LOAD),
      },
    ];
    const recent = this.#samples.filter(({ at }) =>
      now - at < ORDINARY_PEAK_WINDOW_MS
    );
    const initial = isStarting ? initialCount : 0;
    const spot = Math.max(...this.#samples.map((sample) => sample.spot));
    const required = Math.max(...recent.map((sample) => sample.ordinary));
    return {
      preferred: Math.max(spot, Math.ceil(STARTUP_FACTOR * initial)),
      retained: Math.max(required, initial),
      required,
    };
  }
}

/** Computes how many servers carry a load if each is planned for `perServer`. */
function countServers(
  { demand, slots, reading }: ServiceLoad,
  perServer: PlannedLoad,
): number {
  return Math.ceil(
    Math.max(
      demand / slots / perServer.utilisation,
      reading / perServer.reading,
    ),
  );
}
