/** Reports the calls of a host to the store, by kind and outcome. */
import type * as utils from "@banyangrade/utils";
import type * as client from "./client.ts";
import type * as prefixWatch from "./prefix_watch.ts";

/** The calls of a host that follows the store by long polls. */
export type PolledStoreClient = client.KeyValueClient & prefixWatch.FeedClient;

/** Kind of a call. `list` also stands for a full read of a prefix. */
export type StoreCallKind =
  | "get"
  | "list"
  | "poll"
  | "swap"
  | "grant"
  | "renew"
  | "revoke";

/** Outcome of a call; `ok` means that the store processed it, also if a key or lease was missing or a swap was lost. */
export type StoreCallOutcome =
  | "ok"
  | "rejected"
  | "rate_limited"
  | "unreachable"
  | "unknown";

/** A call that has ended. */
export interface EndedStoreCall {
  readonly call: StoreCallKind;
  readonly outcome: StoreCallOutcome;
  /** Time from the sending of the call to its end, in ms. */
  readonly ms: number;
  /** Absent if the store processed the call. */
  readonly error?: utils.StepError;
}

/** Options of {@link countCalls}. */
export interface CountedClientOptions {
  readonly clock: Pick<utils.Clock, "now">;
  /** Called at the end of each call. */
  readonly onCall: (ended: EndedStoreCall) => void;
}

/**
 * Wraps a client so that `onCall` is called at the end of each call.
 *
 * @example
 * const counted = countCalls(client, { clock, onCall: ({ call, outcome }) => counter.inc({ call, outcome }) });
 */
export function countCalls(
  counted: PolledStoreClient,
  { clock, onCall }: CountedClientOptions,
): PolledStoreClient {
  const wrap = <Args extends readonly unknown[], Value>(
    call: StoreCallKind,
    send: (...args: Args) => Promise<utils.Result<Value, utils.StepError>>,
  ) =>
  async (...args: Args) => {
    const sentAt = clock.now();
    const answer = await send(...args);
    const outcome = answer.ok ? "ok" : classifyError(answer.val.code);
    const ms = clock.now() - sentAt;
    const isProcessed = answer.ok || outcome === "ok";
    onCall({ call, outcome, ms, ...(!isProcessed && { error: answer.val }) });
    return answer;
  };
  return {
    get: wrap("get", counted.get),
    list: wrap("list", counted.list),
    readAll: wrap("list", counted.readAll),
    pollChanges: wrap("poll", counted.pollChanges),
    swap: wrap("swap", counted.swap),
    grantLease: wrap("grant", counted.grantLease),
    renewLease: wrap("renew", counted.renewLease),
    revokeLease: wrap("revoke", counted.revokeLease),
    close: counted.close,
  };
}

function classifyError(code: utils.FailureCode): StoreCallOutcome {
  switch (code) {
    // The store answered that a key, a lease or its history is gone.
    case "not_found":
      return "ok";
    case "rate_limited":
    case "unreachable":
    case "rejected":
      return code;
    case "conflict":
    case "invalid":
      return "rejected";
    case "timeout":
    case "unknown_outcome":
      return "unknown";
  }
}
