/** Checks over many hosts that a request which ends servers is refused, and that sound requests are not. */
import * as fc from "fast-check";
import * as tapModule from "tap";
import * as poisonTesting from "./poison_service_testing.ts";

const tap = tapModule.default;
const RUNS = Number(process.env.FUZZ_RUNS ?? 200);
/** The users' rule: arrivals later than the window after the third end. */
const MAX_MORE = 3;
/** Share of the sound requests that must be served, and the number from which it is judged. */
const MIN_SERVED = 0.9;
const MIN_SOUND = 50;
const TOTAL_MS = 30_000;

const AT = fc.integer({ min: 1_000, max: 20_000 });
const FOR = fc.integer({ min: 300, max: 12_000 });
const HOST = fc.nat(200);

const FAULT: fc.Arbitrary<poisonTesting.Fault> = fc.oneof(
  fc.record({ kind: fc.constant("killed" as const), host: HOST, at: AT }),
  fc.record({ kind: fc.constant("joined" as const), at: AT }),
  fc.record({
    kind: fc.constant("cut_off" as const),
    host: HOST,
    at: AT,
    forMs: FOR,
  }),
  fc.record({
    kind: fc.constant("links_cut" as const),
    share: fc.double({ min: 0.1, max: 1, noNaN: true }),
    how: fc.constantFrom(
      "hang" as const,
      "reset" as const,
      "refuse_new" as const,
    ),
    at: AT,
    forMs: FOR,
  }),
  fc.record({
    kind: fc.constant("relay_killed" as const),
    domain: fc.nat(3),
    at: AT,
  }),
  fc.record({ kind: fc.constant("store_lost" as const), at: AT, forMs: FOR }),
  fc.record({
    kind: fc.constant("server_lost" as const),
    server: fc.nat(5),
    at: AT,
  }),
);

const FLEET: fc.Arbitrary<poisonTesting.Fleet> = fc.record({
  hosts: fc.oneof(
    { weight: 19, arbitrary: fc.integer({ min: 3, max: 20 }) },
    { weight: 1, arbitrary: fc.integer({ min: 21, max: 195 }) },
  ),
  domains: fc.integer({ min: 1, max: 4 }),
  servers: fc.integer({ min: 1, max: 6 }),
  goneMs: fc.integer({ min: 300, max: 7_000 }),
  keepsName: fc.boolean(),
  callers: fc.integer({ min: 1, max: 4 }),
  pauseMs: fc.integer({ min: 20, max: 1_500 }),
  repeatable: fc.boolean(),
  load: fc.double({ min: 0.05, max: 0.5, noNaN: true }),
  alike: fc.constantFrom(0, 0.1, 0.5),
  skewMs: fc.constantFrom(0, 50, 200),
  totalMs: fc.constant(TOTAL_MS),
  faults: fc.array(FAULT, { maxLength: 4 }),
  seed: fc.integer(),
});

// Guards against hosts that take the end of all servers of a small service for lost
// links, and that forget or never learn which request it was.
tap.test("a request that ends servers reaches them at most three more times", (t) => {
  fc.assert(
    fc.property(
      FLEET,
      (fleet) => poisonTesting.replayFleet(fleet).more <= MAX_MORE,
    ),
    { numRuns: Math.ceil(RUNS / 10), seed: 62 },
  );
  t.end();
});

// Guards against sound requests that are refused because links are cut or servers
// are lost, and because other requests end servers.
tap.test("sound requests go on beside it, and none is refused as poison", (t) => {
  fc.assert(
    fc.property(FLEET, fc.nat(2), (fleet, callers) => {
      const outcome = poisonTesting.replayFleet({ ...fleet, callers });
      const { sound, served, refusedAsPoison } = outcome;
      return refusedAsPoison === 0 &&
        (sound < MIN_SOUND || served >= MIN_SERVED * sound);
    }),
    { numRuns: Math.ceil(RUNS / 10), seed: 63 },
  );
  t.end();
});

const RESTART: fc.Arbitrary<poisonTesting.Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("rolled" as const),
    gapMs: fc.integer({ min: 0, max: 1_000 }),
    at: AT,
  }),
  fc.record({ kind: fc.constant("all_killed" as const), at: AT }),
);

const RESTARTED: fc.Arbitrary<poisonTesting.Fleet> = fc.record({
  fleet: FLEET,
  hosts: fc.integer({ min: 3, max: 20 }),
  leavesMs: fc.option(fc.integer({ min: 2, max: 80 }), { nil: undefined }),
  restarts: fc.array(RESTART, { minLength: 1, maxLength: 3 }),
}).map(({ fleet, restarts, ...changes }) => ({
  ...fleet,
  ...changes,
  faults: [...fleet.faults, ...restarts],
}));

// Guards against hosts that restart and do not learn which request ended servers, and
// against callers that leave before the end.
tap.test("a request that ends servers is refused although hosts restart", (t) => {
  fc.assert(
    fc.property(
      RESTARTED,
      (fleet) => poisonTesting.replayFleet(fleet).more <= MAX_MORE,
    ),
    { numRuns: Math.ceil(RUNS / 10), seed: 65 },
  );
  t.end();
});

// Guards against a frequent request that is refused for good, because it was in
// flight at each of three ends of the only server and completed at none between.
tap.test("a frequent request goes on although it was in flight at all ends", (t) => {
  const outcome = poisonTesting.replayFleet({
    hosts: 5,
    domains: 4,
    servers: 1,
    goneMs: 5_990,
    keepsName: true,
    callers: 4,
    pauseMs: 466,
    repeatable: true,
    load: 0.20536561158939298,
    alike: 0.5,
    skewMs: 200,
    totalMs: 40_000,
    faults: [{
      kind: "links_cut",
      share: 0.948806010810097,
      how: "hang",
      at: 2_619,
      forMs: 7_782,
    }],
    seed: 171516451,
  });
  t.equal(outcome.refusedAsPoison, 0);
  t.ok(outcome.sound >= MIN_SOUND);
  t.ok(
    outcome.served >= MIN_SERVED * outcome.sound,
    `${outcome.served} of ${outcome.sound} served`,
  );
  t.ok(outcome.more <= MAX_MORE);
  t.end();
});
