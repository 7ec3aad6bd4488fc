/** Guards that are removed one at a time, and the test that must notice each. */

/** One guard and its removal. */
export interface Mutation {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  readonly test: string;
}

const DISPATCHER = "packages/core/dispatcher_fuzz_test.ts";

/** All removals. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "retry: what may have run is tried again",
    file: "packages/core/retry.ts",
    find: `const safe = ran === "no" || failed.repeatable;`,
    replace: "const safe = true || failed.repeatable;",
    test: DISPATCHER,
  },
  {
    name: "retry: a lost connection counts as not run",
    file: "packages/core/retry.ts",
    find: `    case "not_sent":\n    case "refused":`,
    replace: `    case "not_sent":\n    case "refused":\n    case "timeout":`,
    test: DISPATCHER,
  },
  {
    name: "retry: earlier attempts are forgotten in a refusal",
    file: "packages/core/retry.ts",
    find: `return first === "no" && second === "no" ? "no" : "unknown";`,
    replace: "return second;",
    test: DISPATCHER,
  },
  {
    name: "servers: a leaving server gets work",
    file: "packages/core/servers.ts",
    find: `return server.info.state === "live" &&`,
    replace: "return true &&",
    test: DISPATCHER,
  },
  {
    name: "router: grants are ignored",
    file: "packages/core/router.ts",
    find: "pool.running < pool.quota",
    replace: "true",
    test: DISPATCHER,
  },
  {
    name: "preemption: work that may not be repeated is preempted",
    file: "packages/core/preemption.ts",
    find: ".filter((attempt) => attempt.request.repeatable)",
    replace: "",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: deadlines are enforced before preemption",
    file: "packages/core/dispatcher.ts",
    find: "    this.#dispatch(now);\n    this.#preemptForLate(now);\n",
    replace: "    this.#expire(now);\n",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a higher tier is shed while lower work runs",
    file: "packages/core/dispatcher.ts",
    find: "if (!full && this.#hasLowerWork(wanted, { pools, now })) {",
    replace: "if (!full && pools.length < 0) {",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a withdrawn key's queue is kept",
    file: "packages/core/dispatcher.ts",
    find:
      "entry.request.keyId === keyId)\n      .forEach((entry) =>\n        this.#refuse",
    replace:
      "entry.request.keyId === `${keyId}!`)\n      .forEach((entry) =>\n        this.#refuse",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a poison request is tried a third time",
    file: "packages/core/dispatcher.ts",
    find: "if (this.#isPoison(wanted.fingerprint)) {",
    replace: "if (this.#isPoison(`${wanted.fingerprint}!`)) {",
    test: DISPATCHER,
  },
  {
    name: "attempts: a late end ends the wrong attempt",
    file: "packages/core/attempts.ts",
    find:
      "if (current === undefined || current.attempt !== id.attempt) {\n      return undefined;",
    replace: "if (current === undefined) {\n      return undefined;",
    test: DISPATCHER,
  },
];
