/**
 * Servers of which this host or another one does not know whether they have ended
 * or are only out of its reach. The requests that were in flight there count as
 * suspects all the while. A server that is gone from the list has ended. One that
 * accepts a connection or sends data soon after has not: a server that ended needs
 * some seconds to be back. Of one that is heard of only later this is sure once it
 * has stayed listed for a time, since the entry of a server that is back under its
 * name may change late, and while the store is away none changes.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** Time after which a sign of a server was sent after its loss for certain, in ms; data of other connections may be read late. */
const MARGIN_MS = 250;
/** Time after a loss within which a server that ended cannot be back, nor its address in use again, in ms. */
const EARLY_MS = 1_500;
/** Time for which a server that is heard of later must stay listed, in ms. */
const SETTLE_MS = 10_000;
/** Time for which other hosts are told that a loss was wrong, in ms; longer than marks stay in the store. */
const SHARE_MS = 30_000;
/** Time for which a wrong loss is remembered, in ms; hosts that never heard so share its marks for as long. */
const REMEMBER_MS = constants.QUARANTINE_MS;
/** Time by which a wrong loss must be later than a known one to be news, in ms; the clocks of hosts differ, and are corrected. */
const NEWS_MS = 250;
/** Time within which losses count as those of the same cut, in ms. */
const RECENT_MS = 2_000;

/** A server in doubt. Times are monotonic ms. */
interface Doubt {
  /**
   * Whether the host that lost the server may be cut off from it. Otherwise the loss
   * is recent, and only a response may have been lost.
   */
  readonly unreachable: boolean;
  /** When the server was last lost. */
  readonly at: number;
  /** When this host learned of it. */
  readonly knownAt: number;
  /** When the server was heard of since: first, or of a recent loss last. */
  heardAt?: number;
  /** Whether a connection is to be tried. */
  needsTrial: boolean;
}

/** A wrong loss, and when this host learned that it was wrong, monotonic ms. */
interface WrongLoss {
  readonly at: number;
  readonly knownAt: number;
}

/** Servers of which it has turned out whether they have ended. */
export interface DecidedServers {
  /** They are gone from the list. */
  readonly ended: readonly string[];
  /** They have not ended. */
  readonly wrong: readonly events.ServerLoss[];
}

/** The doubts of one host. */
export class ServerDoubts {
  readonly #doubts = new Map<string, Doubt>();
  readonly #wrong = new Map<string, WrongLoss>();
  /** Recent losses of this host, which may turn out to be doubtful. */
  #recent: events.ServerLoss[] = [];

  /** Whether any server is in doubt; most checks end here. */
  hasAny(): boolean {
    return this.#doubts.size > 0;
  }

  /** Whether a server may only be out of a host's reach. */
  has(server: string): boolean {
    return this.#doubts.get(server)?.unreachable ?? false;
  }

  /** Records a loss that this host noticed. */
  recordLoss(loss: events.ServerLoss): void {
    this.#recent = this.#recent.filter(({ at }) => loss.at - at <= RECENT_MS);
    this.#recent.push(loss);
  }

