/**
 * Marks of suspects that this host made while it was losing or had lost its links
 * to the servers: the connection broke, but the server may not have ended. They
 * count at this host at once, and for other hosts once the server turns out to be
 * gone. If the server answers, they are wrong.
 */
import type * as events from "./events.ts";

/** Time for which a mark is kept in case it turns out to be doubtful, in ms; longer than the time until a loss is noticed. */
const RECENT_MS = 2_000;

/** Maximum number of doubtful marks; the oldest are dropped first. */
const MAX_DOUBTFUL = 1_000;

/** A mark and when it was made, monotonic ms. */
interface TimedMark {
  readonly mark: events.SuspectMark;
  readonly at: number;
}

/** What is known of the server of a mark. */
export interface MarkedServer {
  /** When the server last sent data, monotonic ms; -Infinity if never. */
  readonly lastResponseAt: number;
}

/** Decisions on doubtful marks. */
export interface MarkDecisions {
  /** Their servers are gone. */
  readonly confirmed: readonly events.SuspectMark[];
  /** Their servers have answered. */
  readonly wrong: readonly events.SuspectMark[];
}

/** The doubtful marks of one host. */
export class DoubtfulMarks {
  #recent: TimedMark[] = [];
  #doubtful: TimedMark[] = [];

  get size(): number {
    return this.#doubtful.length;
  }

  /** Records a mark that other hosts are told of. */
  recordReported(mark: events.SuspectMark, now: number): void {
    this.#recent = this.#recent.filter(({ at }) => now - at <= RECENT_MS);
    this.#recent.push({ mark, at: now });
  }

  /** Adds a mark that is withheld from other hosts. */
  add(mark: events.SuspectMark, now: number): void {
    this.#doubtful.push({ mark, at: now });
    this.#doubtful = this.#doubtful.slice(-MAX_DOUBTFUL);
  }

  /** Makes the reported marks of these servers since a time doubtful, and returns them. */
  withdraw(
    servers: ReadonlySet<string>,
    since: number,
  ): events.SuspectMark[] {
    const isDoubtful = ({ mark, at }: TimedMark) =>
      at >= since && servers.has(mark.server);
    const withdrawn = this.#recent.filter(isDoubtful);
    this.#recent = this.#recent.filter((one) => !isDoubtful(one));
    this.#doubtful.push(...withdrawn);
    return withdrawn.map(({ mark }) => mark);
  }

  /** Decides on the marks whose servers are gone or have answered since. */
  decide(find: (server: string) => MarkedServer | undefined): MarkDecisions {
    const decided = this.#doubtful.map((one) => {
      const server = find(one.mark.server);
      const isWrong = server !== undefined && server.lastResponseAt > one.at;
      return { one, isGone: server === undefined, isWrong };
    });
    this.#doubtful = decided.filter(({ isGone, isWrong }) =>
      !isGone && !isWrong
    ).map(({ one }) => one);
    return {
      confirmed: decided.filter(({ isGone }) => isGone)
        .map(({ one }) => one.mark),
      wrong: decided.filter(({ isWrong }) => isWrong)
        .map(({ one }) => one.mark),
    };
  }
}
