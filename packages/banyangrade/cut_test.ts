/** Two failure domains that lose each other and find each other again. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

tap.t.test("failure domains that are cut off from each other", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "weilheim"],
    engines: ["weilheim-engines"],
    services: ["rosenheim-rooms", "weilheim-rooms"],
    serviceFiles: testing.SERVICES,
    cuttable: true,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", [
    "assistant",
    "lookup",
    "booking",
  ]);
  const [rosenheim, weilheim] = cluster.hosts;
  const ask = (host: clusterModule.HostProcess) =>
    testing.sendChat(host, { key, tokens: 5 });
  const lookUp = (host: clusterModule.HostProcess, by = key) =>
    testing.sendCall(host, { key: by, method: "GET", className: "lookup" });
  const book = (idempotencyKey: string) =>
    testing.sendCall(rosenheim, { key, idempotencyKey, body: "cut" });
  const countBookings = () =>
    cluster.services.flatMap((service) => service.ran)
      .filter((call) => call.body === "cut").length;
  const setCut = (cut: boolean) =>
    cluster.peerWays.forEach((way) => way.setCut(cut));
  t.ok(
    await testing.waitUntil(async () => (await ask(rosenheim)).status === 200),
    "Rosenheim borrows engines of Weilheim",
  );
  const ticket = await testing.takeTicket(weilheim, key);
  setCut(true);

  await t.test("each goes on serving what it can", async (t) => {
    t.equal((await lookUp(rosenheim)).status, 200);
    t.equal((await lookUp(weilheim)).status, 200);
    t.equal((await ask(weilheim)).status, 200);
    t.ok(
      await testing.waitUntil(async () =>
        (await ask(rosenheim)).status === 503
      ),
      "nothing is borrowed across the cut",
    );
    const { error } = JSON.parse((await ask(rosenheim)).text);
    t.match(error, { code: "no_capacity", ran: "no" });
  });

  await t.test("a ticket of the other side is not run, nor called so", async (t) => {
    // A parent books with a ticket that Weilheim's host issued; the balancer
    // takes the booking to Rosenheim, which cannot ask whether it ran before.
    const answer = await book(ticket);
    t.equal(answer.status, 409);
    t.match(JSON.parse(answer.text), { error: { ran: "unknown" } });
    t.equal(countBookings(), 0);
  });

  await t.test("a withdrawn key stops on both sides", async (t) => {
    // Both still reach the store, so neither needs the other to hear of it.
    const own = await cluster.createKey("studio-rosenheim", ["lookup"]);
    const isTaken = async (host: clusterModule.HostProcess) =>
      (await lookUp(host, own)).status === 200;
    t.ok(await testing.waitUntil(() => isTaken(rosenheim)));
    t.ok(await testing.waitUntil(() => isTaken(weilheim)));
    await cluster.runCommand(["key", "withdraw", own.split("_")[1]]);
    const isRefused = async (host: clusterModule.HostProcess) =>
      (await lookUp(host, own)).status === 401;
    t.ok(await testing.waitUntil(() => isRefused(rosenheim)));
    t.ok(await testing.waitUntil(() => isRefused(weilheim)));
  });

  await t.test("healed, nothing is lost or doubled", async (t) => {
    setCut(false);
    t.ok(
      await testing.waitUntil(async () =>
        (await ask(rosenheim)).status === 200
      ),
      "Rosenheim borrows again",
    );
    t.ok(
      await testing.waitUntil(async () => (await book(ticket)).status === 200),
      "the booking runs where its ticket was issued",
    );
    t.equal((await book(ticket)).status, 200);
    t.equal(countBookings(), 1);
  });
});
