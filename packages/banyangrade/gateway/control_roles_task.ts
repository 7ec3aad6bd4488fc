/**
 * Runs the control roles: reporting usage windows and ordering backend servers.
 * One host at a time holds both roles, under a single lease.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as usage from "@banyangrade/usage";
import * as utils from "@banyangrade/utils";
import * as scalingOrders from "./scaling_orders.ts";
import type * as platformInterface from "./platform_interface.ts";

/** Safety margin of the lease for clock drift and scheduling delays, in ms. */
const LEASE_MARGIN_MS = 400;
/** Interval at which some candidate checks whether the lease is free, in ms; with more candidates each one checks less often. */
const LEASE_ATTEMPT_MS = 300;
/** Rounds of the lease holder per duration of the lease. */
const ROUNDS_PER_LEASE = 4;
/** Name of the lease in the store. */
const ROLE = "platform";
/** Interval between usage reports, in ms. */
const REPORT_MS = 1_000;
/** Interval between rounds of orders, in ms. */
const ORDERS_MS = 1_000;
/** Shortest time after a window's end before it is fixed, in ms; covers a publication of the hosts' counts and a request that has just begun. */
const COUNTS_ARRIVAL_MS = 1_500;
/** Share of the time until a report is due after which a window is fixed without the counts of a few unreachable hosts. */
const PARTIAL_SHARE = 0.5;
/** Time before a report is due at which a window is fixed in any case, in ms; covers a round and its calls. */
const FIX_MARGIN_MS = 1_500;
/** Age up to which the hosts' statuses may be used, in ms; two rounds. */
const STATUSES_VALID_MS = 2_500;
/** Name under which windows are reported for all failure domains together. */
const ALL_DOMAINS = "all";

/** Options of {@link RolesTask}. */
export interface RolesOptions {
  readonly settings: platformInterface.GatewaySettings;
  readonly platform: platformInterface.Platform;
  /** Includes the time for which the process was suspended, so that a lease expires meanwhile. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly incarnation: string;
  readonly getTrueTime: () => number;
  readonly getConfiguration: () => core.RoutingConfiguration | undefined;
  readonly listServers: () => readonly core.ListedServer[];
  /** Whether a failure domain is being evacuated by the operators. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Returns the published statuses of all hosts. */
  readonly listStatuses: () => readonly core.HostStatus[];
  /** Returns the monotonic time at which these statuses were read. */
  readonly getStatusesAt: () => number;
  /** Counts the hosts that are candidates for the roles. */
  readonly countCandidates: () => number;
  /** Whether this host is a candidate for the roles. */
  readonly isCandidate: () => boolean;
}

/** Acquires the control roles and does their work. */
export class RolesTask {
  readonly #options: RolesOptions;
  readonly #collector = new core.WindowCollector();
  readonly #orders: scalingOrders.ScalingOrders;
  #holder: store.LeaseHolder | undefined;
  #round = 0;
  #stops: (() => void)[] = [];

