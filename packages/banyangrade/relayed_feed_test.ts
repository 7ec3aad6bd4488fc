/** Following the store by way of a relay: ages, losses, and what is answered. */
import * as tapModule from "tap";
import type * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as relayedFeed from "./routed/relayed_feed.ts";

const tap = tapModule.default;
const PREFIX = "servers/";
const LOST = utils.createStepError("unreachable", {
  step: "store.poll",
  peer: "store",
  message: "No answer.",
});

interface World {
  readonly clock: utils.VirtualClock;
  /** What the store answers to polls. */
  changes: utils.Result<store.Changes, utils.StepError>;
  /** What the relay answers to any call; undefined for no relay. */
  relayed: peer.RelayedChanges | peer.RelayedSnapshot | undefined;
  /** Calls that reached the store. */
  readonly asked: string[];
}

function buildWorld(): World {
  return {
    clock: utils.createVirtualClock(),
    changes: utils.Ok({ changes: [], revision: 5 }),
    relayed: undefined,
    asked: [],
  };
}

function buildFeed(world: World): relayedFeed.RelayedFeed {
  return new relayedFeed.RelayedFeed({
    feed: {
      readAll: () => {
        world.asked.push("readAll");
        return Promise.resolve(utils.Ok({ entries: [], revision: 5 }));
      },
      pollChanges: () => {
        world.asked.push("poll");
        return Promise.resolve(world.changes);
      },
    },
    relay: {
      callRelay: <Answer>() =>
        Promise.resolve(world.relayed as Answer | undefined),
    },
    clock: world.clock,
  });
}

const poll = (feed: relayedFeed.RelayedFeed) =>
  feed.pollChanges(PREFIX, { after: 5, waitMs: 0 });

tap.test("with a relay that has recent word the store is not asked", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  world.relayed = { kind: "changes", changes: [], revision: 5, ageMs: 800 };
  const polled = await poll(feed);
  t.match(polled, { ok: true, val: { ageMs: 800 } });
  t.same(world.asked, []);
});

// The relay is gone. Its followers must not stay without word until another
// host has its lease.
tap.test("without a relay the store is asked", async (t) => {
  const world = buildWorld();
  t.ok((await poll(buildFeed(world))).ok);
  t.same(world.asked, ["poll"]);
});

// The relay alone is cut off from the store. A key may have been withdrawn, or a
// route, that it does not know of: its followers go to the store at once.
// Guards against a failure domain whose hosts all ask five times a second: their relay ended while the store was away.
tap.test("without a relay a store that fails is asked seldom, and again", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  world.changes = utils.Err(LOST);
  for (let now = 0; now < 3_000; now += 200) {
    t.ok((await poll(feed)).err);
    world.clock.advance(200);
  }
  t.equal(world.asked.length, 6);
  world.changes = utils.Ok({ changes: [], revision: 5 });
  world.clock.advance(600);
  t.ok((await poll(feed)).ok);
  t.ok((await poll(feed)).ok, "and not seldom once it answers");
  t.equal(world.asked.length, 8);
});

// Guards against a change that is heard late because one poll was cut, or because the store had dropped its history.
tap.test("one poll that fails is repeated at once, and so is what was dropped", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  world.changes = utils.Err(LOST);
  t.ok((await poll(feed)).err);
  world.changes = utils.Ok({ changes: [], revision: 5 });
  t.ok((await poll(feed)).ok);
  world.changes = utils.Err({ ...LOST, code: "not_found" });
  t.ok((await poll(feed)).err);
  t.ok((await poll(feed)).err);
  t.equal(world.asked.length, 4);
});

tap.test("a relay without recent word is not relied on", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  world.relayed = { kind: "unready" };
  t.ok((await poll(feed)).ok);
  t.same(world.asked, ["poll"]);
  // Both have none: the failure counts, as it would without a relay, and the
  // store is not asked again at once by each of sixty hosts.
  world.changes = utils.Err(LOST);
  t.ok((await poll(feed)).err);
  t.ok((await poll(feed)).err);
  t.same(world.asked, ["poll", "poll"]);
  world.clock.advance(1_600);
  t.ok((await poll(feed)).err);
  t.same(world.asked, ["poll", "poll", "poll"]);
  // The relay has word before this host.
  world.relayed = { kind: "changes", changes: [], revision: 5, ageMs: 100 };
  t.match(await poll(feed), { ok: true, val: { ageMs: 100 } });
  t.equal(world.asked.length, 3);
});

// A relay is cut off without notice while followers wait at it: each of them
// would wait on, and the change that came meanwhile not be in force in time.
tap.test("a wait ends when the relay's own word grows old", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  await feed.readAll(PREFIX);
  const answer = feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 60_000 });
  world.clock.advance(2_000);
  t.same(await answer, { kind: "unready" });
  t.same(feed.answerReadAll(PREFIX), { kind: "unready" });
});

tap.test("a relay that has not read a prefix says so", async (t) => {
  const feed = buildFeed(buildWorld());
  t.same(feed.answerReadAll(PREFIX), { kind: "unready" });
  t.same(
    await feed.answerPoll({ prefix: PREFIX, after: 0, waitMs: 0 }),
    { kind: "unready" },
  );
});

// Ages add up over relays: the word of a follower that answers as a relay is as
// old as that of the relay it had it from, and older by what has passed since.
tap.test("a proof does not become newer on its way", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  world.relayed = { kind: "snapshot", entries: [], revision: 5, ageMs: 900 };
  await feed.readAll(PREFIX);
  world.clock.advance(200);
  const answer = await feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 0 });
  t.match(answer, { kind: "changes", ageMs: 1_100 });
});

// A call is kept while a change comes. The age is that at the call's arrival,
// from which its sender reckons, so the wait makes no word newer than it is.
tap.test("a change ends the wait, and the age is that of the call", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  await feed.readAll(PREFIX);
  world.clock.advance(100);
  const answer = feed.answerPoll({ prefix: PREFIX, after: 5, waitMs: 60_000 });
  world.clock.advance(400);
  const entry = { key: "servers/a", value: "{}", modRevision: 6 };
  world.changes = utils.Ok({ changes: [{ kind: "put", entry }], revision: 6 });
  await poll(feed);
  t.match(await answer, {
    kind: "changes",
    changes: [{ kind: "put", entry }],
    ageMs: -400,
  });
});

tap.test("who is behind what is remembered reads in full", async (t) => {
  const world = buildWorld();
  const feed = buildFeed(world);
  await feed.readAll(PREFIX);
  t.same(
    await feed.answerPoll({ prefix: PREFIX, after: 4, waitMs: 0 }),
    { kind: "gone" },
  );
  world.relayed = { kind: "gone" };
  t.match(await poll(feed), { err: true, val: { code: "not_found" } });
});
