/** Tests of the choice of engines by many hosts whose knowledge of each other is out of date. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;
const DOMAINS = ["a", "b", "c", "d"];

function buildEngines(
  count: number,
  change: (index: number) => Partial<core.EngineView> = () => ({}),
): core.EngineView[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    failureDomain: DOMAINS[index % DOMAINS.length],
    slots: 32,
    load: 0,
    ownRequests: 0,
    prompting: 0,
    ownPrompting: 0,
    hasIdleConnection: false,
    ...change(index),
  }));
}

/** Returns the name of the chosen engine; all usable engines are alive unless `options` say otherwise. */
function chooseName(
  prompt: core.EngineRequest,
  options:
    & Pick<core.EngineChoiceOptions, "usable">
    & Partial<core.EngineChoiceOptions>,
): string | undefined {
  return core.chooseEngine(prompt, {
    live: options.usable,
    shortPromptEngines: undefined,
    failureDomain: "a",
    random,
    ...options,
  })?.name;
}

const random = utils.createRandom(1);
const SHORT_REQUEST = { isShort: true, prefix: "", promptTokens: 600 };

function buildLongRequest(prefix: string): core.EngineRequest {
  return { isShort: false, prefix, promptTokens: 9_000 };
}

/** Prompt tokens that an engine prefills per ms. */
const PREFILL_TOKENS_PER_MS = 112;
/** Time between two statuses of the other hosts, in ms. */
const STATUS_INTERVAL_MS = 1_000;

interface QueuedPrompt {
  readonly host: number;
  readonly tokens: number;
  readonly prefilledAt: number;
}

/** Simulates engines that prefill prompts one after another, and the view that each host has of them. */
class SimulatedEngines {
  readonly #names: readonly string[];
  readonly #queued = new Map<string, readonly QueuedPrompt[]>();
  #reported = new Map<string, readonly QueuedPrompt[]>();
  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(names: readonly string[]) {
    this.#names = names;
  }

  /** Lists the engines as a host sees them: with its own current requests, and those of other hosts as of the last status. */
  listViews(host: number, now: number): core.EngineView[] {
    if (now - this.#reportedAt >= STATUS_INTERVAL_MS) {
      this.#reported = new Map(
        this.#names.map((name) => [name, this.#listQueued(name, now)]),
      );
      this.#reportedAt = now;
    }
    return this.#names.map((name, index) => {
      const own = this.#listQueued(name, now)
        .filter((one) => one.host === host);
      const others = (this.#reported.get(name) ?? [])
        .filter((one) => one.host !== host);
      return {
        name,
        failureDomain: DOMAINS[index % DOMAINS.length],
        slots: 128,
        load: own.length + others.length,
        ownRequests: own.length,
        prompting: sumTokens(own) + sumTokens(others),
        ownPrompting: sumTokens(own),
        hasIdleConnection: true,
      };
    });
  }

  /** Adds a prompt to an engine; returns the time until its prefill ends, in ms. */
  add(
    name: string,
    prompt: Omit<QueuedPrompt, "prefilledAt">,
    now: number,
  ): number {
    const before = this.#queued.get(name) ?? [];
    const startAt = Math.max(now, before.at(-1)?.prefilledAt ?? now);
    const prefilledAt = startAt + prompt.tokens / PREFILL_TOKENS_PER_MS;
    this.#queued.set(name, [...before, { ...prompt, prefilledAt }]);
    return prefilledAt - now;
  }

  #listQueued(name: string, now: number): readonly QueuedPrompt[] {
    return (this.#queued.get(name) ?? []).filter(({ prefilledAt }) =>
      prefilledAt > now
    );
  }
}

function sumTokens(prompts: readonly QueuedPrompt[]): number {
  return prompts.reduce((sum, { tokens }) => sum + tokens, 0);
}

/** Sends prompts at a constant rate through seven hosts; returns the time until each prefill ends, in ms. */
function simulatePrompts(
  { engines, perSecond, seconds }: {
    readonly engines: number;
    readonly perSecond: number;
    readonly seconds: number;
  },
): number[] {
  const seeded = utils.createRandom(7);
  const simulation = new SimulatedEngines(
    Array.from({ length: engines }, (_, index) => `engine-${index}`),
  );
  return Array.from({ length: perSecond * seconds }, (_, index) => {
    const now = 1_000 * index / perSecond;
    const host = seeded.below(7);
    const usable = simulation.listViews(host, now);
    const prompt = buildLongRequest(`rig-${seeded.below(400)}`);
    const name = chooseName(prompt, { usable, random: seeded }) ?? "";
    return simulation.add(name, { host, tokens: 5_000 }, now);
  });
}

// Guards against a burst of long prompts that queues on a few engines while the rest
// are idle.
tap.test("a burst of long prompts is spread over all engines", (t) => {
  const waits = simulatePrompts({ engines: 12, perSecond: 100, seconds: 10 });
  const late = waits.filter((wait) => wait > 400).length;
  t.ok(late < 0.03 * waits.length, `${late} of ${waits.length} late`);
  t.end();
});

// Guards against uneven queues at the prefill capacity of the engines: no prompt may
// wait for seconds.
tap.test("prompts at full capacity wait about equally long", (t) => {
  const waits = simulatePrompts({ engines: 6, perSecond: 120, seconds: 10 });
  t.ok(Math.max(...waits) < 1_500, `${Math.max(...waits)} ms the longest`);
  t.end();
});

