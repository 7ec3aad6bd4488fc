/** What the host in charge decides of backend servers: how many there are, and how engines are divided. */
import * as core from "@banyangrade/core";
import type * as utils from "@banyangrade/utils";
import type * as ports from "./ports.ts";

/** Time after which an order that shows no effect is sent again, in ms, beyond the time a server takes to start. */
const REPEAT_MS = 3_000;

/** Options of {@link OrdersRound}. */
export interface OrdersRoundOptions {
  readonly settings: Pick<ports.RoutedSettings, "failureDomains">;
  readonly platform: Pick<ports.Platform, "sendOrder">;
  /** Counts suspensions, so that a lease does not outlast one. */
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  readonly getLease: () => core.LeaseState;
  readonly getTrueTime: () => number;
  readonly getConfiguration: () => core.RoutingConfiguration | undefined;
  readonly listServers: () => readonly core.ListedServer[];
  /** Whether operators have a failure domain emptied. */
  readonly isEvacuated: (failureDomain: string) => boolean;
  /** The published statuses of all hosts. */
  readonly listStatuses: () => readonly core.HostStatus[];
}

interface SentOrder {
  readonly order: ports.DomainOrder;
  readonly at: number;
  /** Most servers of the kind that were ready since. */
  most: number;
  /** Set where its answer was lost: it may be carried out late, or never. */
  unanswered: boolean;
}

/** An order before its fencing token is known. */
interface PlannedOrder {
  readonly order: Omit<ports.DomainOrder, "fencingToken">;
  /** Time that a server takes to start, in ms. */
  readonly bootMs: number;
  /** What it was decided by. */
  readonly demand: core.PromptDemand;
}

/** Plans and sends orders, round by round. */
export class OrdersRound {
  readonly #options: OrdersRoundOptions;
  readonly #planners = new Map<string, core.DomainPlanner>();
  readonly #sent = new Map<string, SentOrder>();
  /** Orders that have no answer yet. */
  readonly #calling = new Set<string>();
  #divisions: core.DecidedDivisions | undefined;

  constructor(options: OrdersRoundOptions) {
    this.#options = options;
  }

  /** Forgets what was sent: another host may have sent something else since. */
  forgetSent(): void {
    this.#sent.clear();
  }

  getDivisions(): core.DecidedDivisions | undefined {
    return this.#divisions;
  }

  /** Decides how engines are divided between short and long prompts. */
  divide(): void {
    const { listStatuses, getTrueTime, getConfiguration } = this.#options;
    const services = getConfiguration()?.services ?? [];
    const statuses = core.listCurrentStatuses(listStatuses());
    const before = this.#divisions?.byService ?? {};
    const byService = Object.fromEntries(
      services.flatMap(({ name, engine }) => {
        if (engine === undefined) return [];
        const known = before[name] ?? core.DIVISION_AT_FIRST;
        const division = core.decideDivision({
          demand: core.sumDemand(statuses, name),
          engines: this.#listReady(name).length,
          slots: engine.slots,
        }, known);
        return [[name, division]];
      }),
    );
    this.#divisions = { at: getTrueTime(), byService };
    this.#recordChanges(before, byService);
  }

  #recordChanges(
    before: core.DecidedDivisions["byService"],
    now: core.DecidedDivisions["byService"],
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
          "Engines divided.",
        );
      });
  }

  /** Sends the orders that are due, all at once: one that gets no answer must not hold up the others. */
  send(): void {
    const services = this.#options.getConfiguration()?.services ?? [];
    services.forEach((service) => this.#sendService(service));
  }

  #sendService(service: core.RoutedService): void {
    this.#planService(service).forEach((planned) =>
      void this.#sendOrder(planned, service)
    );
  }

  /** Counts the servers that are ready of what an order is for. */
  #countOrdered({ order }: PlannedOrder): number {
    const there = this.#countServers(order.service)
      .find((one) => one.failureDomain === order.failureDomain);
    return (order.spot ? there?.spot : there?.ordinary) ?? 0;
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
    // One that is emptied is left as it is: its servers return with it.
    const open = this.#options.settings.failureDomains
      .filter((one) => !this.#options.isEvacuated(one));
    return open.map((failureDomain) => {
      const own = ready.filter((one) => one.failureDomain === failureDomain);
      const spot = own.filter((one) => one.spot).length;
      return { failureDomain, spot, ordinary: own.length - spot };
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
    const count = this.#countOrdered(planned);
    const due = isDue(planned, { sent: this.#sent.get(key), now, count });
    if (!due || this.#calling.has(key)) return;
    const lease = this.#options.getLease();
    // No await between this check and the send: a process that was paused
    // finds out here that its lease is over.
    if (lease.kind === "none" || !core.mayAct(lease, now)) return;
    const order = { ...wanted, fencingToken: lease.token };
    const record = { order, at: now, most: count, unanswered: false };
    this.#sent.set(key, record);
    this.#calling.add(key);
    const sent = await platform.sendOrder(order);
    this.#calling.delete(key);
    const error = sent.err ? sent.val : undefined;
    log.info({ ...order, demand: planned.demand, error }, "Ordered.");
    if (sent.ok) return;
    const planner = this.#planners.get(wanted.service);
    if (sent.val.code === "unknown_outcome") {
      record.unanswered = true;
      planner?.recordUnanswered(wanted, clock.now());
    }
    // Another holder was seen, or there are no such servers: the same answer.
    if (!wanted.spot || sent.val.code !== "conflict") return;
    this.#sent.delete(key);
    planner?.recordUnavailable(wanted.failureDomain, now);
    // Others are needed in their place, and take some seconds to start.
    this.#sendService(service);
  }
}

/**
 * Whether an order is new, got no answer, or was sent and has shown no effect;
 * or servers are gone that were there since. After a reclaim no second is lost
 * until the platform says whether there are more: it may take the servers that
 * were still starting as well, so fewer than were ordered had been seen.
 */
function isDue(
  { order: wanted, bootMs }: PlannedOrder,
  { sent, now, count }: {
    readonly sent: SentOrder | undefined;
    readonly now: number;
    /** Servers of the kind that are ready. */
    readonly count: number;
  },
): boolean {
  if (sent === undefined || sent.order.count !== wanted.count) return true;
  const lost = count < Math.min(sent.most, wanted.count);
  sent.most = Math.max(sent.most, count);
  const isLate = now - sent.at > bootMs + REPEAT_MS;
  return lost || count !== wanted.count && (sent.unanswered || isLate);
}
