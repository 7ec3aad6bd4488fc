/** The readiness endpoint for the platform's load balancer. */
import * as http from "node:http";
import * as listener from "@banyangrade/listener";
import type * as utils from "@banyangrade/utils";

/**
 * Starts the HTTP server of the readiness endpoint. It answers 200 while the
 * load balancer should send new connections to this host, otherwise 503.
 *
 * @example
 * await startReadiness({ hostname, port, path: "/ready", isReady, guard, maxConnections: 123 });
 */
export async function startReadiness(
  options: utils.Address & {
    readonly path: string;
    readonly isReady: () => boolean;
    readonly guard: listener.ClientGuard;
    readonly maxConnections: number;
  },
): Promise<{ readonly close: () => void }> {
  const server = http.createServer({
    connectionsCheckingInterval: listener.CHECK_MS,
  }, (request, response) => {
    if (request.url !== options.path) return void response.writeHead(404).end();
    response.writeHead(options.isReady() ? 200 : 503).end();
  });
  listener.applyControlLimits(server, { ...options, listener: "readiness" });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.hostname, resolve);
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
