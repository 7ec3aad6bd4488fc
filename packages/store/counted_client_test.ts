/** Tests the count of calls to the store. */
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as countedClient from "./counted_client.ts";

const tap = tapModule.default;

const OUTCOMES = [
  ["rejected", "rejected"],
  ["rate_limited", "rate_limited"],
  ["unreachable", "unreachable"],
  ["unknown_outcome", "unknown"],
  ["timeout", "unknown"],
  ["not_found", "ok"],
] as const;

/** Builds a client whose calls all end with `answer`. */
function buildClient(answer: utils.Result<unknown, utils.StepError>) {
  return new Proxy({} as countedClient.PolledStoreClient, {
    get: () => () => Promise.resolve(answer),
  });
}

// Guards against calls that no metric shows, or shows under another kind: the
// load on the store could not be attributed.
tap.test("each call is counted once by its kind", async (t) => {
  const counted: string[] = [];
  const client = countedClient.countCalls(
    buildClient(utils.Ok("answer")),
    {
      clock: utils.createVirtualClock(),
      onCall: ({ call, outcome }) => void counted.push(`${call} ${outcome}`),
    },
  );
  t.same(await client.get("a"), utils.Ok("answer"));
  await client.list("a");
  await client.readAll("a");
  await client.pollChanges("a", { after: 0, waitMs: 0 });
  await client.swap({ key: "a", expected: 0, value: undefined });
  await client.grantLease(1);
  await client.renewLease("a");
  await client.revokeLease("a");
  t.same(counted, [
    "get ok",
    "list ok",
    "list ok",
    "poll ok",
    "swap ok",
    "grant ok",
    "renew ok",
    "revoke ok",
  ]);
});

// Guards against an answer of the store that counts as a failure, and against a
// rejection that counts as an answer: hosts decide by it whether the store serves
// them.
tap.test("failed calls are counted by their outcome", async (t) => {
  for (const [code, expected] of OUTCOMES) {
    const counted: string[] = [];
    const client = countedClient.countCalls(
      buildClient(utils.Err(utils.createStepError(code, {
        step: "store.get",
        peer: "store",
        message: "Failed.",
      }))),
      {
        clock: utils.createVirtualClock(),
        onCall: ({ outcome }) => void counted.push(outcome),
      },
    );
    t.ok((await client.get("a")).err);
    t.same(counted, [expected], code);
  }
});
