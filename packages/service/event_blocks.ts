/**
 * Cuts a stream of server-sent events into whole events without changing a
 * byte, and checks that their identifiers follow each other.
 */

/** Whole events. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly count: number;
  /** Identifier of the last of them, or of the one before. */
  readonly lastEventId: number;
}

/** A blank line ends an event. */
const EVENT_END = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)\r?$/gm;

/** Takes a stream in pieces of any size. */
export class EventBlocks {
  #rest: Buffer = Buffer.alloc(0);
  #lastEventId: number;

  constructor(lastEventId: number) {
    this.#lastEventId = lastEventId;
  }

  /**
   * Adds a piece and returns the events that are now whole; undefined if one
   * of them does not come behind the one before. A server that goes on at the
   * wrong event, or another stream's events in this one, would otherwise reach
   * the caller as part of its answer.
   */
  take(chunk: Buffer): WholeEvents | undefined {
    const all = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = all.lastIndexOf(EVENT_END);
    if (end < 0) {
      this.#rest = all;
      return { bytes: EMPTY, count: 0, lastEventId: this.#lastEventId };
    }
    const bytes = all.subarray(0, end + EVENT_END.length);
    this.#rest = all.subarray(end + EVENT_END.length);
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

  /** Whether nothing of an event is left over. */
  isComplete(): boolean {
    return this.#rest.length === 0;
  }
}

const EMPTY = Buffer.alloc(0);
