/** Tests which host becomes the relay of a failure domain, and how many calls to the store its loss costs. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as testing from "./relay_testing.ts";

const tap = tapModule.default;

// Guards against a relay with a slow link although a host with a fast one starts
// at the same time.
tap.test("of hosts that start together the one with the larger link becomes relay", async (t) => {
  const memory = new testing.MemoryStore();
  const small = Object.fromEntries(
    Array.from({ length: 6 }, (_, index) => [`small-${index}`, 10]),
  );
  await testing.startRelayHosts(t, { memory, links: { ...small, large: 200 } });
  await testing.waitUntil(() => memory.getRelay() !== undefined);
  t.equal(memory.getRelay(), "large");
});

// Guards against a failure domain without a relay if all its hosts have slow links.
tap.test("a host with a small link becomes relay if it is alone", async (t) => {
  const memory = new testing.MemoryStore();
  const startedAt = utils.SYSTEM_CLOCK.now();
  const [host] = await testing.startRelayHosts(t, {
    memory,
    links: { small: 10 },
  });
  await testing.waitUntil(() => host.parts.relay.isRelay());
  t.ok(utils.SYSTEM_CLOCK.now() - startedAt < 1_500);
  // The first attempt takes up to 0.7 s; the next round of the lease holder must
  // not start before its end and give up the lease again.
  await utils.waitFor(1_000);
  t.ok(host.parts.relay.isRelay());
});

// Guards against calls to the store that pass by the counter.
tap.test("the metrics of a host count all its calls to the store", async (t) => {
  const memory = new testing.MemoryStore();
  const [host] = await testing.startRelayHosts(t, {
    memory,
    links: { a: undefined },
  });
  await testing.waitUntil(() => memory.countCalls({ from: 0 }).swap >= 2);
  await utils.waitFor(50);
  const { get, grant, swap } = memory.countCalls({ from: 0 });
  const text = await host.parts.metrics.registry.metrics();
  for (const [call, count] of Object.entries({ get, grant, swap })) {
    const line =
      `banyangrade_store_calls_total{call="${call}",outcome="ok"} ${count}`;
    t.ok(text.includes(line), line);
  }
});

/** Time in ms after its rejection until a relay is replaced and all hosts have fresh data again. */
const REPLACEMENT_MS = 5_500;
/** Time in ms until all hosts follow its successor; each looks for it every 3.5 s. */
const FOLLOWING_MS = 9_000;
/**
 * Largest number of calls that the hosts make within that time. 15 per second are
 * usual, and each follower calls the store by itself from 1.9 s after the rejection
 * until it has found the new relay, about two seconds later.
 */
const REPLACEMENT_CALLS = 350;

// Guards against a former relay that drops the only announcement of its successor
// because its own lease has not ended yet or its last round still counts as held.
tap.test("a relay keeps an announcement until its lease is lost", async (t) => {
  const memory = new testing.MemoryStore();
  const [former] = await testing.startRelayHosts(t, {
    memory,
    links: { former: undefined },
  });
  // Another store stands for the part of the store that still serves the successor.
  const [successor] = await testing.startRelayHosts(t, {
    memory: new testing.MemoryStore(),
    links: { successor: undefined },
  });
  await testing.waitUntil(() =>
    [former, successor].every(({ parts }) => parts.relay.isRelay())
  );
  former.parts.relay.acceptRelay({
    host: successor.name,
    incarnation: successor.parts.incarnation,
    contact: successor.parts.relay.getContact(),
  });
  t.equal(former.parts.relay.getFollowed(), undefined);
  t.ok(former.parts.relay.isRelay());
  memory.rejected.add(former.name);
  const lastRenewal = memory.calls
    .findLast(({ call }) => call === "renew" || call === "grant")?.at ?? 0;
  await testing.waitUntil(() => !former.parts.relay.isRelay());
  // The lease of 3 s is relied on for 2.6 s; a round runs every 0.75 s.
  const ms = utils.SYSTEM_CLOCK.now() - lastRenewal;
  t.ok(ms < 2_800, `held for ${ms} ms`);
  await utils.waitFor(1_000);
  t.equal(former.parts.relay.getFollowed()?.host, successor.name);
});

// Guards against a relay that the store rejects and that nobody replaces, because
// it goes on answering its followers: each of them would poll, publish and look for
// the role by itself for as long as the rejection lasts.
tap.test("a relay that the store rejects is replaced, also for rejected followers", async (t) => {
  const { memory, hosts, relay, now } = await testing.startFollowers(t);
  const rejected = hosts.filter((one) => one !== relay).slice(0, 8);
  [relay, ...rejected].forEach(({ name }) => memory.rejected.add(name));
  await testing.waitUntil(() => {
    const holder = memory.getRelay();
    return (holder !== undefined && holder !== relay.name) ||
      utils.SYSTEM_CLOCK.now() - now > REPLACEMENT_MS;
  });
  const replacedMs = Math.round(utils.SYSTEM_CLOCK.now() - now);
  await utils.waitFor(REPLACEMENT_MS - replacedMs);
  const successor = memory.getRelay();
  t.ok(successor !== undefined && !memory.rejected.has(successor));
  const stale = hosts.filter(({ parts }) => !parts.belief.isFresh());
  t.same(stale.map(({ name }) => name), [], "keys may be served at all hosts");
  const follows = () => testing.listFollowed(hosts).join() === successor;
  await testing.waitUntil(() =>
    follows() || utils.SYSTEM_CLOCK.now() - now > FOLLOWING_MS
  );
  t.ok(follows(), "all hosts follow the new relay");
  const calls = memory.countCalls({ from: now });
  t.comment(`replaced after ${replacedMs} ms`, JSON.stringify(calls));
  t.ok(calls.all <= REPLACEMENT_CALLS, `${calls.all} calls`);
  // The former relay must not draw its followers back when the store serves it.
  memory.rejected.clear();
  const until = utils.SYSTEM_CLOCK.now() + 3_000;
  while (utils.SYSTEM_CLOCK.now() < until) {
    await utils.waitFor(50);
    if (testing.listFollowed(hosts).join() !== successor) break;
  }
  t.same(testing.listFollowed(hosts), [successor]);
  t.equal(memory.getRelay(), successor);
});
