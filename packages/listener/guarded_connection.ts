/**
 * A connection of a client between its socket and the HTTP parser. The parser of
 * Node.js turns all that one read brings into requests at once; here it gets a
 * piece at a time, while the connection has few unanswered requests.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as stream from "node:stream";
import type * as clientGuard from "./client_guard.ts";
import * as pieces from "./pieces.ts";

/** Estimated memory of a parsed request with its response, their listeners and accounts, in bytes. */
const REQUEST_BYTES = 8 * 1024;
/** Fewest bytes as which a piece of a body counts for the rate: its parsing takes as long. */
const MIN_PIECE_COST = { length: 1024, chunked: 4 * 1024 };
/** Estimated memory of the chunks of a body that are delivered and not yet read, in bytes. */
const CHUNKED_BYTES = 64 * 1024;
/** Bytes that are read and dropped after the last response. */
const LINGER_BYTES = 64 * 1024;
/** Time after the last response until the connection is reset, if its client still sends, in ms. */
const LINGER_MS = 1_000;

/** Options of {@link GuardedConnection}. */
export interface GuardedConnectionOptions {
  readonly listener: string;
  readonly guard: clientGuard.ClientGuard;
  /** Largest number of unanswered requests; that of the guard applies as well. */
  readonly maxRequests: number;
  /** Whether bytes that are written and not yet sent count as held. */
  readonly countsUnsent: boolean;
  /** Called when the connection has its first unanswered request, and when it has none left. */
  readonly onIdleChanged: (idle: boolean) => void;
}

const connections = new WeakMap<stream.Duplex, GuardedConnection>();

/** A connection of a client. */
export class GuardedConnection {
  readonly id: number;
  /** What the HTTP server gets in place of the socket. */
  readonly stream: stream.Duplex;
  readonly #raw: net.Socket;
  readonly #options: GuardedConnectionOptions;
  #unread: Buffer = Buffer.alloc(0);
  /** Bytes that the parser got since the last request began. */
  #headBytes = 0;
  #requests = 0;
  /** What the parser got of the last request's body, in bytes that count for the rate. */
  #bodyCost = 0;
  /** The request that the parser began last. */
  #lastRequest: http.IncomingMessage | undefined;
  #isRawEnded = false;
  #wantsPiece = false;
  #isPushing = false;
  #isDetached = false;

