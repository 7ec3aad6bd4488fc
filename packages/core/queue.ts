/**
 * The host's request queue. It has one lane for each combination of class, target
 * and pools. Within a lane, customers share the capacity by weighted fair
 * queueing, and the requests of one customer are served in order of arrival.
 */
import * as tinyqueue from "tinyqueue";
import * as request from "./request.ts";

/** A queued request, with the results of its earlier attempts. */
export interface QueuedRequest {
  readonly request: request.Request;
  /** Number of its next attempt; 1 for the first. */
  readonly attempt: number;
  /** Earlier attempts of which no byte was sent. */
  readonly unsentAttempts: number;
  /** Tokens that the caller already has; the next attempt resumes after them. */
  readonly offset: number;
  /** Whether an earlier attempt may have run. */
  readonly ran: request.Ran;
  /** Whether a server was lost while it ran a request with the same fingerprint. */
  readonly suspect: boolean;
  /** Whether it has already missed its class's latency target. */
  readonly missedTarget: boolean;
  /** Whether it is queued ahead of its customer's other requests, because it waited before. */
  readonly atFront: boolean;
  /** Times its refusal was postponed because lower-tier work still ran. */
  readonly postponements: number;
  /** Name of the server of its last failed attempt. */
  readonly avoid?: string;
}

/** A customer and the virtual time at which its next request is due. */
interface ScheduledCustomer {
  readonly customer: string;
  readonly virtualTime: number;
}

