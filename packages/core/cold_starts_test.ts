/** Until when servers are taken for cold. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const START_MS = 3_000;

function buildWord(changes: Partial<core.ColdWord> = {}): core.ColdWord {
  return {
    name: "s1@1",
    failureDomain: "a",
    coldMs: 0,
    revision: 1,
    ...changes,
  };
}

function readLeft(starts: core.ColdStarts, now: number, name = "s1@1") {
  return starts.getLeftMs(name, { startMs: START_MS, now });
}

tap.test("a server is cold for as long as it says", (t) => {
  const starts = new core.ColdStarts();
  starts.setAll([buildWord({ coldMs: 2_000 })], 100);
  t.equal(readLeft(starts, 100), 2_000);
  t.equal(readLeft(starts, 1_100), 1_000);
  // The same entry, read once more, is no newer.
  starts.setAll([buildWord({ coldMs: 2_000 })], 2_000);
  t.equal(readLeft(starts, 2_100), 0);
  starts.setAll([buildWord({ coldMs: 900, revision: 2 })], 5_000);
  t.equal(readLeft(starts, 5_000), 900, "it may become cold again");
  t.end();
});

// Guards against full load at a server whose word is missing or was never heard.
tap.test("a server that says nothing is taken for one that starts", (t) => {
  const starts = new core.ColdStarts();
  t.equal(readLeft(starts, 0), START_MS);
  starts.setAll([buildWord({ coldMs: undefined })], 1_000);
  t.equal(readLeft(starts, 2_000), 2_000);
  t.equal(readLeft(starts, 2_000, "s1@2"), START_MS, "another incarnation");
  t.end();
});

// Guards against full load at once where an emptied failure domain is used again and its servers' word is from before.
tap.test("servers of a failure domain that is used again are cold", (t) => {
  const starts = new core.ColdStarts();
  starts.setAll(
    [buildWord(), buildWord({ name: "s2@1", failureDomain: "b" })],
    0,
  );
  starts.recordReturn("a", 10_000);
  t.equal(readLeft(starts, 11_000), 2_000);
  t.equal(readLeft(starts, 11_000, "s2@1"), 0);
  t.equal(readLeft(starts, 13_000), 0);
  t.end();
});
