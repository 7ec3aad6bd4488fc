/** What a host hears of the others while the store does not answer. */
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import type * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as presenceTask from "./routed/presence_task.ts";

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

// Guards against a host that takes the others' times of day, heard before a call to the store that did not come back, for those of now: its usage fell into the window before.
tap.test("others' times are taken before a call to the store that gets no answer", async (t) => {
  const never = new Promise<never>(() => undefined);
  const client = new Proxy({} as store.KeyValueClient, {
    get: () => () => never,
  });
  const heard: core.HostsSummary[] = [];
  const others = { ...core.EMPTY_SUMMARY, hosts: 3, times: [1_000] };
  const presence = new presenceTask.PresenceTask({
    store: client,
    clock: utils.SYSTEM_CLOCK,
    log: utils.createLogger({ level: "silent" }),
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
    hasRole: () => true,
    getDivisions: () => undefined,
    onOthers: (summary) => void heard.push(summary),
  });
  presence.start();
  while (heard.length === 0) await utils.waitFor(20);
  t.same(heard[0], others);
  void presence.stop();
});
