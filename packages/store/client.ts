/**
 * Client of the key-value store. Every call returns a result. A write whose
 * response was lost fails with `unknown_outcome`, because the store may have
 * applied it.
 */
import * as undici from "undici";
import type * as z from "zod";
import * as utils from "@banyangrade/utils";
import * as entryIntake from "./entry_intake.ts";
import * as etcdMessages from "./etcd_messages.ts";

const PEER = "store";
/** Largest answer that is read, in bytes; a snapshot of 1,600 customers with their keys is listed at once. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/** A key and its value, with the revision of the last change. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
  /** Size in bytes of a value that was too long to be decoded; `value` is empty then. */
  readonly omittedBytes?: number;
}

/** Result of a compare-and-swap: the new revision, or the entry that made it fail. */
export type SwapOutcome =
  | { readonly kind: "won"; readonly modRevision: number }
  | { readonly kind: "lost"; readonly current: StoreEntry | undefined };

/** An event of a watch. */
export type WatchEvent =
  | { readonly kind: "opened" }
  | { readonly kind: "put"; readonly entry: StoreEntry }
  | { readonly kind: "deleted"; readonly key: string }
  | { readonly kind: "ended"; readonly reason: string };

/** A compare-and-swap. `expected` is the revision that the entry must have, 0 if it must be absent. */
export interface Swap {
  readonly key: string;
  readonly expected: number;
  /** New value; undefined deletes the key. */
  readonly value: string | undefined;
  readonly lease?: string;
}

/** Options of {@link createStoreClient}. */
export interface StoreClientOptions {
  readonly url: string;
  /** Time after which a call fails with `unknown_outcome`, in ms. @default 1000 */
  readonly timeoutMs?: number;
}

/** Which entries of a prefix are listed. */
export interface ListOptions {
  /** Key after which the list begins. @default the first one */
  readonly after?: string;
  readonly limit?: number;
  /** Takes in the entries. @default all of them are returned */
  readonly take?: entryIntake.TakeEntry;
}

/** Reads, compare-and-swap writes and leases: the calls that a lease holder needs. */
export interface KeyValueClient {
  readonly get: (
    key: string,
  ) => Promise<utils.Result<StoreEntry | undefined, utils.StepError>>;
  readonly list: (
    prefix: string,
    options?: ListOptions,
  ) => Promise<utils.Result<StoreEntry[], utils.StepError>>;
  readonly swap: (
    swap: Swap,
  ) => Promise<utils.Result<SwapOutcome, utils.StepError>>;
  readonly grantLease: (
    ttlSeconds: number,
  ) => Promise<utils.Result<string, utils.StepError>>;
  /** Renews a lease; returns false if it has expired. */
  readonly renewLease: (
    id: string,
  ) => Promise<utils.Result<boolean, utils.StepError>>;
  readonly revokeLease: (
    id: string,
  ) => Promise<utils.Result<void, utils.StepError>>;
  readonly close: () => Promise<void>;
}

/** The calls of the key-value store, including a watch that streams changes. */
export interface StoreClient extends KeyValueClient {
  /** Watches a prefix; returns a function that stops the watch. */
  readonly watch: (
    prefix: string,
    onEvent: (event: WatchEvent) => void,
  ) => () => void;
}

/**
 * Creates a client. It uses a pool of connections and does not retry calls.
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
      const response = await call("range", {
        key: etcdMessages.encodeText(key),
      });
      return response.map((range) => range.kvs?.map(toEntry)[0]);
    },
    list: async (prefix, { after, limit, take } = {}) => {
      const response = await call("range", {
        key: etcdMessages.encodeText(
          after === undefined ? prefix : `${after}\0`,
        ),
        range_end: etcdMessages.encodeText(etcdMessages.getRangeEnd(prefix)),
        limit: String(limit ?? 0),
      });
      return response.map((range) => [
        ...entryIntake.takeAll((range.kvs ?? []).map(toEntry), { take }),
      ]);
    },
    swap: async (swap) => {
      const response = await call("txn", buildTxn(swap));
      return response.map(parseSwapOutcome);
    },
    grantLease: async (ttlSeconds) => {
      const response = await call("grant", {
        TTL: String(ttlSeconds),
      });
      return response.map((lease) => lease.ID);
    },
    renewLease: async (id) => {
      const response = await call("keepalive", { ID: id });
      return response.map((lease) => Number(lease.result.TTL ?? 0) > 0);
    },
    revokeLease: async (id) => {
      const response = await call("revoke", { ID: id });
      return response.map(() => undefined);
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

const RESPONSES = {
  range: etcdMessages.RANGE_RESPONSE,
  txn: etcdMessages.TXN_RESPONSE,
  grant: etcdMessages.GRANT_RESPONSE,
  keepalive: etcdMessages.KEEPALIVE_RESPONSE,
  revoke: etcdMessages.REVOKE_RESPONSE,
} as const;

type CallName = keyof typeof PATHS;
type ResponseBody<Name extends CallName> = z.infer<typeof RESPONSES[Name]>;

type Call = <Name extends CallName>(
  name: Name,
  body: object,
) => Promise<utils.Result<ResponseBody<Name>, utils.StepError>>;

function createCaller(pool: undici.Pool, timeoutMs: number): Call {
  return async <Name extends CallName>(name: Name, body: object) => {
    const step = `store.${name}`;
    try {
      const response = await pool.request({
        method: "POST",
        path: PATHS[name],
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await utils.readBoundedText(
        response.body,
        MAX_ANSWER_BYTES,
      );
      if (text === undefined) {
        throw new Error(`The answer has more than ${MAX_ANSWER_BYTES} bytes.`);
      }
      if (response.statusCode === 200) {
        const decoded = utils.decodeBody(RESPONSES[name], JSON.parse(text));
        return utils.Ok(decoded as ResponseBody<Name>);
      }
      return utils.Err(buildStatusError(step, response.statusCode));
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

/** Only a refused connection proves that the request was not sent. */
function buildThrownError(step: string, thrown: unknown): utils.StepError {
  const refused = (thrown as { code?: string }).code === "ECONNREFUSED";
  return utils.createStepError(refused ? "unreachable" : "unknown_outcome", {
    step,
    peer: PEER,
    message: utils.getErrorMessage(thrown),
  });
}

