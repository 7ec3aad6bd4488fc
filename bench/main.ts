/** `npm run bench`: every scenario and case, beside the naive version, as tables. */
import * as table from "../packages/banyangrade/table.ts";
import * as measure from "./measure.ts";
import * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const SEED = Number(process.env.BENCH_SEED ?? 20_261_203);

function runCase(
  scenario: scenarios.Scenario,
  one: scenarios.Case,
  options: { readonly policy: "banyangrade" | "naive" },
): measure.RunFigures {
  const run = new simulation.Simulation({
    scenario,
    troubles: one.troubles,
    policy: options.policy,
    seed: SEED,
    runMs: scenarios.RUN_MS,
  });
  run.run();
  return run.measure.sumUp(scenarios.RUN_MS);
}

function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}`;
}

function listRows(
  scenario: scenarios.Scenario,
  one: scenarios.Case,
): (string | number)[][] {
  return (["banyangrade", "naive"] as const).map((policy) => {
    const figures = runCase(scenario, one, { policy });
    return [
      one.name,
      policy === "naive" ? "naive" : "ours",
      ...figures.classes.map((own) => formatPercent(own.attainment)),
      Math.round(figures.goodput),
      formatPercent(figures.wasted),
      formatPercent(
        Math.min(...figures.classes.map((own) => own.worstCustomer)),
      ),
      figures.violations,
      figures.poisoned,
    ];
  });
}

const chosen = process.argv[2];
[scenarios.TANZRAUM, scenarios.JADELEAF].forEach((scenario) => {
  const headings = [
    "case",
    "",
    ...scenario.loads.map((load) => `${load.part.name}/${load.part.tier}`),
    "goodput",
    "wasted",
    "worst",
    "viol.",
    "poison",
  ];
  const rows = scenarios.CASES
    .filter((one) => chosen === undefined || one.name.includes(chosen))
    .flatMap((one) => listRows(scenario, one));
  process.stdout.write(
    `${scenario.name}, seed ${SEED}: attainment in % by class/tier\n` +
      `${table.formatTable(headings, rows)}\n\n`,
  );
});
