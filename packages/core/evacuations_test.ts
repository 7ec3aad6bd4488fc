/** Failure domains that operators empty and take back, as the news of it comes. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

function buildOrder(
  failureDomain: string,
  evacuated: boolean,
  revision: number,
): core.EvacuationChange {
  return { failureDomain, evacuated, revision };
}

// Guards against work for a domain that is emptied for a second time, or beside another one.
tap.test("each failure domain is emptied until its own order ends", (t) => {
  const evacuations = new core.Evacuations();
  t.ok(evacuations.apply(buildOrder("a", true, 5)));
  t.ok(evacuations.apply(buildOrder("b", true, 6)));
  t.same(evacuations.list(), ["a", "b"]);
  t.ok(evacuations.apply(buildOrder("a", false, 7)));
  t.notOk(evacuations.has("a"));
  t.ok(evacuations.has("b"));
  t.ok(evacuations.apply(buildOrder("a", true, 8)));
  t.ok(evacuations.has("a"));
  t.end();
});

// Guards against a relay that is behind: its old word must not end, or begin, what a newer one did.
tap.test("older word changes nothing", (t) => {
  const evacuations = new core.Evacuations();
  evacuations.apply(buildOrder("a", true, 8));
  t.notOk(evacuations.apply(buildOrder("a", false, 4)));
  t.same(evacuations.setAll(new Map(), 7), []);
  t.ok(evacuations.has("a"));
  t.same(evacuations.setAll(new Map(), 9), ["a"]);
  t.notOk(evacuations.has("a"));
  t.notOk(evacuations.apply(buildOrder("a", true, 8)));
  t.notOk(evacuations.has("a"));
  t.end();
});

// Guards against an order that is missed where the history is gone and all is read anew.
tap.test("a full read brings what was missed", (t) => {
  const evacuations = new core.Evacuations();
  evacuations.apply(buildOrder("a", true, 5));
  t.same(evacuations.setAll(new Map([["b", 7]]), 9), ["b", "a"]);
  t.same(evacuations.list(), ["b"]);
  t.same(evacuations.setAll(new Map([["b", 7]]), 12), []);
  t.end();
});
