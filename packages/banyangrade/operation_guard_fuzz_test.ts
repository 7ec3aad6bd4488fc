/**
 * Fuzz test of operations that are claimed in the store: an operation runs at most once,
 * and a refusal does not claim that it did not run although it did. Callers retry at
 * several hosts while store calls are lost or delayed and hosts crash.
 */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as simulatedHosts from "@banyangrade/store/simulated_hosts.js";
import * as utils from "@banyangrade/utils";
import type * as call from "./call_exchange.ts";
import * as guard from "./operation_guard.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 3;
const OPERATIONS = 2;

type BackendResult = "whole" | "lost" | "not_run";

type Step =
  | simulatedHosts.WorldStep
  | { readonly kind: "send"; readonly host: number; readonly operation: number }
  | {
    readonly kind: "backend";
    readonly pick: number;
    readonly result: BackendResult;
  }
  | { readonly kind: "tidy"; readonly host: number }
  | { readonly kind: "crash"; readonly host: number };

const host = fc.nat({ max: HOSTS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: simulatedHosts.createWorldStep(HOSTS) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("send" as const),
      host,
      operation: fc.nat({ max: OPERATIONS - 1 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("backend" as const),
      pick: fc.nat({ max: 9 }),
      result: fc.constantFrom<BackendResult>("whole", "lost", "not_run"),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("tidy" as const), host }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("crash" as const), host }),
  },
);

interface RunningOperation {
  readonly operation: number;
  readonly end: (outcome: call.CallOutcome) => void;
}

class Harness {
  readonly world = new simulatedHosts.SimWorld();
  readonly guards: guard.StoreGuard[] = [0, 1, 2].map((at) => this.#create(at));
  readonly runningOperations: RunningOperation[] = [];
  readonly ran = new Map<number, number>();
  sends = 0;
  answered = 0;

  #create(host: number): guard.StoreGuard {
    const name = this.world.getName(host);
    return new guard.StoreGuard({
      claims: store.createClaimKeeper({
        store: this.world.store.createClient(name),
        host: name,
        clock: this.world.clock,
      }),
      log: utils.createLogger({ level: "silent" }),
    });
  }

  async run(next: Step): Promise<void> {
    switch (next.kind) {
      case "send":
        this.sends += 1;
        return await this.world.spawn(
          { name: `send${this.sends}`, host: next.host },
          () => this.#send(next.host, next.operation),
        );
      case "backend":
        this.#endBackendRun(next);
        break;
      case "tidy":
        return await this.world.spawn(
          { name: "tidy", host: next.host },
          () => this.guards[next.host].releaseStale(),
        );
      case "crash":
        this.guards[next.host] = this.#create(next.host);
        break;
      default:
        return await this.world.run(next);
    }
    await this.world.run({ kind: "advance", ms: 0 });
  }

  async #send(host: number, operation: number): Promise<void> {
    const outcome = await this.guards[host].run({
      customer: "c",
      idempotencyKey: `k${operation}`,
      fingerprint: `f${operation}`,
      run: () =>
        new Promise((end) => {
          // From here on the guard must assume that the operation runs.
          this.runningOperations.push({ operation, end });
        }),
    });
    const ran = this.ran.get(operation) ?? 0;
    this.answered += 1;
    if (outcome.kind === "refused") {
      const { ran: reported } = outcome.refusal;
      simulatedHosts.assertHolds(
        reported !== "no" || ran === 0,
        `"not run", but it ran`,
      );
      simulatedHosts.assertHolds(
        reported !== "yes" || ran === 1,
        `"run", but it did not run`,
      );
    } else if (outcome.kind !== "left") {
      simulatedHosts.assertHolds(
        ran === 1,
        "answer, but no run",
      );
    }
  }

  #endBackendRun(next: { pick: number; result: BackendResult }): void {
    if (this.runningOperations.length === 0) return;
    const [ended] = this.runningOperations.splice(
      next.pick % this.runningOperations.length,
      1,
    );
    if (next.result !== "not_run") {
      const ran = (this.ran.get(ended.operation) ?? 0) + 1;
      this.ran.set(ended.operation, ran);
      simulatedHosts.assertHolds(ran <= 1, "an operation ran twice");
    }
    ended.end(buildOutcome(next.result));
  }
}

function buildOutcome(result: BackendResult): call.CallOutcome {
  switch (result) {
    case "whole":
      return {
        kind: "whole",
        answer: { status: 200, headers: {}, body: Buffer.from("ok") },
      };
    case "lost":
    case "not_run":
      return {
        kind: "refused",
        refusal: core.buildRefusal({
          code: "backend_failed",
          ran: result === "lost" ? "unknown" : "no",
        }),
      };
  }
}

tap.t.test("a claimed operation runs at most once", async (t) => {
  let answered = 0;
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 120, size: "max" }),
      async (steps) => {
        const harness = new Harness();
        for (const next of steps) await harness.run(next);
        await harness.world.settle(HOSTS);
        answered += harness.answered;
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.ok(answered > RUNS, `${RUNS} histories, seed ${SEED}, ${answered} answers`);
});
