/**
 * Keeps the ledger of held bytes up to date and carries out what its level
 * requires: bodies wait until there is space for them, new requests are refused,
 * and callers that have stopped reading are disconnected.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";

/** Interval between two checks of the level and of callers' progress, in ms. */
const CHECK_MS = 250;
/** Share of the limit that bodies may take while they are read, but at least one large body. */
const READING_SHARE = 0.45;
const MIN_READING_BYTES = 4 * 1024 * 1024;
/** Time without progress after which a caller may be disconnected, in ms. */
const STALLED_MS = 1_000;
/** Time without progress after which a request body no longer delays others, in ms; shorter than the longest wait for a body. */
const BODY_STALLED_MS = 400;

/** Bytes of all responses from which on large ones are given up, in bytes; a quarter of the memory of a small host. */
const MAX_RESPONSES_BYTES = 64 * 1024 * 1024;
/** Size from which a response counts as large, in bytes. */
const MIN_LARGE_BYTES = 1024 * 1024;

/** The connection of a caller, as the ledger needs it. */
export interface CallerConnection {
  /** Path of the request, for the log. */
  readonly path: string;
  /** Returns the bytes that were written and not yet sent. */
  readonly getUnsentBytes: () => number;
  /** Returns a value that changes with each progress of the connection. */
  readonly readProgress: () => string;
  readonly disconnect: () => void;
}

/** Bytes of one kind that are held for one request. */
export interface HeldAccount {
  readonly add: (bytes: number) => void;
  readonly getHeld: () => number;
  /** Removes all bytes of the account; later additions are ignored. */
  readonly close: () => void;
}

/** The bytes that a caller's connection holds. */
export interface CallerAccount {
  readonly holder: string;
  /** Reads the number of unsent bytes again. */
  readonly update: () => void;
  readonly close: () => void;
}

/** Options of {@link HeldBytes}. */
export interface HeldBytesOptions {
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  /** Limit of the ledger; undefined if the ledger only counts. */
  readonly limitBytes: number | undefined;
}

/** A request whose body is to be read. */
export interface WaitingBody {
  readonly holder: string;
  /** Size of the body according to its caller, or the largest that it may have. */
  readonly bytes: number;
  readonly maxMs: number;
}

/** A request body that is being read. */
interface BodyRead {
  heldBytes: number;
  remainingBytes: number;
  progressAt: number;
  /** Gives the body up. */
  shed?: () => void;
}

interface Caller {
  readonly connection: CallerConnection;
  readonly account: CallerAccount;
  progress: string;
  progressAt: number;
}

/** The held bytes of a host. */
export class HeldBytes {
  readonly #options: HeldBytesOptions;
  readonly #budget: core.ByteBudget;
  readonly #callers = new Map<string, Caller>();
  readonly #bodyWaiters = new Map<(granted: boolean) => void, WaitingBody>();
  /** Bodies that are being read, by holder. */
  readonly #bodies = new Map<string, BodyRead>();
  /** Bytes of the bodies that are being read. */
  #readingBytes = 0;
  #level: core.HeldLevel = "normal";
  #timer: NodeJS.Timeout | undefined;

  constructor(options: HeldBytesOptions) {
    this.#options = options;
    this.#budget = new core.ByteBudget(options);
    if (!this.isEnabled()) return;
    const onError = utils.createErrorLog(options.log, "held.check");
    this.#timer = setInterval(
      () => utils.runDetached(() => this.#check(), onError),
      CHECK_MS,
    ).unref();
  }

  /** Whether the level of the ledger has effects. */
  isEnabled(): boolean {
    return this.#options.limitBytes !== undefined;
  }

  getLevel(): core.HeldLevel {
    return this.#budget.getLevel();
  }

  getTotals(): Readonly<Record<core.HeldKind, number>> {
    return this.#budget.getTotals();
  }

  /** Counts the callers whose response is not sent in full. */
  countCallers(): number {
    return this.#callers.size;
  }

  /** Whether no request or caller holds anything and nothing is in flight. */
  isEmpty(): boolean {
    const { request, response, caller } = this.#budget.getTotals();
    return request + response + caller === 0 && this.#bodies.size === 0 &&
      this.#budget.countServersInFlight() === 0;
  }

