/** Tests of the planned orders of spot and ordinary servers by failure domain. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

const BOUNDS: core.ScalingBounds = {
  minServers: 1,
  maxServers: 7,
  bootMs: 4_000,
  spotPrice: 0.22,
  domainPrices: new Map([["a", 0.85], ["b", 1.2], ["c", 1], ["d", 1.1]]),
};
const DOMAINS = ["a", "b", "c", "d"];

function buildDemand(
  demand: number,
  servers: Partial<core.DomainServers>,
  { reading = 0 }: { readonly reading?: number } = {},
): core.ServiceDemand {
  return {
    bounds: BOUNDS,
    slots: 32,
    demand,
    reading,
    servers: DOMAINS.map((failureDomain) => ({
      failureDomain,
      ordinary: 0,
      spot: 0,
      ...servers,
    })),
  };
}

/** Returns a planner whose server list has settled by time 0. */
function startPlanner(
  servers: Partial<core.DomainServers>,
): core.DomainPlanner {
  const planner = new core.DomainPlanner();
  planner.plan(buildDemand(0, servers), -9_000);
  planner.plan(buildDemand(0, servers), -4_000);
  return planner;
}

/** Starts a burst in which no spot servers are available; at 1,000 ms, as many ordinary servers as the limits allow have been ordered. */
function startBurstWithoutSpot(t: tapModule.Test) {
  const planner = startPlanner({ spot: 1 });
  const servers = { ordinary: 0, spot: 0 };
  planner.plan(buildDemand(900, servers), 0);
  DOMAINS.forEach((domain) => planner.recordSpotUnavailable(domain, 100));
  const ordered = planner.plan(buildDemand(900, servers), 1_000);
  t.equal(sumKind(ordered, "ordinary"), 28);
  return { planner, servers };
}

const sumKind = (
  counts: readonly core.DomainCounts[],
  kind: "ordinary" | "spot",
) => counts.reduce((total, count) => total + (count[kind] ?? 0), 0);

const sumBoth = ({ ordinary = 0, spot = 0 }: core.DomainCounts) =>
  ordinary + spot;

// Guards against seconds without any server: ordinary servers were removed before
// the spot servers that replace them had started.
tap.test("ordinary servers stay until spot servers are ready", (t) => {
  const planner = startPlanner({ ordinary: 3 });
  const first = planner.plan(buildDemand(60, { ordinary: 3 }), 0);
  t.equal(sumKind(first, "spot"), 16, "as many as the limits allow");
  t.equal(sumKind(first, "ordinary"), 12);
  t.ok(first.every((counts) => sumBoth(counts) <= 7));
  const then = planner.plan(buildDemand(60, { ordinary: 3, spot: 3 }), 5_000);
  t.equal(sumKind(then, "spot"), 16);
  t.equal(sumKind(then, "ordinary"), 0);
  t.end();
});

// Guards against a planner that removes servers just before a burst: a host that
// has taken over planning has seen no demand yet.
tap.test("a new planner keeps the running servers and adds some", (t) => {
  const planner = startPlanner({ spot: 3 });
  const idle = planner.plan(buildDemand(0, { spot: 3 }), 0);
  t.equal(sumKind(idle, "spot"), 18);
  const low = planner.plan(buildDemand(2, { spot: 3 }), 1_000);
  t.equal(sumKind(low, "spot"), 18);
  const later = planner.plan(buildDemand(2, { spot: 3 }), 45_000);
  t.equal(sumKind(later, "spot"), 4);
  t.end();
});

// Guards against load that waits for, or pays for ordinary servers in, a failure
// domain without spot servers. Ordinary servers cost about five times as much, and
// the other failure domains still have spot servers available.
tap.test("other failure domains replace unavailable spot servers", (t) => {
  const planner = startPlanner({ spot: 3 });
  const without = buildDemand(60, { spot: 3 });
  const reclaimed = {
    ...without,
    servers: without.servers.map((domain) =>
      domain.failureDomain === "b" ? { ...domain, spot: 0 } : domain
    ),
  };
  planner.recordSpotUnavailable("b", 0);
  const counts = planner.plan(reclaimed, 500);
  const own = counts.find(({ failureDomain }) => failureDomain === "b");
  t.same(own, { failureDomain: "b", spot: undefined, ordinary: 1 });
  t.equal(sumKind(counts, "spot"), 18);
  t.equal(
    sumKind(counts, "ordinary"),
    1,
    "the minimum of the failure domain without spot servers",
  );
  t.end();
});

