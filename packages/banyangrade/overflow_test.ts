/** Host processes of two failure domains, only one of which has engines. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

const CHAT = { tokens: 5 };

tap.t.test(
  "requests overflow to another failure domain while it can be reached",
  async (t) => {
    // Rosenheim has no engines. Its host uses slots of Weilheim, and refuses
    // with ran "no" once the host in Weilheim is killed.
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

    // No slots can be used until the hosts have contacted each other.
    t.ok(await testing.waitUntil(async () => (await send()).status === 200));
    const responses = await Promise.all([send(), send(), send()]);
    t.same(responses.map((response) => response.status), [200, 200, 200]);
    t.ok(cluster.engines[0].seen.length >= 4);

    // The only host of a failure domain must not adopt members of another one.
    // It did so with the first members that it heard of, and both failure domains
    // then had the same leaders.
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
