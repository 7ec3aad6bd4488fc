/**
 * Which software version began the streams that callers may take up again. A host
 * keeps the streams that it began; hosts share theirs while versions differ, so
 * that a stream goes on at its version when its host is gone. Streams are named by
 * the digest of the attempt that brought their first event.
 */
import * as utils from "@banyangrade/utils";
import * as softwareVersions from "./software_versions.ts";

/** A stream and the version that began it; a pair, because many are sent at a time. */
export type OriginRecord = readonly [stream: number, software: string];

/** Largest number of streams in one of the two halves of the table; the older half is dropped when the other one is full. */
const MAX_STREAMS = 200_000;
/** Largest number of streams that wait to be shared; those of the life of a stream at a host. */
const MAX_PENDING = 2_000;
/** Hexadecimal digits of the digest that fit into an exact number. */
const DIGITS = 13;

/**
 * Returns the number by which a stream is known: a digest of the identifier that
 * its caller gave the attempt that brought its first event.
 *
 * @example
 * hashStream("attempt-7") === hashStream("attempt-7"); // true
 */
export function hashStream(attemptId: string): number {
  return Number.parseInt(utils.computeDigest(attemptId).slice(0, DIGITS), 16);
}

/** The streams of which a host knows the beginning. */
export class StreamOrigins {
  #young = new Map<number, string>();
  #old = new Map<number, string>();
  #rotatedAt = Number.NEGATIVE_INFINITY;
  #pending: OriginRecord[] = [];

  /** Records a stream that this host began, to be shared. */
  record(origin: OriginRecord, now: number): void {
    this.accept([origin], now);
    this.#pending.push(origin);
    if (this.#pending.length > MAX_PENDING) {
      this.#pending = this.#pending.slice(-MAX_PENDING / 2);
    }
  }

  /** Stores streams that other hosts began. */
  accept(origins: readonly OriginRecord[], now: number): void {
    origins.forEach(([stream, software]) => {
      this.#dropOld(now);
      this.#young.set(stream, software);
    });
  }

  /** Returns the version that began a stream; undefined if it is not known. */
  find(stream: number): string | undefined {
    return this.#young.get(stream) ?? this.#old.get(stream);
  }

  /** Returns the streams that have not been shared, and forgets that they have not. */
  takePending(): readonly OriginRecord[] {
    const pending = this.#pending;
    this.#pending = [];
    return pending;
  }

  /** Returns streams to those that have not been shared, because no host took them. */
  addPending(origins: readonly OriginRecord[]): void {
    this.#pending = [...origins, ...this.#pending].slice(-MAX_PENDING);
  }

  /** Counts the streams that have not been shared. */
  countPending(): number {
    return this.#pending.length;
  }

  countStreams(): number {
    return this.#young.size + this.#old.size;
  }

  #dropOld(now: number): void {
    const isDue = now - this.#rotatedAt >= softwareVersions.STREAM_LIFE_MS;
    if (!isDue && this.#young.size < MAX_STREAMS) return;
    this.#old = this.#young;
    this.#young = new Map();
    this.#rotatedAt = now;
  }
}
