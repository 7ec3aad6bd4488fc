/**
 * Keeps all hosts together within a rate of requests, without a coordinator.
 * Hosts do not learn of each other's requests in time, so each host gets its own
 * permits: one per period, with a random phase. The period is the time between
 * two requests at the rate, times the number of hosts. A host needs only the
 * approximate number of hosts, not what each of them sends.
 */
import type * as utils from "@banyangrade/utils";

/** A rate of requests that all hosts together must not exceed. */
export interface SharedRate {
  readonly name: string;
  /** Permits per second of all hosts together. */
  readonly perSecond: number;
  /** Lifetime of a permit, in ms. Permits that never expired would all be used at once by a burst. */
  readonly permitMs: number;
}

/** Progress of a host between two permits. */
interface PermitState {
  /** Elapsed fraction of the current period, in [0, 1). */
  readonly phase: number;
  /** Time at which `phase` was computed, monotonic ms. */
  readonly at: number;
  /** Expiry of the latest permit, monotonic ms. */
  readonly expiresAt: number;
}

/** The permits of one host. */
export class RatePermits {
  readonly #random: utils.Random;
  readonly #states = new Map<string, PermitState>();
  #hosts: number | undefined;

  constructor(options: { readonly random: utils.Random }) {
    this.#random = options.random;
  }

  /** Sets the number of hosts; the host gets no permit before that. */
  setHosts(hosts: number): void {
    this.#hosts = Math.max(1, hosts);
  }

  /** Whether this host has a permit to send a request. */
  has(rate: SharedRate, now: number): boolean {
    const periodMs = this.#getPeriodMs(rate);
    if (periodMs === undefined) {
      this.#states.delete(rate.name);
      return false;
    }
    const known = this.#states.get(rate.name) ??
      { phase: this.#random.next(), at: now, expiresAt: -Infinity };
    const elapsed = known.phase + (now - known.at) / periodMs;
    const phase = elapsed % 1;
    const expiresAt = elapsed >= 1
      ? now - phase * periodMs + rate.permitMs
      : known.expiresAt;
    this.#states.set(rate.name, { phase, at: now, expiresAt });
    return now <= expiresAt;
  }

  /** Returns the time until this host has a permit, in ms; 0 if it has one or the number of hosts is unknown. */
  getWaitMs(rate: SharedRate, now: number): number {
    const periodMs = this.#getPeriodMs(rate);
    if (periodMs === undefined || this.has(rate, now)) return 0;
    const phase = this.#states.get(rate.name)?.phase ?? 0;
    return (1 - phase) * periodMs;
  }

  /** Uses up the current permit of a rate. */
  use(name: string): void {
    const known = this.#states.get(name);
    if (known === undefined) return;
    this.#states.set(name, { ...known, expiresAt: -Infinity });
  }

  /** Forgets a rate that no longer applies. */
  forget(name: string): void {
    this.#states.delete(name);
  }

  /** Returns the time between two permits of this host, in ms; undefined while the host gets none. */
  #getPeriodMs({ perSecond }: SharedRate): number | undefined {
    if (this.#hosts === undefined || perSecond <= 0) return undefined;
    return 1_000 * this.#hosts / perSecond;
  }
}
