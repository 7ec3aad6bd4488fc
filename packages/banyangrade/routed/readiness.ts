/** The server that the platform's balancer asks whether new connections do well to come. */
import * as http from "node:http";
import type * as utils from "@banyangrade/utils";

/**
 * Starts the server that the platform's balancer asks for readiness.
 *
 * @example
 * await startReadiness({ hostname, port, path: "/ready", isReady });
 */
export async function startReadiness(
  options: utils.Address & {
    readonly path: string;
    readonly isReady: () => boolean;
  },
): Promise<{ readonly close: () => void }> {
  const server = http.createServer((request, response) => {
    if (request.url !== options.path) return void response.writeHead(404).end();
    response.writeHead(options.isReady() ? 200 : 503).end();
  });
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
