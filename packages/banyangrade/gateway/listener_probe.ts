/**
 * Checks that the port for callers is served, so that a host does not say that it is
 * ready while its callers give up before it has read anything of them: opens a
 * connection to that port now and then, sends a byte, and waits until it is read.
 * Connections are accepted and read in about the order in which they arrive.
 */
import * as net from "node:net";
import type * as utils from "@banyangrade/utils";

/** Interval between two connections, in ms; the load balancer asks once a second. */
const PROBE_MS = 1_000;
const PROBE_BYTE = "\n";
/** Time for which a port counts as served after a connection was opened that was read, in ms: until the next one, and the second that callers allow a new connection. */
const SERVED_MS = 2 * PROBE_MS;

/** Options of {@link ListenerProbe}. */
export interface ListenerProbeOptions {
  readonly address: utils.Address;
  /** Includes the time for which the process was suspended, in which it has served nobody. */
  readonly clock: Pick<utils.Clock, "now">;
  readonly log: utils.Logger;
  /** Describes the process for the log, such as how late it is. */
  readonly describe: () => Readonly<Record<string, number>>;
}

/** A connection that is not read yet. */
interface OpenProbe {
  readonly socket: net.Socket;
  readonly openedAt: number;
}

/** Checks the port for callers of one process. */
export class ListenerProbe {
  readonly #options: ListenerProbeOptions;
  #timer: NodeJS.Timeout | undefined;
  #open: OpenProbe | undefined;
  /** Time at which the last connection was opened of which something was read. */
  #servedAsOf = Number.NEGATIVE_INFINITY;
  #startedAt = Number.POSITIVE_INFINITY;
  #isReported = false;

  constructor(options: ListenerProbeOptions) {
    this.#options = options;
  }

  start(): void {
    this.#startedAt = this.#options.clock.now();
    this.#openProbe();
    this.#timer = setInterval(() => this.#openProbe(), PROBE_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#closeProbe();
  }

  /** Takes a connection that the port has accepted; returns whether it is one of this check. */
  take(accepted: net.Socket): boolean {
    const open = this.#open;
    const isOwn = open !== undefined &&
      accepted.remotePort === open.socket.localPort &&
      accepted.remoteAddress === open.socket.localAddress;
    if (!isOwn) return false;
    accepted.on("error", () => undefined);
    accepted.once("data", () => {
      accepted.destroy();
      this.#recordRead(open);
    });
    return true;
  }

  #recordRead(probe: OpenProbe): void {
    this.#servedAsOf = probe.openedAt;
    if (this.#open === probe) this.#closeProbe();
    if (this.#isReported && this.isServed()) this.#report(false);
    // It waited for long, so how long one waits now is not known.
    if (this.#getAge() > PROBE_MS) this.#openProbe();
  }

  /** Whether something was read of a recent connection. */
  isServed(): boolean {
    return this.#getAge() <= SERVED_MS;
  }

  /** Returns the time since the last connection was opened of which something was read, in ms. */
  #getAge(): number {
    return this.#options.clock.now() - this.#servedAsOf;
  }

  /** Returns the same for a port of which nothing was read yet from the start of this check on. */
  #getUnservedMs(): number {
    const now = this.#options.clock.now();
    return Math.min(this.#getAge(), now - this.#startedAt);
  }

  /** Opens a connection, unless the one before is still waiting. */
  #openProbe(): void {
    if (!this.#isReported && this.#getUnservedMs() > SERVED_MS) {
      this.#report(true);
    }
    if (this.#open !== undefined) return;
    const { address: { hostname, port }, clock } = this.#options;
    const socket = net.connect({ host: hostname, port });
    socket.write(PROBE_BYTE);
    const opened = { socket, openedAt: clock.now() };
    this.#open = opened;
    // A connection that is refused or reset is followed by the next one.
    socket.on("error", () => undefined);
    socket.once("close", () => {
      if (this.#open === opened) this.#open = undefined;
    });
  }

  #closeProbe(): void {
    const open = this.#open;
    this.#open = undefined;
    open?.socket.destroy();
  }

  #report(isLate: boolean): void {
    const { log, describe } = this.#options;
    this.#isReported = isLate;
    const fields = { ...describe(), ageMs: Math.round(this.#getUnservedMs()) };
    if (isLate) log.warn(fields, "Port for callers is not served.");
    else log.info(fields, "Port for callers is served again.");
  }
}
