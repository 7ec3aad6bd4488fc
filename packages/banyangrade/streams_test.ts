/** Streams and attempts that break, cross, are left, or bring servers down. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

const TOKENS = 20;

/** The token texts of a stream, in order. */
function listTokens(text: string): string[] {
  return [...text.matchAll(/"content":"(t\d+) "/g)].map((match) => match[1]);
}

const WHOLE = Array.from({ length: TOKENS }, (_, index) => `t${index}`);

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
  // Through both hosts, since each prefers engines of its own.
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
    // A teacher reads half an answer and the engine's connection breaks. The
    // rest must follow without a gap and without a word twice.
    broken.setFault({ kind: "break_after", tokens: 5 });
    const before = broken.seen.length;
    const answers = await sendMany(16);
    broken.setFault({ kind: "none" });
    t.ok(broken.seen.length > before, "the broken engine was used");
    const resumed = cluster.engines.flatMap((engine) => engine.seen)
      .filter((seen) => seen.headers["x-resume-offset"] !== undefined);
    t.ok(resumed.length > 0, `${resumed.length} were resumed`);
    answers.forEach((answer) => t.same(listTokens(answer.text), WHOLE));
  });

  await t.test("an answer to another request is dropped", async (t) => {
    broken.setFault({ kind: "cross" });
    const answers = await sendMany(12);
    broken.setFault({ kind: "none" });
    answers.forEach((answer) => {
      t.same(listTokens(answer.text), WHOLE);
      t.notMatch(answer.text, /another-request/);
    });
  });

  await t.test("an engine that keeps silent is given up in time", async (t) => {
    // An engine takes requests and never answers; its connections stay open.
    cluster.engines.forEach((engine) => engine.setFault({ kind: "silent" }));
    const waiting = testing.sendChat(first, { key, tokens: TOKENS });
    await testing.waitUntil(() =>
      cluster.engines.some((engine) =>
        engine.seen.at(-1)?.body.includes("Rooms?") ?? false
      )
    );
    cluster.engines.forEach((engine) => engine.setFault({ kind: "none" }));
    t.same(listTokens((await waiting).text), WHOLE, "tried elsewhere");
  });

  await t.test("a caller that leaves frees the engine", async (t) => {
    const abort = new AbortController();
    const left = fetch(`${first.callerUrl}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
      body: JSON.stringify({
        model: "timetable-8b",
        stream: true,
        max_tokens: 5_000,
        messages: [{ role: "user", content: "left" }],
      }),
      signal: abort.signal,
    }).then((answer) => answer.text()).catch(() => "left");
    const countRunning = () =>
      cluster.engines.reduce((sum, one) => sum + one.getLoad().running, 0);
    t.ok(await testing.waitUntil(() => countRunning() === 1));
    abort.abort();
    t.equal(await left, "left");
    t.ok(await testing.waitUntil(() => countRunning() === 0, 3_000));
  });

  await t.test("a request that crashes servers takes at most two", async (t) => {
    // One dossier brings down each engine that runs it, and its sender sends
    // it again, to another host. Two engines may be lost to it, not three.
    const lost = new Set<number>();
    cluster.engines.forEach((engine) =>
      engine.setFault({ kind: "crash_on", text: "poison" })
    );
    const send = (host: clusterModule.HostProcess) =>
      testing.sendChat(host, { key, tokens: 5, prompt: "poison" });
    const answer = await send(first);
    t.equal(answer.status, 422);
    t.match(JSON.parse(answer.text), {
      error: { code: "poison_request", ran: "unknown" },
    });
    const again = await send(second);
    t.equal(again.status, 422, "the other host knows");
    t.match(JSON.parse(again.text), { error: { ran: "no" } });
    cluster.engines.forEach((engine, index) => {
      if (engine.seen.some((seen) => seen.body.includes("poison"))) {
        lost.add(index);
      }
    });
    t.equal(lost.size, 2);
    const other = await testing.sendChat(second, { key, tokens: TOKENS });
    t.same(listTokens(other.text), WHOLE, "others are served");
  });
});
