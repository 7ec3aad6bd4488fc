// Servers are replaced one after the other, while one machine stands still.
import * as path from "node:path";
import * as url from "node:url";
import { startApi, startStore } from "../lib/platform.mjs";
import { createHosts, wait, waitUntilReady } from "../lib/hosts.mjs";
import { startWorker } from "../lib/workers.mjs";
import { send } from "../lib/clients.mjs";
import { buildConfig, HOST } from "../lib/config.mjs";
import { openRecord, runCase, TROUBLE } from "../lib/record.mjs";

const folder = path.dirname(url.fileURLToPath(import.meta.url));
/** Bound of the rule: time after the acknowledgement from which a leaving worker gets nothing. */
const DRAIN_MS = 2_000;
/** "A little longer", for which a worker serves beyond that before it exits. */
const LITTLE_LONGER_MS = 500;
/** Time for which a machine stands still; the site's own entry has 4 s. */
const FREEZE_MS = 4_000;
/** Time until the machines are in touch again, and some more. */
const CALM_MS = 5_000;
const ROUNDS = 4;
const REQUESTS_PER_S = 100;
const WORK_MS = 60;

await runCase(async () => {
  const record = openRecord(folder);
  const store = await startStore();
  const api = await startApi();
  store.put("op/config", buildConfig());
  const workers = [];
  const addWorker = async () => {
    const id = `i-${workers.length + 1}`;
    const worker = await startWorker({ id, service: "app", zone: "a", store, onRun: record.run, behave: () => ({ workMs: WORK_MS }) });
    workers.push(worker);
    return worker;
  };
  const inUse = [await addWorker(), await addWorker(), await addWorker()];
  const { hosts, stop } = await createHosts({
    zones: ["a", "a", "a"],
    storeOf: () => store.address,
    apiOf: () => api.address,
  });
  hosts.forEach((host) => host.start());
  if (!await waitUntilReady(hosts)) {
    await stop();
    return undefined;
  }
  record.say("All hosts are ready.");

  const answers = [];
  const open = [];
  let ending = false;
  const traffic = (async () => {
    for (let number = 0; !ending; number += 1) {
      const host = hosts[number % hosts.length];
      open.push(
        send({ to: host.caller, host: HOST, path: `/booking/${number}?to=${host.name}`, body: "slot", key: "key-a" })
          .then((answer) => {
            answers.push(answer);
            record.sent(answer, host.name);
          }),
      );
      await wait(1_000 / REQUESTS_PER_S);
    }
  })();
  await wait(CALM_MS);

  const late = [];
  const lost = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    // As in a release: the new worker starts first, then the old one leaves.
    inUse.push(await addWorker());
    await wait(300);
    const leaving = inUse.shift();
    // The machine that leads its zone, as `leader` picks it.
    const { host: name } = JSON.parse(store.get("banyangrade/roles/relay/a"));
    const frozen = hosts.find((host) => host.name === name);
    if (TROUBLE) {
      frozen.signal("SIGSTOP");
      record.say(`round ${round}: ${frozen.name} stands still`);
    }
    await wait(100);
    const ackedAt = leaving.setState("draining");
    record.say(`round ${round}: ${leaving.id} says that it leaves; acknowledged by the store`);
    await wait(DRAIN_MS + LITTLE_LONGER_MS);
    leaving.close();
    store.remove(`servers/${leaving.id}`);
    record.write(`${leaving.id} exits`);
    await wait(Math.max(0, ackedAt + FREEZE_MS - performance.now()));
    if (TROUBLE) {
      frozen.signal("SIGCONT");
      record.write(`${frozen.name} goes on`);
    }
    await wait(CALM_MS);
    const fromInTouch = leaving.runs.filter((run) =>
      run.arrivedAt - ackedAt > DRAIN_MS && !(TROUBLE && run.path.endsWith(`to=${frozen.name}`))
    );
    const unserved = fromInTouch.filter((run) =>
      answers.find(({ id }) => id === run.attempt)?.status !== 200
    );
    const longest = Math.max(0, ...fromInTouch.map((run) => run.arrivedAt - ackedAt));
    record.say(`round ${round}: requests that reached ${leaving.id} over ${DRAIN_MS} ms after the acknowledgement, from machines in touch: ${fromInTouch.length}, the last after ${longest.toFixed(0)} ms; of these run and not served: ${unserved.length}`);
    late.push(...fromInTouch);
    lost.push(...unserved);
  }
  ending = true;
  await traffic;
  await Promise.all(open);

  record.say(`requests: ${answers.length}; late at a leaving worker: ${late.length}; of these bookings that were begun and lost with the worker: ${lost.length}; ended processes: ${hosts.flatMap(({ exits }) => exits).length}`);
  const broken = late.length > 0;
  record.say(broken ? "BROKEN: DRAIN" : "held");
  hosts.forEach((host) => host.signal("SIGCONT"));
  await stop();
  [store, api, ...workers].forEach((one) => one.close());
  record.close();
  return broken;
});
