/** What follows from the statuses of many hosts. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

function buildDemand(short: number, long: number): core.PromptDemand {
  const pauses = { seen: 10 * short, long: short };
  return { short, long, reading: short / 2, pauses };
}

function buildWord(
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

tap.test("a host is told of all others, not of itself", (t) => {
  const statuses = new core.HostStatuses();
  ["a", "b", "c"].forEach((host) =>
    statuses.take(buildWord(host), { now: 0, direct: true })
  );
  const others = statuses.sum(500, { without: "a" });
  t.equal(others.hosts, 2);
  t.same(others.running, { engine: 6 });
  t.same(others.prompting, { engine: 1_800 });
  t.same(others.demand, { planner: buildDemand(4, 2) });
  t.same(others.times, [1_500, 1_500]);
  t.end();
});

// A host is cut off for some seconds. Its requests are no load any more, but it
// shares the retry budget still, and what it counted must be reported.
tap.test("an old status counts for what is shared, not for load", (t) => {
  const statuses = new core.HostStatuses();
  statuses.take(buildWord("a"), { now: 0, direct: true });
  const later = statuses.sum(4_000);
  t.equal(later.hosts, 1);
  t.same(later.running, {});
  t.equal(statuses.list(4_000).length, 1);
  t.equal(statuses.list(16_000).length, 0);
  t.end();
});

// A host was killed and started again: the counts of its first life stand, and
// a status of it that was under way comes after a newer one.
tap.test("each life of a host has a status, the newest of it", (t) => {
  const statuses = new core.HostStatuses();
  statuses.take(buildWord("a", { at: 2_000 }), { now: 0, direct: true });
  statuses.take(buildWord("a", { at: 1_500 }), { now: 10, direct: true });
  statuses.take(buildWord("a", { incarnation: "second", at: 3_000 }), {
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

// The store is away, and a host that cannot publish passes its followers' statuses
// on, each second the same ones. Every host's time of day went back by seconds,
// and requests were counted in the wrong usage windows.
tap.test("a status that is passed on says nothing of time or load", (t) => {
  const statuses = new core.HostStatuses();
  statuses.take(buildWord("a"), { now: 0, direct: true });
  statuses.take(buildWord("a"), { now: 2_000, direct: false });
  statuses.take(buildWord("b"), { now: 2_000, direct: false });
  const sum = statuses.sum(2_500);
  t.same(sum.times, [3_500]);
  t.same(sum.running, { engine: 3 });
  t.equal(sum.hosts, 2);
  t.equal(statuses.list(2_500).length, 2);
  t.end();
});

// Guards against requests that are refused while engines are idle: the work of a process that was killed counted beside that of its successor.
tap.test("the work of an earlier process counts no more", (t) => {
  const statuses = new core.HostStatuses();
  statuses.take(buildWord("a"), { now: 0, direct: true });
  const successor = {
    incarnation: "second",
    running: { engine: 1 },
    prompting: {},
  };
  statuses.take(buildWord("a", successor), { now: 900, direct: true });
  const sum = statuses.sum(1_000);
  t.same(sum.running, { engine: 1 });
  t.equal(sum.demand.planner.short, 2);
  t.equal(statuses.list(1_000).length, 2, "what it counted is kept");
  t.end();
});

tap.test("summaries merge, and lose what is too old", (t) => {
  const mark = { fingerprint: "f", server: "s" };
  const one: core.HostsSummary = {
    hosts: 3,
    demand: { planner: buildDemand(1, 1) },
    running: { engine: 1 },
    prompting: {},
    times: [5_000],
    suspects: [mark],
  };
  const merged = core.mergeSummaries([one, core.dropOldWork(one, 1_000)]);
  t.equal(merged.hosts, 6);
  t.same(merged.running, { engine: 2 });
  t.same(merged.times, [5_000, 6_000]);
  t.same(merged.suspects, [mark]);
  t.match(core.dropOldWork(one, 5_000), { hosts: 3, running: {}, times: [] });
  t.end();
});

// A request takes one server at each of three hosts. Each host alone would let
// it take two more.
tap.test("a request that took three servers anywhere is refused", (t) => {
  const suspects = new core.SuspectTable({
    isolateAfter: 2,
    poisonLimit: 3,
    holdsForeign: false,
  });
  suspects.add({ fingerprint: "f", server: "s1" });
  t.notOk(suspects.isSuspect("f"));
  suspects.addForeign({ fingerprint: "f", server: "s2" }, 0);
  t.ok(suspects.isSuspect("f"));
  t.equal(suspects.getHold("f", 0), 0);
  suspects.addForeign({ fingerprint: "f", server: "s2" }, 0);
  t.notOk(suspects.isPoison("f"));
  suspects.addForeign({ fingerprint: "f", server: "s3" }, 0);
  t.ok(suspects.isPoison("f"));
  t.end();
});

// A lookup that many send is running as three servers are lost for other
// reasons, and is answered well in between. It was refused from then on: the
// other hosts went on telling of the losses.
tap.test("losses before a whole answer do not count again", (t) => {
  const suspects = new core.SuspectTable({ isolateAfter: 2, poisonLimit: 3 });
  const marks = ["s1", "s2"].map((server) => ({ fingerprint: "f", server }));
  marks.forEach((mark) => suspects.addForeign(mark, 0));
  suspects.clear("f");
  marks.forEach((mark) => suspects.addForeign(mark, 0));
  suspects.add({ fingerprint: "f", server: "s3" });
  t.notOk(suspects.isSuspect("f"));
  suspects.add(marks[0]);
  suspects.add(marks[1]);
  t.ok(suspects.isPoison("f"), "lost again since");
  t.end();
});
