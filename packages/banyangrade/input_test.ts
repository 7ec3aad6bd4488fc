/** Invalid input gets a clear error and affects no other caller; API keys reach no backend server. */
import * as net from "node:net";
import * as tap from "tap";
import * as clusterModule from "../../playground/cluster.ts";
import * as testing from "./process_testing.ts";

/** Sends raw bytes and returns the bytes received until the connection closes, within 1.5 s. */
function sendRaw(
  host: clusterModule.HostProcess,
  bytes: string | Buffer,
): Promise<string> {
  const { hostname, port } = new URL(host.callerUrl);
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), hostname);
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString();
    });
    socket.on("close", () => resolve(text));
    socket.on("error", () => resolve(text));
    socket.write(bytes);
    setTimeout(() => socket.destroy(), 1_500);
  });
}

tap.t.test("invalid input", async (t) => {
  const cluster = await clusterModule.startCluster({
    hosts: ["rosenheim"],
    engines: ["rosenheim-engines"],
    services: ["rosenheim-rooms"],
    serviceFiles: testing.SERVICES,
  });
  t.teardown(cluster.close);
  const key = await cluster.createKey("studio-rosenheim", [
    "assistant",
    "lookup",
  ]);
  const [host] = cluster.hosts;
  const headers = `Host: x\r\nAuthorization: Bearer ${key}\r\n`;
  const post = async (body: string | Buffer, path = "/v1/chat/completions") => {
    const response = await fetch(host.callerUrl + path, {
      method: "POST",
      headers: { authorization: `Bearer ${key}` },
      body,
    });
    return { status: response.status, body: await response.json() };
  };
  const messages = [{ role: "user", content: "Rooms?" }];

  await t.test("invalid request bodies are refused with the reason", async (t) => {
    t.match(await post("{"), {
      status: 400,
      body: { error: { message: "The body is not valid JSON." } },
    });
    t.match(await post(Buffer.from([0x7b, 0xff, 0xfe])), {
      status: 400,
      body: { error: { message: "The body is not valid UTF-8." } },
    });
    t.match(await post(JSON.stringify({ model: "timetable-8b" })), {
      status: 400,
      body: { error: { message: /"messages" is missing/ } },
    });
    const wrong = { model: "timetable-8b", messages, max_tokens: "many" };
    t.match(await post(JSON.stringify(wrong)), {
      status: 400,
      body: { error: { message: /"max_tokens"/, ran: "no" } },
    });
    t.match(await post(JSON.stringify({ model: "other", messages })), {
      status: 404,
      body: { error: { message: /nothing named "other"/ } },
    });
    t.match(await post("a".repeat(5 * 1024 * 1024)), {
      status: 413,
      body: { error: { code: "too_large" } },
    });
    t.match(await post("{}", "/v2/nothing"), { status: 404 });
  });

  await t.test("invalid HTTP is refused", async (t) => {
    const oversizedHeader = `GET /v1/models HTTP/1.1\r\n${headers}X-A: ${
      "a".repeat(20_000)
    }\r\n\r\n`;
    t.match(await sendRaw(host, oversizedHeader), /^HTTP\/1.1 431 .*too long/s);
    const conflictingLengths = `POST /v1/completions HTTP/1.1\r\n${headers}` +
      `Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}`;
    t.match(await sendRaw(host, conflictingLengths), /^HTTP\/1.1 400 /);
    const smuggled = `POST /v1/completions HTTP/1.1\r\n${headers}` +
      `Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`;
    t.match(await sendRaw(host, smuggled), /^HTTP\/1.1 400 /);
    t.match(await sendRaw(host, "hello\r\n\r\n"), /^HTTP\/1.1 400 /);
  });

  await t.test("a class that the key does not grant is refused", async (t) => {
    const options = { key, method: "GET", className: "booking" };
    const response = await testing.sendCall(host, options);
    t.equal(response.status, 403);
  });

  await t.test("incomplete requests on 1000 connections do not block other callers", async (t) => {
    // A client opens 1000 connections and never completes its request headers,
    // which could use up the connections or the time of the host.
    const { hostname, port } = new URL(host.callerUrl);
    const sockets = Array.from({ length: 1_000 }, () => {
      const socket = net.connect(Number(port), hostname);
      socket.on("error", () => undefined);
      socket.write("POST /v1/completions HTTP/1.1\r\nHost:");
      return socket;
    });
    const options = { key, method: "GET", className: "lookup" };
    t.equal((await testing.sendCall(host, options)).status, 200);
    sockets.forEach((socket) => socket.destroy());
  });

  await t.test("the API key reaches no backend server in path, query, headers or body", async (t) => {
    await testing.sendCall(host, {
      key,
      method: "GET",
      className: "lookup",
      path: `/services/rooms/a/${key}?api_key=${key}&x=pre${key}`,
    });
    await fetch(`${host.callerUrl}/services/rooms/monday`, {
      method: "POST",
      headers: {
        "x-api-key": key,
        "x-class": "lookup",
        "x-note": `key ${key}`,
        cookie: `k=${key}`,
      },
      body: `my key is ${key}, ${encodeURIComponent(key)}`,
    });
    const escaped = key.replace("b", "\\u0062");
    await post(
      `{"model":"timetable-8b","max_tokens":2,"user":"${escaped}",` +
        `"messages":[{"role":"user","content":"${escaped} ${key}"}]}`,
    );
    const seen = JSON.stringify([
      cluster.services[0].ran,
      cluster.engines[0].seen,
    ]);
    t.ok(cluster.services[0].ran.length >= 3);
    t.equal(cluster.engines[0].seen.length, 1);
    t.notOk(seen.includes(key));
    t.notOk(seen.includes(escaped));
  });
});
