/** Clocks that jump and processes that are suspended. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const START = 1_700_000_000_000;

// A host is suspended for five seconds; its monotonic clock does not count
// them. A key is withdrawn meanwhile. On waking, its last proof seems a moment
// old, and the key would be served.
tap.test("a suspension ages a proof although the clock stood still", (t) => {
  const clock = new core.SuspensionClock();
  const proof = new core.Proof();
  proof.confirm(clock.read({ now: 1_000, wall: START }));
  const awake = clock.read({ now: 1_010, wall: START + 5_010 });
  t.equal(proof.getAge(awake), 5_010);
  t.end();
});

tap.test("small differences of the clocks do not add up", (t) => {
  const clock = new core.SuspensionClock();
  const last = Array.from(
    { length: 100 },
    (_, index) => clock.read({ now: index * 100, wall: START + index * 101 }),
  ).at(-1);
  t.equal(last, 9_900);
  t.equal(clock.read({ now: 10_000, wall: START }), 10_000);
  t.end();
});

// The time of day of one host jumps two seconds ahead. Its requests would be
// counted in the wrong usage window.
tap.test("a step of the time of day does not move the true time", (t) => {
  const clock = new core.TrueClock();
  clock.read({ now: 0, wall: START });
  const reading = { now: 1_000, wall: START + 3_000 };
  clock.update(reading, {
    others: [START + 500, START + 700, START + 100],
  });
  t.equal(clock.read(reading), START + 1_000);
  t.end();
});

// A host is suspended: the others' word shows that the time of day is right
// and the monotonic clock behind.
tap.test("after a suspension the true time follows the time of day", (t) => {
  const clock = new core.TrueClock();
  clock.read({ now: 0, wall: START });
  const reading = { now: 1_000, wall: START + 8_000 };
  clock.update(reading, {
    others: [START + 7_600, START + 7_200],
  });
  t.equal(clock.read(reading), START + 8_000);
  t.end();
});

// A host starts while its time of day is off: only the others know better.
tap.test("a host that starts with a wrong clock takes the others' time", (t) => {
  const clock = new core.TrueClock();
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
