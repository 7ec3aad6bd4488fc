/** Tests of the request counts by usage window over all hosts. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

// Guards against requests that are counted twice when a host publishes its counts
// again before the window is finalised.
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

tap.test("old windows are dropped", (t) => {
  const counter = new core.WindowCounter();
  [1, 2, 3, 4, 5, 6, 7].forEach((window) => counter.record(window, "studio"));
  t.same(Object.keys(counter.list()), ["3", "4", "5", "6", "7"]);
  t.end();
});

const TIMES = {
  windowMs: 5_000,
  minDelayMs: 1_500,
  halfPublishedDelayMs: 5_000,
  maxDelayMs: 8_500,
};

// Guards against a window that is finalised before the hosts have published its
// counts, so that its report is too low for good. Also guards against late reports
// because of one dead host or of a store outage in which no host could publish.
tap.test("a window waits for counts, but not for dead hosts", (t) => {
  const find = (now: number, publishedAt: readonly number[]) =>
    core.findNewestFinalWindow({ ...TIMES, now, publishedAt });
  t.equal(find(51_400, [51_000, 50_900, 51_200]), 8, "too early");
  t.equal(find(51_600, [51_000, 50_900, 51_200]), 9, "all have published");
  t.equal(find(51_600, [51_000, 48_000, 51_200]), 8, "one host is unreachable");
  t.equal(find(55_100, [54_000, 48_000, 54_200]), 9, "and remains unreachable");
  t.equal(
    find(56_000, [48_000, 48_000, 48_100]),
    8,
    "the store was unavailable",
  );
  t.equal(
    find(58_600, [48_000, 48_000, 48_100]),
    9,
    "the latest time for the report",
  );
  t.equal(
    find(51_600, [51_000, 42_000, 51_200]),
    9,
    "one host crashed long ago",
  );
  t.equal(find(58_400, []), 8, "no host has published");
  t.end();
});
