/** Tests how hosts together find servers that fail a part of their requests. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;

const HOSTS = 82;
const SERVERS = Array.from({ length: 100 }, (_, index) => ({
  name: `s${index}`,
  service: "model",
}));
const STATUS_MS = 1_000;

interface FaultOptions {
  /** Whether a request fails at a server. */
  readonly mayFail: (server: number, at: number) => number;
  readonly untilMs: number;
  /** Whether hosts exchange outcomes. @default true */
  readonly shares?: boolean;
  readonly seed?: number;
}

/** Simulates requests of all hosts at 533 per second; returns their servers, times and outcomes. */
function simulate({ mayFail, untilMs, shares = true, seed }: FaultOptions) {
  const random = utils.createRandom(utils.hashSeed(`shares ${seed}`));
  const hosts = Array.from({ length: HOSTS }, () => new core.FailureShares());
  const ended: { server: number; at: number; failed: boolean }[] = [];
  const chooseServer = (host: number, now: number) => {
    const limited = hosts[host].listLimited(now);
    for (;;) {
      const server = random.below(SERVERS.length);
      const success = limited.get(SERVERS[server].name) ?? 1;
      if (random.next() < success) return server;
    }
  };
  for (let now = 0; now < untilMs; now += 15) {
    for (let count = 0; count < 8; count += 1) {
      const host = random.below(HOSTS);
      const server = chooseServer(host, now);
      const failed = random.next() < mayFail(server, now);
      ended.push({ server, at: now, failed });
      hosts[host].record({ ...SERVERS[server], failed }, now);
    }
    if (!shares || now % STATUS_MS >= 15) continue;
    const outcomes = hosts.map((host) => host.list(now));
    hosts.forEach((host, index) => {
      const others = outcomes.filter((_, other) => other !== index);
      host.update(core.sumOutcomes(others), { servers: SERVERS, now });
    });
  }
  return { ended, hosts };
}

function isFailing(server: number, at: number): boolean {
  return server < 14 && at >= 3_000 && at < 9_500;
}

function countFailed(
  ended: readonly { readonly at: number; readonly failed: boolean }[],
): number {
  return ended.filter(({ at, failed }) => failed && at >= 5_000 && at < 9_500)
    .length;
}

/** Guards against engines that fail 45 % of their requests for seconds while no host sees enough failures to eject them. */
tap.test("servers that fail over all hosts get fewer requests, and all again when they recover", (t) => {
  const mayFail = (server: number, at: number) =>
    isFailing(server, at) ? 0.45 : 0.002;
  const seeds = [1, 2, 3];
  const [before, after] = [false, true].map((shares) =>
    seeds.reduce(
      (sum, seed) =>
        sum +
        countFailed(simulate({ mayFail, untilMs: 9_500, shares, seed }).ended),
      0,
    )
  );
  t.comment(`failed from 2 s after the beginning: ${before}, then ${after}`);
  t.ok(after < 0.75 * before, `${after} of ${before}`);
  const { ended, hosts } = simulate({ mayFail, untilMs: 18_000, seed: 1 });
  t.ok(hosts.every((host) => host.listLimited(17_990).size === 0));
  const late = ended.filter(({ at }) => at >= 15_000);
  const share = late.filter(({ server }) => server < 14).length / late.length;
  t.ok(share > 0.11, `${share}`);
  t.end();
});

/** Guards against a host that cannot reach a server and takes it from all others. */
tap.test("a server is limited only if two hosts see it fail", (t) => {
  const outcome = {
    servers: { s0: [9, 9] as const },
    services: { model: [500, 9] as const },
  };
  const findLimited = (hosts: readonly core.HostOutcomes[]) => {
    const shares = new core.FailureShares();
    shares.update(core.sumOutcomes(hosts), { servers: SERVERS, now: 0 });
    return [...shares.listLimited(0)];
  };
  t.same(findLimited([outcome]), []);
  t.same(findLimited([outcome, outcome]), [["s0", 1 / 20]]);
  const own = new core.FailureShares();
  for (let count = 0; count < 20; count += 1) {
    own.record({ ...SERVERS[0], failed: true }, 0);
  }
  own.update(core.sumOutcomes([]), { servers: SERVERS, now: 0 });
  t.same([...own.listLimited(0)], []);
  t.end();
});

// Guards against a limit that a single host keeps up, which cannot reach the server
// for longer than the others.
tap.test("a limit ends when only one host still sees failures", (t) => {
  const outcome = {
    servers: { s0: [9, 9] as const },
    services: { model: [500, 9] as const },
  };
  const shares = new core.FailureShares();
  const countLimited = (hosts: readonly core.HostOutcomes[]) => {
    shares.update(core.sumOutcomes(hosts), { servers: SERVERS, now: 0 });
    return shares.listLimited(0).size;
  };
  t.equal(countLimited([outcome, outcome]), 1);
  t.equal(countLimited([outcome]), 0);
  t.end();
});

/**
 * Guards against a host that cannot reach a server, or reports implausible counts,
 * and takes the server from all others because another host saw one failure.
 */
