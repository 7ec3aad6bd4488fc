/** Checks that many hosts together stay within the limit that a server names. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
const STEP_MS = 20;
/** Length of a simulation, in ms. */
const TOTAL_MS = 16_000;
/** Window within which the users count requests, in ms. */
const WINDOW_MS = 4_000;
/** Time after which a host that has learned the limit must keep it, in ms. */
const TOLD_MS = 500;

interface Host {
  /** When the host receives the first response that names the limit. */
  readonly toldAt: number;
  /** Share of all hosts that this host knows of. */
  readonly knownShare: number;
  /** When the host begins to have requests at all times. */
  readonly busyFrom: number;
  /** When the host knows the number of hosts. */
  readonly countsFrom: number;
}

interface Fleet {
  readonly hosts: readonly Host[];
  readonly perSecond: number;
  readonly seed: number;
}

const FLEET: fc.Arbitrary<Fleet> = fc.record({
  hosts: fc.array(
    fc.record({
      toldAt: fc.nat(4_000),
      knownShare: fc.double({ min: 0.6, max: 1.5, noNaN: true }),
      busyFrom: fc.oneof(fc.constant(0), fc.nat(12_000)),
      countsFrom: fc.oneof(fc.constant(0), fc.nat(8_000)),
    }),
    { minLength: 3, maxLength: 195, size: "max" },
  ),
  perSecond: fc.double({ min: 0.2, max: 8, noNaN: true }),
  seed: fc.integer(),
});

/** Simulates hosts that always have a request; returns when each sent one after it had to keep the limit. */
function replayFleet({ hosts, perSecond, seed }: Fleet): number[] {
  const random = utils.createRandom(seed);
  return hosts.flatMap((host) => {
    const limits = new core.ServerLimits({
      random: utils.createRandom(random.below(2 ** 31)),
    });
    const report = { perSecond, sentAt: 0, succeeded: true };
    limits.recordResponse("s", report, host.toldAt);
    const sent: number[] = [];
    for (let now = host.toldAt; now < TOTAL_MS; now += STEP_MS) {
      if (now < host.countsFrom || now < host.busyFrom) continue;
      limits.setHosts(Math.ceil(hosts.length * host.knownShare));
      if (!limits.mayUse("s", now)) continue;
      limits.use("s");
      if (now >= host.toldAt + TOLD_MS) sent.push(now);
    }
    return sent;
  }).toSorted((a, b) => a - b);
}

function countMost(sent: readonly number[]): number {
  return sent.reduce((most, start, index) => {
    const end = sent.findIndex((at) => at >= start + WINDOW_MS);
    return Math.max(most, (end < 0 ? sent.length : end) - index);
  }, 0);
}

// Guards against hosts that each use the whole limit of a server, also where they
// learn it at different times and are wrong about the number of hosts.
tap.test("hosts together never exceed the limit of a server", (t) => {
  fc.assert(
    fc.property(FLEET, (fleet) => {
      const allowed = 1.5 * fleet.perSecond * WINDOW_MS / 1_000 + 5;
      return countMost(replayFleet(fleet)) <= allowed;
    }),
    { numRuns: RUNS, seed: 43 },
  );
  t.end();
});

// Guards against permits that no host can use: in a large fleet each host gets one
// in a few minutes.
tap.test("a limited server still gets requests from fleets of any size", (t) => {
  [3, 9, 78, 195].forEach((count) => {
    const hosts = Array.from({ length: count }, () => ({
      toldAt: 0,
      knownShare: 1,
      busyFrom: 0,
      countsFrom: 0,
    }));
    const sent = replayFleet({ hosts, perSecond: 2, seed: 1 });
    t.ok(sent.length >= 8, `${count} hosts: ${sent.length}`);
  });
  t.end();
});
