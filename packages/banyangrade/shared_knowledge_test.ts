/** Tests what hosts learn from others once they reach the store again. */
import * as tapModule from "tap";
import type * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as testing from "./relay_testing.ts";

const tap = tapModule.default;

/** Time in which hosts notice that the store rejects them, in ms. */
const OUTAGE_MS = 2_500;
/** Time in which they ask once it serves them again, in ms; a store call after a round of polls. */
const ASKED_MS = 1_500;

// Guards against hosts of a failure domain that was cut off, which send a request to
// servers that has ended three meanwhile.
tap.test("hosts ask what others know once they reach the store again", async (t) => {
  const memory = new testing.MemoryStore();
  const hosts = await testing.startRelayHosts(t, {
    memory,
    links: { a: undefined, b: undefined },
  });
  await testing.waitUntil(() => memory.getRelay() !== undefined);
  await utils.waitFor(1_500);
  hosts.forEach(({ name }) => memory.rejected.add(name));
  await utils.waitFor(OUTAGE_MS);
  const known: core.SuspectMark[] = ["s1@1", "s2@1", "s3@1"].map((server) => ({
    fingerprint: "f",
    server,
    at: Date.now() - 1_000,
  }));
  memory.put(
    "banyangrade/hosts/c/1",
    JSON.stringify({ statuses: [], known }),
  );
  memory.rejected.clear();
  await utils.waitFor(ASKED_MS);
  const counts = hosts.map(({ parts }) => parts.dispatch.countPoisonRequests());
  t.same(counts, [1, 1]);
});
