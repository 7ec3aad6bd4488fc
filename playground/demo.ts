/**
 * `npm run demo`: starts three hosts with fake backend servers on the loopback
 * interface.
 */
import * as path from "node:path";
import * as clusterModule from "./cluster.ts";

const startedAt = Date.now();
const cluster = await clusterModule.startCluster({
  hosts: ["rosenheim", "rosenheim", "rosenheim"],
  engines: ["rosenheim-engines", "rosenheim-engines", "rosenheim-spot"],
  services: ["rosenheim-rooms"],
  serviceFiles: path.join(import.meta.dirname, "tanzraum"),
});
const key = await cluster.createKey("studio-rosenheim", [
  "assistant",
  "lookup",
  "booking",
]);
const [first] = cluster.hosts;
const seconds = ((Date.now() - startedAt) / 1_000).toFixed(1);

process.stdout.write(`Three hosts are ready after ${seconds} s. Try:

curl -N ${first.callerUrl}/v1/chat/completions \\
  -H 'Authorization: Bearer ${key}' \\
  -H 'Content-Type: application/json' \\
  -d '{"model":"timetable-8b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Which rooms are free on Monday?"}]}'

curl ${first.callerUrl}/services/rooms/monday -H 'Authorization: Bearer ${key}' -H 'X-Class: lookup'

Status page:  ${first.operationsUrl}/
Operator CLI: npx tsx packages/banyangrade/main.ts status --operator ${cluster.operatorFile}
Press Ctrl-C to stop.
`);

const stop = () => {
  cluster.close().then(() => process.exit(0));
};
process.once("SIGINT", stop);
process.once("SIGTERM", stop);
