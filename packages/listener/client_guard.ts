/** What all listeners of a process share: the bytes that their connections hold, and the log of what was refused. */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Bytes at the beginning of each body that are read at once. */
const FREE_BODY_BYTES = 64 * 1024;
/** Time until bodies are read on after too many bytes were, in ms. */
const BODY_PAUSE_MS = 5;
/** Pause after none of the connections that hold too much could be closed, in ms. */
const EXCESS_PAUSE_MS = 20;
/** Shortest interval between two log lines about refused clients, in ms. */
const LOG_MS = 10_000;

/** Why a connection was refused or closed. */
export type ClosedReason =
  | core.ConnectionRefusal
  /** It had no request, and another one was accepted in its place. */
  | "replaced"
  /** It held most of what all connections held, which was too much. */
  | "held_bytes";

/** Options of {@link ClientGuard}. */
export interface ClientGuardOptions {
  readonly limits: core.ClientLimits;
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
  /** Counts a connection that was refused or closed. */
  readonly onClosed: (listener: string, reason: ClosedReason) => void;
  /** Counts a connection that was accepted. @default ignored */
  readonly onAccepted?: (listener: string) => void;
  /** Counts a connection of which no byte was read until it was closed. @default ignored */
  readonly onUnread?: (listener: string) => void;
}

/** A connection as the guard needs it. */
export interface HoldingConnection {
  readonly listener: string;
  readonly destroy: () => void;
}

/** The connections of all listeners of a process. */
export class ClientGuard {
  readonly #options: ClientGuardOptions;
  readonly #ledger: core.ClientLedger;
  readonly #connections = new Map<number, HoldingConnection>();
  /** Connections of which no byte was read yet. */
  readonly #silent = new Set<number>();
  /** Connections whose bodies are read on later. */
  readonly #pausedBodies = new Set<() => void>();
  /** Bytes of bodies that may be read now. */
  #bodyTokens = 0;
  #bodyTokensAt = Number.NEGATIVE_INFINITY;
  #closedSinceLog: Record<string, number> = {};
  #loggedAt = Number.NEGATIVE_INFINITY;
  /** Time before which no connection is looked for that holds too much. */
  #nextExcessAt = Number.NEGATIVE_INFINITY;
  #nextId = 0;

  constructor(options: ClientGuardOptions) {
    this.#options = options;
    this.#ledger = new core.ClientLedger(options.limits);
  }

  /** Adds a connection; returns its identifier. */
  add(connection: HoldingConnection): number {
    this.#nextId += 1;
    this.#connections.set(this.#nextId, connection);
    this.#silent.add(this.#nextId);
    this.#options.onAccepted?.(connection.listener);
    return this.#nextId;
  }

  /** Records that something was read from a connection. */
  recordRead(id: number): void {
    this.#silent.delete(id);
  }

  /** Returns the number of connections of which no byte was read yet. */
  countSilent(): number {
    return this.#silent.size;
  }

  remove(id: number): void {
    const connection = this.#connections.get(id);
    const isSilent = this.#silent.delete(id);
    if (connection && isSilent) this.#options.onUnread?.(connection.listener);
    this.#connections.delete(id);
    this.#ledger.remove(id);
  }

  /** Changes the bytes that a connection holds; closes those that hold most if all hold too much. */
  hold(id: number, bytes: number): void {
    if (bytes === 0 || !this.#connections.has(id)) return;
    this.#ledger.add(id, bytes);
    if (bytes > 0 && this.#ledger.isFull()) this.#closeExcess();
  }

  #closeExcess(): void {
    const now = this.#options.clock.now();
    if (now < this.#nextExcessAt) return;
    const excess = this.#ledger.listExcess();
    // A search that finds nothing would take the time of every read.
    if (excess.length === 0) this.#nextExcessAt = now + EXCESS_PAUSE_MS;
    excess.forEach((id) => this.close(id, "held_bytes"));
  }

  /** Adds a number of unanswered requests of a connection, or removes them if negative. */
  addRequests(id: number, requests: number): void {
    if (this.#connections.has(id)) this.#ledger.addRequests(id, requests);
  }

  /** Whether all connections hold so much that a new request must be refused. */
  isFull(): boolean {
    return this.#ledger.isFull();
  }

  /** Closes a connection. */
  close(id: number, reason: ClosedReason): void {
    const connection = this.#connections.get(id);
    if (connection === undefined) return;
    this.remove(id);
    this.recordClosed(connection.listener, reason);
    connection.destroy();
  }

  /** Whether a connection with this many unanswered requests may have another one parsed. */
  mayParse(requests: number): boolean {
    return this.#ledger.mayParse(requests);
  }

  /**
   * Whether more of a body may be read now, of which `readBytes` were. Otherwise
   * `onResume` is called when it may be. Garbage would grow faster than it is
   * collected if bodies were read as fast as a crowd sends them.
   */
  mayReadBody(readBytes: number, onResume: () => void): boolean {
    if (readBytes < FREE_BODY_BYTES) return true;
    const { clock, limits } = this.#options;
    const { maxBodyBytesPerSecond: rate } = limits;
    const seconds = (clock.now() - this.#bodyTokensAt) / 1_000;
    this.#bodyTokensAt = clock.now();
    // What was not read in the last second may be read at once.
    this.#bodyTokens = Math.min(rate, this.#bodyTokens + seconds * rate);
    if (this.#bodyTokens > 0) return true;
    if (this.#pausedBodies.size === 0) {
      setTimeout(() => this.#resumeBodies(), BODY_PAUSE_MS);
    }
    this.#pausedBodies.add(onResume);
    return false;
  }

  /** Counts bytes of a body that were read, of which `readBytes` were before. */
  recordBody(bytes: number, readBytes: number): void {
    if (readBytes >= FREE_BODY_BYTES) this.#bodyTokens -= bytes;
  }

  #resumeBodies(): void {
    const paused = [...this.#pausedBodies];
    this.#pausedBodies.clear();
    paused.forEach((onResume) => onResume());
  }

  getHeldBytes(): number {
    return this.#ledger.getTotal();
  }

  countConnections(): number {
    return this.#connections.size;
  }

  /** Counts a connection that was refused or closed, and logs from time to time how many were. */
  recordClosed(listener: string, reason: ClosedReason): void {
    const { clock, log, onClosed } = this.#options;
    onClosed(listener, reason);
    const name = `${listener} ${reason}`;
    this.#closedSinceLog[name] = (this.#closedSinceLog[name] ?? 0) + 1;
    if (clock.now() - this.#loggedAt < LOG_MS) return;
    this.#loggedAt = clock.now();
    log.warn({
      closed: this.#closedSinceLog,
      connections: this.#connections.size,
      heldBytes: this.#ledger.getTotal(),
    }, "Connections refused or closed.");
    this.#closedSinceLog = {};
  }
}

/**
 * Creates a guard with default limits that counts and logs nothing, for servers of tests.
 *
 * @example
 * const guard = createDefaultGuard();
 */
export function createDefaultGuard(): ClientGuard {
  return new ClientGuard({
    limits: core.computeClientLimits({}),
    log: utils.createLogger({ level: "silent" }),
    clock: utils.SYSTEM_CLOCK,
    onClosed: () => undefined,
  });
}
