/**
 * The number of hosts that share a rate. A host that is cut off from the others
 * counts fewer of them after a while, although they still send requests.
 *
 * Guards against a host that takes the shares of hosts that it no longer sees.
 */

/** Time for which a larger count outlasts smaller ones, in ms; longer than usual network failures. */
const MEMORY_MS = 120_000;

interface Count {
  readonly hosts: number;
  readonly at: number;
}

/** The largest recent number of hosts. */
export class HostCount {
  /** Counts in the order of their times; each is larger than all later ones. */
  #counts: Count[] = [];

  /** Records a count and returns the largest recent one. */
  record(hosts: number, now: number): number {
    this.#counts = [
      ...this.#counts.filter((count) =>
        count.hosts > hosts && now - count.at <= MEMORY_MS
      ),
      { hosts, at: now },
    ];
    return this.#counts[0].hosts;
  }
}
