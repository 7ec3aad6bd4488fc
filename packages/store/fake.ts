/**
 * Fake key-value store: the calls of the etcd v3 JSON gateway that this project
 * uses, with faults that tests can inject. Each listener is the endpoint of one
 * failure domain and can be disconnected separately.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as utils from "@banyangrade/utils";
import * as kvState from "./kv_state.ts";
import * as etcdMessages from "./etcd_messages.ts";

/** Fault that the fake store injects. */
export type StoreFault =
  | { readonly kind: "none" }
  | { readonly kind: "down" }
  | { readonly kind: "slow"; readonly ms: number }
  /** The next `count` writes take effect, but their responses are lost. */
  | { readonly kind: "lose_answers"; readonly count: number };

/** Options of {@link startFakeStore}. */
export interface FakeStoreOptions {
  /** Port of the first listener. @default 0, a free port */
  readonly port?: number;
  /** Maximum number of writes per second; the store answers further writes with status 429. @default no limit */
  readonly writesPerSecond?: number;
  /** Maximum number of reads per second, as for writes. @default no limit */
  readonly readsPerSecond?: number;
}

/** A running fake store. */
export interface FakeStore {
  readonly url: string;
  readonly setFault: (fault: StoreFault) => void;
  /** Disconnects or reconnects one listener. */
  readonly setDisconnected: (url: string, cut: boolean) => void;
  /** Opens another listener and returns its URL. */
  readonly openListener: (port?: number) => Promise<string>;
  readonly count: () => { readonly reads: number; readonly writes: number };
  /** Returns the current value of a key without a call. */
  readonly peek: (key: string) => string | undefined;
  readonly list: (prefix: string) => [string, string][];
  readonly close: () => Promise<void>;
}

interface Watcher {
  readonly from: string;
  readonly to: string;
  readonly answer: http.ServerResponse;
  readonly listener: string;
}

class State {
  readonly kv = new kvState.KvState((change) => notify(this, change));
  readonly watchers = new Set<Watcher>();
  readonly disconnected = new Set<string>();
  readonly servers: http.Server[] = [];
  reads = 0;
  writes = 0;
  fault: StoreFault = { kind: "none" };
  window = { at: 0, reads: 0, writes: 0 };
}

/**
 * Starts the fake store on the loopback interface.
 *
 * @example
 * const store = await startFakeStore({});
 * store.setFault({ kind: "down" });
 */
export async function startFakeStore(
  options: FakeStoreOptions,
): Promise<FakeStore> {
  const state = new State();
  const expiryTimer = setInterval(() => state.kv.expire(Date.now()), 50);
  expiryTimer.unref();
  const openListener = (port = 0) => listen(state, { port, options });
  const url = await openListener(options.port);
  return {
    url,
    openListener,
    setFault: (fault) => {
      state.fault = fault;
      if (fault.kind === "down") endWatches(state, () => true);
    },
    setDisconnected: (listener, cut) => {
      if (!cut) return void state.disconnected.delete(listener);
      state.disconnected.add(listener);
      endWatches(state, (watcher) => watcher.listener === listener);
    },
    count: () => ({ reads: state.reads, writes: state.writes }),
    peek: (key) => state.kv.get(key)?.value,
    list: (prefix) =>
      state.kv.list(prefix, etcdMessages.getRangeEnd(prefix))
        .map((pair) => [pair.key, pair.value]),
    close: async () => {
      clearInterval(expiryTimer);
      await Promise.all(state.servers.map(closeServer));
    },
  };
}

function closeServer(server: http.Server): Promise<void> {
  server.closeAllConnections();
  return new Promise((resolve) => server.close(() => resolve()));
}

