/** Keys that are withdrawn while they are in use, with real hosts. */
import * as http from "node:http";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

/** "Within seconds". */
const WITHIN_MS = 5_000;

tap.t.test("a withdrawn key stops working", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "rosenheim", "weilheim"],
    engines: ["rosenheim-engines", "weilheim-engines"],
    services: ["rosenheim-rooms", "weilheim-rooms"],
    serviceFiles: testing.SERVICES,
    offlineSeconds: 900,
  });
  t.teardown(cluster.close);
  const createKey = () =>
    cluster.createKey("studio-rosenheim", ["assistant", "lookup"]);
  const getName = (key: string) => key.split("_")[1];
  const isRefused = async (host: clusterModule.HostProcess, key: string) => {
    const options = { key, method: "GET", className: "lookup" };
    return (await testing.sendCall(host, options)).status === 401;
  };

  await t.test("on open connections and running streams", async (t) => {
    const key = await createKey();
    const [host] = cluster.hosts;
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    t.equal(await getStatus(host, { agent, key }), 200);
    const stream = testing.sendChat(host, { key, tokens: 2_000 });
    await testing.waitUntil(() => cluster.engines[0].getLoad().running === 1);

    const ran = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(ran.code, 0, ran.output);
    const cut = await stream;
    t.match(cut.text, /event: error\ndata: .*key_withdrawn/);
    t.notMatch(cut.text, /\[DONE\]/, "it is not taken for a whole answer");
    t.equal(await getStatus(host, { agent, key }), 401);
    t.ok(
      await testing.waitUntil(
        () => cluster.engines[0].getLoad().running === 0,
        WITHIN_MS,
      ),
      "the engine is told to stop",
    );
  });

  await t.test("while the store is down", async (t) => {
    // A studio's key leaks during an outage of the platform's store. The
    // operator's command must still reach every host that can be reached.
    const key = await createKey();
    cluster.store.setFault({ kind: "down" });
    const ran = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(ran.code, 1, "the store does not hold it yet");
    t.match(ran.output, /run this again/);
    for (const host of cluster.hosts) {
      t.ok(
        await testing.waitUntil(() => isRefused(host, key), WITHIN_MS),
        `refused at ${host.name}`,
      );
    }
    cluster.store.setFault({ kind: "none" });
    const again = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(again.code, 0, again.output);
    await cluster.hosts[1].child.kill("SIGKILL");
    await cluster.restartHost(1);
    t.ok(await isRefused(cluster.hosts[1], key), "also after a restart");
  });

  await t.test("in a failure domain that is cut off from the store", async (t) => {
    // Weilheim cannot reach the store, but its hosts can reach Rosenheim's.
    const key = await createKey();
    cluster.store.setCut(cluster.storeWays.get("weilheim") ?? "", true);
    t.notOk(await isRefused(cluster.hosts[2], key), "it goes on serving");
    const ran = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(ran.code, 0, ran.output);
    t.ok(
      await testing.waitUntil(
        () => isRefused(cluster.hosts[2], key),
        WITHIN_MS,
      ),
    );
    cluster.store.setCut(cluster.storeWays.get("weilheim") ?? "", false);
  });
});

tap.t.test(
  "keys are refused once word of withdrawals is too old",
  async (t) => {
    // A failure domain is cut off from the store and from all other hosts. A key
    // withdrawn meanwhile must not work for ever: after the time the operators
    // chose, here 3 s, every key is refused until the store is seen again.
    const cluster = await clusterModule.startCluster({
      hosts: ["rosenheim"],
      engines: [],
      services: ["rosenheim-rooms"],
      serviceFiles: testing.SERVICES,
      offlineSeconds: 3,
    });
    t.teardown(cluster.close);
    const key = await cluster.createKey("studio-rosenheim", ["lookup"]);
    const getCode = async () => {
      const options = { key, method: "GET", className: "lookup" };
      return (await testing.sendCall(cluster.hosts[0], options)).status;
    };
    t.equal(await getCode(), 200);
    cluster.store.setFault({ kind: "down" });
    t.equal(await getCode(), 200, "it goes on serving");
    t.ok(await testing.waitUntil(async () => await getCode() === 503));
    cluster.store.setFault({ kind: "none" });
    t.ok(await testing.waitUntil(async () => await getCode() === 200));
  },
);

function getStatus(
  host: clusterModule.HostProcess,
  { agent, key }: { readonly agent: http.Agent; readonly key: string },
): Promise<number> {
  return new Promise((resolve, reject) => {
    http.get(`${host.callerUrl}/v1/models`, {
      agent,
      headers: { authorization: `Bearer ${key}` },
    }, (answer) => {
      answer.resume();
      answer.on("end", () => resolve(answer.statusCode ?? 0));
    }).on("error", reject);
  });
}
