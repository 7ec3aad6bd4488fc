/** Simulation steps that the fuzz tests with several simulated hosts share. */
import * as fc from "fast-check";
import * as simulatedStore from "./simulated_store.ts";

/** A step of the simulation: it delivers calls, advances the time, or starts or ends a fault. */
export type WorldStep =
  | {
    readonly kind: "deliver";
    readonly pick: number;
    readonly fate: simulatedStore.CallFate;
  }
  | { readonly kind: "deliver_all" }
  | { readonly kind: "deliver_delayed"; readonly pick: number }
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "suspend"; readonly host: number }
  | { readonly kind: "resume"; readonly host: number }
  | { readonly kind: "cut"; readonly host: number }
  | { readonly kind: "heal"; readonly host: number };

const pick = fc.nat({ max: 20 });

/**
 * Creates a generator of steps for a number of hosts; `advances` lists the time
 * steps in ms.
 *
 * @example
 * const step = createWorldStep(3);
 */
export function createWorldStep(
  hosts: number,
  advances: readonly number[] = [10, 500, 2_600, 2_600, 5_000, 9_000],
): fc.Arbitrary<WorldStep> {
  const host = fc.nat({ max: hosts - 1 });
  const fate: fc.Arbitrary<simulatedStore.CallFate> = fc.oneof(
    { weight: 16, arbitrary: fc.constant("answered" as const) },
    {
      weight: 3,
      arbitrary: fc.constantFrom(
        "answer_lost" as const,
        "lost" as const,
        "delayed" as const,
      ),
    },
  );
  return fc.oneof(
    {
      weight: 14,
      arbitrary: fc.record({
        kind: fc.constant("deliver" as const),
        pick,
        fate,
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({ kind: fc.constant("deliver_all" as const) }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant("deliver_delayed" as const),
        pick,
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant("advance" as const),
        ms: fc.constantFrom(...advances),
      }),
    },
    ...(["suspend", "resume", "cut", "heal"] as const).map((kind) => ({
      // Faults end more often than they begin; otherwise most hosts would be
      // suspended or disconnected most of the time.
      weight: kind === "resume" || kind === "heal" ? 3 : 1,
      arbitrary: fc.record({ kind: fc.constant(kind), host }),
    })),
  );
}

/** Simulated hosts with their store and clock, in virtual time. */
export class SimWorld {
  now = 0;
  readonly store = new simulatedStore.SimStore(() => this.now);
  /** Clock of all hosts; it advances while a host is suspended. */
  readonly clock = { now: () => this.now, wall: () => this.now };

  readonly #busy = new Set<string>();
  #failure: unknown;

  /** Returns the name of a host. */
  getName(host: number): string {
    return `h${host}`;
  }

  isPaused(host: number): boolean {
    return this.store.isPaused(this.getName(host));
  }

  /**
   * Starts a task of a host and runs it until it waits for the store. A host runs
   * one instance of a task at a time, and starts none while it is suspended. An error
   * thrown by the task is rethrown by the next step of the simulation.
   */
  async spawn(
    task: { readonly name: string; readonly host: number },
    work: () => Promise<void>,
  ): Promise<void> {
    const id = `${task.name}/${task.host}`;
    if (this.#busy.has(id) || this.isPaused(task.host)) return;
    this.#busy.add(id);
    work().catch((thrown) => {
      this.#failure ??= thrown;
    }).finally(() => this.#busy.delete(id));
    await this.#flush();
  }

  async #flush(): Promise<void> {
    await simulatedStore.flushPromises();
    if (this.#failure !== undefined) throw this.#failure;
  }

  isBusy(task: { readonly name: string; readonly host: number }): boolean {
    return this.#busy.has(`${task.name}/${task.host}`);
  }

  /** Runs a step and all promise callbacks that are ready after it. */
  async run(step: WorldStep): Promise<void> {
    switch (step.kind) {
      case "deliver_all":
        return await this.answerAll();
      case "deliver":
        this.store.deliver(step.pick, step.fate);
        break;
      case "deliver_delayed":
        this.store.deliverDelayed(step.pick);
        break;
      case "advance":
        this.now += step.ms;
        break;
      case "suspend":
        this.store.suspend(this.getName(step.host));
        break;
      case "resume":
        this.store.resume(this.getName(step.host));
        break;
      case "cut":
        this.store.unreachable.add(this.getName(step.host));
        break;
      case "heal":
        this.store.unreachable.delete(this.getName(step.host));
        break;
    }
    await this.#flush();
  }

  /** Ends all faults and answers calls until none is pending. */
  async settle(hosts: number): Promise<void> {
    for (let host = 0; host < hosts; host += 1) {
      await this.run({ kind: "resume", host });
      await this.run({ kind: "heal", host });
    }
    await this.answerAll();
  }

  /** Answers calls until none is pending. */
  async answerAll(): Promise<void> {
    await this.#flush();
    while (this.store.countPending() > 0) {
      this.store.deliver(0, "answered");
      await this.#flush();
    }
  }
}

/**
 * Throws an error if an invariant does not hold.
 *
 * @example
 * assertHolds(count <= 1, "an operation ran twice");
 */
export function assertHolds(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}
