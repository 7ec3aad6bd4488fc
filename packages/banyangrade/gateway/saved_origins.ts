/**
 * Writes to the store which versions began streams, while versions differ, and reads it
 * once a host has become a relay. Hosts that are all lost at once would otherwise
 * refuse the streams that their callers take up.
 */
import * as core from "@banyangrade/core";
import * as store from "@banyangrade/store";
import * as utils from "@banyangrade/utils";
import * as invalidEntries from "./invalid_entries.ts";

/** Key prefix of the batches. */
const PREFIX = "banyangrade/origins/";
/** Shortest time between two batches of a relay, in ms; streams that began since are lost with all hosts. */
const SAVE_MS = 250;
/** The same for each relay of the deployment, in ms, so that all together write at most 40 batches a second. */
const SAVE_MS_PER_RELAY = 25;
/** Time after a failed write until the next one, in ms. */
const RETRY_MS = 1_000;
/** Duration of the lease of batches, in s: the life of a stream and the time for which the lease takes new batches. */
const LEASE_S = 45;
/** Time for which a lease takes new batches, in ms; it is never renewed, so that its batches go by themselves. */
const LEASE_USE_MS = 15_000;
/** Largest number of streams that wait to be written; the oldest are dropped while the store is away. */
const MAX_UNSAVED = 20_000;
/** Interval at which a host that is no relay yet looks whether it is one, in ms. */
const LOOK_MS = 100;

/** Options of {@link SavedOrigins}. */
export interface SavedOriginsOptions {
  readonly store: Pick<store.KeyValueClient, "list" | "swap" | "grantLease">;
  readonly clock: utils.Clock;
  readonly log: utils.Logger;
  /** Identifies this process among all writers. */
  readonly incarnation: string;
  readonly isRelay: () => boolean;
  /** Counts the relays of the deployment. */
  readonly countRelays: () => number;
  /** Called with the streams that were read. */
  readonly onRead: (origins: readonly core.OriginRecord[]) => void;
  /** Called for each entry that describes no streams. */
  readonly onInvalidEntry: (kind: invalidEntries.EntryKind) => void;
}

/** Keeps the streams of a relay and its followers in the store. */
export class SavedOrigins {
  readonly #options: SavedOriginsOptions;
  readonly #invalid: invalidEntries.InvalidEntries;
  #unsaved: core.OriginRecord[] = [];
  #batches = 0;
  #lease: { readonly id: string; readonly until: number } | undefined;
  #timer: NodeJS.Timeout | undefined;
  #looking: NodeJS.Timeout | undefined;
  #reading: Promise<boolean> | undefined;
  #hasRead = false;
  #stopped = false;

  constructor(options: SavedOriginsOptions) {
    this.#options = options;
    this.#invalid = new invalidEntries.InvalidEntries({
      log: options.log,
      onInvalid: options.onInvalidEntry,
    });
  }

  start(): void {
    this.#scheduleRead();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#looking);
  }

  /** Adds streams that began, to be written with the next batch. */
  add(origins: readonly core.OriginRecord[]): void {
    this.#unsaved.push(...origins);
    if (this.#unsaved.length > MAX_UNSAVED) {
      this.#unsaved = this.#unsaved.slice(-MAX_UNSAVED);
    }
    this.#schedule(this.#getPauseMs());
  }

  /** Waits for a read that is under way, so that no question is answered just before it ends. */
  async waitForRead(): Promise<void> {
    await this.#reading;
  }

  #getPauseMs(): number {
    return Math.max(SAVE_MS, SAVE_MS_PER_RELAY * this.#options.countRelays());
  }

  /** Looks whether this host is a relay now, and reads the batches once it is. */
  #scheduleRead(): void {
    if (this.#stopped || this.#hasRead) return;
    const onError = utils.createErrorLog(this.#options.log, "origins.read");
    this.#looking = setTimeout(
      () => utils.runDetached(() => this.#readOnce(), onError),
      LOOK_MS,
    ).unref();
  }

  async #readOnce(): Promise<void> {
    try {
      if (!this.#options.isRelay()) return;
      this.#reading = this.#read();
      this.#hasRead = await this.#reading;
    } finally {
      this.#reading = undefined;
      this.#scheduleRead();
    }
  }

  /** Reads the batches of all relays; returns whether the store answered. */
  async #read(): Promise<boolean> {
    const { log, onRead, store: client } = this.#options;
    const read = new Map<string, readonly core.OriginRecord[]>();
    const { take } = new store.EntryIntake({
      isUsable: (entry) => {
        const origins = core.decodeOrigins(entry.value);
        if (origins === undefined) {
          this.#invalid.report(entry, { kind: "origins", error: "malformed" });
          return false;
        }
        read.set(entry.key, origins);
        return true;
      },
    });
    const listed = await client.list(PREFIX, { take });
    if (listed.err) return false;
    const origins = listed.val.flatMap(({ key }) => read.get(key) ?? []);
    onRead(origins);
    log.info(
      { batches: listed.val.length, streams: origins.length },
      "Read which versions began streams.",
    );
    return true;
  }

  #schedule(delayMs: number): void {
    if (this.#stopped || this.#timer !== undefined) return;
    const onError = utils.createErrorLog(this.#options.log, "origins.save");
    this.#timer = setTimeout(
      () => utils.runDetached(() => this.#runSave(), onError),
      delayMs,
    ).unref();
  }

  async #runSave(): Promise<void> {
    const isSaved = await this.#writeBatch().finally(() => {
      this.#timer = undefined;
    });
    if (this.#unsaved.length === 0) return;
    this.#schedule(isSaved ? this.#getPauseMs() : RETRY_MS);
  }

  /** Writes one batch; returns whether the store has it. */
  async #writeBatch(): Promise<boolean> {
    const { incarnation, store: client } = this.#options;
    const lease = await this.#getLease();
    if (lease === undefined) return false;
    const batch = this.#unsaved.splice(0, core.MAX_BATCH);
    this.#batches += 1;
    const swapped = await client.swap({
      key: `${PREFIX}${incarnation}/${this.#batches}`,
      expected: 0,
      value: core.encodeOrigins(batch),
      lease,
    });
    if (swapped.err || swapped.val.kind === "lost") {
      // The lease may have ended, so the next attempt takes another one.
      this.#lease = undefined;
      this.#unsaved = [...batch, ...this.#unsaved].slice(-MAX_UNSAVED);
      return false;
    }
    return true;
  }

  async #getLease(): Promise<string | undefined> {
    const { clock, store: client } = this.#options;
    const now = clock.now();
    if (this.#lease !== undefined && now < this.#lease.until) {
      return this.#lease.id;
    }
    const granted = await client.grantLease(LEASE_S);
    if (granted.err) return undefined;
    this.#lease = { id: granted.val, until: now + LEASE_USE_MS };
    return granted.val;
  }
}
