/** Tests how long backend servers count as cold. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const START_MS = 3_000;

function buildReport(changes: Partial<core.ColdReport> = {}): core.ColdReport {
  return {
    name: "s1@1",
    failureDomain: "a",
    coldMs: 0,
    revision: 1,
    ...changes,
  };
}

function getRemaining(
  starts: core.ColdStartTracker,
  now: number,
  name = "s1@1",
) {
  return starts.getRemainingMs(name, { startMs: START_MS, now });
}

tap.test("a server is cold for the time that it reports", (t) => {
  const starts = new core.ColdStartTracker();
  starts.setAll([buildReport({ coldMs: 2_000 })], 100);
  t.equal(getRemaining(starts, 100), 2_000);
  t.equal(getRemaining(starts, 1_100), 1_000);
  // Reading the same entry again does not restart its cold time.
  starts.setAll([buildReport({ coldMs: 2_000 })], 2_000);
  t.equal(getRemaining(starts, 2_100), 0);
  starts.setAll([buildReport({ coldMs: 900, revision: 2 })], 5_000);
  t.equal(getRemaining(starts, 5_000), 900, "a server may become cold again");
  t.end();
});

// Guards against full load on a cold server whose report is missing, or whose
// entry has no cold time.
tap.test("a server without a report counts as just started", (t) => {
  const starts = new core.ColdStartTracker();
  t.equal(getRemaining(starts, 0), START_MS);
  starts.setAll([buildReport({ coldMs: undefined })], 1_000);
  t.equal(getRemaining(starts, 2_000), 2_000);
  t.equal(getRemaining(starts, 2_000, "s1@2"), START_MS, "another incarnation");
  t.end();
});

// Guards against full load on cold servers when an evacuated failure domain is
// used again: the servers' last reports date from before the evacuation.
tap.test("servers are cold when their failure domain is used again", (t) => {
  const starts = new core.ColdStartTracker();
  starts.setAll(
    [buildReport(), buildReport({ name: "s2@1", failureDomain: "b" })],
    0,
  );
  starts.recordReturn("a", 10_000);
  t.equal(getRemaining(starts, 11_000), 2_000);
  t.equal(getRemaining(starts, 11_000, "s2@1"), 0);
  t.equal(getRemaining(starts, 13_000), 0);
  t.end();
});
