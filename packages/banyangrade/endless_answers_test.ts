/** Tests that answers without end from peers that are no servers of callers are given up at a bound. */
import * as net from "node:net";
import * as tapModule from "tap";
import type * as core from "@banyangrade/core";
import * as engine from "@banyangrade/engine";
import * as peer from "@banyangrade/peer";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";

const tap = tapModule.default;

const PART = Buffer.alloc(256 * 1024, "1");
/** Bytes after which the connection must have ended: the largest bound, and what the system buffers. */
const MAX_SENT_BYTES = 96 * 1024 * 1024;

/** Starts a server that answers each request with a body without end. */
async function startEndlessServer(t: tapModule.Test, marks = "") {
  const sent = { bytes: 0, ended: 0 };
  const server = net.createServer((socket) => {
    const send = () => {
      while (!socket.destroyed) {
        sent.bytes += PART.length;
        if (!socket.write(PART)) return void socket.once("drain", send);
      }
    };
    socket.on("error", () => undefined);
    socket.once("close", () => {
      sent.ended += 1;
    });
    socket.once("data", () => {
      socket.write(
        `HTTP/1.1 200 OK\r\n${marks}content-length: 1000000000000\r\n\r\n`,
      );
      send();
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.teardown(() => void server.close());
  const { port } = server.address() as net.AddressInfo;
  return { url: `http://127.0.0.1:${port}`, sent };
}

async function checkEnded(
  t: tapModule.Test,
  sent: { readonly bytes: number; readonly ended: number },
): Promise<void> {
  while (sent.ended === 0) await utils.waitFor(10);
  t.ok(sent.bytes < MAX_SENT_BYTES, `${sent.bytes} bytes sent`);
}

// Guards against a host that runs out of memory because of an API that answers without end.
tap.test("an API", async (t) => {
  const { url, sent } = await startEndlessServer(t);
  const answer = await utils.sendJson({
    method: "GET",
    url,
    step: "test",
    peer: "test",
  });
  t.match(answer, { err: true, val: { message: /more than/ } });
  await checkEnded(t, sent);
});

// Guards against the same where the store of serve answers so.
tap.test("the store of serve", async (t) => {
  const { url, sent } = await startEndlessServer(t);
  const client = store.createStoreClient({ url, timeoutMs: 20_000 });
  t.teardown(() => client.close());
  t.match(await client.get("k"), { err: true, val: { message: /more than/ } });
  await checkEnded(t, sent);
});

// Guards against the same where an engine of serve answers so, which is no stream.
tap.test("an engine of serve", async (t) => {
  const { url, sent } = await startEndlessServer(
    t,
    "x-request-id: r1\r\nx-attempt: 1\r\n",
  );
  const agent = utils.createBackendAgent();
  t.teardown(() => agent.destroy());
  const outcome = await engine.runAttempt(agent, {
    call: {
      requestId: "r1",
      attempt: 1,
      server: { name: "s", url } as unknown as core.ServerInfo,
      path: "/",
      body: "{}",
      stream: false,
      offset: 0,
      firstByteMs: 5_000,
      betweenMs: 5_000,
      signal: AbortSignal.timeout(20_000),
    },
    sink: {
      onAnswer: () => void t.fail("answered"),
      onEvents: () => undefined,
      onLoad: () => undefined,
    },
  });
  t.match(outcome, { kind: "failed", failure: "server_error" });
  await checkEnded(t, sent);
});

// Guards against a follower that runs out of memory because of what another process at the relay's address sends.
tap.test("another host", async (t) => {
  const server = await peer.startPeerServer({
    hostname: "127.0.0.1",
    port: 0,
    secrets: ["secret"],
    router: peer.buildRelayRouter({
      readAll: () => ({
        kind: "snapshot",
        entries: [{
          key: "a",
          value: "x".repeat(40 * 1024 * 1024),
          modRevision: 1,
        }],
        revision: 1,
        ageMs: 0,
      }),
    } as unknown as peer.RelayHandlers),
  });
  const clients = new peer.PeerClients<peer.RelayRouter>({
    secret: "secret",
    clock: utils.SYSTEM_CLOCK,
    endsPending: true,
  });
  t.teardown(async () => {
    clients.close();
    await server.close();
    await utils.waitFor(1_500);
  });
  const answer = await clients.call(
    { address: `127.0.0.1:${server.port}`, step: "test" },
    (client, signal) => client.readAll.query("a", { signal }),
    8_000,
  );
  t.ok(answer.err);
});
