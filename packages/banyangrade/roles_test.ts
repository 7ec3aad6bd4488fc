/** Control roles, configuration and planned stops, with host processes that are paused and killed. */
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
  const result = await cluster.runCommand(["status", "--json"]);
  return JSON.parse(result.output) as Status;
}

async function findHolder(
  cluster: clusterModule.Cluster,
  role: string,
): Promise<{ host: string; token: number }> {
  const { status } = await readStatus(cluster);
  const holder = status.roles.find((one) => one.role === role);
  return holder ?? { host: "", token: 0 };
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
  "roles and configuration survive paused hosts, killed hosts and store outages",
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

    await t.test("a paused usage reporter is replaced and sends no contradicting report", async (t) => {
      // The host with the reporting role is paused for longer than its lease and
      // then resumes with a stale role. Its fencing token must keep it from
      // reporting a window that its successor reported.
      const before = await findHolder(cluster, "usage/rosenheim");
      const index = cluster.hosts.findIndex((host) =>
        host.name === before.host
      );
      const sendLookup = (at: number) =>
        testing.sendCall(cluster.hosts[at], {
          key,
          method: "GET",
          className: "lookup",
        });
      for (const at of [0, 1, 2]) await sendLookup(at);
      cluster.hosts[index].child.kill("SIGSTOP");
      const others = [0, 1, 2].filter((at) => at !== index);
      t.ok(
        await testing.waitUntil(async () => {
          for (const at of others) await sendLookup(at);
          const observer = cluster.hosts[others[0]];
          const status = await fetch(`${observer.operationsUrl}/status.json`);
          const { roles } = await status.json() as Status["status"];
          const holder = roles.find((one) => one.role === "usage/rosenheim");
          return holder !== undefined && holder.token > before.token;
        }),
        "another host takes the role",
      );
      const windows = cluster.usage.windows.size;
      t.ok(
        await testing.waitUntil(() => cluster.usage.windows.size > windows),
        "the new holder reports usage",
      );
      cluster.hosts[index].child.kill("SIGCONT");
      const after = cluster.usage.windows.size;
      await testing.waitUntil(() => cluster.usage.windows.size > after + 3);
      t.same(cluster.usage.contradictions, []);
      const tokens = [...cluster.usage.windows.entries()]
        .toSorted(([a], [b]) => a < b ? -1 : 1)
        .map(([, window]) => window.fencingToken);
      t.same(
        tokens,
        tokens.toSorted((a, b) => a - b),
        "fencing tokens never decrease",
      );
    });

    await t.test("of two concurrent publishers at least one commits and the other gets a conflict", async (t) => {
      const folders = [1_400, 1_500].map((ms) =>
        writeVariant(cluster.folder, ms)
      );
      const results = await Promise.all(
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
      const codes = results.map((one) => one.code).toSorted();
      const overtaken = results.find((one) => one.code === 3);
      // Both succeed if the second one read after the first had committed.
      t.ok(codes[0] === 0 && (codes[1] === 0 || codes[1] === 3), `${codes}`);
      if (overtaken !== undefined) {
        t.match(overtaken.output, /operator-\d published revision \d+ first/);
      }
    });

    await t.test("a host that restarts during a store outage uses the newest revision", async (t) => {
      const { status } = await readStatus(cluster);
      cluster.store.setFault({ kind: "down" });
      cluster.hosts[2].child.kill("SIGKILL");
      await cluster.restartHost(2);
      const page = await fetch(`${cluster.hosts[2].operationsUrl}/status.json`);
      const restarted = await page.json() as Status["status"];
      t.equal(restarted.revision, status.revision);
      const response = await testing.sendCall(cluster.hosts[2], {
        key,
        method: "GET",
        className: "lookup",
      });
      t.equal(response.status, 200, "the restarted host serves requests");
      const folder = writeVariant(cluster.folder, 1_600);
      const result = await cluster.runCommand([
        "publish",
        "--services",
        folder,
      ]);
      t.equal(result.code, 1, "publishing fails without the store");
      cluster.store.setFault({ kind: "none" });
      const retry = await cluster.runCommand(["publish", "--services", folder]);
      t.equal(retry.code, 0, retry.output);
    });

    await t.test("a rolling restart interrupts no stream", async (t) => {
      // Each host is restarted in turn while streams run. A host that stops
      // without draining would interrupt them.
      let completed = 0;
      let running = true;
      const broken: string[] = [];
      const senders = cluster.hosts.map(async (_, at) => {
        while (running) {
          const host = cluster.hosts[at];
          const exited = host.child.exitCode !== null || isDraining(host);
          if (exited) {
            await new Promise((resolve) => setTimeout(resolve, 20));
            continue;
          }
          const response = await testing.sendChat(host, { key, tokens: 10 })
            .catch((thrown) => ({ status: 0, text: String(thrown) }));
          if (response.text.includes("[DONE]")) completed += 1;
          else broken.push(`${response.status} ${response.text.slice(0, 200)}`);
        }
      });
      for (const at of [0, 1, 2]) {
        const { child } = cluster.hosts[at];
        draining.add(cluster.hosts[at].name);
        // The signal is sent after the load balancer stops choosing the host.
        setTimeout(() => child.kill("SIGTERM"), 0);
        const code = await new Promise((resolve) =>
          child.once("exit", resolve)
        );
        t.equal(code, 0, "a drained host exits with code 0");
        await cluster.restartHost(at);
        draining.delete(cluster.hosts[at].name);
      }
      running = false;
      await Promise.all(senders);
      t.same(broken, [], "no stream was interrupted");
      t.ok(completed > 10, `${completed} streams`);
    });

    t.test("no usage window was reported with contradicting figures", (t) => {
      t.same(cluster.usage.contradictions, []);
      t.end();
    });
  },
);

/** Names of draining hosts, to which this test, acting as the load balancer, sends no requests. */
const draining = new Set<string>();

function isDraining(host: clusterModule.HostProcess): boolean {
  return draining.has(host.name);
}
