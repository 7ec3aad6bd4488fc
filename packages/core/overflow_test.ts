/** Tests that overflow runs in other failure domains only within its grants. */
import * as fc from "fast-check";
import * as tap from "tap";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const OWN: core.PoolPart = { ...testing.POOL, name: "own" };
const FAR: core.PoolPart = {
  ...testing.POOL,
  name: "far",
  failureDomain: "b",
};
const LENT: core.ServerInfo = {
  name: "f9",
  pool: "far",
  url: "",
  state: "live",
};

/** Starts a dispatcher whose failure domain has lost all its servers. */
function startWithoutServers(): core.Dispatcher {
  const dispatcher = testing.startDispatcher({ pools: [OWN, FAR] });
  dispatcher.handle({ kind: "servers_changed", servers: [] }, 0);
  return dispatcher;
}

function arrive(
  dispatcher: core.Dispatcher,
  id: string,
  now: number,
): core.DispatchEffect[] {
  const request = {
    ...testing.buildRequest(id, { tier: 1 }),
    arrivedAt: now,
    startBy: now + 1_000,
  };
  return dispatcher.handle({ kind: "arrived", request }, now);
}

function grant(
  dispatcher: core.Dispatcher,
  options: { readonly slots: number; readonly now: number },
): core.DispatchEffect[] {
  return dispatcher.handle({
    kind: "overflow_granted",
    failureDomain: "b",
    asOf: options.now,
    servers: [LENT],
    grants: [{
      pool: "far",
      limits: [{ className: "tier1", slots: options.slots }],
      lowestTierElsewhere: 0,
      queuedElsewhere: [],
      short: options.slots === 0 ? ["tier1"] : [],
      recallForTier: 0,
      runningElsewhere: [],
    }],
  }, options.now);
}

function listStarted(effects: readonly core.DispatchEffect[]): string[] {
  return effects.flatMap((effect) =>
    effect.kind === "start"
      ? [`${effect.request.id}@${effect.server.name}`]
      : []
  );
}

tap.t.test(
  "requests of a failure domain without servers run in another one",
  (t) => {
    // Guards against "no_capacity" for every request although another failure
    // domain has idle servers. Hosts knew only the servers of their own failure
    // domain.
    const dispatcher = startWithoutServers();
    t.same(
      arrive(dispatcher, "r1", 0).filter(({ kind }) => kind === "refuse"),
      [],
    );
    const [asked] = dispatcher.listOverflow(0);
    t.match(asked, {
      failureDomain: "b",
      demands: [{ pool: "far", classes: [{ className: "tier1", queued: 1 }] }],
    });
    t.same(listStarted(grant(dispatcher, { slots: 1, now: 1 })), ["r1@f9"]);
    t.end();
  },
);

tap.t.test(
  "a request is refused at once if no failure domain has slots",
  (t) => {
    // Guards against a caller that waits until its deadline for slots that no
    // failure domain has.
    const dispatcher = startWithoutServers();
    grant(dispatcher, { slots: 0, now: 0 });
    t.match(arrive(dispatcher, "r1", 1), [{
      kind: "refuse",
      refusal: { code: "no_capacity", ran: "no" },
    }]);
    t.end();
  },
);

tap.t.test(
  "a request is queued, not refused, when the grant is used up",
  (t) => {
    // Guards against requests that are refused while another failure domain has
    // idle slots. The host treated the slots granted for its demand so far as all
    // slots of the other failure domain.
    const dispatcher = startWithoutServers();
    grant(dispatcher, { slots: 1, now: 0 });
    arrive(dispatcher, "r1", 1);
    const effects = arrive(dispatcher, "r2", 1);
    t.notOk(effects.some((effect) => effect.kind === "refuse"));
    const [asked] = dispatcher.listOverflow(0);
    t.match(asked, { demands: [{ classes: [{ running: 1, queued: 1 }] }] });
    t.end();
  },
);

