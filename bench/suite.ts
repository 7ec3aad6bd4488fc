/**
 * One suite of the benchmark: the cases of a scenario, or its autoscaling runs.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as table from "../packages/banyangrade/table.ts";
import * as cases from "./cases.ts";
import * as deployments from "./deployments.ts";
import type * as figureRecorder from "./figure_recorder.ts";
import * as plot from "./plot.ts";
import type * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const SEED = Number(process.env.BENCH_SEED ?? 20_261_203);
const OUTPUT_FOLDER = path.join(import.meta.dirname, "../docs/measurements");
/** Length of an autoscaling run, in virtual ms. */
const AUTOSCALING_RUN_MS = 600_000;
/** Period of the load in an autoscaling run, in virtual ms. */
const LOAD_PERIOD_MS = 300_000;

/**
 * Fleets, and the number of failure domains whose spot servers are reclaimed at
 * once.
 */
const AUTOSCALING_RUNS = [
  { fleet: "mixed", domains: 1 },
  { fleet: "mixed", domains: 9 },
  { fleet: "ordinary_only", domains: 1 },
  { fleet: "spot_only", domains: 1 },
] as const;

type PolicyName = "banyangrade" | "naive";

function runCase(
  scenario: scenarios.Scenario,
  testCase: scenarios.Case,
  options: { readonly policy: PolicyName },
): figureRecorder.RunFigures {
  const run = new simulation.Simulation({
    scenario,
    disturbances: testCase.disturbances,
    policy: options.policy,
    seed: SEED,
    runMs: cases.RUN_MS,
  });
  run.run();
  return run.recorder.computeFigures(cases.RUN_MS);
}

function formatPercent(share: number): string {
  return `${(share * 100).toFixed(1)}`;
}

function formatRow(
  name: string,
  policy: string,
  { figures }: { readonly figures: figureRecorder.RunFigures },
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
    formatRecovery(figures.curve),
  ];
}

/**
 * Formats the time from the end of the disturbance until the mean of three
 * consecutive points is at least 95% of the level before it.
 */
function formatRecovery(curve: readonly number[]): string {
  const pointMs = 2_000;
  const mean = (from: number, to: number) =>
    curve.slice(from, to).reduce((sum, value) => sum + value, 0) / (to - from);
  const begin = cases.FROM / pointMs;
  const end = cases.TO / pointMs;
  const threshold = 0.95 * mean(begin / 2, begin);
  const recoveredAt = curve.findIndex((_, index) =>
    index >= end && mean(index, index + 3) >= threshold
  );
  return recoveredAt < 0 ? "not" : `${(recoveredAt - end) * pointMs / 1_000} s`;
}

/**
 * Runs the cases of a scenario under both policies; returns the tables and
 * curves.
 */
function runScenario(
  scenario: scenarios.Scenario,
  caseFilter: string | undefined,
): { readonly text: string; readonly curves: readonly plot.Curve[] } {
  const curves: plot.Curve[] = [];
  const misses: (readonly [string, figureRecorder.RunFigures])[] = [];
  const rows = cases.CASES
    .filter((one) => caseFilter === undefined || one.name.includes(caseFilter))
    .flatMap((one) =>
      (["banyangrade", "naive"] as const).map((policy) => {
        const figures = runCase(scenario, one, { policy });
        curves.push({ name: one.name, policy, values: figures.curve });
        if (policy === "banyangrade") misses.push([one.name, figures]);
        const label = policy === "naive" ? "naive" : "ours";
        return formatRow(one.name, label, { figures });
      })
    );
  const reasons = formatMisses(scenario, misses);
  const headings = [
    "case",
    "",
    ...scenario.loads.map((load) => `${load.part.name}/${load.part.tier}`),
    "goodput",
    "wasted",
    "worst",
    "viol.",
    "poison",
    "recovers",
  ];
  const text =
    `${scenario.name}, seed ${SEED}: attainment in % by class/tier\n` +
    `${table.formatTable(headings, rows)}\n\n${reasons}`;
  return { text, curves };
}

/**
 * Formats the reasons for missed targets, in % of the requests that arrived.
 */
function formatMisses(
  scenario: scenarios.Scenario,
  runs: readonly (readonly [string, figureRecorder.RunFigures])[],
): string {
  const rows = runs.map(([name, figures]) => [
    name,
    ...figures.classes.map(({ misses }) =>
      [misses.late, misses.slow, misses.refused].map(formatPercent).join("/")
    ),
  ]);
  const headings = ["case", ...scenario.loads.map((load) => load.part.name)];
  return `${scenario.name}, ours: missed by the first token / between tokens / ` +
    `refused, in %\n${table.formatTable(headings, rows)}\n`;
}

/** Runs the autoscaler under periodic load while spot servers are reclaimed. */
function runAutoscaled(scenario: scenarios.Scenario): string {
  const rows = AUTOSCALING_RUNS.map(({ fleet, domains }) => {
    const run = new simulation.Simulation({
      scenario: deployments.buildAutoscaled(scenario, fleet),
      disturbances: [
        { kind: "periodic_load", periodMs: LOAD_PERIOD_MS, lowestShare: 0.3 },
        {
          kind: "reclaim",
          at: 140_000,
          noticeMs: 5_000,
          restoredAt: 220_000,
          domains,
        },
        {
          kind: "reclaim",
          at: 400_000,
          noticeMs: 5_000,
          restoredAt: 460_000,
          domains,
        },
      ],
      policy: "banyangrade",
      seed: SEED,
      runMs: AUTOSCALING_RUN_MS,
      scaling: true,
    });
    run.run();
    const figures = run.recorder.computeFigures(AUTOSCALING_RUN_MS);
    return [
      domains === 1 ? fleet : `${fleet}, all reclaimed`,
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

const [suite, name, caseFilter] = process.argv.slice(2);
const scenario = [deployments.TANZRAUM, deployments.JADELEAF]
  .find((one) => one.name === name);
if (scenario === undefined) throw new Error(`unknown scenario "${name}"`);
if (suite === "autoscaled") {
  process.stdout.write(`${runAutoscaled(scenario)}\n`);
} else {
  const result = runScenario(scenario, caseFilter);
  process.stdout.write(`${result.text}\n`);
  if (caseFilter === undefined) {
    const svg = await plot.renderCurves(result.curves, {
      title: `${scenario.name}: requests that met their target, each 2 s`,
    });
    fs.writeFileSync(
      path.join(OUTPUT_FOLDER, `bench_${scenario.name}.svg`),
      svg,
    );
  }
}
