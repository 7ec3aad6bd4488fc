/** Which servers live, as their entries come, go and lapse. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const LEAVE_MS = 2_000;

function buildServer(
  id: string,
  changes: Partial<core.ListedServer> = {},
): core.ListedServer {
  return {
    id,
    service: "rooms",
    address: "10.0.0.1:80",
    failureDomain: "a",
    slots: 4,
    state: "ready",
    bornAt: 1,
    spot: false,
    coldMs: 0,
    revision: 1,
    ...changes,
  };
}

function buildList(...ids: string[]): core.ServerList {
  const list = new core.ServerList({ leaveMs: LEAVE_MS });
  list.setAll(ids.map((id) => buildServer(id)), 0);
  return list;
}

const listIds = (list: core.ServerList) => list.list().map(({ id }) => id);

// A server that leaves without a word: its entry goes while the store is well,
// so the news is true at once.
tap.test("an entry that goes while the store is steady is gone", (t) => {
  const list = buildList("s1", "s2");
  list.remove("s1", 10_000);
  t.same(listIds(list), ["s2"]);
  t.end();
});

// The store is away for longer than the entries' leases. When it is back, every
// entry is missing, and the servers write theirs again within two seconds; a
// host that believed the list would refuse everything meanwhile.
tap.test("entries that lapsed with the store stay until they are back", (t) => {
  const list = buildList("s1", "s2");
  list.recordOutage(10_000);
  list.setAll([], 10_200);
  t.same(listIds(list), ["s1", "s2"]);
  t.equal(list.expire(10_200 + LEAVE_MS), false);
  list.put(buildServer("s1"));
  t.equal(list.expire(10_200 + core.RETURN_MS), true);
  t.same(listIds(list), ["s1"]);
  t.end();
});

// A host is cut off from the store while a server leaves without a word. When
// the host is back it sees the entry missing, as if it had lapsed; the server
// must still get nothing after its time to leave.
tap.test("a missing entry is not held beside others for the whole time", (t) => {
  const list = buildList("s1", "s2");
  list.recordOutage(10_000);
  list.setAll([buildServer("s2")], 10_100);
  t.same(listIds(list), ["s1", "s2"]);
  t.equal(list.expire(10_100 + 0.8 * LEAVE_MS), true);
  t.same(listIds(list), ["s2"]);
  t.end();
});

// A server said that it leaves, then the store was away: that it is missing
// afterwards says nothing new.
tap.test("a server that said that it leaves is not held", (t) => {
  const list = buildList("s1", "s2");
  list.put(buildServer("s1", { state: "draining" }));
  list.recordOutage(10_000);
  list.remove("s1", 10_100);
  t.same(listIds(list), ["s2"]);
  t.end();
});
