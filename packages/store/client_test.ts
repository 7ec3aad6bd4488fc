/** The store's client where the store does not answer. */
import * as tapModule from "tap";
import * as testing from "@banyangrade/utils/testing.ts";
import * as storeClient from "./client.ts";

const tap = tapModule.default;

// Guards against a write to the store that takes effect seconds after it was given up.
tap.test("a write that was given up does not reach the store later", async (t) => {
  const server = await testing.startStalledServer();
  const client = storeClient.createStoreClient({ url: server.url });
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  const value = "x".repeat(testing.BODY_OF_STALLED_BYTES);
  const answer = await client.swap({ key: "k", expected: 0, value });
  t.match(answer, { err: true, val: { code: "unknown_outcome" } });
  t.ok(await server.readAll() < testing.BODY_OF_STALLED_BYTES);
});
