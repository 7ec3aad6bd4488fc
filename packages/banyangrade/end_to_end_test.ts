/** End-to-end test with host processes: publish, call, stream, refuse and report usage. */
import * as path from "node:path";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";

const SERVICES = path.join(import.meta.dirname, "../../playground/tanzraum");

tap.t.test("each host serves and reports requests", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "rosenheim", "rosenheim"],
    engines: ["rosenheim-engines", "rosenheim-spot"],
    services: ["rosenheim-rooms"],
    serviceFiles: SERVICES,
    windowSeconds: 2,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", [
    "assistant",
    "lookup",
  ]);
  const headers = {
    authorization: `Bearer ${key}`,
    "content-type": "application/json",
  };
  for (const host of cluster.hosts) {
    const response = await fetch(`${host.callerUrl}/v1/chat/completions`, {
      method: "POST",
      headers,
      body: JSON.stringify({
        model: "timetable-8b",
        stream: true,
        max_tokens: 5,
        messages: [{ role: "user", content: `Rooms? My key is ${key}.` }],
      }),
    });
    const text = await response.text();
    t.equal(response.status, 200);
    t.match(text, /t0 .*t4 .*\[DONE\]/s, "the stream is complete");
    const call = await fetch(`${host.callerUrl}/services/rooms/monday`, {
      headers: { ...headers, "x-class": "lookup" },
    });
    t.equal(call.status, 200);
  }
  const seen = JSON.stringify([
    cluster.engines.map((engine) => engine.seen),
    cluster.services.map((service) => service.ran),
  ]);
  t.notOk(seen.includes(key), "no backend server sees the key");

  const unauthenticated = await fetch(
    `${cluster.hosts[0].callerUrl}/v1/models`,
  );
  t.equal(unauthenticated.status, 401);
  t.match(await unauthenticated.json(), {
    error: { code: "not_authenticated", ran: "no" },
  });

  const deadline = Date.now() + 30_000;
  const countReported = () =>
    [...cluster.usage.windows.values()].flatMap((window) => [
      window.figures,
      ...window.adjustments.map((adjustment) => adjustment.figures),
    ]).flatMap((figures) => Object.values(figures))
      .reduce((sum, figures) => sum + figures.requests, 0);
  while (countReported() < 6 && Date.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  t.equal(countReported(), 6, "each request is reported once");
  t.same(cluster.usage.contradictions, []);
});
