/** A small JSON server for the stand-ins. */
import * as http from "node:http";
import type * as net from "node:net";

/** A request with its body parsed. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  // deno-lint-ignore no-explicit-any -- bodies of many shapes
  readonly body: any;
}

/** What a handler answers; undefined drops the connection. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A running server. */
export interface JsonServer {
  readonly url: string;
  readonly close: () => Promise<void>;
}

/**
 * Starts a server on loopback.
 *
 * @example
 * const server = await startJsonServer(0, () => ({ status: 200, body: {} }));
 */
export async function startJsonServer(
  port: number,
  handle: (
    request: JsonRequest,
  ) => JsonAnswer | undefined | Promise<JsonAnswer | undefined>,
): Promise<JsonServer> {
  const server = http.createServer((request, answer) => {
    readJson(request).then(handle).then((handled) => {
      if (handled === undefined) return void answer.destroy();
      answer.writeHead(handled.status, { "content-type": "application/json" })
        .end(JSON.stringify(handled.body));
    }).catch(() => answer.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  return {
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

async function readJson(request: http.IncomingMessage): Promise<JsonRequest> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString("utf8");
  return {
    method: request.method ?? "",
    path: request.url ?? "",
    body: text === "" ? undefined : JSON.parse(text),
  };
}
