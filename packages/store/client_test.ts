/** Tests the store client with a store that does not respond. */
import * as tapModule from "tap";
import * as testing from "@banyangrade/utils/testing.ts";
import * as storeClient from "./client.ts";

const tap = tapModule.default;

// Guards against a write that takes effect seconds after its timeout: a connection
// that is closed without a reset still sends the bytes that are buffered.
tap.test("a write that timed out does not reach the store later", async (t) => {
  const server = await testing.startStalledServer();
  const client = storeClient.createStoreClient({ url: server.url });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  const value = "x".repeat(testing.STALLED_BODY_BYTES);
  const result = await client.swap({ key: "k", expected: 0, value });
  t.match(result, { err: true, val: { code: "unknown_outcome" } });
  t.ok(await server.readAll() < testing.STALLED_BODY_BYTES);
});
