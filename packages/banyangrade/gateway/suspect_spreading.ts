/**
 * Tells other hosts at once of requests that were in flight at lost servers. Statuses
 * take a second from host to host and need relays; the servers of a small service
 * may be back before the last host has heard of the request that ended them. Each
 * host passes on to a few others what is news to it.
 */
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as lru from "lru-cache";
import * as z from "zod";
import type * as hostClocks from "./host_clocks.ts";

/** Number of hosts that each host tells; of many hosts nearly all hear of it so. */
const FANOUT = 4;
/** Time for which news are collected, in ms; a lost server mostly had several requests in flight. */
const COLLECT_MS = 20;
/** Shortest time between two messages, in ms. */
const PAUSE_MS = 100;
/** Largest number of marks in a message; statuses bring the others. */
const MAX_MARKS = 200;
/** Number of marks that are remembered as told. */
const MAX_TOLD = 5_000;

const SPREAD = z.object({
  marks: z.array(z.object({
    fingerprint: z.string(),
    server: z.string(),
    at: z.number().optional(),
    place: z.number().optional(),
    doubtful: z.boolean().optional(),
    restarted: z.boolean().optional(),
  })),
  wrongLosses: z.record(z.string(), z.number()),
  answered: z.record(z.string(), z.number()).default({}),
  /** Absent from hosts of earlier versions. */
  answeredParts: z.record(z.string(), z.number()).default({}),
  /** How the sender is reached; absent from hosts of earlier versions. */
  contact: z.object({
    host: z.string(),
    failureDomain: z.string(),
    address: z.string(),
    secret: z.string(),
  }).optional(),
});

/** What hosts tell each other; times are in Unix ms. */
export type SpreadSuspects = z.infer<typeof SPREAD>;

/** Options of {@link SuspectSpreading}. */
export interface SuspectSpreadingOptions {
  readonly log: utils.Logger;
  readonly clock: utils.Clock;
  readonly clocks: Pick<hostClocks.HostClocks, "getTrueTime">;
  readonly isDoubted: (server: string) => boolean;
  /** Returns how this host is reached; undefined if it is not. */
  readonly getContact: () => core.HostContact | undefined;
  /** Called with how another host is reached. */
  readonly onContact: (contact: core.HostContact) => void;
  /** Sends a message to some other hosts. */
  readonly onSend: (text: string, hosts: number) => void;
  /** Called with news of other hosts, with monotonic times. */
  readonly onNews: (news: SpreadSuspects) => void;
}

/** Collects news for other hosts, and takes theirs. */
export class SuspectSpreading {
  readonly #options: SuspectSpreadingOptions;
  readonly #told = new lru.LRUCache<string, true>({ max: MAX_TOLD });
  #marks: core.SuspectMark[] = [];
  #wrongLosses: Record<string, number> = {};
  #answered: Record<string, number> = {};
  #answeredParts: Record<string, number> = {};
  /** Answers that were told, by part, so that one is told once although its marks come again. */
  readonly #toldParts = new lru.LRUCache<string, number>({ max: MAX_TOLD });
  #timer: NodeJS.Timeout | undefined;
  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(options: SuspectSpreadingOptions) {
    this.#options = options;
  }

