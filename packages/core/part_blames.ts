/**
 * Parts of prompts that crash the servers which begin to write an answer on them.
 * The requests differ in all else, so they are not recognised as one poison
 * request; see `quarantine.ts`. A part is blamed if several servers were lost, one
 * after the other, while requests with the part waited there for their first
 * event, and no answer has begun with it since. The hosts share crashes, answers
 * and trials. A server that is lost may go on: only the response was. So a crash
 * counts once its server has ended for certain, or has not been heard of for a time.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";

/** Crashes at which a part is blamed; two below those after which hardly any more are borne. */
const BLAME_AFTER = 3;
/** Time within which lost servers count as one crash, in ms; one part does not crash several servers at the same moment. */
const SAME_MOMENT_MS = 150;
/** Time for which a part is remembered since a crash or a request with it, in ms. */
const REMEMBER_MS = 120_000;
/** Time since the last crash or trial after which one request tries a blamed part, in ms, by the number of trials that ended a server. */
const TRIAL_AFTER_MS = [2_000, 10_000];
/** Time after a trial within which a crash of its part counts as the trial's, in ms. */
const TRIAL_CRASH_MS = 5_000;
/** Largest number of parts that are remembered; the oldest are dropped first. */
const MAX_PARTS = 1_000;
/** Largest number of parts of one prompt that count. */
const MAX_PROMPT_PARTS = 16;
/** Interval at which the crashes of a part are shared again while requests with it come, in ms; shorter than shared marks last. */
const RENEW_MS = 4_000;
/** Time for which an answer is shared, in ms; longer than the marks that it clears. */
const SHARE_ANSWER_MS = 30_000;
/** Largest number of parts whose last answer is remembered, suspect or not; their marks may come later. */
const MAX_ANSWERED = 4_000;

/** Maximum number of marks that a host which knows none is told. */
const MAX_KNOWN = 60;

const CRASH_PREFIX = "part:";
const TRIAL_PREFIX = "trial:";

/** Parts of prompts with the time at which an answer last began with them, in ms. */
export type PartAnswers = Readonly<Record<string, number>>;

/** What a part is blamed for, for logs. Times are in ms before now. */
export interface BlameEvidence {
  readonly part: string;
  readonly servers: readonly string[];
  readonly firstMs: number;
  readonly lastMs: number;
  /** Undefined if no answer with the part is known. */
  readonly answeredMs: number | undefined;
  readonly trials: number;
}

/** Loss of a server while a request with the part waited there. */
interface Crash {
  /** Monotonic ms. */
  readonly at: number;
  /** Whether the server has ended as far as can be known. */
  readonly settled: boolean;
}

/** What became of a mark. */
export type MarkOutcome =
  | "added"
  /** An answer has begun with the part since. */
  | "cleared"
  /** It is no mark of a part. */
  | "other";

interface SuspectPart {
  /** Crashes by lost server. */
  readonly crashes: Map<string, Crash>;
  /** Trials, with their time, monotonic ms. */
  readonly trials: Map<string, number>;
  /** When a crash or a request with the part was last noticed, monotonic ms. */
  noticedAt: number;
  renewedAt: number;
  /** Place in the prompt; 0 is the first. */
  place: number;
}

/**
 * Lists the parts of a prompt that may be blamed. The last one belongs to the
 * request or its session.
 *
 * @example
 * listSharedParts(["a1", "b2", "c3"]); // ["a1", "b2"]
 */
export function listSharedParts(parts: readonly string[]): readonly string[] {
  return parts.slice(0, -1).slice(0, MAX_PROMPT_PARTS);
}

/**
 * Whether a mark tells of a crash under a part of prompts.
 *
 * @example
 * isCrash({ fingerprint: "part:a1", server: "s1@1" }); // true
 */
export function isCrash({ fingerprint }: events.SuspectMark): boolean {
  return fingerprint.startsWith(CRASH_PREFIX);
}

/**
 * Returns the part of which a mark tells.
 *
 * @example
 * getPart("part:a1"); // "a1"
 */
export function getPart(fingerprint: string): string {
  return fingerprint.slice(fingerprint.indexOf(":") + 1);
}

/** The parts that may crash servers, as one host knows them. */
export class PartBlames {
  readonly #parts = new Map<string, SuspectPart>();
  /** When an answer last began with a part, monotonic ms; the latest last. */
  readonly #answeredAt = new Map<string, number>();
  #blamed: ReadonlySet<string> = new Set();
  #hasUnsettled = false;

