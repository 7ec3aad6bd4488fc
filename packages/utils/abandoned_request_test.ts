/** Tests that an abandoned call does not reach its peer later. */
import * as tapModule from "tap";
import * as undici from "undici";
import * as backend from "./backend.ts";
import * as jsonClient from "./json_client.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const BODY = "x".repeat(testing.STALLED_BODY_BYTES);

// Guards against an order that is executed after newer orders. Its call timed out,
// but a network interruption delayed the bytes that were already written.
tap.test("a call that timed out does not reach its peer later", async (t) => {
  const server = await testing.startStalledServer();
  t.teardown(() => server.close());
  const answer = await jsonClient.sendJson({
    method: "POST",
    url: server.url,
    body: BODY,
    step: "test.send",
    peer: "test",
    timeoutMs: 200,
  });
  t.match(answer, { err: true, val: { code: "unknown_outcome" } });
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});

// Guards against a server that executes a request after its caller disconnected.
// A network interruption delays the bytes that are already written.
tap.test("an aborted request of the backend agent does not reach its server later", async (t) => {
  const server = await testing.startStalledServer();
  const agent = backend.createBackendAgent();
  t.teardown(async () => {
    await agent.destroy();
    server.close();
  });
  const sent = undici.request(server.url, {
    dispatcher: agent,
    method: "POST",
    body: BODY,
    signal: AbortSignal.timeout(200),
  });
  await t.rejects(sent);
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});
