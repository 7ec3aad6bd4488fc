/** Tests of forwarding attempts against servers that fail in the middle of a response. */
import * as net from "node:net";
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as connections from "./connections.ts";
import * as forward from "./forward.ts";

const tap = tapModule.default;

/** Starts a TCP server that writes its response directly to the socket. */
async function startRawServer(answer: (socket: net.Socket) => void) {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  const pool = connections.createServerConnections(
    `http://127.0.0.1:${port}`,
    { connections: 2, clock: utils.SYSTEM_CLOCK },
  );
  return {
    pool,
    close: async () => {
      await pool.destroy();
      server.close();
    },
  };
}

function buildCall(
  pool: connections.ServerConnections,
  changes: Partial<forward.ForwardCall> = {},
): forward.ForwardCall {
  return {
    connections: pool,
    requestId: "r1",
    method: "POST",
    path: "/rooms/",
    headers: {},
    body: Buffer.from("x"),
    stream: false,
    lastEventId: -1,
    inactivityLimits: { headMs: 2_000, betweenMs: 2_000, sharesServer: true },
    readResponseMetadata: (_status, headers) => ({
      requestId: headers["x-id"] as string | undefined,
      notRun: headers["x-not-run"] !== undefined,
      genuine: headers["x-stamp"] !== undefined,
      misdirected: false,
      signals: core.NO_SIGNALS,
    }),
    signal: new AbortController().signal,
    ...changes,
  };
}

const HEAD = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\n";

/** Runs one attempt against a server with the given response, then stops the server. */
async function runAgainst(
  answer: (socket: net.Socket) => void,
  changes: Partial<forward.ForwardCall> = {},
) {
  const server = await startRawServer(answer);
  const events: string[] = [];
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, changes),
    { onEvents: (batch) => void events.push(batch.bytes.toString()) },
  );
  await server.close();
  return { outcome, events };
}

// Guards against forwarding a truncated response as a complete one. The response
// has no content length and its connection is reset in the middle of the body;
// the HTTP client takes the reset for the end of the body.
tap.test("a response without a content length fails if the connection is reset", async (t) => {
  const { outcome } = await runAgainst((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nhalf of`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  });
  t.match(outcome, { kind: "failed", failure: "connection_lost" });
});

// Guards against the same where the reset arrives together with the head.
tap.test("a response without a content length fails if it is reset at once", async (t) => {
  for (const stream of [false, true]) {
    const { outcome } = await runAgainst((socket) => {
      socket.write(`${HEAD}connection: close\r\n\r\nid: 1\ndata: a\n\n`);
      socket.resetAndDestroy();
    }, { stream });
    t.match(outcome, { kind: "failed", failure: "connection_lost" });
  }
});

// Guards against refusing the responses of servers that frame them by the end of
// the connection.
tap.test("a response without a content length is complete when the connection is closed", async (t) => {
  const { outcome } = await runAgainst((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nall `);
    setTimeout(() => socket.end("of it"), 20);
  });
  t.match(outcome, { kind: "whole", answer: { status: 200 } });
  t.equal(
    outcome.kind === "whole" && outcome.answer.body.toString(),
    "all of it",
  );
});

// Guards against forwarding a response that a crash truncated as a complete one,
// where the connection of the response is closed and others are reset.
tap.test("a response without a content length fails if the server is lost before its end", async (t) => {
  const other: net.Socket[] = [];
  const server = await startRawServer((socket) => {
    other.push(socket);
    if (other.length < 2) return;
    socket.write(`${HEAD}connection: close\r\n\r\nhalf of`);
    setTimeout(() => other[0].resetAndDestroy(), 20);
    setTimeout(() => socket.end(), 60);
  });
  const sink = { onEvents: () => undefined };
  const first = forward.forwardRequest(buildCall(server.pool), sink);
  await utils.waitFor(50);
  const outcome = await forward.forwardRequest(buildCall(server.pool), sink);
  t.match(outcome, { kind: "failed", failure: "connection_lost" });
  t.match(await first, { kind: "failed", failure: "connection_lost" });
  await server.close();
});

// Guards against refusing streams that end with their connection, and against
// taking one that ends inside an event for complete.
tap.test("a stream without chunked encoding is complete when its connection is closed between events", async (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  const whole = await runAgainst((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\n${text}`);
  }, { stream: true });
  t.same(whole.events.join(""), text);
  t.match(whole.outcome, { kind: "streamed", events: 2 });
  const broken = await runAgainst((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\n${text}id: 3\nda`);
  }, { stream: true });
  t.same(broken.events.join(""), text);
  t.match(broken.outcome, { kind: "failed", failure: "connection_lost" });
});