  /** Lists the recent losses of some servers since a time. */
  listRecent(
    servers: ReadonlySet<string>,
    since: number,
  ): events.ServerLoss[] {
    return this.#recent.filter(({ server, at }) =>
      at >= since && servers.has(server)
    );
  }

  /** Adds a doubt; returns whether it is new. */
  add({ server, at }: events.ServerLoss, now: number): boolean {
    const known = this.#doubts.get(server);
    const isKnown = known?.unreachable ?? false;
    if (isKnown && isSameOrBefore(at, known?.at ?? at)) return false;
    this.#doubts.set(server, {
      unreachable: true,
      at,
      knownAt: now,
      needsTrial: known?.needsTrial ?? false,
    });
    return !isKnown;
  }

  /** Adds a recent loss, after which the server may be heard of soon: only a response may have been lost. */
  addRecent({ server, at }: events.ServerLoss, now: number): void {
    const known = this.#doubts.get(server);
    if (known?.unreachable || now - at > EARLY_MS) return;
    if (known !== undefined && at <= known.at) return;
    // Signs of the server still tell of the losses before this one.
    this.#doubts.set(server, {
      knownAt: now,
      needsTrial: false,
      ...known,
      unreachable: false,
      at,
    });
  }

  /** Lets connections to servers in doubt be tried, because requests are refused for their losses. */
  scheduleTrials(servers: readonly string[]): void {
    servers.forEach((server) => {
      const doubt = this.#doubts.get(server);
      if (doubt !== undefined) doubt.needsTrial = true;
    });
  }

  /** Takes the servers to which connections are to be tried now. */
  takeTrials(now: number): string[] {
    return [...this.#doubts].filter(([, doubt]) => {
      const isDue = doubt.needsTrial && now - doubt.knownAt >= MARGIN_MS &&
        now - doubt.at <= EARLY_MS;
      if (isDue) doubt.needsTrial = false;
      return isDue;
    }).map(([server]) => server);
  }

  /** Records that a server accepted a connection or sent data. */
  recordSign(server: string, now: number): void {
    const doubt = this.#doubts.get(server);
    if (doubt === undefined || now - doubt.knownAt < MARGIN_MS) return;
    doubt.heardAt = doubt.unreachable ? doubt.heardAt ?? now : now;
  }

  /** Decides on the servers that are gone from the list, or that have been heard of. */
  decide(
    { isListed, isListCurrent }: {
      readonly isListed: (server: string) => boolean;
      /** Whether the list of servers is as in the store. */
      readonly isListCurrent: boolean;
    },
    now: number,
  ): DecidedServers {
    if (!isListCurrent) this.#restartSettling(now);
    const gone = [...this.#doubts].filter(([one]) => !isListed(one));
    gone.forEach(([server]) => this.#doubts.delete(server));
    const wrong = [...this.#doubts].filter(([, { at, heardAt }]) =>
      heardAt !== undefined &&
      (heardAt - at <= EARLY_MS || now - heardAt >= SETTLE_MS)
    ).map(([server, doubt]) => ({ server, at: getWrongUntil(doubt) }));
    this.#dropSilent(now);
    return {
      ended: gone.filter(([, { unreachable }]) => unreachable)
        .map(([server]) => server),
      wrong,
    };
  }

  /** Drops the recent losses after which nothing was heard of the server in time. */
  #dropSilent(now: number): void {
    this.#doubts.forEach(({ unreachable, at, heardAt }, server) => {
      const isSilent = heardAt === undefined || heardAt < at ||
        heardAt - at > EARLY_MS;
      if (!unreachable && isSilent && now - at > EARLY_MS) {
        this.#doubts.delete(server);
      }
    });
  }

  /** Lets servers that were heard of later stay listed for the whole time once more. */
  #restartSettling(now: number): void {
    this.#doubts.forEach((doubt) => {
      const { at, heardAt } = doubt;
      if (heardAt !== undefined && heardAt - at > EARLY_MS) doubt.heardAt = now;
    });
  }

  /** Withdraws a server's losses up to a time; returns whether that is news or decides a doubt. */
  withdraw({ server, at }: events.ServerLoss, now: number): boolean {
    const doubt = this.#doubts.get(server);
    const isDecided = doubt !== undefined && isSameOrBefore(doubt.at, at);
    if (isDecided) this.#doubts.delete(server);
    const known = this.#wrong.get(server);
    const isNews = known === undefined || at > known.at + NEWS_MS;
    this.#wrong.set(server, {
      at: Math.max(at, known?.at ?? at),
      knownAt: isNews ? now : known.knownAt,
    });
    return isNews || isDecided;
  }

  /** Whether a loss is known to be wrong. */
  isWrong({ server, at }: events.ServerLoss): boolean {
    const wrongAt = this.#wrong.get(server)?.at;
    return wrongAt !== undefined && isSameOrBefore(at, wrongAt);
  }

  /** Lists the wrong losses to share with other hosts. */
  listWrong(now: number): events.WrongLosses {
    [...this.#wrong].filter(([, { knownAt }]) => now - knownAt > REMEMBER_MS)
      .forEach(([server]) => this.#wrong.delete(server));
    return Object.fromEntries(
      [...this.#wrong].filter(([, { knownAt }]) => now - knownAt <= SHARE_MS)
        .map(([server, { at }]) => [server, at]),
    );
  }
}

/**
 * Returns the time of the last loss that is wrong. A server may be lost in truth soon
 * after a response was lost, so that a recent loss is wrong only up to the sign; the
 * tolerance with which losses are compared is taken off.
 */
function getWrongUntil({ unreachable, at, heardAt = at }: Doubt): number {
  return unreachable ? at : heardAt - MARGIN_MS - constants.SAME_LOSS_MS;
}

/** Whether a loss is the same as another one or before it; the clocks of hosts differ, and are corrected. */
function isSameOrBefore(at: number, other: number): boolean {
  return at <= other + constants.SAME_LOSS_MS;
}