  /** Whether any part is suspect; most checks end here. */
  hasAny(): boolean {
    return this.#parts.size > 0;
  }

  /** Builds the marks of a crash, one for each part of a request that waited for its first event. */
  buildMarks(
    parts: readonly string[],
    { server, at }: { readonly server: string; readonly at: number },
  ): events.SuspectMark[] {
    return parts.map((part, place) => ({
      fingerprint: `${CRASH_PREFIX}${part}`,
      server,
      at,
      place,
    }));
  }

  /** Adds a mark of this host or another one. A doubtful one counts once it is settled. */
  add(
    { fingerprint, server, at, place = 0, doubtful = false }:
      events.SuspectMark,
    now: number,
  ): MarkOutcome {
    const isTrial = fingerprint.startsWith(TRIAL_PREFIX);
    if (!isTrial && !fingerprint.startsWith(CRASH_PREFIX)) return "other";
    const prefix = isTrial ? TRIAL_PREFIX : CRASH_PREFIX;
    const name = fingerprint.slice(prefix.length);
    const part = this.#get(name);
    const markedAt = at ?? now;
    if (markedAt <= this.#getAnsweredAt(name)) return "cleared";
    part.noticedAt = now;
    part.place = Math.max(part.place, place);
    if (isTrial) addTrial(part, { server, at: markedAt });
    else addCrash(part, { server, at: markedAt, settled: !doubtful });
    this.#hasUnsettled ||= doubtful;
    this.#update();
    return "added";
  }

  /** Lets doubtful crashes count whose server has ended for certain, or is not heard of for a time. */
  settle(now: number, isEnded: (loss: events.ServerLoss) => boolean): void {
    if (!this.#hasUnsettled) return;
    const unsettled = [...this.#parts.values()].flatMap(({ crashes }) =>
      [...crashes].filter(([, { settled }]) => !settled)
        .map(([server, { at }]) => ({ crashes, server, at }))
    );
    const due = unsettled.filter(({ server, at }) =>
      now - at >= constants.DOUBT_MS || isEnded({ server, at })
    );
    due.forEach(({ crashes, server, at }) =>
      crashes.set(server, { at, settled: true })
    );
    this.#hasUnsettled = due.length < unsettled.length;
    if (due.length > 0) this.#update();
  }

  /** Lists the servers of doubtful crashes of parts that would be blamed with them; whether these have ended must be found out. */
  listUnsettled(names: readonly string[]): string[] {
    return names.flatMap((name) => {
      const crashes = this.#parts.get(name)?.crashes ?? new Map();
      const count = countMoments([...crashes.values()].map(({ at }) => at));
      return count < BLAME_AFTER - 1 ? [] : [...crashes]
        .filter(([, { settled }]) => !settled).map(([server]) => server);
    });
  }

  /** Withdraws the crashes of a server up to a time: it has not ended. */
  withdraw({ server, at }: events.ServerLoss): void {
    const wrong = [...this.#parts.values()].filter(({ crashes }) =>
      (crashes.get(server)?.at ?? Number.POSITIVE_INFINITY) <=
        at + constants.SAME_LOSS_MS
    );
    wrong.forEach(({ crashes }) => crashes.delete(server));
    if (wrong.length > 0) this.#update();
  }

  /** Lists the servers that were lost to a part. */
  listServers(name: string): string[] {
    return [...this.#parts.get(name)?.crashes.keys() ?? []];
  }

  /**
   * Records that an answer has begun: none of its parts crashes servers. Returns the
   * parts that it clears, of which other hosts must be told.
   */
  recordAnswer(parts: readonly string[], at: number): readonly string[] {
    return parts.filter((part) => this.#clear(part, at));
  }

  /** Merges the answers of other hosts; returns the parts that they clear here. */
  mergeAnswers(answers: PartAnswers): readonly string[] {
    return Object.entries(answers)
      .filter(([part, at]) => this.#clear(part, at)).map(([part]) => part);
  }

  /** Lists the answers to share: those with parts of which marks are known, by part. */
  listAnswers(now: number): PartAnswers {
    return this.getAnswers(
      [...this.#parts.keys()].filter((part) =>
        now - this.#getAnsweredAt(part) <= SHARE_ANSWER_MS
      ),
    );
  }

  /** Returns when answers last began with some parts, by part. */
  getAnswers(parts: readonly string[]): PartAnswers {
    return Object.fromEntries(
      parts.filter((part) => this.#answeredAt.has(part))
        .map((part) => [part, this.#getAnsweredAt(part)]),
    );
  }

  #getAnsweredAt(name: string): number {
    return this.#answeredAt.get(name) ?? Number.NEGATIVE_INFINITY;
  }

  /** Returns whether the answer clears marks. */
  #clear(name: string, at: number): boolean {
    if (at <= this.#getAnsweredAt(name)) return false;
    this.#keepAnswer(name, at);
    const part = this.#parts.get(name);
    if (part === undefined) return false;
    const before = part.crashes.size + part.trials.size;
    part.crashes.forEach((crash, server) => {
      if (crash.at <= at) part.crashes.delete(server);
    });
    part.trials.forEach((triedAt, server) => {
      if (triedAt <= at) part.trials.delete(server);
    });
    if (part.crashes.size + part.trials.size === before) return false;
    this.#update();
    return true;
  }

  #keepAnswer(name: string, at: number): void {
    this.#answeredAt.delete(name);
    this.#answeredAt.set(name, at);
    if (this.#answeredAt.size <= MAX_ANSWERED) return;
    const [oldest] = this.#answeredAt.keys();
    this.#answeredAt.delete(oldest);
  }

  /** Finds a blamed part of a prompt; undefined if there is none. */
  find(parts: readonly string[] | undefined): string | undefined {
    if (this.#blamed.size === 0) return undefined;
    return parts?.find((part) => this.#blamed.has(part));
  }

  /** Lists the blamed parts. */
  listBlamed(): readonly string[] {
    return [...this.#blamed];
  }

  /** Describes why parts are blamed. */
  describeBlamed(now: number): BlameEvidence[] {
    return [...this.#blamed].flatMap((name) => {
      const part = this.#parts.get(name);
      if (part === undefined) return [];
      const { crashes, trials } = part;
      const answeredAt = this.#getAnsweredAt(name);
      const ages = [...crashes.values()].map(({ at }) => now - at);
      return [{
        part: name,
        servers: [...crashes.keys()],
        firstMs: Math.max(...ages),
        lastMs: Math.min(...ages),
        answeredMs: Number.isFinite(answeredAt) ? now - answeredAt : undefined,
        trials: trials.size,
      }];
    });
  }

  /**
   * Records that a request with a blamed part has come, so that the part is
   * remembered; returns the marks that other hosts must be told of again.
   */
  recordRequest(name: string, now: number): readonly events.SuspectMark[] {
    const part = this.#parts.get(name);
    if (part === undefined) return [];
    part.noticedAt = now;
    if (now - part.renewedAt < RENEW_MS) return [];
    part.renewedAt = now;
    return listPartMarks(name, part);
  }

  /** Lists marks for hosts that know none: those of blamed parts first, then of the parts that were noticed last. */
  listKnown(): events.SuspectMark[] {
    return [...this.#parts].map(([name, part]) => ({
      marks: listPartMarks(name, part),
      rank: this.#blamed.has(name) ? 0 : 1,
      noticedAt: part.noticedAt,
    })).toSorted((a, b) => a.rank - b.rank || b.noticedAt - a.noticedAt)
      .flatMap(({ marks }) => marks).slice(0, MAX_KNOWN);
  }

  /**
   * Lets one request try a blamed part, which ends a wrong blame, some time after the
   * crashes and after each other. A trial that ended no server leaves room for another
   * one; two that did are the last. Returns the mark of the trial; undefined if there
   * is none now.
   */
  takeTrial(name: string, now: number): events.SuspectMark | undefined {
    const part = this.#parts.get(name);
    if (part === undefined) return undefined;
    const afterMs = TRIAL_AFTER_MS[countSpentTrials(part)];
    if (afterMs === undefined) return undefined;
    const crashedAt = [...part.crashes.values()].map(({ at }) => at);
    const last = Math.max(...crashedAt, ...part.trials.values());
    if (now - last < afterMs) return undefined;
    const mark = {
      fingerprint: `${TRIAL_PREFIX}${name}`,
      server: String(Math.round(now)),
      at: now,
    };
    this.add(mark, now);
    return mark;
  }

  /** Forgets the parts of which neither a crash nor a request was noticed for long. */
  forget(now: number): void {
    if (this.#parts.size === 0) return;
    const old = [...this.#parts].filter(([, { noticedAt }]) =>
      now - noticedAt > REMEMBER_MS
    );
    old.forEach(([name]) => this.#parts.delete(name));
    if (old.length > 0) this.#update();
  }

  #get(name: string): SuspectPart {
    const known = this.#parts.get(name);
    if (known !== undefined) return known;
    if (this.#parts.size >= MAX_PARTS) {
      const [oldest] = this.#parts.keys();
      this.#parts.delete(oldest);
    }
    const part = {
      crashes: new Map<string, Crash>(),
      trials: new Map<string, number>(),
      noticedAt: Number.NEGATIVE_INFINITY,
      renewedAt: Number.NEGATIVE_INFINITY,
      place: 0,
    };
    this.#parts.set(name, part);
    return part;
  }

  /**
   * Blames the parts with most crashes, and others only for crashes that those do
   * not explain: sound requests share parts with guilty ones. Of two parts that
   * always came together the later one is blamed, since fewer requests share it.
   */
  #update(): void {
    const counted = [...this.#parts].map(([name, { crashes, place }]) => {
      const settled = new Map(
        [...crashes].filter(([, crash]) => crash.settled)
          .map(([server, { at }]) => [server, at]),
      );
      const count = countMoments(settled.values());
      return { name, place, crashes: settled, count };
    }).filter(({ count }) => count >= BLAME_AFTER);
    const blamed = counted.filter(({ crashes, count, place }) => {
      const better = counted.filter((other) =>
        other.count > count || (other.count === count && other.place > place)
      );
      const left = [...crashes].filter(([server]) =>
        !better.some((other) => other.crashes.has(server))
      );
      return countMoments(left.map(([, at]) => at)) >= BLAME_AFTER;
    });
    this.#blamed = new Set(blamed.map(({ name }) => name));
  }
}

/**
 * Adds a crash. Of several marks of the same loss the first one counts, and it is
 * settled if one of them is. Until then each may be a loss of its own, of which the
 * last one decides.
 */
function addCrash(
  { crashes }: SuspectPart,
  { server, at, settled }: Crash & { readonly server: string },
): void {
  const known = crashes.get(server);
  const isSettled = settled || known?.settled === true;
  const knownAt = known?.at ?? at;
  crashes.set(server, {
    at: isSettled ? Math.min(at, knownAt) : Math.max(at, knownAt),
    settled: isSettled,
  });
}

/** Adds a trial, in place of earlier ones that ended no server. */
function addTrial(
  part: SuspectPart,
  { server, at }: { readonly server: string; readonly at: number },
): void {
  [...part.trials].filter(([, triedAt]) =>
    triedAt < at && !isSpent(part, triedAt)
  ).forEach(([name]) => part.trials.delete(name));
  part.trials.set(server, Math.min(at, part.trials.get(server) ?? at));
}

/** Counts the trials that ended a server. */
function countSpentTrials(part: SuspectPart): number {
  return [...part.trials.values()].filter((at) => isSpent(part, at)).length;
}

function isSpent({ crashes }: SuspectPart, triedAt: number): boolean {
  return [...crashes.values()].some(({ at }) =>
    at >= triedAt && at - triedAt <= TRIAL_CRASH_MS
  );
}

/** Lists the marks of the crashes and trials of a part. */
function listPartMarks(name: string, part: SuspectPart): events.SuspectMark[] {
  const crashes = [...part.crashes].map(([server, { at, settled }]) => ({
    fingerprint: `${CRASH_PREFIX}${name}`,
    server,
    at,
    ...(!settled && { doubtful: true }),
  }));
  const trials = [...part.trials].map(([server, at]) => ({
    fingerprint: `${TRIAL_PREFIX}${name}`,
    server,
    at,
  }));
  return [...crashes, ...trials].map((mark) => ({
    ...mark,
    place: part.place,
  }));
}

/** Counts the times at which servers were lost; those at the same moment are one. */
function countMoments(times: Iterable<number>): number {
  let last = Number.NEGATIVE_INFINITY;
  let count = 0;
  [...times].toSorted((a, b) => a - b).forEach((at) => {
    if (at - last < SAME_MOMENT_MS) return;
    last = at;
    count += 1;
  });
  return count;
}
