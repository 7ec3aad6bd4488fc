/**
 * A TCP forwarder between hosts, with which tests simulate a network partition.
 */
import * as net from "node:net";

/** A TCP forwarder to one port. */
export interface Forwarder {
  readonly port: number;
  /**
   * With true, closes all connections and rejects new ones; with false, accepts
   * them again.
   */
  readonly setDisconnected: (cut: boolean) => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts a forwarder to a port on the loopback interface.
 *
 * @example
 * const peerForwarder = await startForwarder(7080);
 * await peerForwarder.close();
 */
export async function startForwarder(target: number): Promise<Forwarder> {
  const sockets = new Set<net.Socket>();
  let isCut = false;
  const track = (socket: net.Socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
  };
  const closeAll = () => sockets.forEach((socket) => socket.destroy());
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
    setDisconnected: (cut) => {
      isCut = cut;
      if (cut) closeAll();
    },
    close: () => {
      closeAll();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
