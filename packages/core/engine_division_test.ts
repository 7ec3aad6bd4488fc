/** Tests of the division of engines between short and long prompts. */
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

/** Decides the division of 40 engines with 16 slots each. */
function decide(
  demand: Partial<core.PromptDemand>,
  previous: core.EngineDivision,
): core.EngineDivision {
  return core.decideDivision({
    demand: {
      short: 0,
      long: 0,
      reading: 0,
      pauses: core.NO_TOKEN_PAUSES,
      ...demand,
    },
    engines: 40,
    slots: 16,
  }, previous);
}

/** Decides the division and returns the share for short prompts. */
function decideShare(
  demand: Partial<core.PromptDemand>,
  shortShare: number,
): number {
  const division = decide(demand, { kind: "divided", shortShare });
  return division.kind === "divided" ? division.shortShare : Number.NaN;
}

tap.test("all hosts select the same engines, from all domains", (t) => {
  const engines = buildEngines(13);
  const names = core.selectShortPromptEngines(engines, 0.5);
  t.same(core.selectShortPromptEngines(engines.toReversed(), 0.5), names);
  t.ok(names.size > 2 && names.size < 9, `${names.size} of 13`);
  const domains = engines.filter(({ name }) => names.has(name))
    .map(({ failureDomain }) => failureDomain);
  t.equal(new Set(domains).size, Math.min(names.size, DOMAINS.length));
  t.end();
});

tap.test("a kind of prompt without demand gets no engine", (t) => {
  const engines = buildEngines(6);
  t.equal(core.selectShortPromptEngines(engines, 0).size, 0);
  t.equal(core.selectShortPromptEngines(engines, 1).size, 6);
  t.equal(core.selectShortPromptEngines(engines, 0.01).size, 1);
  t.equal(core.selectShortPromptEngines(engines, 0.99).size, 5);
  t.end();
});

// Guards against prompt prefixes that lose the engine that caches them, each time
// that an engine changes between short and long prompts.
tap.test("small changes of demand keep the division", (t) => {
  const first = decideShare({ short: 50, long: 30, reading: 8 }, 0.5);
  t.equal(first, 0.5);
  const more = decideShare({ short: 90, long: 30, reading: 8 }, first);
  t.ok(more > 0.6, "a burst of short prompts");
  t.equal(decideShare({ short: 85, long: 32, reading: 8 }, more), more);
  t.equal(decideShare({}, more), more);
  t.equal(decideShare({ long: 9, reading: 3 }, more), 0);
  t.end();
});

// Guards against short prompts that fail in a burst of long prompts, although they
// need few engines.
tap.test("a burst of long prompts leaves engines for short ones", (t) => {
  const burst = { long: 400, reading: 300 };
  t.equal(decideShare({ ...burst, short: 40 }, 0), 0.25);
  t.equal(
    decideShare({ ...burst, short: 400 }, 0),
    0.5,
    "no more than half",
  );
  t.end();
});

// Guards against long prompts that queue for their own engines while the engines
// for short prompts could prefill them without delaying streams.
tap.test("engines are mixed if streams keep their token gaps", (t) => {
  const harmless = { pauses: { seen: 1_000, long: 5 } };
  const harmful = { pauses: { seen: 1_000, long: 100 } };
  const between = { pauses: { seen: 1_000, long: 35 } };
  const few = { pauses: { seen: 100, long: 0 } };
  const divided: core.EngineDivision = { kind: "divided", shortShare: 0.3 };
  const mixed: core.EngineDivision = { kind: "mixed" };
  t.same(decide(harmless, divided), mixed);
  t.equal(decide(harmful, divided).kind, "divided");
  t.equal(decide(harmful, mixed).kind, "divided");
  [divided, mixed].forEach((previous) => {
    t.equal(decide(between, previous).kind, previous.kind, "no oscillation");
    t.equal(decide(few, previous).kind, previous.kind, "too few gaps observed");
  });
  t.equal(core.listShortPromptEngines(buildEngines(6), mixed), undefined);
  t.end();
});

// Guards against a short disturbance that keeps engines divided for good.
tap.test("the weight of observed gaps decays", (t) => {
  const counter = new core.TokenPauseCounter();
  Array.from({ length: 100 }).forEach(() => counter.record("planner", true, 0));
  t.same(counter.get("planner", 0), { seen: 100, long: 100 });
  t.same(counter.get("planner", 10_000), { seen: 50, long: 50 });
  counter.record("planner", false, 10_000);
  t.same(counter.get("planner", 10_000), { seen: 51, long: 50 });
  t.same(counter.get("other", 0), core.NO_TOKEN_PAUSES);
  t.end();
});
