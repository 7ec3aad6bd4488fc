// Stand-in of a worker, as PROTOCOL.md describes it.
import * as http from "node:http";
import { listen } from "./platform.mjs";
import { wait } from "./hosts.mjs";

let nextStamp = 1;

/**
 * Starts a worker. `behave(run)` returns how it answers a request that it runs:
 * { status, body, workMs, headers } or a function (request, response) that does it.
 * `onRun(run)` is called when it begins to work on a request.
 */
export async function startWorker({ id, service, zone, store, slots = 6, behave = () => ({}), onRun = () => undefined, fields = {} }) {
  const runs = [];
  const sockets = new Set();
  const born = Date.now();
  let sequence = 0;
  let state = "ready";
  const server = http.createServer(async (request, response) => {
    const arrivedAt = performance.now();
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    if (request.url === "/health") {
      response.writeHead(state === "ready" ? 200 : 503, { "banyangrade-instance-id": id }).end();
      return;
    }
    if (request.url === "/report") {
      response.writeHead(200, { "content-type": "application/json" }).end("{}");
      return;
    }
    const attempt = request.headers["banyangrade-attempt-id"];
    const echo = attempt === undefined ? {} : { "banyangrade-attempt-id": attempt };
    const expected = request.headers["banyangrade-expected-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...echo, "banyangrade-not-executed": "1" }).end();
      return;
    }
    if (attempt === undefined) {
      response.writeHead(400, { "banyangrade-not-executed": "1" }).end();
      return;
    }
    const run = {
      worker: id,
      service,
      arrivedAt,
      at: performance.now(),
      attempt,
      method: request.method,
      path: request.url,
      headers: request.headers,
      body: Buffer.concat(chunks).toString("utf8"),
      tenant: request.headers["banyangrade-tenant"],
    };
    runs.push(run);
    onRun(run);
    const how = behave(run);
    const marks = { ...echo, "banyangrade-server-stamp": `${id}.${nextStamp++}` };
    if (typeof how === "function") return void how({ request, response, marks, run });
    const { status = 200, body = `answer to ${attempt}`, workMs = 15, headers = {} } = how;
    await wait(workMs);
    if (response.destroyed) return;
    response.writeHead(status, { ...marks, ...headers }).end(body);
  });
  server.keepAliveTimeout = 5_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.once("close", () => sockets.delete(socket));
  });
  const address = await listen(server);
  const describe = () => ({
    service,
    address: fields.address ?? address,
    zone,
    version: "v1",
    slots,
    state,
    cold_remaining_ms: 0,
    sequence,
    born,
    ...fields,
  });
  const register = () => store.put(`servers/${id}`, describe());
  register();
  return {
    id,
    address,
    runs,
    sockets,
    describe,
    /** Writes its state; the return is the acknowledgement. */
    setState: (next) => {
      state = next;
      sequence += 1;
      register();
      return performance.now();
    },
    reset: () => sockets.forEach((socket) => socket.resetAndDestroy()),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
