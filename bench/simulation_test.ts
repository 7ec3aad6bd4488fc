/**
 * A short benchmark run that checks the minimum guarantees of the dispatcher.
 */
import * as tap from "tap";
import * as deployments from "./deployments.ts";
import type * as figureRecorder from "./figure_recorder.ts";
import type * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const RUN_MS = 60_000;
const DISTURBANCES: readonly scenarios.Disturbance[] = [
  { kind: "burst", from: 8_000, to: 30_000 },
  { kind: "slow_engine", from: 8_000, to: 30_000, factor: 3 },
  { kind: "crash", at: 12_000, restoredAt: 30_000 },
];

function runPolicy(policy: "banyangrade" | "naive"): figureRecorder.RunFigures {
  const run = new simulation.Simulation({
    scenario: deployments.TANZRAUM,
    disturbances: DISTURBANCES,
    policy,
    seed: 20_261_203,
    runMs: RUN_MS,
  });
  run.run();
  return run.recorder.computeFigures(RUN_MS);
}

// Guards against a dispatcher that, under a burst with a slow and a crashed engine,
// refuses a higher tier while lower tiers run, starves a class or wastes tokens.
tap.t.test("burst with a slow engine and a crash", (t) => {
  const ours = runPolicy("banyangrade");
  const naive = runPolicy("naive");
  t.equal(
    ours.violations,
    0,
    "no request is refused while attempts of a lower tier exceed their share",
  );
  const upper = (figures: figureRecorder.RunFigures) =>
    Math.min(
      ...figures.classes.filter((own) => own.tier === 1)
        .map((own) => own.attainment),
    );
  t.ok(
    upper(ours) > 0.9,
    `attainment of tier 1: ${upper(ours)}, expected > 0.9`,
  );
  t.ok(
    upper(ours) > upper(naive),
    `attainment of tier 1 exceeds that of the naive baseline: ${upper(naive)}`,
  );
  t.ok(
    ours.classes.every((own) => own.attainment > 0),
    "every class has requests that meet their target",
  );
  t.ok(
    ours.wasted < 0.02,
    `share of wasted tokens: ${ours.wasted}, expected < 0.02`,
  );
  t.end();
});
