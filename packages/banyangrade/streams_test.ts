/** Streams that break, belong to another request, are abandoned, or crash their engine. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

const TOKENS = 20;

/** Lists the token texts of a stream, in order. */
function listTokens(text: string): string[] {
  return [...text.matchAll(/"content":"(t\d+) "/g)].map((match) => match[1]);
}

const ALL_TOKENS = Array.from({ length: TOKENS }, (_, index) => `t${index}`);

tap.t.test("streams that fail", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "rosenheim"],
    engines: ["rosenheim-engines", "rosenheim-engines", "rosenheim-engines"],
    services: [],
    serviceFiles: testing.SERVICES,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", ["assistant"]);
  const [first, second] = cluster.hosts;
  const [broken] = cluster.engines;
  // Sends through both hosts, because each host prefers different engines.
  const sendMany = (count: number) =>
    Promise.all(
      Array.from({ length: count }, (_, index) =>
        testing.sendChat(cluster.hosts[index % 2], {
          key,
          tokens: TOKENS,
          prompt: `${Math.floor(index / 2)} ${"x".repeat(index)}`,
        })),
    );

  await t.test("a broken stream is resumed at its offset", async (t) => {
    // The connection to the engine breaks in the middle of a stream. The attempt
    // that resumes it must neither skip nor repeat tokens.
    broken.setFault({ kind: "break_after", tokens: 5 });
    const before = broken.seen.length;
    const responses = await sendMany(16);
    broken.setFault({ kind: "none" });
    t.ok(broken.seen.length > before, "the broken engine was used");
    const resumed = cluster.engines.flatMap((engine) => engine.seen)
      .filter((seen) => seen.headers["x-resume-offset"] !== undefined);
    t.ok(resumed.length > 0, `${resumed.length} streams were resumed`);
    responses.forEach((response) =>
      t.same(listTokens(response.text), ALL_TOKENS)
    );
  });

  await t.test("a response that belongs to another request is discarded", async (t) => {
    broken.setFault({ kind: "cross" });
    const responses = await sendMany(12);
    broken.setFault({ kind: "none" });
    responses.forEach((response) => {
      t.same(listTokens(response.text), ALL_TOKENS);
      t.notMatch(response.text, /another-request/);
    });
  });

  await t.test("an attempt on an engine that never responds times out and is retried", async (t) => {
    // Engines accept requests and never respond, while their connections stay
    // open, so that only a timeout ends the attempt.
    cluster.engines.forEach((engine) => engine.setFault({ kind: "silent" }));
    const waiting = testing.sendChat(first, { key, tokens: TOKENS });
    await testing.waitUntil(() =>
      cluster.engines.some((engine) =>
        engine.seen.at(-1)?.body.includes("Rooms?") ?? false
      )
    );
    cluster.engines.forEach((engine) => engine.setFault({ kind: "none" }));
    t.same(
      listTokens((await waiting).text),
      ALL_TOKENS,
      "another attempt completes the stream",
    );
  });

  await t.test("the attempt stops at the engine when its caller disconnects", async (t) => {
    const abort = new AbortController();
    const abandoned = fetch(`${first.callerUrl}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
      body: JSON.stringify({
        model: "timetable-8b",
        stream: true,
        max_tokens: 5_000,
        messages: [{ role: "user", content: "left" }],
      }),
      signal: abort.signal,
    }).then((response) => response.text()).catch(() => "left");
    const countRunning = () =>
      cluster.engines.reduce((sum, one) => sum + one.getLoad().running, 0);
    t.ok(await testing.waitUntil(() => countRunning() === 1));
    abort.abort();
    t.equal(await abandoned, "left");
    t.ok(await testing.waitUntil(() => countRunning() === 0, 3_000));
  });

  await t.test("a request that crashes engines crashes at most two", async (t) => {
    // A request crashes each engine that runs it, and its caller retries it at
    // another host. The hosts must stop trying it after two crashed engines.
    const crashed = new Set<number>();
    cluster.engines.forEach((engine) =>
      engine.setFault({ kind: "crash_on", text: "poison" })
    );
    const send = (host: clusterModule.HostProcess) =>
      testing.sendChat(host, { key, tokens: 5, prompt: "poison" });
    const response = await send(first);
    t.equal(response.status, 422);
    t.match(JSON.parse(response.text), {
      error: { code: "poison_request", ran: "unknown" },
    });
    const retry = await send(second);
    t.equal(retry.status, 422, "the other host refuses it, too");
    t.match(JSON.parse(retry.text), { error: { ran: "no" } });
    cluster.engines.forEach((engine, index) => {
      if (engine.seen.some((seen) => seen.body.includes("poison"))) {
        crashed.add(index);
      }
    });
    t.equal(crashed.size, 2);
    const other = await testing.sendChat(second, { key, tokens: TOKENS });
    t.same(
      listTokens(other.text),
      ALL_TOKENS,
      "other requests are still served",
    );
  });
});
