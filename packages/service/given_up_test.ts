/** What still reaches a server of requests that were given up. */
import * as net from "node:net";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as connections from "./connections.ts";
import * as forward from "./forward.ts";

const tap = tapModule.default;

/** More than a connection's receiver takes in before it reads, in bytes. */
const BODY_BYTES = 1_000_000;

/** A server that takes nothing from its connections until it is told to. */
async function startStalledServer(t: tapModule.Test) {
  const sockets: net.Socket[] = [];
  const server = net.createServer({ pauseOnConnect: true }, (socket) => {
    socket.on("error", () => undefined);
    sockets.push(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  const pool = connections.createServerConnections(
    `http://127.0.0.1:${port}`,
    { connections: 2, clock: utils.SYSTEM_CLOCK },
  );
  t.teardown(async () => {
    await pool.destroy();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { pool, sockets };
}

/** Reads what a connection has brought until it ends, in bytes. */
async function readAll(socket: net.Socket): Promise<number> {
  let size = 0;
  socket.on("data", (chunk: Buffer) => {
    size += chunk.length;
  });
  socket.resume();
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
  return size;
}

function sendCall(
  pool: connections.ServerConnections,
  changes: Partial<forward.ForwardCall>,
): Promise<forward.ForwardOutcome> {
  return forward.forwardRequest({
    connections: pool,
    requestId: "r1",
    method: "POST",
    path: "/rooms/",
    headers: {},
    body: Buffer.alloc(BODY_BYTES, "x"),
    stream: false,
    lastEventId: -1,
    silence: { headMs: 5_000, betweenMs: 5_000, sharesServer: true },
    readMarks: () => ({ requestId: "r1", notRun: false, genuine: true }),
    signal: new AbortController().signal,
    ...changes,
  }, { onEvents: () => undefined });
}

// Guards against a server that runs a request seconds after its caller left, since a cut link held it.
tap.test("a request whose caller left does not reach its server later", async (t) => {
  const { pool, sockets } = await startStalledServer(t);
  const abort = new AbortController();
  const outcome = sendCall(pool, { signal: abort.signal });
  while (sockets.length === 0) await utils.waitFor(10);
  await utils.waitFor(50);
  abort.abort();
  t.same(await outcome, { kind: "aborted" });
  t.ok(await readAll(sockets[0]) < BODY_BYTES);
});

// Guards against a server that runs a request after it was tried elsewhere, since a cut link held it.
tap.test("a request that was tried elsewhere does not reach its first server later", async (t) => {
  const { pool, sockets } = await startStalledServer(t);
  const silence = { headMs: 100, betweenMs: 100, sharesServer: false };
  const outcome = await sendCall(pool, { silence });
  t.match(outcome, { kind: "failed", failure: "timeout" });
  t.ok(await readAll(sockets[0]) < BODY_BYTES);
});
