/** Tests that requests are withheld while their connection is being opened. */
import * as net from "node:net";
import * as tapModule from "tap";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as connections from "./connections.ts";
import * as forward from "./forward.ts";

const tap = tapModule.default;

// Guards against a request that reaches a server after it has asked for rest: the
// request was assigned before, and its connection was still being opened.
tap.test("a request is withheld if its server must get none once it is connected", async (t) => {
  let received = 0;
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", (data) => {
      received += data.length;
      socket.end("HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 0\r\n\r\n");
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  let maySend = true;
  const pool = connections.createServerConnections(`http://127.0.0.1:${port}`, {
    connections: 1,
    clock: utils.SYSTEM_CLOCK,
    maySend: () => maySend,
  });
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  const send = () =>
    forward.forwardRequest({
      connections: pool,
      requestId: "r1",
      method: "POST",
      path: "/",
      headers: {},
      body: Buffer.from("x"),
      stream: false,
      lastEventId: -1,
      inactivityLimits: { headMs: 2_000, betweenMs: 2_000, sharesServer: true },
      readResponseMetadata: () => ({
        requestId: "r1",
        notRun: false,
        genuine: true,
        misdirected: false,
        signals: core.NO_SIGNALS,
      }),
      signal: new AbortController().signal,
    }, { onEvents: () => undefined });
  const connecting = send();
  maySend = false;
  t.match(await connecting, { kind: "failed", failure: "withheld" });
  t.equal(received, 0);
  maySend = true;
  t.match(await send(), { kind: "whole" });
});
