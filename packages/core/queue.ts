/**
 * The host's queue: one lane for each class, target and set of pools; in a
 * lane, customers take turns by served cost; a customer's own requests are
 * served in order of arrival.
 */
import * as tinyqueue from "tinyqueue";
import * as request from "./request.ts";

/** A queued request and the offset from which it is to be resumed. */
export interface QueuedRequest {
  readonly request: request.Request;
  readonly attempt: number;
  /** Attempts so far of which no byte left this host. */
  readonly unsent: number;
  readonly offset: number;
  /** Whether any attempt so far may have run. */
  readonly ran: request.Ran;
  /** A server was lost while it ran this request or one like it. */
  readonly suspect: boolean;
  /** It waited so long that its class's target is missed whatever happens. */
  readonly late: boolean;
  /** It has waited already, and goes before its customer's others. */
  readonly first: boolean;
  /** Times its refusal was put off because lower work still ran. */
  readonly postponed: number;
  /** Server of the failed attempt before. */
  readonly avoid?: string;
}

interface Turn {
  readonly customer: string;
  readonly virtualTime: number;
}

/** Requests that compete for the same servers with the same class. */
export class Lane {
  readonly key: string;
  readonly className: string;
  readonly tier: number;
  readonly target: string;
  readonly pools: readonly string[];
  /** Whether its requests have missed their target already. */
  readonly late: boolean;
  readonly #waiting = new Map<string, QueuedRequest[]>();
  readonly #virtualTimes = new Map<string, number>();
  readonly #turns = new tinyqueue.default<Turn>(
    [],
    (a, b) => a.virtualTime - b.virtualTime,
  );
  #clock = 0;
  #size = 0;

  constructor(key: string, first: QueuedRequest) {
    this.key = key;
    this.className = first.request.className;
    this.tier = first.request.tier;
    this.target = first.request.target;
    this.pools = first.request.pools;
    this.late = first.late;
  }

  get size(): number {
    return this.#size;
  }

  /**
   * Adds a request. A customer that was idle starts at the lane's clock, so
   * that it banks no credit for the time it asked for nothing.
   */
  add(queued: QueuedRequest): void {
    const customer = queued.request.customer;
    const waiting = this.#waiting.get(customer);
    this.#size += 1;
    if (waiting !== undefined && waiting.length > 0) {
      if (queued.first) waiting.unshift(queued);
      else waiting.push(queued);
      return;
    }
    this.#waiting.set(customer, [queued]);
    const own = this.#virtualTimes.get(customer) ?? 0;
    const virtualTime = Math.max(own, this.#clock);
    this.#virtualTimes.set(customer, virtualTime);
    this.#turns.push({ customer, virtualTime });
  }

  /**
   * Counts the requests that are served before a new one of a customer.
   * Customers take turns, so it waits for its own and for as many of each of
   * the others: one customer's long queue is no reason to refuse another.
   */
  countAhead(customer: string): number {
    const own = this.#waiting.get(customer)?.length ?? 0;
    const others = this.#waiting.size - (own > 0 ? 1 : 0);
    return Math.min(this.#size, own + (own + 1) * others);
  }

  /** Returns the request whose turn it is, without taking it. */
  peek(): QueuedRequest | undefined {
    const turn = this.#findTurn();
    return turn && this.#waiting.get(turn.customer)?.[0];
  }

  /** Takes the request whose turn it is and charges its customer `cost`. */
  take(cost: number): QueuedRequest | undefined {
    const turn = this.#findTurn();
    if (turn === undefined) return undefined;
    this.#turns.pop();
    const waiting = this.#waiting.get(turn.customer) as QueuedRequest[];
    const taken = waiting.shift() as QueuedRequest;
    this.#size -= 1;
    this.#clock = Math.max(this.#clock, turn.virtualTime);
    const virtualTime = turn.virtualTime + cost / taken.request.weight;
    this.#virtualTimes.set(turn.customer, virtualTime);
    if (waiting.length > 0) {
      this.#turns.push({ customer: turn.customer, virtualTime });
    } else this.#waiting.delete(turn.customer);
    this.#forgetIdle();
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
   * Removes the requests at the front that `isOverdue` holds for. Requests of a
   * customer stand in order of arrival, but for those that come back, so the
   * rest need not be looked at.
   */
  removeOverdue(
    isOverdue: (queued: QueuedRequest) => boolean,
  ): QueuedRequest[] {
    const removed: QueuedRequest[] = [];
    [...this.#waiting].forEach(([customer, waiting]) => {
      const inTime = waiting.findIndex((queued) =>
        !queued.first && !isOverdue(queued)
      );
      const front = waiting.slice(0, inTime < 0 ? waiting.length : inTime);
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

  /** Removes the request that has waited least, for shedding. */
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

  /** Drops turns of customers whose requests were all removed. */
  #findTurn(): Turn | undefined {
    while (this.#turns.length > 0) {
      const turn = this.#turns.peek() as Turn;
      const waiting = this.#waiting.get(turn.customer);
      const current = this.#virtualTimes.get(turn.customer);
      if (waiting !== undefined && current === turn.virtualTime) return turn;
      this.#turns.pop();
    }
    return undefined;
  }

  /** Virtual times behind the clock carry no information; keep memory bounded. */
  #forgetIdle(): void {
    if (this.#virtualTimes.size <= 2 * this.#waiting.size + 64) return;
    [...this.#virtualTimes].forEach(([customer, virtualTime]) => {
      if (!this.#waiting.has(customer) && virtualTime <= this.#clock) {
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
    // Suspects wait by themselves: they may have to wait for each other, and
    // must not hold up the requests behind them.
    const base = request.getLaneKey(queued.request);
    const suspect = queued.suspect ? "|suspect" : "";
    const key = `${base}${suspect}${queued.late ? "|late" : ""}`;
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      lane = new Lane(key, queued);
      this.#lanes.set(key, lane);
      const same = this.#byTarget.get(lane.target) ?? [];
      this.#byTarget.set(lane.target, [...same, lane]);
    }
    lane.add(queued);
    this.#size += 1;
  }

  /** Takes the next request of a lane. */
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

  /** Removes everything of a lane. */
  removeAll(lane: Lane): QueuedRequest[] {
    const removed = lane.removeWhere(() => true);
    this.#size -= removed.length;
    return removed;
  }

  /** Removes the overdue requests of each lane; see {@link Lane.removeOverdue}. */
  removeOverdue(
    isOverdue: (queued: QueuedRequest) => boolean,
  ): QueuedRequest[] {
    const removed = this.listWaiting()
      .flatMap((lane) => lane.removeOverdue(isOverdue));
    this.#size -= removed.length;
    return removed;
  }

  /** Removes the newest request of the lowest tier that is lower than `tier`. */
  removeLowest(tier: number): QueuedRequest | undefined {
    const lowest = this.listWaiting()
      .filter((lane) => lane.tier > tier)
      .toSorted((a, b) => b.tier - a.tier)[0];
    const removed = lowest?.removeNewest();
    if (removed !== undefined) this.#size -= 1;
    return removed;
  }

  /** Lists the lanes that hold requests for some targets. */
  listWaitingFor(targets: readonly string[]): Lane[] {
    return targets.flatMap((target) => this.#byTarget.get(target) ?? [])
      .filter((lane) => lane.size > 0);
  }

  /** Lists the lanes that hold requests, the highest tier first. */
  listWaiting(): Lane[] {
    return [...this.#lanes.values()]
      .filter((lane) => lane.size > 0)
      .toSorted((a, b) => a.tier - b.tier);
  }
}
