/** The control roles, usage windows and orders: one host at a time holds both, by one lease. */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as usage from "@banyangrade/usage";
import * as utils from "@banyangrade/utils";
import * as ordersRound from "./orders_round.ts";
import type * as ports from "./ports.ts";

/** Margin of a lease for clock drift and scheduling, in ms. */
const LEASE_MARGIN_MS = 400;
/** Between two looks of any host whether the lease is free, in ms; with more hosts each one looks more seldom. */
const TRY_MS = 300;
/** Rounds of the lease task within the lease's length. */
const ROUNDS_PER_LEASE = 4;
/** Role under which the lease lies in the store. */
const ROLE = "platform";
/** Between two rounds of reports, in ms. */
const REPORT_MS = 1_000;
/** Between two rounds of orders, in ms. */
const ORDERS_MS = 1_000;
/** Least time after a window's end for the hosts' counts to arrive, in ms: a publication and a request that was just begun. */
const COUNTS_MS = 1_500;
/** Part of the time until a report is due after which a window is fixed without the counts of a few hosts that are out of reach. */
const PARTIAL_SHARE = 0.5;
/** Time before a report is due at which a window is fixed in any case, in ms: a round and the calls. */
const FIX_MARGIN_MS = 1_500;
/** Age up to which the hosts' statuses count as read, in ms: two rounds. */
const STATUSES_VALID_MS = 2_500;
/** All usage windows are one subject. */
const ALL_DOMAINS = "all";

/** Options of {@link RolesTask}. */
export interface RolesOptions {
  readonly settings: ports.RoutedSettings;
  readonly platform: ports.Platform;
  /** Counts suspensions, so that a lease does not outlast one. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly incarnation: string;
  readonly getTrueTime: () => number;
  readonly getConfiguration: () => core.RoutingConfiguration | undefined;
  readonly listServers: () => readonly core.ListedServer[];
  /** Whether operators have a failure domain emptied. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** The published statuses of all hosts. */
  readonly listStatuses: () => readonly core.HostStatus[];
  /** Monotonic time at which they were read. */
  readonly getStatusesAt: () => number;
  /** Hosts that try for the roles. */
  readonly countCandidates: () => number;
  /** Whether this host is one of them. */
  readonly isCandidate: () => boolean;
}

/** Tries for the roles and does their work. */
export class RolesTask {
  readonly #options: RolesOptions;
  readonly #collector = new core.WindowCollector();
  readonly #orders: ordersRound.OrdersRound;
  #holder: store.LeaseHolder | undefined;
  #round = 0;
  #stops: (() => void)[] = [];

  constructor(options: RolesOptions) {
    this.#options = options;
    this.#orders = new ordersRound.OrdersRound({
      ...options,
      getLease: () => this.#getLease(),
    });
  }

  start(): void {
    if (this.#options.settings.roles.length === 0) return;
    this.#holder = this.#startHolder();
    this.#stops = [
      utils.startInterval(REPORT_MS, () => this.#report()),
      utils.startInterval(ORDERS_MS, () => this.#order()),
    ];
  }

  /** Gives the roles back. */
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
      // Every call bears the fencing token, and the platform refuses old ones.
      flightMs: 0,
      isCandidate: () => {
        this.#round += 1;
        return this.#options.isCandidate() &&
          this.#round % this.#countRoundsPerTry() === 0;
      },
      onChange: () => {
        this.#orders.forgetSent();
        this.#order();
      },
    });
  }

  #countRoundsPerTry(): number {
    const roundMs = this.#options.settings.leaseMs / ROUNDS_PER_LEASE;
    const tries = this.#options.countCandidates() * TRY_MS / roundMs;
    return Math.max(1, Math.round(tries));
  }

  #getLease(): core.LeaseState {
    return this.#holder?.getLease() ?? { kind: "none" };
  }

  /** Whether this host does the work of a role now. */
  #isInCharge(role: ports.ControlRole): boolean {
    return this.hasRole() && this.#options.settings.roles.includes(role);
  }

  async #report(): Promise<void> {
    if (!this.#isInCharge("usage")) return;
    const { platform, clock, log } = this.#options;
    // A host that has just won the role has not read the others' counts yet.
    const age = clock.now() - this.#options.getStatusesAt();
    if (age > STATUSES_VALID_MS) return;
    this.#collector.setTables(
      this.#options.listStatuses().map((word) => word.usage),
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
      log.info({ fixed, reported }, "Windows reported.");
    }
    if (round.error !== undefined) {
      log.warn({ error: round.error }, "Window report put off.");
    }
  }

  /** Counts a window from the statuses of all hosts, and says which. */
  #countWindow(window: number, failureDomain: string): core.FixedWindow {
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
    }, "Window counted.");
    return fixed;
  }

  /** Finds the newest window that can be fixed. */
  #findLastClosed(): number {
    const { settings, getTrueTime, listStatuses } = this.#options;
    return core.findLastWindow({
      now: getTrueTime(),
      publishedAt: core.listCurrentStatuses(listStatuses()).map(({ at }) => at),
      windowMs: settings.usageWindowMs,
      countsMs: COUNTS_MS,
      partialMs: PARTIAL_SHARE * settings.usageDueMs,
      latestMs: settings.usageDueMs - FIX_MARGIN_MS,
    });
  }

  /** How engines are divided; undefined while this host does not decide it. */
  getDivisions(): core.DecidedDivisions | undefined {
    return this.hasRole() ? this.#orders.getDivisions() : undefined;
  }

  #order(): void {
    if (!this.hasRole()) return;
    this.#orders.divide();
    if (this.#isInCharge("orders")) this.#orders.send();
  }
}
