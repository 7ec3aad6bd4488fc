/** Stand-in of a worker on raw sockets, so that it can send any bytes. */
import * as net from "node:net";

/** Starts a worker; `onRequest({ id, method, path, headers, body, socket, answer })` decides what it sends. */
export async function startWorker({ id, ip = "127.0.0.1", port = 0, onRequest }) {
  const sockets = new Set();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => undefined);
    let held = Buffer.alloc(0);
    let busy = false;
    const next = async () => {
      if (busy) return;
      const end = held.indexOf("\r\n\r\n");
      if (end === -1) return;
      const [line, ...rows] = held.subarray(0, end).toString("latin1").split("\r\n");
      const headers = Object.fromEntries(rows.map((row) => {
        const at = row.indexOf(":");
        return [row.slice(0, at).toLowerCase(), row.slice(at + 1).trim()];
      }));
      const length = Number(headers["content-length"] ?? 0);
      if (held.length < end + 4 + length) return;
      const body = held.subarray(end + 4, end + 4 + length);
      held = held.subarray(end + 4 + length);
      const [method, path] = line.split(" ");
      busy = true;
      await onRequest({
        method,
        path,
        headers,
        body,
        socket,
        worker: id,
        attempt: headers["banyangrade-attempt-id"],
        answer: (status, text, extra = {}) =>
          socket.write(buildAnswer(status, text, {
            "banyangrade-attempt-id": headers["banyangrade-attempt-id"],
            ...extra,
          })),
      });
      busy = false;
      void next();
    };
    socket.on("data", (chunk) => {
      held = Buffer.concat([held, chunk]);
      void next();
    });
  });
  await new Promise((resolve) => server.listen(port, ip, resolve));
  return {
    id,
    address: `${ip}:${server.address().port}`,
    sockets,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

/** Builds a complete response with a stamp. */
export function buildAnswer(status, text, headers = {}) {
  const rows = Object.entries({
    "banyangrade-server-stamp": "stamp",
    "content-length": Buffer.byteLength(text),
    ...headers,
  }).filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  return `HTTP/1.1 ${status} X\r\n${rows}\r\n${text}`;
}

/** Describes a worker's entry in the store. */
export function describeWorker(worker, fields) {
  return {
    address: worker.address,
    version: "v1",
    slots: 8,
    state: "ready",
    cold_remaining_ms: 0,
    sequence: 1,
    born: Date.now(),
    ...fields,
  };
}

/** Builds a configuration with two services and four routes. */
export function buildConfiguration(changes = {}) {
  const route = {
    host: "a.example",
    timeout_ms: 8_000,
    target_latency_ms: 1_000,
    priority: 0,
    anonymous_access: false,
  };
  return {
    version: 1,
    routes: [
      { ...route, name: "lookup", prefix: "/lookup/", route_kind: "idempotent", service: "app", max_attempts: 2 },
      { ...route, name: "booking", prefix: "/booking/", route_kind: "non_idempotent", service: "app", max_attempts: 1 },
      { ...route, name: "chat", prefix: "/chat/", route_kind: "streaming", service: "llm", max_attempts: 2, stream_resumption: true, target_gap_ms: 1_000, session_affinity: true },
      { ...route, name: "once", prefix: "/once/", route_kind: "streaming", service: "llm", max_attempts: 1, target_gap_ms: 1_000, session_affinity: true },
    ],
    services: [
      { name: "app", connection_limit: 110 },
      { name: "llm", connection_limit: 250, engine: { slots: 32, kv_cache_tokens: 500_000 } },
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5_000, idle_timeout_ms: 10_000 },
    tenants: [
      { name: "hule930", api_keys: ["key-hule"], priority: 0 },
      { name: "fida11", api_keys: ["key-fida"], priority: 1 },
    ],
    ...changes,
  };
}
