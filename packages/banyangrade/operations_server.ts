/** HTTP server of the operations port: health, readiness, metrics and status. */
import * as http from "node:http";
import type * as net from "node:net";
import * as listener from "@banyangrade/listener";
import type * as metrics from "./metrics.ts";

/** Options of {@link startOperationsServer}. */
export interface OperationsServerOptions {
  readonly hostname: string;
  readonly port: number;
  readonly metrics: metrics.Metrics;
  readonly isReady: () => boolean;
  readonly getStatus: () => unknown;
  readonly guard: listener.ClientGuard;
  readonly maxConnections: number;
}

/** A running operations server. */
export interface OperationsServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/**
 * Starts the operations server.
 *
 * @example
 * const server = await startOperationsServer({ hostname, port: 9090, ...rest });
 */
export async function startOperationsServer(
  options: OperationsServerOptions,
): Promise<OperationsServer> {
  const server = http.createServer({
    connectionsCheckingInterval: listener.CHECK_MS,
  }, (request, response) => {
    handleRequest({ request, response }, options).catch(() =>
      response.destroy()
    );
  });
  listener.applyControlLimits(server, { ...options, listener: "operations" });
  await new Promise<void>((resolve) =>
    server.listen(options.port, options.hostname, resolve)
  );
  return {
    port: (server.address() as net.AddressInfo).port,
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

async function handleRequest(
  { request, response }: {
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
  },
  options: OperationsServerOptions,
): Promise<void> {
  switch (request.url) {
    case "/healthz":
      return void response.writeHead(200).end("ok\n");
    case "/readyz": {
      const ready = options.isReady();
      response.writeHead(ready ? 200 : 503).end(ready ? "ready\n" : "no\n");
      return;
    }
    case "/metrics": {
      const text = await options.metrics.registry.metrics();
      const type = options.metrics.registry.contentType;
      return void response.writeHead(200, { "content-type": type }).end(text);
    }
    case "/status.json":
      response.writeHead(200, { "content-type": "application/json" })
        .end(JSON.stringify(options.getStatus()));
      return;
    case "/":
      response.writeHead(200, { "content-type": "text/html; charset=utf-8" })
        .end(renderStatusPage(options.getStatus()));
      return;
    default:
      response.writeHead(404).end("not found\n");
  }
}

/** Renders the status as an HTML page that the browser reloads every 5 s, without scripts. */
function renderStatusPage(status: unknown): string {
  const text = JSON.stringify(status, undefined, 2)
    .replaceAll("&", "&amp;").replaceAll("<", "&lt;");
  return `<!doctype html><meta charset="utf-8">` +
    `<meta http-equiv="refresh" content="5"><title>banyangrade</title>` +
    `<h1>banyangrade</h1><pre>${text}</pre>`;
}
