/** Orders of backend servers, as sent by the host that holds the control roles. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as scalingOrders from "./gateway/scaling_orders.ts";
import type * as platformInterface from "./gateway/platform_interface.ts";

const tap = tapModule.default;

const DOMAINS = ["a", "b"];
const SERVICE: core.RoutedService = {
  name: "planner",
  connectionLimit: 100,
  engine: { slots: 32, kvCacheTokens: 100_000 },
  scaling: {
    minServers: 1,
    maxServers: 8,
    bootMs: 4_000,
    spotPrice: 0.2,
    domainPrices: new Map(),
  },
};

type Answer = Awaited<ReturnType<platformInterface.Platform["sendOrder"]>>;

function buildServer(failureDomain: string, index: number): core.ListedServer {
  return {
    id: `${failureDomain}-${index}`,
    startedAt: 1,
    service: "planner",
    address: `10.0.0.${index}:1`,
    failureDomain,
    slots: 32,
    state: "ready",
    spot: true,
    coldMs: 0,
    revision: 1,
  };
}

/** Starts scaling orders for two failure domains that have the same number of reclaimable servers each. */
function startRound(
  answer: (order: platformInterface.ScalingOrder) => Promise<Answer>,
  { serversEach = 8, asked = 40 }: {
    readonly serversEach?: number;
    /** Number of requests with short and with long prompts each; the prompts of a quarter of all are not prefilled yet. */
    readonly asked?: number;
  } = {},
) {
  const sent: platformInterface.ScalingOrder[] = [];
  let now = 0;
  let emptied: string | undefined;
  let servers = DOMAINS.flatMap((domain) =>
    Array.from(
      { length: serversEach },
      (_, index) => buildServer(domain, index + 1),
    )
  );
  const status: core.HostStatus = {
    host: "host",
    incarnation: "first",
    at: 0,
    demand: {
      planner: {
        short: asked,
        long: asked,
        reading: asked / 2,
        pauses: core.NO_TOKEN_PAUSES,
      },
    },
    running: {},
    prompting: {},
    usage: {},
    suspects: [],
  };
  const round = new scalingOrders.ScalingOrders({
    settings: { failureDomains: DOMAINS },
    platform: {
      sendOrder: (order) => {
        sent.push(order);
        return answer(order);
      },
    },
    clock: { now: () => now, wall: () => now },
    log: utils.createLogger({ level: "silent" }),
    getLease: () => ({
      kind: "held",
      leaseId: "1",
      token: 7,
      expiresAt: 1e9,
      actsFrom: 0,
    }),
    getTrueTime: () => now,
    getConfiguration: () => ({
      version: 1,
      routes: [],
      services: [SERVICE],
      customers: undefined,
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    }),
    listServers: () => servers,
    isEvacuated: (failureDomain) => failureDomain === emptied,
    listStatuses: () => [status],
  });
  return {
    sent,
    /** Sends the orders that are due at a time, and lets the responses arrive. */
    sendAt: async (at: number) => {
      now = at;
      round.send();
      await new Promise((resolve) => setImmediate(resolve));
    },
    /** Evacuates a failure domain; undefined ends the evacuation. */
    evacuate: (domain: string | undefined) => {
      emptied = domain;
    },
    /** Removes all servers of a failure domain, as if the platform reclaimed them. */
    reclaim: (domain: string) => {
      servers = servers.filter(({ failureDomain }) => failureDomain !== domain);
    },
  };
}

const REFUSED = utils.Err(utils.createStepError("conflict", {
  step: "orders.send",
  peer: "platform",
  message: "No servers of this kind are available.",
}));

// The platform has no reclaimable servers left. Replacements that wait for the
// next round leave a second in which no server boots.
tap.test("unavailable reclaimable servers are replaced in the same round", async (t) => {
  let dry = false;
  const round = startRound((order) =>
    Promise.resolve(dry && order.spot ? REFUSED : utils.Ok(undefined))
  );
  await round.sendAt(0);
  await round.sendAt(2_500);
  await round.sendAt(3_000);
  round.reclaim("b");
  dry = true;
  const before = round.sent.length;
  await round.sendAt(3_500);
  const after = round.sent.slice(before);
  t.ok(after.some(({ spot, failureDomain }) => spot && failureDomain === "b"));
  t.ok(
    after.some(({ spot, count }) => !spot && count > 1),
    "in the same round",
  );
  t.end();
});