// Guards against a loss of capacity when spot servers are ordered again after a
// reclaim: the replacements elsewhere must not be removed before they are ready.
tap.test("replacements elsewhere stay until spot servers return", (t) => {
  const planner = startPlanner({ spot: 3 });
  const spread = buildDemand(60, { spot: 6 });
  const reclaimed = {
    ...spread,
    servers: spread.servers.map((domain) =>
      domain.failureDomain === "b"
        ? { ...domain, spot: 0, ordinary: 1 }
        : domain
    ),
  };
  planner.recordSpotUnavailable("b", 0);
  planner.plan(reclaimed, 500);
  const counts = planner.plan(reclaimed, 9_000);
  const spotOf = (name: string) =>
    counts.find(({ failureDomain }) => failureDomain === name)?.spot ?? 0;
  t.ok(spotOf("b") >= 3, "ordered again");
  ["a", "c", "d"].forEach((name) => t.equal(spotOf(name), 6));
  t.end();
});

// Guards against replacements elsewhere that never start: each time spot servers
// were ordered again in the reclaimed failure domain, the orders of replacements
// that were still starting were cancelled, and three seconds later placed again.
tap.test("servers that start elsewhere are not cancelled", (t) => {
  const planner = startPlanner({ spot: 3 });
  const ready = buildDemand(60, { spot: 3 });
  const reclaimed = {
    ...ready,
    servers: ready.servers.map((domain) =>
      domain.failureDomain === "b" ? { ...domain, spot: 0 } : domain
    ),
  };
  planner.recordSpotUnavailable("b", 0);
  const ordered = planner.plan(reclaimed, 500);
  t.same(ordered.map(({ spot }) => spot), [6, undefined, 6, 6]);
  const again = planner.plan(reclaimed, 3_600);
  t.same(again.map(({ spot }) => spot), [6, 4, 6, 6]);
  t.equal(
    sumKind(again, "ordinary"),
    1,
    "the one that is starting to meet the minimum",
  );
  t.end();
});

// Guards against load without servers: refused spot servers were still expected
// to start, so no ordinary servers were ordered in their place.
tap.test("refused servers are not expected to start", (t) => {
  const planner = startPlanner({ spot: 3 });
  const heavy = buildDemand(150, { spot: 3 });
  t.equal(sumKind(planner.plan(heavy, 500), "spot"), 24);
  DOMAINS.forEach((domain) => planner.recordSpotUnavailable(domain, 600));
  const refused = planner.plan(heavy, 700);
  t.equal(
    sumKind(refused, "ordinary"),
    7,
    "150 requests need 19 servers at a quarter of 32 slots; 12 are ready",
  );
  t.end();
});

// Guards against needless cost while no spot servers are available: ordinary
// servers are ordered only if requests would fail, not if the rest can carry the load.
tap.test("ordinary servers are ordered if no spot servers remain", (t) => {
  const planner = startPlanner({ spot: 3 });
  DOMAINS.forEach((domain) => planner.recordSpotUnavailable(domain, 0));
  const light = planner.plan(buildDemand(60, { spot: 2 }), 500);
  t.equal(sumKind(light, "ordinary"), 0);
  const heavy = planner.plan(buildDemand(150, { spot: 2 }), 1_000);
  t.equal(
    sumKind(heavy, "ordinary"),
    11,
    "150 requests need 19 servers at a quarter of 32 slots; 8 are ready",
  );
  t.end();
});

// Guards against orders beyond the limits of a failure domain: the limits hold for
// the sum of both kinds, also in a burst that needs more.
tap.test("both kinds together stay within a domain's limits", (t) => {
  const planner = startPlanner({ ordinary: 3 });
  [0, 100, 1_000, 9_000].forEach((demand, round) => {
    const counts = planner.plan(
      buildDemand(demand, { ordinary: round, spot: 2 * round }),
      round * 1_000,
    );
    t.ok(
      counts.every((one) =>
        sumBoth(one) >= BOUNDS.minServers &&
        sumBoth(one) <= BOUNDS.maxServers
      ),
    );
  });
  t.end();
});

