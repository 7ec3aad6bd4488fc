/** Requests by usage window over hosts. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

// Two hosts count, one of them publishes again before the window is fixed: a
// later publication replaces the earlier one and nothing counts twice.
tap.test("publications replace each other and add up over hosts", (t) => {
  const [first, second] = [new core.WindowCounter(), new core.WindowCounter()];
  first.record(7, "studio");
  second.record(7, "studio");
  second.record(8, "school");
  const collector = new core.WindowCollector();
  collector.setTables([first.list(), second.list()]);
  first.record(7, "studio");
  collector.setTables([first.list(), second.list()]);
  const { figures, window } = collector.buildWindow(7, "all");
  t.equal(window, 7);
  t.same(Object.keys(figures), ["studio"]);
  t.equal(figures.studio.requests, 3);
  t.same(collector.buildWindow(9, "all").figures, {});
  t.end();
});

tap.test("old windows are forgotten", (t) => {
  const counter = new core.WindowCounter();
  [1, 2, 3, 4, 5, 6, 7].forEach((window) => counter.record(window, "studio"));
  t.same(Object.keys(counter.list()), ["3", "4", "5", "6", "7"]);
  t.end();
});
