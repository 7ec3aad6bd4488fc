/** Following the store through a relay: age of the data, failures, and answers to followers. */
import * as tapModule from "tap";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as relayedFeed from "./gateway/relayed_feed.ts";

const tap = tapModule.default;
const PREFIX = "servers/";
const LOST = utils.createStepError("unreachable", {
  step: "store.poll",
  peer: "store",
  message: "No answer.",
});

interface Fixture {
  readonly clock: utils.VirtualClock;
  /** Response of the store to polls. */
  changes: utils.Result<store.Changes, utils.StepError>;
  /** Response of the relay to any call; undefined for no relay. */
  relayed: peer.RelayedChanges | peer.RelayedSnapshot | undefined;
  /** Calls that reached the store. */
  readonly storeCalls: string[];
  /** Longest waits of the polls that reached the store, in ms. */
  readonly waits: number[];
  /** Time after which the store's polls end, in ms. */
  delayMs: number;
}

function buildFixture(): Fixture {
  return {
    clock: utils.createVirtualClock(),
    changes: utils.Ok({ changes: [], revision: 5 }),
    relayed: undefined,
    storeCalls: [],
    waits: [],
    delayMs: 0,
  };
}

function buildFeed(fixture: Fixture): relayedFeed.RelayedFeed {
  return new relayedFeed.RelayedFeed({
    feed: {
      readAll: () => {
        fixture.storeCalls.push("readAll");
        return Promise.resolve(utils.Ok({ entries: [], revision: 5 }));
      },
      pollChanges: (_, { waitMs }) => {
        fixture.storeCalls.push("poll");
        fixture.waits.push(waitMs);
        fixture.clock.advance(fixture.delayMs);
        return Promise.resolve(fixture.changes);
      },
    },
    relay: {
      callRelay: <Answer>() =>
        Promise.resolve(fixture.relayed as Answer | undefined),
    },
    clock: fixture.clock,
  });
}

const poll = (feed: relayedFeed.RelayedFeed) =>
  feed.pollChanges(PREFIX, { after: 5, waitMs: 0 });

tap.test("with a relay whose data is fresh the store is not polled", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.relayed = { kind: "changes", changes: [], revision: 5, ageMs: 800 };
  const polled = await poll(feed);
  t.match(polled, { ok: true, val: { ageMs: 800 } });
  t.same(fixture.storeCalls, []);
});

// The relay is gone. Its followers must not stay without updates until another
// host has acquired the lease.
tap.test("without a relay the store is polled directly", async (t) => {
  const fixture = buildFixture();
  t.ok((await poll(buildFeed(fixture))).ok);
  t.same(fixture.storeCalls, ["poll"]);
});

// The relay stops during an outage of the store. Without a backoff, all hosts of
// its failure domain poll the store five times a second.
tap.test("without a relay a failing store is polled with a backoff, and normally once it answers", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.changes = utils.Err(LOST);
  for (let now = 0; now < 3_000; now += 200) {
    t.ok((await poll(feed)).err);
    fixture.clock.advance(200);
  }
  t.equal(fixture.storeCalls.length, 6);
  fixture.changes = utils.Ok({ changes: [], revision: 5 });
  fixture.clock.advance(600);
  t.ok((await poll(feed)).ok);
  t.ok((await poll(feed)).ok, "without a backoff once it answers");
  t.equal(fixture.storeCalls.length, 8);
});

// A single interrupted poll, or a compaction of the store's history, is no outage.
// A backoff would delay the next change.
tap.test("a single failed poll and a compacted history cause no backoff", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.changes = utils.Err(LOST);
  t.ok((await poll(feed)).err);
  fixture.changes = utils.Ok({ changes: [], revision: 5 });
  t.ok((await poll(feed)).ok);
  fixture.changes = utils.Err({ ...LOST, code: "not_found" });
  t.ok((await poll(feed)).err);
  t.ok((await poll(feed)).err);
  t.equal(fixture.storeCalls.length, 4);
});

