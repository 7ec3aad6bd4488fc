/** Engines for short and long prompts, alike on every host. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;
const DOMAINS = ["a", "b", "c", "d"];

function buildEngines(count: number): core.RankedEngine[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
  }));
}

/** Decides for 40 engines of 16 slots. */
function decide(
  demand: Partial<core.PromptDemand>,
  before: core.EngineDivision,
): core.EngineDivision {
  return core.decideDivision({
    demand: {
      short: 0,
      long: 0,
      reading: 0,
      pauses: core.NO_PAUSES,
      ...demand,
    },
    engines: 40,
    slots: 16,
  }, before);
}

/** The part for short prompts after a decision. */
function decideShare(
  demand: Partial<core.PromptDemand>,
  shortShare: number,
): number {
  const after = decide(demand, { kind: "divided", shortShare });
  return after.kind === "divided" ? after.shortShare : Number.NaN;
}

tap.test("every host divides the engines alike, over failure domains", (t) => {
  const engines = buildEngines(13);
  const names = core.divideEngines(engines, 0.5);
  t.same(core.divideEngines(engines.toReversed(), 0.5), names);
  t.ok(names.size > 2 && names.size < 9, `${names.size} of 13`);
  const domains = engines.filter(({ name }) => names.has(name))
    .map(({ failureDomain }) => failureDomain);
  t.equal(new Set(domains).size, Math.min(names.size, DOMAINS.length));
  t.end();
});

tap.test("a kind that nobody asks for takes no engine", (t) => {
  const engines = buildEngines(6);
  t.equal(core.divideEngines(engines, 0).size, 0);
  t.equal(core.divideEngines(engines, 1).size, 6);
  t.equal(core.divideEngines(engines, 0.01).size, 1);
  t.equal(core.divideEngines(engines, 0.99).size, 5);
  t.end();
});

// Guards against subjects that lose the engine with their prompts each time that engines change sides.
tap.test("the division of engines follows only what lasts", (t) => {
  const first = decideShare({ short: 50, long: 30, reading: 8 }, 0.5);
  t.equal(first, 0.5);
  const more = decideShare({ short: 90, long: 30, reading: 8 }, first);
  t.ok(more > 0.6, "a burst of short prompts");
  t.equal(decideShare({ short: 85, long: 32, reading: 8 }, more), more);
  t.equal(decideShare({}, more), more);
  t.equal(decideShare({ long: 9, reading: 3 }, more), 0);
  t.end();
});

// Guards against short prompts that fail in a burst of long ones, though they need little.
tap.test("a burst of long prompts leaves short ones what they need", (t) => {
  const burst = { long: 400, reading: 300 };
  t.equal(decideShare({ ...burst, short: 40 }, 0), 0.25);
  t.equal(
    decideShare({ ...burst, short: 400 }, 0),
    0.5,
    "but not more than half",
  );
  t.end();
});

// Guards against long prompts that queue up at their part of the engines while the other part could read them without harm.
tap.test("engines are mixed where streams keep their pauses", (t) => {
  const harmless = { pauses: { seen: 1_000, long: 5 } };
  const harmful = { pauses: { seen: 1_000, long: 100 } };
  const between = { pauses: { seen: 1_000, long: 35 } };
  const few = { pauses: { seen: 100, long: 0 } };
  const divided: core.EngineDivision = { kind: "divided", shortShare: 0.3 };
  const mixed: core.EngineDivision = { kind: "mixed" };
  t.same(decide(harmless, divided), mixed);
  t.equal(decide(harmful, divided).kind, "divided");
  t.equal(decide(harmful, mixed).kind, "divided");
  [divided, mixed].forEach((before) => {
    t.equal(decide(between, before).kind, before.kind, "no swinging");
    t.equal(decide(few, before).kind, before.kind, "too few to tell");
  });
  t.equal(core.listShortNames(buildEngines(6), mixed), undefined);
  t.end();
});

// Guards against a bad second long ago that keeps engines divided for good.
tap.test("old pauses count less and less", (t) => {
  const counter = new core.PauseCounter();
  Array.from({ length: 100 }).forEach(() => counter.record("planner", true, 0));
  t.same(counter.get("planner", 0), { seen: 100, long: 100 });
  t.same(counter.get("planner", 10_000), { seen: 50, long: 50 });
  counter.record("planner", false, 10_000);
  t.same(counter.get("planner", 10_000), { seen: 51, long: 50 });
  t.same(counter.get("other", 0), core.NO_PAUSES);
  t.end();
});
