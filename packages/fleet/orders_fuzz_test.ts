/** Fuzzing of backend server orders: never from two hosts in charge at a time. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as simTesting from "@banyangrade/store/sim_testing.ts";
import * as utils from "@banyangrade/utils";
import * as fleet from "./mod.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 400);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 3;
const TERMS = { ttlMs: 8_000, marginMs: 500 };

type Step =
  | simTesting.WorldStep
  | { readonly kind: "lease"; readonly host: number }
  /** Takes a step towards the lease with every call answered. */
  | { readonly kind: "lead"; readonly host: number }
  | { readonly kind: "release"; readonly host: number }
  | { readonly kind: "order"; readonly host: number; readonly count: number }
  /** Orders with every call of the store answered. */
  | {
    readonly kind: "order_whole";
    readonly host: number;
    readonly count: number;
  }
  | { readonly kind: "arrive"; readonly pick: number };

const host = fc.nat({ max: HOSTS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 14,
    arbitrary: simTesting.createWorldStep(HOSTS, [500, 1_300, 2_600, 8_000]),
  },
  {
    weight: 5,
    arbitrary: fc.record({ kind: fc.constant("lead" as const), host }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("lease" as const), host }),
  },
  ...(["order", "order_whole"] as const).map((kind) => ({
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant(kind),
      host,
      count: fc.nat({ max: 3 }),
    }),
  })),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("arrive" as const),
      pick: fc.nat({ max: 9 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("release" as const), host }),
  },
);

interface Flight {
  readonly order: fleet.PoolOrder;
  readonly sentAt: number;
}

class Harness {
  readonly world = new simTesting.SimWorld();
  readonly leases: core.LeaseState[] = Array.from(
    { length: HOSTS },
    () => ({ kind: "none" }),
  );
  readonly flights: Flight[] = [];
  newest = 0;
  obeyed = 0;

  async run(next: Step): Promise<void> {
    switch (next.kind) {
      case "lease":
        return await this.world.spawn(
          { name: "lease", host: next.host },
          () => this.#advanceLease(next.host),
        );
      case "lead":
        await this.run({ kind: "lease", host: next.host });
        return await this.world.answerAll();
      case "release":
        return await this.world.spawn(
          { name: "lease", host: next.host },
          () => this.#release(next.host),
        );
      case "order":
        return await this.world.spawn(
          { name: "order", host: next.host },
          () => this.#order(next.host, next.count),
        );
      case "order_whole":
        await this.run({ ...next, kind: "order" });
        return await this.world.answerAll();
      case "arrive":
        return this.#arrive(next.pick);
      default:
        return await this.world.run(next);
    }
  }

  async #advanceLease(host: number): Promise<void> {
    this.leases[host] = await store.advanceLease(this.leases[host], {
      store: this.world.store.createClient(this.world.getName(host)),
      clock: this.world.clock,
      role: "orders/a",
      host: this.world.getName(host),
      incarnation: "1",
      terms: TERMS,
      flightMs: fleet.ORDER_FLIGHT_MS,
      isCandidate: () => true,
    });
  }

  async #release(host: number): Promise<void> {
    const lease = this.leases[host];
    this.leases[host] = { kind: "none" };
    if (lease.kind === "none") return;
    await this.world.store.createClient(this.world.getName(host))
      .revokeLease(lease.leaseId);
  }

  async #order(host: number, count: number): Promise<void> {
    await fleet.sendDesired({ pool: `spot${count % 2}`, count }, {
      store: this.world.store.createClient(this.world.getName(host)),
      clock: this.world.clock,
      getLease: () => this.leases[host],
      fleet: {
        listHosts: () => Promise.resolve(utils.Ok([])),
        listServers: () => Promise.resolve(utils.Ok([])),
        sendOrder: (order) => {
          this.flights.push({ order, sentAt: this.world.now });
          return Promise.resolve(utils.Ok(undefined));
        },
      },
    });
  }

  /** An order arrives at a backend server that ignores fencing tokens. */
  #arrive(pick: number): void {
    if (this.flights.length === 0) return;
    const [flight] = this.flights.splice(pick % this.flights.length, 1);
    // What is under way for longer is lost: the bound that the wait relies on.
    if (this.world.now - flight.sentAt > fleet.ORDER_FLIGHT_MS) return;
    simTesting.assertHolds(
      flight.order.fencingToken >= this.newest,
      "an order of an earlier leader arrived behind a later leader's",
    );
    this.newest = flight.order.fencingToken;
    this.obeyed += 1;
  }
}

tap.t.test("orders come from one leader at a time", async (t) => {
  let obeyed = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 100, maxLength: 250, size: "max" }),
      async (steps) => {
        const harness = new Harness();
        for (const next of steps) await harness.run(next);
        obeyed += harness.obeyed;
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.ok(obeyed > RUNS / 10, `${RUNS} histories, seed ${SEED}, ${obeyed} orders`);
});

/** Runs a history that is written down. */
async function runHistory(steps: readonly Step[]): Promise<Harness> {
  const harness = new Harness();
  for (const next of steps) await harness.run(next);
  return harness;
}

tap.t.test(
  "a leader that was frozen in the midst of an order does not send it",
  async (t) => {
    // An operator sees a pool jump back to an old size. Host 0 wrote its intent
    // and was stopped before it got the answer; its lease ran out; host 1 took
    // the role and ordered; then host 0 went on where it had stopped. Only a
    // check in the same turn as the send, on a clock that went on, tells it.
    const harness = await runHistory([
      { kind: "lead", host: 0 },
      { kind: "advance", ms: 2_600 },
      { kind: "order", host: 0, count: 1 },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "freeze", host: 0 },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "advance", ms: 8_000 },
      { kind: "lead", host: 1 },
      { kind: "advance", ms: 2_600 },
      { kind: "order_whole", host: 1, count: 2 },
      { kind: "arrive", pick: 0 },
      { kind: "thaw", host: 0 },
      { kind: "arrive", pick: 0 },
    ]);
    t.equal(harness.obeyed, 1, "only the order of host 1 arrived");
  },
);

tap.t.test("a slow acquisition does not lengthen the lease", async (t) => {
  // Two hosts order at one time. The store granted host 0 its lease at once,
  // but the answer to the claim of the role came 5 s later. Counted from the
  // answer, the lease would seem to last 5 s longer than the store keeps it.
  const harness = await runHistory([
    { kind: "lease", host: 0 },
    { kind: "deliver", pick: 0, fate: "answered" },
    { kind: "deliver", pick: 0, fate: "answered" },
    { kind: "advance", ms: 5_000 },
    { kind: "deliver", pick: 0, fate: "answered" },
    { kind: "advance", ms: 3_500 },
    { kind: "lead", host: 1 },
    { kind: "advance", ms: 2_600 },
    { kind: "order_whole", host: 1, count: 2 },
    { kind: "arrive", pick: 0 },
    { kind: "order_whole", host: 0, count: 1 },
    { kind: "arrive", pick: 0 },
  ]);
  t.equal(harness.obeyed, 1);
});
