/**
 * Fake model engine for tests. It serves the OpenAI-compatible paths over HTTP
 * with the timing of {@link EngineModel} and injects the configured fault.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";
import * as latencyModel from "./latency_model.ts";

/** Fault that the fake engine injects. */
export type EngineFault =
  | { readonly kind: "none" }
  /** Refuses each request without executing it. */
  | { readonly kind: "refuse" }
  /** Responds with status 500 after executing the request. */
  | { readonly kind: "error_after_run" }
  /** Responds with the identifier of another request. */
  | { readonly kind: "cross" }
  /** Closes the connection of each stream after `tokens` tokens. */
  | { readonly kind: "break_after"; readonly tokens: number }
  /** Accepts requests and never responds. */
  | { readonly kind: "silent" }
  | { readonly kind: "slow"; readonly factor: number }
  /** Closes all connections when a request body contains `text`. */
  | { readonly kind: "crash_on"; readonly text: string };

/** A request that the engine received. */
export interface SeenRequest {
  readonly requestId: string;
  readonly attempt: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly url: string;
  readonly body: string;
}

/** Options of {@link startFakeEngine}. */
export interface FakeEngineOptions {
  /** @default 0, a free port */
  readonly port?: number;
  readonly shape?: latencyModel.EngineParameters;
}

/** A running fake engine. */
export interface FakeEngine {
  readonly url: string;
  readonly seen: readonly SeenRequest[];
  readonly setFault: (fault: EngineFault) => void;
  /** Returns the number of requests whose client disconnected before the response was complete. */
  readonly countCancelled: () => number;
  readonly getLoad: () => { running: number; waiting: number };
  readonly close: () => Promise<void>;
}

/** Maximum number of requests that `seen` records. */
const MAX_RECORDED_REQUESTS = 5_000;

interface RunningRequest {
  readonly seen: SeenRequest;
  readonly answer: http.ServerResponse;
  readonly stream: boolean;
  readonly chat: boolean;
  readonly total: number;
  sent: number;
  text: string;
}

class EngineState {
  readonly engine: latencyModel.EngineModel;
  readonly running = new Map<string, RunningRequest>();
  readonly seen: SeenRequest[] = [];
  fault: EngineFault = { kind: "none" };
  cancelled = 0;
  stepping = false;
  nextId = 0;

  constructor(shape: latencyModel.EngineParameters | undefined) {
    this.engine = new latencyModel.EngineModel(shape);
  }
}

/**
 * Starts a fake engine on the loopback interface.
 *
 * @example
 * const engine = await startFakeEngine({});
 * engine.setFault({ kind: "break_after", tokens: 5 });
 */
