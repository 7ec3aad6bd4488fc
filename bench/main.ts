/** `npm run bench`: every scenario and case, beside the naive version, as tables and plots. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as table from "../packages/banyangrade/table.ts";
import * as measure from "./measure.ts";
import * as plot from "./plot.ts";
import * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const SEED = Number(process.env.BENCH_SEED ?? 20_261_203);
const OUT = path.join(import.meta.dirname, "../docs/measurements");
/** Length of a run of the autoscaler, and the period of its load, in ms. */
const ELASTIC_MS = 900_000;
const TIDE_MS = 400_000;

type PolicyName = "banyangrade" | "naive";

function runCase(
  scenario: scenarios.Scenario,
  one: scenarios.Case,
  options: { readonly policy: PolicyName },
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

function formatRow(
  name: string,
  policy: string,
  { figures }: { readonly figures: measure.RunFigures },
): (string | number)[] {
  return [
    name,
    policy,
    ...figures.classes.map((own) => formatPercent(own.attainment)),
    Math.round(figures.goodput),
    formatPercent(figures.wasted),
    formatPercent(Math.min(...figures.classes.map((own) => own.worstCustomer))),
    figures.violations,
    figures.poisoned,
  ];
}

/** Runs all cases of a scenario; returns its table and draws its plot. */
function runScenario(
  scenario: scenarios.Scenario,
  chosen: string | undefined,
): { readonly text: string; readonly curves: readonly plot.Curve[] } {
  const curves: plot.Curve[] = [];
  const rows = scenarios.CASES
    .filter((one) => chosen === undefined || one.name.includes(chosen))
    .flatMap((one) =>
      (["banyangrade", "naive"] as const).map((policy) => {
        const figures = runCase(scenario, one, { policy });
        curves.push({ name: one.name, policy, values: figures.curve });
        const label = policy === "naive" ? "naive" : "ours";
        return formatRow(one.name, label, { figures });
      })
    );
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
  const text =
    `${scenario.name}, seed ${SEED}: attainment in % by class/tier\n` +
    `${table.formatTable(headings, rows)}\n`;
  return { text, curves };
}

/** Runs the autoscaler under a tide with a reclaimed failure domain. */
function runElastic(scenario: scenarios.Scenario): string {
  const fleets = ["mixed", "ordinary_only", "spot_only"] as const;
  const rows = fleets.map((fleet) => {
    const run = new simulation.Simulation({
      scenario: scenarios.buildElastic(scenario, fleet),
      troubles: [
        { kind: "tide", periodMs: TIDE_MS, low: 0.3 },
        { kind: "reclaim", at: 200_000, noticeMs: 5_000, backAt: 320_000 },
        { kind: "reclaim", at: 600_000, noticeMs: 5_000, backAt: 660_000 },
      ],
      policy: "banyangrade",
      seed: SEED,
      runMs: ELASTIC_MS,
      scaling: true,
    });
    run.run();
    const figures = run.measure.sumUp(ELASTIC_MS);
    return [
      fleet,
      ...figures.classes.map((own) => formatPercent(own.attainment)),
      figures.costPerMillion.toFixed(2),
      formatPercent(figures.spotShare),
    ];
  });
  const headings = [
    "fleet",
    ...scenario.loads.map((load) => `${load.part.name}/${load.part.tier}`),
    "cost/M",
    "on spot",
  ];
  return `${scenario.name}, autoscaled, seed ${SEED}: attainment in %, cost of ` +
    `a million tokens\n${table.formatTable(headings, rows)}\n`;
}

const chosen = process.argv[2];
const sections: string[] = [];
for (const scenario of [scenarios.TANZRAUM, scenarios.JADELEAF]) {
  const ran = runScenario(scenario, chosen);
  sections.push(ran.text);
  process.stdout.write(`${ran.text}\n`);
  if (chosen === undefined) {
    const svg = await plot.renderCurves(ran.curves, {
      title: `${scenario.name}: requests that met their target, each 2 s`,
    });
    fs.writeFileSync(path.join(OUT, `bench_${scenario.name}.svg`), svg);
  }
  if (chosen === undefined || chosen === "autoscaled") {
    const elastic = runElastic(scenario);
    sections.push(elastic);
    process.stdout.write(`${elastic}\n`);
  }
}
if (chosen === undefined) {
  fs.writeFileSync(
    path.join(OUT, "bench.txt"),
    `Repeat with: npm run bench\n\n${sections.join("\n")}`,
  );
}
