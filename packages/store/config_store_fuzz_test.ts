/** Fuzz test of the configuration log: concurrent operators, compaction and lost responses. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import * as store from "./mod.ts";
import * as simulatedHosts from "./simulated_hosts.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 150);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
/** Number of actors: two operators that publish and two hosts that read. */
const ACTORS = 4;

type Step =
  | simulatedHosts.WorldStep
  | { readonly kind: "publish"; readonly actor: number }
  /** Publishes several changes; all calls are answered. */
  | { readonly kind: "publish_many"; readonly actor: number }
  | { readonly kind: "read"; readonly actor: number }
  | { readonly kind: "restart"; readonly actor: number };

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: simulatedHosts.createWorldStep(ACTORS) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      actor: fc.constantFrom(0, 1),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("publish_many" as const),
      actor: fc.constantFrom(0, 1),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      actor: fc.constantFrom(2, 3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("restart" as const),
      actor: fc.constantFrom(2, 3),
    }),
  },
);

class Harness {
  readonly world = new simulatedHosts.SimWorld();
  readonly known: core.Configuration[] = Array.from(
    { length: ACTORS },
    () => core.EMPTY_CONFIGURATION,
  );
  readonly committed = new Map<number, string>();
  readonly overtaken = new Set<string>();
  readonly digests = new Map<number, string>();
  count = 0;

  async run(next: Step): Promise<void> {
    switch (next.kind) {
      case "publish":
        return await this.#spawn(
          next.actor,
          () => this.publish(next.actor),
        );
      case "publish_many":
        for (let count = 0; count < 4; count += 1) {
          await this.#spawn(next.actor, () => this.publish(next.actor));
          await this.world.answerAll();
        }
        return;
      case "read":
        return await this.#spawn(next.actor, () => this.#read(next.actor));
      case "restart":
        if (!this.world.isBusy({ name: "task", host: next.actor })) {
          this.known[next.actor] = core.EMPTY_CONFIGURATION;
        }
        return;
      default:
        return await this.world.run(next);
    }
  }

  async #spawn(actor: number, work: () => Promise<void>): Promise<void> {
    await this.world.spawn({ name: "task", host: actor }, work);
  }

  async publish(actor: number): Promise<void> {
    const client = this.world.store.createClient(this.world.getName(actor));
    this.count += 1;
    const name = `p${this.count}`;
    const part: core.ConfigPart = { kind: "service", name, repeatable: [] };
    const read = await store.readConfiguration(
      client,
      core.EMPTY_CONFIGURATION,
    );
    if (read.err) return;
    const { configuration } = read.val;
    const outcome = await store.commitChange(client, {
      configuration,
      difference: { puts: [part], removes: [] },
      author: this.world.getName(actor),
    });
    if (outcome.err) return;
    if (outcome.val.kind === "overtaken") {
      this.overtaken.add(name);
      return;
    }
    const { change } = outcome.val;
    simulatedHosts.assertHolds(
      !this.committed.has(change.revision),
      "two operators were told that they committed the same revision",
    );
    this.committed.set(change.revision, name);
    const next = core.applyChange(configuration, change).unwrap();
    await store.compactLog(client, next, { every: 3 });
  }

  async #read(actor: number): Promise<void> {
    const before = this.known[actor];
    const client = this.world.store.createClient(this.world.getName(actor));
    const read = await store.readConfiguration(client, before);
    if (read.err) return;
    const { configuration } = read.val;
    simulatedHosts.assertHolds(
      configuration.revision >= before.revision,
      "the revision of a host decreased",
    );
    const digest = this.digests.get(configuration.revision);
    simulatedHosts.assertHolds(
      digest === undefined || digest === configuration.digest,
      "a revision has two different contents",
    );
    this.digests.set(configuration.revision, configuration.digest);
    this.known[actor] = configuration;
  }

  async settle(): Promise<void> {
    await this.world.settle(ACTORS);
    await this.#spawn(2, () => this.#read(2));
    await this.world.answerAll();
    const { services, revision } = this.known[2];
    this.committed.forEach((name, at) => {
      simulatedHosts.assertHolds(
        services.has(name),
        `revision ${at} was committed but is missing at ${revision}`,
      );
    });
    this.overtaken.forEach((name) =>
      simulatedHosts.assertHolds(
        !services.has(name),
        "an overtaken change was applied",
      )
    );
  }
}

tap.t.test("a committed configuration change is never lost", async (t) => {
  let committed = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 150, size: "max" }),
      async (steps) => {
        const harness = new Harness();
        for (const next of steps) await harness.run(next);
        await harness.settle();
        committed += harness.committed.size;
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.ok(
    committed > RUNS,
    `${RUNS} histories, seed ${SEED}, ${committed} commits`,
  );
});

tap.t.test(
  "a change written at a compacted revision is not reported as committed",
  async (t) => {
    // Guards against a change that is reported as committed but that no host ever
    // applies: the operator is suspended after it has read the configuration, another
    // operator publishes until the log is compacted, and the first operator then
    // creates its record under a key that the compaction has deleted.
    const harness = new Harness();
    const steps: Step[] = [
      { kind: "publish", actor: 0 },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "suspend", host: 0 },
      { kind: "deliver", pick: 0, fate: "answered" },
      { kind: "publish_many", actor: 1 },
      { kind: "publish_many", actor: 1 },
      { kind: "publish_many", actor: 1 },
      { kind: "resume", host: 0 },
      { kind: "deliver_all" },
    ];
    for (const next of steps) await harness.run(next);
    await harness.settle();
    t.equal(harness.committed.size, 12, "only the other operator's changes");
  },
);