async function listen(
  state: State,
  { port, options }: { port: number; options: FakeStoreOptions },
): Promise<string> {
  const server = http.createServer((request, answer) => {
    const listener = `http://127.0.0.1:${request.socket.localPort}`;
    readBody(request).then((body) =>
      serve(state, {
        path: request.url ?? "",
        body,
        answer,
        listener,
        options,
      })
    ).catch(() => answer.destroy());
  });
  state.servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

interface Exchange {
  readonly path: string;
  readonly body: string;
  readonly answer: http.ServerResponse;
  readonly listener: string;
  readonly options: FakeStoreOptions;
}

async function serve(state: State, exchange: Exchange): Promise<void> {
  const { answer } = exchange;
  if (
    state.fault.kind === "down" || state.disconnected.has(exchange.listener)
  ) {
    answer.destroy();
    return;
  }
  if (state.fault.kind === "slow") await utils.waitFor(state.fault.ms);
  const write = isWrite(exchange);
  if (isOverLimit(state, { write, options: exchange.options })) {
    answer.writeHead(429).end();
    return;
  }
  const body = JSON.parse(exchange.body || "{}");
  if (exchange.path === "/v3/watch") return openWatch(state, exchange);
  const result = run(state, { path: exchange.path, body });
  const fault = state.fault;
  if (write && fault.kind === "lose_answers" && fault.count > 0) {
    state.fault = { ...fault, count: fault.count - 1 };
    answer.destroy();
    return;
  }
  answer.writeHead(result === undefined ? 404 : 200, {
    "content-type": "application/json",
  }).end(JSON.stringify(result ?? {}));
}

function isWrite(exchange: Exchange): boolean {
  return exchange.path !== "/v3/kv/range" && exchange.path !== "/v3/watch";
}

function isOverLimit(
  state: State,
  { write, options }: { write: boolean; options: FakeStoreOptions },
): boolean {
  const now = Date.now();
  if (now - state.window.at >= 1_000) {
    state.window = { at: now, reads: 0, writes: 0 };
  }
  if (write) {
    state.writes += 1;
    state.window.writes += 1;
  } else {
    state.reads += 1;
    state.window.reads += 1;
  }
  return state.window.writes > (options.writesPerSecond ?? Infinity) ||
    state.window.reads > (options.readsPerSecond ?? Infinity);
}

function run(
  state: State,
  // deno-lint-ignore no-explicit-any -- request bodies have several types, which the client checks
  { path, body }: { path: string; body: any },
): object | undefined {
  state.kv.expire(Date.now());
  switch (path) {
    case "/v3/kv/range":
      return runRange(state, body);
    case "/v3/kv/txn":
      return runTxn(state, body);
    case "/v3/lease/grant": {
      const id = state.kv.grantLease(Number(body.TTL) * 1_000, Date.now());
      return { ID: id, TTL: String(body.TTL) };
    }
    case "/v3/lease/keepalive": {
      const ttlMs = state.kv.renewLease(body.ID, Date.now());
      return { result: { ID: body.ID, TTL: String(ttlMs / 1_000) } };
    }
    case "/v3/lease/revoke":
      state.kv.revokeLease(body.ID);
      return {};
    default:
      return undefined;
  }
}

function toWire(pair: kvState.KvPair): etcdMessages.WirePair {
  return {
    key: etcdMessages.encodeText(pair.key),
    value: etcdMessages.encodeText(pair.value),
    mod_revision: String(pair.modRevision),
    create_revision: String(pair.createRevision),
    lease: pair.lease,
  };
}

function runRange(
  state: State,
  body: etcdMessages.RangeRequest,
): etcdMessages.RangeResponse {
  const from = etcdMessages.decodeText(body.key);
  const header = { revision: String(state.kv.revision) };
  if (body.range_end === undefined) {
    const pair = state.kv.get(from);
    return { header, kvs: pair === undefined ? [] : [toWire(pair)] };
  }
  const found = state.kv.list(from, etcdMessages.decodeText(body.range_end));
  const limit = Number(body.limit ?? 0) || found.length;
  return {
    header,
    kvs: found.slice(0, limit).map(toWire),
    more: found.length > limit,
  };
}

function runTxn(
  state: State,
  body: etcdMessages.TxnRequest,
): etcdMessages.TxnResponse {
  const succeeded = body.compare.every((compare) =>
    state.kv.isAt(
      etcdMessages.decodeText(compare.key),
      Number(compare.mod_revision),
    )
  );
  if (succeeded) body.success.forEach((step) => applyWrite(state, step));
  return {
    header: { revision: String(state.kv.revision) },
    succeeded,
    responses: succeeded ? [] : body.failure.map((step) => ({
      response_range: runRange(state, step.request_range),
    })),
  };
}

function applyWrite(
  state: State,
  step: etcdMessages.TxnRequest["success"][0],
): void {
  const { request_put: put, request_delete_range: removal } = step;
  if (put !== undefined) {
    const value = etcdMessages.decodeText(put.value);
    state.kv.put(etcdMessages.decodeText(put.key), { value, lease: put.lease });
  }
  if (removal !== undefined) {
    state.kv.remove(etcdMessages.decodeText(removal.key));
  }
}

function notify(state: State, change: kvState.KvChange): void {
  const key = change.pair.key;
  const type = change.kind === "put" ? "PUT" : "DELETE";
  const event = { type, kv: toWire(change.pair) };
  const line = JSON.stringify({ result: { events: [event] } }) + "\n";
  state.watchers.forEach((watcher) => {
    if (key >= watcher.from && key < watcher.to) watcher.answer.write(line);
  });
}

function openWatch(state: State, exchange: Exchange): void {
  const create = JSON.parse(exchange.body).create_request;
  const watcher = {
    from: etcdMessages.decodeText(create.key),
    to: etcdMessages.decodeText(create.range_end),
    answer: exchange.answer,
    listener: exchange.listener,
  };
  state.watchers.add(watcher);
  exchange.answer.on("close", () => state.watchers.delete(watcher));
  exchange.answer.writeHead(200, { "content-type": "application/json" });
  exchange.answer.write(JSON.stringify({ result: { created: true } }) + "\n");
}

function endWatches(
  state: State,
  matches: (watcher: Watcher) => boolean,
): void {
  [...state.watchers].filter(matches).forEach((watcher) =>
    watcher.answer.destroy()
  );
}
