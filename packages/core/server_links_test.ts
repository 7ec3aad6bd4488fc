/** Tests of the rules by which a host has lost its links to the servers. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";

const tap = tapModule.default;

const SERVERS = ["s1", "s2", "s3", "s4", "s5", "s6"];

/** Records connection attempts, one after another, and returns the changes. */
function recordAll(
  links: core.ServerLinks,
  { outcomes, at = 0, servers = SERVERS.length }: {
    readonly outcomes: Readonly<Record<string, boolean>>;
    readonly at?: number;
    readonly servers?: number;
  },
) {
  return Object.entries(outcomes).flatMap(([server, reachable]) =>
    links.recordConnection(server, { reachable, servers, now: at }) ?? []
  );
}

function drawTrials(links: core.ServerLinks, now: number): string[] {
  const random = utils.createRandom(1);
  return links.drawTrials(SERVERS, { random, now });
}

// Guards against a host that takes the end of one server for the loss of its links.
tap.test("links are lost once most servers are unreachable", (t) => {
  const links = new core.ServerLinks();
  t.same(recordAll(links, { outcomes: { s1: false, s2: true } }), []);
  t.same(recordAll(links, { outcomes: { s3: false } }), []);
  t.equal(links.isLost(), false);
  t.same(recordAll(links, { outcomes: { s4: false, s5: false } }), ["lost"]);
  t.equal(links.isLost(), true);
  t.end();
});

// Guards against a host that finds out too late, because it reached servers just before.
tap.test("links that worked until now are lost with the third server", (t) => {
  const links = new core.ServerLinks();
  const before = { s1: true, s2: true, s3: true, s4: true };
  recordAll(links, { outcomes: before });
  const outcomes = { s1: false, s2: false, s3: false };
  t.same(recordAll(links, { outcomes, at: 900 }), ["lost"]);
  t.end();
});

// Guards against a sound server that is silent for a second and counts as a failure
// of the links.
tap.test("silent servers that accept connections are no loss", (t) => {
  const links = new core.ServerLinks();
  links.recordSilence("s1", 0);
  t.same(drawTrials(links, 0), []);
  links.recordSilence("s2", 100);
  const tried = drawTrials(links, 100);
  t.equal(tried.length, 3);
  const outcomes = Object.fromEntries(tried.map((server) => [server, true]));
  t.same(recordAll(links, { outcomes, at: 110 }), []);
  t.equal(links.isLost(), false);
  t.end();
});

// Guards against trials that cost more than the requests: few in a round, and one
// round at a time.
tap.test("trials are few and end with the suspicion", (t) => {
  const links = new core.ServerLinks();
  links.recordSilence("s1", 0);
  links.recordSilence("s2", 0);
  t.equal(drawTrials(links, 0).length, 3);
  t.same(drawTrials(links, 400), []);
  t.equal(drawTrials(links, 500).length, 3);
  links.recordData("s1", 600);
  t.same(drawTrials(links, 1_000), []);
  recordAll(links, { outcomes: { s1: false, s2: false }, at: 1_000 });
  t.equal(links.isLost(), true);
  t.equal(drawTrials(links, 1_000).length, 2);
  t.end();
});

// Guards against a return on the first server that answers, and against a rush of
// all requests at once.
tap.test("links are restored by two servers, and requests return gradually", (t) => {
  const links = new core.ServerLinks();
  t.equal(links.getOwnShare(0), 1);
  recordAll(links, { outcomes: { s1: false, s2: false } });
  t.equal(links.getOwnShare(0), 0);
  recordAll(links, { outcomes: { s3: true }, at: 500 });
  recordAll(links, { outcomes: { s4: false }, at: 600 });
  t.same(recordAll(links, { outcomes: { s3: true }, at: 1_000 }), []);
  t.same(recordAll(links, { outcomes: { s3: true }, at: 1_100 }), []);
  t.same(recordAll(links, { outcomes: { s5: true }, at: 2_000 }), ["restored"]);
  t.equal(links.getOwnShare(2_000), 0);
  t.equal(links.getOwnShare(3_000), 0.5);
  t.equal(links.getOwnShare(4_000), 1);
  t.end();
});

// Guards against suspects, failures and demand of the time of the cut that count
// because the loss was noticed after them.
tap.test("a loss began with the first server that sent nothing", (t) => {
  const links = new core.ServerLinks();
  links.recordSilence("s1", 300);
  recordAll(links, { outcomes: { s2: false, s3: false, s4: false }, at: 900 });
  t.same(links.getState(), { kind: "lost", since: 300 });
  t.end();
});
