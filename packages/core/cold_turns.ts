/**
 * When this host may give cold servers a request. A cold server crashes beyond
 * some requests a second from all hosts together, and hosts do not hear of each
 * other's choices in time. So each host has turns of its own, at random moments:
 * as many as its part of what all cold servers of a pool bear together. No host
 * has to know what another one sent, or which others there are, only about how
 * many; and as each draws among the cold servers, none of them gets much more
 * than its part.
 *
 * Load pattern: the servers of a failure domain come back together, cold and
 * idle, and each of eighty hosts finds them the least loaded at once.
 */
import type * as utils from "@banyangrade/utils";

/** Part of what a cold server bears that is given away on average: requests that are drawn without word of each other come in clumps. */
const GIVEN_SHARE = 0.25;
/** Time for which a turn can be used, in ms. Turns that waited for a request would all be used at once by a burst. */
const TURN_MS = 400;

/** The cold servers of a pool at one moment. */
export interface ColdPool {
  readonly name: string;
  /** How many are in use. */
  readonly servers: number;
  /** Most requests that all hosts together may send one of them in any second. */
  readonly mostPerSecond: number;
}

/** Where a host stands between two turns. */
interface Progress {
  /** Part of the time to the next turn that is over. */
  readonly part: number;
  readonly at: number;
  /** Until when the last turn can be used, monotonic ms. */
  readonly openUntil: number;
}

/** The turns of one host. */
export class ColdTurns {
  readonly #random: utils.Random;
  readonly #progress = new Map<string, Progress>();
  #hosts: number | undefined;

  constructor(options: { readonly random: utils.Random }) {
    this.#random = options.random;
  }

  /** Takes over how many hosts there are; until then there are no turns. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /** Whether it is this host's turn at the cold servers of a pool. */
  has(pool: ColdPool, now: number): boolean {
    const periodMs = this.#getPeriodMs(pool);
    if (periodMs === undefined) {
      this.#progress.delete(pool.name);
      return false;
    }
    const known = this.#progress.get(pool.name) ??
      { part: this.#random.next(), at: now, openUntil: -Infinity };
    const reached = known.part + (now - known.at) / periodMs;
    const part = reached % 1;
    const openUntil = reached >= 1
      ? now - part * periodMs + TURN_MS
      : known.openUntil;
    this.#progress.set(pool.name, { part, at: now, openUntil });
    return now <= openUntil;
  }

  /** Records that the turn was used. */
  take(pool: string): void {
    const known = this.#progress.get(pool);
    if (known === undefined) return;
    this.#progress.set(pool, { ...known, openUntil: -Infinity });
  }

  /** Between two turns of this host, in ms; undefined while it has none. */
  #getPeriodMs({ servers, mostPerSecond }: ColdPool): number | undefined {
    const inAll = GIVEN_SHARE * mostPerSecond * servers;
    if (this.#hosts === undefined || inAll <= 0) return undefined;
    return 1_000 * this.#hosts / inAll;
  }
}
