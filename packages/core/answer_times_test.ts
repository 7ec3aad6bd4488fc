/** Tests how long an answer is waited for. */
import * as tapModule from "tap";
import * as answerTimes from "./answer_times.ts";

const tap = tapModule.default;
const BOUNDS = { minMs: 300, maxMs: 1_500 };

// Guards against a limit that slow answers exceed again and again.
tap.test("the limit follows the answers within its bounds", (t) => {
  const times = new answerTimes.AnswerTimes(BOUNDS);
  t.equal(times.getLimitMs(), 300, "before the first answer");
  times.record(10);
  t.equal(times.getLimitMs(), 300, "after a fast one");
  times.record(900);
  t.ok(times.getLimitMs() > 900, "after a slow one");
  Array.from({ length: 20 }, () => times.record(5_000));
  t.equal(times.getLimitMs(), 1_500, "at most");
  Array.from({ length: 60 }, () => times.record(10));
  t.equal(times.getLimitMs(), 300, "once answers are fast again");
  t.end();
});
