/** Tests which servers count as alive when their entries are written, removed and expire. */
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
    startedAt: 1,
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

// Guards against work for a server that left without announcing it: its entry
// is removed while the store is stable, so the removal takes effect immediately.
tap.test("a server whose entry is removed while the store is stable is dropped", (t) => {
  const list = buildList("s1", "s2");
  list.remove("s1", 10_000);
  t.same(listIds(list), ["s2"]);
  t.end();
});

// Guards against a host that refuses all requests after a store outage: the
// outage lasts longer than the leases of the entries, so every entry is missing
// when the store recovers, until the servers register again within two seconds.
tap.test("servers whose entries expired in a store outage stay in use", (t) => {
  const list = buildList("s1", "s2");
  list.recordOutage(10_000);
  list.setAll([], 10_200);
  t.same(listIds(list), ["s1", "s2"]);
  t.equal(list.expire(10_200 + LEAVE_MS), false);
  list.put(buildServer("s1"));
  t.equal(list.expire(10_200 + core.REREGISTRATION_MS), true);
  t.same(listIds(list), ["s1"]);
  t.end();
});

// Guards against work for a server that left, without announcing it, while the
// host was disconnected from the store: the missing entry looks as if it had
// expired, but the server must get no work after its time to leave.
tap.test("a server with a missing entry is dropped early if others remain", (t) => {
  const list = buildList("s1", "s2");
  list.recordOutage(10_000);
  list.setAll([buildServer("s2")], 10_100);
  t.same(listIds(list), ["s1", "s2"]);
  t.equal(list.expire(10_100 + 0.8 * LEAVE_MS), true);
  t.same(listIds(list), ["s2"]);
  t.end();
});

// Guards against work for a server that left, at a host that reads the store for the first time long after its last failed call.
tap.test("a missing entry is not held beyond the time in which the store counts as unstable", (t) => {
  const list = buildList("s1", "s2");
  list.recordOutage(10_000);
  list.setAll([buildServer("s2")], 11_600);
  t.same(listIds(list), ["s1", "s2"]);
  t.equal(list.expire(12_500), false);
  t.equal(list.expire(12_700), true);
  t.same(listIds(list), ["s2"]);
  t.end();
});

// Guards against work for a server that announced its departure before a store
// outage: after the outage, its missing entry is not an expired one.
tap.test("a draining server with a missing entry is dropped immediately", (t) => {
  const list = buildList("s1", "s2");
  list.put(buildServer("s1", { state: "draining" }));
  list.recordOutage(10_000);
  list.remove("s1", 10_100);
  t.same(listIds(list), ["s2"]);
  t.end();
});
