/** Fuzz test of usage reporting: windows are finalised once, and no usage is lost or counted twice. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as simulatedHosts from "@banyangrade/store/simulated_hosts.js";
import * as utils from "@banyangrade/utils";
import * as usage from "./mod.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 3;
const WINDOW_MS = 5_000;
const TERMS = { ttlMs: 8_000, marginMs: 500 };

type Step =
  | simulatedHosts.WorldStep
  | { readonly kind: "record"; readonly host: number }
  | {
    readonly kind: "flush";
    readonly host: number;
    readonly to: number;
    readonly lost: boolean;
    /** Only the newest batch arrives; earlier batches are lost. */
    readonly gap: boolean;
  }
  | { readonly kind: "lead"; readonly host: number }
  | { readonly kind: "lease"; readonly host: number }
  | { readonly kind: "report"; readonly host: number }
  | { readonly kind: "report_whole"; readonly host: number }
  | {
    readonly kind: "arrive";
    readonly pick: number;
    readonly answered: boolean;
  }
  | { readonly kind: "crash"; readonly host: number };

const host = fc.nat({ max: HOSTS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 14,
    arbitrary: simulatedHosts.createWorldStep(HOSTS, [
      500,
      1_300,
      2_600,
      8_000,
    ]),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("record" as const), host }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("flush" as const),
      host,
      to: host,
      lost: fc.boolean(),
      gap: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constant("lease" as const), host }),
  },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant("lead" as const), host }),
  },
  ...(["report", "report_whole"] as const).map((kind) => ({
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant(kind), host }),
  })),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("arrive" as const),
      pick: fc.nat({ max: 9 }),
      answered: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("crash" as const), host }),
  },
);

interface SimHost {
  readonly source: string;
  readonly ledger: core.UsageLedger;
  readonly collector: core.UsageCollector;
  lease: core.LeaseState;
  recorded: number;
  alive: boolean;
}

interface PendingReport {
  readonly window: core.FinalWindow;
  readonly token: number;
  readonly sentAt: number;
  readonly answer: (answered: boolean) => void;
}

class Harness {
  readonly world = new simulatedHosts.SimWorld();
  readonly hosts: SimHost[] = [0, 1, 2].map((index) => this.#createHost(index));
  readonly gone: SimHost[] = [];
  readonly pendingReports: PendingReport[] = [];
  readonly reported = new Map<string, string>();
  readonly windows = new Map<string, core.FinalWindow>();
  newestToken = 0;
  crashes = 0;

  #createHost(index: number): SimHost {
    const source = `h${index}/${this.crashes ?? 0}`;
    return {
      source,
      ledger: new core.UsageLedger(source),
      collector: new core.UsageCollector(),
      lease: { kind: "none" },
      recorded: 0,
      alive: true,
    };
  }

  async run(next: Step): Promise<void> {
    switch (next.kind) {
      case "record":
        return this.#record(next.host);
      case "flush":
        return this.#flush(next);
      case "lead":
        await this.#spawn("lease", next.host);
        return await this.world.answerAll();
      case "lease":
        return await this.#spawn("lease", next.host);
      case "report":
        return await this.#spawn("report", next.host);
      case "report_whole":
        await this.#spawn("report", next.host);
        return await this.world.answerAll();
      case "arrive":
        this.#arrive(next);
        return await this.world.run({ kind: "advance", ms: 0 });
      case "crash":
        return this.#crash(next.host);
      default:
        return await this.world.run(next);
    }
  }

