/** Tries whether a server accepts connections, without sending it anything. */
import * as net from "node:net";

/** Timeout of a trial, in ms; about a hundred times the latency between failure domains. */
const TRIAL_TIMEOUT_MS = 300;

/**
 * Opens a connection to a server and closes it at once; returns whether it could
 * be opened. The promise never rejects.
 *
 * @example
 * const reachable = await tryConnection("http://10.0.0.1:80");
 */
export function tryConnection(url: string): Promise<boolean> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = net.connect({ host: hostname, port: Number(port || 80) });
    const end = (reachable: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(reachable);
    };
    const timer = setTimeout(() => end(false), TRIAL_TIMEOUT_MS);
    socket.once("connect", () => end(true));
    socket.once("error", () => end(false));
  });
}
