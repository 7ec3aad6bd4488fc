/** Tests that an abandoned request does not reach its server later. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as testing from "@banyangrade/utils/testing.ts";
import * as connections from "./connections.ts";
import * as forward from "./forward.ts";

const tap = tapModule.default;

/** Starts a server that receives requests late, and a connection pool for it. */
async function startServer(t: tapModule.Test) {
  const server = await testing.startStalledServer();
  const pool = connections.createServerConnections(server.url, {
    connections: 2,
    clock: utils.SYSTEM_CLOCK,
  });
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  return { server, pool };
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
    body: Buffer.alloc(testing.STALLED_BODY_BYTES, "x"),
    stream: false,
    lastEventId: -1,
    inactivityLimits: { headMs: 5_000, betweenMs: 5_000, sharesServer: true },
    readResponseMetadata: () => ({
      requestId: "r1",
      notRun: false,
      genuine: true,
      misdirected: false,
      signals: core.NO_SIGNALS,
    }),
    signal: new AbortController().signal,
    ...changes,
  }, { onEvents: () => undefined });
}

// Guards against a server that executes a request after its caller disconnected.
// A network interruption delays the bytes that are already written.
tap.test("a request whose caller disconnected does not reach its server later", async (t) => {
  const { server, pool } = await startServer(t);
  const abort = new AbortController();
  const outcome = sendCall(pool, { signal: abort.signal });
  await server.waitForRequest();
  abort.abort();
  t.same(await outcome, { kind: "aborted" });
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});

// Guards against a server that executes a request after it was retried on another
// server. A network interruption delays the bytes that are already written.
tap.test("a request that timed out does not reach its server later", async (t) => {
  const { server, pool } = await startServer(t);
  const inactivityLimits = { headMs: 100, betweenMs: 100, sharesServer: false };
  const outcome = await sendCall(pool, { inactivityLimits });
  t.match(outcome, { kind: "failed", failure: "timeout" });
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});

// Guards against a server that executes a request after the sending host has
// stopped. Bytes that are already written outlive a normal close.
tap.test("a request that was interrupted by a shutdown does not reach its server later", async (t) => {
  const { server, pool } = await startServer(t);
  const outcome = sendCall(pool, {});
  await server.waitForRequest();
  await pool.destroy();
  t.match(await outcome, { kind: "failed", failure: "connection_lost" });
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});
