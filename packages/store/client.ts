/**
 * Client of the key-value service. Every call ends in a result; a write whose
 * answer was lost is `unknown_outcome`, never a plain failure, since the write
 * may have taken effect.
 */
import * as undici from "undici";
import * as utils from "@banyangrade/utils";
import * as wire from "./wire.ts";

const PEER = "store";

/** A value with the revision of its last change. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** How a compare-and-swap ended. */
export type SwapOutcome =
  | { readonly kind: "won"; readonly modRevision: number }
  | { readonly kind: "lost"; readonly current: StoreEntry | undefined };

/** What a watch reports. */
export type WatchEvent =
  | { readonly kind: "opened" }
  | { readonly kind: "put"; readonly entry: StoreEntry }
  | { readonly kind: "deleted"; readonly key: string }
  | { readonly kind: "ended"; readonly reason: string };

/** A compare-and-swap: `expected` is the entry's revision, 0 for "absent". */
export interface Swap {
  readonly key: string;
  readonly expected: number;
  /** Undefined deletes the key. */
  readonly value: string | undefined;
  readonly lease?: string;
}

/** Options of {@link createStoreClient}. */
export interface StoreClientOptions {
  readonly url: string;
  /** Time after which a call's outcome is unknown, in ms. @default 1000 */
  readonly timeoutMs?: number;
}

/** Reads, writes under a condition and leases: all that holding a role takes. */
export interface KeyValueClient {
  readonly get: (
    key: string,
  ) => Promise<utils.Result<StoreEntry | undefined, utils.StepError>>;
  readonly list: (
    prefix: string,
    options?: { readonly after?: string; readonly limit?: number },
  ) => Promise<utils.Result<StoreEntry[], utils.StepError>>;
  readonly swap: (
    swap: Swap,
  ) => Promise<utils.Result<SwapOutcome, utils.StepError>>;
  readonly grantLease: (
    ttlSeconds: number,
  ) => Promise<utils.Result<string, utils.StepError>>;
  /** Renews a lease; false if it has lapsed. */
  readonly renewLease: (
    id: string,
  ) => Promise<utils.Result<boolean, utils.StepError>>;
  readonly revokeLease: (
    id: string,
  ) => Promise<utils.Result<void, utils.StepError>>;
  readonly close: () => Promise<void>;
}

/** The calls of the key-value service with a watch that streams changes. */
export interface StoreClient extends KeyValueClient {
  /** Watches a prefix; returns a function that ends the watch. */
  readonly watch: (
    prefix: string,
    onEvent: (event: WatchEvent) => void,
  ) => () => void;
}

/**
 * Makes a client. It keeps a few connections open and never retries by itself.
 *
 * @example
 * const store = createStoreClient({ url: "http://127.0.0.1:2379" });
 * const entry = (await store.get("a")).unwrap();
 */
export function createStoreClient(options: StoreClientOptions): StoreClient {
  const pool = new undici.Pool(options.url, {
    connections: 8,
    pipelining: 1,
    factory: utils.createResettingClient,
  });
  const call = createCaller(pool, options.timeoutMs ?? 1_000);

  return {
    get: async (key) => {
      const answer = await call<wire.RangeAnswer>("range", {
        key: wire.encodeText(key),
      });
      return answer.map((range) => range.kvs?.map(toEntry)[0]);
    },
    list: async (prefix, { after, limit } = {}) => {
      const answer = await call<wire.RangeAnswer>("range", {
        key: wire.encodeText(after === undefined ? prefix : `${after}\0`),
        range_end: wire.encodeText(wire.getRangeEnd(prefix)),
        limit: String(limit ?? 0),
      });
      return answer.map((range) => (range.kvs ?? []).map(toEntry));
    },
    swap: async (swap) => {
      const answer = await call<wire.TxnAnswer>("txn", buildTxn(swap));
      return answer.map(readSwapOutcome);
    },
    grantLease: async (ttlSeconds) => {
      const answer = await call<wire.LeaseAnswer>("grant", {
        TTL: String(ttlSeconds),
      });
      return answer.map((lease) => lease.ID ?? "");
    },
    renewLease: async (id) => {
      const answer = await call<{ result?: wire.LeaseAnswer }>("keepalive", {
        ID: id,
      });
      return answer.map((lease) => Number(lease.result?.TTL ?? 0) > 0);
    },
    revokeLease: async (id) => {
      const answer = await call<unknown>("revoke", { ID: id });
      return answer.map(() => undefined);
    },
    watch: (prefix, onEvent) => startWatch(pool, { prefix, onEvent }),
    close: () => pool.destroy(),
  };
}

const PATHS = {
  range: "/v3/kv/range",
  txn: "/v3/kv/txn",
  grant: "/v3/lease/grant",
  keepalive: "/v3/lease/keepalive",
  revoke: "/v3/lease/revoke",
} as const;

type Call = <Answer>(
  name: keyof typeof PATHS,
  body: object,
) => Promise<utils.Result<Answer, utils.StepError>>;

