/** Tests how changes of the evacuated failure domains are applied. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

function buildChange(
  failureDomain: string,
  evacuated: boolean,
  revision: number,
): core.EvacuationChange {
  return { failureDomain, evacuated, revision };
}

// Guards against work for a failure domain that is evacuated a second time, or
// while the evacuation of another failure domain ends.
tap.test("each failure domain is evacuated until its own evacuation ends", (t) => {
  const evacuations = new core.Evacuations();
  t.ok(evacuations.apply(buildChange("a", true, 5)));
  t.ok(evacuations.apply(buildChange("b", true, 6)));
  t.same(evacuations.list(), ["a", "b"]);
  t.ok(evacuations.apply(buildChange("a", false, 7)));
  t.notOk(evacuations.has("a"));
  t.ok(evacuations.has("b"));
  t.ok(evacuations.apply(buildChange("a", true, 8)));
  t.ok(evacuations.has("a"));
  t.end();
});

// Guards against a relay that lags behind: its old changes must not end or
// restart an evacuation that a newer revision has set.
tap.test("a change with an old revision is ignored", (t) => {
  const evacuations = new core.Evacuations();
  evacuations.apply(buildChange("a", true, 8));
  t.notOk(evacuations.apply(buildChange("a", false, 4)));
  t.same(evacuations.setAll(new Map(), 7), []);
  t.ok(evacuations.has("a"));
  t.same(evacuations.setAll(new Map(), 9), ["a"]);
  t.notOk(evacuations.has("a"));
  t.notOk(evacuations.apply(buildChange("a", true, 8)));
  t.notOk(evacuations.has("a"));
  t.end();
});

// Guards against an evacuation that is missed when the store has compacted the
// change history and the host reads all entries again.
tap.test("a full read applies the changes that were missed", (t) => {
  const evacuations = new core.Evacuations();
  evacuations.apply(buildChange("a", true, 5));
  t.same(evacuations.setAll(new Map([["b", 7]]), 9), ["b", "a"]);
  t.same(evacuations.list(), ["b"]);
  t.same(evacuations.setAll(new Map([["b", 7]]), 12), []);
  t.end();
});
