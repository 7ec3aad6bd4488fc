/**
 * Detects that this host has lost its links to the backend servers of a pool while
 * the servers themselves may be well.
 *
 * The evidence is whether connections can be opened: a server that sends nothing
 * may be busy, and data on connections that are open already says nothing about
 * new ones. Servers that send nothing only make the host try connections.
 */
import type * as utils from "@banyangrade/utils";

/** Number of servers whose last connection attempts are compared. */
const COMPARED_SERVERS = 4;
/** Share of the compared servers that must be unreachable for the links to count as lost. */
const LOST_SHARE = 0.75;
/** Number of unreachable servers below which the links do not count as lost: one may have ended. */
const MIN_UNREACHABLE = 2;
/** Age up to which a connection attempt is compared, in ms; a few rounds of trials. */
const OUTCOME_MS = 2_000;
/** Number of servers that must send nothing for the host to try connections. */
const MIN_SILENT = 2;
/** Time window in which these servers must have sent nothing, in ms. */
const SILENT_MS = 1_000;
/** Interval between rounds of trials, in ms; longer than the timeout of a connection attempt. */
const TRIAL_MS = 500;
/** Servers that are tried in one round. */
const TRIALS = { suspected: 3, lost: 2 } as const;
/** Servers that must be reachable one after another for the links to count as restored. */
const RESTORED_SERVERS = 2;
/** Time over which this host takes over its requests again after its links are restored, in ms. */
const RETURN_MS = 2_000;

/** What a host knows of its links to backend servers. */
export type LinkState =
  | { readonly kind: "working" }
  /** `since`: when the first server did not respond, monotonic ms. */
  | { readonly kind: "lost"; readonly since: number };

/** Outcome of the last connection attempt to a server. */
interface Outcome {
  readonly reachable: boolean;
  readonly at: number;
}

/** When a server was first and last found to send nothing, monotonic ms. */
interface Silence {
  readonly first: number;
  readonly last: number;
}

/** Change of the state of the links. */
export type LinkChange = "lost" | "restored";

/** The links of one host to the backend servers of one pool. */
export class ServerLinks {
  /** Last connection attempts of a few servers, the oldest first. */
  readonly #outcomes = new Map<string, Outcome>();
  /** Servers that have sent nothing since they should have. */
  readonly #silent = new Map<string, Silence>();
  #state: LinkState = { kind: "working" };
  #restoredAt = Number.NEGATIVE_INFINITY;
  #lastReachedAt = Number.NEGATIVE_INFINITY;
  #triedAt = Number.NEGATIVE_INFINITY;
  #isTrialScheduled = false;
  /** Reachable servers since the last unreachable one, while the links are lost. */
  readonly #reachableInRow = new Set<string>();

  /** Returns whether the links count as lost, and since when. */
  getState(): LinkState {
    return this.#state;
  }

  /** Whether the links count as lost. */
  isLost(): boolean {
    return this.#state.kind === "lost";
  }

  /** Returns when this host last reached any server, monotonic ms. */
  getReachedAt(): number {
    return this.#lastReachedAt;
  }

  /** Returns the share of its requests that this host runs over its own links, in [0, 1]; it grows after they are restored. */
  getOwnShare(now: number): number {
    if (this.isLost()) return 0;
    return Math.min(1, Math.max(0, (now - this.#restoredAt) / RETURN_MS));
  }

  /** Records that a server sent data. */
  recordData(server: string, now: number): void {
    if (this.#silent.size > 0) this.#silent.delete(server);
    this.#lastReachedAt = now;
  }

  /** Records that a server sent nothing for longer than it should have taken. */
  recordSilence(server: string, now: number): void {
    const first = this.#silent.get(server)?.first ?? now;
    this.#silent.set(server, { first, last: now });
  }

  /** Records a connection attempt; returns the change of the links' state, if any. */
  recordConnection(
    server: string,
    { reachable, servers, now }: {
      readonly reachable: boolean;
      /** Number of live servers of the pool. */
      readonly servers: number;
      readonly now: number;
    },
  ): LinkChange | undefined {
    this.#outcomes.delete(server);
    this.#outcomes.set(server, { reachable, at: now });
    const [oldest] = this.#outcomes.keys();
    if (this.#outcomes.size > COMPARED_SERVERS) this.#outcomes.delete(oldest);
    if (!reachable) {
      this.#reachableInRow.clear();
      this.recordSilence(server, now);
      return this.#decideLost({ servers, now });
    }
    this.#lastReachedAt = now;
    if (!this.isLost()) return undefined;
    this.#reachableInRow.add(server);
    const isRestored =
      this.#reachableInRow.size >= Math.min(RESTORED_SERVERS, servers);
    if (!isRestored) return undefined;
    this.#state = { kind: "working" };
    this.#restoredAt = now;
    this.#outcomes.clear();
    this.#silent.clear();
    return "restored";
  }

  #decideLost(
    { servers, now }: { readonly servers: number; readonly now: number },
  ): LinkChange | undefined {
    if (this.isLost()) return undefined;
    [...this.#outcomes].filter(([, { at }]) => now - at > OUTCOME_MS)
      .forEach(([server]) => this.#outcomes.delete(server));
    const compared = [...this.#outcomes.values()];
    const unreachable = compared.filter(({ reachable }) => !reachable).length;
    const isLost = unreachable >= Math.min(MIN_UNREACHABLE, servers) &&
      unreachable >= LOST_SHARE * compared.length;
    if (!isLost) return undefined;
    this.#state = { kind: "lost", since: this.#findFirstSilence(now) };
    return "lost";
  }

  #findFirstSilence(now: number): number {
    const recent = [...this.#silent.values()]
      .filter(({ last }) => now - last <= OUTCOME_MS);
    return Math.min(now, ...recent.map(({ first }) => first));
  }

  /** Lets the next round try connections although nothing is suspected. */
  scheduleTrial(): void {
    this.#isTrialScheduled = true;
  }

  /** Whether a round of trials is due, if there is a reason for one. */
  mayTry(now: number): boolean {
    const mayBeLost = this.isLost() || this.#isTrialScheduled ||
      this.#silent.size > 0;
    return mayBeLost && now - this.#triedAt >= TRIAL_MS;
  }

  /**
   * Draws the servers to which connections are to be tried now; empty unless
   * several servers send nothing or the links are lost.
   */
  drawTrials(
    servers: readonly string[],
    { random, now }: { readonly random: utils.Random; readonly now: number },
  ): string[] {
    const isSuspected = this.#isTrialScheduled ||
      this.#countSilent(now) >= Math.min(MIN_SILENT, servers.length);
    if (!this.isLost() && !isSuspected || !this.mayTry(now)) return [];
    this.#triedAt = now;
    this.#isTrialScheduled = false;
    const count = this.isLost() ? TRIALS.lost : TRIALS.suspected;
    return drawSome(servers, { count, random });
  }

  #countSilent(now: number): number {
    [...this.#silent].filter(([, { last }]) => now - last > OUTCOME_MS)
      .forEach(([server]) => this.#silent.delete(server));
    return [...this.#silent.values()]
      .filter(({ last }) => now - last <= SILENT_MS).length;
  }
}

function drawSome<Entry>(
  entries: readonly Entry[],
  { count, random }: { readonly count: number; readonly random: utils.Random },
): Entry[] {
  const left = [...entries];
  return Array.from(
    { length: Math.min(count, left.length) },
    () => left.splice(random.below(left.length), 1)[0],
  );
}
