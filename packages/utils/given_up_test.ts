/** What still reaches a peer of calls that were given up. */
import * as tapModule from "tap";
import * as undici from "undici";
import * as backend from "./backend.ts";
import * as jsonClient from "./json_client.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const BODY = "x".repeat(testing.BODY_OF_STALLED_BYTES);

// Guards against an order that is carried out seconds after it was given up, behind newer ones.
tap.test("a call that was given up does not reach its peer later", async (t) => {
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
  t.ok(await server.readAll() < testing.BODY_OF_STALLED_BYTES);
});

// Guards against a server that runs a request seconds after its caller left.
tap.test("a request of the shared agent that was given up does not reach its server later", async (t) => {
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
  t.ok(await server.readAll() < testing.BODY_OF_STALLED_BYTES);
});
