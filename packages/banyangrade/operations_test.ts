/** Operations that run at most once, and the reported outcome of failed ones, with host processes. */
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

  await t.test("a retry at another host gets the first response", async (t) => {
    // A caller times out and retries, and the load balancer sends the retry to
    // a host that has not seen the operation.
    const options = { key, idempotencyKey: "k1", body: "again" };
    const original = await testing.sendCall(first, options);
    t.equal(original.status, 200);
    t.ok(
      await testing.waitUntil(async () => {
        const retry = await testing.sendCall(second, options);
        return retry.status === 200 && retry.text === original.text &&
          retry.headers.get("idempotent-replayed") === "true";
      }),
    );
    t.equal(countRuns("again"), 1);
    const other = await testing.sendCall(second, { ...options, body: "other" });
    t.equal(
      other.status,
      409,
      "the idempotency key is refused for a different request",
    );
    t.equal(countRuns("other"), 0);
  });

  await t.test("a retry with a withdrawn key is not reported as not run", async (t) => {
    // A booking ran, its response was lost, and the API key is withdrawn before
    // the caller retries. If the refusal said "not run", the caller would book a
    // second time with its new key.
    const ownKey = await cluster.createKey("studio-rosenheim", ["booking"]);
    const options = { key: ownKey, idempotencyKey: "k9", body: "withdrawn" };
    t.equal((await testing.sendCall(first, options)).status, 200);
    const name = ownKey.split("_")[1];
    const withdrawn = await cluster.runCommand(["key", "withdraw", name]);
    t.equal(withdrawn.code, 0, withdrawn.output);
    let response = await testing.sendCall(second, options);
    await testing.waitUntil(async () => {
      response = await testing.sendCall(second, options);
      return response.status === 401;
    });
    t.match(JSON.parse(response.text), {
      error: { code: "not_authenticated", ran: "unknown" },
    });
    const withoutKey = { ...options, idempotencyKey: undefined };
    t.match(JSON.parse((await testing.sendCall(second, withoutKey)).text), {
      error: { ran: "no" },
    });
  });

  await t.test("an operation whose response is lost stays unknown and is not run again", async (t) => {
    // The room service books, but the connection breaks before it responds, so
    // the host cannot know the outcome. A retry must not book a second time.
    service.setFault({ kind: "lose_answer" });
    const options = { key, idempotencyKey: "k2", body: "lost" };
    const original = await testing.sendCall(first, options);
    service.setFault({ kind: "none" });
    t.equal(original.status, 502);
    t.match(JSON.parse(original.text), { error: { ran: "unknown" } });
    const retry = await testing.sendCall(third, options);
    t.equal(retry.status, 409);
    t.match(JSON.parse(retry.text), { error: { ran: "unknown" } });
    t.equal(countRuns("lost"), 1);
  });

  await t.test("an operation that the service refused is reported as not run and may be retried", async (t) => {
    service.setFault({ kind: "refuse" });
    const options = { key, idempotencyKey: "k3", body: "refused" };
    const original = await testing.sendCall(first, options);
    service.setFault({ kind: "none" });
    t.match(JSON.parse(original.text), { error: { ran: "no" } });
    t.ok(
      await testing.waitUntil(async () =>
        (await testing.sendCall(second, options)).status === 200
      ),
    );
    t.equal(countRuns("refused"), 1);
  });

  await t.test("a ticket runs exactly once during a store outage", async (t) => {
    // A caller's own idempotency key must be claimed in the store, which is
    // down. A ticket is checked by the host that issued it, so any host can
    // accept it without the store.
    cluster.store.setFault({ kind: "down" });
    const ownKeyResponse = await testing.sendCall(first, {
      key,
      idempotencyKey: "k4",
      body: "own",
    });
    t.equal(ownKeyResponse.status, 503);
    t.match(JSON.parse(ownKeyResponse.text), {
      error: { code: "store_unavailable", ran: "unknown" },
    });
    t.ok(ownKeyResponse.headers.get("retry-after"));
    t.equal(countRuns("own"), 0);

    const ticket = await testing.takeTicket(first, key);
    const options = { key, idempotencyKey: ticket, body: "ticket" };
    const original = await testing.sendCall(second, options);
    t.equal(
      original.status,
      200,
      "forwarded to the host that issued the ticket",
    );
    const retry = await testing.sendCall(first, options);
    t.equal(retry.text, original.text);
    const secondRetry = await testing.sendCall(third, options);
    t.equal(secondRetry.text, original.text);
    t.equal(countRuns("ticket"), 1);

    const lookup = await testing.sendCall(third, {
      key,
      method: "GET",
      className: "lookup",
    });
    t.equal(lookup.status, 200, "lookups are still served");
    cluster.store.setFault({ kind: "none" });
    t.ok(
      await testing.waitUntil(async () =>
        (await testing.sendCall(second, {
          key,
          idempotencyKey: "k4",
          body: "own",
        })).status === 200
      ),
      "the caller's own idempotency key works again",
    );
    t.equal(countRuns("own"), 1);
  });

  await t.test("a claim whose store response is lost is resolved", async (t) => {
    // The store wrote the claim, but its response was lost. If the host took
    // that for a failure, retries would find the claim and be refused for a day
    // with an unknown outcome.
    cluster.store.setFault({ kind: "lose_answers", count: 1 });
    const original = await testing.sendCall(first, {
      key,
      idempotencyKey: "k5",
      body: "resolved",
    });
    t.equal(original.status, 200);
    t.equal(countRuns("resolved"), 1);
  });

  await t.test("a ticket whose issuer was killed is refused with an unknown outcome", async (t) => {
    // The host that issued the ticket books and is killed before it responds.
    // The caller retries at another host, which must not book again.
    const ticket = await testing.takeTicket(first, key);
    service.setFault({ kind: "slow", ms: 3_000 });
    const options = { key, idempotencyKey: ticket, body: "killed" };
    const original = testing.sendCall(first, options).catch(() => undefined);
    await testing.waitUntil(() => countRuns("killed") === 1);
    first.child.kill("SIGKILL");
    await original;
    service.setFault({ kind: "none" });
    const retry = await testing.sendCall(second, options);
    t.equal(retry.status, 409);
    t.match(JSON.parse(retry.text), { error: { ran: "unknown" } });
    await cluster.restartHost(0);
    const secondRetry = await testing.sendCall(cluster.hosts[0], options);
    t.equal(
      secondRetry.status,
      409,
      "the restarted host does not accept a ticket of its previous incarnation",
    );
    t.equal(countRuns("killed"), 1);
  });
});
