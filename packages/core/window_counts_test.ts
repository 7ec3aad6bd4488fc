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

const TIMES = {
  windowMs: 5_000,
  countsMs: 1_500,
  partialMs: 5_000,
  latestMs: 8_500,
};

// A window must not be fixed before the hosts have published what they counted
// in it: its report would be short for good. Nor may one dead host, or an
// outage of the store that kept all from publishing, make every report late.
tap.test("a window waits for counts, but not for the dead", (t) => {
  const find = (now: number, publishedAt: readonly number[]) =>
    core.findLastWindow({ ...TIMES, now, publishedAt });
  t.equal(find(51_400, [51_000, 50_900, 51_200]), 8, "too early");
  t.equal(find(51_600, [51_000, 50_900, 51_200]), 9, "all have published");
  t.equal(find(51_600, [51_000, 48_000, 51_200]), 8, "one is out of reach");
  t.equal(find(55_100, [54_000, 48_000, 54_200]), 9, "and stays so");
  t.equal(find(56_000, [48_000, 48_000, 48_100]), 8, "the store was away");
  t.equal(find(58_600, [48_000, 48_000, 48_100]), 9, "the last moment");
  t.equal(find(51_600, [51_000, 42_000, 51_200]), 9, "one has long been gone");
  t.equal(find(58_400, []), 8, "nobody has published");
  t.end();
});
