/** Tests that both ports for callers accept the connections that wait before they work on requests. */
import * as childProcess from "node:child_process";
import * as tapModule from "tap";
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import * as listener from "@banyangrade/listener";
import * as utils from "@banyangrade/utils";
import * as heldBytes from "./gateway/held_bytes.ts";
import * as ingress from "./gateway/ingress.ts";

const tap = tapModule.default;

/** Connections that wait at the port. */
const WAITING = 200;
/** Time after the first connection in which no request is worked on while others wait, in ms. */
const DEFERRED_MS = 50;
/** Time that the work on one request takes, in ms. */
const WORK_MS = 3;

/** Source of a process that opens the connections and sends a request on each. */
const CLIENTS = `
const net = require("node:net");
for (let index = 0; index < ${WAITING}; index += 1) {
  net.connect(Number(process.argv[1]), "127.0.0.1").on("error", () => undefined)
    .write("GET /v1/models HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n");
}
setTimeout(() => process.exit(), 20000);
`;

function keepBusy(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** What a port has done. */
class Progress {
  readonly log = utils.createLogger({ level: "silent" });
  accepted = 0;
  worked = 0;
  /** Requests that were worked on too early. */
  early = 0;
  #firstAt = Number.POSITIVE_INFINITY;
  readonly guard = new listener.ClientGuard({
    limits: core.computeClientLimits({}),
    log: this.log,
    clock: utils.SYSTEM_CLOCK,
    onClosed: () => undefined,
    onAccepted: () => {
      this.accepted += 1;
      this.#firstAt = Math.min(this.#firstAt, performance.now());
    },
  });

  work(): void {
    const isEarly = performance.now() - this.#firstAt < DEFERRED_MS;
    if (this.accepted < WAITING && isEarly) this.early += 1;
    keepBusy(WORK_MS);
    this.worked += 1;
  }
}

/** Lets connections wait at a port, and waits until all their requests were worked on. */
async function checkPort(
  t: tapModule.Test,
  { port, progress }: { readonly port: number; readonly progress: Progress },
): Promise<void> {
  const clients = childProcess.spawn(process.execPath, [
    "-e",
    CLIENTS,
    String(port),
  ]);
  t.teardown(() => void clients.kill());
  await utils.waitFor(20);
  keepBusy(1_500);
  while (progress.worked < WAITING) await utils.waitFor(20);
  t.equal(progress.accepted, WAITING);
  t.equal(progress.early, 0, "requests that were worked on too early");
}

// Guards against callers that give up unread while a host works on the requests of those before them.
tap.test("the port for callers of a host on the users' platform", async (t) => {
  const progress = new Progress();
  const { log, guard } = progress;
  const server = await ingress.startIngress({
    hostname: "127.0.0.1",
    port: 0,
    onRequest: () => progress.work(),
    closesConnections: () => false,
    heldBytes: new heldBytes.HeldBytes({
      clock: utils.SYSTEM_CLOCK,
      log,
      limitBytes: undefined,
    }),
    guard,
    limits: core.computeClientLimits({}),
  });
  t.teardown(() => server.close());
  await checkPort(t, { port: server.port, progress });
});

// Guards against the same at serve.
tap.test("the port for callers of serve", async (t) => {
  const progress = new Progress();
  const server = await caller.startCallerServer({
    hostname: "127.0.0.1",
    port: 0,
    limits: {
      ...core.computeClientLimits({}),
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000,
      maxBufferedBytes: 1_000_000,
      headersTimeoutMs: 30_000,
      requestTimeoutMs: 30_000,
      idleTimeoutMs: 30_000,
    } as unknown as caller.CallerLimits,
    guard: progress.guard,
    acceptHead: () => {
      progress.work();
      return true;
    },
    onRequest: () => undefined,
  });
  t.teardown(() => server.close());
  await checkPort(t, { port: server.port, progress });
});
