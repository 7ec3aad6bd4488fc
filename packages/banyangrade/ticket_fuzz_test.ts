/**
 * Fuzz test of operations with tickets: an operation runs at most once, and a refusal does
 * not claim that it did not run although it did. Callers retry at several hosts while calls
 * between hosts are delayed or lost and hosts crash.
 */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as simulatedHosts from "@banyangrade/store/simulated_hosts.js";
import * as utils from "@banyangrade/utils";
import type * as call from "./call_exchange.ts";
import * as operation from "./operation.ts";
import * as guard from "./operation_guard.ts";

const RUNS = Number(process.env.FUZZ_RUNS ?? 1_000);
const SEED = Number(process.env.FUZZ_SEED ?? 20_261_203);
const HOSTS = 3;

type BackendResult = "whole" | "lost" | "not_run";

type Step =
  | { readonly kind: "issue"; readonly host: number }
  | {
    readonly kind: "send";
    readonly host: number;
    readonly ticket: number;
    /** Whether the request has another body than others with its ticket. */
    readonly other: boolean;
  }
  | { readonly kind: "deliver"; readonly pick: number }
  | { readonly kind: "lose"; readonly pick: number }
  | {
    readonly kind: "backend";
    readonly pick: number;
    readonly result: BackendResult;
  }
  | { readonly kind: "crash"; readonly host: number };

const host = fc.nat({ max: HOSTS - 1 });
const pick = fc.nat({ max: 9 });
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant("issue" as const), host }),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("send" as const),
      host,
      ticket: fc.nat({ max: 2 }),
      other: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant("deliver" as const), pick }),
  },
  fc.record({ kind: fc.constant("lose" as const), pick }),
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("backend" as const),
      pick,
      result: fc.constantFrom<BackendResult>("whole", "lost", "not_run"),
    }),
  },
  fc.record({ kind: fc.constant("crash" as const), host }),
);

/** A request or response in transit between two hosts. */
interface PendingMessage {
  readonly deliver: () => void;
  readonly lose: () => void;
}

interface RunningOperation {
  readonly id: string;
  readonly end: (outcome: call.CallOutcome) => void;
}

class Harness {
  readonly tickets: string[] = [];
  readonly pendingMessages: PendingMessage[] = [];
  readonly runningOperations: RunningOperation[] = [];
  readonly ran = new Map<string, number>();
  /** Description of a violated invariant; undefined if there is none. */
  failure: string | undefined;
  readonly #incarnations = [0, 0, 0];
  readonly #guards = [0, 1, 2].map((at) => this.#create(at));

  #create(at: number): guard.TicketGuard {
    return new guard.TicketGuard({
      origin: { host: `h${at}`, incarnation: `i${this.#incarnations[at]}` },
      clients: { call: (to, run) => this.#callHost(to, run) },
      findAddress: (name) => name,
    });
  }