// Guards against a follower that runs out of memory because its relay, of an earlier version, keeps entries of any size.
tap.test("what a relay sends is bounded like what the store sends", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  const long = { key: "servers/long", modRevision: 4, value: "x".repeat(1e6) };
  const sound = { key: "servers/sound", modRevision: 3, value: "{}" };
  const { take } = new store.EntryIntake();
  fixture.relayed = {
    kind: "snapshot",
    entries: [sound, long],
    revision: 5,
    ageMs: 0,
  };
  t.match(await feed.readAll(PREFIX, { take }), {
    ok: true,
    val: { entries: [sound] },
  });
  t.match(feed.answerReadAll(PREFIX), { entries: { length: 1 } });
  fixture.relayed = {
    kind: "changes",
    changes: [{ kind: "put", entry: { ...long, key: "servers/sound" } }],
    revision: 6,
    ageMs: 0,
  };
  const polled = await feed.pollChanges(PREFIX, { after: 5, waitMs: 0, take });
  t.match(polled, { val: { changes: [{ kind: "deleted" }] } });
  t.match(feed.answerReadAll(PREFIX), { entries: { length: 0 } });
});

// Guards against a relay that runs out of memory because all hosts that start read in full from it at once.
tap.test("a relay answers full reads up to a size at a time, and refers others to the store", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  const entries = Array.from({ length: 100 }, (_, index) => ({
    key: `servers/${index}`,
    modRevision: index,
    value: "x".repeat(20_000),
  }));
  fixture.relayed = { kind: "snapshot", entries, revision: 5, ageMs: 0 };
  await feed.readAll(PREFIX);
  const ask = () =>
    Array.from({ length: 100 }, () => feed.answerReadAll(PREFIX).kind);
  const first = ask();
  t.equal(first.filter((kind) => kind === "snapshot").length, 8);
  t.equal(first.filter((kind) => kind === "busy").length, 92);
  fixture.clock.advance(1_000);
  t.ok(ask().includes("snapshot"));
});

// Guards against a follower that takes such an answer for an empty list.
tap.test("a follower of a busy relay reads the store", async (t) => {
  const fixture = buildFixture();
  fixture.relayed = { kind: "busy" };
  t.ok((await buildFeed(fixture).readAll(PREFIX)).ok);
  t.same(fixture.storeCalls, ["readAll"]);
});

// Only the relay is cut off from the store, so it may miss that a key was
// withdrawn or a route removed: its followers poll the store at once.
tap.test("a relay whose data is stale is bypassed", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.relayed = { kind: "unready" };
  t.ok((await poll(feed)).ok);
  t.same(fixture.storeCalls, ["poll"]);
  // Relay and follower have both lost the store: the failure starts a backoff, so
  // that sixty hosts do not all poll the store again at once.
  fixture.changes = utils.Err(LOST);
  t.ok((await poll(feed)).err);
  t.ok((await poll(feed)).err);
  t.same(fixture.storeCalls, ["poll", "poll"]);
  fixture.clock.advance(1_600);
  t.ok((await poll(feed)).err);
  t.same(fixture.storeCalls, ["poll", "poll", "poll"]);
  // The relay reaches the store again before this host does.
  fixture.relayed = { kind: "changes", changes: [], revision: 5, ageMs: 100 };
  t.match(await poll(feed), { ok: true, val: { ageMs: 100 } });
  t.equal(fixture.storeCalls.length, 3);
});

// Guards against a server that gets requests after it left: the host's own connection broke once while its relay had lost the store, and the host took both for an outage of the store.
tap.test("a poll that is interrupted beside an unready relay is repeated at once", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  const longPoll = () => feed.pollChanges(PREFIX, { after: 5, waitMs: 1_000 });
  fixture.relayed = { kind: "unready" };
  fixture.changes = utils.Err({ ...LOST, code: "unknown_outcome" });
  t.ok((await longPoll()).err);
  fixture.changes = utils.Ok({ changes: [], revision: 5 });
  t.ok((await longPoll()).ok);
  t.same(fixture.waits, [1_000, 0]);
  // A second failure is an outage, and so is a poll that the store did not answer.
  fixture.changes = utils.Err({ ...LOST, code: "unknown_outcome" });
  t.ok((await longPoll()).err);
  t.ok((await longPoll()).err);
  t.ok((await longPoll()).err);
  t.equal(fixture.storeCalls.length, 4);
  fixture.clock.advance(1_600);
  fixture.changes = utils.Ok({ changes: [], revision: 5 });
  t.ok((await longPoll()).ok);
  fixture.delayMs = 1_000;
  fixture.changes = utils.Err({ ...LOST, code: "unknown_outcome" });
  t.ok((await longPoll()).err);
  t.ok((await longPoll()).err);
  t.equal(fixture.storeCalls.length, 6);
});