  constructor(options: RolesOptions) {
    this.#options = options;
    this.#orders = new scalingOrders.ScalingOrders({
      ...options,
      getLease: () => this.#getLease(),
    });
  }

  start(): void {
    if (this.#options.settings.roles.length === 0) return;
    this.#holder = this.#startHolder();
    this.#stops = [
      utils.startInterval({
        ms: REPORT_MS,
        onError: utils.createErrorLog(this.#options.log, "roles.report"),
      }, () => this.#reportUsage()),
      utils.startInterval({
        ms: ORDERS_MS,
        onError: utils.createErrorLog(this.#options.log, "roles.orders"),
      }, () => this.#sendOrders()),
    ];
  }

  /** Releases the roles. */
  async stop(): Promise<void> {
    this.#stops.splice(0).forEach((stop) => stop());
    const holder = this.#holder;
    this.#holder = undefined;
    await holder?.release();
  }

  /** Whether this host holds the roles. */
  hasRole(): boolean {
    return this.#getLease().kind === "held";
  }

  #startHolder(): store.LeaseHolder {
    const { settings, platform, clock, log, incarnation } = this.#options;
    return store.startLeaseHolder({
      store: platform.store,
      clock,
      log,
      role: ROLE,
      host: settings.host,
      incarnation,
      terms: { ttlMs: settings.leaseMs, marginMs: LEASE_MARGIN_MS },
      // Every call carries the fencing token and the platform rejects old tokens, so
      // no time is reserved for calls in flight.
      flightMs: 0,
      isCandidate: () => {
        this.#round += 1;
        return this.#options.isCandidate() &&
          this.#round % this.#countRoundsPerTry() === 0;
      },
      onChange: () => {
        this.#orders.forgetSent();
        this.#sendOrders();
      },
    });
  }

  #countRoundsPerTry(): number {
    const roundMs = this.#options.settings.leaseMs / ROUNDS_PER_LEASE;
    const tries = this.#options.countCandidates() * LEASE_ATTEMPT_MS / roundMs;
    return Math.max(1, Math.round(tries));
  }

  #getLease(): core.LeaseState {
    return this.#holder?.getLease() ?? { kind: "none" };
  }

  /** Whether this host holds the roles and the deployment has the given one. */
  #hasControlRole(role: platformInterface.ControlRole): boolean {
    return this.hasRole() && this.#options.settings.roles.includes(role);
  }

  async #reportUsage(): Promise<void> {
    if (!this.#hasControlRole("usage")) return;
    const { platform, clock, log } = this.#options;
    // A host that has just acquired the roles has not read the other hosts' counts.
    const age = clock.now() - this.#options.getStatusesAt();
    if (age > STATUSES_VALID_MS) return;
    this.#collector.setTables(
      this.#options.listStatuses().map((status) => status.usage),
    );
    const round = await usage.reportWindows({
      store: platform.store,
      usage: platform.usage,
      clock,
      getLease: () => this.#getLease(),
      collector: {
        setCounted: () => this.#collector.setCounted(),
        buildWindow: (window, domain) => this.#countWindow(window, domain),
      },
      failureDomain: ALL_DOMAINS,
      lastClosed: this.#findLastClosed(),
    });
    if (round.fixed + round.reported > 0) {
      const { fixed, reported } = round;
      log.info({ fixed, reported }, "Usage windows reported.");
    }
    if (round.error !== undefined) {
      log.warn(
        { error: round.error },
        "Usage report failed; the next round retries.",
      );
    }
  }

  /** Counts a window from the statuses of all hosts, and logs the hosts whose status is older than its end. */
  #countWindow(window: number, failureDomain: string): core.FinalWindow {
    const fixed = this.#collector.buildWindow(window, failureDomain);
    const { listStatuses, log, getTrueTime, settings } = this.#options;
    const end = (window + 1) * settings.usageWindowMs;
    const statuses = core.listCurrentStatuses(listStatuses());
    log.info({
      window,
      requests: Object.values(fixed.figures)
        .reduce((sum, { requests }) => sum + requests, 0),
      sinceEndMs: Math.round(getTrueTime() - end),
      hosts: statuses.length,
      behind: statuses.filter(({ at }) => at < end).map(({ host }) => host),
    }, "Usage window counted.");
    return fixed;
  }

  /** Finds the latest window that can be fixed. */
  #findLastClosed(): number {
    const { settings, getTrueTime, listStatuses } = this.#options;
    return core.findNewestFinalWindow({
      now: getTrueTime(),
      publishedAt: core.listCurrentStatuses(listStatuses()).map(({ at }) => at),
      windowMs: settings.usageWindowMs,
      minDelayMs: COUNTS_ARRIVAL_MS,
      halfPublishedDelayMs: PARTIAL_SHARE * settings.usageDueMs,
      maxDelayMs: settings.usageDueMs - FIX_MARGIN_MS,
    });
  }

  /** Returns how engines are divided between short and long prompts; undefined while this host does not hold the roles. */
  getDivisions(): core.EngineDivisionDecision | undefined {
    return this.hasRole() ? this.#orders.getDivisions() : undefined;
  }

  #sendOrders(): void {
    if (!this.hasRole()) return;
    this.#orders.divideEngines();
    if (this.#hasControlRole("orders")) this.#orders.send();
  }
}