  /** Starts a task of a host. Tasks of its crashed predecessor may still be pending. */
  async #spawn(name: "lease" | "report", host: number): Promise<void> {
    const simHost = this.hosts[host];
    await this.world.spawn(
      { name: `${name}/${simHost.source}`, host },
      () =>
        name === "lease"
          ? this.#advanceLease(host, simHost)
          : this.#report(host, simHost),
    );
  }

  #record(host: number): void {
    if (this.world.isPaused(host)) return;
    const simHost = this.hosts[host];
    simHost.recorded += 1;
    simHost.ledger.record(Math.floor(this.world.now / WINDOW_MS), {
      key: simHost.source,
      figures: {
        requests: 1,
        promptTokens: 0,
        outputTokens: 0,
        wastedTokens: 0,
      },
    });
  }

  #flush(next: Omit<Extract<Step, { kind: "flush" }>, "kind">): void {
    if (this.world.isPaused(next.host) || this.world.isPaused(next.to)) return;
    const from = this.hosts[next.host];
    const to = this.hosts[next.to];
    const batches = from.ledger.listBatches();
    to.collector.add(next.gap ? batches.slice(-1) : batches);
    // If the acknowledgement is lost, the sender does not learn that the batches arrived.
    if (!next.lost) from.ledger.acknowledge(to.collector.getCounted());
  }

  async #advanceLease(host: number, simHost: SimHost): Promise<void> {
    const lease = await store.advanceLease(simHost.lease, {
      store: this.world.store.createClient(this.world.getName(host)),
      clock: this.world.clock,
      role: "usage/a",
      host: this.world.getName(host),
      incarnation: simHost.source,
      terms: TERMS,
      flightMs: usage.MAX_REPORT_DELIVERY_MS,
      isCandidate: () => true,
    });
    simHost.lease = lease;
  }

  async #report(host: number, simHost: SimHost): Promise<void> {
    await usage.reportWindows({
      store: this.world.store.createClient(this.world.getName(host)),
      clock: this.world.clock,
      getLease: () => simHost.alive ? simHost.lease : { kind: "none" },
      collector: simHost.collector,
      failureDomain: "a",
      lastClosed: Math.floor(this.world.now / WINDOW_MS) - 1,
      usage: {
        report: (window, token) =>
          new Promise((resolve) => {
            const lost = utils.Err(utils.createStepError("unknown_outcome", {
              step: "usage.report",
              peer: "usage",
              message: "No answer.",
            }));
            this.pendingReports.push({
              window,
              token,
              sentAt: this.world.now,
              answer: (answered) =>
                resolve(answered ? utils.Ok(undefined) : lost),
            });
          }),
      },
    });
  }

  #arrive(next: { pick: number; answered: boolean }): void {
    if (this.pendingReports.length === 0) return;
    const [pending] = this.pendingReports.splice(
      next.pick % this.pendingReports.length,
      1,
    );
    const late = this.world.now - pending.sentAt > usage.MAX_REPORT_DELIVERY_MS;
    pending.answer(next.answered && !late);
    if (late) return;
    simulatedHosts.assertHolds(
      pending.token >= this.newestToken,
      "a report of an earlier lease holder arrived after a later holder's report",
    );
    this.newestToken = pending.token;
    const id = core.getWindowId("a", pending.window.window);
    const text = utils.formatCanonical([
      pending.window.figures,
      pending.window.adjustments,
    ]);
    const before = this.reported.get(id) ?? text;
    simulatedHosts.assertHolds(
      before === text,
      "a window was reported with different figures",
    );
    this.reported.set(id, text);
    this.windows.set(id, pending.window);
  }

  #crash(host: number): void {
    this.hosts[host].alive = false;
    this.gone.push(this.hosts[host]);
    this.crashes += 1;
    this.hosts[host] = this.#createHost(host);
    this.world.store.resume(this.world.getName(host));
  }

  /** Ends all faults and checks that the usage of every surviving host is reported. */
  async settle(): Promise<void> {
    await this.world.settle(HOSTS);
    for (let round = 0; round < 12; round += 1) {
      await this.world.run({ kind: "advance", ms: WINDOW_MS });
      for (let host = 0; host < HOSTS; host += 1) {
        await this.run({ kind: "lease", host });
        await this.world.answerAll();
        this.hosts.forEach((_, to) =>
          this.#flush({ host, to, lost: false, gap: false })
        );
      }
      await this.#settleReports();
    }
    this.#checkTotals();
  }

  async #settleReports(): Promise<void> {
    for (let host = 0; host < HOSTS; host += 1) {
      await this.run({ kind: "report", host });
      await this.world.answerAll();
      while (this.pendingReports.length > 0) {
        await this.run({ kind: "arrive", pick: 0, answered: true });
        await this.world.answerAll();
      }
    }
  }

  #checkTotals(): void {
    const counted = [...this.windows.values()].flatMap((window) => [
      window.figures,
      ...window.adjustments.map((adjustment) => adjustment.figures),
    ]).reduce<core.UsageTable>(core.addFigures, {});
    this.hosts.forEach((simHost) =>
      simulatedHosts.assertHolds(
        (counted[simHost.source]?.requests ?? 0) === simHost.recorded,
        `usage lost or counted twice: ${simHost.source} recorded ${simHost.recorded}, ` +
          `reported ${counted[simHost.source]?.requests ?? 0}`,
      )
    );
    this.gone.forEach((simHost) =>
      simulatedHosts.assertHolds(
        (counted[simHost.source]?.requests ?? 0) <= simHost.recorded,
        "usage of a crashed host was counted twice",
      )
    );
  }
}

// Guards against usage that is lost, counted twice or reported with different
// figures. Hosts are suspended, crash, and lose messages in random order.
tap.t.test(
  "windows are reported with the same figures and without loss",
  async (t) => {
    let windows = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 60, maxLength: 200, size: "max" }),
        async (steps) => {
          const harness = new Harness();
          for (const next of steps) await harness.run(next);
          await harness.settle();
          windows += harness.windows.size;
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
    t.ok(windows > RUNS, `${RUNS} histories, seed ${SEED}, ${windows} windows`);
  },
);

tap.t.test(
  "a host that was suspended does not report after its lease has expired",
  async (t) => {
    // Guards against two hosts that report the same window. Host 0 finalises a window
    // and is suspended before it receives the store's response. Its lease expires, host
    // 1 acquires the role and reports more usage, then host 0 resumes.
    const harness = new Harness();
    const steps: Step[] = [
      { kind: "lead", host: 0 },
      { kind: "record", host: 0 },
      { kind: "flush", host: 0, to: 0, lost: true, gap: false },
      { kind: "advance", ms: 6_000 },
      { kind: "lead", host: 0 },
      { kind: "report", host: 0 },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "suspend", host: 0 },
      { kind: "advance", ms: 8_000 },
      { kind: "lead", host: 1 },
      { kind: "record", host: 1 },
      { kind: "flush", host: 1, to: 1, lost: true, gap: false },
      { kind: "advance", ms: 6_000 },
      { kind: "report_whole", host: 1 },
      { kind: "arrive", pick: 0, answered: true },
      { kind: "deliver_all" },
      { kind: "resume", host: 0 },
      { kind: "deliver_all" },
      { kind: "arrive", pick: 0, answered: true },
      { kind: "deliver_all" },
      { kind: "arrive", pick: 0, answered: true },
    ];
    for (const next of steps) await harness.run(next);
    t.ok(harness.windows.size >= 1);
    await harness.settle();
    t.pass("all usage was reported without loss");
  },
);