// Guards against followers that all go to a slow store: its answers let the relay's data grow older than it may be.
tap.test("polls of a slow store wait less for a change", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  const pollFor = (waitMs: number) =>
    feed.pollChanges(PREFIX, { after: 5, waitMs });
  await pollFor(800);
  fixture.delayMs = 1_200;
  await pollFor(800);
  for (let poll = 0; poll < 30; poll += 1) {
    fixture.delayMs = (fixture.waits.at(-1) ?? 0) + 400;
    await pollFor(800);
  }
  const waitMs = fixture.waits.at(-1) ?? 0;
  t.ok(2 * (waitMs + 400) <= 1_900, `two polls with a wait of ${waitMs} ms`);
  await pollFor(3_000);
  t.equal(fixture.waits.at(-1), 3_000, "but those that prove nothing else");
});

// A relay silently loses the store during the long polls of its followers. If they
// kept waiting, a change in the meantime would not be applied in time.
tap.test("a long poll ends when the relay's own data becomes stale", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  await feed.readAll(PREFIX);
  const answer = feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 60_000 });
  fixture.clock.advance(2_000);
  t.same(await answer, { kind: "unready" });
  t.same(feed.answerReadAll(PREFIX), { kind: "unready" });
});

tap.test("a relay that has not read a prefix answers that it is not ready", async (t) => {
  const feed = buildFeed(buildFixture());
  t.same(feed.answerReadAll(PREFIX), { kind: "unready" });
  t.same(
    await feed.answerPoll({ prefix: PREFIX, after: 0, waitMs: 0 }),
    { kind: "unready" },
  );
});

// A follower that becomes the relay answers from data that it got from another
// relay. Its age is that at the other relay plus the time since; without this sum
// old data would appear new.
tap.test("relayed data does not appear newer than it is", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.relayed = { kind: "snapshot", entries: [], revision: 5, ageMs: 900 };
  await feed.readAll(PREFIX);
  fixture.clock.advance(200);
  const answer = await feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 0 });
  t.match(answer, { kind: "changes", ageMs: 1_100 });
});

// A long poll is held until a change comes. The follower counts the age from the
// time of the call, so an age taken after the wait would be wrong by that wait.
tap.test("a change ends the long poll, and the age is that at the call's arrival", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  await feed.readAll(PREFIX);
  fixture.clock.advance(100);
  const answer = feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 60_000 });
  fixture.clock.advance(400);
  const entry = { key: "servers/a", value: "{}", modRevision: 6 };
  fixture.changes = utils.Ok({
    changes: [{ kind: "put", entry }],
    revision: 6,
  });
  await poll(feed);
  t.match(await answer, {
    kind: "changes",
    changes: [{ kind: "put", entry }],
    ageMs: -400,
  });
});

tap.test("a follower whose revision precedes the relay's history is told to read in full", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  await feed.readAll(PREFIX);
  t.same(
    await feed.answerPoll({ prefix: PREFIX, after: 4, waitMs: 0 }),
    { kind: "gone" },
  );
  fixture.relayed = { kind: "gone" };
  t.match(await poll(feed), { err: true, val: { code: "not_found" } });
});

// Guards against a relay that stays unready for the length of a long poll after
// the store serves it again, so that its followers call the store or replace it.
tap.test("the first poll after a failure does not wait for a change", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  const pollLong = () => feed.pollChanges(PREFIX, { after: 5, waitMs: 800 });
  fixture.changes = utils.Err(LOST);
  t.ok((await pollLong()).err);
  fixture.changes = utils.Ok({ changes: [], revision: 5 });
  t.ok((await pollLong()).ok);
  t.ok((await pollLong()).ok);
  t.same(fixture.waits, [800, 0, 800]);
});

// Guards against a host that calls its relay without pause, as fast as the relay
// answers, while the relay's answers prove no fresh data.
tap.test("polls of a relay without fresh data are 50 ms apart", async (t) => {
  const fixture = buildFixture();
  const feed = buildFeed(fixture);
  fixture.relayed = { kind: "changes", changes: [], revision: 5, ageMs: 5_000 };
  const start = performance.now();
  t.ok((await poll(feed)).ok);
  t.ok(performance.now() - start < 40, "the first poll is sent at once");
  for (let count = 0; count < 4; count += 1) await poll(feed);
  const ms = performance.now() - start;
  t.ok(ms >= 190, `five polls took ${ms} ms`);
});
