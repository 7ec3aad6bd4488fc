/** Tests what connections of strangers make the port for hosts hold. */
import * as tapModule from "tap";
import * as websocket from "ws";
import * as core from "@banyangrade/core";
import * as listener from "@banyangrade/listener";
import * as trpc from "@trpc/server";
import * as utils from "@banyangrade/utils";
import * as peer from "./mod.ts";

const tap = tapModule.default;

/** Bytes of an incomplete message; three of them exceed the limit. */
const PART_BYTES = 500_000;
const MAX_HELD_BYTES = 1_200_000;

// Guards against messages that are never completed, and are held before their sender has shown a secret.
tap.test("incomplete messages of strangers are bounded", async (t) => {
  const closed: string[] = [];
  const guard = new listener.ClientGuard({
    limits: { ...core.computeClientLimits({}), maxHeldBytes: MAX_HELD_BYTES },
    log: utils.createLogger({ level: "silent" }),
    clock: utils.SYSTEM_CLOCK,
    onClosed: (_name, reason) => closed.push(reason),
  });
  const server = await peer.startPeerServer({
    hostname: "127.0.0.1",
    port: 0,
    secrets: ["secret"],
    router: trpc.initTRPC.create().router({}),
    guard,
  });
  t.teardown(() => server.close());
  const strangers = Array.from({ length: 4 }, () => {
    const socket = new websocket.WebSocket(`ws://127.0.0.1:${server.port}`);
    socket.on("error", () => undefined);
    socket.once(
      "open",
      () => socket.send(Buffer.alloc(PART_BYTES), { fin: false }),
    );
    return socket;
  });
  while (closed.length === 0) await utils.waitFor(10);
  t.same([...new Set(closed)], ["held_bytes"]);
  t.ok(guard.getHeldBytes() <= MAX_HELD_BYTES);
  strangers.forEach((socket) => socket.terminate());
  while (guard.countConnections() > 0) await utils.waitFor(10);
  t.equal(guard.getHeldBytes(), 0);
});

// Guards against a count that grows with each complete message.
tap.test("complete messages are no longer held", async (t) => {
  const guard = listener.createDefaultGuard();
  const server = await peer.startPeerServer({
    hostname: "127.0.0.1",
    port: 0,
    secrets: ["secret"],
    router: trpc.initTRPC.create().router({}),
    guard,
  });
  t.teardown(() => server.close());
  const socket = new websocket.WebSocket(`ws://127.0.0.1:${server.port}`);
  await new Promise((resolve) => socket.once("open", resolve));
  Array.from({ length: 50 }).forEach(() => socket.send("x".repeat(10_000)));
  socket.send("PING");
  await new Promise((resolve) => socket.once("message", resolve));
  t.ok(guard.getHeldBytes() < 70_000, `held ${guard.getHeldBytes()}`);
  socket.terminate();
});
