/**
 * Compares sets of run reports that `scripts/play_days.sh` wrote, over the runs that
 * all sets contain: prints mean and standard deviation of the total worth, its parts
 * and the prices in the reports, and the difference between the first two sets.
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as table from "cli-table3";
import * as stats from "simple-statistics";

/** The compared fields of a run report. */
interface Report {
  readonly G: number;
  readonly parts: readonly (readonly [string, number, number])[];
  readonly prices: readonly (readonly [string, number, number])[];
  readonly classes: readonly {
    readonly name: string;
    readonly worth: number;
  }[];
  readonly breaks: Readonly<Record<string, unknown>>;
  readonly missed: readonly string[];
}

/**
 * Prices whose worth is below this value in all runs are left out of the table.
 */
const MIN_PRICE = 0.001;

type ReportSet = ReadonlyMap<string, Report>;

function readSet(folder: string): ReportSet {
  return new Map(
    fs.readdirSync(folder).filter((name) => name.endsWith(".json"))
      .toSorted()
      .map((name) => [
        path.basename(name, ".json"),
        JSON.parse(fs.readFileSync(path.join(folder, name), "utf8")),
      ]),
  );
}

/** Returns the figures of a run by name. */
function listFigures(report: Report): ReadonlyMap<string, number> {
  return new Map([
    ["worth", report.G],
    ...report.parts.map(([name, , value]) => [name, value] as const),
    ...report.classes.map(({ name, worth }) =>
      [`class ${name}`, worth] as const
    ),
    ...report.prices.map(([name, , worth]) =>
      [`price ${name}`, worth] as const
    ),
    ["usage windows missed", report.missed.length],
    ["rules broken", Object.keys(report.breaks).length],
  ]);
}

function describe(values: readonly number[]): string {
  const sorted = [...values];
  const spread = values.length > 1 ? stats.sampleStandardDeviation(sorted) : 0;
  return `${stats.mean(sorted).toFixed(4)} ±${spread.toFixed(3)}`;
}

function printTable(sets: readonly ReportSet[], keys: readonly string[]): void {
  const figures = sets.map((set) =>
    keys.map((key) => listFigures(set.get(key) as Report))
  );
  const names = [...new Set(figures.flat().flatMap((one) => [...one.keys()]))];
  const output = new table.default({
    head: ["", ...sets.map((_, index) => `set ${index + 1}`), "difference"],
    style: { head: [], border: [] },
  });
  names.forEach((name) => {
    const columns = figures.map((runs) =>
      runs.map((one) => one.get(name) ?? 0)
    );
    const isNegligible = columns.flat().every((value) =>
      Math.abs(value) < MIN_PRICE
    );
    if (name.startsWith("price") && isNegligible) return;
    const [first, second] = columns;
    const differences = second?.map((value, index) => value - first[index]);
    output.push([
      name,
      ...columns.map(describe),
      differences ? describe(differences) : "",
    ]);
  });
  process.stdout.write(`${output.toString()}\n`);
}

const sets = process.argv.slice(2).map(readSet);
const keys = [...sets[0].keys()].filter((key) =>
  sets.every((set) => set.has(key))
);
const days = [...new Set(keys.map((key) => key.split(".")[0]))];
days.forEach((day) => {
  const dayKeys = keys.filter((key) => key.startsWith(`${day}.`));
  const worth = sets.map((set) =>
    describe(dayKeys.map((key) => (set.get(key) as Report).G))
  );
  process.stdout.write(
    `${day}: ${worth.join(" | ")} (${dayKeys.length} plays)\n`,
  );
});
printTable(sets, keys);
