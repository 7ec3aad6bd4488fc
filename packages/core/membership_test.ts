/** Tests of the membership of many hosts under paused hosts, network partitions and crashes, in virtual time. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 100);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 12;
const HEARTBEAT_MS = 1_000;

type Fault =
  | { readonly kind: "pause"; readonly host: number; readonly rounds: number }
  | { readonly kind: "one_way"; readonly from: number; readonly to: number }
  | { readonly kind: "split"; readonly at: number }
  | { readonly kind: "heal" }
  | { readonly kind: "rounds"; readonly count: number };

const host = fc.nat({ max: HOSTS - 1 });
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("pause" as const),
    host,
    rounds: fc.integer({ min: 1, max: 12 }),
  }),
  fc.record({ kind: fc.constant("one_way" as const), from: host, to: host }),
  fc.record({
    kind: fc.constant("split" as const),
    at: fc.integer({ min: 1, max: HOSTS - 1 }),
  }),
  fc.record({ kind: fc.constant("heal" as const) }),
  fc.record({
    kind: fc.constant("rounds" as const),
    count: fc.integer({ min: 1, max: 8 }),
  }),
);

/** Simulates hosts that send heartbeats as the overlay does: each round to the successor, to one other target and to one dead host, in turn. */
class SimulatedHosts {
  readonly hosts = Array.from(
    { length: HOSTS },
    (_, index) =>
      new core.Membership({
        name: `h${index}`,
        address: `h${index}`,
        incarnation: 1,
        status: "alive",
      }),
  );
  readonly pausedRounds = new Map<number, number>();
  readonly cutLinks = new Set<string>();
  now = 0;
  round = 0;

  constructor() {
    const all = this.hosts.map((membership) => membership.getSelf());
    this.hosts.forEach((membership) => membership.merge(all, 0));
  }

  run(next: Fault): void {
    switch (next.kind) {
      case "pause":
        this.pausedRounds.set(next.host, next.rounds);
        return;
      case "one_way":
        this.cutLinks.add(`${next.from}>${next.to}`);
        return;
      case "split":
        this.hosts.forEach((_, a) =>
          this.hosts.forEach((_, b) => {
            if ((a < next.at) !== (b < next.at)) this.cutLinks.add(`${a}>${b}`);
          })
        );
        return;
      case "heal":
        this.cutLinks.clear();
        return;
      case "rounds":
        for (let round = 0; round < next.count; round += 1) this.runRound();
    }
  }

  /** Runs one heartbeat round of every host that is not paused. */
  runRound(): void {
    this.now += HEARTBEAT_MS;
    this.round += 1;
    this.hosts.forEach((membership, index) => {
      if (this.#isPaused(index)) return;
      membership.tick(this.now);
      const [successor, ...others] = membership.listHeartbeatTargets();
      const nextTarget = others[this.round % Math.max(1, others.length)];
      const dead = membership.listDead();
      [successor, nextTarget, dead[this.round % Math.max(1, dead.length)]]
        .forEach((target) => {
          if (target !== undefined) this.#send(index, target.name);
        });
    });
    [...this.pausedRounds].forEach(([index, left]) => {
      if (left <= 1) this.pausedRounds.delete(index);
      else this.pausedRounds.set(index, left - 1);
    });
  }

  #isPaused(index: number): boolean {
    return this.pausedRounds.has(index);
  }

  #send(from: number, name: string): void {
    const to = this.hosts.findIndex((membership) =>
      membership.getSelf().name === name
    );
    const lost = this.#isPaused(to) || this.cutLinks.has(`${from}>${to}`) ||
      this.cutLinks.has(`${to}>${from}`);
    if (lost) return this.hosts[from].recordMiss(name, this.now);
    this.hosts[to].merge(
      [this.hosts[from].getSelf(), ...this.hosts[from].takeUpdates()],
      this.now,
    );
    this.hosts[from].merge(
      [this.hosts[to].getSelf(), ...this.hosts[to].takeUpdates()],
      this.now,
    );
    this.hosts[from].recordAnswer(name);
    // The overlay also fetches the full view when the digests differ.
    if (this.hosts[from].getViewDigest() === this.hosts[to].getViewDigest()) {
      return;
    }
    this.hosts[from].merge(this.hosts[to].listAll(), this.now);
  }
}

tap.t.test("every host rejoins every view after pauses and cuts", (t) => {
  fc.assert(
    fc.property(
      fc.array(fault, { minLength: 5, maxLength: 25, size: "max" }),
      (faults) => {
        const simulation = new SimulatedHosts();
        faults.forEach((next) => simulation.run(next));
        simulation.cutLinks.clear();
        simulation.pausedRounds.clear();
        for (let round = 0; round < 40; round += 1) simulation.runRound();
        simulation.hosts.forEach((membership) => {
          const seen = membership.listActive().length;
          if (seen !== HOSTS) {
            throw new Error(
              `${membership.getSelf().name} sees ${seen} hosts`,
            );
          }
        });
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass(`${RUNS} fault sequences, seed ${SEED}`);
  t.end();
});

tap.t.test("a crashed host leaves every view in ten heartbeats", (t) => {
  // Guards against requests that wait for a crashed host. Only a few hosts send
  // heartbeats to it, so its death must reach every other view as an update.
  const simulation = new SimulatedHosts();
  simulation.pausedRounds.set(3, 1_000);
  for (let round = 0; round < 10; round += 1) simulation.runRound();
  simulation.hosts.forEach((membership, index) => {
    if (index === 3) return;
    t.notOk(membership.listActive().some((member) => member.name === "h3"));
  });
  t.end();
});

tap.t.test("a one-way partition does not remove a healthy host", (t) => {
  // Guards against a healthy host that is declared dead again and again because
  // one other host cannot reach it. The healthy host must refute the suspicion.
  const simulation = new SimulatedHosts();
  simulation.hosts[0].listHeartbeatTargets().slice(0, 1).forEach(
    (successor) => {
      const to = simulation.hosts.findIndex((membership) =>
        membership.getSelf().name === successor.name
      );
      simulation.cutLinks.add(`0>${to}`);
      for (let round = 0; round < 40; round += 1) simulation.runRound();
      const views = simulation.hosts.filter((membership) =>
        membership.listActive().some((member) => member.name === successor.name)
      );
      t.ok(views.length >= HOSTS - 1, `${views.length} views contain the host`);
    },
  );
  t.end();
});
