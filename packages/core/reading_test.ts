/** Requests with unread prompts, on average. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

tap.test("the average follows what lasts, not one moment", (t) => {
  const reading = new core.ReadingAverages();
  const counts = new Map([["planner", 4]]);
  reading.record(counts, 0);
  [20, 40, 60].forEach((now) => reading.record(counts, now));
  t.ok(reading.get("planner") < 0.5, "a moment's four prompts");
  Array.from({ length: 250 }, (_, index) => 80 + 20 * index)
    .forEach((now) => reading.record(counts, now));
  t.ok(reading.get("planner") > 3.9, "five seconds of four prompts");
  reading.record(new Map(), 15_000);
  t.ok(reading.get("planner") < 0.1, "none for ten seconds");
  t.equal(reading.get("other"), 0);
  t.end();
});