// Guards against prefixes that move between engines: each engine would prefill the
// shared part again.
tap.test("a prefix returns to its engine, prefixes are spread", (t) => {
  const usable = buildEngines(13);
  const names = Array.from(
    { length: 40 },
    (_, index) => chooseName(buildLongRequest(`plant-${index}`), { usable }),
  );
  t.ok(new Set(names).size > 8, `${new Set(names).size} engines`);
  t.equal(chooseName(buildLongRequest("plant-1"), { usable }), names[1]);
  t.equal(
    chooseName(buildLongRequest("plant-1"), { usable: usable.toReversed() }),
    names[1],
    "in any order of the list",
  );
  t.equal(chooseName(SHORT_REQUEST, { usable: [] }), undefined);
  t.end();
});

// Guards against long prompts that delay the tokens of short requests on the same
// engine.
tap.test("divided engines keep short and long prompts apart", (t) => {
  const usable = buildEngines(13);
  const shortPromptEngines = core.selectShortPromptEngines(usable, 0.5);
  const options = { usable, shortPromptEngines };
  t.ok(shortPromptEngines.has(chooseName(SHORT_REQUEST, options) ?? ""));
  const long = Array.from(
    { length: 40 },
    (_, index) => chooseName(buildLongRequest(`plant-${index}`), options),
  );
  t.notOk(long.some((name) => shortPromptEngines.has(name ?? "")));
  t.ok(new Set(long).size > 4, "prefixes are spread over the engines");
  t.end();
});

// Guards against a burst of short prompts that waits for its own engines while the
// engines for long prompts have free slots.
tap.test("prompts overflow to the other kind of engines", (t) => {
  const shortPromptEngines = core.selectShortPromptEngines(
    buildEngines(13),
    0.5,
  );
  const usable = buildEngines(
    13,
    (index) => ({ load: shortPromptEngines.has(`engine-${index}`) ? 30 : 1 }),
  );
  t.notOk(
    shortPromptEngines.has(
      chooseName(SHORT_REQUEST, {
        usable,
        shortPromptEngines: shortPromptEngines,
      }) ?? "",
    ),
  );
  t.end();
});

// Guards against a popular prefix that overloads its engine.
tap.test("a popular prefix leaves its engine when overloaded", (t) => {
  const engines = buildEngines(13);
  const own = chooseName(buildLongRequest("hot"), { usable: engines });
  const load = (prompting: number) =>
    engines.map((engine) =>
      engine.name === own ? { ...engine, prompting } : engine
    );
  t.equal(chooseName(buildLongRequest("hot"), { usable: load(16_000) }), own);
  t.not(chooseName(buildLongRequest("hot"), { usable: load(20_000) }), own);
  t.end();
});

// Guards against hosts that all choose the same engine among those that look idle to
// them.
tap.test("hosts with few requests spread them over engines", (t) => {
  const usable = buildEngines(60);
  const counts = new Map<string, number>();
  Array.from({ length: 60 }).forEach((_, host) => {
    const options = {
      usable,
      failureDomain: DOMAINS[host % DOMAINS.length],
      random: utils.createRandom(utils.hashSeed(`host-${host}`)),
    };
    [1, 2, 3].forEach(() => {
      const name = chooseName(SHORT_REQUEST, options) ?? "";
      counts.set(name, (counts.get(name) ?? 0) + 1);
    });
  });
  t.ok(Math.max(...counts.values()) <= 10, "the mean is three");
  t.end();
});

// Guards against herding: all hosts have equal statuses, so the engine with the least
// reported load must not get all requests.
tap.test("an overloaded engine gets no request, the rest share", (t) => {
  const usable = buildEngines(8, (index) => ({
    failureDomain: "a",
    load: index === 0 ? 14 : 5 - index % 2,
  }));
  const chosen = new Set(
    Array.from({ length: 200 }, () => chooseName(SHORT_REQUEST, { usable })),
  );
  t.notOk(chosen.has("engine-0"));
  t.equal(chosen.size, 7);
  t.end();
});

// Guards against prefill of a prefix that another engine could provide from its KV
// cache.
tap.test("a prefix is fetched from the engine that may cache it", (t) => {
  const live = buildEngines(13);
  const options = {
    live,
    shortPromptEngines: undefined,
    failureDomain: "a",
    random,
  };
  const prompt = buildLongRequest("plant");
  const first = core.chooseEngine(prompt, { ...options, usable: live });
  t.ok(first?.source !== undefined && first.source !== first.name);
  const overflowed = core.chooseEngine(prompt, {
    ...options,
    usable: live.filter(({ name }) => name !== first?.name),
  });
  t.same(overflowed, { name: first?.source, source: first?.name });
  t.same(
    core.chooseEngine(prompt, {
      ...options,
      live: [live[0]],
      usable: [live[0]],
    }),
    { name: "engine-0" },
    "there is no other engine",
  );
  const short = { ...SHORT_REQUEST, prefix: "plant" };
  t.equal(
    core.chooseEngine(short, { ...options, usable: live })?.source,
    undefined,
  );
  t.end();
});

// Guards against needless connection handshakes, each of which delays the engine.
tap.test("equal engines with an idle connection are preferred", (t) => {
  const engines = buildEngines(
    8,
    (index) => ({ failureDomain: "a", hasIdleConnection: index > 5 }),
  );
  const choose = (usable: readonly core.EngineView[]) =>
    new Set(
      Array.from({ length: 100 }, () => chooseName(SHORT_REQUEST, { usable })),
    );
  t.same([...choose(engines)].toSorted(), ["engine-6", "engine-7"]);
  const busy = engines.map((engine) =>
    engine.hasIdleConnection ? { ...engine, ownRequests: 1, load: 1 } : engine
  );
  t.equal(choose(busy).size, 6, "but not over less loaded engines");
  t.end();
});
