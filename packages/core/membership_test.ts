/** Membership under pauses, cuts and kills, with many hosts in virtual time. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 100);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 12;
const BEAT_MS = 1_000;

type Fault =
  | { readonly kind: "pause"; readonly host: number; readonly beats: number }
  | { readonly kind: "one_way"; readonly from: number; readonly to: number }
  | { readonly kind: "split"; readonly at: number }
  | { readonly kind: "heal" }
  | { readonly kind: "beats"; readonly count: number };

const host = fc.nat({ max: HOSTS - 1 });
const fault: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("pause" as const),
    host,
    beats: fc.integer({ min: 1, max: 12 }),
  }),
  fc.record({ kind: fc.constant("one_way" as const), from: host, to: host }),
  fc.record({
    kind: fc.constant("split" as const),
    at: fc.integer({ min: 1, max: HOSTS - 1 }),
  }),
  fc.record({ kind: fc.constant("heal" as const) }),
  fc.record({
    kind: fc.constant("beats" as const),
    count: fc.integer({ min: 1, max: 8 }),
  }),
);

/** Hosts that beat as the overlay does: to the successor and one finger in turn. */
class Ring {
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
  readonly paused = new Map<number, number>();
  readonly cut = new Set<string>();
  now = 0;
  turn = 0;

  constructor() {
    const all = this.hosts.map((one) => one.getSelf());
    this.hosts.forEach((one) => one.merge(all, 0));
  }

  run(next: Fault): void {
    switch (next.kind) {
      case "pause":
        this.paused.set(next.host, next.beats);
        return;
      case "one_way":
        this.cut.add(`${next.from}>${next.to}`);
        return;
      case "split":
        this.hosts.forEach((_, a) =>
          this.hosts.forEach((_, b) => {
            if ((a < next.at) !== (b < next.at)) this.cut.add(`${a}>${b}`);
          })
        );
        return;
      case "heal":
        this.cut.clear();
        return;
      case "beats":
        for (let beat = 0; beat < next.count; beat += 1) this.sendBeats();
    }
  }

  /** One beat of every host that is not paused. */
  sendBeats(): void {
    this.now += BEAT_MS;
    this.turn += 1;
    this.hosts.forEach((one, index) => {
      if (this.#isPaused(index)) return;
      one.tick(this.now);
      const [successor, ...others] = one.listFingers();
      const inTurn = others[this.turn % Math.max(1, others.length)];
      const dead = one.listDead();
      [successor, inTurn, dead[this.turn % Math.max(1, dead.length)]]
        .forEach((target) => {
          if (target !== undefined) this.#send(index, target.name);
        });
    });
    [...this.paused].forEach(([index, left]) => {
      if (left <= 1) this.paused.delete(index);
      else this.paused.set(index, left - 1);
    });
  }

  #isPaused(index: number): boolean {
    return this.paused.has(index);
  }

  #send(from: number, name: string): void {
    const to = this.hosts.findIndex((one) => one.getSelf().name === name);
    const lost = this.#isPaused(to) || this.cut.has(`${from}>${to}`) ||
      this.cut.has(`${to}>${from}`);
    if (lost) return this.hosts[from].recordMiss(name, this.now);
    this.hosts[to].merge(
      [this.hosts[from].getSelf(), ...this.hosts[from].takeNews()],
      this.now,
    );
    this.hosts[from].merge(
      [this.hosts[to].getSelf(), ...this.hosts[to].takeNews()],
      this.now,
    );
    this.hosts[from].recordAnswer(name);
    // As the overlay does for views that differ.
    if (this.hosts[from].getSummary() === this.hosts[to].getSummary()) return;
    this.hosts[from].merge(this.hosts[to].listAll(), this.now);
  }
}

tap.t.test("after pauses and cuts every host is in every view again", (t) => {
  fc.assert(
    fc.property(
      fc.array(fault, { minLength: 5, maxLength: 25, size: "max" }),
      (faults) => {
        const ring = new Ring();
        faults.forEach((next) => ring.run(next));
        ring.cut.clear();
        ring.paused.clear();
        for (let beat = 0; beat < 40; beat += 1) ring.sendBeats();
        ring.hosts.forEach((one) => {
          const seen = one.listActive().length;
          if (seen !== HOSTS) {
            throw new Error(`${one.getSelf().name} sees ${seen} hosts`);
          }
        });
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass(`${RUNS} histories, seed ${SEED}`);
  t.end();
});

tap.t.test("a killed host is out of every view within ten beats", (t) => {
  // Requests for a ticket wait on a host that is gone. Only its predecessor
  // watches it; the word of its end must reach all the others.
  const ring = new Ring();
  ring.paused.set(3, 1_000);
  for (let beat = 0; beat < 10; beat += 1) ring.sendBeats();
  ring.hosts.forEach((one, index) => {
    if (index === 3) return;
    t.notOk(one.listActive().some((member) => member.name === "h3"));
  });
  t.end();
});

tap.t.test("a host with a one-way cut stays in", (t) => {
  // Every minute a healthy host is declared dead because one other host
  // cannot reach it. The host itself must be able to take that back.
  const ring = new Ring();
  ring.hosts[0].listFingers().slice(0, 1).forEach((successor) => {
    const to = ring.hosts.findIndex((one) =>
      one.getSelf().name === successor.name
    );
    ring.cut.add(`0>${to}`);
    for (let beat = 0; beat < 40; beat += 1) ring.sendBeats();
    const views = ring.hosts.filter((one) =>
      one.listActive().some((member) => member.name === successor.name)
    );
    t.ok(views.length >= HOSTS - 1, `${views.length} views hold it`);
  });
  t.end();
});
