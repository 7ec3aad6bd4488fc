/** Stand-in of the platform: the key-value store and the API for duties, as PROTOCOL.md describes them. */
import * as http from "node:http";

/** Most items of a page, and most bytes of their values. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

/** Starts a store and an API on loopback. `onStoreCall` may delay, lose or refuse a call. */
export async function startPlatform({ onStoreCall = () => "serve" } = {}) {
  const items = new Map();
  const leases = new Map();
  const log = [];
  const waiting = new Set();
  const duties = [];
  const fences = new Map();
  let revision = 100;
  let nextLease = 1;

  const wake = () => [...waiting].forEach((one) => one());
  const put = (key, value, lease = 0) => {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    items.set(key, { key, value, revision, created, lease });
    log.push({ key, value, revision, created, lease });
    wake();
  };
  const remove = (key) => {
    if (!items.delete(key)) return;
    revision += 1;
    log.push({ key, revision, tombstone: true });
    wake();
  };
  const encode = (item) => ({
    ...item,
    ...(item.value !== undefined && {
      value: Buffer.from(item.value).toString("base64"),
    }),
  });
  const expiry = setInterval(() => {
    const now = performance.now();
    leases.forEach((lease, id) => {
      if (lease.until > now) return;
      leases.delete(id);
      [...items.values()].filter((item) => item.lease === id)
        .forEach(({ key }) => remove(key));
    });
  }, 20);

  async function answer(request, body) {
    const url = new URL(request.url, "http://store");
    const [, name, id] = url.pathname.split("/");
    const query = url.searchParams;
    switch (name) {
      case "kv-key": {
        const item = items.get(query.get("key"));
        return item === undefined
          ? [404, { store_revision: revision }]
          : [200, { ...encode(item), store_revision: revision }];
      }
      case "kv-range": {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const all = [...items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => a.key < b.key ? -1 : 1);
        let bytes = 0;
        const page = all.slice(0, PAGE_ITEMS).filter(({ value }, index) => {
          const fits = index === 0 || bytes + value.length <= PAGE_BYTES;
          bytes = fits ? bytes + value.length : Infinity;
          return fits;
        });
        return [200, {
          items: page.map(encode),
          has_more: all.length > page.length,
          store_revision: revision,
        }];
      }
      case "kv-watch": {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const until = performance.now() + Number(query.get("wait_ms"));
        const list = () =>
          log.filter((one) => one.revision > after && one.key.startsWith(prefix));
        while (list().length === 0 && performance.now() < until) {
          await new Promise((resolve) => {
            const end = () => {
              clearTimeout(timer);
              waiting.delete(end);
              resolve();
            };
            const timer = setTimeout(end, Math.max(1, until - performance.now()));
            waiting.add(end);
          });
        }
        return [200, { events: list().map(encode), store_revision: revision }];
      }
      case "kv-txn": {
        const { expected_revision = [], writes = [], deletes = [] } = body;
        const holds = expected_revision.every((one) =>
          (items.get(one.key)?.revision ?? 0) === one.revision
        );
        if (!holds) {
          return [412, {
            items: expected_revision.flatMap(({ key }) => items.get(key) ?? [])
              .map(encode),
          }];
        }
        if (writes.some(({ lease }) => lease > 0 && !leases.has(lease))) {
          return [404, {}];
        }
        writes.forEach(({ key, value, lease = 0 }) =>
          put(key, Buffer.from(value, "base64").toString(), lease)
        );
        deletes.forEach(remove);
        return [200, { revision }];
      }
      case "kv-lease": {
        const lease = nextLease++;
        const ttl_ms = Math.max(1_000, body.ttl_ms);
        leases.set(lease, { ttl_ms, until: performance.now() + ttl_ms });
        return [200, { lease, ttl_ms }];
      }
      case "kv-keep": {
        const lease = leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.until = performance.now() + lease.ttl_ms;
        return [200, { ttl_ms: lease.ttl_ms }];
      }
      case "kv-lease-end": {
        leases.delete(Number(id));
        [...items.values()].filter((item) => item.lease === Number(id))
          .forEach(({ key }) => remove(key));
        return [200, {}];
      }
      default:
        return [404, {}];
    }
  }

  async function read(request) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    return text === "" ? {} : JSON.parse(text);
  }
  const send = (response, [status, body]) => {
    if (response.destroyed) return;
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  };

  const store = await listen(async (request, response) => {
    const body = await read(request);
    const fate = await onStoreCall({ request, body });
    if (fate === "lose") return;
    if (fate === "reset") return request.socket.resetAndDestroy();
    if (typeof fate === "number") return send(response, [fate, {}]);
    const answered = await answer(request, body);
    if (fate === "lose-answer") return;
    send(response, answered);
  });
  const api = await listen(async (request, response) => {
    const body = await read(request);
    const fence = Number(request.headers["banyangrade-fencing-token"]);
    const subject = request.url === "/usage"
      ? "usage"
      : `scaling ${body.service} ${body.zone}`;
    const refused = fence < (fences.get(subject) ?? 0);
    if (!refused) fences.set(subject, fence);
    duties.push({
      at: performance.now(),
      subject,
      holder: request.headers["banyangrade-duty-holder"],
      fence,
      body,
      status: refused ? 409 : 200,
    });
    send(response, [refused ? 409 : 200, {}]);
  });
  return {
    storeAddress: store.address,
    apiAddress: api.address,
    duties,
    items,
    put: (key, value) => put(key, JSON.stringify(value)),
    /** Writes a value of any text or bytes. */
    putRaw: (key, value) => put(key, value),
    remove,
    close: () => {
      clearInterval(expiry);
      store.close();
      api.close();
    },
  };
}

async function listen(handler) {
  const server = http.createServer((request, response) => {
    handler(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
