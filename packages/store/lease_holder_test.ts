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

interface Gate {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
}

function openGate(): Gate {
  let resolve = () => {};
  const promise = new Promise<void>((pass) => {
    resolve = pass;
  });
  return { promise, resolve };
}

// Guards against a storm of calls as all hosts start: each tried to take the role, and one won.
tap.test("hosts that start together do not all try for a role", async (t) => {
  const store = await fake.startFakeStore({});
  const storeClient = client.createStoreClient({ url: store.url });
  t.teardown(async () => {
    await storeClient.close();
    await store.close();
  });
  let granted = 0;
  const found: string[] = [];
  const startTry = (
    index: number,
    get: client.KeyValueClient["get"],
  ): Promise<core.LeaseState> =>
    leaseHolder.advanceLease({ kind: "none" }, {
      store: {
        ...storeClient,
        get,
        grantLease: (seconds) => {
          granted += 1;
          return storeClient.grantLease(seconds);
        },
      },
      clock: utils.SYSTEM_CLOCK,
      role: "relay/a",
      host: `host-${index}`,
      incarnation: "1",
      terms: TERMS,
      flightMs: 0,
      isCandidate: () => true,
      getPauseMs: () => 1,
      onOther: ({ host }) => found.push(host),
    });
  // All others have seen that nobody holds it before the one with the shortest pause tries.
  const reads = Array.from({ length: 32 }, () => openGate());
  const winning = openGate();
  const others = reads.map((firstRead, index) => {
    let isFirst = true;
    return startTry(index + 1, async (key) => {
      if (!isFirst) await winning.promise;
      isFirst = false;
      const current = await storeClient.get(key);
      firstRead.resolve();
      return current;
    });
  });
  await Promise.all(reads.map(({ promise }) => promise));
  const winner = await startTry(0, storeClient.get);
  winning.resolve();
  t.equal(winner.kind, "held");
  const leases = await Promise.all(others);
  t.ok(leases.every(({ kind }) => kind === "none"));
  t.equal(granted, 1);
  t.equal(found.length, 32, "the others know it at once");
  t.end();
});
