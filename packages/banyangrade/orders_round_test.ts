/** Orders of backend servers, as the host in charge sends them. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as ordersRound from "./routed/orders_round.ts";
import type * as ports from "./routed/ports.ts";

const tap = tapModule.default;

const DOMAINS = ["a", "b"];
const SERVICE: core.RoutedService = {
  name: "planner",
  connectionLimit: 100,
  engine: { slots: 32, memoryTokens: 100_000 },
  scaling: {
    minServers: 1,
    maxServers: 8,
    bootMs: 4_000,
    spotPrice: 0.2,
    domainPrices: new Map(),
  },
};

type Answer = Awaited<ReturnType<ports.Platform["sendOrder"]>>;

function buildServer(failureDomain: string, index: number): core.ListedServer {
  return {
    id: `${failureDomain}-${index}`,
    bornAt: 1,
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

/** A round over two failure domains with some reclaimable servers each, of which the second loses its own. */
function startRound(
  answer: (order: ports.DomainOrder) => Promise<Answer>,
  { serversEach = 8, asked = 40 }: {
    readonly serversEach?: number;
    /** Requests of each length; a quarter of all have unread prompts. */
    readonly asked?: number;
  } = {},
) {
  const sent: ports.DomainOrder[] = [];
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
        pauses: core.NO_PAUSES,
      },
    },
    running: {},
    prompting: {},
    usage: {},
    suspects: [],
  };
  const round = new ordersRound.OrdersRound({
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
    /** Sends at a moment, and lets the answers arrive. */
    sendAt: async (at: number) => {
      now = at;
      round.send();
      await new Promise((resolve) => setImmediate(resolve));
    },
    /** Empties a failure domain, or none. */
    evacuate: (domain: string | undefined) => {
      emptied = domain;
    },
    reclaim: (domain: string) => {
      servers = servers.filter(({ failureDomain }) => failureDomain !== domain);
    },
  };
}

const REFUSED = utils.Err(utils.createStepError("conflict", {
  step: "orders.send",
  peer: "platform",
  message: "None of that kind is to be had.",
}));

// Guards against a second in which nothing starts in the place of servers that are not to be had.
tap.test("what is refused is replaced at once", async (t) => {
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

// Guards against orders that wait behind one that gets no answer.
tap.test("an order without an answer holds up no other one", async (t) => {
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
  t.equal(first.length, 1, "nor is it sent twice meanwhile");
  t.end();
});

// Guards against servers that are called off while an order for them, whose answer was lost, is carried out late.
tap.test("an order whose answer is lost is not taken for refused", async (t) => {
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
  t.notOk(after.some(({ spot, count }) => !spot && count > 0), "by others");
  t.end();
});

// Guards against seconds without servers or an order for any: a reclaim took those that had just been ordered, before all of them had started.
tap.test("what is lost while more start is ordered again at once", async (t) => {
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
  t.equal(round.sent.length, again, "once");
  t.end();
});

// Guards against a burst without servers where the one order for them was lost.
tap.test("an order whose answer is lost is sent once more", async (t) => {
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
  t.equal(round.sent.length, again, "until there is an answer");
  t.end();
});

// Guards against capacity that is missing once a failure domain is emptied, and against its own servers being called off meanwhile.
tap.test("what an emptied failure domain carried is ordered elsewhere at once", async (t) => {
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
    "its servers are used again",
  );
  t.end();
});