tap.test("many failures at one host and one at another do not limit a server", (t) => {
  const one: core.HostOutcomes = {
    servers: { s0: [1, 0.9] },
    services: { model: [500, 1] },
  };
  const findLimited = (other: core.HostOutcomes) => {
    const shares = new core.FailureShares();
    const outcomes = core.sumOutcomes([one, other]);
    shares.update(outcomes, { servers: SERVERS, now: 0 });
    return shares.listLimited(0).size;
  };
  const services = { model: [500, 12] as const };
  t.equal(findLimited({ servers: { s0: [12, 12] }, services }), 0);
  t.equal(findLimited({ servers: { s0: [10_000, 10_000] }, services }), 0);
  t.equal(findLimited({ servers: { s0: [2, 2] }, services }), 0);
  const own = new core.FailureShares();
  for (let count = 0; count < 12; count += 1) {
    own.record({ ...SERVERS[0], failed: true }, 0);
  }
  own.update(core.sumOutcomes([one]), { servers: SERVERS, now: 0 });
  t.equal(own.listLimited(0).size, 0);
  t.end();
});

/** Guards against a host whose implausible count for a service ends all limits of its servers. */
tap.test("an implausible count of successes does not end a limit", (t) => {
  const failing: core.HostOutcomes = {
    servers: { s0: [9, 9] },
    services: { model: [500, 9] },
  };
  const broken = { servers: {}, services: { model: [10_000, 0] as const } };
  const shares = new core.FailureShares();
  const outcomes = core.sumOutcomes([failing, failing, broken]);
  shares.update(outcomes, { servers: SERVERS, now: 0 });
  t.equal(shares.listLimited(0).size, 1);
  t.end();
});

/**
 * Guards against a slow engine that fails and is not limited, because it gets
 * fewer requests than the mean, and against one that is limited although it fails
 * few of its requests, because other engines are ejected and it gets theirs.
 */
tap.test("slow servers are limited by the share of their own requests that fail", (t) => {
  const findLimited = (
    { failed, weights }: {
      readonly failed: number;
      readonly weights: readonly number[];
    },
  ) => {
    const host: core.HostOutcomes = {
      servers: { s0: [failed, failed] },
      services: { model: [50, failed] },
    };
    const shares = new core.FailureShares();
    const servers = weights.map((weight, index) => ({
      ...SERVERS[index],
      weight,
    }));
    const outcomes = core.sumOutcomes([host, host, host]);
    shares.update(outcomes, { servers, now: 0 });
    return shares.listLimited(0).get("s0");
  };
  const others = Array.from({ length: 9 }, () => 1);
  // A server of mean speed gets 15 of 150 requests, one of half the speed about 8.
  const fast = findLimited({ failed: 2.4, weights: [1, ...others] });
  const slow = findLimited({ failed: 1.2, weights: [0.5, ...others] });
  t.ok(fast !== undefined && slow !== undefined);
  t.ok(Math.abs((fast ?? 0) - (slow ?? 0)) < 0.05, `${fast} and ${slow}`);
  t.equal(findLimited({ failed: 1.2, weights: [1, ...others] }), undefined);
  const ejected = [...Array(10).fill(0), ...others];
  t.equal(findLimited({ failed: 2.4, weights: [1, ...ejected] }), fast);
  t.equal(findLimited({ failed: 1.2, weights: [1, ...ejected] }), undefined);
  t.end();
});

/** Guards against hosts that avoid servers because of a fault that all servers share. */
tap.test("servers that fail alike are not limited", (t) => {
  const mayFail = (_: number, at: number) => at >= 2_000 ? 0.5 : 0;
  const { hosts } = simulate({ mayFail, untilMs: 6_000 });
  t.ok(hosts.every((host) => host.listLimited(5_990).size === 0));
  t.end();
});

/** Guards against a host whose counts are not plausible, hosts of an earlier version, and outcomes that are too old. */
tap.test("implausible counts are dropped, and limits end without new outcomes", (t) => {
  const valid = {
    servers: { s0: [9, 9] as const },
    services: { model: [500, 9] as const },
  };
  const broken = [[9, Infinity], [1e9, 9], [3, 9], [9, -1], ["9", 9], 9, null];
  const shared = core.sumOutcomes([
    valid,
    ...broken.map((count) => {
      const table = { s0: count, s1: count };
      return {
        servers: table,
        services: table,
      } as unknown as core.HostOutcomes;
    }),
  ]);
  const shapes = [5, {}, { servers: null }, {
    servers: { s0: null },
    services: 7,
  }];
  shapes.forEach((shape) => {
    const outcomes = shape as unknown as core.SharedOutcomes;
    const merged = core.mergeOutcomes([outcomes, shared]);
    t.same(merged, shared);
    const host = shape as unknown as core.HostOutcomes;
    t.same(core.sumOutcomes([host]), { servers: {}, services: {} });
  });
  t.same(shared, {
    servers: { s0: { ended: 9, failed: 9, hosts: 1, counted: 2 } },
    services: valid.services,
  });
  const { outcomes } = core.mergeSummaries([
    core.EMPTY_SUMMARY,
    { ...core.EMPTY_SUMMARY, outcomes: shared },
    { ...core.EMPTY_SUMMARY, outcomes: shared },
  ]);
  t.match(outcomes?.servers, {
    s0: { ended: 18, failed: 18, hosts: 2, counted: 4 },
  });
  const shares = new core.FailureShares();
  shares.update(outcomes ?? shared, { servers: SERVERS, now: 0 });
  t.equal(shares.listLimited(2_999).size, 1);
  t.equal(shares.listLimited(3_000).size, 0);
  t.end();
});

