/**
 * Scales the backend servers and divides engines between short and long prompts;
 * run by the host that holds the control roles.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as platformInterface from "./platform_interface.ts";

/** Time after which an order without effect is sent again, in ms, in addition to the boot time of a server. */
const RESEND_MS = 3_000;

/** Options of {@link ScalingOrders}. */
export interface ScalingOrdersOptions {
  readonly settings: Pick<platformInterface.GatewaySettings, "failureDomains">;
  readonly platform: Pick<platformInterface.Platform, "sendOrder">;
  /** Includes the time for which the process was suspended, so that a lease expires meanwhile. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly getLease: () => core.LeaseState;
  readonly getTrueTime: () => number;
  readonly getConfiguration: () => core.RoutingConfiguration | undefined;
  readonly listServers: () => readonly core.ListedServer[];
  /** Whether a failure domain is being evacuated by the operators. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** Returns the published statuses of all hosts. */
  readonly listStatuses: () => readonly core.HostStatus[];
}

interface SentOrder {
  readonly order: platformInterface.ScalingOrder;
  readonly at: number;
  /** Highest number of servers of this kind that were ready since the order was sent. */
  mostReady: number;
  /** Whether the response was lost: the order may still be carried out, or never. */
  unanswered: boolean;
}

/** An order without its fencing token. */
interface PlannedOrder {
  readonly order: Omit<platformInterface.ScalingOrder, "fencingToken">;
  /** Boot time of a server, in ms. */
  readonly bootMs: number;
  /** Demand for which the order was planned; logged with it. */
  readonly demand: core.PromptDemand;
}

/** Plans and sends the scaling orders, round by round. */
export class ScalingOrders {
  readonly #options: ScalingOrdersOptions;
  readonly #planners = new Map<string, core.DomainPlanner>();
  readonly #sent = new Map<string, SentOrder>();
  /** Keys of orders that have no response yet. */
  readonly #inFlight = new Set<string>();
  #divisions: core.EngineDivisionDecision | undefined;

  constructor(options: ScalingOrdersOptions) {
    this.#options = options;
  }

  /** Forgets the sent orders after a change of the lease: another host may have sent different ones. */
  forgetSent(): void {
    this.#sent.clear();
  }

  getDivisions(): core.EngineDivisionDecision | undefined {
    return this.#divisions;
  }

  /** Decides how engines are divided between short and long prompts. */
  divideEngines(): void {
    const { listStatuses, getTrueTime, getConfiguration } = this.#options;
    const services = getConfiguration()?.services ?? [];
    const statuses = core.listCurrentStatuses(listStatuses());
    const before = this.#divisions?.byService ?? {};
    const byService = Object.fromEntries(
      services.flatMap(({ name, engine }) => {
        if (engine === undefined) return [];
        const known = before[name] ?? core.INITIAL_DIVISION;
        const division = core.decideDivision({
          demand: core.sumDemand(statuses, name),
          engines: this.#listReady(name).length,
          slots: engine.slots,
        }, known);
        return [[name, division]];
      }),
    );
    this.#divisions = { at: getTrueTime(), byService };
    this.#recordDivisionChanges(before, byService);
  }

