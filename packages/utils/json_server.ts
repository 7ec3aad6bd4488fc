/** HTTP server with JSON bodies for the fake services of tests. */
import * as http from "node:http";
import type * as net from "node:net";

/** A request with a parsed JSON body. */
export interface JsonRequest {
  readonly method: string;
  readonly path: string;
  // deno-lint-ignore no-explicit-any -- bodies of many shapes
  readonly body: any;
}

/** Response of a handler. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** A running JSON server. */
export interface JsonServer {
  readonly url: string;
  readonly close: () => Promise<void>;
}

/**
 * Starts a server on the loopback interface. If the handler returns undefined, the
 * connection is closed without a response.
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
