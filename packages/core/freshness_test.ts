/** Tests the clocks with clock steps and process suspensions. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const START = 1_700_000_000_000;

// Guards against requests with a withdrawn key: a host is suspended for five
// seconds, which its monotonic clock does not count, and the key is withdrawn
// meanwhile. After the suspension the cached configuration must not seem fresh.
tap.test("a suspension counts in the age of cached state", (t) => {
  const clock = new core.SuspensionClock();
  const proof = new core.FreshnessTracker();
  proof.confirm(clock.read({ now: 1_000, wall: START }));
  const awake = clock.read({ now: 1_010, wall: START + 5_010 });
  t.equal(proof.getAge(awake), 5_010);
  t.end();
});

tap.test("small differences between the clocks do not accumulate", (t) => {
  const clock = new core.SuspensionClock();
  const last = Array.from(
    { length: 100 },
    (_, index) => clock.read({ now: index * 100, wall: START + index * 101 }),
  ).at(-1);
  t.equal(last, 9_900);
  t.equal(clock.read({ now: 10_000, wall: START }), 10_000);
  t.end();
});

// Guards against requests that are counted in the wrong usage window because
// the wall clock of one host steps two seconds forward.
tap.test("a step of the wall clock does not move the corrected time", (t) => {
  const clock = new core.CorrectedClock();
  clock.read({ now: 0, wall: START });
  const reading = { now: 1_000, wall: START + 3_000 };
  clock.update(reading, {
    others: [START + 500, START + 700, START + 100],
  });
  t.equal(clock.read(reading), START + 1_000);
  t.end();
});

// Guards against a corrected time that stays behind after a suspension: the
// times of the other hosts show that the wall clock is right and the monotonic
// clock is behind.
tap.test("after a suspension the corrected time follows the wall clock", (t) => {
  const clock = new core.CorrectedClock();
  clock.read({ now: 0, wall: START });
  const reading = { now: 1_000, wall: START + 8_000 };
  clock.update(reading, {
    others: [START + 7_600, START + 7_200],
  });
  t.equal(clock.read(reading), START + 8_000);
  t.end();
});

// Guards against a host that keeps a wrong time because its wall clock was
// already wrong when it started.
tap.test("a host that starts with a wrong clock takes the other hosts' time", (t) => {
  const clock = new core.CorrectedClock();
  const reading = { now: 500, wall: START + 60_000 };
  clock.read(reading);
  clock.update(reading, {
    others: [START, START + 100, START + 200],
  });
  t.ok(Math.abs(clock.read(reading) - START) < 1_000);
  clock.update(reading, { others: [] });
  t.ok(Math.abs(clock.read(reading) - START) < 1_000);
  t.end();
});