  /**
   * Whether more of a response may be held: always, unless all responses together are
   * large and this one is among the large ones. A server that fails may send a body
   * without end, and sound responses must not fail for it.
   */
  mayHoldMore({ getHeld }: HeldAccount): boolean {
    return getHeld() <= MIN_LARGE_BYTES ||
      this.#budget.getTotals().response <= MAX_RESPONSES_BYTES;
  }

  /** Opens an account for bytes of a request. */
  openAccount(
    holder: string,
    { kind }: { readonly kind: core.HeldKind },
  ): HeldAccount {
    let held = 0;
    let closed = false;
    return {
      getHeld: () => held,
      add: (bytes) => {
        if (closed) return;
        held += bytes;
        this.#budget.add(holder, { kind, bytes });
        if (kind !== "request") return;
        this.#recordProgress(holder, bytes);
        this.#shedBodies();
      },
      close: () => {
        if (closed) return;
        closed = true;
        this.#budget.remove(holder, { kind, bytes: held });
        this.#releaseBodies();
      },
    };
  }

  /** Opens the account of a caller's connection for one request. */
  openCaller(connection: CallerConnection): CallerAccount {
    const holder = utils.createId();
    let held = 0;
    let closed = false;
    const setHeld = (bytes: number) => {
      const kind = "caller";
      this.#budget.add(holder, { kind, bytes: bytes - held });
      this.#budget.remove(holder, { kind, bytes: held - bytes });
      const isLess = bytes < held;
      held = bytes;
      if (isLess) this.#releaseBodies();
    };
    const account = {
      holder,
      update: () => {
        if (closed) return;
        const bytes = connection.getUnsentBytes();
        if (bytes > 0 && held === 0) this.#addCaller(account, connection);
        if (bytes === 0) this.#callers.delete(holder);
        setHeld(bytes);
      },
      close: () => {
        closed = true;
        this.#callers.delete(holder);
        setHeld(0);
      },
    };
    return account;
  }