/** Queue of the requests that have the same class, target and pools. */
export class Lane {
  readonly key: string;
  readonly className: string;
  readonly tier: number;
  readonly target: string;
  readonly pools: readonly string[];
  /** Whether its requests have already missed their latency target. */
  readonly missedTarget: boolean;
  /** Whether its requests may run at one software version only. */
  readonly isBound: boolean;
  readonly #waiting = new Map<string, QueuedRequest[]>();
  readonly #virtualTimes = new Map<string, number>();
  readonly #schedule = new tinyqueue.default<ScheduledCustomer>(
    [],
    (a, b) => a.virtualTime - b.virtualTime,
  );
  #virtualTime = 0;
  #size = 0;

  constructor(key: string, first: QueuedRequest) {
    this.key = key;
    this.className = first.request.className;
    this.tier = first.request.tier;
    this.target = first.request.target;
    this.pools = first.request.pools;
    this.missedTarget = first.missedTarget;
    this.isBound = first.request.software !== undefined;
  }

  get size(): number {
    return this.#size;
  }

  /**
   * Adds a request. A customer that was idle starts at the lane's virtual time,
   * so that it gains no credit for the time in which it sent no requests.
   */
  add(queued: QueuedRequest): void {
    const customer = queued.request.customer;
    const waiting = this.#waiting.get(customer);
    this.#size += 1;
    if (waiting !== undefined && waiting.length > 0) {
      if (queued.atFront) waiting.unshift(queued);
      else waiting.push(queued);
      return;
    }
    this.#waiting.set(customer, [queued]);
    const lastVirtualTime = this.#virtualTimes.get(customer) ?? 0;
    const virtualTime = Math.max(lastVirtualTime, this.#virtualTime);
    this.#virtualTimes.set(customer, virtualTime);
    this.#schedule.push({ customer, virtualTime });
  }

  /**
   * Estimates how many requests are served before a new request of a customer.
   * Customers are served in turn, so the new request waits for the customer's own
   * queued requests and at most as many of each other customer, plus one. The
   * long queue of one customer does not cause another customer to be refused.
   */
  countAhead(customer: string): number {
    const own = this.#waiting.get(customer)?.length ?? 0;
    const otherCustomers = this.#waiting.size - (own > 0 ? 1 : 0);
    return Math.min(this.#size, own + (own + 1) * otherCustomers);
  }

  /** Returns the next request without removing it. */
  peek(): QueuedRequest | undefined {
    const next = this.#findNext();
    return next && this.#waiting.get(next.customer)?.[0];
  }

  /** Removes and returns the next request, and charges its customer `cost`. */
  take(cost: number): QueuedRequest | undefined {
    const next = this.#findNext();
    if (next === undefined) return undefined;
    this.#schedule.pop();
    const waiting = this.#waiting.get(next.customer) as QueuedRequest[];
    const taken = waiting.shift() as QueuedRequest;
    this.#size -= 1;
    this.#virtualTime = Math.max(this.#virtualTime, next.virtualTime);
    const virtualTime = next.virtualTime + cost / taken.request.weight;
    this.#virtualTimes.set(next.customer, virtualTime);
    if (waiting.length > 0) {
      this.#schedule.push({ customer: next.customer, virtualTime });
    } else this.#waiting.delete(next.customer);
    this.#forgetIdleCustomers();
    return taken;
  }

  /** Removes the requests that `matches` holds for, and returns them. */
  removeWhere(matches: (queued: QueuedRequest) => boolean): QueuedRequest[] {
    const removed: QueuedRequest[] = [];
    this.#waiting.forEach((waiting, customer) => {
      const kept = waiting.filter((queued) => !matches(queued));
      if (kept.length === waiting.length) return;
      removed.push(...waiting.filter(matches));
      if (kept.length > 0) this.#waiting.set(customer, kept);
      else this.#waiting.delete(customer);
    });
    this.#size -= removed.length;
    return removed;
  }

  /**
   * Removes the requests that `isOverdue` holds for, at the front of each
   * customer's queue. A queue is in order of arrival, except for requests with
   * `atFront`, so the scan stops at the first other request that is not overdue.
   */
  removeOverdue(
    isOverdue: (queued: QueuedRequest) => boolean,
  ): QueuedRequest[] {
    const removed: QueuedRequest[] = [];
    [...this.#waiting].forEach(([customer, waiting]) => {
      const firstInTime = waiting.findIndex((queued) =>
        !queued.atFront && !isOverdue(queued)
      );
      const front = waiting.slice(
        0,
        firstInTime < 0 ? waiting.length : firstInTime,
      );
      const overdue = front.filter(isOverdue);
      if (overdue.length === 0) return;
      removed.push(...overdue);
      const kept = [
        ...front.filter((queued) => !isOverdue(queued)),
        ...waiting.slice(front.length),
      ];
      if (kept.length > 0) this.#waiting.set(customer, kept);
      else this.#waiting.delete(customer);
    });
    this.#size -= removed.length;
    return removed;
  }

  /** Removes the request that arrived last, to shed load. */
  removeNewest(): QueuedRequest | undefined {
    const newest = [...this.#waiting.values()]
      .map((waiting) => waiting[waiting.length - 1])
      .reduce<QueuedRequest | undefined>(
        (best, queued) =>
          best && best.request.arrivedAt >= queued.request.arrivedAt
            ? best
            : queued,
        undefined,
      );
    if (newest === undefined) return undefined;
    return this.removeWhere((queued) => queued === newest)[0];
  }

  /**
   * Finds the customer with the lowest virtual time. Drops outdated entries of
   * the schedule: those of customers whose requests were all removed, and those
   * whose virtual time has changed since.
   */
  #findNext(): ScheduledCustomer | undefined {
    while (this.#schedule.length > 0) {
      const next = this.#schedule.peek() as ScheduledCustomer;
      const waiting = this.#waiting.get(next.customer);
      const current = this.#virtualTimes.get(next.customer);
      if (waiting !== undefined && current === next.virtualTime) return next;
      this.#schedule.pop();
    }
    return undefined;
  }

  /**
   * Bounds memory: deletes the virtual times of idle customers that are not ahead
   * of the lane's virtual time, because `add` would start these customers at the
   * lane's virtual time anyway.
   */
  #forgetIdleCustomers(): void {
    if (this.#virtualTimes.size <= 2 * this.#waiting.size + 64) return;
    [...this.#virtualTimes].forEach(([customer, virtualTime]) => {
      if (!this.#waiting.has(customer) && virtualTime <= this.#virtualTime) {
        this.#virtualTimes.delete(customer);
      }
    });
  }
}

