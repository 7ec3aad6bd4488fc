/** Tests connections to hosts that no longer exist. */
import * as net from "node:net";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as peer from "./mod.ts";

const tap = tapModule.default;

/** Time after which all repeated closes of a dropped connection have taken effect, in ms. */
const CLOSE_WAIT_MS = 1_600;
/** Time for which no connection may arrive afterwards, in ms; the library would retry every 200 ms. */
const OBSERVATION_MS = 800;

// Guards against endless reconnects to a host that no longer exists: a relay ends
// while a follower has several calls on one connection, the follower drops the
// connection, and the library reopens it five times a second until the process ends.
tap.test("a dropped connection is not reopened", async (t) => {
  const server = await startSilentServer();
  const address = `127.0.0.1:${server.port}`;
  const clients = new peer.PeerClients<peer.RelayRouter>({
    secret: "secret",
    clock: utils.SYSTEM_CLOCK,
  });
  const call = () =>
    clients.call(
      { address, step: "test" },
      (client, signal) =>
        client.pollChanges.query(
          { prefix: "a", after: 0, waitMs: 0 },
          { signal },
        ),
      150,
    );
  await Promise.all([call(), call()]);
  const pending = [call(), call(), call()];
  await server.close();
  pending.push(call(), call());
  await Promise.all(pending);
  await call();
  clients.close();
  await utils.waitFor(CLOSE_WAIT_MS);
  let connections = 0;
  const listener = net.createServer((socket) => {
    connections += 1;
    socket.destroy();
  }).listen(server.port, "127.0.0.1");
  await utils.waitFor(OBSERVATION_MS);
  t.equal(connections, 0);
  await new Promise((resolve) => listener.close(resolve));
});

// Guards against a call that waits for a change at a host long after another call has found that host silent.
tap.test("a pending call ends when its connection is given up", async (t) => {
  const server = await startSilentServer();
  const address = `127.0.0.1:${server.port}`;
  const startCalls = async (endsPending: boolean) => {
    const clients = new peer.PeerClients<peer.RelayRouter>({
      secret: "secret",
      clock: utils.SYSTEM_CLOCK,
      endsPending,
    });
    const call = async (ms: number) => {
      const startedAt = performance.now();
      const answer = await clients.call(
        { address, step: "test" },
        (client, signal) =>
          client.pollChanges.query(
            { prefix: "a", after: 0, waitMs: ms },
            { signal },
          ),
        ms,
      );
      t.notOk(answer.ok);
      return performance.now() - startedAt;
    };
    const [longMs] = await Promise.all([call(1_500), call(150)]);
    clients.close();
    return longMs;
  };
  t.ok(await startCalls(true) < 1_000, "ends with the short one");
  t.ok(await startCalls(false) >= 1_400, "calls whose answers count go on");
  await server.close();
  await utils.waitFor(CLOSE_WAIT_MS);
});

// Guards against a relay that is given up for one late answer while it answers other calls.
tap.test("a late answer does not end the calls beside it", async (t) => {
  const server = await startSilentServer();
  const address = `127.0.0.1:${server.port}`;
  const clients = new peer.PeerClients<peer.RelayRouter>({
    secret: "secret",
    clock: utils.SYSTEM_CLOCK,
    endsPending: true,
  });
  const poll = (ms: number) =>
    clients.call(
      { address, step: "test" },
      (client, signal) =>
        client.pollChanges.query(
          { prefix: "a", after: 0, waitMs: 0 },
          { signal },
        ),
      ms,
    );
  const pending = [poll(600), poll(1_200)];
  await utils.waitFor(100);
  const answered = await clients.call(
    { address, step: "test" },
    (client, signal) => client.readAll.query("a", { signal }),
    600,
  );
  t.ok(answered.ok);
  const startedAt = performance.now();
  t.match(await pending[0], { val: { code: "timeout" } });
  await pending[1];
  t.ok(performance.now() - startedAt > 800, "the other call has its own time");
  clients.close();
  await server.close();
  await utils.waitFor(CLOSE_WAIT_MS);
});

// Guards against followers that wait for the lease of a relay whose address another process serves.
tap.test("a call with an unknown secret is rejected", async (t) => {
  const server = await startSilentServer();
  const clients = new peer.PeerClients<peer.RelayRouter>({
    secret: "secret of an earlier process",
    clock: utils.SYSTEM_CLOCK,
    endsPending: true,
  });
  const answer = await clients.call(
    { address: `127.0.0.1:${server.port}`, step: "test" },
    (client, signal) => client.readAll.query("a", { signal }),
  );
  t.match(answer, { val: { code: "rejected" } });
  clients.close();
  await server.close();
  await utils.waitFor(CLOSE_WAIT_MS);
});

function startSilentServer(): Promise<peer.PeerServer> {
  return peer.startPeerServer({
    hostname: "127.0.0.1",
    port: 0,
    secrets: ["secret"],
    router: peer.buildRelayRouter({
      readAll: () => ({ kind: "unready" }),
      pollChanges: () => new Promise<never>(() => undefined),
      report: () => ({ others: EMPTY, publishes: true }),
      getSummary: () => EMPTY,
      acceptRelay: () => undefined,
      shareOrigins: () => ({ relays: [] }),
      findOrigin: () => Promise.resolve({ views: [], relays: [] }),
    }),
  });
}

const EMPTY = {
  hosts: 0,
  demand: {},
  running: {},
  prompting: {},
  times: [],
  suspects: [],
};
