/** Tests that a process accepts the connections that wait before it works on requests. */
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as tapModule from "tap";
import * as acceptTurns from "./accept_turns.ts";

const tap = tapModule.default;

/** Connections that wait at the port. */
const WAITING = 200;
/** Time for which a request waits as long as connections do, in ms. */
const DEFERRED_MS = 50;
/** Time that the work on one request takes, in ms. */
const WORK_MS = 3;

/** Source of a process that opens the connections and sends a request on each. */
const CLIENTS = `
const net = require("node:net");
for (let index = 0; index < ${WAITING}; index += 1) {
  net.connect(Number(process.argv[1]), "127.0.0.1").on("error", () => undefined).write("x");
}
setTimeout(() => process.exit(), 20000);
`;

function keepBusy(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

// Guards against clients that give up unread: each connection waits for the work on a request of each connection before it.
tap.test("connections that wait are accepted before their requests are worked on", async (t) => {
  const turns = new acceptTurns.AcceptTurns();
  let accepted = 0;
  let worked = 0;
  /** Requests that were worked on too early. */
  let early = 0;
  let end = () => {};
  const ended = new Promise<void>((resolve) => {
    end = resolve;
  });
  const server = net.createServer((socket) => {
    turns.recordAccepted();
    accepted += 1;
    socket.on("error", () => undefined);
    socket.once("data", () =>
      turns.run((waitedMs) => {
        if (accepted < WAITING && waitedMs < DEFERRED_MS) early += 1;
        keepBusy(WORK_MS);
        worked += 1;
        if (worked === WAITING) end();
      }));
  });
  await new Promise<void>((resolve) =>
    server.listen({ port: 0, host: "127.0.0.1", backlog: 1_024 }, resolve)
  );
  const { port } = server.address() as net.AddressInfo;
  const clients = childProcess.spawn(process.execPath, [
    "-e",
    CLIENTS,
    String(port),
  ]);
  t.teardown(() => {
    clients.kill();
    server.close();
  });
  await new Promise((resolve) => setTimeout(resolve, 20));
  keepBusy(1_500);
  await ended;
  t.equal(accepted, WAITING);
  t.equal(early, 0, "requests that were worked on too early");
});

// Guards against work that waits for good while new connections keep coming.
tap.test("work that was put off runs while connections are accepted in each turn", async (t) => {
  const turns = new acceptTurns.AcceptTurns();
  let isOpen = true;
  const accept = () => {
    turns.recordAccepted();
    if (isOpen) setImmediate(accept);
  };
  accept();
  const waited = await new Promise<number>((resolve) => turns.run(resolve));
  isOpen = false;
  t.ok(waited >= 50 && waited < 1_000, `after ${Math.round(waited)} ms`);
});

// Guards against work that overtakes what came before it, and against a delay of each request.
tap.test("work runs in its order, and at once where no connection waits", async (t) => {
  const turns = new acceptTurns.AcceptTurns();
  const ran: number[] = [];
  turns.run(() => ran.push(0));
  t.same(ran, [0]);
  turns.recordAccepted();
  [1, 2, 3].forEach((one) => turns.run(() => ran.push(one)));
  t.same(ran, [0]);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.same(ran, [0, 1, 2, 3]);
  t.end();
});

// Guards against a burst that is refused as a whole, because no answer to its first requests is read before the last one is admitted.
tap.test("answers are read between pieces of work that was put off", async (t) => {
  const turns = new acceptTurns.AcceptTurns();
  let answers = 0;
  const answersBefore: number[] = [];
  turns.recordAccepted();
  await new Promise<void>((resolve) => {
    for (let index = 0; index < 40; index += 1) {
      turns.run(() => {
        answersBefore.push(answers);
        setImmediate(() => answers += 1);
        if (index === 39) resolve();
      });
    }
  });
  t.ok((answersBefore.at(-1) ?? 0) >= 30, "most were answered before the last");
});
