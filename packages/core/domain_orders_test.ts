/** Orders of servers by failure domain and kind. */
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

/** A planner that knows what is there, at time 0. */
function startPlanner(
  servers: Partial<core.DomainServers>,
): core.DomainPlanner {
  const planner = new core.DomainPlanner();
  planner.plan(buildDemand(0, servers), -9_000);
  planner.plan(buildDemand(0, servers), -4_000);
  return planner;
}

/** A burst in which all cheap servers have been reclaimed; at 1,000 ms ordinary ones were ordered, as many as the bounds allow. */
function startDryBurst(t: tapModule.Test) {
  const planner = startPlanner({ spot: 1 });
  const servers = { ordinary: 0, spot: 0 };
  planner.plan(buildDemand(900, servers), 0);
  DOMAINS.forEach((domain) => planner.recordUnavailable(domain, 100));
  const ordered = planner.plan(buildDemand(900, servers), 1_000);
  t.equal(sum(ordered, "ordinary"), 28);
  return { planner, servers };
}

const sum = (
  counts: readonly core.DomainCounts[],
  kind: "ordinary" | "spot",
) => counts.reduce((total, count) => total + (count[kind] ?? 0), 0);

const sumBoth = ({ ordinary = 0, spot = 0 }: core.DomainCounts) =>
  ordinary + spot;

// Ordinary servers are sent away before the cheap ones that replace them have
// started: for some seconds nothing is left to serve.
tap.test("ordinary servers stay until the cheap ones are there", (t) => {
  const planner = startPlanner({ ordinary: 3 });
  const first = planner.plan(buildDemand(60, { ordinary: 3 }), 0);
  t.equal(sum(first, "spot"), 16, "as many as the bounds leave room for");
  t.equal(sum(first, "ordinary"), 12);
  t.ok(first.every((counts) => sumBoth(counts) <= 7));
  const then = planner.plan(buildDemand(60, { ordinary: 3, spot: 3 }), 5_000);
  t.equal(sum(then, "spot"), 16);
  t.equal(sum(then, "ordinary"), 0);
  t.end();
});

// A new holder of the role has seen no demand yet, or none has begun: it must
// not send the servers away that a burst is about to need.
tap.test("a planner that has just begun keeps what is there and more", (t) => {
  const planner = startPlanner({ spot: 3 });
  const idle = planner.plan(buildDemand(0, { spot: 3 }), 0);
  t.equal(sum(idle, "spot"), 18);
  const low = planner.plan(buildDemand(2, { spot: 3 }), 1_000);
  t.equal(sum(low, "spot"), 18);
  const later = planner.plan(buildDemand(2, { spot: 3 }), 45_000);
  t.equal(sum(later, "spot"), 4);
  t.end();
});

// A failure domain's cheap servers are reclaimed and no more are to be had
// there for a while. The load must not wait for them, and ordinary ones in their
// place cost five times as much: the other failure domains have cheap ones.
tap.test("where no cheap servers are to be had, others have them", (t) => {
  const planner = startPlanner({ spot: 3 });
  const without = buildDemand(60, { spot: 3 });
  const reclaimed = {
    ...without,
    servers: without.servers.map((domain) =>
      domain.failureDomain === "b" ? { ...domain, spot: 0 } : domain
    ),
  };
  planner.recordUnavailable("b", 0);
  const counts = planner.plan(reclaimed, 500);
  const own = counts.find(({ failureDomain }) => failureDomain === "b");
  t.same(own, { failureDomain: "b", spot: undefined, ordinary: 1 });
  t.equal(sum(counts, "spot"), 18);
  t.equal(sum(counts, "ordinary"), 1, "the lower bound of the one without");
  t.end();
});

// The cheap servers of the failure domain may be there again, and are asked
// for. Those that the others gained in between must not be sent away before.
tap.test("servers elsewhere stay until the first are back", (t) => {
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
  planner.recordUnavailable("b", 0);
  planner.plan(reclaimed, 500);
  const counts = planner.plan(reclaimed, 9_000);
  const spotOf = (name: string) =>
    counts.find(({ failureDomain }) => failureDomain === name)?.spot ?? 0;
  t.ok(spotOf("b") >= 3, "asked for again");
  ["a", "c", "d"].forEach((name) => t.equal(spotOf(name), 6));
  t.end();
});

// The same, with servers that were ordered elsewhere still starting as the first
// failure domain is asked again. Their orders were taken back, and every three
// seconds placed again: none of them ever started.
tap.test("servers that start elsewhere are not called off", (t) => {
  const planner = startPlanner({ spot: 3 });
  const there = buildDemand(60, { spot: 3 });
  const reclaimed = {
    ...there,
    servers: there.servers.map((domain) =>
      domain.failureDomain === "b" ? { ...domain, spot: 0 } : domain
    ),
  };
  planner.recordUnavailable("b", 0);
  const ordered = planner.plan(reclaimed, 500);
  t.same(ordered.map(({ spot }) => spot), [6, undefined, 6, 6]);
  const again = planner.plan(reclaimed, 3_600);
  t.same(again.map(({ spot }) => spot), [6, 4, 6, 6]);
  t.equal(sum(again, "ordinary"), 1, "on its way for the lower bound");
  t.end();
});

// An order for more is refused. What it asked for was taken to be on its way, so
// the load that it was for had neither cheap servers nor ordinary ones.
tap.test("servers that were refused are not on their way", (t) => {
  const planner = startPlanner({ spot: 3 });
  const heavy = buildDemand(150, { spot: 3 });
  t.equal(sum(planner.plan(heavy, 500), "spot"), 24);
  DOMAINS.forEach((domain) => planner.recordUnavailable(domain, 600));
  const refused = planner.plan(heavy, 700);
  t.equal(
    sum(refused, "ordinary"),
    7,
    "19 at a quarter of their 32 slots, less 12",
  );
  t.end();
});

