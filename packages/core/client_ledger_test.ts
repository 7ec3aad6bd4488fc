/** Tests which connections yield when clients make a process hold too much. */
import * as tapModule from "tap";
import * as core from "./mod.ts";

const tap = tapModule.default;

// Guards against callers that are cut off because others hold much.
tap.test("a connection with one usual request is not closed", (t) => {
  const ledger = new core.ClientLedger({
    maxHeldBytes: 90_000,
    maxRequestsAhead: 4,
  });
  [1, 2, 3].forEach((id) => {
    ledger.addRequests(id, 1);
    ledger.add(id, 32_000);
  });
  t.ok(ledger.isFull());
  t.same(ledger.listExcess(), []);
  ledger.add(2, 10_000);
  t.same(ledger.listExcess(), [2], "it holds more than one request does");
  ledger.add(2, -10_000);
  ledger.addRequests(3, -1);
  t.same(ledger.listExcess(), [3], "it has no request");
  t.end();
});

// Guards against a crowd that holds the memory of all: the connections that hold most are closed, and no other.
tap.test("the connections that hold most are closed", (t) => {
  const ledger = new core.ClientLedger({
    maxHeldBytes: 100,
    maxRequestsAhead: 4,
  });
  ledger.add(1, 10);
  ledger.add(2, 50);
  ledger.add(3, 40);
  t.same(ledger.listExcess(), [], "at the limit");
  ledger.add(1, 1);
  t.same(ledger.listExcess(), [2], "above it");
  ledger.remove(2);
  t.equal(ledger.getTotal(), 51);
  t.same(ledger.listExcess(), []);
  t.end();
});

// Guards against requests ahead that crowd out the first ones of other connections.
tap.test("a connection keeps one request while all hold much", (t) => {
  const ledger = new core.ClientLedger({
    maxHeldBytes: 100,
    maxRequestsAhead: 4,
  });
  t.same([0, 3, 4].map((count) => ledger.mayParse(count)), [true, true, false]);
  ledger.add(1, 50);
  t.same([0, 1, 3].map((count) => ledger.mayParse(count)), [
    true,
    false,
    false,
  ]);
  ledger.add(1, -50);
  t.ok(ledger.mayParse(3));
  t.end();
});
