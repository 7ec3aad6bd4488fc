/** Tests that a host closes new connections unread, and serves the open ones on. */
import * as http from "node:http";
import * as tapModule from "tap";
import * as utils from "@banyangrade/utils";
import * as heldBytes from "./gateway/held_bytes.ts";
import * as ingressModule from "./gateway/ingress.ts";

const tap = tapModule.default;

function sendOne(port: number, agent?: http.Agent): Promise<number | string> {
  return new Promise((resolve) => {
    const request = http.request(
      { host: "127.0.0.1", port, method: "POST", path: "/", agent },
      (response) => {
        response.resume().on("end", () => resolve(response.statusCode ?? 0));
      },
    );
    request.on(
      "error",
      (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message),
    );
    request.end("body");
  });
}

// Guards against requests that wait at a host which cannot read them in time, and
// against the loss of those on connections that are open.
tap.test("a host closes new connections unread and serves open ones", async (t) => {
  let takes = true;
  let read = 0;
  const ingress = await ingressModule.startIngress({
    hostname: "127.0.0.1",
    port: 0,
    heldBytes: new heldBytes.HeldBytes({
      clock: utils.SYSTEM_CLOCK,
      log: utils.createLogger({ level: "silent" }),
      limitBytes: undefined,
    }),
    closesConnections: () => false,
    takesConnection: () => takes,
    onRequest: ({ answer, readBody }) => {
      read += 1;
      void readBody(100, () => undefined).then(() =>
        answer.send({ status: 200, headers: {}, body: "done" })
      );
    },
  });
  t.teardown(() => ingress.close());
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  t.equal(await sendOne(ingress.port, agent), 200);
  takes = false;
  t.equal(await sendOne(ingress.port), "ECONNRESET");
  t.equal(read, 1, "the request was not read");
  t.equal(await sendOne(ingress.port, agent), 200, "an open connection");
  takes = true;
  t.equal(await sendOne(ingress.port), 200);
});