/** Guards against requests that wait although a server that fails some requests has room. */
tap.test("a limited server gets a part of the requests, and all that no other has room for", (t) => {
  const counts = Array.from({ length: 40 }, (_, seed) => {
    const dispatcher = testing.startDispatcher({ seed });
    const servers = ["r1", "r2", "r3", "r4"].map((name): core.ServerInfo => ({
      name,
      pool: "rooms",
      url: "",
      state: "live",
    }));
    dispatcher.handle({ kind: "servers_changed", servers }, 0);
    dispatcher.handle({
      kind: "load_shared",
      running: {},
      prompting: {},
      hosts: 3,
      asOf: 0,
      outcomes: {
        servers: { r1: { ended: 10, failed: 9, hosts: 2 } },
        services: { rooms: [80, 9] },
      },
    }, 0);
    const ids = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const names = ids.flatMap((id) => {
      const request = testing.buildRequest(id, { tier: 1 });
      return dispatcher.handle({ kind: "arrived", request }, 0)
        .flatMap((effect) =>
          effect.kind === "start" ? [effect.server.name] : []
        );
    });
    t.equal(names.length, 8);
    return names.slice(0, 4).filter((name) => name === "r1").length;
  });
  const limited = counts.reduce((sum, count) => sum + count, 0);
  t.ok(limited < 30, `${limited} of 160`);
  t.end();
});

/** Guards against a server that is limited because it gets the requests of ejected ones. */
tap.test("the share of a server that fails is measured among servers in use", (t) => {
  const listStarted = (failed: number) =>
    Array.from({ length: 40 }, (_, seed) => {
      const dispatcher = testing.startDispatcher({ seed });
      const servers = Array.from(
        { length: 8 },
        (_, index): core.ServerInfo => ({
          name: `r${index + 1}`,
          pool: "rooms",
          url: "",
          state: "live",
        }),
      );
      dispatcher.handle({ kind: "servers_changed", servers }, 0);
      dispatcher.inspect().servers
        .filter(({ info }) => Number(info.name.slice(1)) > 4)
        .forEach((server) => void (server.ejectedUntil = 1_000));
      dispatcher.handle({
        kind: "load_shared",
        running: {},
        prompting: {},
        hosts: 3,
        asOf: 0,
        outcomes: {
          servers: { r1: { ended: failed, failed, hosts: 4 } },
          services: { rooms: [60, failed] },
        },
      }, 0);
      return ["a", "b", "c"].flatMap((id) => {
        const request = testing.buildRequest(id, { tier: 1 });
        return dispatcher.handle({ kind: "arrived", request }, 0)
          .flatMap((effect) =>
            effect.kind === "start" ? [effect.server.name] : []
          );
      });
    });
  // 4 of about 15 attempts fail, and 8 of them.
  t.same(listStarted(4), listStarted(0));
  t.notSame(listStarted(8), listStarted(0));
  t.end();
});

/** Guards against a fault of one service that changes the choices at another. */
tap.test("a limited server of one service changes no choice at another", (t) => {
  const other = { ...testing.POOL, name: "others", targets: ["others"] };
  const listStarted = (failed: number) => {
    const pools = [{ ...testing.POOL, slots: 40 }, other];
    const dispatcher = testing.startDispatcher({ pools });
    const servers = Array.from({ length: 10 }, (_, index): core.ServerInfo => ({
      name: index < 2 ? `r${index}` : `o${index}`,
      pool: index < 2 ? "rooms" : "others",
      url: "",
      state: "live",
    }));
    dispatcher.handle({ kind: "servers_changed", servers }, 0);
    dispatcher.handle({
      kind: "load_shared",
      running: {},
      prompting: {},
      hosts: 3,
      asOf: 0,
      outcomes: {
        servers: { o2: { ended: failed, failed, hosts: 4 } },
        services: { others: [80, failed] },
      },
    }, 0);
    return Array.from({ length: 60 }, (_, index) => {
      const request = testing.buildRequest(`n${index}`, { tier: 1 });
      return dispatcher.handle({ kind: "arrived", request }, 0)
        .flatMap((effect) =>
          effect.kind === "start" ? [effect.server.name] : []
        );
    });
  };
  // About 10 of 80 attempts are made at each of the eight other servers.
  t.same(listStarted(11), listStarted(0));
  t.end();
});