  /** Tells other hosts of marks, each once, and once more when it becomes doubtful. */
  add(marks: readonly core.SuspectMark[]): void {
    const news = marks.map((mark) => this.#markDoubtful(mark))
      .filter((mark) => this.#isNew(mark));
    if (news.length === 0) return;
    this.#marks.push(...news);
    this.#schedule();
  }

  /**
   * Tells other hosts all that this host knows, also what it has told before: it has
   * just started and makes itself known, or it drains.
   */
  sendAll(marks: readonly core.SuspectMark[]): void {
    marks.forEach((mark) => this.#isNew(mark));
    this.#marks.push(...marks);
    this.#schedule();
  }

  /** Tells other hosts that a loss was wrong. */
  addWrongLoss({ server, at }: core.ServerLoss): void {
    this.#wrongLosses[server] = Math.max(at, this.#wrongLosses[server] ?? at);
    this.#schedule();
  }

  /** Tells other hosts that a suspect has completed. */
  addAnswered({ fingerprint, at }: {
    readonly fingerprint: string;
    readonly at: number;
  }): void {
    this.#answered[fingerprint] = at;
    this.#schedule();
  }

  /** Tells other hosts that an answer has begun with a part since a mark was made. */
  addAnsweredPart({ part, at, markedAt }: {
    readonly part: string;
    readonly at: number;
    readonly markedAt: number;
  }): void {
    const toldAt = this.#toldParts.get(part) ?? Number.NEGATIVE_INFINITY;
    if (toldAt >= markedAt) return;
    this.#toldParts.set(part, at);
    this.#answeredParts[part] = at;
    this.#schedule();
  }

  /** Accepts the message of another host; ignores one that cannot be parsed. */
  accept(text: string): void {
    const parsed = SPREAD.safeParse(utils.parseJson(text));
    if (!parsed.success) return;
    const { contact } = parsed.data;
    if (contact !== undefined) this.#options.onContact(contact);
    const offsetMs = this.#getOffset();
    const marks = parsed.data.marks.map((mark) => applyOffset(mark, -offsetMs))
      .filter((mark) => this.#isNew(mark));
    this.#options.onNews({
      marks,
      wrongLosses: addToTimes(parsed.data.wrongLosses, -offsetMs),
      answered: addToTimes(parsed.data.answered, -offsetMs),
      answeredParts: addToTimes(parsed.data.answeredParts, -offsetMs),
    });
    if (marks.length === 0) return;
    this.#marks.push(...marks);
    this.#schedule();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#marks = [];
    this.#wrongLosses = {};
    this.#answered = {};
    this.#answeredParts = {};
  }

  #markDoubtful(mark: core.SuspectMark): core.SuspectMark {
    return this.#options.isDoubted(mark.server)
      ? { ...mark, doubtful: true }
      : mark;
  }

  #isNew({ fingerprint, server, at = 0, doubtful }: core.SuspectMark): boolean {
    const moment = Math.round(at / core.constants.SAME_LOSS_MS);
    const key = [fingerprint, server, moment, doubtful ?? false].join();
    if (this.#told.has(key)) return false;
    this.#told.set(key, true);
    return true;
  }

  #schedule(): void {
    if (this.#timer !== undefined) return;
    const pauseMs = this.#sentAt + PAUSE_MS - this.#options.clock.now();
    const onError = utils.createErrorLog(this.#options.log, "suspects.send");
    this.#timer = setTimeout(
      () => utils.runDetached(() => this.#send(), onError),
      Math.max(COLLECT_MS, pauseMs),
    );
  }

  #send(): void {
    this.#timer = undefined;
    this.#sentAt = this.#options.clock.now();
    const offsetMs = this.#getOffset();
    const marks = this.#marks.splice(0).slice(-MAX_MARKS)
      .map((mark) => applyOffset(this.#markDoubtful(mark), offsetMs));
    const contact = this.#options.getContact();
    const news: SpreadSuspects = {
      ...(contact && { contact }),
      marks,
      wrongLosses: addToTimes(this.#wrongLosses, offsetMs),
      answered: addToTimes(this.#answered, offsetMs),
      answeredParts: addToTimes(this.#answeredParts, offsetMs),
    };
    this.#wrongLosses = {};
    this.#answered = {};
    this.#answeredParts = {};
    this.#options.onSend(JSON.stringify(news), FANOUT);
  }

  /** Returns the difference between Unix and monotonic time, in ms. */
  #getOffset(): number {
    return this.#options.clocks.getTrueTime() - this.#options.clock.now();
  }
}

function applyOffset(
  mark: core.SuspectMark,
  offsetMs: number,
): core.SuspectMark {
  return mark.at === undefined ? mark : { ...mark, at: mark.at + offsetMs };
}

function addToTimes(
  times: Readonly<Record<string, number>>,
  ms: number,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(times).map(([name, at]) => [name, at + ms]),
  );
}
