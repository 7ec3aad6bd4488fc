/**
 * Until when each backend server is taken for cold, by its own word. Where that
 * is missing, or older than something after which servers are cold, the server
 * is cold for as long as one that starts.
 */

/** How servers of a service must be spared after a start. */
export interface ColdStart {
  /** Time for which a server that starts is cold, in ms. */
  readonly startMs: number;
  /** Most requests that all hosts together may send a cold one in any second. */
  readonly mostPerSecond: number;
}

/** A server's word. */
export interface ColdWord {
  /** Identifier of its incarnation. */
  readonly name: string;
  readonly failureDomain: string;
  /** How much longer it stays cold as of its word, in ms; undefined if it does not say. */
  readonly coldMs: number | undefined;
  /** Grows with each word of the server. */
  readonly revision: number;
}

interface Heard {
  readonly word: ColdWord;
  /** Monotonic ms. */
  readonly at: number;
}

/** What the host has heard of the servers. */
export class ColdStarts {
  readonly #heard = new Map<string, Heard>();
  /** When each failure domain came back into use, monotonic ms. */
  readonly #returnedAt = new Map<string, number>();

  /** Takes over the words of all servers that are listed; one that is read again is no newer for that. */
  setAll(words: readonly ColdWord[], now: number): void {
    const listed = new Set(words.map(({ name }) => name));
    [...this.#heard.keys()].filter((name) => !listed.has(name))
      .forEach((name) => this.#heard.delete(name));
    words.forEach((word) => {
      const known = this.#heard.get(word.name);
      if (known?.word.revision === word.revision) return;
      this.#heard.set(word.name, { word, at: now });
    });
  }

  /** Records that the servers of a failure domain, which may be cold, are used again. */
  recordReturn(failureDomain: string, now: number): void {
    this.#returnedAt.set(failureDomain, now);
  }

  /** Time for which a server is taken to stay cold, in ms; 0 if it is warm. */
  getLeftMs(
    name: string,
    { startMs, now }: { readonly startMs: number; readonly now: number },
  ): number {
    const heard = this.#heard.get(name);
    if (heard === undefined) return startMs;
    const { word, at } = heard;
    const returnedAt = this.#returnedAt.get(word.failureDomain);
    const until = Math.max(
      at + (word.coldMs ?? startMs),
      (returnedAt ?? Number.NEGATIVE_INFINITY) + startMs,
    );
    return Math.max(0, until - now);
  }
}
