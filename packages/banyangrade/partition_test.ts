/** A network partition between two failure domains, and its end. */
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

tap.t.test("partitioned failure domains", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim", "weilheim"],
    engines: ["weilheim-engines"],
    services: ["rosenheim-rooms", "weilheim-rooms"],
    serviceFiles: testing.SERVICES,
    usesPeerForwarders: true,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", [
    "assistant",
    "lookup",
    "booking",
  ]);
  const [rosenheim, weilheim] = cluster.hosts;
  const sendChat = (host: clusterModule.HostProcess) =>
    testing.sendChat(host, { key, tokens: 5 });
  const sendLookup = (host: clusterModule.HostProcess, apiKey = key) =>
    testing.sendCall(host, { key: apiKey, method: "GET", className: "lookup" });
  const sendBooking = (idempotencyKey: string) =>
    testing.sendCall(rosenheim, { key, idempotencyKey, body: "cut" });
  const countBookings = () =>
    cluster.services.flatMap((service) => service.ran)
      .filter((call) => call.body === "cut").length;
  const setPartitioned = (partitioned: boolean) =>
    cluster.peerForwarders.forEach((way) => way.setDisconnected(partitioned));
  t.ok(
    await testing.waitUntil(async () =>
      (await sendChat(rosenheim)).status === 200
    ),
    "Rosenheim uses engines of Weilheim",
  );
  const ticket = await testing.takeTicket(weilheim, key);
  setPartitioned(true);

  await t.test("each side serves what its own backend servers can serve", async (t) => {
    t.equal((await sendLookup(rosenheim)).status, 200);
    t.equal((await sendLookup(weilheim)).status, 200);
    t.equal((await sendChat(weilheim)).status, 200);
    t.ok(
      await testing.waitUntil(async () =>
        (await sendChat(rosenheim)).status === 503
      ),
      "Rosenheim refuses what needs engines of Weilheim",
    );
    const { error } = JSON.parse((await sendChat(rosenheim)).text);
    t.match(error, { code: "no_capacity", ran: "no" });
  });

  await t.test("a ticket that was issued across the partition is refused with an unknown outcome", async (t) => {
    // A host in Weilheim issued the ticket, but the load balancer sends the
    // request to Rosenheim, which cannot ask whether it already ran. Running it
    // could book twice; reporting "not run" could be false.
    const response = await sendBooking(ticket);
    t.equal(response.status, 409);
    t.match(JSON.parse(response.text), { error: { ran: "unknown" } });
    t.equal(countBookings(), 0);
  });

  await t.test("a withdrawn key is refused on both sides of the partition", async (t) => {
    // Both sides still reach the store and read the withdrawal there.
    const withdrawnKey = await cluster.createKey("studio-rosenheim", [
      "lookup",
    ]);
    const isAccepted = async (host: clusterModule.HostProcess) =>
      (await sendLookup(host, withdrawnKey)).status === 200;
    t.ok(await testing.waitUntil(() => isAccepted(rosenheim)));
    t.ok(await testing.waitUntil(() => isAccepted(weilheim)));
    await cluster.runCommand(["key", "withdraw", withdrawnKey.split("_")[1]]);
    const isRefused = async (host: clusterModule.HostProcess) =>
      (await sendLookup(host, withdrawnKey)).status === 401;
    t.ok(await testing.waitUntil(() => isRefused(rosenheim)));
    t.ok(await testing.waitUntil(() => isRefused(weilheim)));
  });

  await t.test("after the partition a refused booking runs exactly once", async (t) => {
    setPartitioned(false);
    t.ok(
      await testing.waitUntil(async () =>
        (await sendChat(rosenheim)).status === 200
      ),
      "Rosenheim uses engines of Weilheim again",
    );
    t.ok(
      await testing.waitUntil(async () =>
        (await sendBooking(ticket)).status === 200
      ),
      "the booking runs at the host that issued its ticket",
    );
    t.equal((await sendBooking(ticket)).status, 200);
    t.equal(countBookings(), 1);
  });
});