  /** Calls another host; the request and the response may each be lost. */
  async #callHost<Answer>(
    to: { readonly address: string; readonly step: string },
    run: (
      client: Parameters<Parameters<peer.PeerClients["call"]>[1]>[0],
      signal: AbortSignal,
    ) => Promise<Answer>,
  ): Promise<utils.Result<Answer, utils.StepError>> {
    const at = Number(to.address.slice(1));
    const ticket = {
      mutate: async (message: peer.TicketMessage) => {
        await this.#waitForDelivery();
        const answer = await this.#runAt(at, {
          ticket: message.ticket,
          body: message.body,
        });
        await this.#waitForDelivery();
        return operation.toTicketAnswer(answer);
      },
    };
    const client = { ticket } as unknown as Parameters<typeof run>[0];
    try {
      return utils.Ok(await run(client, new AbortController().signal));
    } catch {
      const { address: peerName, step: stepName } = to;
      const details = { step: stepName, peer: peerName, message: "Lost." };
      return utils.Err(utils.createStepError("unreachable", details));
    }
  }

  #waitForDelivery(): Promise<void> {
    return new Promise((resolve, reject) =>
      this.pendingMessages.push({
        deliver: resolve,
        lose: () => reject(new Error("Lost.")),
      })
    );
  }

  /**
   * Runs an operation at the issuer of its ticket and checks the outcome immediately:
   * while a "not run" outcome is in transit, a retry of the caller may begin to run.
   */
  async #runAt(
    at: number,
    sent: { readonly ticket: string; readonly body: string },
  ): Promise<guard.GuardOutcome> {
    const outcome = await this.#guards[at].run({
      customer: "c",
      idempotencyKey: sent.ticket,
      fingerprint: sent.body,
      run: () =>
        new Promise((end) =>
          this.runningOperations.push({
            id: `${sent.ticket}/${sent.body}`,
            end,
          })
        ),
    });
    const reported = outcome.kind === "refused"
      ? outcome.refusal.ran
      : "answer";
    this.#checkReported(reported, sent);
    return outcome;
  }

  #checkReported(
    reported: core.Ran | "answer",
    { ticket, body }: { readonly ticket: string; readonly body: string },
  ): void {
    const count = this.ran.get(`${ticket}/${body}`) ?? 0;
    if (reported === "no" && count > 0) this.failure = `"not run", but it ran`;
    if (reported === "answer" && count !== 1) this.failure = "answered, no run";
  }

  async run(next: Step): Promise<void> {
    switch (next.kind) {
      case "issue":
        this.tickets.push(this.#guards[next.host].issue("c"));
        break;
      case "send":
        // Not awaited: the response is checked when it arrives, in a later step.
        void this.#send(next);
        break;
      case "deliver":
        this.#takePendingMessage(next.pick)?.deliver();
        break;
      case "lose":
        this.#takePendingMessage(next.pick)?.lose();
        break;
      case "backend":
        this.#endBackendRun(next);
        break;
      case "crash":
        this.#incarnations[next.host] += 1;
        this.#guards[next.host] = this.#create(next.host);
    }
    await new Promise((resolve) => setImmediate(resolve));
    simulatedHosts.assertHolds(this.failure === undefined, this.failure ?? "");
  }

  async #send(next: Extract<Step, { kind: "send" }>): Promise<void> {
    const ticket = this.tickets[next.ticket % Math.max(1, this.tickets.length)];
    if (ticket === undefined) return;
    const body = next.other ? "other" : "same";
    const origin = core.parseTicket(ticket) as core.TicketOrigin;
    const own = this.#guards[next.host];
    if (own.isOwn(origin)) {
      await this.#runAt(next.host, { ticket, body });
      return;
    }
    const reported = await own.forward(origin, buildMessage(ticket, body));
    if ("ran" in reported) this.#checkReported(reported.ran, { ticket, body });
  }

  #takePendingMessage(at: number): PendingMessage | undefined {
    return this.pendingMessages.splice(
      at % Math.max(1, this.pendingMessages.length),
      1,
    )[0];
  }

  #endBackendRun(next: Extract<Step, { kind: "backend" }>): void {
    const [ended] = this.runningOperations.splice(
      next.pick % Math.max(1, this.runningOperations.length),
      1,
    );
    if (ended === undefined) return;
    if (next.result !== "not_run") {
      this.ran.set(ended.id, (this.ran.get(ended.id) ?? 0) + 1);
      const ticket = ended.id.split("/")[0];
      const total = [...this.ran].filter(([id]) => id.startsWith(ticket))
        .reduce((sum, [, count]) => sum + count, 0);
      if (total > 1) this.failure = "the operation of a ticket ran twice";
    }
    ended.end(buildOutcome(next.result));
  }
}

function buildMessage(ticket: string, body: string): peer.TicketMessage {
  return {
    ticket,
    body,
    customer: "c",
    keyId: "k",
    className: "booking",
    target: "rooms",
    method: "POST",
    path: "/",
    headers: {},
  };
}

function buildOutcome(result: BackendResult): call.CallOutcome {
  if (result === "whole") {
    const answer = { status: 200, headers: {}, body: Buffer.from("done") };
    return { kind: "whole", answer };
  }
  const ran = result === "lost" ? "unknown" : "no";
  const refusal = core.buildRefusal({ code: "backend_failed", ran });
  return { kind: "refused", refusal };
}

tap.t.test("an operation with a ticket runs at most once", {
  timeout: 600_000,
}, async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 5, maxLength: 40, size: "max" }),
      async (steps) => {
        const harness = new Harness();
        for (const next of steps) await harness.run(next);
      },
    ),
    { numRuns: RUNS, seed: SEED },
  );
  t.pass(`${RUNS} histories, seed ${SEED}`);
});
