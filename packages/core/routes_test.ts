/** Tests of route matching, weighted services and request priorities. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;

function buildRoute(changes: Partial<core.Route>): core.Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    kind: "idempotent",
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    targetGapMs: 0,
    tier: 1,
    services: [{ service: "s", weight: 1 }],
    maxAttempts: 2,
    anonymous: false,
    resumable: false,
    ...changes,
  };
}

function buildTable(
  routes: readonly core.Route[],
  customers: readonly core.RoutedCustomer[] = [],
): core.RouteTable {
  return core.buildRouteTable({
    version: 1,
    routes,
    customers,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

tap.test("a path matches the longest prefix among the routes of its host name", (t) => {
  const table = buildTable([
    buildRoute({ name: "short", prefix: "/rooms/" }),
    buildRoute({ name: "long", prefix: "/rooms/free/" }),
    buildRoute({ name: "other", host: "b.example", prefix: "/rooms/free/x/" }),
  ]);
  const find = (host: string, path: string) =>
    core.findRoute(table, { host, path })?.name;
  t.equal(find("a.example", "/rooms/free/x/1"), "long");
  t.equal(find("A.example:80", "/rooms/1?next=/rooms/free/"), "short");
  t.equal(find("a.example", "/rooms"), undefined);
  t.equal(find("c.example", "/rooms/1"), undefined);
  t.end();
});

tap.test("services are picked at random by weight", (t) => {
  const route = buildRoute({
    services: [
      { service: "none", weight: 0 },
      { service: "most", weight: 90 },
      { service: "few", weight: 10 },
    ],
  });
  const random = utils.createRandom(7);
  const drawn = Array.from(
    { length: 2_000 },
    () => core.drawService(route, random),
  );
  const few = drawn.filter((name) => name === "few").length;
  t.equal(drawn.includes("none"), false);
  t.ok(few > 140 && few < 260, `${few} of 2,000`);
  t.equal(core.drawService(buildRoute({ services: [] }), random), undefined);
  t.end();
});

// Guards against engines that preempt urgent queries of one customer for bulk
// summaries of another when their memory runs short. This happens if the
// customer's tier is compared before the route's tier.
tap.test("the route's tier takes precedence over the customer's tier", (t) => {
  const table = buildTable(
    [
      buildRoute({ name: "query", tier: 1 }),
      buildRoute({ name: "bulk", tier: 3 }),
    ],
    [
      { name: "first", keys: [], tier: 1 },
      { name: "second", keys: [], tier: 2 },
    ],
  );
  const rank = (customerTier: number | undefined, routeTier: number) =>
    core.rankRequest(table, { customerTier, routeTier });
  const order = [
    rank(1, 1),
    rank(2, 1),
    rank(undefined, 1),
    rank(1, 3),
    rank(2, 3),
  ];
  t.same(order, order.toSorted((a, b) => a - b));
  t.equal(new Set(order).size, order.length);
  t.end();
});
