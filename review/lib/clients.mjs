// Client of the system, as PROTOCOL.md describes it.
import * as http from "node:http";
import * as crypto from "node:crypto";

/** Sends one client attempt; never rejects. */
export function send({ to, host, path, method = "POST", key, deadlineMs = 600, body = "", headers = {}, agent, id = crypto.randomBytes(8).toString("hex") }) {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    let settled = false;
    const end = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ id, path, sentAt, endedAt: performance.now(), ...result });
    };
    const request = http.request({
      ...to,
      method,
      path,
      agent: agent ?? new http.Agent(),
      headers: {
        host,
        "banyangrade-attempt-id": id,
        "banyangrade-deadline-ms": String(deadlineMs),
        ...(key !== undefined && { "api-key": key }),
        ...(body !== "" && { "content-length": Buffer.byteLength(body) }),
        ...headers,
      },
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () =>
        end({
          outcome: response.complete ? "answer" : "cut",
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString("utf8"),
        }));
      response.on("error", (error) => end({ outcome: "cut", status: response.statusCode, error: error.code, body: Buffer.concat(chunks).toString("utf8") }));
    });
    request.on("error", (error) => end({ outcome: "closed", error: error.code ?? error.message }));
    const timer = setTimeout(() => {
      end({ outcome: "deadline" });
      request.destroy();
    }, deadlineMs);
    request.end(body);
  });
}