function createCaller(pool: undici.Pool, timeoutMs: number): Call {
  return async <Answer>(name: keyof typeof PATHS, body: object) => {
    const step = `store.${name}`;
    try {
      const answer = await pool.request({
        method: "POST",
        path: PATHS[name],
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await answer.body.text();
      if (answer.statusCode === 200) {
        return utils.Ok(JSON.parse(text) as Answer);
      }
      return utils.Err(buildStatusError(step, answer.statusCode));
    } catch (thrown) {
      return utils.Err(buildThrownError(step, thrown));
    }
  };
}

function buildStatusError(step: string, status: number): utils.StepError {
  const code = status === 429 ? "rate_limited" : "rejected";
  return utils.createStepError(code, {
    step,
    peer: PEER,
    message: `The store answered with status ${status}.`,
  });
}

/** Only a refused connection proves that nothing was sent. */
function buildThrownError(step: string, thrown: unknown): utils.StepError {
  const refused = (thrown as { code?: string }).code === "ECONNREFUSED";
  return utils.createStepError(refused ? "unreachable" : "unknown_outcome", {
    step,
    peer: PEER,
    message: utils.readMessage(thrown),
  });
}

function toEntry(pair: wire.WirePair): StoreEntry {
  return {
    key: wire.decodeText(pair.key),
    value: wire.decodeText(pair.value),
    modRevision: Number(pair.mod_revision),
  };
}

function buildTxn(swap: Swap): wire.TxnRequest {
  const key = wire.encodeText(swap.key);
  const put = swap.value === undefined ? { request_delete_range: { key } } : {
    request_put: {
      key,
      value: wire.encodeText(swap.value),
      ...(swap.lease === undefined ? {} : { lease: swap.lease }),
    },
  };
  return {
    compare: [{
      key,
      target: "MOD",
      result: "EQUAL",
      mod_revision: String(swap.expected),
    }],
    success: [put],
    failure: [{ request_range: { key } }],
  };
}

function readSwapOutcome(answer: wire.TxnAnswer): SwapOutcome {
  if (answer.succeeded === true) {
    return { kind: "won", modRevision: Number(answer.header?.revision ?? 0) };
  }
  const current = answer.responses?.[0]?.response_range?.kvs?.map(toEntry)[0];
  return { kind: "lost", current };
}

/** Further tries of a write whose answer was lost. */
const CONFIRM_TRIES = 2;

/**
 * Swaps and, where the answer was lost, swaps again with the same value. The
 * value carries a token that only this writer uses, so losing the second time
 * against that very value means that the first write took effect. Without
 * that, a claim that was made would be reported as failed.
 *
 * @example
 * const outcome = await swapAndConfirm(store, { key, expected: 0, value });
 */
export async function swapAndConfirm(
  store: KeyValueClient,
  swap: Swap,
): Promise<utils.Result<SwapOutcome, utils.StepError>> {
  let outcome = await store.swap(swap);
  for (let retry = 0; retry < CONFIRM_TRIES; retry += 1) {
    if (outcome.ok || outcome.val.code !== "unknown_outcome") break;
    outcome = await store.swap(swap);
  }
  return outcome.map((swapped) => recogniseOwn(swapped, swap));
}

function recogniseOwn(swapped: SwapOutcome, swap: Swap): SwapOutcome {
  const current = swapped.kind === "lost" ? swapped.current : undefined;
  if (current === undefined || current.value !== swap.value) return swapped;
  return { kind: "won", modRevision: current.modRevision };
}

interface WatchOptions {
  readonly prefix: string;
  readonly onEvent: (event: WatchEvent) => void;
}

function startWatch(pool: undici.Pool, options: WatchOptions): () => void {
  const abort = new AbortController();
  runWatch(pool, { ...options, signal: abort.signal })
    .then(() => "The stream ended.", utils.readMessage)
    .then((reason) => {
      if (!abort.signal.aborted) options.onEvent({ kind: "ended", reason });
    });
  return () => abort.abort();
}

async function runWatch(
  pool: undici.Pool,
  options: WatchOptions & { readonly signal: AbortSignal },
): Promise<void> {
  const answer = await pool.request({
    method: "POST",
    path: "/v3/watch",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      create_request: {
        key: wire.encodeText(options.prefix),
        range_end: wire.encodeText(wire.getRangeEnd(options.prefix)),
      },
    }),
    signal: options.signal,
    headersTimeout: 5_000,
    bodyTimeout: 0,
  });
  let rest = "";
  for await (const chunk of answer.body) {
    const lines = (rest + String(chunk)).split("\n");
    rest = lines.pop() ?? "";
    lines.filter((line) => line !== "").forEach((line) =>
      readWatchLine(JSON.parse(line) as wire.WatchLine).forEach(options.onEvent)
    );
  }
}

function readWatchLine(line: wire.WatchLine): WatchEvent[] {
  if (line.result?.created === true) return [{ kind: "opened" }];
  return (line.result?.events ?? []).map((event) =>
    event.type === "DELETE"
      ? { kind: "deleted", key: wire.decodeText(event.kv.key) }
      : { kind: "put", entry: toEntry(event.kv) }
  );
}