// Guards against a burst that never gets servers: no spot servers are available,
// and each time they were ordered again, the orders of ordinary servers that were
// still starting were cancelled.
tap.test("ordinary servers that are starting are not cancelled", (t) => {
  const { planner, servers } = startBurstWithoutSpot(t);
  // Spot servers may be available again and are ordered.
  const retried = planner.plan(buildDemand(900, servers), 4_500);
  t.equal(sumKind(retried, "ordinary"), 28);
  const started = planner.plan(buildDemand(900, { ordinary: 7 }), 8_000);
  t.equal(sumKind(started, "ordinary"), 28);
  t.ok(started.every((counts) => sumBoth(counts) <= 7));
  t.end();
});

// Guards against orders that alternate between both kinds while the platform
// executes them late: ordering spot servers again cancelled ordinary servers whose
// order had no response yet.
tap.test("servers whose order has no response are not cancelled", (t) => {
  const { planner, servers } = startBurstWithoutSpot(t);
  DOMAINS.forEach((failureDomain) =>
    planner.recordLostResponse({ failureDomain, spot: false }, 3_000)
  );
  // By now the servers would have started if the order had been executed at once.
  const retried = planner.plan(buildDemand(900, servers), 7_500);
  t.equal(sumKind(retried, "ordinary"), 28);
  t.end();
});

// Guards against the removal of servers that have not registered yet, when all
// machines start at once and the planning host sees part of the servers. Spot
// replacements for the listed servers are ordered even so, because ordinary
// servers cost several times as much.
tap.test("no server is removed before the server list settles", (t) => {
  const planner = new core.DomainPlanner();
  t.same(planner.plan(buildDemand(0, {}), 0), []);
  [1, 3, 3].forEach((ordinary, round) => {
    const counts = planner.plan(
      buildDemand(0, { ordinary }),
      1_000 * (round + 1),
    );
    t.ok(counts.every((one) => one.ordinary === undefined));
    t.equal(sumKind(counts, "spot"), 4 * ordinary);
  });
  const settled = planner.plan(buildDemand(0, { ordinary: 3 }), 4_100);
  t.equal(sumKind(settled, "spot"), 16);
  t.equal(sumKind(settled, "ordinary"), 12);
  t.end();
});

// Guards against servers that are removed under a load of long prompts, which
// leaves most slots empty.
tap.test("prompts that await prefill count as load", (t) => {
  const planner = startPlanner({ spot: 3 });
  const ready = { spot: 3 };
  const busy = planner.plan(buildDemand(20, ready, { reading: 22 }), 30_000);
  t.equal(sumKind(busy, "spot"), 22);
  const idle = planner.plan(buildDemand(20, ready, { reading: 0 }), 60_000);
  t.equal(sumKind(idle, "spot"), 4);
  t.end();
});

// Guards against ordinary servers that stay for good, because they leave no room
// for the spot servers that would replace them.
tap.test("ordinary servers that fill a domain are replaced", (t) => {
  const planner = startPlanner({ ordinary: 7 });
  const full = buildDemand(60, { ordinary: 7 });
  const counts = planner.plan(full, 0);
  t.equal(sumKind(counts, "ordinary"), 24, "one less in each failure domain");
  const room = planner.plan(buildDemand(60, { ordinary: 6 }), 1_000);
  t.equal(sumKind(room, "spot"), 4, "one replacement in each failure domain");
  t.end();
});

// Guards against the removal of ordinary servers that the current load requires,
// when they fill their failure domains.
tap.test("ordinary servers that the load requires are kept", (t) => {
  const planner = startPlanner({ ordinary: 7 });
  const counts = planner.plan(buildDemand(900, { ordinary: 7 }), 0);
  t.equal(sumKind(counts, "ordinary"), 28);
  t.end();
});

// Guards against negative counts: while a release replaces servers, there are more
// servers than the limits allow.
tap.test("no order has a negative count", (t) => {
  const planner = startPlanner({ ordinary: 9 });
  const counts = planner.plan(buildDemand(60, { ordinary: 9 }), 0);
  t.ok(
    counts.every(({ spot = 0, ordinary = 0 }) => spot >= 0 && ordinary >= 0),
  );
  t.end();
});

// Guards against a new planner that keeps ordering refused spot servers until its
// server list has settled.
tap.test("refused spot servers are not ordered again at once", (t) => {
  const planner = new core.DomainPlanner();
  const ordered = planner.plan(buildDemand(60, { ordinary: 3 }), 0);
  t.equal(sumKind(ordered, "spot"), 12);
  DOMAINS.forEach((domain) => planner.recordSpotUnavailable(domain, 10));
  t.same(planner.plan(buildDemand(60, { ordinary: 3 }), 20), []);
  t.end();
});
