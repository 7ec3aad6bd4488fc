/**
 * What hosts know together of requests and parts of prompts that may have ended
 * servers: the marks, and all that clears them. It is handed over as a whole: a host
 * that knew only the marks would refuse what another one knows to be sound.
 */
import * as constants from "./constants.ts";
import type * as events from "./events.ts";
import type * as partBlames from "./part_blames.ts";

/** What is known of suspects. All times are of one clock, in ms. */
export interface SuspectEvidence {
  readonly marks: readonly events.SuspectMark[];
  /** Losses of servers that have not ended. */
  readonly wrongLosses: events.WrongLosses;
  /** Requests that have completed. */
  readonly answered: events.AnsweredRequests;
  /** Parts of prompts with which answers have begun. */
  readonly answeredParts: partBlames.PartAnswers;
}

/** Evidence as statuses and summaries of hosts carry it. */
export interface SharedEvidence {
  readonly suspects: readonly events.SuspectMark[];
  readonly wrongLosses?: events.WrongLosses;
  readonly answeredRequests?: events.AnsweredRequests;
  readonly answeredParts?: partBlames.PartAnswers;
}

/** Evidence of nothing. */
export const NO_EVIDENCE: SuspectEvidence = {
  marks: [],
  wrongLosses: {},
  answered: {},
  answeredParts: {},
};

/**
 * Returns the evidence that a status or a summary carries.
 *
 * @example
 * getEvidence(status).marks;
 */
export function getEvidence(
  { suspects, wrongLosses, answeredRequests, answeredParts }: SharedEvidence,
): SuspectEvidence {
  return {
    marks: suspects,
    wrongLosses: wrongLosses ?? {},
    answered: answeredRequests ?? {},
    answeredParts: answeredParts ?? {},
  };
}

/**
 * Merges the evidence of several hosts; the latest time of each name counts.
 *
 * @example
 * const evidence = mergeEvidence(statuses.map(getEvidence));
 */
export function mergeEvidence(
  all: readonly SuspectEvidence[],
): SuspectEvidence {
  return {
    marks: all.flatMap(({ marks }) => marks),
    wrongLosses: mergeTimes(all.map(({ wrongLosses }) => wrongLosses)),
    answered: mergeTimes(all.map(({ answered }) => answered)),
    answeredParts: mergeTimes(all.map(({ answeredParts }) => answeredParts)),
  };
}

/**
 * Whether nothing is known.
 *
 * @example
 * isEmptyEvidence(NO_EVIDENCE); // true
 */
export function isEmptyEvidence(
  { marks, wrongLosses, answered, answeredParts }: SuspectEvidence,
): boolean {
  const times = [wrongLosses, answered, answeredParts];
  return marks.length === 0 &&
    times.every((one) => Object.keys(one).length === 0);
}

/**
 * Keeps one mark of each loss; it is doubtful if that of any host is.
 *
 * @example
 * mergeMarks([...own, ...received]);
 */
export function mergeMarks(
  marks: readonly events.SuspectMark[],
): events.SuspectMark[] {
  const merged = new Map<string, events.SuspectMark>();
  marks.forEach((mark) => {
    const { fingerprint, server, at = 0 } = mark;
    const moment = Math.round(at / constants.SAME_LOSS_MS);
    const key = `${fingerprint}/${server}/${moment}`;
    const doubtful = mark.doubtful || merged.get(key)?.doubtful;
    merged.set(key, doubtful ? { ...mark, doubtful } : mark);
  });
  return [...merged.values()];
}

/** Merges times by name; the latest one of each name counts. */
function mergeTimes(
  all: readonly Readonly<Record<string, number>>[],
): Readonly<Record<string, number>> {
  const latest: Record<string, number> = {};
  all.flatMap((one) => Object.entries(one)).forEach(([name, at]) => {
    latest[name] = Math.max(at, latest[name] ?? at);
  });
  return latest;
}
