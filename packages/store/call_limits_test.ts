/** Tests how long calls to the store are waited for and which connections they use. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as callLimits from "./call_limits.ts";

const tap = tapModule.default;

/** Connections that record what happens to them. */
interface FakeConnections extends callLimits.Connections {
  readonly id: number;
}

function buildLimits() {
  const closed: string[] = [];
  let opened = 0;
  const limits = new callLimits.CallLimits<FakeConnections>({
    clock: utils.SYSTEM_CLOCK,
    open: () => {
      const id = opened;
      opened += 1;
      const record = (how: string) => {
        closed.push(`${how} ${id}`);
        return Promise.resolve();
      };
      return {
        id,
        close: () => record("closed"),
        destroy: () => record("destroyed"),
      };
    },
  });
  return { limits, closed, countOpened: () => opened };
}

/** Waits until a call is aborted. */
function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) =>
    signal.addEventListener("abort", () => reject(new Error("aborted")))
  );
}

// Guards against a slow store whose answers are all cut: each call would be sent again and none would ever be answered.
tap.test("once an answer has come late, answers are waited for as long", async (t) => {
  const { limits } = buildLimits();
  const send = async () => {
    await utils.waitFor(1_400);
    return "answer";
  };
  await t.rejects(limits.run({ kind: "read" }, send));
  await utils.waitFor(500);
  t.equal(await limits.run({ kind: "read" }, send), "answer");
  t.ok(limits.getLimitMs() > 1_400);
  t.ok(limits.getLimitMs() <= 3_000, "with a bound");
});

// Guards against a write that takes effect after it was given up.
tap.test("a write is aborted at its limit, a read is not", async (t) => {
  const { limits, closed } = buildLimits();
  const aborted: string[] = [];
  const run = (kind: "read" | "write") =>
    limits.run({ kind }, ({ signal }) => {
      signal.addEventListener("abort", () => void aborted.push(kind));
      return waitForAbort(signal);
    }).catch(() => undefined);
  await Promise.all([run("read"), run("write")]);
  t.same(aborted, ["write"]);
  t.same(closed, ["closed 0"], "the calls on the former connections go on");
});

// Guards against polls that wait on connections that a network partition has left without data.
tap.test("a poll is sent again once newer connections are answered", async (t) => {
  const { limits, countOpened } = buildLimits();
  const waits: number[] = [];
  const poll = limits.run(
    { kind: "poll", waitMs: 20_000 },
    ({ connections, signal, waitMs }) => {
      waits.push(waitMs);
      return connections.id === 0
        ? waitForAbort(signal)
        : Promise.resolve("answer");
    },
  );
  const lost = limits.run(
    { kind: "read" },
    ({ signal }) => waitForAbort(signal),
  );
  await t.rejects(lost);
  t.equal(countOpened(), 2);
  await limits.run({ kind: "read" }, () => Promise.resolve("answer"));
  t.equal(await poll, "answer");
  t.same(waits, [20_000, 0], "and answered at once");
});

// Guards against connections that pile up while the store is silent.
tap.test("few sets of former connections are kept", async (t) => {
  const { limits, closed } = buildLimits();
  for (let call = 0; call < 6; call += 1) {
    await t.rejects(
      limits.run({ kind: "read" }, () => Promise.reject(new Error("reset"))),
    );
  }
  const destroyed = closed.filter((one) => one.startsWith("destroyed"));
  t.same(destroyed, ["destroyed 0", "destroyed 1", "destroyed 2"]);
});
