/** Real hosts of two failure domains, of which one has no engine. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

const CHAT = { tokens: 5 };

tap.t.test(
  "work goes to another failure domain, while it can be reached",
  async (t) => {
    // Rosenheim's engines are gone. Its hosts should borrow slots of Weilheim,
    // and when Weilheim's hosts are gone too, say at once that nothing ran.
    const cluster = await clusterModule.startCluster({
      hosts: ["rosenheim", "weilheim"],
      engines: ["weilheim-engines"],
      services: [],
      serviceFiles: testing.SERVICES,
    });
    t.teardown(cluster.close);
    const key = await cluster.createKey("studio-rosenheim", ["assistant"]);
    const [rosenheim, weilheim] = cluster.hosts;
    const send = () => testing.sendChat(rosenheim, { key, ...CHAT });

    // Until the hosts know each other, nothing can be borrowed.
    t.ok(await testing.waitUntil(async () => (await send()).status === 200));
    const answers = await Promise.all([send(), send(), send()]);
    t.same(answers.map((answer) => answer.status), [200, 200, 200]);
    t.ok(cluster.engines[0].seen.length >= 4);

    // A failure domain's only host once took the first members that it heard of,
    // which were the other failure domain's; then both had the same leaders.
    const counts = await Promise.all(cluster.hosts.map(async (host) => {
      const metrics = await fetch(`${host.operationsUrl}/metrics`);
      return /^banyangrade_members (\d+)/m.exec(await metrics.text())?.[1];
    }));
    t.same(counts, ["1", "1"]);

    weilheim.child.kill("SIGKILL");
    t.ok(await testing.waitUntil(async () => (await send()).status === 503));
    const refusal = JSON.parse((await send()).text).error;
    t.match(refusal, { code: "no_capacity", ran: "no" });
  },
);
