/** Tests forwarding to servers that send bytes without end that are no response. */
import * as perfHooks from "node:perf_hooks";
import * as tapModule from "tap";
import * as workerThreads from "node:worker_threads";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as connections from "./connections.ts";
import * as forward from "./forward.ts";

const tap = tapModule.default;

/** Bytes after which a server must have been cut off: the largest response, and what the system buffers. */
const MAX_SENT_BYTES = 24 * 1024 * 1024;
/** Most memory that one such response may take, in bytes: twice the largest response, and some of the process's own. */
const MAX_MEMORY_BYTES = 48 * 1024 * 1024;
/** Longest pause of the event loop, in ms; the users count a request as late after half a second. */
const MAX_PAUSE_MS = 250;
/** Deadline of a request, in ms; the connection must be closed well before it. */
const DEADLINE_MS = 10_000;
const MAX_CLOSE_MS = 3_000;

const HEAD = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n";
const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;
const COMPLETE = `${HEAD}content-length: 1\r\n\r\na`;

interface EndlessCase {
  readonly name: string;
  readonly begin: string;
  /** Sent again and again after the beginning. */
  readonly repeated: string;
  /** @default false */
  readonly stream?: boolean;
  /** Whether the response is complete before the bytes begin. @default false */
  readonly complete?: boolean;
}

const CASES: readonly EndlessCase[] = [
  { name: "nothing of HTTP", begin: "", repeated: "\u0000\u0001nothing" },
  { name: "blank lines", begin: "", repeated: "\r\n" },
  { name: "a status line", begin: "HTTP/1.1 200 ", repeated: "a" },
  { name: "a header's name", begin: "HTTP/1.1 200 OK\r\n", repeated: "a" },
  { name: "a header's value", begin: "HTTP/1.1 200 OK\r\nx: ", repeated: "a" },
  { name: "headers", begin: "HTTP/1.1 200 OK\r\n", repeated: "a: b\r\n" },
  ...[100, 102, 103, 199].map((status) => ({
    name: `interim responses ${status}`,
    begin: "",
    repeated: `HTTP/1.1 ${status} X\r\nlink: a\r\n\r\n`,
  })),
  { name: "a body", begin: `${HEAD}\r\n`, repeated: "a" },
  {
    name: "a body of a length without bound",
    begin: `${HEAD}content-length: 999999999999\r\n\r\n`,
    repeated: "a",
  },
  {
    name: "the body of a failure",
    begin: "HTTP/1.1 500 X\r\nx-id: r1\r\n\r\n",
    repeated: "a",
  },
  {
    name: "the body of a refusal",
    begin: "HTTP/1.1 503 X\r\nx-id: r1\r\nx-not-run: 1\r\n\r\n",
    repeated: "a",
  },
  {
    name: "chunks",
    begin: CHUNKED,
    repeated: `400\r\n${"a".repeat(1_024)}\r\n`,
  },
  { name: "chunks of one byte", begin: CHUNKED, repeated: "1\r\na\r\n" },
  { name: "a chunk's size", begin: CHUNKED, repeated: "0" },
  { name: "a chunk's extension", begin: `${CHUNKED}1;x=`, repeated: "a" },
  { name: "a trailer", begin: `${CHUNKED}1\r\na\r\n0\r\nx: `, repeated: "a" },
  {
    name: "trailers",
    begin: `${CHUNKED}1\r\na\r\n0\r\n`,
    repeated: "a: b\r\n",
  },
  {
    name: "an event",
    begin: `${HEAD}\r\nid: 1\n`,
    repeated: "a",
    stream: true,
  },
  {
    name: "lines of an event",
    begin: `${HEAD}\r\n`,
    repeated: "data: a\n",
    stream: true,
  },
  {
    name: "ends of events",
    begin: `${HEAD}\r\n`,
    repeated: "\n",
    stream: true,
  },
  { name: "comments", begin: `${HEAD}\r\n`, repeated: ":\n\n", stream: true },
  {
    name: "responses after the response",
    begin: COMPLETE,
    repeated: COMPLETE,
    complete: true,
  },
  {
    name: "bytes after the response",
    begin: COMPLETE,
    repeated: "a",
    complete: true,
  },
  {
    name: "blank lines after the response",
    begin: COMPLETE,
    repeated: "\r\n",
    complete: true,
  },
];

