/** Guards that are removed one at a time, and the test that must notice each. */

/** One guard and its removal. */
export interface Mutation {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  readonly test: string;
  /** A second guard that hides the removal of the first. */
  readonly also?: { readonly find: string; readonly replace: string };
}

const ORDERS = "packages/fleet/orders_fuzz_test.ts";
const USAGE = "packages/usage/reporter_fuzz_test.ts";
const CONFIG = "packages/store/config_store_fuzz_test.ts";
const CLAIMS = "packages/banyangrade/operation_guard_fuzz_test.ts";
const CALLER = "packages/caller/server_test.ts";
const TICKETS = "packages/banyangrade/ticket_fuzz_test.ts";
const OVERFLOW = "packages/core/overflow_test.ts";
const ROUTING = "packages/core/routing_test.ts";
const DISPATCHER = "packages/core/dispatcher_fuzz_test.ts";
const GIVEN_UP = "packages/service/given_up_test.ts";
const LEFT = "platform/callers_left_test.ts";

/** All removals. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "tickets: a use is not recorded",
    file: "packages/core/operations.ts",
    find: `this.#states.set(ticket, { kind: "running", ...by });`,
    replace: "",
    test: TICKETS,
  },
  {
    name: "tickets: what may have run may be used again",
    file: "packages/banyangrade/operation_guard.ts",
    find: `ended.kind === "refused" && ended.refusal.ran === "no"`,
    replace: `ended.kind === "refused"`,
    test: TICKETS,
  },
  {
    name: "tickets: of an issuer that is gone, not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: `code: "conflict",\n    ran: "unknown",\n    waitMs: 2_000,`,
    replace: `code: "conflict",\n    ran: "no",\n    waitMs: 2_000,`,
    test: TICKETS,
  },
  {
    name: "tickets: a forgotten one has not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: `ran: "unknown",\n          message: "Ticket unknown`,
    replace: `ran: "no",\n          message: "Ticket unknown`,
    test: TICKETS,
  },
  {
    name: "overflow: an old grant of another failure domain is used",
    file: "packages/core/server_state.ts",
    find: "now - pool.grantedAt <= constants.GRANT_VALID_MS",
    replace: "true",
    test: DISPATCHER,
  },
  {
    name: "overflow: a suspect is sent to other failure domains",
    file: "packages/core/dispatching.ts",
    find: "overflow: !queued.suspect &&",
    replace: "overflow: true &&",
    test: DISPATCHER,
  },
  {
    name: "overflow: visitors are served as the failure domain's own",
    file: "packages/core/allocation.ts",
    find: "divideEvenly(own.filter((one) => !one.remote), left)",
    replace: "divideEvenly(own, left)",
    test: OVERFLOW,
  },
  {
    name: "overflow: a host waits for failure domains that have nothing",
    file: "packages/core/overflow.ts",
    find: "return !isGrantKnown || !pool.short",
    replace: "return true || !pool.short",
    test: OVERFLOW,
  },
  {
    name: "routing: hosts prefer no servers of their own",
    file: "packages/core/partition.ts",
    find: "const position = hosts.toSorted().indexOf(host);",
    replace: "const position = hosts.length > 1 ? -1 : 0;",
    test: ROUTING,
  },
  {
    name: "routing: what other hosts run is not counted",
    file: "packages/core/server_state.ts",
    find: "return server.running + elsewhere.running;",
    replace: "return server.running;",
    test: ROUTING,
  },
  {
    name: "routing: speed is learned from whole answers only",
    file: "packages/core/constants.ts",
    find: "SPEED_SAMPLE_TOKENS = 8",
    replace: "SPEED_SAMPLE_TOKENS = 10_000",
    test: ROUTING,
  },
  {
    name: "routing: long prompts go beside any stream",
    file: "packages/core/constants.ts",
    find: "DELAYED_STREAM_WEIGHT = 0.3",
    replace: "DELAYED_STREAM_WEIGHT = 0",
    test: ROUTING,
  },
  {
    name: "caller: an early answer closes with bytes unread",
    file: "packages/caller/body.ts",
    find: "  request.resume();",
    replace: "  request.destroy();",
    test: CALLER,
  },
  {
    name: "caller: bodies of all callers together are unbounded",
    file: "packages/caller/body.ts",
    find: "budget.used + length > budget.limit",
    replace: "false",
    test: CALLER,
  },
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
    file: "packages/core/server_state.ts",
    find: `return server.info.state === "live" &&`,
    replace: "return true &&",
    test: DISPATCHER,
  },
  {
    name: "router: grants are ignored",
    file: "packages/core/router.ts",
    find: "serverState.isWithinGrant(pool, { className, now }) ||",
    replace: "pool.running >= 0 ||",
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
    name: "dispatcher: an overdue request is refused before it preempts",
    file: "packages/core/deadline_checks.ts",
    find:
      "if (victim !== undefined) attemptEnd.preemptAttempt(state, victim);\n    else if",
    replace: "if (hasOpenRecall(state, entry)) return;\n    else if",
    test: "packages/core/dispatcher_test.ts",
  },
  {
    name: "dispatcher: a higher tier is shed while lower work runs",
    file: "packages/core/admission_control.ts",
    find: "if (!isFull && hasPreemptibleWork(state, { request, pools })) {",
    replace: "if (!isFull && pools.length < 0) {",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a withdrawn key's queue is kept",
    file: "packages/core/attempt_end.ts",
    find:
      "entry.request.keyId === keyId)\n    .forEach((entry) =>\n      hostState.refuse",
    replace:
      "entry.request.keyId === `${keyId}!`)\n    .forEach((entry) =>\n      hostState.refuse",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a poison request is tried a third time",
    file: "packages/core/attempt_end.ts",
    find:
      "if (state.suspects.isPoison(request.fingerprint)) {\n    const poison",
    replace: 'if (request.fingerprint === "") {\n    const poison',
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
  {
    name: "dispatcher: a poison request is admitted again",
    file: "packages/core/admission_control.ts",
    find:
      "if (state.suspects.isPoison(request.fingerprint)) {\n    return { code",
    replace: 'if (request.fingerprint === "") {\n    return { code',
    test: DISPATCHER,
  },
  {
    name: "dispatcher: copies of a suspect run side by side",
    file: "packages/core/dispatching.ts",
    find: "if (queued.suspect && state",
    replace: 'if (queued.request.id === "" && state',
    test: DISPATCHER,
  },
  {
    name: "lease: its end is counted from the answer",
    file: "packages/core/lease.ts",
    find: "expiresAt: won.sentAt + terms",
    replace: "expiresAt: won.wonAt + terms",
    test: ORDERS,
  },
  {
    name: "lease: a successor does not wait for what is under way",
    file: "packages/core/lease.ts",
    find: "actsFrom: won.wonAt + won.flightMs",
    replace: "actsFrom: won.wonAt",
    test: ORDERS,
  },
  {
    name: "orders: the lease is not checked again before the send",
    file: "packages/fleet/orders.ts",
    find:
      'if (!core.mayAct(options.getLease(), options.clock.now())) {\n    return { kind: "not_leader" };\n  }\n  const sent',
    replace: "const sent",
    test: ORDERS,
  },
  {
    name: "usage: the lease is not checked before a report",
    file: "packages/usage/reporter.ts",
    find:
      'if (lease.kind === "none" || !core.mayAct(lease, options.clock.now())) {',
    replace: 'if (lease.kind === "none") {',
    test: USAGE,
  },
  {
    name: "usage: figures are not fixed before they are sent",
    file: "packages/usage/reporter.ts",
    find: '  if (swapped.val.kind === "won") {',
    replace: "  if (swapped.val.kind !== undefined) {",
    also: {
      find:
        'if (lease.kind === "none" || !core.mayAct(lease, options.clock.now())) {',
      replace: 'if (lease.kind === "none") {',
    },
    test: USAGE,
  },
  {
    name: "usage: batches behind a gap are counted",
    file: "packages/core/billing.ts",
    find: "listContiguous(held, this.#counted[source] ?? 0)",
    replace: '[...held.values()].filter(() => source !== "")',
    test: USAGE,
  },
  {
    name: "config: a lost answer counts as a lost race",
    file: "packages/store/client.ts",
    find:
      "if (current === undefined || current.value !== swap.value) return swapped;",
    replace:
      "if (current !== undefined || current !== swap.value) return swapped;",
    test: CONFIG,
  },
  {
    name: "config: a record behind a compaction counts as committed",
    file: "packages/store/config_store.ts",
    find: "if (pointer === undefined || pointer.revision < change.revision) {",
    replace: "if (pointer === undefined || change.revision > 0) {",
    test: CONFIG,
  },
  {
    name: "claims: whatever failed is released",
    file: "packages/banyangrade/operation_guard.ts",
    find: 'if (ended.refusal.ran === "no") await',
    replace: "await",
    test: CLAIMS,
  },
  {
    name: "claims: an unconfirmed claim is refused as not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: '      ran: "unknown",\n      waitMs: 2_000,\n      step: error.step',
    replace: '      ran: "no",\n      waitMs: 2_000,\n      step: error.step',
    test: CLAIMS,
  },
  {
    name: "claims: tidying takes back another host's claim",
    file: "packages/store/claims.ts",
    find:
      'if (found.writerToken !== token || found.state.kind !== "claimed") {',
    replace: 'if (found.state.kind !== "claimed") {',
    test: CLAIMS,
  },
  {
    name: "claims: a claim is not bound to the key's absence",
    file: "packages/store/sim.ts",
    find: "if (!this.kv.isAt(key, swap.expected) || !isLeaseValid) {",
    replace: "if (!isLeaseValid) {",
    test: CLAIMS,
  },
  {
    name: "given up: connections are closed in order",
    file: "packages/utils/resetting_client.ts",
    find: "if (resetting || socket.destroyed || !isInUse()) {",
    replace: "if (socket !== undefined) {",
    test: GIVEN_UP,
  },
  {
    name: "callers left: a late host does not read once more",
    file: "packages/banyangrade/gateway/request_handler.ts",
    find: "await utils.waitForReads();",
    replace: "",
    test: LEFT,
  },
];
