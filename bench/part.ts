/** One part of the bench: a scenario's cases, or its autoscaled runs. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as table from "../packages/banyangrade/table.ts";
import * as cases from "./cases.ts";
import * as deployments from "./deployments.ts";
import type * as measure from "./measure.ts";
import * as plot from "./plot.ts";
import type * as scenarios from "./scenario.ts";
import * as simulation from "./simulation.ts";

const SEED = Number(process.env.BENCH_SEED ?? 20_261_203);
const OUT = path.join(import.meta.dirname, "../docs/measurements");
/** Length of a run of the autoscaler, and the period of its load, in ms. */
const ELASTIC_MS = 600_000;
const TIDE_MS = 300_000;

/** Fleets, and in how many failure domains spot servers are reclaimed at once. */
const ELASTIC_RUNS = [
  { fleet: "mixed", domains: 1 },
  { fleet: "mixed", domains: 9 },
  { fleet: "ordinary_only", domains: 1 },
  { fleet: "spot_only", domains: 1 },
] as const;

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
    runMs: cases.RUN_MS,
  });
  run.run();
  return run.measure.sumUp(cases.RUN_MS);
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
    formatRecovery(figures.curve),
  ];
}

/**
 * Seconds from the end of the trouble until three points in a row are back at
 * 95% of the level before it.
 */
function formatRecovery(curve: readonly number[]): string {
  const pointMs = 2_000;
  const mean = (from: number, to: number) =>
    curve.slice(from, to).reduce((sum, value) => sum + value, 0) / (to - from);
  const begin = cases.FROM / pointMs;
  const end = cases.TO / pointMs;
  const level = 0.95 * mean(begin / 2, begin);
  const back = curve.findIndex((_, index) =>
    index >= end && mean(index, index + 3) >= level
  );
  return back < 0 ? "not" : `${(back - end) * pointMs / 1_000} s`;
}

/** Runs all cases of a scenario; returns its table and draws its plot. */
function runScenario(
  scenario: scenarios.Scenario,
  chosen: string | undefined,
): { readonly text: string; readonly curves: readonly plot.Curve[] } {
  const curves: plot.Curve[] = [];
  const misses: (readonly [string, measure.RunFigures])[] = [];
  const rows = cases.CASES
    .filter((one) => chosen === undefined || one.name.includes(chosen))
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

/** Why requests missed, in % of those that arrived. */
function formatMisses(
  scenario: scenarios.Scenario,
  runs: readonly (readonly [string, measure.RunFigures])[],
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

/** Runs the autoscaler under a tide with a reclaimed failure domain. */
function runElastic(scenario: scenarios.Scenario): string {
  const rows = ELASTIC_RUNS.map(({ fleet, domains }) => {
    const run = new simulation.Simulation({
      scenario: deployments.buildElastic(scenario, fleet),
      troubles: [
        { kind: "tide", periodMs: TIDE_MS, low: 0.3 },
        {
          kind: "reclaim",
          at: 140_000,
          noticeMs: 5_000,
          backAt: 220_000,
          domains,
        },
        {
          kind: "reclaim",
          at: 400_000,
          noticeMs: 5_000,
          backAt: 460_000,
          domains,
        },
      ],
      policy: "banyangrade",
      seed: SEED,
      runMs: ELASTIC_MS,
      scaling: true,
    });
    run.run();
    const figures = run.measure.sumUp(ELASTIC_MS);
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

const [part, name, chosen] = process.argv.slice(2);
const scenario = [deployments.TANZRAUM, deployments.JADELEAF]
  .find((one) => one.name === name);
if (scenario === undefined) throw new Error(`There is no scenario "${name}".`);
if (part === "autoscaled") {
  process.stdout.write(`${runElastic(scenario)}\n`);
} else {
  const ran = runScenario(scenario, chosen);
  process.stdout.write(`${ran.text}\n`);
  if (chosen === undefined) {
    const svg = await plot.renderCurves(ran.curves, {
      title: `${scenario.name}: requests that met their target, each 2 s`,
    });
    fs.writeFileSync(path.join(OUT, `bench_${scenario.name}.svg`), svg);
  }
}