/** Source of a server that answers as one case says; in a thread, so that only the client's pauses count. */
const SERVER = `
const { parentPort, workerData } = require("node:worker_threads");
const { begin, repeated } = workerData;
const part = Buffer.from(repeated.repeat(Math.ceil(65536 / repeated.length)), "latin1");
let sent = 0;
const server = require("node:net").createServer((socket) => {
  socket.on("error", () => undefined);
  socket.on("close", () => parentPort.postMessage({ closed: true, sent }));
  socket.once("data", () => {
    socket.write(begin);
    const send = () => {
      if (socket.destroyed) return;
      sent += part.length;
      if (socket.write(part)) setImmediate(send);
      else socket.once("drain", send);
    };
    send();
  });
}).listen(0, "127.0.0.1", () => parentPort.postMessage({ port: server.address().port }));
`;

interface ServerMessage {
  readonly port?: number;
  readonly closed?: boolean;
  readonly sent?: number;
}

/** Starts a server of one case; resolves with its port and a promise of the bytes that it had sent when its connection was closed. */
async function startServer(one: EndlessCase) {
  const worker = new workerThreads.Worker(SERVER, {
    eval: true,
    workerData: { begin: one.begin, repeated: one.repeated },
  });
  const wait = <Value>(read: (message: ServerMessage) => Value | undefined) =>
    new Promise<Value>((resolve) => {
      const listener = (message: ServerMessage) => {
        const value = read(message);
        if (value === undefined) return;
        worker.off("message", listener);
        resolve(value);
      };
      worker.on("message", listener);
    });
  const closed = wait(({ closed, sent }) => closed ? sent : undefined);
  const port = await wait((message) => message.port);
  return { port, closed, stop: () => worker.terminate() };
}

function buildCall(
  pool: connections.ServerConnections,
  stream: boolean,
): forward.ForwardCall {
  return {
    connections: pool,
    requestId: "r1",
    method: "POST",
    path: "/rooms/",
    headers: {},
    body: Buffer.from("x"),
    stream,
    lastEventId: -1,
    inactivityLimits: {
      headMs: DEADLINE_MS,
      betweenMs: DEADLINE_MS,
      sharesServer: true,
    },
    readResponseMetadata: (_status, headers) => ({
      requestId: headers["x-id"] as string | undefined,
      notRun: headers["x-not-run"] !== undefined,
      genuine: headers["x-stamp"] !== undefined,
      misdirected: false,
      signals: core.NO_SIGNALS,
    }),
    signal: AbortSignal.timeout(DEADLINE_MS),
  };
}

/** Runs one request; returns its outcome, and what it took until its connection was closed. */
async function runCase(one: EndlessCase) {
  const server = await startServer(one);
  const pool = connections.createServerConnections(
    `http://127.0.0.1:${server.port}`,
    { connections: 1, clock: utils.SYSTEM_CLOCK },
  );
  const before = process.memoryUsage().rss;
  let memory = 0;
  const timer = setInterval(() => {
    memory = Math.max(memory, process.memoryUsage().rss - before);
  }, 10);
  const delays = perfHooks.monitorEventLoopDelay({ resolution: 5 });
  delays.enable();
  const startedAt = performance.now();
  const outcome = await forward.forwardRequest(
    buildCall(pool, one.stream ?? false),
    { onEvents: () => undefined },
  );
  const sent = await Promise.race([
    server.closed,
    utils.waitFor(DEADLINE_MS).then(() => undefined),
  ]);
  const closeMs = performance.now() - startedAt;
  // A pause is measured once the event loop goes on.
  await utils.waitFor(50);
  clearInterval(timer);
  delays.disable();
  await pool.destroy();
  await server.stop();
  return { outcome, sent, closeMs, memory, pauseMs: delays.max / 1e6 };
}

// Guards against a host that reads what a faulty server sends until its memory or its time is used up.
CASES.forEach((one) => {
  tap.test(`${one.name} without end: the connection is closed at a bound`, async (t) => {
    const { outcome, sent, closeMs, memory, pauseMs } = await runCase(one);
    t.ok(sent !== undefined, "closed");
    t.ok((sent ?? Infinity) < MAX_SENT_BYTES, `${sent} bytes sent`);
    t.ok(closeMs < MAX_CLOSE_MS, `closed after ${Math.round(closeMs)} ms`);
    t.ok(memory < MAX_MEMORY_BYTES, `${memory} bytes of memory`);
    t.ok(pauseMs < MAX_PAUSE_MS, `paused for ${Math.round(pauseMs)} ms`);
    if (one.complete) return t.equal(outcome.kind, "whole");
    t.equal(outcome.kind, "failed");
    const ran = outcome.kind === "failed" && core.resolveRan(outcome.failure);
    // A refusal that the server itself has signed off is certain, whatever follows it.
    t.equal(ran, one.begin.includes("x-not-run") ? "no" : "unknown");
  });
});
