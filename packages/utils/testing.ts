/** Helpers for tests and the playground; not part of the product. */
import * as net from "node:net";

/**
 * Finds a free port on loopback.
 *
 * @example
 * const port = await findFreePort();
 */
export function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on("error", reject);
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
