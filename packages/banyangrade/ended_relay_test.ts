/** Tests hosts that find a relay whose process has ended. */
import * as tapModule from "tap";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as utilsTesting from "@banyangrade/utils/testing.ts";
import * as testing from "./relay_testing.ts";

const tap = tapModule.default;

// Guards against hosts that wait for the lease of a relay of before a power loss, and read everything by themselves meanwhile.
tap.test("a relay whose process has ended is replaced before its lease ends", async (t) => {
  const memory = new testing.MemoryStore();
  const port = await utilsTesting.findFreePort();
  memory.put(
    store.getRoleKey("relay/rosenheim"),
    JSON.stringify({
      host: "former",
      incarnation: "1",
      contact: { address: `127.0.0.1:${port}`, secret: "secret" },
    }),
  );
  const startedAt = utils.SYSTEM_CLOCK.now();
  const hosts = await testing.startRelayHosts(t, {
    memory,
    links: { a: undefined, b: undefined, c: undefined },
  });
  await testing.waitUntil(() =>
    hosts.every(({ parts }) =>
      parts.relay.isRelay() ||
      hosts.some(({ name }) => name === parts.relay.getFollowed()?.host)
    )
  );
  t.ok(utils.SYSTEM_CLOCK.now() - startedAt < 3_000);
});
