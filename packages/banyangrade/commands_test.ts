/** The operators' commands, run against host processes. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

tap.t.test("commands", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "rosenheim"],
    engines: [],
    services: ["rosenheim-rooms"],
    serviceFiles: testing.SERVICES,
    windowSeconds: 1,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", ["lookup"]);
  const [first, second] = cluster.hosts;
  const run = (...words: string[]) => cluster.runCommand(words);

  await t.test("explain gives the reason for a refusal", async (t) => {
    const response = await testing.sendCall(first, {
      key,
      className: "booking",
    });
    t.equal(response.status, 403);
    const requestId = response.headers.get("x-request-id") ?? "";
    const result = await run("explain", "request", requestId);
    t.equal(result.code, 0, result.output);
    t.match(result.output, /not_allowed.*Ran: no/);
    t.equal((await run("explain", "request", "unknown")).code, 1);
    t.match((await run("explain", "class", "lookup")).output, /Nothing/);
    t.match((await run("explain", "server", "none")).output, /does not know/);
  });

  await t.test("customer, usage, orders and status list the current records", async (t) => {
    await testing.sendCall(first, { key, method: "GET", className: "lookup" });
    const customers = await run("customer", "--json");
    t.match(JSON.parse(customers.output), [
      { customer: "studio-rosenheim", keys: 1 },
      { customer: "studio-weilheim", keys: 0 },
    ]);
    t.ok(
      await testing.waitUntil(async () =>
        /rosenheim-\d+ +yes/.test((await run("usage")).output)
      ),
      "a usage window is reported",
    );
    t.equal((await run("orders")).code, 0);
    const status = await run("status");
    t.match(status.output, /usage\/rosenheim/);
    t.ok(
      status.output.split("\n").every((line) => line.length <= 100),
      "no line is longer than 100 characters",
    );
    t.notOk(status.output.includes(key));
  });

  await t.test("check reports file, line, option and a suggestion", async (t) => {
    const file = path.join(cluster.folder, "wrong.toml");
    fs.writeFileSync(
      file,
      '[host]\nname = "a"\nfailure_domian = "b"\n[caller]\naddress = "here"\n',
    );
    const result = await clusterModule.runProgram([
      "check",
      "--settings",
      file,
    ]);
    t.equal(result.code, 2);
    t.match(
      result.output,
      /wrong.toml:3: host.failure_domian: .*"failure_domain"\?/,
    );
    t.match(result.output, /wrong.toml:5: caller.address: An address is an IP/);
  });

  await t.test("an invalid command line names the invalid part and exits with 2", async (t) => {
    const invalid = await run("publish", "--service", "x");
    t.equal(invalid.code, 2);
    t.match(invalid.output, /--service/);
    t.equal((await run("publsh")).code, 2);
  });

  await t.test("drain stops the named host with exit code 0", async (t) => {
    const exited = new Promise((resolve) => second.child.once("exit", resolve));
    const result = await run("drain", "--host", second.peerAddress);
    t.equal(result.code, 0, result.output);
    t.equal(await exited, 0);
  });
});
