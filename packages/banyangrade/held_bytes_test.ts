/** Tests what a host does at each level of its held bytes. */
import type * as tapTypes from "tap";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as heldBytes from "./gateway/held_bytes.ts";

const tap = tapModule.default;

function createHeldBytes(t: tapTypes.Test, limitBytes: number | undefined) {
  const held = new heldBytes.HeldBytes({
    clock: utils.SYSTEM_CLOCK,
    log: utils.createLogger({ level: "silent" }),
    limitBytes,
  });
  t.teardown(() => held.stop());
  return held;
}

/** Opens a caller whose connection holds bytes and, if it reads, makes progress. */
function openCaller(
  held: heldBytes.HeldBytes,
  { bytes, reads }: { readonly bytes: number; readonly reads: boolean },
) {
  const caller = { bytes, disconnected: false };
  let progress = 0;
  const account = held.openCaller({
    path: "/",
    getUnsentBytes: () => caller.bytes,
    readProgress: () => `${reads ? progress++ : 0}`,
    disconnect: () => {
      caller.disconnected = true;
    },
  });
  account.update();
  return { caller, account };
}

/** A body that does not fit below "full" beside 600 bytes at a limit of 1,000. */
const LARGE = { holder: "x", bytes: 250, maxMs: 2_000 };

// Guards against memory that grows by the bodies of all requests that arrive
// while slow callers hold much already, and against requests that then wait
// forever.
tap.test("at pressed, bodies that do not fit together are read one after the other", async (t) => {
  const held = createHeldBytes(t, 1_000);
  t.equal(await held.waitForBody({ ...LARGE, holder: "a", maxMs: 10 }), true);
  const account = held.openAccount("a", { kind: "request" });
  account.add(600);
  const order: number[] = [];
  const waits = [1, 2].map(async (index) => {
    const granted = await held.waitForBody({
      ...LARGE,
      holder: `${index}`,
    });
    if (granted) order.push(index);
    return granted;
  });
  t.equal(await held.waitForBody({ ...LARGE, maxMs: 30 }), false);
  t.same(order, []);
  held.endBody("a");
  await waits[0];
  t.same(order, [1]);
  held.endBody("1");
  await waits[1];
  t.same(order, [1, 2]);
  held.endBody("2");
  account.close();
  t.equal(held.isEmpty(), true);
});

// Guards against a host that ends with all its requests because a check of one caller throws.
tap.test("a caller whose check throws does not end the host", async (t) => {
  const held = createHeldBytes(t, 1_000);
  let checks = 0;
  const account = held.openCaller({
    path: "/",
    getUnsentBytes: () => 2_000,
    readProgress: () => {
      checks += 1;
      if (checks > 1) throw new Error("The connection has no address.");
      return "0";
    },
    disconnect: () => undefined,
  });
  account.update();
  while (checks <= 2) await utils.waitFor(20);
  t.pass("checks go on after one that throws");
  account.close();
});

// Guards against a body that blocks all others until its caller's deadline
// because its caller stops sending it.
tap.test("at pressed, a body without progress delays others only shortly", async (t) => {
  const held = createHeldBytes(t, 1_000);
  t.equal(await held.waitForBody({ ...LARGE, holder: "a" }), true);
  held.openAccount("a", { kind: "request" }).add(600);
  const start = performance.now();
  t.equal(
    await held.waitForBody({ ...LARGE, holder: "small", bytes: 2 }),
    true,
  );
  t.ok(performance.now() - start < 50, "a small one fits beside it");
  t.equal(await held.waitForBody({ ...LARGE, maxMs: 30 }), false);
  t.equal(await held.waitForBody({ ...LARGE, maxMs: 900 }), true);
});

// Guards against bodies that wait although the host holds little again.
tap.test("waiting bodies are read once the level is normal", async (t) => {
  const held = createHeldBytes(t, 1_000);
  const account = held.openAccount("a", { kind: "response" });
  account.add(900);
  t.equal(held.getLevel(), "full");
  const waits = [1, 2, 3].map((index) =>
    held.waitForBody({ ...LARGE, holder: `${index}` })
  );
  account.close();
  t.same(await Promise.all(waits), [true, true, true]);
});