// Cheap servers are nowhere to be had. Ordinary ones are ordered for answers
// that would fail, not for a load that those that are left can bear.
tap.test("ordinary servers come where there are no cheap ones at all", (t) => {
  const planner = startPlanner({ spot: 3 });
  DOMAINS.forEach((domain) => planner.recordUnavailable(domain, 0));
  const bearable = planner.plan(buildDemand(60, { spot: 2 }), 500);
  t.equal(sum(bearable, "ordinary"), 0);
  const heavy = planner.plan(buildDemand(150, { spot: 2 }), 1_000);
  t.equal(
    sum(heavy, "ordinary"),
    11,
    "19 at a quarter of their 32 slots, less 8",
  );
  t.end();
});

// A burst asks for more than the bounds allow: both kinds together keep them.
tap.test("both kinds together keep the bounds of a failure domain", (t) => {
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

// Cheap servers are reclaimed in a burst and nowhere to be had; the load asks
// for as many as a failure domain may have. Each time cheap ones were tried
// again, the ordinary ones on their way were called off, and none came.
tap.test("ordinary servers on their way are not called off", (t) => {
  const { planner, servers } = startDryBurst(t);
  // Cheap ones may be there again, and are tried.
  const retried = planner.plan(buildDemand(900, servers), 4_500);
  t.equal(sum(retried, "ordinary"), 28);
  const started = planner.plan(buildDemand(900, { ordinary: 7 }), 8_000);
  t.equal(sum(started, "ordinary"), 28);
  t.ok(started.every((counts) => sumBoth(counts) <= 7));
  t.end();
});

// Guards against orders that swing while the platform carries them out late: as
// cheap servers were tried again, ordinary ones that were due were called off.
tap.test("servers whose order has no answer yet are not called off", (t) => {
  const { planner, servers } = startDryBurst(t);
  DOMAINS.forEach((failureDomain) =>
    planner.recordUnanswered({ failureDomain, spot: false }, 3_000)
  );
  // Later than they would have started, had the order been carried out at once.
  const retried = planner.plan(buildDemand(900, servers), 7_500);
  t.equal(sum(retried, "ordinary"), 28);
  t.end();
});

// All machines start at once. The host that wins the role plans while servers
// are still registering; it must not send those away that it does not see yet.
// Cheap ones are ordered for those that it sees, since every second in which
// all are ordinary costs several times as much.
tap.test("none is sent away before the list of servers has settled", (t) => {
  const planner = new core.DomainPlanner();
  t.same(planner.plan(buildDemand(0, {}), 0), []);
  [1, 3, 3].forEach((ordinary, round) => {
    const counts = planner.plan(
      buildDemand(0, { ordinary }),
      1_000 * (round + 1),
    );
    t.ok(counts.every((one) => one.ordinary === undefined));
    t.equal(sum(counts, "spot"), 4 * ordinary);
  });
  const settled = planner.plan(buildDemand(0, { ordinary: 3 }), 4_100);
  t.equal(sum(settled, "spot"), 16);
  t.equal(sum(settled, "ordinary"), 12);
  t.end();
});

// Guards against servers that are sent away under a load of long prompts, which leaves most slots empty.
tap.test("unread prompts are load, however few slots are taken", (t) => {
  const planner = startPlanner({ spot: 3 });
  const there = { spot: 3 };
  const busy = planner.plan(buildDemand(20, there, { reading: 22 }), 30_000);
  t.equal(sum(busy, "spot"), 22);
  const idle = planner.plan(buildDemand(20, there, { reading: 0 }), 60_000);
  t.equal(sum(idle, "spot"), 4);
  t.end();
});

// Guards against ordinary servers that stay for good, since they leave no room for those that would replace them.
tap.test("ordinary servers that fill a failure domain give way", (t) => {
  const planner = startPlanner({ ordinary: 7 });
  const full = buildDemand(60, { ordinary: 7 });
  const counts = planner.plan(full, 0);
  t.equal(sum(counts, "ordinary"), 24, "one in each failure domain");
  const room = planner.plan(buildDemand(60, { ordinary: 6 }), 1_000);
  t.equal(sum(room, "spot"), 4, "in its place");
  t.end();
});

// The same under a load that all of them are needed for.
tap.test("no ordinary server gives way that the load needs", (t) => {
  const planner = startPlanner({ ordinary: 7 });
  const counts = planner.plan(buildDemand(900, { ordinary: 7 }), 0);
  t.equal(sum(counts, "ordinary"), 28);
  t.end();
});

// Guards against an order for less than no server: while a release replaces servers there are more than the bounds allow.
tap.test("no order is for less than no server", (t) => {
  const planner = startPlanner({ ordinary: 9 });
  const counts = planner.plan(buildDemand(60, { ordinary: 9 }), 0);
  t.ok(
    counts.every(({ spot = 0, ordinary = 0 }) => spot >= 0 && ordinary >= 0),
  );
  t.end();
});

// Guards against a new holder of the role that asks for refused servers again and again until it knows what is there.
tap.test("what is refused is not asked for at once, nor at first", (t) => {
  const planner = new core.DomainPlanner();
  const asked = planner.plan(buildDemand(60, { ordinary: 3 }), 0);
  t.equal(sum(asked, "spot"), 12);
  DOMAINS.forEach((domain) => planner.recordUnavailable(domain, 10));
  t.same(planner.plan(buildDemand(60, { ordinary: 3 }), 20), []);
  t.end();
});
