/** Tests which connections a port accepts. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

/** Fills a port of eight connections; returns the ledger. */
function buildLedger(addresses: readonly string[]): core.ConnectionLedger {
  const ledger = new core.ConnectionLedger({ maxConnections: 8 });
  addresses.forEach((address, index) => ledger.add(index + 1, address));
  return ledger;
}

const EIGHT = ["a", "b", "c", "d", "e", "f", "g", "h"];

// Guards against silent connections that take all places of a port.
tap.test("a silent connection yields before an idle one, and none with a request", (t) => {
  const ledger = buildLedger(EIGHT);
  [1, 2, 3, 4, 5, 6, 7].forEach((id) => ledger.setIdle(id, false));
  ledger.setIdle(2, true);
  t.same(ledger.admit("i"), { kind: "replaces", id: 8 });
  ledger.remove(8);
  t.same(ledger.admit("i"), { kind: "accepted" });
  ledger.add(9, "i");
  ledger.setIdle(9, false);
  t.same(ledger.admit("j"), { kind: "replaces", id: 2 });
  ledger.setIdle(2, false);
  t.same(ledger.admit("j"), { kind: "refused", reason: "connections" });
  t.equal(ledger.count(), 8);
  t.end();
});

// Guards against one address that takes all places of a port.
tap.test("one address has three quarters of the places", (t) => {
  const ledger = buildLedger(["a", "a", "a", "a", "a", "a"]);
  [1, 2, 3, 4, 5, 6].forEach((id) => ledger.setIdle(id, false));
  t.same(ledger.admit("a"), { kind: "refused", reason: "address" });
  t.same(ledger.admit("b"), { kind: "accepted" });
  ledger.setIdle(3, true);
  t.same(ledger.admit("a"), { kind: "replaces", id: 3 });
  ledger.remove(4);
  t.same(ledger.admit("a"), { kind: "accepted" });
  t.end();
});

tap.test("limits follow from the machine", (t) => {
  const limits = core.computeClientLimits({
    memoryMb: 350,
    descriptors: 4_100,
  });
  t.equal(limits.maxConnections, 2_460);
  t.equal(limits.maxHeldBytes, 35_000_000);
  const small = core.computeClientLimits({ memoryMb: 350, descriptors: 20 });
  t.equal(small.maxControlConnections, 8);
  t.end();
});
