/** Who may take a role over, and when. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as client from "./client.ts";
import * as fake from "./fake.ts";
import * as leaseHolder from "./lease_holder.ts";

const tap = tapModule.default;

const TERMS = { ttlMs: 3_000, marginMs: 400 };

/** Takes one step towards the role in a process of a host. */
function advance(
  storeClient: client.KeyValueClient,
  { host, incarnation, lease = { kind: "none" } }: {
    readonly host: string;
    readonly incarnation: string;
    readonly lease?: core.LeaseState;
  },
): Promise<core.LeaseState> {
  return leaseHolder.advanceLease(lease, {
    store: storeClient,
    clock: utils.SYSTEM_CLOCK,
    role: "platform",
    host,
    incarnation,
    terms: TERMS,
    flightMs: 0,
    isCandidate: () => true,
  });
}

// Guards against a role that nobody does until the lease of a process that has died runs out.
tap.test("a host that starts again takes its own role over", async (t) => {
  const store = await fake.startFakeStore({});
  const storeClient = client.createStoreClient({ url: store.url });
  t.teardown(async () => {
    await storeClient.close();
    await store.close();
  });
  const first = await advance(storeClient, { host: "a", incarnation: "1" });
  t.equal(first.kind, "held");
  const other = await advance(storeClient, { host: "b", incarnation: "1" });
  t.equal(other.kind, "none", "another host waits for the lease to end");
  const second = await advance(storeClient, { host: "a", incarnation: "2" });
  t.match(second, { kind: "held" });
  t.ok(
    first.kind === "held" && second.kind === "held" &&
      second.token > first.token,
    "with a larger fencing token",
  );
  if (first.kind === "held") await storeClient.revokeLease(first.leaseId);
  const late = await advance(storeClient, { host: "b", incarnation: "1" });
  t.equal(late.kind, "none", "the end of the old lease does not end the role");
  t.end();
});
