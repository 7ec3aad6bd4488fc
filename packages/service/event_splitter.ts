/**
 * Splits a stream of server-sent events at event boundaries without changing a
 * byte, and checks that the event identifiers increase.
 */

/** Complete events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Identifier of the last complete event of the stream so far. */
  readonly lastEventId: number;
}

/** Event terminator: a blank line. */
const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;

/** Splits a stream that arrives in chunks of any size. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);
  #lastEventId: number;

  constructor(lastEventId: number) {
    this.#lastEventId = lastEventId;
  }

  /**
   * Appends a chunk and returns the events that it completes, or undefined if
   * an event identifier is not greater than the preceding one. This guards
   * against a server that resumes at the wrong event, and against events of
   * another stream, which would otherwise reach the caller in its response.
   */
  append(chunk: Buffer): CompleteEvents | undefined {
    const buffered = this.#remainder.length === 0
      ? chunk
      : Buffer.concat([this.#remainder, chunk]);
    const end = buffered.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#remainder = buffered;
      return { bytes: EMPTY, count: 0, lastEventId: this.#lastEventId };
    }
    const bytes = buffered.subarray(0, end + EVENT_END.length);
    this.#remainder = buffered.subarray(end + EVENT_END.length);
    const ids = [...bytes.toString("latin1").matchAll(ID_LINE)]
      .map((match) => Number(match[1]));
    const inOrder = ids.every((id) => {
      const follows = id > this.#lastEventId;
      this.#lastEventId = id;
      return follows;
    });
    if (!inOrder) return undefined;
    return { bytes, count: ids.length, lastEventId: this.#lastEventId };
  }

  /** Whether the stream so far ends at an event boundary. */
  isComplete(): boolean {
    return this.#remainder.length === 0;
  }
}

const EMPTY = Buffer.alloc(0);