// Guards against a host that runs out of memory because of callers that do not
// read, and against the disconnection of callers that read slowly.
tap.test("at over, the largest stalled callers are disconnected", async (t) => {
  const held = createHeldBytes(t, 1_000);
  const reading = openCaller(held, { bytes: 700, reads: true });
  const large = openCaller(held, { bytes: 400, reads: false });
  const small = openCaller(held, { bytes: 200, reads: false });
  t.equal(held.getLevel(), "over");
  await utils.waitFor(700);
  t.equal(large.caller.disconnected, false, "not before a second is over");
  await utils.waitFor(900);
  t.equal(large.caller.disconnected, true);
  t.equal(small.caller.disconnected, false, "the limit is kept without it");
  t.equal(reading.caller.disconnected, false);
  t.equal(held.getTotals().caller, 900);
});

// Guards against the disconnection of more callers than needed: the requests and
// responses of a disconnected caller are closed only after the check.
tap.test("at over, all bytes of a disconnected caller are removed at once", async (t) => {
  const held = createHeldBytes(t, 1_000);
  const callers = [1, 2, 3, 4, 5].map(() => {
    const { caller, account } = openCaller(held, { bytes: 10, reads: false });
    const response = held.openAccount(account.holder, { kind: "response" });
    response.add(240);
    return { caller, account, response };
  });
  t.equal(held.getLevel(), "over");
  await utils.waitFor(1_600);
  const disconnected = callers.filter(({ caller }) => caller.disconnected);
  t.equal(disconnected.length, 2);
  t.equal(held.getTotals().response, 720);
  t.equal(held.getTotals().caller, 30);
  disconnected[0].response.add(7);
  callers.forEach(({ account, response }) => {
    response.close();
    account.close();
  });
  t.equal(held.isEmpty(), true);
});

// Guards against an effect on deployments whose settings do not enable it.
tap.test("without a limit nothing waits and nobody is disconnected", async (t) => {
  const held = createHeldBytes(t, undefined);
  const { caller } = openCaller(held, { bytes: 1e12, reads: false });
  await utils.waitFor(1_500);
  t.equal(caller.disconnected, false);
  t.equal(await held.waitForBody({ ...LARGE, maxMs: 0 }), true);
  t.equal(held.isEnabled(), false);
  t.equal(held.getTotals().caller, 1e12);
});

// Guards against bytes that stay in the ledger after a request has ended in
// whatever way and order its accounts were closed, added to or updated.
tap.test("the ledger is empty after any order of ends", (t) => {
  for (let seed = 1; seed <= 100; seed += 1) {
    const random = utils.createRandom(seed);
    const held = createHeldBytes(t, 1_000_000);
    let expected = 0;
    const ends = Array.from({ length: 30 }, (_, index) => {
      const { caller, account } = openCaller(held, { bytes: 0, reads: true });
      const request = held.openAccount(account.holder, { kind: "request" });
      const response = held.openAccount(account.holder, { kind: "response" });
      const size = { bytes: random.below(5_000), maxBodyBytes: 5_000 };
      const endSend = held.openSend(`s${index % 3}`, size);
      request.add(size.bytes);
      const responseBytes = random.below(5_000);
      response.add(responseBytes);
      caller.bytes = random.below(5_000);
      account.update();
      expected += size.bytes + responseBytes + caller.bytes;
      return [
        () => request.close(),
        () => response.close(),
        () => account.close(),
        // A part that arrives, or a write that ends, after the end.
        () => {
          request.close();
          request.add(7);
        },
        () => {
          account.close();
          caller.bytes = 9;
          account.update();
        },
        () => endSend?.(),
      ];
    }).flat();
    const { request, response, caller } = held.getTotals();
    if (request + response + caller !== expected) t.fail(`sum, seed ${seed}`);
    while (ends.length > 0) ends.splice(random.below(ends.length), 1)[0]();
    if (!held.isEmpty()) t.fail(`seed ${seed}`);
    held.stop();
  }
  t.pass("all seeds");
  t.end();
});
