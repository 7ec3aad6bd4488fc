/** A small part of the bench: what must hold whatever the figures are. */
import * as tap from "tap";
import * as deployments from "./deployments.ts";
import type * as measure from "./measure.ts";
import type * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const RUN_MS = 60_000;
const TROUBLES: readonly scenarios.Trouble[] = [
  { kind: "burst", from: 8_000, to: 30_000 },
  { kind: "slow_engine", from: 8_000, to: 30_000, factor: 3 },
  { kind: "crash", at: 12_000, backAt: 30_000 },
];

function runPolicy(policy: "banyangrade" | "naive"): measure.RunFigures {
  const run = new simulation.Simulation({
    scenario: deployments.TANZRAUM,
    troubles: TROUBLES,
    policy,
    seed: 20_261_203,
    runMs: RUN_MS,
  });
  run.run();
  return run.measure.sumUp(RUN_MS);
}

tap.t.test("under overload, a slow engine and a crash", (t) => {
  const ours = runPolicy("banyangrade");
  const naive = runPolicy("naive");
  t.equal(ours.violations, 0, "no higher tier refused while lower work runs");
  const upper = (figures: measure.RunFigures) =>
    Math.min(
      ...figures.classes.filter((own) => own.tier === 1)
        .map((own) => own.attainment),
    );
  t.ok(upper(ours) > 0.9, `tier 1 attains ${upper(ours)}`);
  t.ok(upper(ours) > upper(naive), `naive: ${upper(naive)}`);
  t.ok(
    ours.classes.every((own) => own.attainment > 0),
    "no class starves",
  );
  t.ok(ours.wasted < 0.02, `wasted ${ours.wasted}`);
  t.end();
});
