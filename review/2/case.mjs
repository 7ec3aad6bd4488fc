// Another writer puts an entry under servers/ whose address is no IP:PORT.
import * as path from "node:path";
import * as url from "node:url";
import { startApi, startStore } from "../lib/platform.mjs";
import { createHosts, wait, waitUntilReady } from "../lib/hosts.mjs";
import { startWorker } from "../lib/workers.mjs";
import { send } from "../lib/clients.mjs";
import { buildConfig, HOST } from "../lib/config.mjs";
import { openRecord, runCase, TROUBLE } from "../lib/record.mjs";

const folder = path.dirname(url.fileURLToPath(import.meta.url));
/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 500;
const TRAFFIC_MS = 24_000;
const REQUESTS_PER_S = 40;

/** Entries of another writer, as PROTOCOL.md lists them. All but the last are only there to show that the hosts bear them. */
function listForeignEntries() {
  const whole = {
    service: "app",
    address: "127.0.0.1:9",
    zone: "a",
    version: "v1",
    slots: 6,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born: 1,
  };
  const { address: _, ...missing } = whole;
  return [
    ["servers/x-missing", JSON.stringify(missing)],
    ["servers/x-type", JSON.stringify({ ...whole, slots: "six" })],
    ["servers/x-state", JSON.stringify({ ...whole, state: "resting" })],
    ["servers/x-service", JSON.stringify({ ...whole, service: "unknown" })],
    ["servers/x-bytes", "\u0000\ufffd{"],
    ["servers/x-address", JSON.stringify({ ...whole, address: "127.0.0.1:81200" })],
  ];
}

await runCase(async () => {
  const record = openRecord(folder);
  const store = await startStore();
  const api = await startApi();
  store.put("op/config", buildConfig());
  const workers = [];
  for (const zone of ["a", "b", "c"]) {
    workers.push(await startWorker({ id: `i-${zone}`, service: "app", zone, store, onRun: record.run }));
  }
  const { hosts, stop } = await createHosts({
    zones: ["a", "b", "c"],
    storeOf: () => store.address,
    apiOf: () => api.address,
  });
  hosts.forEach((host) => host.start());
  if (!await waitUntilReady(hosts)) {
    await stop();
    return undefined;
  }
  record.say("All hosts are ready.");
  let ending = false;
  const restarts = setInterval(() => {
    hosts.filter((host) => !host.isRunning()).forEach((host) => {
      const { at, code, signal } = host.exits.at(-1);
      if (ending || performance.now() - at < RESTART_MS) return;
      record.write(`${host.name} ended by itself at this moment, code ${code}, signal ${signal}`, at);
      host.start();
    });
  }, 50);

  const startedAt = performance.now();
  const foreign = TROUBLE ? listForeignEntries() : [];
  foreign.forEach(([key, value], index) =>
    setTimeout(() => {
      store.put(key, value);
      record.say(`another writer puts ${key}: ${JSON.stringify(value)}`);
    }, 3_000 + 1_000 * index)
  );
  const answers = [];
  const open = [];
  for (let number = 0; performance.now() - startedAt < TRAFFIC_MS; number += 1) {
    const host = hosts[number % hosts.length];
    const booking = number % 4 !== 0;
    open.push(
      send({
        to: host.caller,
        host: HOST,
        path: booking ? `/booking/${number}` : `/lookup/${number}`,
        method: booking ? "POST" : "GET",
        body: booking ? "slot" : "",
        key: "key-a",
      }).then((answer) => {
        answers.push({ ...answer, booking });
        record.sent(answer, host.name);
      }),
    );
    await wait(1_000 / REQUESTS_PER_S);
  }
  await Promise.all(open);
  ending = true;
  clearInterval(restarts);

  const exits = hosts.map((host) => host.exits.length);
  const ran = new Set(workers.flatMap(({ runs }) => runs.map((run) => run.attempt)));
  const lost = answers.filter(({ outcome, id }) => outcome !== "answer" && ran.has(id));
  const unserved = answers.filter(({ outcome }) => outcome !== "answer");
  record.say(`requests: ${answers.length}; with an answer: ${answers.length - unserved.length}; run by a worker and never answered: ${lost.length}`);
  hosts.forEach((host, index) => record.say(`${host.name}: processes that ended by themselves: ${exits[index]}`));
  const broken = exits.filter((count) => count >= 3).length >= 2;
  record.say(broken
    ? "BROKEN: processes of two machines or more ended by themselves three times, with no disruption there."
    : "held");
  await stop();
  [store, api, ...workers].forEach((one) => one.close());
  record.close();
  return broken;
});
