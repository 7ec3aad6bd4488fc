/** Helpers for tests and the playground. */
import * as crypto from "node:crypto";
import * as net from "node:net";
import * as clock from "./clock.ts";

/**
 * Ports below those that operating systems assign by themselves. An assigned port
 * could go to a connection of another process before the caller opens it.
 */
const FREE_PORTS = { from: 15_000, to: 32_000 } as const;
/** Number of ports that are tried before the search fails. */
const MAX_PORT_ATTEMPTS = 20;

/**
 * Finds a free port on the loopback interface.
 *
 * @example
 * const port = await findFreePort();
 */
export async function findFreePort(): Promise<number> {
  for (let attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt += 1) {
    const port = crypto.randomInt(FREE_PORTS.from, FREE_PORTS.to);
    if (await isPortFree(port)) return port;
  }
  throw new Error(`No free port in ${MAX_PORT_ATTEMPTS} attempts.`);
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on("error", (error: NodeJS.ErrnoException) => {
      if (error.code === "EADDRINUSE") resolve(false);
      else reject(error);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(true));
    });
  });
}

/** Body size in bytes that exceeds the receive buffer of a connection. */
export const STALLED_BODY_BYTES = 1_000_000;

/** A server that reads from its connections only on request. */
export interface StalledServer {
  readonly url: string;
  /** Waits until a connection is open and its request is written. */
  readonly waitForRequest: () => Promise<void>;
  /** Reads the first connection until it ends; returns the number of bytes read. */
  readonly readAll: () => Promise<number>;
  readonly close: () => void;
}

/** Wait until a request of {@link STALLED_BODY_BYTES} has been written to the kernel, in ms. */
const WRITE_WAIT_MS = 50;

/**
 * Starts a server that receives its requests late, as during a network interruption.
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
      while (sockets.length === 0) await clock.waitFor(WRITE_WAIT_MS);
      await clock.waitFor(WRITE_WAIT_MS);
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