tap.t.test("an expired grant of another failure domain is not used", (t) => {
  // Guards against overload of the lending failure domain during a network
  // partition. It grants the slots to its own urgent requests, while the
  // borrowing host, which receives no new grant, kept using them.
  const dispatcher = startWithoutServers();
  grant(dispatcher, { slots: 1, now: 0 });
  const late = core.constants.GRANT_VALID_MS + 1;
  t.same(listStarted(arrive(dispatcher, "r1", late)), []);
  t.end();
});

tap.t.test("requests beyond the grant do not start", (t) => {
  const dispatcher = startWithoutServers();
  grant(dispatcher, { slots: 1, now: 0 });
  const started = ["r1", "r2"].flatMap((id) =>
    listStarted(arrive(dispatcher, id, 1))
  );
  t.same(started, ["r1@f9"]);
  t.end();
});

tap.t.test("a suspect request is not sent to other failure domains", (t) => {
  // Guards against a poison request that is sent to every failure domain. One
  // such request took down two engines in each of four failure domains.
  const dispatcher = startWithoutServers();
  dispatcher.handle({
    kind: "suspected",
    marks: [{ fingerprint: "poison", server: "o1" }],
  }, 0);
  const now = core.constants.SUSPECT_HOLD_MS + 1;
  grant(dispatcher, { slots: 1, now });
  t.same(listStarted(arrive(dispatcher, "poison", now)), []);
  t.end();
});

/** Generated demand of one class at one host. */
interface Claim {
  readonly host: string;
  readonly remote: boolean;
  readonly className: string;
  readonly tier: number;
  readonly demand: number;
  readonly running: number;
}

const CLAIM = fc.record({
  host: fc.constantFrom("h1", "h2", "v1", "v2"),
  tier: fc.integer({ min: 1, max: 3 }),
  demand: fc.nat({ max: 12 }),
  running: fc.nat({ max: 12 }),
}).map((one): Claim => ({
  ...one,
  remote: one.host.startsWith("v"),
  className: `tier${one.tier}`,
  demand: Math.max(one.demand, one.running),
}));

/** Computes the slots that each class of each host is granted, without headroom. */
function allocate(claims: readonly Claim[], slots: number): Map<Claim, number> {
  const allocator = new core.CapacityAllocator();
  ["h1", "h2", "v1", "v2"].forEach((host) =>
    allocator.setDemand(host, {
      now: 0,
      remote: host.startsWith("v"),
      demands: [{
        pool: "p",
        servers: [],
        classes: claims.filter((one) => one.host === host)
          .map((one) => ({ ...one, queued: one.demand - one.running })),
      }],
    })
  );
  const capacity = { pool: "p", slots, shares: new Map(), servers: [] };
  const grants = allocator.allocate([capacity], 0);
  return new Map(claims.map((one) => {
    const limits = grants.get(one.host)?.[0].limits ?? [];
    const own = limits.find((limit) => limit.className === one.className);
    return [one, own?.slots ?? 0];
  }));
}

tap.t.test(
  "hosts of other failure domains get only slots that no claimant ahead of them demands",
  (t) => {
    const property = fc.property(
      fc.uniqueArray(CLAIM, { selector: (one) => `${one.host}${one.tier}` }),
      fc.nat({ max: 20 }),
      (claims, slots) => {
        const granted = allocate(claims, slots);
        const hasPrecedence = (a: Claim, b: Claim) =>
          a.tier < b.tier || (a.tier === b.tier && !a.remote && b.remote);
        const sum = claims.filter((one) => one.remote)
          .reduce((total, one) => total + (granted.get(one) ?? 0), 0);
        const fair = claims.every((claim) =>
          !claim.remote || (granted.get(claim) ?? 0) === 0 ||
          claims.every((other) =>
            !hasPrecedence(other, claim) ||
            (granted.get(other) ?? 0) >= other.demand
          )
        );
        return sum <= slots && fair;
      },
    );
    fc.assert(property, { seed: 20_261_203, numRuns: 2_000 });
    t.pass("2000 allocations");
    t.end();
  },
);
