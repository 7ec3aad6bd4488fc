/** Tests how hosts tell each other at once of requests that were in flight at lost servers. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import type * as core from "@banyangrade/core";
import * as suspectSpreading from "./suspect_spreading.ts";

const tap = tapModule.default;

/** Time in which a host has sent its news, in ms. */
const SENT_MS = 300;
/** Difference between the times of day and monotonic times of the hosts, in ms. */
const OFFSETS_MS = [1_000, 5_000] as const;

/** Starts the spreading of one host. */
function startSpreading(offsetMs: number) {
  const sent: string[] = [];
  const news: suspectSpreading.SpreadSuspects[] = [];
  const doubted = new Set<string>();
  const failure = { isDue: false };
  const spreading = new suspectSpreading.SuspectSpreading({
    log: utils.createLogger({ level: "silent" }),
    clock: utils.SYSTEM_CLOCK,
    clocks: { getTrueTime: () => utils.SYSTEM_CLOCK.now() + offsetMs },
    isDoubted: (server) => doubted.has(server),
    getContact: () => undefined,
    onContact: () => undefined,
    onSend: (text) => {
      if (failure.isDue) throw new Error("No message can be sent.");
      sent.push(text);
    },
    onNews: (one) => void news.push(one),
  });
  return { spreading, sent, news, doubted, failure };
}

const MARK: core.SuspectMark = { fingerprint: "f", server: "s1@1", at: 40 };

// Guards against hosts that hear of a request only after the servers that it ended
// are back, and against news that go round for ever.
tap.test("news of lost servers are passed on once by each host", async (t) => {
  const [one, other] = OFFSETS_MS.map(startSpreading);
  one.spreading.add([MARK]);
  one.spreading.add([MARK]);
  await utils.waitFor(SENT_MS);
  t.equal(one.sent.length, 1);
  const [text] = one.sent;
  other.spreading.accept(text);
  other.spreading.accept(text);
  const [{ marks: [{ at, ...mark }] }] = other.news;
  t.same(mark, { fingerprint: "f", server: "s1@1" });
  // The hosts' monotonic clocks differ as their times of day do here.
  t.ok(Math.abs((at ?? 0) - (40 + OFFSETS_MS[0] - OFFSETS_MS[1])) < 50);
  t.same(other.news.map(({ marks }) => marks.length), [1, 0]);
  await utils.waitFor(SENT_MS);
  t.equal(other.sent.length, 1);
  one.spreading.accept(other.sent[0]);
  await utils.waitFor(SENT_MS);
  t.equal(one.sent.length, 1, "not passed on again");
  one.spreading.stop();
  other.spreading.stop();
});

// Guards against a host that ends with all its requests because a message to other hosts throws.
tap.test("a message that throws does not end the host, and later ones are sent", async (t) => {
  const { spreading, sent, failure } = startSpreading(0);
  failure.isDue = true;
  spreading.add([MARK]);
  await utils.waitFor(SENT_MS);
  failure.isDue = false;
  spreading.add([{ ...MARK, server: "s2@1" }]);
  await utils.waitFor(SENT_MS);
  t.equal(sent.length, 1);
  spreading.stop();
});

// Guards against hosts that do not try a server which may only be out of reach of
// the host that lost it, or that go on refusing its requests.
tap.test("hosts are told of doubts and of wrong losses", async (t) => {
  const { spreading, sent, doubted } = startSpreading(0);
  spreading.add([MARK]);
  await utils.waitFor(SENT_MS);
  doubted.add(MARK.server);
  spreading.add([MARK]);
  spreading.addWrongLoss({ server: "s2@1", at: 60 });
  spreading.addAnswered({ fingerprint: "g", at: 70 });
  await utils.waitFor(SENT_MS);
  const messages = sent.map((text) =>
    utils.parseJson(text) as suspectSpreading.SpreadSuspects
  );
  t.match(messages.map(({ marks }) => marks), [
    [{ server: "s1@1" }],
    [{ server: "s1@1", doubtful: true }],
  ]);
  t.same(Object.keys(messages[1].wrongLosses), ["s2@1"]);
  t.same(Object.keys(messages[1].answered), ["g"]);
  spreading.stop();
});

// Guards against a host that ends or forgets because of what another one sends.
tap.test("malformed news are ignored", async (t) => {
  const { spreading, sent, news } = startSpreading(0);
  ["", "{}", "[1]", '{"marks":[{"server":1}],"wrongLosses":{}}'].forEach(
    (text) => spreading.accept(text),
  );
  await utils.waitFor(SENT_MS);
  t.same(news, []);
  t.same(sent, []);
  spreading.stop();
});
