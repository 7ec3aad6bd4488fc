/** Applying the summary of the other hosts while the store does not answer. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as hostStatusTask from "./gateway/host_status_task.ts";

const tap = tapModule.default;

const STATUS: core.HostStatus = {
  host: "host-1",
  incarnation: "first",
  at: 0,
  demand: {},
  running: {},
  prompting: {},
  usage: {},
  suspects: [],
};

// The relay's answer holds the times of day of the other hosts. If it were applied
// after a store call that hangs, the times would be old by then, and the host
// would count usage in the previous window.
tap.test("times of other hosts are applied before a store call that gets no response", async (t) => {
  const never = new Promise<never>(() => undefined);
  const client = new Proxy({} as store.KeyValueClient, {
    get: () => () => never,
  });
  const received: core.HostsSummary[] = [];
  const others = { ...core.EMPTY_SUMMARY, hosts: 3, times: [1_000] };
  const presence = new hostStatusTask.HostStatusTask({
    store: client,
    clock: utils.SYSTEM_CLOCK,
    log: utils.createLogger({ level: "silent" }),
    random: utils.createRandom(1),
    failureDomains: 1,
    failureDomain: "a",
    listBrittle: () => [],
    host: STATUS.host,
    incarnation: STATUS.incarnation,
    relay: {
      callRelay: <Answer>() =>
        Promise.resolve({ others, publishes: false } as Answer),
      callContact: () => never,
      getContact: () => undefined,
      closeIdle: () => undefined,
    },
    describe: () => STATUS,
    listKnown: () => [],
    onEvidence: () => undefined,
    hasRole: () => true,
    getDivisions: () => undefined,
    describeVersions: () => ({}),
    onVersions: () => undefined,
    onInvalidEntry: () => undefined,
    onSummary: (summary) => void received.push(summary),
  });
  presence.start();
  while (received.length === 0) await utils.waitFor(20);
  t.same(received[0], others);
  void presence.stop();
});

// Guards against the refusal of all streams that callers take up after all hosts
// were lost together: only what was published tells which versions served before.
tap.test("a host reads which versions served before it started, once", async (t) => {
  const single = { kind: "single", software: "v1" } as const;
  const entries = [
    { key: "banyangrade/hosts/host-1/first", versions: { planner: single } },
    { key: "banyangrade/hosts/host-2/old", versions: { rooms: single } },
    { key: "banyangrade/hosts/host-3/of-the-build-before" },
  ].map(({ key, ...fields }) => ({
    key,
    value: JSON.stringify({ ...fields, statuses: [] }),
    modRevision: 1,
  }));
  const published: string[] = [];
  const client = {
    list: (_prefix: string, options?: store.ListOptions) =>
      Promise.resolve(utils.Ok(store.takeAll(entries, options))),
    grantLease: () => Promise.resolve(utils.Ok("lease")),
    swap: ({ value }: store.Swap) => {
      published.push(value ?? "");
      return Promise.resolve(utils.Ok({ kind: "won", modRevision: 2 }));
    },
    renewLease: () => Promise.resolve(utils.Ok(true)),
  } as unknown as store.KeyValueClient;
  const received: (readonly core.PublishedViews[])[] = [];
  const presence = new hostStatusTask.HostStatusTask({
    store: client,
    clock: utils.SYSTEM_CLOCK,
    log: utils.createLogger({ level: "silent" }),
    random: utils.createRandom(1),
    failureDomains: 1,
    failureDomain: "a",
    listBrittle: () => [],
    host: STATUS.host,
    incarnation: STATUS.incarnation,
    relay: {
      callRelay: () => Promise.resolve(undefined),
      callContact: () => Promise.resolve(undefined),
      getContact: () => ({ address: "127.0.0.1:1", secret: "s" }),
      closeIdle: () => undefined,
    },
    describe: () => STATUS,
    listKnown: () => [],
    onEvidence: () => undefined,
    hasRole: () => true,
    getDivisions: () => undefined,
    describeVersions: () => ({ planner: single }),
    onVersions: (versions) => void received.push(versions),
    onInvalidEntry: () => undefined,
    onSummary: () => undefined,
  });
  presence.start();
  await utils.waitFor(2_500);
  await presence.stop();
  t.same(received, [[{ rooms: single }]], "those of others, in the first read");
  t.ok(published.length > 0);
  t.match(JSON.parse(published[0]), { versions: { planner: single } });
});
