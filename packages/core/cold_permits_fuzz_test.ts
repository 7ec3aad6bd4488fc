/** Checks that many hosts together never exceed the request rate that cold servers can take. */
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
  /** Time at which the host's process restarts and loses its permit state. */
  readonly restartsAt: number;
  readonly pause: { readonly at: number; readonly ms: number };
  /** Share of all hosts that this host knows of. */
  readonly knownShare: number;
  /** Time from which the host always has a request to send. */
  readonly busyFrom: number;
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
  knownShare: fc.double({ min: 0.8, max: 1, noNaN: true }),
  busyFrom: fc.oneof(fc.constant(0), fc.nat(6_000)),
});

const FLEET: fc.Arbitrary<Fleet> = fc.record({
  hosts: fc.array(HOST, { minLength: 1, maxLength: 200, size: "max" }),
  coldMs: fc.integer({ min: 500, max: 9_000 }),
  servers: fc.integer({ min: 1, max: 20 }),
  seed: fc.integer(),
});

/** Simulates hosts that always have a request to send; returns the send times of each server. */
function replayFleet({ hosts, coldMs, servers, seed }: Fleet): number[][] {
  const pool = { name: "pool", servers, mostPerSecond: MOST_PER_SECOND };
  const random = utils.createRandom(seed);
  const sent = Array.from({ length: servers }, (): number[] => []);
  hosts.forEach((host) => {
    const createPermits = () => {
      const permits = new core.ColdServerPermits({
        random: utils.createRandom(random.below(2 ** 31)),
      });
      permits.setHosts(Math.ceil(hosts.length * host.knownShare));
      return permits;
    };
    let permits = createPermits();
    let restarted = false;
    // The host's own clock stands still while its process is paused.
    let pausedMs = 0;
    for (let now = host.joinsAt; now < coldMs; now += STEP_MS) {
      if (now >= host.restartsAt && !restarted) {
        restarted = true;
        permits = createPermits();
      }
      const { at, ms } = host.pause;
      if (now >= at && now < at + ms) {
        pausedMs += STEP_MS;
        continue;
      }
      if (now < host.busyFrom) continue;
      if (!permits.has(pool, now - pausedMs)) continue;
      permits.use(pool.name);
      sent[random.below(servers)].push(now);
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

// Guards against an overload that crashes a cold server: hosts send their first
// requests without knowing what other hosts send, while hosts join, restart and
// are suspended.
tap.test("hosts together never exceed the rate limit of a cold server", (t) => {
  fc.assert(
    fc.property(
      FLEET,
      (fleet) => countMostInSecond(replayFleet(fleet)) <= MOST_PER_SECOND,
    ),
    { numRuns: RUNS, seed: 31 },
  );
  t.end();
});

// Guards against a burst of requests that uses all the permits accumulated
// during an idle time at once.
tap.test("unused permits expire", (t) => {
  const hosts = Array.from({ length: 78 }, () => ({
    joinsAt: 0,
    restartsAt: Number.POSITIVE_INFINITY,
    pause: { at: 0, ms: 0 },
    knownShare: 1,
    busyFrom: 8_000,
  }));
  [1, 15].forEach((servers) => {
    const sent = replayFleet({ hosts, coldMs: 12_000, servers, seed: 1 });
    t.ok(countMostInSecond(sent) <= MOST_PER_SECOND);
    t.ok(sent.flat().length > 10 * servers, "some permits are used");
  });
  t.end();
});

// Guards against a host that sends more than its share because it has just
// started and does not know of the other hosts yet.
tap.test("a host gets no permit before it knows the number of hosts", (t) => {
  const permits = new core.ColdServerPermits({ random: utils.createRandom(1) });
  const pool = { name: "pool", servers: 1, mostPerSecond: MOST_PER_SECOND };
  t.notOk(permits.has(pool, 0));
  t.notOk(permits.has(pool, 60_000));
  permits.setHosts(1);
  t.ok([0, 100, 200, 300].some((ms) => permits.has(pool, 61_000 + ms)));
  t.end();
});
