/** Tests the number of hosts that share a rate. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as core from "./mod.ts";
import * as testing from "./testing.ts";

const tap = tapModule.default;
/** The first numbers of a small seed are close to 1. */
const SEED = utils.hashSeed("hosts");

tap.test("the largest recent count applies", (t) => {
  const count = new core.HostCount();
  t.equal(count.record(9, 0), 9);
  t.equal(count.record(3, 15_000), 9);
  t.equal(count.record(5, 30_000), 9);
  t.equal(count.record(1, 120_001), 5);
  t.equal(count.record(12, 130_000), 12);
  t.equal(count.record(1, 260_000), 1);
  t.end();
});

// Guards against a host that is cut off and takes the shares of all others.
tap.test("a host that sees no other host any more keeps its share of a limit", (t) => {
  const dispatcher = testing.startDispatcher({ seed: SEED });
  const load = { running: {}, prompting: {}, asOf: 0 } as const;
  [{ hosts: 195, now: 0 }, { hosts: 1, now: 20_000 }].forEach((
    { hosts, now },
  ) => dispatcher.handle({ kind: "load_shared", hosts, ...load }, now));
  ["r1", "r2"].forEach((server) =>
    dispatcher.handle({
      kind: "responded",
      server,
      signals: { ...core.NO_SIGNALS, limitsPerSecond: [1] },
      sentAt: 20_000,
      succeeded: true,
    }, 20_000)
  );
  const started = Array.from({ length: 100 }, (_, index) => {
    const now = 20_000 + index * 100;
    const request = {
      ...testing.buildRequest(`a${index}`, { tier: 1 }),
      arrivedAt: now,
      startBy: now + 50,
    };
    return [
      ...dispatcher.handle({ kind: "ticked" }, now),
      ...dispatcher.handle({ kind: "arrived", request }, now),
    ];
  }).flat().filter(({ kind }) => kind === "start");
  t.ok(started.length <= 2, `${started.length} requests in 10 s`);
  t.end();
});
