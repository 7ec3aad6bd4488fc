/** Sends single requests of clients, each on a connection of its own or on a given one. */
import * as http from "node:http";
import * as crypto from "node:crypto";

/** Sends a request; the promise resolves with what the client saw, and never rejects. */
export function sendRequest({ ip, frontend }, options) {
  const { path, key, method = "POST", body = "", deadlineMs = 3_000, agent } =
    options;
  const id = options.id ?? crypto.randomBytes(8).toString("hex");
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let status;
    let answered;
    let text = "";
    let done = false;
    const end = (how) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve({
        id,
        path,
        sentAt,
        ms: Math.round(performance.now() - sentAt),
        how,
        status,
        headers: answered?.headers,
        body: text,
      });
    };
    const request = http.request({
      host: ip,
      port: frontend,
      path,
      method,
      agent: agent ?? false,
      headers: {
        host: "a.example",
        "banyangrade-attempt-id": id,
        "banyangrade-deadline-ms": deadlineMs,
        ...(key && { "api-key": key }),
        ...(method !== "GET" && { "content-length": Buffer.byteLength(body) }),
        ...options.headers,
      },
    }, (response) => {
      answered = response;
      status = response.statusCode;
      response.on("data", (chunk) => {
        text += chunk;
        options.onData?.(chunk);
      });
      response.on("end", () => end(response.complete ? "complete" : "cut"));
      response.on("error", () => end("cut"));
      response.on("close", () => end(response.complete ? "complete" : "cut"));
    });
    const timer = setTimeout(() => {
      request.destroy();
      end("given up");
    }, deadlineMs + 1_000);
    request.on("error", (error) => end(`closed ${error.code}`));
    request.end(body);
    options.onRequest?.(request);
  });
}
