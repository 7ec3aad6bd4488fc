/** Control roles, configuration and planned stops, with real hosts that freeze and die. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

interface Status {
  readonly status: {
    readonly revision: number;
    readonly roles: readonly { role: string; host: string; token: number }[];
  };
  readonly hosts: readonly { host: string; revision: number }[];
}

async function readStatus(cluster: clusterModule.Cluster): Promise<Status> {
  const ran = await cluster.runCommand(["status", "--json"]);
  return JSON.parse(ran.output) as Status;
}

async function findHolder(
  cluster: clusterModule.Cluster,
  role: string,
): Promise<{ host: string; token: number }> {
  const { status } = await readStatus(cluster);
  const held = status.roles.find((one) => one.role === role);
  return held ?? { host: "", token: 0 };
}

/** Copies the sample service files with another target for one class. */
function writeVariant(folder: string, firstTokenMs: number): string {
  const variant = path.join(folder, `services-${firstTokenMs}`);
  fs.cpSync(testing.SERVICES, variant, { recursive: true });
  const file = path.join(variant, "studios.banyangrade.toml");
  const text = fs.readFileSync(file, "utf8");
  fs.writeFileSync(
    file,
    text.replace("first_token_ms = 1300", `first_token_ms = ${firstTokenMs}`),
  );
  return variant;
}

tap.t.test(
  "roles and configuration survive freezes, kills and outages",
  async (t) => {
    const cluster = await clusterModule.startCluster({
      hosts: ["rosenheim", "rosenheim", "rosenheim"],
      engines: ["rosenheim-engines"],
      services: ["rosenheim-rooms"],
      serviceFiles: testing.SERVICES,
      windowSeconds: 1,
      leaseSeconds: 2,
    });
    t.teardown(cluster.close);
    const key = await cluster.createKey("studio-rosenheim", [
      "assistant",
      "lookup",
    ]);

    await t.test("a frozen reporter is succeeded and does not contradict", async (t) => {
      // The reporting host is stopped for longer than its lease and goes on
      // afterwards; the billing department must not see a window twice.
      const before = await findHolder(cluster, "usage/rosenheim");
      const index = cluster.hosts.findIndex((host) =>
        host.name === before.host
      );
      const lookup = (at: number) =>
        testing.sendCall(cluster.hosts[at], {
          key,
          method: "GET",
          className: "lookup",
        });
      for (const at of [0, 1, 2]) await lookup(at);
      cluster.hosts[index].child.kill("SIGSTOP");
      const others = [0, 1, 2].filter((at) => at !== index);
      t.ok(
        await testing.waitUntil(async () => {
          for (const at of others) await lookup(at);
          const ways = cluster.hosts[others[0]];
          const status = await fetch(`${ways.operationsUrl}/status.json`);
          const { roles } = await status.json() as Status["status"];
          const held = roles.find((one) => one.role === "usage/rosenheim");
          return held !== undefined && held.token > before.token;
        }),
        "another host takes the role",
      );
      const windows = cluster.usage.windows.size;
      t.ok(
        await testing.waitUntil(() => cluster.usage.windows.size > windows),
        "and reports",
      );
      cluster.hosts[index].child.kill("SIGCONT");
      const after = cluster.usage.windows.size;
      await testing.waitUntil(() => cluster.usage.windows.size > after + 3);
      t.same(cluster.usage.contradictions, []);
      const tokens = [...cluster.usage.windows.entries()]
        .toSorted(([a], [b]) => a < b ? -1 : 1)
        .map(([, window]) => window.fencingToken);
      t.same(tokens, tokens.toSorted((a, b) => a - b), "tokens only grow");
    });

    await t.test("of two operators one wins and the other is told", async (t) => {
      const folders = [1_400, 1_500].map((ms) =>
        writeVariant(cluster.folder, ms)
      );
      const ran = await Promise.all(
        folders.map((folder, index) =>
          cluster.runCommand([
            "publish",
            "--services",
            folder,
            "--author",
            `operator-${index}`,
          ])
        ),
      );
      const codes = ran.map((one) => one.code).toSorted();
      const overtaken = ran.find((one) => one.code === 3);
      // Both may win if one read after the other had committed.
      t.ok(codes[0] === 0 && (codes[1] === 0 || codes[1] === 3), `${codes}`);
      if (overtaken !== undefined) {
        t.match(overtaken.output, /operator-\d published revision \d+ first/);
      }
    });

    await t.test("a host that starts in an outage takes the newest revision", async (t) => {
      const { status } = await readStatus(cluster);
      cluster.store.setFault({ kind: "down" });
      cluster.hosts[2].child.kill("SIGKILL");
      await cluster.restartHost(2);
      const page = await fetch(`${cluster.hosts[2].operationsUrl}/status.json`);
      const restarted = await page.json() as Status["status"];
      t.equal(restarted.revision, status.revision);
      const answer = await testing.sendCall(cluster.hosts[2], {
        key,
        method: "GET",
        className: "lookup",
      });
      t.equal(answer.status, 200, "and serves");
      const folder = writeVariant(cluster.folder, 1_600);
      const ran = await cluster.runCommand(["publish", "--services", folder]);
      t.equal(ran.code, 1, "publishing needs the store and says so");
      cluster.store.setFault({ kind: "none" });
      const again = await cluster.runCommand(["publish", "--services", folder]);
      t.equal(again.code, 0, again.output);
    });

    await t.test("restarting every host in turn cuts no stream", async (t) => {
      // A release is rolled out while parents and teachers use the assistant.
      let whole = 0;
      let running = true;
      const cut: string[] = [];
      const load = cluster.hosts.map(async (_, at) => {
        while (running) {
          const host = cluster.hosts[at];
          const exited = host.child.exitCode !== null || isDraining(host);
          if (exited) {
            await new Promise((resolve) => setTimeout(resolve, 20));
            continue;
          }
          const answer = await testing.sendChat(host, { key, tokens: 10 })
            .catch((thrown) => ({ status: 0, text: String(thrown) }));
          if (answer.text.includes("[DONE]")) whole += 1;
          else cut.push(`${answer.status} ${answer.text.slice(0, 200)}`);
        }
      });
      for (const at of [0, 1, 2]) {
        const { child } = cluster.hosts[at];
        draining.add(cluster.hosts[at].name);
        // The balancer notices a moment after the host has.
        setTimeout(() => child.kill("SIGTERM"), 0);
        const code = await new Promise((resolve) =>
          child.once("exit", resolve)
        );
        t.equal(code, 0, "a planned stop exits with 0");
        await cluster.restartHost(at);
        draining.delete(cluster.hosts[at].name);
      }
      running = false;
      await Promise.all(load);
      t.same(cut, [], "no stream was cut");
      t.ok(whole > 10, `${whole} streams`);
    });

    t.test("nothing was reported twice or with two figures", (t) => {
      t.same(cluster.usage.contradictions, []);
      t.end();
    });
  },
);

/** Hosts that the balancer, here the test, no longer sends to. */
const draining = new Set<string>();

function isDraining(host: clusterModule.HostProcess): boolean {
  return draining.has(host.name);
}
