/** Tests the moving average of the requests in prefill. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

tap.test("the average follows a lasting load, not a short peak", (t) => {
  const averages = new core.PrefillAverages();
  const counts = new Map([["planner", 4]]);
  averages.record(counts, 0);
  [20, 40, 60].forEach((now) => averages.record(counts, now));
  t.ok(averages.get("planner") < 0.5, "four prompts for 60 ms");
  Array.from({ length: 250 }, (_, index) => 80 + 20 * index)
    .forEach((now) => averages.record(counts, now));
  t.ok(averages.get("planner") > 3.9, "five seconds of four prompts");
  averages.record(new Map(), 15_000);
  t.ok(averages.get("planner") < 0.1, "no prompts for ten seconds");
  t.equal(averages.get("other"), 0);
  t.end();
});