  #recordDivisionChanges(
    before: core.EngineDivisionDecision["byService"],
    now: core.EngineDivisionDecision["byService"],
  ): void {
    Object.entries(now)
      .filter(([service, { kind }]) => before[service]?.kind !== kind)
      .forEach(([service, division]) => {
        const demand = core.sumDemand(
          core.listCurrentStatuses(this.#options.listStatuses()),
          service,
        );
        this.#options.log.info(
          { service, division, demand },
          "Engine division changed.",
        );
      });
  }

  /** Sends all due orders concurrently, so that an order without a response does not delay the rest. */
  send(): void {
    const services = this.#options.getConfiguration()?.services ?? [];
    services.forEach((service) => this.#sendService(service));
  }

  #sendService(service: core.RoutedService): void {
    this.#planService(service).forEach((planned) =>
      utils.runDetached(
        () => this.#sendOrder(planned, service),
        utils.createErrorLog(this.#options.log, "roles.order"),
      )
    );
  }

  /** Counts the ready servers of the service, failure domain and kind of an order. */
  #countReady({ order }: PlannedOrder): number {
    const domain = this.#countServers(order.service)
      .find((one) => one.failureDomain === order.failureDomain);
    return (order.spot ? domain?.spot : domain?.ordinary) ?? 0;
  }

  #planService(service: core.RoutedService): PlannedOrder[] {
    const { scaling, engine, name } = service;
    if (scaling === undefined) return [];
    const planner = this.#planners.get(name) ?? new core.DomainPlanner();
    this.#planners.set(name, planner);
    const demand = core.sumDemand(
      core.listCurrentStatuses(this.#options.listStatuses()),
      name,
    );
    const planned = planner.plan({
      bounds: scaling,
      slots: engine?.slots ?? 1,
      demand: demand.short + demand.long,
      reading: demand.reading,
      servers: this.#countServers(name),
    }, this.#options.clock.now());
    return planned.flatMap(({ failureDomain, ordinary, spot }) =>
      ([[true, spot], [false, ordinary]] as const).flatMap(([isSpot, count]) =>
        count === undefined
          ? []
          : [{ service: name, failureDomain, spot: isSpot, count }]
      )
    ).map((order) => ({ order, bootMs: scaling.bootMs, demand }));
  }

  #listReady(service: string): core.ListedServer[] {
    return this.#options.listServers().filter((server) =>
      server.service === service && server.state === "ready" &&
      !this.#options.isEvacuated(server.failureDomain)
    );
  }

  #countServers(service: string): core.DomainServers[] {
    const ready = this.#listReady(service);
    // The servers of an evacuated failure domain are kept: they are used again when
    // the evacuation ends.
    const usableDomains = this.#options.settings.failureDomains
      .filter((one) => !this.#options.isEvacuated(one));
    return usableDomains.map((failureDomain) => {
      const servers = ready.filter((one) =>
        one.failureDomain === failureDomain
      );
      const spot = servers.filter((one) => one.spot).length;
      return { failureDomain, spot, ordinary: servers.length - spot };
    });
  }

  async #sendOrder(
    planned: PlannedOrder,
    service: core.RoutedService,
  ): Promise<void> {
    const { platform, clock, log } = this.#options;
    const { order: wanted } = planned;
    const key = `${wanted.service}/${wanted.failureDomain}/${wanted.spot}`;
    const now = clock.now();
    const count = this.#countReady(planned);
    const due = isDue(planned, { sent: this.#sent.get(key), now, count });
    if (!due || this.#inFlight.has(key)) return;
    const lease = this.#options.getLease();
    // There must be no await between this check and the send: a process that was
    // paused would otherwise send an order after its lease has expired.
    if (lease.kind === "none" || !core.mayAct(lease, now)) return;
    const order = { ...wanted, fencingToken: lease.token };
    const record = { order, at: now, mostReady: count, unanswered: false };
    this.#sent.set(key, record);
    this.#inFlight.add(key);
    const sent = await platform.sendOrder(order)
      .finally(() => this.#inFlight.delete(key));
    const error = sent.err ? sent.val : undefined;
    log.info(
      { ...order, demand: planned.demand, error },
      "Scaling order sent.",
    );
    if (sent.ok) return;
    const planner = this.#planners.get(wanted.service);
    if (sent.val.code === "unknown_outcome") {
      record.unanswered = true;
      planner?.recordLostResponse(wanted, clock.now());
    }
    // A conflict means that a newer lease holder was seen, or that the platform has
    // no reclaimable servers left. It does not say which, so the latter is assumed.
    if (!wanted.spot || sent.val.code !== "conflict") return;
    this.#sent.delete(key);
    planner?.recordSpotUnavailable(wanted.failureDomain, now);
    // Their replacements are ordered at once, as they take seconds to boot.
    this.#sendService(service);
  }
}

/**
 * Whether an order must be sent: it is new, its response was lost, it had no
 * effect in time, or servers were lost since. The loss is measured against the
 * highest number of ready servers, not the ordered number: the platform may
 * reclaim servers that are still booting, and waiting for these would delay their
 * replacement.
 */
function isDue(
  { order: wanted, bootMs }: PlannedOrder,
  { sent, now, count }: {
    readonly sent: SentOrder | undefined;
    readonly now: number;
    /** Number of ready servers of this kind. */
    readonly count: number;
  },
): boolean {
  if (sent === undefined || sent.order.count !== wanted.count) return true;
  const lost = count < Math.min(sent.mostReady, wanted.count);
  sent.mostReady = Math.max(sent.mostReady, count);
  const isLate = now - sent.at > bootMs + RESEND_MS;
  return lost || count !== wanted.count && (sent.unanswered || isLate);
}
