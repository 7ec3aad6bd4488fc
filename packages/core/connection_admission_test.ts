/** Tests of the limit on new connections of a host that gets most of them. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

const CALM: core.HostLoad = {
  loopDelayMs: 5,
  queued: 0,
  open: 20,
  openElsewhere: 160,
  otherHosts: 8,
};
const HOT: core.HostLoad = { ...CALM, loopDelayMs: 120, open: 300 };

tap.test("a host is hot if it is far ahead of the others and cannot keep up", (t) => {
  t.notOk(core.isHot(CALM));
  t.ok(core.isHot(HOT));
  t.ok(core.isHot({ ...HOT, loopDelayMs: 0, queued: 40 }), "long queue");
  t.notOk(core.isHot({ ...HOT, loopDelayMs: 0 }), "it keeps up");
  t.notOk(
    core.isHot({ ...HOT, openElsewhere: 8 * 200 }),
    "all are as busy, as in a burst",
  );
  t.notOk(core.isHot({ ...HOT, otherHosts: 0 }), "no other host");
  t.end();
});

/** Offers connections at a rate for some time; returns how many were taken. */
function sendAll(
  admission: core.ConnectionAdmission,
  { from, ms, perSecond, load }: {
    readonly from: number;
    readonly ms: number;
    readonly perSecond: number;
    readonly load: core.HostLoad;
  },
): number {
  return Array.from(
    { length: ms * perSecond / 1_000 },
    (_, index) => from + index * 1_000 / perSecond,
  ).filter((at) => admission.mayTake(() => load, at)).length;
}

// Guards against a host that takes all connections and reads their requests too
// late, and against one that takes none and counts as lost.
tap.test("a hot host closes most new connections, but not all", (t) => {
  const admission = new core.ConnectionAdmission({ startedAt: 0 });
  const all = sendAll(admission, {
    from: 0,
    ms: 1_000,
    perSecond: 200,
    load: CALM,
  });
  t.equal(all, 200);
  t.notOk(admission.isLimiting());
  sendAll(admission, { from: 1_000, ms: 1_000, perSecond: 200, load: HOT });
  const late = sendAll(admission, {
    from: 2_000,
    ms: 3_000,
    perSecond: 200,
    load: HOT,
  });
  t.ok(late <= 60, `${late} of 600`);
  t.ok(late >= 25, `${late} of 600`);
  t.ok(admission.isLimiting());
  t.end();
});

// Guards against a limit that outlasts its cause.
tap.test("a host takes all connections again when it keeps up", (t) => {
  const admission = new core.ConnectionAdmission({ startedAt: 0 });
  sendAll(admission, { from: 0, ms: 3_000, perSecond: 200, load: HOT });
  sendAll(admission, { from: 3_000, ms: 2_500, perSecond: 50, load: CALM });
  const taken = sendAll(admission, {
    from: 5_500,
    ms: 1_000,
    perSecond: 200,
    load: CALM,
  });
  t.ok(taken >= 190, `${taken} of 200`);
  t.notOk(admission.isLimiting());
  t.end();
});