export async function startFakeEngine(
  options: FakeEngineOptions,
): Promise<FakeEngine> {
  const state = new EngineState(options.shape);
  const server = http.createServer((request, answer) => {
    handleRequest(state, { request, answer }).catch(() => answer.destroy());
  });
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((resolve) =>
    server.listen(options.port ?? 0, "127.0.0.1", resolve)
  );
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    seen: state.seen,
    setFault: (fault) => {
      state.fault = fault;
      state.engine.slowdown = fault.kind === "slow" ? fault.factor : 1;
    },
    countCancelled: () => state.cancelled,
    getLoad: () => state.engine.getLoad(),
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

interface Exchange {
  readonly request: http.IncomingMessage;
  readonly answer: http.ServerResponse;
}

async function handleRequest(
  state: EngineState,
  exchange: Exchange,
): Promise<void> {
  const { request, answer } = exchange;
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const seen = recordRequest(state, {
    request,
    body: Buffer.concat(chunks).toString("utf8"),
  });
  setHeaders(state, { seen, answer });
  if (request.url === "/load") return void answer.writeHead(200).end();
  switch (state.fault.kind) {
    case "refuse":
      answer.writeHead(503, { [utils.RAN_HEADER]: "no" }).end();
      return;
    case "error_after_run":
      answer.writeHead(500).end();
      return;
    case "silent":
      return;
    case "crash_on":
      if (seen.body.includes(state.fault.text)) {
        dropRunningRequests(state);
        return void answer.destroy();
      }
      return startRequest(state, { seen, answer });
    case "none":
    case "cross":
    case "break_after":
    case "slow":
      return startRequest(state, { seen, answer });
  }
}

function recordRequest(
  state: EngineState,
  { request, body }: { request: http.IncomingMessage; body: string },
): SeenRequest {
  const seen = {
    requestId: String(request.headers[utils.REQUEST_ID_HEADER] ?? ""),
    attempt: String(request.headers[utils.ATTEMPT_HEADER] ?? ""),
    headers: request.headers,
    url: request.url ?? "",
    body,
  };
  if (request.url !== "/load" && state.seen.length < MAX_RECORDED_REQUESTS) {
    state.seen.push(seen);
  }
  return seen;
}

function setHeaders(
  state: EngineState,
  { seen, answer }: { seen: SeenRequest; answer: http.ServerResponse },
): void {
  const load = state.engine.getLoad();
  const crossed = state.fault.kind === "cross";
  const id = crossed ? "another-request" : seen.requestId;
  answer.setHeader(utils.REQUEST_ID_HEADER, id);
  answer.setHeader(utils.ATTEMPT_HEADER, seen.attempt);
  answer.setHeader(
    utils.LOAD_HEADER,
    `${load.running}/${load.waiting}/${load.cacheFree.toFixed(2)}`,
  );
}

/** Drops all requests and the cache, as a process crash does. */
function dropRunningRequests(state: EngineState): void {
  state.engine.clear();
  [...state.running.values()].forEach((request) => request.answer.destroy());
  state.running.clear();
}

function startRequest(
  state: EngineState,
  { seen, answer }: { seen: SeenRequest; answer: http.ServerResponse },
): void {
  const body = JSON.parse(seen.body);
  const offset = Number(seen.headers[client.OFFSET_HEADER] ?? 0);
  const total = Number(body.max_tokens ?? body.max_completion_tokens ?? 16);
  const key = `${seen.requestId}#${state.nextId}`;
  state.nextId += 1;
  state.running.set(key, {
    seen,
    answer,
    stream: body.stream === true,
    chat: seen.url.includes("chat"),
    total,
    sent: offset,
    text: "",
  });
  answer.on("close", () => {
    if (!state.running.delete(key)) return;
    state.cancelled += 1;
    state.engine.cancel(key);
  });
  state.engine.add({
    id: key,
    promptTokens: Math.ceil(seen.body.length / 4),
    prefix: seen.body.slice(0, 200),
    outputTokens: total - offset,
    priority: Number(body.priority ?? 0),
  });
  if (!state.stepping) startStep(state);
}

function startStep(state: EngineState): void {
  state.stepping = !state.engine.isIdle();
  if (!state.stepping) return;
  const result = state.engine.step();
  setTimeout(() => {
    result.tokens.forEach((id) => sendToken(state, id));
    result.finished.forEach((id) => finishRequest(state, id));
    startStep(state);
  }, result.ms);
}

function sendToken(state: EngineState, id: string): void {
  const request = state.running.get(id);
  if (request === undefined) return;
  const token = `t${request.sent} `;
  request.sent += 1;
  if (!request.stream) {
    request.text += token;
    return;
  }
  request.answer.write(
    `data: ${JSON.stringify(buildChunk(request, token))}\n\n`,
  );
  const fault = state.fault;
  if (fault.kind === "break_after" && request.sent >= fault.tokens) {
    state.running.delete(id);
    state.engine.cancel(id);
    setImmediate(() => request.answer.destroy());
  }
}

function buildChunk(request: RunningRequest, token: string): object {
  const choice = request.chat ? { delta: { content: token } } : { text: token };
  return {
    id: request.seen.requestId,
    object: request.chat ? "chat.completion.chunk" : "text_completion",
    choices: [{ index: 0, ...choice, finish_reason: null }],
  };
}

function finishRequest(state: EngineState, id: string): void {
  const request = state.running.get(id);
  if (request === undefined) return;
  state.running.delete(id);
  if (request.stream) {
    request.answer.end(`data: ${client.FINAL_EVENT_DATA}\n\n`);
    return;
  }
  const choice = request.chat
    ? { message: { role: "assistant", content: request.text } }
    : { text: request.text };
  request.answer.writeHead(200, { "content-type": "application/json" }).end(
    JSON.stringify({
      id: request.seen.requestId,
      object: request.chat ? "chat.completion" : "text_completion",
      choices: [{ index: 0, ...choice, finish_reason: "stop" }],
      usage: { completion_tokens: request.total },
    }),
  );
}