// Orders sent one after the other would all wait behind one without a response.
tap.test("an order without a response delays no other order", async (t) => {
  const never = new Promise<Answer>(() => undefined);
  const round = startRound(({ failureDomain }) =>
    failureDomain === "a" ? never : Promise.resolve(utils.Ok(undefined))
  );
  await round.sendAt(0);
  await round.sendAt(2_500);
  await round.sendAt(3_500);
  const domains = new Set(round.sent.map((order) => order.failureDomain));
  t.same([...domains].toSorted(), DOMAINS);
  const first = round.sent.filter(({ spot, failureDomain }) =>
    spot && failureDomain === "a"
  );
  t.equal(first.length, 1, "an order in flight is not sent again");
  t.end();
});

// The response is lost but the order may still be carried out. Treating it as
// refused would order replacements for servers that arrive late.
tap.test("an order whose response is lost is not treated as refused", async (t) => {
  const lost = utils.Err(utils.createStepError("unknown_outcome", {
    step: "orders.send",
    peer: "platform",
    message: "No answer.",
  }));
  let isLost = false;
  const round = startRound(() =>
    Promise.resolve(isLost ? lost : utils.Ok(undefined))
  );
  await round.sendAt(0);
  await round.sendAt(2_500);
  await round.sendAt(3_000);
  round.reclaim("b");
  isLost = true;
  const before = round.sent.length;
  await round.sendAt(3_500);
  await round.sendAt(4_500);
  const after = round.sent.slice(before);
  t.ok(after.some(({ spot, failureDomain }) => spot && failureDomain === "b"));
  t.notOk(
    after.some(({ spot, count }) => !spot && count > 0),
    "no ordinary servers replace them",
  );
  t.end();
});

// A reclaim takes ready servers and those still booting from the last order. If
// the loss is not noticed, seconds pass without servers or an order for them.
tap.test("servers reclaimed while more are booting are ordered again at once", async (t) => {
  const round = startRound(() => Promise.resolve(utils.Ok(undefined)), {
    serversEach: 3,
  });
  await round.sendAt(0);
  await round.sendAt(2_500);
  await round.sendAt(3_000);
  round.reclaim("b");
  const before = round.sent.length;
  await round.sendAt(3_500);
  const after = round.sent.slice(before);
  t.ok(after.some(({ spot, failureDomain }) => spot && failureDomain === "b"));
  const again = round.sent.length;
  await round.sendAt(4_000);
  t.equal(round.sent.length, again, "only once");
  t.end();
});

// The only order for a burst is lost with its response, and the burst gets no
// servers.
tap.test("an order whose response is lost is sent again until it is answered", async (t) => {
  const lost = utils.Err(utils.createStepError("unknown_outcome", {
    step: "orders.send",
    peer: "platform",
    message: "No answer.",
  }));
  let answers: Answer = lost;
  const round = startRound(() => Promise.resolve(answers), { serversEach: 3 });
  await round.sendAt(0);
  await round.sendAt(2_500);
  const before = round.sent.length;
  answers = utils.Ok(undefined);
  await round.sendAt(3_500);
  const repeated = round.sent.slice(before);
  t.same(
    repeated.filter(({ spot }) => spot).map((order) => order.failureDomain),
    DOMAINS,
  );
  const again = round.sent.length;
  await round.sendAt(4_500);
  t.equal(round.sent.length, again, "not after a response");
  t.end();
});

// An evacuation takes the capacity of a failure domain. It is missing unless it is
// ordered elsewhere, and again later if the domain's own servers are scaled down.
tap.test("the capacity of an evacuated failure domain is ordered elsewhere at once", async (t) => {
  const round = startRound(() => Promise.resolve(utils.Ok(undefined)), {
    serversEach: 2,
    asked: 8,
  });
  await round.sendAt(0);
  await round.sendAt(2_500);
  await round.sendAt(3_000);
  const before = round.sent.length;
  round.evacuate("b");
  await round.sendAt(3_500);
  const after = round.sent.slice(before);
  t.same([...new Set(after.map((order) => order.failureDomain))], ["a"]);
  t.ok(after.some(({ spot, count }) => spot && count === 6));
  round.evacuate(undefined);
  const returned = round.sent.length;
  await round.sendAt(4_500);
  t.notOk(
    round.sent.slice(returned).some(({ failureDomain, spot, count }) =>
      failureDomain === "b" && spot && count < 2
    ),
    "its own servers are not scaled down after the evacuation",
  );
  t.end();
});
