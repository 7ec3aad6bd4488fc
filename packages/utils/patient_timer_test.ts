/** Tests the timer for answers of other processes. */
import * as tapModule from "tap";
import * as clock from "./clock.ts";
import * as patientTimer from "./patient_timer.ts";

const tap = tapModule.default;
const LIMIT_MS = 400;

function startTimer() {
  const timer = { ended: false };
  patientTimer.startPatientTimer({
    clock: clock.SYSTEM_CLOCK,
    getLimitMs: () => LIMIT_MS,
    onEnd: () => {
      timer.ended = true;
    },
  });
  return timer;
}

// Guards against a process without processor time that gives up answers which come right after its own delay.
tap.test("the delay of the own process does not count", async (t) => {
  const timer = startTimer();
  await clock.waitFor(10);
  const busyUntil = performance.now() + 3 * LIMIT_MS;
  while (performance.now() < busyUntil);
  await clock.waitFor(LIMIT_MS / 8);
  t.notOk(timer.ended);
  await clock.waitFor(2 * LIMIT_MS);
  t.ok(timer.ended, "but a limit remains");
});

tap.test("a process that is not late ends the wait at the limit", async (t) => {
  const timer = startTimer();
  const startedAt = performance.now();
  while (!timer.ended) await clock.waitFor(5);
  const ms = performance.now() - startedAt;
  t.ok(ms >= LIMIT_MS - 5, `${Math.round(ms)} ms`);
});
