/** Tries whether a server accepts connections, without sending it anything. */
import * as net from "node:net";
import * as utils from "@banyangrade/utils";

/** Timeout of a trial, in ms; about a hundred times the latency between failure domains. */
const TRIAL_TIMEOUT_MS = 300;

/** Outcome of opening a connection. */
export type ConnectionTrial =
  | "opened"
  /** Nothing listens at the address. */
  | "refused"
  /** The server did not answer, or there is no path to it. */
  | "failed";

/**
 * Opens a connection to a server and closes it at once. The promise never rejects.
 *
 * @example
 * const trial = await tryConnection("http://10.0.0.1:80"); // "opened"
 */
export function tryConnection(url: string): Promise<ConnectionTrial> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve) => {
    const socket = net.connect({ host: hostname, port: Number(port || 80) });
    const end = (trial: ConnectionTrial) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(trial);
    };
    const timer = setTimeout(() => end("failed"), TRIAL_TIMEOUT_MS);
    socket.once("connect", () => end("opened"));
    socket.once(
      "error",
      (error) => end(utils.isRefusedConnection(error) ? "refused" : "failed"),
    );
  });
}
