/**
 * Splits a stream of server-sent events at event boundaries without changing a
 * byte, and checks that the event identifiers increase.
 */

/** Complete events of a stream. */
export interface CompleteEvents {
  readonly kind: "events";
  readonly bytes: Buffer;
  readonly count: number;
  /** Identifier of the last complete event of the stream so far. */
  readonly lastEventId: number;
}

/** What a chunk of a stream shows. */
export type SplitResult =
  | CompleteEvents
  /** The identifier of an event is not greater than the preceding one. */
  | { readonly kind: "out_of_order" }
  /** The stream has gone on for too long without an event. */
  | { readonly kind: "no_event" };

/** Event terminator: a blank line. */
const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;
/** Most bytes without a complete event, a thousand times the size of an event; a server that fails may send bytes that are none without end. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Splits a stream that arrives in chunks of any size. */
export class EventSplitter {
  /** Chunks of an incomplete event. */
  #remainder: Buffer[] = [];
  /** Bytes since the last complete event. */
  #eventlessBytes = 0;
  #lastEventId: number;

  constructor(lastEventId: number) {
    this.#lastEventId = lastEventId;
  }

  /**
   * Appends a chunk and returns the events that it completes. The check of the order
   * guards against a server that resumes at the wrong event, and against events of
   * another stream, which would otherwise reach the caller in its response.
   */
  append(chunk: Buffer): SplitResult {
    const result = this.#split(chunk);
    if (result.kind !== "events") return result;
    this.#eventlessBytes = result.count > 0
      ? sumLengths(this.#remainder)
      : this.#eventlessBytes + chunk.length;
    return this.#eventlessBytes > MAX_EVENT_BYTES
      ? { kind: "no_event" }
      : result;
  }

  /** Whether the stream so far ends at an event boundary. */
  isComplete(): boolean {
    return this.#remainder.length === 0;
  }

  #split(chunk: Buffer): SplitResult {
    if (!this.#hasEventEnd(chunk)) {
      this.#remainder.push(chunk);
      const lastEventId = this.#lastEventId;
      return { kind: "events", bytes: EMPTY, count: 0, lastEventId };
    }
    const buffered = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([...this.#remainder, chunk]);
    const end = buffered.lastIndexOf(EVENT_END) + EVENT_END.length;
    const bytes = buffered.subarray(0, end);
    const rest = buffered.subarray(end);
    this.#remainder = rest.length === 0 ? [] : [rest];
    const ids = [...bytes.toString("latin1").matchAll(ID_LINE)]
      .map((match) => Number(match[1]));
    const inOrder = ids.every((id) => {
      const follows = id > this.#lastEventId;
      this.#lastEventId = id;
      return follows;
    });
    if (!inOrder) return { kind: "out_of_order" };
    const lastEventId = this.#lastEventId;
    return { kind: "events", bytes, count: ids.length, lastEventId };
  }

  /** Whether a chunk holds the end of an event, or the second half of one. */
  #hasEventEnd(chunk: Buffer): boolean {
    const last = this.#remainder.at(-1);
    const isSplit = last !== undefined && chunk[0] === EVENT_END[1] &&
      last[last.length - 1] === EVENT_END[0];
    return isSplit || chunk.includes(EVENT_END);
  }
}

const EMPTY = Buffer.alloc(0);

function sumLengths(chunks: readonly Buffer[]): number {
  return chunks.reduce((sum, { length }) => sum + length, 0);
}
