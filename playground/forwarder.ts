/** A way between hosts that tests can cut: TCP connections, passed on or broken. */
import * as net from "node:net";

/** A way to one address. */
export interface Forwarder {
  readonly port: number;
  /** Breaks what is open and takes nothing new, until it is healed. */
  readonly setCut: (cut: boolean) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a way to a port on loopback.
 *
 * @example
 * const way = await startForwarder(7080);
 * way.setCut(true);
 */
export async function startForwarder(target: number): Promise<Forwarder> {
  const sockets = new Set<net.Socket>();
  let isCut = false;
  const track = (socket: net.Socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  };
  const breakAll = () => sockets.forEach((socket) => socket.destroy());
  const server = net.createServer((incoming) => {
    track(incoming);
    if (isCut) return void incoming.destroy();
    const outgoing = net.connect(target, "127.0.0.1");
    track(outgoing);
    incoming.pipe(outgoing).pipe(incoming);
    incoming.on("close", () => outgoing.destroy());
    outgoing.on("close", () => incoming.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as net.AddressInfo).port,
    setCut: (cut) => {
      isCut = cut;
      if (cut) breakAll();
    },
    close: () => {
      breakAll();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
