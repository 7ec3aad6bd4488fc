/** At most once and truthful refusals, with real hosts. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

tap.t.test("bookings run at most once", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "rosenheim", "rosenheim"],
    engines: [],
    services: ["rosenheim-rooms"],
    serviceFiles: testing.SERVICES,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", [
    "booking",
    "lookup",
  ]);
  const [first, second, third] = cluster.hosts;
  const [service] = cluster.services;
  const countRuns = (body: string) =>
    service.ran.filter((call) => call.body === body).length;

  await t.test("sent again to another host, the first answer comes back", async (t) => {
    // A course leader's app gets no answer in time and sends the booking
    // again; the balancer takes it to a host that has never heard of it.
    const options = { key, idempotencyKey: "k1", body: "again" };
    const one = await testing.sendCall(first, options);
    t.equal(one.status, 200);
    t.ok(
      await testing.waitUntil(async () => {
        const two = await testing.sendCall(second, options);
        return two.status === 200 && two.text === one.text &&
          two.headers.get("idempotent-replayed") === "true";
      }),
    );
    t.equal(countRuns("again"), 1);
    const other = await testing.sendCall(second, { ...options, body: "other" });
    t.equal(other.status, 409, "the key is not taken for another request");
    t.equal(countRuns("other"), 0);
  });

  await t.test("a booking that ran is never called not run", async (t) => {
    // A booking ran and its answer was lost on the way. The studio's key is
    // withdrawn before the app sends it again; "not run" would make it book a
    // second time with its new key.
    const own = await cluster.createKey("studio-rosenheim", ["booking"]);
    const options = { key: own, idempotencyKey: "k9", body: "withdrawn" };
    t.equal((await testing.sendCall(first, options)).status, 200);
    const name = own.split("_")[1];
    const withdrawn = await cluster.runCommand(["key", "withdraw", name]);
    t.equal(withdrawn.code, 0, withdrawn.output);
    let last = await testing.sendCall(second, options);
    await testing.waitUntil(async () => {
      last = await testing.sendCall(second, options);
      return last.status === 401;
    });
    t.match(JSON.parse(last.text), {
      error: { code: "not_authenticated", ran: "unknown" },
    });
    const fresh = { ...options, idempotencyKey: undefined };
    t.match(JSON.parse((await testing.sendCall(second, fresh)).text), {
      error: { ran: "no" },
    });
  });

  await t.test("a lost answer is unknown, and stays so", async (t) => {
    // The room service books and loses the connection before it answers. The
    // host cannot know; whoever sends again must not book a second time.
    service.setFault({ kind: "lose_answer" });
    const options = { key, idempotencyKey: "k2", body: "lost" };
    const one = await testing.sendCall(first, options);
    service.setFault({ kind: "none" });
    t.equal(one.status, 502);
    t.match(JSON.parse(one.text), { error: { ran: "unknown" } });
    const two = await testing.sendCall(third, options);
    t.equal(two.status, 409);
    t.match(JSON.parse(two.text), { error: { ran: "unknown" } });
    t.equal(countRuns("lost"), 1);
  });

  await t.test("an explicit refusal is not run, and may be sent again", async (t) => {
    service.setFault({ kind: "refuse" });
    const options = { key, idempotencyKey: "k3", body: "refused" };
    const one = await testing.sendCall(first, options);
    service.setFault({ kind: "none" });
    t.match(JSON.parse(one.text), { error: { ran: "no" } });
    t.ok(
      await testing.waitUntil(async () =>
        (await testing.sendCall(second, options)).status === 200
      ),
    );
    t.equal(countRuns("refused"), 1);
  });

  await t.test("in a store outage a ticket still books once", async (t) => {
    // The platform's store is down for an hour and studios want to book. A
    // caller's own key cannot be claimed; a ticket needs no store, whichever
    // host it is sent to.
    cluster.store.setFault({ kind: "down" });
    const own = await testing.sendCall(first, {
      key,
      idempotencyKey: "k4",
      body: "own",
    });
    t.equal(own.status, 503);
    t.match(JSON.parse(own.text), {
      error: { code: "store_unavailable", ran: "unknown" },
    });
    t.ok(own.headers.get("retry-after"));
    t.equal(countRuns("own"), 0);

    const ticket = await testing.takeTicket(first, key);
    const options = { key, idempotencyKey: ticket, body: "ticket" };
    const one = await testing.sendCall(second, options);
    t.equal(one.status, 200, "forwarded to its issuer");
    const two = await testing.sendCall(first, options);
    t.equal(two.text, one.text);
    const three = await testing.sendCall(third, options);
    t.equal(three.text, one.text);
    t.equal(countRuns("ticket"), 1);

    const lookup = await testing.sendCall(third, {
      key,
      method: "GET",
      className: "lookup",
    });
    t.equal(lookup.status, 200, "lookups go on");
    cluster.store.setFault({ kind: "none" });
    t.ok(
      await testing.waitUntil(async () =>
        (await testing.sendCall(second, {
          key,
          idempotencyKey: "k4",
          body: "own",
        })).status === 200
      ),
      "the caller's own key works again",
    );
    t.equal(countRuns("own"), 1);
  });

  await t.test("a lost answer of the store is resolved", async (t) => {
    // The claim took effect but its answer was lost. Taken for a failure, the
    // booking would be refused for a day as perhaps run.
    cluster.store.setFault({ kind: "lose_answers", count: 1 });
    const one = await testing.sendCall(first, {
      key,
      idempotencyKey: "k5",
      body: "resolved",
    });
    t.equal(one.status, 200);
    t.equal(countRuns("resolved"), 1);
  });

  await t.test("a ticket whose issuer was killed may have run", async (t) => {
    // The issuer books and is killed before it can answer; the caller sends
    // the ticket to another host, which must not book again.
    const ticket = await testing.takeTicket(first, key);
    service.setFault({ kind: "slow", ms: 3_000 });
    const options = { key, idempotencyKey: ticket, body: "killed" };
    const one = testing.sendCall(first, options).catch(() => undefined);
    await testing.waitUntil(() => countRuns("killed") === 1);
    first.child.kill("SIGKILL");
    await one;
    service.setFault({ kind: "none" });
    const two = await testing.sendCall(second, options);
    t.equal(two.status, 409);
    t.match(JSON.parse(two.text), { error: { ran: "unknown" } });
    await cluster.restartHost(0);
    const three = await testing.sendCall(cluster.hosts[0], options);
    t.equal(three.status, 409, "its next incarnation knows it is not its own");
    t.equal(countRuns("killed"), 1);
  });
});
