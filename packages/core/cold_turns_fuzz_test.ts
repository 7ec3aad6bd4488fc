/** Requests of many hosts at cold servers: never more in a second than those bear. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const STEP_MS = 20;
const MOST_PER_SECOND = 20;

interface Host {
  readonly joinsAt: number;
  /** Moment at which its process starts anew, and forgets its turns. */
  readonly restartsAt: number;
  readonly pause: { readonly at: number; readonly ms: number };
  /** Part of the hosts of which it has heard. */
  readonly heardShare: number;
  /** When it first has a request, and whether it always has one from then on. */
  readonly asksFrom: number;
}

interface Fleet {
  readonly hosts: readonly Host[];
  readonly coldMs: number;
  readonly servers: number;
  readonly seed: number;
}

const HOST = fc.record({
  joinsAt: fc.oneof(fc.constant(0), fc.nat(4_000)),
  restartsAt: fc.oneof(fc.constant(Number.POSITIVE_INFINITY), fc.nat(6_000)),
  pause: fc.record({ at: fc.nat(6_000), ms: fc.nat(3_000) }),
  heardShare: fc.double({ min: 0.8, max: 1, noNaN: true }),
  asksFrom: fc.oneof(fc.constant(0), fc.nat(6_000)),
});

const FLEET: fc.Arbitrary<Fleet> = fc.record({
  hosts: fc.array(HOST, { minLength: 1, maxLength: 200, size: "max" }),
  coldMs: fc.integer({ min: 500, max: 9_000 }),
  servers: fc.integer({ min: 1, max: 20 }),
  seed: fc.integer(),
});

/** Lists when each server gets something from the hosts, which ask all the time. */
function replayFleet({ hosts, coldMs, servers, seed }: Fleet): number[][] {
  const pool = { name: "pool", servers, mostPerSecond: MOST_PER_SECOND };
  const draws = utils.createRandom(seed);
  const sent = Array.from({ length: servers }, (): number[] => []);
  hosts.forEach((host) => {
    const build = () => {
      const turns = new core.ColdTurns({
        random: utils.createRandom(draws.below(2 ** 31)),
      });
      turns.setHosts(Math.ceil(hosts.length * host.heardShare));
      return turns;
    };
    let turns = build();
    let restarted = false;
    // Its own clock stands while it is paused.
    let stoodMs = 0;
    for (let now = host.joinsAt; now < coldMs; now += STEP_MS) {
      if (now >= host.restartsAt && !restarted) {
        restarted = true;
        turns = build();
      }
      const { at, ms } = host.pause;
      if (now >= at && now < at + ms) {
        stoodMs += STEP_MS;
        continue;
      }
      if (now < host.asksFrom) continue;
      if (!turns.has(pool, now - stoodMs)) continue;
      turns.take(pool.name);
      sent[draws.below(servers)].push(now);
    }
  });
  return sent.map((times) => times.toSorted((a, b) => a - b));
}

function countMostInSecond(sent: readonly (readonly number[])[]): number {
  return Math.max(...sent.map(countMost));
}

function countMost(sent: readonly number[]): number {
  return sent.reduce((most, start, index) => {
    const end = sent.findIndex((at, other) =>
      other > index && at >= start + 1_000
    );
    return Math.max(most, (end < 0 ? sent.length : end) - index);
  }, 0);
}

// Guards against a cold server that crashes under the first requests of hosts that do not hear of each other.
tap.test("any fleet that comes and goes keeps to what a cold server bears", (t) => {
  fc.assert(
    fc.property(
      FLEET,
      (fleet) => countMostInSecond(replayFleet(fleet)) <= MOST_PER_SECOND,
    ),
    { numRuns: RUNS, seed: 31 },
  );
  t.end();
});

// Guards against a burst that uses at once all the turns that nobody needed before.
tap.test("turns that were not used are lost", (t) => {
  const hosts = Array.from({ length: 78 }, () => ({
    joinsAt: 0,
    restartsAt: Number.POSITIVE_INFINITY,
    pause: { at: 0, ms: 0 },
    heardShare: 1,
    asksFrom: 8_000,
  }));
  [1, 15].forEach((servers) => {
    const sent = replayFleet({ hosts, coldMs: 12_000, servers, seed: 1 });
    t.ok(countMostInSecond(sent) <= MOST_PER_SECOND);
    t.ok(sent.flat().length > 10 * servers, "and some are used");
  });
  t.end();
});

// Guards against a host that takes itself for one of few before it has heard of the others.
tap.test("a host that does not know how many there are has no turn", (t) => {
  const turns = new core.ColdTurns({ random: utils.createRandom(1) });
  const pool = { name: "pool", servers: 1, mostPerSecond: MOST_PER_SECOND };
  t.notOk(turns.has(pool, 0));
  t.notOk(turns.has(pool, 60_000));
  turns.setHosts(1);
  t.ok([0, 100, 200, 300].some((ms) => turns.has(pool, 61_000 + ms)));
  t.end();
});
