/** Helpers for tests and the playground; not part of the product. */
import * as net from "node:net";
import * as clock from "./clock.ts";

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

/** More bytes than a connection's receiver takes in before it reads. */
export const BODY_OF_STALLED_BYTES = 1_000_000;

/** A server that takes nothing from its connections until it is told to. */
export interface StalledServer {
  readonly url: string;
  /** Waits until a connection was made and its request written. */
  readonly waitForRequest: () => Promise<void>;
  /** Reads what the first connection has brought until it ends; returns how many bytes that were. */
  readonly readAll: () => Promise<number>;
  readonly close: () => void;
}

/** Time in which a request of {@link BODY_OF_STALLED_BYTES} is handed to the kernel, in ms. */
const WRITTEN_MS = 50;

/**
 * Starts a server that gets its requests late, as one behind a cut link does.
 *
 * @example
 * const server = await startStalledServer();
 * await server.waitForRequest();
 */
export async function startStalledServer(): Promise<StalledServer> {
  const sockets: net.Socket[] = [];
  const server = net.createServer({ pauseOnConnect: true }, (socket) => {
    socket.on("error", () => undefined);
    sockets.push(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    waitForRequest: async () => {
      while (sockets.length === 0) await clock.waitFor(WRITTEN_MS);
      await clock.waitFor(WRITTEN_MS);
    },
    readAll: () => readAll(sockets[0]),
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}

async function readAll(socket: net.Socket): Promise<number> {
  let size = 0;
  socket.on("data", (chunk: Buffer) => {
    size += chunk.length;
  });
  socket.resume();
  await new Promise<void>((resolve) => socket.once("close", () => resolve()));
  return size;
}
