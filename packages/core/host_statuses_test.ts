/** Tests of the summaries of host statuses, and of suspects reported by other hosts. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

function buildDemand(short: number, long: number): core.PromptDemand {
  const pauses = { seen: 10 * short, long: short };
  return { short, long, reading: short / 2, pauses };
}

function buildStatus(
  host: string,
  changes: Partial<core.HostStatus> = {},
): core.HostStatus {
  return {
    host,
    incarnation: "first",
    at: 1_000,
    demand: { planner: buildDemand(2, 1) },
    running: { engine: 3 },
    prompting: { engine: 900 },
    usage: {},
    suspects: [],
    ...changes,
  };
}

tap.test("a summary for a host leaves out its own status", (t) => {
  const statuses = new core.HostStatuses();
  ["a", "b", "c"].forEach((host) =>
    statuses.record(buildStatus(host), { now: 0, direct: true })
  );
  const others = statuses.sum(500, { without: "a" });
  t.equal(others.hosts, 2);
  t.same(others.running, { engine: 6 });
  t.same(others.prompting, { engine: 1_800 });
  t.same(others.demand, { planner: buildDemand(4, 2) });
  t.same(others.times, [1_500, 1_500]);
  t.end();
});

// Guards against a host of an earlier version, which sends no limits.
tap.test("a summary has the newest limit of each server", (t) => {
  const statuses = new core.HostStatuses();
  const limits = { server: "s", perSecond: 2, at: 900 };
  [
    buildStatus("a", { limits: [limits] }),
    buildStatus("b", { limits: [{ server: "s", at: 950 }] }),
    buildStatus("c"),
  ].forEach((status) => statuses.record(status, { now: 0, direct: true }));
  t.same(statuses.sum(500).limits, [{ server: "s", at: 950 }]);
  t.same(statuses.sum(500, { without: "b" }).limits, [limits]);
  const { limits: _limits, ...earlier } = core.EMPTY_SUMMARY;
  t.same(core.mergeSummaries([earlier, statuses.sum(500)]).limits, [
    { server: "s", at: 950 },
  ]);
  t.end();
});

// Guards against a host that is unreachable for seconds and still counts as load.
// It keeps its share of the retry budget, and its usage must still be reported.
tap.test("a stale status counts as a host, but not as load", (t) => {
  const statuses = new core.HostStatuses();
  statuses.record(buildStatus("a"), { now: 0, direct: true });
  const later = statuses.sum(4_000);
  t.equal(later.hosts, 1);
  t.same(later.running, {});
  t.equal(statuses.list(4_000).length, 1);
  t.equal(statuses.list(16_000).length, 0);
  t.end();
});

// Guards against lost usage counts after a host is killed and restarted, and
// against a delayed status that replaces a newer one.
tap.test("each incarnation of a host keeps its newest status", (t) => {
  const statuses = new core.HostStatuses();
  statuses.record(buildStatus("a", { at: 2_000 }), { now: 0, direct: true });
  statuses.record(buildStatus("a", { at: 1_500 }), { now: 10, direct: true });
  statuses.record(buildStatus("a", { incarnation: "second", at: 3_000 }), {
    now: 20,
    direct: true,
  });
  t.same(statuses.list(30).map(({ at }) => at), [2_000, 3_000]);
  t.equal(statuses.sum(30).hosts, 1);
  t.same(core.listCurrentStatuses(statuses.list(30)).map(({ at }) => at), [
    3_000,
  ]);
  t.end();
});

// Guards against clocks that are set back by forwarded statuses. While the store
// is unavailable, a host forwards the same statuses every second; the time of day
// of every host fell behind, and requests were counted in the wrong usage windows.
tap.test("a forwarded status affects neither time nor load", (t) => {
  const statuses = new core.HostStatuses();
  statuses.record(buildStatus("a"), { now: 0, direct: true });
  statuses.record(buildStatus("a"), { now: 2_000, direct: false });
  statuses.record(buildStatus("b"), { now: 2_000, direct: false });
  const sum = statuses.sum(2_500);
  t.same(sum.times, [3_500]);
  t.same(sum.running, { engine: 3 });
  t.equal(sum.hosts, 2);
  t.equal(statuses.list(2_500).length, 2);
  t.end();
});

// Guards against requests that are refused while engines are idle: the load of a
// killed process was counted in addition to that of its successor.
tap.test("the load of an earlier process is not counted", (t) => {
  const statuses = new core.HostStatuses();
  statuses.record(buildStatus("a"), { now: 0, direct: true });
  const successor = {
    incarnation: "second",
    running: { engine: 1 },
    prompting: {},
  };
  statuses.record(buildStatus("a", successor), { now: 900, direct: true });
  const sum = statuses.sum(1_000);
  t.same(sum.running, { engine: 1 });
  t.equal(sum.demand.planner.short, 2);
  t.equal(statuses.list(1_000).length, 2, "its usage counts are kept");
  t.end();
});

tap.test("merging adds summaries, and stale load is dropped", (t) => {
  const mark = { fingerprint: "f", server: "s" };
  const one: core.HostsSummary = {
    hosts: 3,
    demand: { planner: buildDemand(1, 1) },
    running: { engine: 1 },
    prompting: {},
    times: [5_000],
    suspects: [mark],
  };
  const merged = core.mergeSummaries([one, core.dropStaleLoad(one, 1_000)]);
  t.equal(merged.hosts, 6);
  t.same(merged.running, { engine: 2 });
  t.same(merged.times, [5_000, 6_000]);
  t.same(merged.suspects, [mark]);
  t.match(core.dropStaleLoad(one, 5_000), { hosts: 3, running: {}, times: [] });
  t.end();
});

// Guards against a request that crashes one server through each of three hosts:
// by its own losses alone, each host would let the request crash two more.
tap.test("a request that crashed three servers is refused", (t) => {
  const suspects = new core.SuspectTable({
    isolateAfter: 2,
    poisonLimit: 3,
    holdsRemote: false,
  });
  suspects.add({ fingerprint: "f", server: "s1" });
  t.notOk(suspects.isSuspect("f"));
  suspects.addRemote({ fingerprint: "f", server: "s2" }, 0);
  t.ok(suspects.isSuspect("f"));
  t.equal(suspects.getHoldMs("f", 0), 0);
  suspects.addRemote({ fingerprint: "f", server: "s2" }, 0);
  t.notOk(suspects.isPoison("f"));
  suspects.addRemote({ fingerprint: "f", server: "s3" }, 0);
  t.ok(suspects.isPoison("f"));
  t.end();
});

// Guards against a harmless request that is refused for good. It ran on servers
// that failed for other reasons and succeeded in between, but the other hosts
// kept reporting the earlier losses.
tap.test("losses before a complete response do not count again", (t) => {
  const suspects = new core.SuspectTable({ isolateAfter: 2, poisonLimit: 3 });
  const marks = ["s1", "s2"].map((server) => ({ fingerprint: "f", server }));
  marks.forEach((mark) => suspects.addRemote(mark, 0));
  suspects.clear("f");
  marks.forEach((mark) => suspects.addRemote(mark, 0));
  suspects.add({ fingerprint: "f", server: "s3" });
  t.notOk(suspects.isSuspect("f"));
  suspects.add(marks[0]);
  suspects.add(marks[1]);
  t.ok(suspects.isPoison("f"), "lost again after the response");
  t.end();
});

// Guards against hosts that no other host ever learns how to reach, and against
// summaries of the version before, which name none.
tap.test("summaries name a few hosts each time, and all after some time", (t) => {
  const hosts = Array.from({ length: 40 }, (_, index) => `h${index}`);
  const received = new core.HostStatuses();
  const seen = new Set<string>();
  for (let second = 0; second < 200; second += 1) {
    const now = second * 1_000;
    hosts.forEach((host) =>
      received.record(
        buildStatus(host, {
          at: now,
          contact: { host, failureDomain: "a", address: "h:1", secret: "s" },
        }),
        { now, direct: true },
      )
    );
    const { contacts: _contacts, ...earlier } = core.EMPTY_SUMMARY;
    const sum = core.mergeSummaries([earlier, received.sum(now)]);
    t.equal(sum.contacts?.length, 3);
    sum.contacts?.forEach(({ host }) => seen.add(host));
  }
  t.equal(seen.size, hosts.length);
  t.end();
});
