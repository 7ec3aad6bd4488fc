/** API keys that are withdrawn while they are in use, with host processes. */
import * as http from "node:http";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

/** Time limit within which a withdrawal takes effect, in ms. */
const WITHDRAWAL_TIMEOUT_MS = 5_000;

tap.t.test("a withdrawn key is refused", async (t) => {
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
    t.equal(await fetchStatusCode(host, { agent, key }), 200);
    const stream = testing.sendChat(host, { key, tokens: 2_000 });
    await testing.waitUntil(() => cluster.engines[0].getLoad().running === 1);

    const result = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(result.code, 0, result.output);
    const interrupted = await stream;
    t.match(interrupted.text, /event: error\ndata: .*key_withdrawn/);
    t.notMatch(
      interrupted.text,
      /\[DONE\]/,
      "the stream does not end like a complete response",
    );
    t.equal(await fetchStatusCode(host, { agent, key }), 401);
    t.ok(
      await testing.waitUntil(
        () => cluster.engines[0].getLoad().running === 0,
        WITHDRAWAL_TIMEOUT_MS,
      ),
      "the attempt is stopped at the engine",
    );
  });

  await t.test("while the store is down", async (t) => {
    // A leaked key must be withdrawn during an outage of the store. The command
    // tells a host, and the hosts forward the withdrawal to each other.
    const key = await createKey();
    cluster.store.setFault({ kind: "down" });
    const result = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(result.code, 1, "the withdrawal is not stored yet");
    t.match(result.output, /run this again/);
    for (const host of cluster.hosts) {
      t.ok(
        await testing.waitUntil(
          () => isRefused(host, key),
          WITHDRAWAL_TIMEOUT_MS,
        ),
        `refused at ${host.name}`,
      );
    }
    cluster.store.setFault({ kind: "none" });
    const retry = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(retry.code, 0, retry.output);
    await cluster.hosts[1].child.kill("SIGKILL");
    await cluster.restartHost(1);
    t.ok(
      await isRefused(cluster.hosts[1], key),
      "the key is still refused after a restart",
    );
  });

  await t.test("in a failure domain that is partitioned from the store", async (t) => {
    // Hosts in Weilheim cannot read the withdrawal from the store, but hosts in
    // Rosenheim forward it to them.
    const key = await createKey();
    cluster.store.setDisconnected(
      cluster.storeUrls.get("weilheim") ?? "",
      true,
    );
    t.notOk(await isRefused(cluster.hosts[2], key), "the host still serves");
    const result = await cluster.runCommand(["key", "withdraw", getName(key)]);
    t.equal(result.code, 0, result.output);
    t.ok(
      await testing.waitUntil(
        () => isRefused(cluster.hosts[2], key),
        WITHDRAWAL_TIMEOUT_MS,
      ),
    );
    cluster.store.setDisconnected(
      cluster.storeUrls.get("weilheim") ?? "",
      false,
    );
  });
});

tap.t.test(
  "all keys are refused when the store was unreachable for offline_seconds",
  async (t) => {
    // A host that reaches neither the store nor other hosts does not learn of
    // withdrawals. After offline_seconds, here 3 s, it refuses every key until
    // it reaches the store again.
    const cluster = await clusterModule.startCluster({
      hosts: ["rosenheim"],
      engines: [],
      services: ["rosenheim-rooms"],
      serviceFiles: testing.SERVICES,
      offlineSeconds: 3,
    });
    t.teardown(cluster.close);
    const key = await cluster.createKey("studio-rosenheim", ["lookup"]);
    const getStatusCode = async () => {
      const options = { key, method: "GET", className: "lookup" };
      return (await testing.sendCall(cluster.hosts[0], options)).status;
    };
    t.equal(await getStatusCode(), 200);
    cluster.store.setFault({ kind: "down" });
    t.equal(await getStatusCode(), 200, "the host still serves");
    t.ok(await testing.waitUntil(async () => await getStatusCode() === 503));
    cluster.store.setFault({ kind: "none" });
    t.ok(await testing.waitUntil(async () => await getStatusCode() === 200));
  },
);

function fetchStatusCode(
  host: clusterModule.HostProcess,
  { agent, key }: { readonly agent: http.Agent; readonly key: string },
): Promise<number> {
  return new Promise((resolve, reject) => {
    http.get(`${host.callerUrl}/v1/models`, {
      agent,
      headers: { authorization: `Bearer ${key}` },
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode ?? 0));
    }).on("error", reject);
  });
}
