/** The mutations of `npm run mutate`, each with the test that must fail. */

/** A source change that introduces a fault. */
export interface Mutation {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  readonly test: string;
  /**
   * A second replacement, for faults that another check would otherwise mask.
   */
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
const ABANDONED = "packages/service/abandoned_request_test.ts";
const LIMITS = "packages/core/server_limits_test.ts";
const LIMITS_FUZZ = "packages/core/server_limits_fuzz_test.ts";
const RESTS = "packages/core/server_rests_test.ts";
const LEAVING = "packages/core/server_leaving_test.ts";
const STARTUP = "platform/startup_test.ts";
const SERVER_CHECKS = "packages/core/server_checks_test.ts";
const FAILURE_SHARES = "packages/core/failure_shares_test.ts";
const AVAILABILITY = "packages/core/server_availability_test.ts";
const UNEVEN_ENGINES = "packages/core/uneven_engines_test.ts";
const PACES = "packages/core/engine_paces_test.ts";
const HELD_BYTES = "packages/banyangrade/held_bytes_test.ts";
const LINKS = "packages/core/server_links_test.ts";
const LOST_LINKS = "packages/core/lost_links_test.ts";
const HANDOVER = "platform/handover_test.ts";
const BRITTLE = "packages/core/brittle_servers_test.ts";
const BRITTLE_SENDERS = "packages/core/brittle_senders_test.ts";
const VERSIONS = "packages/core/software_versions_test.ts";
const VERSIONS_FUZZ = "packages/core/software_versions_fuzz_test.ts";
const STREAM_ORIGINS = "platform/stream_origins_test.ts";
const HANDOVER_VERSIONS = "platform/handover_versions_test.ts";
const PARTS = "packages/core/part_blames_test.ts";
const PARTS_FUZZ = "packages/core/part_blames_fuzz_test.ts";
const SHARED_BLAMES = "platform/shared_blames_test.ts";
const FORWARD = "packages/service/forward_test.ts";
const CALLER_DISCONNECTS = "platform/caller_disconnects_test.ts";

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  {
    name: "tickets: the use of a ticket is not recorded",
    file: "packages/core/operations.ts",
    find: `this.#states.set(ticket, { kind: "running", ...by });`,
    replace: "",
    test: TICKETS,
  },
  {
    name:
      "tickets: a ticket can be used again although its operation may have run",
    file: "packages/banyangrade/operation_guard.ts",
    find: `ended.kind === "refused" && ended.refusal.ran === "no"`,
    replace: `ended.kind === "refused"`,
    test: TICKETS,
  },
  {
    name: "tickets: an unreachable issuer is reported as not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: `code: "conflict",\n    ran: "unknown",\n    waitMs: 2_000,`,
    replace: `code: "conflict",\n    ran: "no",\n    waitMs: 2_000,`,
    test: TICKETS,
  },
  {
    name: "tickets: a forgotten ticket is reported as not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: `ran: "unknown",\n          message: "Ticket unknown`,
    replace: `ran: "no",\n          message: "Ticket unknown`,
    test: TICKETS,
  },
  {
    name: "overflow: an expired grant of another failure domain is used",
    file: "packages/core/server_state.ts",
    find: "now - pool.grantedAt <= constants.GRANT_VALID_MS",
    replace: "true",
    test: DISPATCHER,
  },
  {
    name: "overflow: a suspect request is sent to other failure domains",
    file: "packages/core/dispatching.ts",
    find: "overflow: !suspect &&",
    replace: "overflow: true &&",
    test: DISPATCHER,
  },
  {
    name: "overflow: hosts of other failure domains get slots like local hosts",
    file: "packages/core/allocation.ts",
    find: "divideEvenly(own.filter((one) => !one.remote), left)",
    replace: "divideEvenly(own, left)",
    test: OVERFLOW,
  },
  {
    name:
      "overflow: a request waits for failure domains whose last grant fell short",
    file: "packages/core/overflow.ts",
    find: "return !isGrantKnown || !pool.short",
    replace: "return true || !pool.short",
    test: OVERFLOW,
  },
  {
    name: "routing: hosts have no preferred servers",
    file: "packages/core/partition.ts",
    find: "const position = hosts.toSorted().indexOf(host);",
    replace: "const position = hosts.length > 1 ? -1 : 0;",
    test: ROUTING,
  },
  {
    name: "routing: requests that other hosts run are not counted",
    file: "packages/core/server_state.ts",
    find: "return server.running + elsewhere.running;",
    replace: "return server.running;",
    test: ROUTING,
  },
  {
    name: "routing: server speed is measured from complete responses only",
    file: "packages/core/constants.ts",
    find: "SPEED_SAMPLE_TOKENS = 8",
    replace: "SPEED_SAMPLE_TOKENS = 10_000",
    test: ROUTING,
  },
  {
    name: "routing: long prompts ignore the streams that they delay",
    file: "packages/core/constants.ts",
    find: "DELAYED_STREAM_WEIGHT = 0.3",
    replace: "DELAYED_STREAM_WEIGHT = 0",
    test: ROUTING,
  },
  {
    name: "caller: an early response closes the connection with unread bytes",
    file: "packages/caller/body.ts",
    find: "  request.resume();",
    replace: "  request.destroy();",
    test: CALLER,
  },
  {
    name: "caller: the total size of buffered request bodies is unlimited",
    file: "packages/caller/body.ts",
    find: "budget.used + length > budget.limit",
    replace: "false",
    test: CALLER,
  },
  {
    name: "retry: a non-idempotent request that may have run is retried",
    file: "packages/core/retry.ts",
    find: `const safe = ran === "no" || failed.repeatable;`,
    replace: "const safe = true || failed.repeatable;",
    test: DISPATCHER,
  },
  {
    name: "retry: a timed-out attempt counts as not run",
    file: "packages/core/retry.ts",
    find: `    case "misdirected":\n      return "no";`,
    replace: `    case "misdirected":\n    case "timeout":\n      return "no";`,
    test: DISPATCHER,
  },
  {
    name: "retry: a refusal ignores whether earlier attempts may have run",
    file: "packages/core/retry.ts",
    find: `return first === "no" && second === "no" ? "no" : "unknown";`,
    replace: "return second;",
    test: DISPATCHER,
  },
  {
    name: "servers: a leaving server gets new requests",
    file: "packages/core/server_state.ts",
    find: `return server.info.state === "live" &&`,
    replace: "return true &&",
    test: DISPATCHER,
  },
  {
    name: "router: slot grants are ignored",
    file: "packages/core/router.ts",
    find: "serverState.isWithinGrant(pool, { className, now }) ||",
    replace: "pool.running >= 0 ||",
    test: DISPATCHER,
  },
  {
    name: "preemption: a non-idempotent request is preempted",
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
    name: "dispatcher: a higher tier is shed while a lower tier runs",
    file: "packages/core/admission_control.ts",
    find: "if (!isFull && hasPreemptibleWork(state, { request, pools })) {",
    replace: "if (!isFull && pools.length < 0) {",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: queued requests of a withdrawn key are kept",
    file: "packages/core/attempt_end.ts",
    find:
      "entry.request.keyId === keyId)\n    .forEach((entry) =>\n      hostState.refuse",
    replace:
      "entry.request.keyId === `${keyId}!`)\n    .forEach((entry) =>\n      hostState.refuse",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a poison request is run a third time",
    file: "packages/core/attempt_end.ts",
    find: "if (suspicion !== undefined) {",
    replace: 'if (suspicion !== undefined && request.id === "") {',
    test: DISPATCHER,
  },
  {
    name: "attempts: the late end of an old attempt ends the current attempt",
    file: "packages/core/attempts.ts",
    find:
      "if (current === undefined || current.attempt !== id.attempt) {\n      return undefined;",
    replace: "if (current === undefined) {\n      return undefined;",
    test: DISPATCHER,
  },
  {
    name: "dispatcher: a poison request is admitted again",
    file: "packages/core/admission_control.ts",
    find: "if (suspicion !== undefined) return suspicion;",
    replace: "void suspicion;",
    test: "packages/core/dispatcher_test.ts",
  },
  {
    name: "dispatcher: copies of a suspect request run concurrently",
    file: "packages/core/dispatching.ts",
    find: "if (queued.suspect && state",
    replace: 'if (queued.request.id === "" && state',
    test: DISPATCHER,
  },
  {
    name: "lease: expiry is counted from the response instead of the request",
    file: "packages/core/lease.ts",
    find: "expiresAt: won.sentAt + terms",
    replace: "expiresAt: won.wonAt + terms",
    test: ORDERS,
  },
  {
    name: "lease: a new holder does not wait for requests in flight",
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
    name:
      "usage: figures are sent although another reporter stored different ones",
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
    name: "usage: batches after a gap are counted",
    file: "packages/core/billing.ts",
    find: "listContiguous(held, this.#counted[source] ?? 0)",
    replace: '[...held.values()].filter(() => source !== "")',
    test: USAGE,
  },
  {
    name: "config: a commit whose response was lost counts as a conflict",
    file: "packages/store/client.ts",
    find:
      "if (current === undefined || current.value !== swap.value) return swapped;",
    replace:
      "if (current !== undefined || current !== swap.value) return swapped;",
    test: CONFIG,
  },
  {
    name: "config: a record that a compaction has passed counts as committed",
    file: "packages/store/config_store.ts",
    find: "if (pointer === undefined || pointer.revision < change.revision) {",
    replace: "if (pointer === undefined || change.revision > 0) {",
    test: CONFIG,
  },
  {
    name: "claims: a claim is released although the operation may have run",
    file: "packages/banyangrade/operation_guard.ts",
    find: 'if (ended.refusal.ran === "no") await',
    replace: "await",
    test: CLAIMS,
  },
  {
    name: "claims: an unconfirmed claim is reported as not run",
    file: "packages/banyangrade/operation_guard.ts",
    find: '      ran: "unknown",\n      waitMs: 2_000,\n      step: error.step',
    replace: '      ran: "no",\n      waitMs: 2_000,\n      step: error.step',
    test: CLAIMS,
  },
  {
    name: "claims: tidying deletes the claim of another host",
    file: "packages/store/claims.ts",
    find:
      'if (found.writerToken !== token || found.state.kind !== "claimed") {',
    replace: 'if (found.state.kind !== "claimed") {',
    test: CLAIMS,
  },
  {
    name: "claims: a claim is written although the key exists",
    file: "packages/store/simulated_store.ts",
    find: "if (!this.kv.isAt(key, swap.expected) || !isLeaseValid) {",
    replace: "if (!isLeaseValid) {",
    test: CLAIMS,
  },
  {
    name: "abandoned requests: connections are closed without a reset",
    file: "packages/utils/resetting_client.ts",
    find: "if (resetting || socket.destroyed || !isInUse()) {",
    replace: "if (socket !== undefined) {",
    test: ABANDONED,
  },
  {
    name:
      "caller disconnects: a delayed host does not read its sockets once more",
    file: "packages/banyangrade/gateway/request_handler.ts",
    find: "await utils.waitForSocketPoll();",
    replace: "",
    test: CALLER_DISCONNECTS,
  },
  {
    name: "limits: each host uses the whole limit of a server",
    file: "packages/core/rate_permits.ts",
    find: "1_000 * this.#hosts / perSecond",
    replace: "1_000 / perSecond",
    test: LIMITS_FUZZ,
  },
  {
    name: "limits: a limited server is chosen without a permit",
    file: "packages/core/router.ts",
    find: "this.#limits.mayUse(server.info.name, now)",
    replace: "true",
    test: LIMITS,
  },
  {
    name: "limits: a response to an older request ends a limit",
    file: "packages/core/server_limits.ts",
    find: "sentAt > known.at",
    replace: "true",
    test: LIMITS,
  },
  {
    name: "limits: hosts do not learn limits from each other",
    file: "packages/core/server_limits.ts",
    find: "if (record.at > (known?.at ?? -Infinity) + marginMs) {",
    replace: "if (marginMs < 0) {",
    test: LIMITS,
  },
  {
    name: "rests: a server that asked for rest is chosen",
    file: "packages/core/server_state.ts",
    find: "if (until > server.ejectedUntil) ejectServer(server, until);",
    replace: "",
    test: RESTS,
  },
  {
    name: "rests: a shorter rest ends a longer one",
    file: "packages/core/server_state.ts",
    find: "server.restUntil = Math.max(server.restUntil, until);",
    replace: "server.restUntil = until;",
    test: RESTS,
  },
  {
    name: "rests: requests wait although all servers rest for too long",
    file: "packages/core/admission_control.ts",
    find: "!serverWaits.mayStartInTime(state, request)",
    replace: "false",
    test: RESTS,
  },
  {
    name: "rests: a request is sent once its connection is open",
    file: "packages/service/connections.ts",
    find: "pool.compose(sendGate.createSendGate(maySend))",
    replace: "pool",
    test: "packages/service/send_gate_test.ts",
  },
  {
    name: "leaving: an announcement in a response is ignored",
    file: "packages/core/dispatcher.ts",
    find: "if (signals.leaving) state.table.recordLeaving(server);",
    replace: "",
    test: LEAVING,
  },
  {
    name: "leaving: a server that is listed again is used again",
    file: "packages/core/servers.ts",
    find: ".forEach((name) => this.#servers.delete(name));\n    infos.map",
    replace:
      ".forEach((name) => {\n        this.#servers.delete(name);\n        this.#leaving.delete(name);\n      });\n    infos.map",
    test: LEAVING,
  },
  {
    name: "limits: the permits of a limit start anew with each response",
    file: "packages/core/server_limits.ts",
    find: 'if (reason === "evict") this.#permits.forget(server);',
    replace: "this.#permits.forget(server);",
    test: LIMITS,
  },
  {
    name:
      "misdirected: an address at which another server answers is used again",
    file: "packages/core/servers.ts",
    find: ' || failure === "misdirected"',
    replace: "",
    test: "platform/host_test.ts",
  },
  {
    name: "limits: a host that is cut off takes the shares of the others",
    file: "packages/core/dispatcher.ts",
    find: "const largest = state.hostCount.record(hosts, state.now);",
    replace: "const largest = hosts;",
    test: "packages/core/host_count_test.ts",
  },
  {
    name: "limits: requests wait for a permit that does not come in time",
    file: "packages/core/server_waits.ts",
    find: "limits.getWaitMs(server.info.name, now),",
    replace: "0,",
    test: LIMITS,
  },
  {
    name: "held bytes: callers that do not read are never disconnected",
    file: "packages/core/byte_budget.ts",
    find: 'return share < 1 ? "full" : "over";',
    replace: 'return "full";',
    test: HELD_BYTES,
  },
  {
    name: "held bytes: additions after the end of a request are counted",
    file: "packages/banyangrade/gateway/held_bytes.ts",
    find: "        if (closed) return;\n        held += bytes;",
    replace: "        held += bytes;",
    test: HELD_BYTES,
  },
  {
    name: "held bytes: bodies are read without waiting for others",
    file: "packages/banyangrade/gateway/held_bytes.ts",
    find: "return this.#hasSpace(bytes);",
    replace: "return true;",
    test: HELD_BYTES,
  },
  {
    name: "held bytes: the bytes in flight to a server are not bounded",
    file: "packages/core/byte_budget.ts",
    find: "if (sum > bound) return false;",
    replace: "",
    test: "packages/core/byte_budget_test.ts",
  },
  {
    name: "held bytes: a server that ends an unread stream has failed",
    file: "packages/service/forward.ts",
    find: "      isEndUnread(reading);",
    replace: "      false;",
    test: "packages/service/forward_test.ts",
  },
  {
    name: "startup: requests do not wait for the list of servers",
    file: "packages/banyangrade/gateway/cluster_state_task.ts",
    find:
      "const isComplete = this.#table !== undefined && this.#serversLoaded &&",
    replace: "const isComplete = this.#table !== undefined &&",
    test: STARTUP,
  },
  {
    name: "startup: a stop leaves requests waiting",
    file: "packages/banyangrade/gateway/gateway_host.ts",
    find: "state.draining = true;\n  startupWaits.refuseAll();",
    replace: "state.draining = true;",
    test: STARTUP,
  },
  {
    name: "startup: the wait does not end before the caller abandons it",
    file: "packages/core/body_wait.ts",
    find: "MAX_WAIT_SHARE * (callerMs ?? Number.POSITIVE_INFINITY)",
    replace: "Number.POSITIVE_INFINITY",
    test: "packages/core/startup_admission_test.ts",
  },
  {
    name: "relay: hosts with slow links attempt as early as the others",
    file: "packages/core/relay_candidacy.ts",
    find: "LINK_DELAY_MS / linkMbps",
    replace: "0 * linkMbps",
    test: "packages/core/relay_candidacy_test.ts",
  },
  {
    name: "lease: rounds run concurrently",
    file: "packages/store/lease_holder.ts",
    find: "if (advancing) return;",
    replace: "",
    test: "packages/store/lease_holder_test.ts",
  },
  {
    name: "overdue: data of other attempts does not count for a server",
    file: "packages/core/unresponsive_servers.ts",
    find: "getLastResponseAt(server) <= since && now",
    replace: "now",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: servers that are overdue get new requests",
    file: "packages/core/server_state.ts",
    find: "return isOverdue(server, now) || (isUntried",
    replace: "return (isUntried",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: an at-most-once request is stopped and sent again",
    file: "packages/core/server_checks.ts",
    find: "repeatable: request.repeatable,",
    replace: "repeatable: true,",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: requests are moved beyond the retry budget",
    file: "packages/core/server_checks.ts",
    find: "}, () => state.budget.take(request.target, state.now));",
    replace: "}, () => true);",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: a delay of the process counts as silence of the servers",
    file: "packages/core/server_checks.ts",
    find: "if (sinceLastMs > MAX_CHECK_GAP_MS) return;",
    replace: "",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: a host that is cut off ejects the other failure domains",
    file: "packages/core/server_checks.ts",
    find: "domain !== failureDomain && at > silentSince",
    replace: "domain !== failureDomain",
    test: SERVER_CHECKS,
  },
  {
    name: "overdue: all requests try an ejected failure domain",
    file: "packages/core/server_state.ts",
    find: " || (isUntried(server, now) && !mayTry)",
    replace: "",
    test: SERVER_CHECKS,
  },
  {
    name: "availability: ejected servers are not tried",
    file: "packages/core/server_availability.ts",
    find: "open.filter((server) => mayTryEjected(server, now))",
    replace: "[]",
    test: AVAILABILITY,
  },
  {
    name: "availability: a server that is gone gets all requests",
    file: "packages/core/server_availability.ts",
    find: "server.running === 0 && now >= server.retryAt",
    replace: "hasFreeSlot(server, now)",
    test: AVAILABILITY,
  },
  {
    name: "availability: a response does not end an ejection",
    file: "packages/core/attempt_end.ts",
    find:
      "if (ended.toEjected) serverAvailability.endEjection(server, state.now);",
    replace: "",
    test: AVAILABILITY,
  },
  {
    name: "availability: admission refuses while ejected servers are tried",
    file: "packages/core/admission_control.ts",
    find: "const isSlow = !isPanicking && slotMs",
    replace: "const isSlow = slotMs",
    test: AVAILABILITY,
  },
  {
    name: "availability: the only server stays in its slow start",
    file: "packages/core/server_availability.ts",
    find: "if (starting.length > 0) return starting;",
    replace: "",
    test: AVAILABILITY,
  },
  {
    name: "availability: the slow start after a rest is shortened",
    file: "packages/core/server_availability.ts",
    find: "server.admittedAt !== server.restUntil && ",
    replace: "",
    test: AVAILABILITY,
  },
  {
    name: "speeds: engines are drawn regardless of their speed",
    file: "packages/core/engine_choice.ts",
    find:
      "function getSpeed({ speed = 1 }: EngineView): number {\n  return speed;",
    replace:
      "function getSpeed({ speed = 1 }: EngineView): number {\n  return speed ** 0;",
    test: UNEVEN_ENGINES,
  },
  {
    name: "speeds: a transient slow phase raises the estimate",
    file: "packages/core/engine_paces.ts",
    find: "const MIN_COVERED_MS = 650;",
    replace: "const MIN_COVERED_MS = 0;",
    test: PACES,
  },
  {
    name: "speeds: a permanent slowdown is noticed too late",
    file: "packages/core/engine_paces.ts",
    find: "const WINDOW_MS = 2_000;",
    replace: "const WINDOW_MS = 20_000;",
    test: PACES,
  },
  {
    name: "failure shares: one host alone takes a server from all hosts",
    file: "packages/core/failure_shares.ts",
    find: "|| known.hosts < MIN_HOSTS",
    replace: "",
    test: FAILURE_SHARES,
  },
  {
    name: "failure shares: servers that fail alike are limited",
    file: "packages/core/failure_shares.ts",
    find: "failed >= MAX_SERVICE_SHARE * ended",
    replace: "failed > ended",
    test: FAILURE_SHARES,
  },
  {
    name: "failure shares: a limited server is chosen as often as others",
    file: "packages/core/router.ts",
    find: "this.#random.next() >= success",
    replace: "success > 1",
    test: FAILURE_SHARES,
  },
  {
    name: "relay: followers keep a relay that the store rejects",
    file: "packages/banyangrade/gateway/relay_task.ts",
    find: "const isUnready = ready === false;",
    replace: "const isUnready = false;",
    test: "packages/banyangrade/relay_replacement_test.ts",
  },
  {
    name: "relay: the former relay does not learn of its successor",
    file: "packages/banyangrade/gateway/relay_task.ts",
    find: "this.#former = relay;",
    replace: "",
    test: "packages/banyangrade/relay_replacement_test.ts",
  },
  {
    name: "relay: followers that the store rejects give up their relay",
    file: "packages/core/relay_candidacy.ts",
    find: "if (this.#servedSince === undefined) return false;",
    replace: "this.#servedSince ??= 0;",
    also: { find: "&& this.#servedAt > this.#unreadySince", replace: "" },
    test: "packages/core/relay_candidacy_test.ts",
  },
  {
    name: "links: the end of one server counts as their loss",
    file: "packages/core/server_links.ts",
    find: "const MIN_UNREACHABLE = 2;",
    replace: "const MIN_UNREACHABLE = 1;",
    test: LINKS,
  },
  {
    name: "links: silence alone counts as their loss",
    file: "packages/core/server_links.ts",
    find: "    if (!reachable) {",
    replace: "    if (!reachable || this.#silent.size > 1) {",
    test: LINKS,
  },
  {
    name: "links: all requests return at once",
    file: "packages/core/server_links.ts",
    find: "const RETURN_MS = 2_000;",
    replace: "const RETURN_MS = 1;",
    test: LINKS,
  },
  {
    name: "handover: a request is handed on and on",
    file: "packages/core/handover.ts",
    find: "return !request.handedOver && ",
    replace: "return ",
    test: LOST_LINKS,
  },
  {
    name: "handover: a body leaves the regions of its route",
    file: "packages/core/handover.ts",
    find: "(allowedDomains?.includes(peer.failureDomain) ?? true)",
    replace: "true",
    test: LOST_LINKS,
  },
  {
    name: "handover: a booking that hangs is sent again",
    file: "packages/core/server_checks.ts",
    find: "    repeatable: request.repeatable,",
    replace: "    repeatable: true,",
    test: LOST_LINKS,
  },
  {
    name: "handover: both hosts count the first attempt",
    file: "packages/core/admission_control.ts",
    find: "if (!request.handedOver) {",
    replace: "if (request.target !== undefined) {",
    test: LOST_LINKS,
  },
  {
    name: "handover: anyone passes as a host",
    file: "packages/banyangrade/gateway/handover_protocol.ts",
    find: "if (!utils.isSameDigest(digest, secretDigest)) return",
    replace: "if (secretDigest === digest + digest) return",
    test: HANDOVER,
  },
  {
    name: "handover: a request that runs elsewhere is refused as not run",
    file: "packages/banyangrade/gateway/request_exchange.ts",
    find: 'this.#ran = core.mergeRan(ranBefore, "unknown");',
    replace: "",
    test: "platform/handover_ran_test.ts",
  },
  {
    name: "doubts: servers behind lost links count as ended",
    file: "packages/core/attempt_end.ts",
    find: "const doubtful = linkChecks.isBehindLostLinks(state, server);",
    replace: 'const doubtful = server === "";',
    test: LOST_LINKS,
  },
  {
    name: "doubts: servers that were lost before the links count as ended",
    file: "packages/core/link_checks.ts",
    find: "      markDoubtful(state, pool);\n",
    replace: "",
    test: LOST_LINKS,
  },
  {
    name: "doubts: a server that is back counts as one that has not ended",
    file: "packages/core/server_doubts.ts",
    find: "(heardAt - at <= EARLY_MS ||",
    replace: "(heardAt > at ||",
    test: LOST_LINKS,
  },
  {
    name: "doubts: a server that is heard of late stays in doubt",
    file: "packages/core/server_doubts.ts",
    find: "now - heardAt >= SETTLE_MS)",
    replace: "now < heardAt)",
    test: LOST_LINKS,
  },
  {
    name: "doubts: hosts do not tell which servers have not ended",
    file: "packages/core/suspect_checks.ts",
    find: "withdrawLosses(state, { server, at })\n",
    replace: "void [server, at]\n",
    test: LOST_LINKS,
  },
  {
    name: "doubts: a withdrawn mark counts again when it arrives late",
    file: "packages/core/suspect_checks.ts",
    find: "!doubts.isWrong({ server, at })",
    replace: 'server !== "" || at < 0',
    test: LOST_LINKS,
  },
  {
    name:
      "doubts: a request that has ended servers for certain is left to others",
    file: "packages/core/handover.ts",
    find:
      "isTakenElsewhere(state, request) && !isSuspectForSure(state, request);",
    replace: "isTakenElsewhere(state, request);",
    test: LOST_LINKS,
  },
  {
    name: "doubts: a request in doubt is refused by a host without links",
    file: "packages/core/suspect_checks.ts",
    find: "return handover.isLeftToPeers(state, request)",
    replace: 'return request.id === ""',
    test: LOST_LINKS,
  },
  {
    name: "doubts: servers of requests in doubt are not tried",
    file: "packages/core/suspect_checks.ts",
    find: "doubts.takeTrials(now)",
    replace: "doubts.takeTrials(now - 600_000)",
    test: LOST_LINKS,
  },
  {
    name: "suspects: a request that is refused is forgotten by hosts",
    file: "packages/banyangrade/gateway/host_updates.ts",
    find: "[...dispatch.listPoisonMarks(), ...recent]",
    replace: "[...recent]",
    test: "platform/late_poison_test.ts",
  },
  {
    name: "lost links: failures of servers out of reach are reported",
    file: "packages/core/link_checks.ts",
    find: "state.failureShares.forget(pool, listLive(state, pool));",
    replace: "",
    test: LOST_LINKS,
  },
  {
    name: "lost links: demand is counted by two hosts",
    file: "packages/core/dispatcher.ts",
    find: "!handover.isServedElsewhere(this.#state, target)",
    replace: 'target !== ""',
    test: LOST_LINKS,
  },
  {
    name: "lost links: servers stay ejected once they are back",
    file: "packages/core/link_checks.ts",
    find: "return state.table.admitReachable(pool, state.now);",
    replace: "return;",
    test: LOST_LINKS,
  },
  {
    name: "framing: a reset that arrives with data counts as a close",
    file: "packages/service/connections.ts",
    find: "return socket.errored !== null;",
    replace: "return false;",
    test: FORWARD,
  },
  {
    name: "brittle: each host takes all slots",
    file: "packages/core/brittle_servers.ts",
    find: "Math.floor(slots / (this.#hosts ?? slots))",
    replace: "slots",
    test: BRITTLE,
  },
  {
    name: "brittle: a refusal changes nothing",
    file: "packages/core/brittle_servers.ts",
    find: "      refusedAt: now,\n",
    replace: "",
    test: BRITTLE,
  },
  {
    name: "brittle: permits use all that a server bears",
    file: "packages/core/brittle_servers.ts",
    find: "const MARGIN = 6;",
    replace: "const MARGIN = 0;",
    test: BRITTLE,
  },
  {
    name: "brittle: other hosts send to a server that has a sender",
    file: "packages/core/brittle_servers.ts",
    find: 'case "other":\n        return false;',
    replace: 'case "other":\n        return true;',
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a sender exceeds the slots",
    file: "packages/core/brittle_servers.ts",
    find: "if (now < pausedUntil || running >= slots) return false;",
    replace: "if (now < pausedUntil) return false;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a sender goes on after a refusal",
    file: "packages/core/brittle_servers.ts",
    find: "if (now < pausedUntil || running >= slots) return false;",
    replace: "if (running >= slots) return false;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a sender starts more than may be refused at once",
    file: "packages/core/brittle_servers.ts",
    find: "if (running < window) return countSince(REFUSAL_MS) < most;",
    replace: "if (running < window) return true;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a crash leaves the sender its window",
    file: "packages/core/brittle_servers.ts",
    find: "this.#uses.set(target.server, { ...UNUSED, pausedUntil });",
    replace: "",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a silent server counts as sound",
    file: "packages/core/brittle_records.ts",
    find: "return this.#findServiceRate(service, now);",
    replace: "return undefined;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: one brittle server makes its whole service brittle",
    file: "packages/core/brittle_records.ts",
    find: "siblings.length >= SERVICE_SHARE * listed",
    replace: "siblings.length >= 1",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: the end is not shared",
    file: "packages/core/brittle_records.ts",
    find: "if (hasEnded) return this.#end({ ...record, own: false });",
    replace: "if (hasEnded) return;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: an end counts at once although clocks may differ",
    file: "packages/core/brittle_records.ts",
    find: "const END_MARGIN_MS = 2_000;",
    replace: "const END_MARGIN_MS = 0;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: each change of the hosts moves servers",
    file: "packages/core/brittle_senders.ts",
    find: "one.servers.includes(server) &&",
    replace: "one === undefined &&",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a new relay names itself for all servers",
    file: "packages/core/brittle_senders.ts",
    find: "if (servers.length === 0 || !isTold) return [];",
    replace: "if (servers.length === 0) return [];",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a new sender does not wait for the one before",
    file: "packages/core/brittle_servers.ts",
    find: "hadSender ? now + CHANGE_MS : 0",
    replace: "0",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a sender that is cut off goes on",
    file: "packages/core/brittle_servers.ts",
    find: "const OWN_VALID_MS = 5_000;",
    replace: "const OWN_VALID_MS = 60_000;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: the end is told only once",
    file: "packages/core/brittle_records.ts",
    find: "const END_REPEAT_MS = 4_000;",
    replace: "const END_REPEAT_MS = -1;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle: a sender tries for more room right after a refusal",
    file: "packages/core/brittle_servers.ts",
    find: "growsFrom: isSender ? now + HOLD_MS : now,",
    replace: "growsFrom: now,",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: one host sends to all servers",
    file: "packages/core/brittle_senders.ts",
    find: "candidates.filter((one) => counts.get(one) === fewest),",
    replace: "candidates,",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: two relays choose for each other's servers",
    file: "packages/core/brittle_senders.ts",
    find: '!live.includes(failureDomain ?? "") &&',
    replace: "",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a relay that has just started replaces others",
    file: "packages/core/brittle_senders.ts",
    find: " && now - since > RELAY_VALID_MS",
    replace: "",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: each relay's word counts at its own hosts",
    file: "packages/core/brittle_senders.ts",
    find: "const isFirst = known === undefined ||",
    replace: "const isFirst = true ||",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: each host is told all",
    file: "packages/core/brittle_senders.ts",
    find: "return count < MAX_OTHER_SENDERS;",
    replace: "return count >= 0;",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a host keeps what it cannot start",
    file: "packages/core/handover.ts",
    find: "  senderHandover.forwardToSenders(state);\n",
    replace: "",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a request is handed on again and again",
    file: "packages/core/sender_handover.ts",
    find: "return !request.handedOver && state.brittle.hasAny() &&",
    replace: "return state.brittle.hasAny() &&",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: requests go to senders that are full",
    file: "packages/core/sender_handover.ts",
    find: "Number(b.room > 0) - Number(a.room > 0) ||",
    replace: "Number(a.room > 0) - Number(b.room > 0) ||",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a host that failed is tried again",
    file: "packages/core/brittle_servers.ts",
    find: "(this.#failedPeers.get(one.sender.host) ?? 0) <= now",
    replace: "true",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: a sender hands over what it can start",
    file: "packages/core/sender_handover.ts",
    find: ".filter((target) => measureOwnRoom(state, target)?.free === 0),",
    replace:
      ".filter((target) => measureOwnRoom(state, target) !== undefined),",
    test: BRITTLE_SENDERS,
  },
  {
    name: "brittle senders: relays name none",
    file: "packages/banyangrade/gateway/host_status_task.ts",
    find: "{ ...core.EMPTY_SUMMARY, senders: this.#chooseSenders() },",
    replace: "",
    also: {
      find: "...(senders.length > 0 && { senders }),",
      replace: "",
    },
    test: "platform/brittle_service_test.ts",
  },
  {
    name: "brittle: the router ignores it",
    file: "packages/core/router.ts",
    find: "(!hasBrittle ||",
    replace: "(true ||",
    test: "platform/server_brittle_test.ts",
  },
  {
    name: "versions: a stream that has begun is not bound to its version",
    file: "packages/core/attempts.ts",
    find: "return isBound ? request : { ...request, software };",
    replace: "return isBound ? request : { ...request };",
    test: VERSIONS,
  },
  {
    name: "versions: a server of any version may run a bound request",
    file: "packages/core/server_state.ts",
    find: "if (software !== undefined && software !== version) return false;",
    replace: "void [software, version];",
    test: VERSIONS,
  },
  {
    name: "versions: streams of a version without servers wait",
    file: "packages/core/dispatcher.ts",
    find: "strandedRequests.refuseStranded(state);",
    replace: "void strandedRequests;",
    test: VERSIONS,
  },
  {
    name: "versions: a version is forgotten when its last server goes",
    file: "packages/core/software_versions.ts",
    find: "if (!next.has(software)) known.goneAt.set(software, now);",
    replace: "void software;",
    test: VERSIONS_FUZZ,
  },
  {
    name:
      "versions: a host that has just started takes its list for the whole past",
    file: "packages/core/software_versions.ts",
    find: 'kind: isYoung ? "young" : "single"',
    replace: 'kind: isYoung ? "single" : "single"',
    test: VERSIONS_FUZZ,
  },
  {
    name: "versions: a host that reaches no other one guesses",
    file: "packages/core/software_versions.ts",
    find: 'if (asked && !isAnswered) return { kind: "unknown" };',
    replace: "void [asked, isAnswered];",
    test: VERSIONS,
  },
  {
    name: "versions: a host trusts its list, whatever others know",
    file: "packages/core/software_versions.ts",
    find: "const views = [own, ...others];",
    replace: "const views = [own];",
    test: VERSIONS,
  },
  {
    name: "versions: a host shares no streams",
    file: "packages/banyangrade/gateway/stream_origins_task.ts",
    find: "const origins = [...pending, ...copies];",
    replace: "const origins = [...pending, ...copies].slice(0, 0);",
    test: STREAM_ORIGINS,
  },
  {
    name: "versions: a stream is handed over without its version",
    file: "packages/banyangrade/gateway/handover_exchange.ts",
    find: "{ elapsedMs, sent, software: effect.request.software },",
    replace: "{ elapsedMs, sent, software: (void effect, undefined) },",
    test: HANDOVER_VERSIONS,
  },
  {
    name: "parts: an answer does not clear the parts of its prompt",
    file: "packages/core/part_blames.ts",
    find: "if (markedAt <= at) marks.delete(server);",
    replace: "void [markedAt, marks, server];",
    test: PARTS_FUZZ,
  },
  {
    name: "parts: servers that are lost at once count one by one",
    file: "packages/core/part_blames.ts",
    find: "if (at - last < SAME_MOMENT_MS) return;",
    replace: "void last;",
    test: PARTS,
  },
  {
    name: "parts: crashes that a blamed part explains count for others too",
    file: "packages/core/part_blames.ts",
    find: "!better.some((other) => other.crashes.has(server))",
    replace: 'better.length >= 0 || server === ""',
    test: PARTS,
  },
  {
    name: "parts: a blamed part is tried again and again",
    file: "packages/core/part_blames.ts",
    find: "TRIAL_AFTER_MS[part?.trials.size ?? 0]",
    replace: "TRIAL_AFTER_MS[0 * (part?.trials.size ?? 0)]",
    test: PARTS,
  },
  {
    name: "parts: a request in the middle of its answer is suspect",
    file: "packages/core/crashing_parts.ts",
    find: "const hasBegun = offset + tokens > 0 ||",
    replace: "const hasBegun = offset + tokens < 0 ||",
    test: PARTS,
  },
  {
    name: "parts: queued requests with a blamed part are sent",
    file: "packages/core/crashing_parts.ts",
    find: "findRefusal(state, request) !== undefined\n  ).forEach",
    replace: 'findRefusal(state, request)?.code === "draining"\n  ).forEach',
    test: PARTS,
  },
  {
    name: "parts: a request with a blamed part is sent again",
    file: "packages/core/attempt_end.ts",
    find: "if (blame !== undefined) {",
    replace: 'if (blame !== undefined && request.id === "") {',
    test: PARTS,
  },
  {
    name: "parts: hosts do not tell each other when a part crashed a server",
    file: "packages/core/crashing_parts.ts",
    find: "suspectMarks.reportSuspect(state, { ...mark, doubtful })",
    replace: "doubtful ? suspectMarks.reportSuspect(state, mark) : mark",
    test: SHARED_BLAMES,
  },
  {
    name: "framing: a response without a length is complete when it is reset",
    file: "packages/service/forward.ts",
    find: "return isReset ? failReset(outcome) : outcome;",
    replace: "void isReset;\n    return outcome;",
    test: FORWARD,
  },
  {
    name:
      "versions: a host takes over a version although another one served too",
    file: "packages/core/software_versions.ts",
    find: "if (!isSeveral && singles.length > 0) {",
    replace: "void isSeveral;\n      if (singles.length > 0) {",
    test: VERSIONS,
  },
];