/** All lanes of a host. */
export class RequestQueue {
  readonly #lanes = new Map<string, Lane>();
  readonly #byTarget = new Map<string, Lane[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Adds a request to its lane. */
  add(queued: QueuedRequest): void {
    // Suspect requests get a lane of their own: requests with the same fingerprint
    // run one at a time and must not block requests of other fingerprints.
    const base = request.getLaneKey(queued.request);
    const suspect = queued.suspect ? "|suspect" : "";
    const key = `${base}${suspect}${queued.missedTarget ? "|late" : ""}`;
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      lane = new Lane(key, queued);
      // Software versions come and go for as long as the host runs.
      if (lane.isBound) this.#dropBoundLanes();
      this.#lanes.set(key, lane);
      const lanes = this.#byTarget.get(lane.target) ?? [];
      this.#byTarget.set(lane.target, [...lanes, lane]);
    }
    lane.add(queued);
    this.#size += 1;
  }

  /** Drops the empty lanes that are bound to a software version. */
  #dropBoundLanes(): void {
    const isDropped = (lane: Lane) => lane.isBound && lane.size === 0;
    this.#lanes.forEach((lane, key) => {
      if (isDropped(lane)) this.#lanes.delete(key);
    });
    this.#byTarget.forEach((lanes, target) =>
      this.#byTarget.set(target, lanes.filter((lane) => !isDropped(lane)))
    );
  }

  /** Removes and returns the next request of a lane, and charges its customer `cost`. */
  take(lane: Lane, cost: number): QueuedRequest | undefined {
    const taken = lane.take(cost);
    if (taken !== undefined) this.#size -= 1;
    return taken;
  }

  /** Removes the requests that `matches` holds for, and returns them. */
  removeWhere(matches: (queued: QueuedRequest) => boolean): QueuedRequest[] {
    const removed = [...this.#lanes.values()]
      .filter((lane) => lane.size > 0)
      .flatMap((lane) => lane.removeWhere(matches));
    this.#size -= removed.length;
    return removed;
  }

  /** Removes and returns all requests of a lane. */
  removeAll(lane: Lane): QueuedRequest[] {
    const removed = lane.removeWhere(() => true);
    this.#size -= removed.length;
    return removed;
  }

  /** Removes the overdue requests of each lane; see {@link Lane.removeOverdue}. */
  removeOverdue(
    isOverdue: (queued: QueuedRequest) => boolean,
  ): QueuedRequest[] {
    const removed = this.listNonEmptyLanes()
      .flatMap((lane) => lane.removeOverdue(isOverdue));
    this.#size -= removed.length;
    return removed;
  }

  /** Removes the newest request of the lowest tier that is lower than `tier`. */
  removeLowestTier(tier: number): QueuedRequest | undefined {
    const lowest = this.listNonEmptyLanes()
      .filter((lane) => lane.tier > tier)
      .toSorted((a, b) => b.tier - a.tier)[0];
    const removed = lowest?.removeNewest();
    if (removed !== undefined) this.#size -= 1;
    return removed;
  }

  /** Lists the non-empty lanes of some targets. */
  listNonEmptyLanesFor(targets: readonly string[]): Lane[] {
    return targets.flatMap((target) => this.#byTarget.get(target) ?? [])
      .filter((lane) => lane.size > 0);
  }

  /** Lists the non-empty lanes, the highest tier first. */
  listNonEmptyLanes(): Lane[] {
    return [...this.#lanes.values()]
      .filter((lane) => lane.size > 0)
      .toSorted((a, b) => a.tier - b.tier);
  }
}