  constructor(raw: net.Socket, options: GuardedConnectionOptions) {
    this.#raw = raw;
    this.#options = options;
    this.stream = this.#buildStream();
    connections.set(this.stream, this);
    this.id = options.guard.add({
      listener: options.listener,
      destroy: () => raw.destroy(),
    });
    raw.on("data", this.#onData);
    raw.once("end", this.#onEnd);
    raw.on("error", this.#onError);
    raw.on("timeout", this.#onTimeout);
    raw.once("close", this.#onClose);
  }

  /** Counts a request that the parser has begun, until its response is sent or given up. */
  openRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const { guard, onIdleChanged } = this.#options;
    const bytes = REQUEST_BYTES + this.#headBytes;
    // The bytes of the head are held from now on by the request.
    this.#headBytes = 0;
    this.#lastRequest = request;
    this.#bodyCost = 0;
    this.#requests += 1;
    if (this.#requests === 1) onIdleChanged(false);
    guard.addRequests(this.id, 1);
    guard.hold(this.id, REQUEST_BYTES);
    const endBody = isChunked(request)
      ? this.#openChunkedBody(request)
      : undefined;
    response.once("close", () => {
      endBody?.();
      this.#requests -= 1;
      if (this.#requests === 0) onIdleChanged(true);
      guard.addRequests(this.id, -1);
      guard.hold(this.id, -bytes);
      this.#pushPieces();
    });
  }

  /** Counts a body in chunks until it is read or given up; returns the function that ends it. */
  #openChunkedBody(request: http.IncomingMessage): () => void {
    const { guard } = this.#options;
    let isOpen = true;
    const end = () => {
      if (isOpen) guard.hold(this.id, -CHUNKED_BYTES);
      isOpen = false;
    };
    guard.hold(this.id, CHUNKED_BYTES);
    request.once("end", end);
    return end;
  }

  /** Hands the socket over to another protocol, for which it is in use; returns it with the bytes that were read from it. */
  release(): { readonly raw: net.Socket; readonly unread: Buffer } {
    this.#isDetached = true;
    this.#options.onIdleChanged(false);
    this.#raw.off("data", this.#onData).off("end", this.#onEnd)
      .off("error", this.#onError).off("timeout", this.#onTimeout);
    const unread = this.#unread;
    this.#dropUnread();
    return { raw: this.#raw, unread };
  }

  /** Counts bytes of another protocol that are read and not yet used; `finish` of the result ends that. */
  countUpgraded(raw: net.Socket): { readonly finish: () => void } {
    const { guard } = this.#options;
    let bytes = 0;
    raw.on("data", ({ length }: Buffer) => {
      bytes += length;
      guard.hold(this.id, length);
    });
    return {
      finish: () => {
        guard.hold(this.id, -bytes);
        bytes = 0;
      },
    };
  }

  readonly #onData = (bytes: Buffer) => {
    this.#options.guard.recordRead(this.id);
    this.#unread = this.#unread.length === 0
      ? bytes
      : Buffer.concat([this.#unread, bytes]);
    this.#options.guard.hold(this.id, bytes.length);
    this.#pushPieces();
  };

  readonly #onEnd = () => {
    this.#isRawEnded = true;
    this.#pushPieces();
  };

  readonly #onError = (error: Error) => void this.stream.destroy(error);

  readonly #onTimeout = () => void this.stream.emit("timeout");

  readonly #onClose = () => {
    this.#options.guard.remove(this.id);
    this.#dropUnread();
    if (!this.#isDetached) this.stream.destroy();
  };

  /** Gives the parser pieces while it takes them and the connection may have more requests. */
  #pushPieces(): void {
    if (this.#isPushing || this.#isDetached) return;
    this.#isPushing = true;
    while (
      this.#wantsPiece && this.#unread.length > 0 && !this.stream.destroyed &&
      this.#mayParse()
    ) {
      this.#pushPiece();
    }
    this.#isPushing = false;
    if (this.stream.destroyed) return;
    if (this.#unread.length > 0) return void this.#raw.pause();
    if (this.#isRawEnded) return void this.stream.push(null);
    if (this.#wantsPiece) this.#raw.resume();
  }

  #pushPiece(): void {
    const isInBody = this.#isInBody();
    const end = pieces.findPieceEnd(this.#unread);
    const piece = this.#unread.subarray(0, end);
    this.#unread = this.#unread.subarray(end);
    this.#wantsPiece = false;
    if (isInBody) this.#recordBody(end);
    else this.#headBytes += end;
    if (this.stream.push(piece)) this.#wantsPiece = true;
  }

  readonly #resume = () => this.#pushPieces();

  #recordBody(bytes: number): void {
    const { guard } = this.#options;
    const framing = this.#lastRequest && isChunked(this.#lastRequest)
      ? "chunked"
      : "length";
    const cost = Math.max(bytes, MIN_PIECE_COST[framing]);
    guard.recordBody(cost, this.#bodyCost);
    this.#bodyCost += cost;
    guard.hold(this.id, -bytes);
  }

  /** Whether the parser may get more: the rest of a body, or a further request. */
  #mayParse(): boolean {
    const { guard, maxRequests } = this.#options;
    if (this.#isInBody()) {
      return guard.mayReadBody(this.#bodyCost, this.#resume);
    }
    return this.#requests < maxRequests && guard.mayParse(this.#requests);
  }

  #isInBody(): boolean {
    return this.#lastRequest !== undefined && !this.#lastRequest.complete;
  }

  #dropUnread(): void {
    this.#options.guard.hold(this.id, -this.#unread.length);
    this.#unread = Buffer.alloc(0);
  }

  #buildStream(): stream.Duplex {
    const raw = this.#raw;
    const duplex = new stream.Duplex({
      // At most one piece waits beside the one that is parsed.
      readableHighWaterMark: 1,
      writableHighWaterMark: raw.writableHighWaterMark,
      decodeStrings: false,
      read: () => {
        this.#wantsPiece = true;
        this.#pushPieces();
      },
      write: (bytes: Buffer | string, encoding, onWritten) =>
        this.#write([{ chunk: bytes, encoding }], onWritten),
      writev: (parts, onWritten) => this.#write(parts, onWritten),
      final: (onEnded) => void raw.end(onEnded),
      destroy: (error, onDestroyed) => {
        if (!this.#isDetached) raw.destroy();
        onDestroyed(error);
      },
    });
    // The HTTP server calls these methods of sockets.
    return Object.assign(duplex, {
      setTimeout: (ms: number) => void raw.setTimeout(ms),
      setNoDelay: (noDelay: boolean) => void raw.setNoDelay(noDelay),
      setKeepAlive: (enable: boolean) => void raw.setKeepAlive(enable),
      destroySoon: () => this.#closeAfterResponse(),
    });
  }

  #write(
    parts: readonly {
      readonly chunk: Buffer | string;
      readonly encoding: BufferEncoding;
    }[],
    onWritten: (error?: Error | null) => void,
  ): void {
    const { guard, countsUnsent } = this.#options;
    const bytes = countsUnsent
      ? parts.reduce((sum, { chunk }) => sum + chunk.length, 0)
      : 0;
    guard.hold(this.id, bytes);
    const onSent = (error?: Error | null) => {
      guard.hold(this.id, -bytes);
      onWritten(error);
    };
    this.#raw.cork();
    parts.forEach(({ chunk, encoding }, index) =>
      this.#raw.write(
        chunk,
        encoding,
        index === parts.length - 1 ? onSent : undefined,
      )
    );
    this.#raw.uncork();
  }

  /**
   * Closes the connection after its last response. If the client still sends, the
   * connection stays for a while: closing it at once would reset it, and the client
   * would lose the response. Few of its bytes are read, and the parser gets none.
   */
  #closeAfterResponse(): void {
    if (this.#unread.length === 0 && !this.#isInBody()) {
      return void this.#raw.destroySoon();
    }
    const { raw } = this.release();
    let remaining = LINGER_BYTES;
    const timer = setTimeout(() => raw.destroy(), LINGER_MS);
    raw.once("close", () => clearTimeout(timer));
    raw.on("error", () => raw.destroy());
    raw.on("data", (bytes: Buffer) => {
      remaining -= bytes.length;
      if (remaining < 0) raw.pause();
    });
    raw.once("end", () => raw.destroySoon());
    raw.end();
    raw.resume();
    this.stream.destroy();
  }

  /** The socket of the connection. */
  getSocket(): net.Socket {
    return this.#raw;
  }
}

function isChunked(request: http.IncomingMessage): boolean {
  return request.headers["transfer-encoding"] !== undefined;
}

/**
 * Returns the connection behind a stream of a guarded server; undefined for other
 * streams.
 *
 * @example
 * getGuardedConnection(request.socket)?.getSocket().bytesWritten; // bytes
 */
export function getGuardedConnection(
  socket: stream.Duplex,
): GuardedConnection | undefined {
  return connections.get(socket);
}
