/** Tests that a host knows whether its port for callers is served. */
import * as net from "node:net";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as listenerProbe from "./gateway/listener_probe.ts";

const tap = tapModule.default;

/** Shortest time in which a host that says it is ready must take a connection, by the users' pages, in ms. */
const WINDOW_MS = 3_000;

/** Starts a port with its check. */
async function startPort(t: tapModule.Test) {
  const taken: boolean[] = [];
  const server = net.createServer((accepted) => {
    taken.push(probe.take(accepted));
    accepted.on("error", () => undefined);
  });
  const listen = (port: number) =>
    new Promise<void>((resolve) =>
      server.listen(port, "127.0.0.1", () => resolve())
    );
  await listen(0);
  const { port } = server.address() as net.AddressInfo;
  const clock = { now: () => performance.now() + shift.ms };
  const shift = { ms: 0 };
  const lines: string[] = [];
  const probe = new listenerProbe.ListenerProbe({
    address: { hostname: "127.0.0.1", port },
    clock,
    log: {
      ...utils.createLogger({ level: "silent" }),
      warn: (_: unknown, text: string) => void lines.push(text),
      info: (_: unknown, text: string) => void lines.push(text),
    } as unknown as utils.Logger,
    describe: () => ({}),
  });
  t.teardown(() => {
    probe.stop();
    server.close();
  });
  probe.start();
  return { probe, server, port, listen, taken, lines, shift };
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await utils.waitFor(10);
}

// Guards against a host that says it is ready while nobody accepts its callers' connections.
tap.test("a port that is not served is noticed within the users' window, and so is its return", async (t) => {
  const { probe, server, port, listen, lines } = await startPort(t);
  t.notOk(probe.isServed(), "before the first connection was accepted");
  await waitUntil(() => probe.isServed());
  await utils.waitFor(2_500);
  t.ok(probe.isServed(), "while it is served");
  server.close();
  const closedAt = performance.now();
  await waitUntil(() => !probe.isServed());
  t.ok(performance.now() - closedAt <= WINDOW_MS);
  await utils.waitFor(1_100);
  await listen(port);
  const openedAt = performance.now();
  await waitUntil(() => probe.isServed());
  t.ok(performance.now() - openedAt <= WINDOW_MS);
  t.match(lines, [/is not served/, /is served again/]);
});

// Guards against a host that was suspended and answers with what it knew before.
tap.test("a port counts as served after a suspension once it was asked again", async (t) => {
  const { probe, shift } = await startPort(t);
  await waitUntil(() => probe.isServed());
  shift.ms = 3_000;
  t.notOk(probe.isServed());
  await waitUntil(() => probe.isServed());
});

// Guards against callers whose connections are taken for those of the check.
tap.test("a caller's connection is left alone", async (t) => {
  const { probe, port, taken } = await startPort(t);
  await waitUntil(() => probe.isServed());
  const before = taken.filter((isTaken) => !isTaken).length;
  const callers = Array.from(
    { length: 20 },
    () => net.connect(port, "127.0.0.1").on("error", () => undefined),
  );
  await waitUntil(() =>
    taken.filter((isTaken) => !isTaken).length === before + 20
  );
  callers.forEach((caller) => caller.destroy());
});
