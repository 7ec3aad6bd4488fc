/** Case 4: entries of another writer end all hosts, again after each start. */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as clients from "../lib-2/clients.mjs";
import * as hosts from "../lib-2/hosts.mjs";
import * as platforms from "../lib-2/platform.mjs";
import * as workers from "../lib-2/workers.mjs";
import { createRecord } from "../lib-2/record.mjs";

const isTrouble = process.env.TROUBLE !== "0";
/** Entries of the other writer: bytes that can't be read, each as long as the store takes (`value_bytes`). */
const ENTRIES = 64;
const VALUE_BYTES = 1_048_576;
/** Pause between two of its writes, in ms: 5 a second, where the store takes 400. */
const WRITE_MS = 200;
const WRITES_AT = 5_000;
/** Time after which the platform starts a process again, in ms. */
const RESTART_MS = 500;
const RUN_MS = 60_000;
/** Ends of a process in the day from which they count, on this many machines. */
const COUNTED_ENDS = 3;
const COUNTED_MACHINES = 2;

const record = createRecord(import.meta.dirname);
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-4-"));
const platform = await platforms.startPlatform();
const ran = new Set();
for (let index = 1; index <= 4; index += 1) {
  const id = `i-app${index}`;
  const worker = await workers.startWorker({
    id,
    onRequest: async ({ attempt, path, answer }) => {
      ran.add(attempt);
      await hosts.wait(30);
      answer(200, path);
    },
  });
  platform.put(`servers/${id}`, workers.describeWorker(worker, { service: "app", zone: index % 2 ? "a" : "b" }));
}
platform.put("op/config", workers.buildConfiguration());

const fleet = [];
for (const [index, zone] of ["a", "a", "b"].entries()) {
  fleet.push(await hosts.createHost({
    index: index + 1,
    zone,
    zones: ["a", "b"],
    folder,
    storeAddress: platform.storeAddress,
    apiAddress: platform.apiAddress,
  }));
}
fleet.forEach((host) => host.start());
await hosts.waitUntil(async () => (await Promise.all(fleet.map(hosts.isReady))).every(Boolean));

const startedAt = performance.now();
const seconds = () => ((performance.now() - startedAt) / 1_000).toFixed(1);
const isOver = () => performance.now() - startedAt > RUN_MS;
record.line(`${fleet.length} hosts ready`);

/** The platform starts a process that has ended again after a short delay. */
async function restart(host) {
  for (;;) {
    const { code, signal } = await host.waitForExit();
    if (isOver()) return;
    record.line(`${seconds()} s: ${host.name} has ended by itself (${signal ?? code})`);
    await hosts.wait(RESTART_MS);
    host.start();
  }
}
fleet.forEach((host) => void restart(host));

async function writeEntries() {
  await hosts.wait(WRITES_AT);
  if (!isTrouble) return;
  record.line(`${seconds()} s: another writer begins to write ${ENTRIES} entries of ${VALUE_BYTES} bytes under servers/`);
  for (let index = 0; index < ENTRIES; index += 1) {
    platform.putRaw(`servers/other-${index}`, crypto.randomBytes(VALUE_BYTES));
    await hosts.wait(WRITE_MS);
  }
  record.line(`${seconds()} s: it has written the last one`);
}

const seen = { answered: 0, refused: 0, failed: 0, unanswered: 0, lost: 0 };
async function book(host) {
  while (!isOver()) {
    const { id, how, status } = await clients.sendRequest(host, {
      path: "/booking/1",
      key: "key-hule",
      deadlineMs: 1_000,
    });
    if (how === "complete" && status === 200) seen.answered += 1;
    else if (how === "complete") seen[status === 503 ? "refused" : "failed"] += 1;
    else seen[ran.has(id) ? "lost" : "unanswered"] += 1;
    await hosts.wait(40);
  }
}
await Promise.all([
  writeEntries(),
  ...fleet.flatMap((host) => [book(host), book(host)]),
]);

const ends = fleet.map(({ name, exits, log }) => {
  const text = fs.readFileSync(log, "utf8");
  const fatal = text.split("\n").filter((line) => line.startsWith("FATAL ERROR"));
  record.line(`${name}: ended ${exits.length} times by itself; ${fatal.at(-1) ?? "no fatal error in its output"}`);
  return exits.length;
});
record.line(`bookings: ${JSON.stringify(seen)} (lost: a worker ran it, and its client got no answer)`);
const counted = ends.filter((count) => count >= COUNTED_ENDS).length;
record.end(
  counted >= COUNTED_MACHINES,
  `processes ended by themselves ${COUNTED_ENDS} times or more on ${counted} of ${fleet.length} machines`,
);
