// Stand-ins of the platform: its key-value store and its API for duties, as PROTOCOL.md describes them.
import * as http from "node:http";

const WATCH_MAX_MS = 30_000;

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    request.on("error", reject);
  });
}

export function listen(server, host = "127.0.0.1") {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
  });
}

/**
 * Starts the store. `intercept(call)` may return "drop" (the call is not done and
 * not answered), "lose" (done, not answered), { lateMs } (done later, not
 * answered), { delayMs } (done and answered later) or a status that is answered
 * without doing anything.
 */
export async function startStore({ intercept = () => undefined } = {}) {
  const pairs = new Map();
  const leases = new Map();
  const log = [];
  const waiting = new Set();
  let revision = 1;
  let nextLease = 1;

  const wake = () => waiting.forEach((one) => one());
  const put = (key, value, lease = 0) => {
    revision += 1;
    const created = pairs.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    pairs.set(key, item);
    log.push(item);
    wake();
    return revision;
  };
  const remove = (key) => {
    if (!pairs.delete(key)) return;
    revision += 1;
    log.push({ key, revision, tombstone: true });
    wake();
  };
  const endLease = (id) => {
    leases.delete(id);
    [...pairs.values()].filter((item) => item.lease === id)
      .forEach((item) => remove(item.key));
  };
  const expire = () => {
    const now = performance.now();
    [...leases].filter(([, lease]) => lease.until <= now)
      .forEach(([id]) => endLease(id));
  };
  const timer = setInterval(expire, 20);

  async function run({ method, url, body, isClosed }) {
    const { pathname, searchParams } = new URL(url, "http://store");
    const [, name, id] = pathname.split("/");
    switch (`${method} ${name}`) {
      case "GET kv-key": {
        const item = pairs.get(searchParams.get("key"));
        return item === undefined
          ? [404, {}]
          : [200, { ...item, store_revision: revision }];
      }
      case "GET kv-range": {
        const prefix = searchParams.get("prefix") ?? "";
        const after = searchParams.get("after") ?? "";
        const items = [...pairs.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const page = items.slice(0, 500);
        return [200, {
          items: page,
          has_more: items.length > page.length,
          store_revision: revision,
        }];
      }
      case "GET kv-watch": {
        const prefix = searchParams.get("prefix") ?? "";
        const after = Number(searchParams.get("after"));
        const waitMs = Math.min(WATCH_MAX_MS, Number(searchParams.get("wait_ms")));
        const until = performance.now() + waitMs;
        const list = () =>
          log.filter((one) => one.key.startsWith(prefix) && one.revision > after);
        while (list().length === 0 && performance.now() < until && !isClosed()) {
          await new Promise((resolve) => {
            const end = () => {
              clearTimeout(timeout);
              waiting.delete(end);
              resolve();
            };
            const timeout = setTimeout(end, until - performance.now());
            waiting.add(end);
          });
        }
        return [200, { events: list(), store_revision: revision }];
      }
      case "POST kv-txn": {
        const { expected_revision = [], writes = [], deletes = [] } = body;
        const holds = expected_revision.every(({ key, revision: expected }) =>
          (pairs.get(key)?.revision ?? 0) === expected
        );
        if (!holds) {
          const items = expected_revision.flatMap(({ key }) => pairs.get(key) ?? []);
          return [412, { items }];
        }
        const isForbidden = [...writes.map((one) => one.key), ...deletes]
          .some((key) => key.startsWith("op/") || key.startsWith("servers/"));
        if (isForbidden) return [403, {}];
        if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
          return [404, {}];
        }
        writes.forEach(({ key, value, lease = 0 }) => put(key, value, lease));
        deletes.forEach(remove);
        return [200, { revision }];
      }
      case "POST kv-lease": {
        const ttl = Math.max(1_000, Math.min(600_000, body.ttl_ms));
        const lease = nextLease++;
        leases.set(lease, { ttl, until: performance.now() + ttl });
        return [200, { lease, ttl_ms: ttl }];
      }
      case "POST kv-keep": {
        const lease = leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.until = performance.now() + lease.ttl;
        return [200, { ttl_ms: lease.ttl }];
      }
      case "DELETE kv-lease-end":
        endLease(Number(id));
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  const server = http.createServer(async (request, response) => {
    const text = await readBody(request).catch(() => "");
    let closed = false;
    response.once("close", () => {
      closed = true;
      wake();
    });
    const call = {
      method: request.method,
      url: request.url,
      body: text === "" ? undefined : JSON.parse(text),
      isClosed: () => closed,
      socket: request.socket,
    };
    const fault = intercept(call);
    if (fault === "drop") return;
    if (typeof fault === "number") {
      response.writeHead(fault, { "content-type": "application/json" }).end("{}");
      return;
    }
    if (fault?.lateMs !== undefined) {
      setTimeout(() => void run(call), fault.lateMs);
      return;
    }
    if (fault?.delayMs !== undefined) {
      await new Promise((resolve) => setTimeout(resolve, fault.delayMs));
    }
    const [status, answer] = await run(call);
    if (fault === "lose" || closed) return;
    response.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify(answer));
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server);
  const encode = (value) =>
    Buffer.from(typeof value === "string" ? value : JSON.stringify(value), "utf8")
      .toString("base64");
  return {
    address,
    /** Writes as the operator or a worker; returns the revision. The return is the acknowledgement. */
    put: (key, value) => put(key, encode(value)),
    /** Writes bytes as they are. */
    putBytes: (key, bytes) => put(key, Buffer.from(bytes).toString("base64")),
    remove,
    get: (key) => {
      const item = pairs.get(key);
      return item && Buffer.from(item.value, "base64").toString("utf8");
    },
    list: (prefix) => [...pairs.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
      wake();
    },
  };
}

/** Starts the API for duties, which refuses lower fencing tokens with 409. */
export async function startApi({ onCall = () => undefined } = {}) {
  const calls = [];
  const highest = new Map();
  const server = http.createServer(async (request, response) => {
    const text = await readBody(request).catch(() => "");
    const body = text === "" ? {} : JSON.parse(text);
    const call = {
      at: performance.now(),
      path: request.url,
      holder: request.headers["banyangrade-duty-holder"],
      token: Number(request.headers["banyangrade-fencing-token"]),
      body,
    };
    const apply = () => {
      const subject = request.url === "/usage"
        ? "usage"
        : `${body.service}|${body.zone}`;
      const seen = highest.get(subject) ?? 0;
      const accepted = call.token >= seen;
      if (accepted) highest.set(subject, call.token);
      calls.push({ ...call, appliedAt: performance.now(), accepted });
      return accepted ? 200 : 409;
    };
    const fault = onCall(call);
    if (fault?.lateMs !== undefined) return void setTimeout(apply, fault.lateMs);
    if (fault === "drop") return;
    response.writeHead(apply(), { "content-type": "application/json" }).end("{}");
  });
  const address = await listen(server);
  return {
    address,
    calls,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