  #addCaller(account: CallerAccount, connection: CallerConnection): void {
    this.#callers.set(account.holder, {
      account,
      connection,
      progress: connection.readProgress(),
      progressAt: this.#options.clock.now(),
    });
  }

  /**
   * Waits until a request body may be read; returns false after `maxMs`. While
   * the host holds much, a body waits if it would not fit beside those that are
   * being read. The end of the body must be reported with {@link endBody}.
   */
  async waitForBody(body: WaitingBody): Promise<boolean> {
    if (this.#mayReadBody(body)) {
      this.#addBody(body);
      return true;
    }
    return await new Promise<boolean>((resolve) => {
      const end = (granted: boolean) => {
        clearTimeout(timer);
        this.#bodyWaiters.delete(end);
        if (granted) this.#addBody(body);
        resolve(granted);
      };
      const timer = setTimeout(() => end(false), body.maxMs);
      this.#bodyWaiters.set(end, body);
    });
  }

  /** Records that a body was read or given up. */
  endBody(holder: string): void {
    this.#dropBody(holder);
    this.#releaseBodies();
  }

  /** Registers what gives a body up that is being read. */
  setShed(holder: string, shed: () => void): void {
    const body = this.#bodies.get(holder);
    if (body !== undefined) body.shed = shed;
  }

  /**
   * Gives up the largest bodies that are being read until the limit is kept: bodies
   * that were granted while the host held little may together exceed it.
   */
  #shedBodies(): void {
    while (this.#isReadingTooMuch()) {
      const holder = this.#budget.findLargest((holder) =>
        this.#bodies.get(holder)?.shed !== undefined
      );
      if (holder === undefined) return;
      const body = this.#bodies.get(holder);
      this.#dropBody(holder);
      body?.shed?.();
    }
  }

  #isReadingTooMuch(): boolean {
    const { limitBytes = Number.POSITIVE_INFINITY } = this.#options;
    return this.#budget.getLevel() === "over" ||
      this.#readingBytes >
        Math.max(READING_SHARE * limitBytes, MIN_READING_BYTES);
  }

  #dropBody(holder: string): void {
    this.#readingBytes -= this.#bodies.get(holder)?.heldBytes ?? 0;
    this.#bodies.delete(holder);
  }

  #addBody({ holder, bytes }: WaitingBody): void {
    const progressAt = this.#options.clock.now();
    this.#bodies.set(holder, {
      heldBytes: 0,
      remainingBytes: bytes,
      progressAt,
    });
  }

  #recordProgress(holder: string, bytes: number): void {
    const body = this.#bodies.get(holder);
    if (body === undefined) return;
    body.heldBytes += bytes;
    this.#readingBytes += bytes;
    body.remainingBytes = Math.max(0, body.remainingBytes - bytes);
    body.progressAt = this.#options.clock.now();
  }

  #mayReadBody({ bytes }: WaitingBody): boolean {
    switch (this.#budget.getLevel()) {
      case "normal":
        return true;
      case "pressed":
        return this.#hasSpace(bytes);
      case "full":
      case "over":
        return false;
    }
  }

  /**
   * Whether a body fits below the level "full" beside the rest of those that are
   * being read. A body whose caller sends nothing does not count, as it could
   * delay others until its caller's deadline.
   */
  #hasSpace(bytes: number): boolean {
    const now = this.#options.clock.now();
    const active = [...this.#bodies.values()].filter(({ progressAt }) =>
      now - progressAt < BODY_STALLED_MS
    );
    // With no other body to wait for, one is read, so that requests proceed
    // although slow callers hold much for long.
    if (active.length === 0) return true;
    const remainingBytes = active.reduce(
      (sum, body) => sum + body.remainingBytes,
      0,
    );
    const level = this.#budget.getLevel(remainingBytes + bytes);
    return level === "normal" || level === "pressed";
  }

  #releaseBodies(): void {
    [...this.#bodyWaiters].forEach(([end, body]) => {
      if (this.#mayReadBody(body)) end(true);
    });
  }

  /** Ends the waits for bodies because the host stops. */
  refuseWaits(): void {
    [...this.#bodyWaiters.keys()].forEach((end) => end(false));
  }

  /**
   * Counts a body in flight to a server; returns the function that ends it, or
   * undefined if the server must get no further bytes now.
   */
  openSend(
    server: string,
    size: { readonly bytes: number; readonly maxBodyBytes: number },
  ): (() => void) | undefined {
    if (!this.#budget.addInFlight(server, size)) return undefined;
    let isOpen = true;
    return () => {
      if (isOpen) this.#budget.removeInFlight(server, size.bytes);
      isOpen = false;
    };
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const level = this.#budget.getLevel();
    if (level !== this.#level) {
      this.#options.log.info(
        { level, before: this.#level, ...this.#budget.getTotals() },
        "Level of held bytes changed.",
      );
      this.#level = level;
    }
    this.#releaseBodies();
    this.#callers.forEach((caller) => this.#checkProgress(caller));
    this.#dropStalled();
  }

  #checkProgress(caller: Caller): void {
    const progress = caller.connection.readProgress();
    if (progress === caller.progress) return;
    caller.progress = progress;
    caller.progressAt = this.#options.clock.now();
  }

  /** Disconnects the stalled callers that hold most until the limit is kept. */
  #dropStalled(): void {
    const now = this.#options.clock.now();
    const isStalled = (holder: string) => {
      const caller = this.#callers.get(holder);
      return caller !== undefined && now - caller.progressAt >= STALLED_MS;
    };
    while (this.#budget.getLevel() === "over") {
      const holder = this.#budget.findLargest(isStalled);
      const caller = this.#callers.get(holder ?? "");
      if (caller === undefined) return;
      this.#options.log.warn({
        path: caller.connection.path,
        unsentBytes: caller.connection.getUnsentBytes(),
        stalledMs: Math.round(now - caller.progressAt),
      }, "Disconnected a caller that does not read.");
      caller.account.close();
      // The request and the response close their accounts only once the connection
      // has emitted "close", after this loop; they then have nothing to remove.
      this.#budget.removeHolder(caller.account.holder);
      caller.connection.disconnect();
    }
  }
}
