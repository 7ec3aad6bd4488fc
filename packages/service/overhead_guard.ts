/**
 * Closes a connection on which a server sends bytes without end that are no content:
 * a head, interim responses, sizes of chunks, or anything while no request is open.
 * The HTTP client keeps none of them, but it would read them at the speed of the link
 * until the deadline of the request, or for as long as they come.
 */
import type * as net from "node:net";
import type * as undici from "undici";

/** Most bytes beyond the content that a connection may bring, several times the largest head that the client accepts. */
const MAX_OVERHEAD_BYTES = 128 * 1024;
/** Bytes that each byte of content allows; sound responses need little more than one. */
const OVERHEAD_FACTOR = 4;

const HTTP_OK = 200;

/** Counts the bytes that are no content of the connection of one client, which may open another one after it. */
export class OverheadGuard {
  #overhead = 0;

  /** Counts all bytes that are read from a socket, and destroys it above the limit. */
  watchSocket(socket: net.Socket): void {
    this.#overhead = 0;
    const { read } = socket;
    socket.read = (size) => {
      const chunk = read.call(socket, size);
      this.#overhead += chunk?.length ?? 0;
      if (this.#overhead <= MAX_OVERHEAD_BYTES) return chunk;
      socket.destroy(new Error("The server sends bytes that are no response."));
      return null;
    };
  }

  /** Watches the handler of a request, whose head and content count as progress; of either interface of the HTTP client. */
  watchHandler(
    handler: undici.Dispatcher.DispatchHandler,
  ): undici.Dispatcher.DispatchHandler {
    return new Proxy(handler, {
      get: (target, name) => {
        const method: unknown = Reflect.get(target, name);
        if (typeof method !== "function") return method;
        return (...values: unknown[]) => {
          this.#recordProgress(name, values);
          return Reflect.apply(method, target, values);
        };
      },
    });
  }

  #recordProgress(method: string | symbol, values: readonly unknown[]): void {
    switch (method) {
      case "onHeaders":
      case "onResponseStart":
        // Interim responses are no progress: they may come without end.
        if (isFinal(values)) this.#overhead = 0;
        return;
      case "onData":
      case "onResponseData": {
        const length = values.find(Buffer.isBuffer)?.length ?? 0;
        const allowed = OVERHEAD_FACTOR * length;
        this.#overhead = Math.max(0, this.#overhead - allowed);
      }
    }
  }
}

/** Whether a head with these values is that of a final response: the status is the first number among them. */
function isFinal(values: readonly unknown[]): boolean {
  const status = values.find((value) => typeof value === "number");
  return typeof status === "number" && status >= HTTP_OK;
}
