/** The longest recent delay of the event loop. */
import * as tapModule from "tap";
import * as loopDelay from "./loop_delay.ts";

const tap = tapModule.default;

tap.test("the longest delay of the last two seconds is reported", (t) => {
  const delay = new loopDelay.LoopDelay();
  t.equal(delay.get(0), 0);
  delay.record(300, 1_000);
  delay.record(20, 1_500);
  t.equal(delay.get(2_000), 300);
  t.equal(delay.get(3_000), 0);
  delay.record(20, 3_100);
  t.equal(delay.get(3_200), 20);
  t.end();
});