// Guards against refusing every response without a content length. Chunked
// encoding marks the end of the body, so the response is complete.
tap.test("a chunked response is complete after its last chunk", async (t) => {
  const { outcome } = await runAgainst((socket) => {
    socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n`);
  });
  t.match(outcome, { kind: "whole", answer: { status: 200 } });
});

// Guards against forwarding a truncated stream as a complete one. The connection
// of an unframed stream is reset between two events.
tap.test("a stream without chunked encoding fails if the connection is reset", async (t) => {
  const { outcome, events } = await runAgainst((socket) => {
    socket.write(`${HEAD}connection: close\r\n\r\nid: 1\ndata: a\n\n`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  }, { stream: true });
  t.same(events, ["id: 1\ndata: a\n\n"]);
  t.match(outcome, { kind: "failed", failure: "connection_lost" });
});

// Guards against forwarding part of an event. The server crashes in the middle of
// an event, and the stream resumes on another server after the last complete event.
tap.test("an incomplete event is not forwarded", async (t) => {
  const { outcome, events } = await runAgainst((socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
    const text = "id: 1\ndata: a\n\nid: 2\nda";
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  }, { stream: true });
  t.same(events, ["id: 1\ndata: a\n\n"]);
  t.match(outcome, { kind: "failed", failure: "connection_lost" });
});

// Guards against returning the response of another request. A late response to an
// earlier request arrives on the connection of the next request.
tap.test("a response with another request's identifier is not forwarded", async (t) => {
  const { outcome } = await runAgainst((socket) => {
    socket.end(
      "HTTP/1.1 200 OK\r\nx-id: r0\r\nx-stamp: s\r\ncontent-length: 1\r\n\r\na",
    );
  });
  t.match(outcome, { kind: "failed", failure: "crossed" });
});

// Guards against forwarding the response of an intermediary. A proxy between the
// host and the server responds, and its response lacks the server's stamp.
tap.test("a successful response without the server's stamp is not forwarded", async (t) => {
  const { outcome } = await runAgainst((socket) => {
    socket.end("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 1\r\n\r\na");
  });
  t.match(outcome, { kind: "failed", failure: "server_error" });
});

// Guards against treating a refusal as an execution failure. An overloaded server
// refuses without executing the request, so a retry is safe.
tap.test("a refusal is distinguished from a server error", async (t) => {
  const refused = await runAgainst((socket) => {
    socket.end(
      "HTTP/1.1 503 Busy\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    );
  });
  t.match(refused.outcome, { kind: "failed", failure: "refused" });
  const failed = await runAgainst((socket) => {
    socket.end(
      `HTTP/1.1 500 No\r\nx-id: r1\r\nx-stamp: s\r\ncontent-length: 1\r\n\r\na`,
    );
  });
  t.match(failed.outcome, {
    kind: "failed",
    failure: "server_error",
    answer: { status: 500 },
  });
});

// Guards against duplicate events. A server that is asked to resume after event 5
// starts again at event 1.
tap.test("a stream that resumes at the wrong event is not forwarded", async (t) => {
  const { outcome, events } = await runAgainst((socket) => {
    socket.end(`${HEAD}connection: close\r\n\r\nid: 1\ndata: a\n\n`);
  }, { stream: true, lastEventId: 5 });
  t.same(events, []);
  t.match(outcome, { kind: "failed", failure: "crossed" });
});

// Guards against treating a refused connection as an unknown outcome. The server
// received no byte of the request, so a retry is safe.
tap.test("a refused connection counts as not sent", async (t) => {
  const pool = connections.createServerConnections("http://127.0.0.1:1", {
    connections: 1,
    clock: utils.SYSTEM_CLOCK,
  });
  const outcome = await forward.forwardRequest(buildCall(pool), {
    onEvents: () => undefined,
  });
  t.match(outcome, { kind: "failed", failure: "not_sent" });
  await pool.close();
});

const SHORT_LIMITS = { headMs: 60, betweenMs: 60, sharesServer: true };

// Guards against waiting for a failed server until the caller's deadline. The
// server stops responding, but the connection stays open.
tap.test("an attempt at an unresponsive server times out", async (t) => {
  const { outcome } = await runAgainst(() => undefined, {
    inactivityLimits: SHORT_LIMITS,
  });
  t.match(outcome, { kind: "failed", failure: "timeout" });
});

// Guards against retries that add to an overload. A load spike delays one stream
// at a server that responds on its other connections; a retry would repeat the
// prefill on another server.
tap.test("an attempt at a server that is active on other connections times out later", async (t) => {
  const server = await startRawServer((socket) => {
    setTimeout(() => socket.end(`${HEAD}content-length: 4\r\n\r\ndone`), 110);
  });
  const otherTraffic = setInterval(() => server.pool.recordReceived(), 10);
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, { inactivityLimits: SHORT_LIMITS }),
    { onEvents: () => undefined },
  );
  clearInterval(otherTraffic);
  t.match(outcome, { kind: "whole" });
  await server.close();
});

// Guards against an attempt without a time limit. A single connection stops
// delivering data for good while the other connections of the server work.
tap.test("an attempt on a single unresponsive connection times out", async (t) => {
  const server = await startRawServer(() => undefined);
  const otherTraffic = setInterval(() => server.pool.recordReceived(), 10);
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, { inactivityLimits: SHORT_LIMITS }),
    { onEvents: () => undefined },
  );
  clearInterval(otherTraffic);
  t.match(outcome, { kind: "failed", failure: "timeout" });
  await server.close();
});

/** Keeps the event loop busy. */
function keepEventLoopBusy(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

// Guards against sound servers that count as failed at a host without processor time: its timers run before it reads what has arrived.
tap.test("a busy host does not take its own delay for a server's silence", async (t) => {
  const server = await startRawServer((socket) => {
    setTimeout(() => socket.end(`${HEAD}content-length: 4\r\n\r\ndone`), 30);
    setTimeout(() => keepEventLoopBusy(150), 10);
  });
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, { inactivityLimits: SHORT_LIMITS }),
    { onEvents: () => undefined },
  );
  t.match(outcome, { kind: "whole" });
  await server.close();
});

// Guards against the same where the answer comes right after the delay.
tap.test("a busy host gives a server time after its own delay", async (t) => {
  const server = await startRawServer((socket) => {
    const answer = () => socket.end(`${HEAD}content-length: 4\r\n\r\ndone`);
    setTimeout(() => setTimeout(answer, 8), 30);
    setTimeout(() => keepEventLoopBusy(340), 10);
  });
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, {
      inactivityLimits: { ...SHORT_LIMITS, headMs: 200 },
    }),
    { onEvents: () => undefined },
  );
  t.match(outcome, { kind: "whole" });
  await server.close();
});

/**
 * Streams events to a caller that takes the first one after `sinkMs`, and resets
 * the connection after `resetMs`. The host is busy for `busyMs` whenever the
 * caller has taken one.
 */
async function runUnread(
  { sinkMs, resetMs, events = 1, busyMs = 0, toleratesUnread }: {
    readonly sinkMs: number;
    readonly events?: number;
    readonly resetMs: number;
    readonly busyMs?: number;
    readonly toleratesUnread: boolean;
  },
): Promise<forward.ForwardOutcome> {
  const server = await startRawServer((socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
    Array.from({ length: events }, (_, index) => index + 1).forEach((id) => {
      const data = id === 1 ? "a" : "x".repeat(50_000);
      const text = `id: ${id}\ndata: ${data}\n\n`;
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
    });
    setTimeout(() => socket.resetAndDestroy(), resetMs);
  });
  let batches = 0;
  const outcome = await forward.forwardRequest(
    buildCall(server.pool, {
      stream: true,
      toleratesUnread,
      inactivityLimits: { headMs: 500, betweenMs: 900, sharesServer: false },
    }),
    {
      onEvents: async () => {
        batches += 1;
        if (batches === 1) await utils.waitFor(sinkMs);
        setImmediate(() => keepEventLoopBusy(busyMs));
      },
    },
  );
  await server.close();
  return outcome;
}

// Guards against a healthy server that is ejected because it ended a stream that
// the host had not read for a second, as the caller was slow.
tap.test("a stream that the host did not read ends as unread", async (t) => {
  const slow = { sinkMs: 1_200, resetMs: 400 };
  t.match(await runUnread({ ...slow, toleratesUnread: true }), {
    kind: "failed",
    failure: "unread",
  });
  // Without the setting, the outcome is the one of the inactivity limit.
  t.match(await runUnread({ ...slow, toleratesUnread: false }), {
    kind: "failed",
    failure: "timeout",
  });
});

// Guards against a healthy server that is ejected because it ended a stream that a
// busy host had not read: the host's own delay passes for the server's silence.
tap.test("a stream that a busy host did not read ends as unread", async (t) => {
  const slow = { sinkMs: 1_200, resetMs: 400, toleratesUnread: true };
  const unread = { kind: "failed", failure: "unread" };
  t.match(await runUnread({ ...slow, events: 20, busyMs: 20 }), unread);
  t.match(await runUnread({ ...slow, events: 20, busyMs: 150 }), unread);
});

// Guards against a failing server that is not ejected because its callers are slow:
// the host had read everything, or had not waited for long.
tap.test("a failure while the host reads is the server's", async (t) => {
  const failure = "connection_lost";
  const late = { sinkMs: 1_200, resetMs: 1_500, toleratesUnread: true };
  t.match(await runUnread(late), { kind: "failed", failure });
  const short = { sinkMs: 300, resetMs: 100, toleratesUnread: true };
  t.match(await runUnread(short), { kind: "failed", failure });
});

/** Responses that a server may send after another one, where the next one is expected; none belongs to the request. */
const STRAY_RESPONSES = [
  "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 429 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 421 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 500 X\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n",
  "HTTP/1.1 200 X\r\nx-stamp: s\r\ncontent-length: 1\r\n\r\na",
  "HTTP/1.1 503 X\r\nx-id: r0\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
];

// Guards against a request that is refused as not run, or sent again, although its server runs it: a faulty server sent a response of no request.
tap.test("a response without the request's identifier is not believed", async (t) => {
  for (const response of STRAY_RESPONSES) {
    const { outcome } = await runAgainst((socket) => socket.write(response));
    t.match(outcome, { kind: "failed", failure: "crossed" }, response);
    t.notOk("answer" in outcome, "not forwarded");
  }
  const { outcome } = await runAgainst((socket) =>
    socket.write(
      "HTTP/1.1 503 X\r\nx-id: r1\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    )
  );
  t.match(outcome, { kind: "failed", failure: "refused" });
});