function toEntry(pair: etcdMessages.WirePair): StoreEntry {
  return {
    key: etcdMessages.decodeText(pair.key),
    value: etcdMessages.decodeText(pair.value),
    modRevision: Number(pair.mod_revision),
  };
}

function buildTxn(swap: Swap): etcdMessages.TxnRequest {
  const key = etcdMessages.encodeText(swap.key);
  const put = swap.value === undefined ? { request_delete_range: { key } } : {
    request_put: {
      key,
      value: etcdMessages.encodeText(swap.value),
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

function parseSwapOutcome(response: etcdMessages.TxnResponse): SwapOutcome {
  if (response.succeeded === true) {
    return { kind: "won", modRevision: Number(response.header.revision) };
  }
  const current = response.responses?.[0]?.response_range?.kvs?.map(toEntry)[0];
  return { kind: "lost", current };
}

/** Maximum number of retries of a write whose response was lost. */
const MAX_CONFIRM_RETRIES = 2;

/**
 * Runs a compare-and-swap and, if its response was lost, repeats it with the same
 * value. The value contains a token that only this writer uses. If a retry fails
 * because the key already holds this value, the earlier write has taken effect
 * and the swap counts as won. Without this check, a claim that was stored would be
 * reported as failed.
 *
 * @example
 * const outcome = await swapAndConfirm(store, { key, expected: 0, value });
 */
export async function swapAndConfirm(
  store: KeyValueClient,
  swap: Swap,
): Promise<utils.Result<SwapOutcome, utils.StepError>> {
  let outcome = await store.swap(swap);
  for (let retry = 0; retry < MAX_CONFIRM_RETRIES; retry += 1) {
    if (outcome.ok || outcome.val.code !== "unknown_outcome") break;
    outcome = await store.swap(swap);
  }
  return outcome.map((swapped) => recogniseOwnWrite(swapped, swap));
}

function recogniseOwnWrite(swapped: SwapOutcome, swap: Swap): SwapOutcome {
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
  const end = (reason: string) => {
    if (!abort.signal.aborted) options.onEvent({ kind: "ended", reason });
  };
  runWatch(pool, { ...options, signal: abort.signal }).then(
    () => end("The stream ended."),
    (thrown) => end(utils.getErrorMessage(thrown)),
  );
  return () => abort.abort();
}

async function runWatch(
  pool: undici.Pool,
  options: WatchOptions & { readonly signal: AbortSignal },
): Promise<void> {
  const response = await pool.request({
    method: "POST",
    path: "/v3/watch",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({
      create_request: {
        key: etcdMessages.encodeText(options.prefix),
        range_end: etcdMessages.encodeText(
          etcdMessages.getRangeEnd(options.prefix),
        ),
      },
    }),
    signal: options.signal,
    headersTimeout: 5_000,
    bodyTimeout: 0,
  });
  let rest = "";
  for await (const chunk of response.body) {
    const lines = (rest + String(chunk)).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > MAX_ANSWER_BYTES) {
      throw new Error("An event of the watch is too long.");
    }
    lines.filter((line) => line !== "").forEach((line) =>
      parseWatchLine(
        utils.decodeBody(etcdMessages.WATCH_LINE, JSON.parse(line)),
      ).forEach(
        options.onEvent,
      )
    );
  }
}

function parseWatchLine(line: etcdMessages.WatchLine): WatchEvent[] {
  if (line.result?.created === true) return [{ kind: "opened" }];
  return (line.result?.events ?? []).map((event) =>
    event.type === "DELETE"
      ? { kind: "deleted", key: etcdMessages.decodeText(event.kv.key) }
      : { kind: "put", entry: toEntry(event.kv) }
  );
}
