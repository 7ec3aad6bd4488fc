/** Signals in the responses of backend servers that state how many requests the server accepts. */

/** Signals of one response. */
export interface ServerSignals {
  /**
   * Requests per second that the server accepts from all hosts together, one
   * value for each time that the response names it; empty if it names no limit.
   */
  readonly limitsPerSecond: readonly number[];
  /**
   * Requests per second that the server bears to refuse for want of room, from all
   * hosts together, one value for each time that the response names it; empty if
   * the server is not brittle.
   */
  readonly brittlePerSecond: readonly number[];
  /**
   * Times in ms for which the server, which refused the request, asks this host
   * to send it nothing; one value for each time that the response names one.
   */
  readonly restsMs: readonly number[];
  /** Whether the server says that it leaves. */
  readonly leaving: boolean;
  /** Signals that could not be decoded. */
  readonly malformed: readonly MalformedSignal[];
}

/** A header that names a signal, with a value that could not be decoded. */
export interface MalformedSignal {
  readonly header: string;
  readonly value: string;
}

/** Signals of a response that carries none. */
export const NO_SIGNALS: ServerSignals = {
  limitsPerSecond: [],
  brittlePerSecond: [],
  restsMs: [],
  leaving: false,
  malformed: [],
};

/** Longest rest that a host grants a server, in ms. */
export const MAX_REST_MS = 600_000;

/**
 * Returns the rest that a response asks for, in ms: the longest one if it names
 * several, up to {@link MAX_REST_MS}. Undefined if it asks for none.
 *
 * @example
 * findRest({ restsMs: [3_000] }); // 3_000
 */
export function findRest(
  { restsMs }: Pick<ServerSignals, "restsMs">,
): number | undefined {
  return restsMs.length === 0
    ? undefined
    : Math.min(MAX_REST_MS, Math.max(...restsMs));
}

/**
 * Returns the lowest rate that a response names, in requests per second.
 * Undefined if it names none.
 *
 * @example
 * findLowestRate([3, 1.5]); // 1.5
 */
export function findLowestRate(
  perSecond: readonly number[],
): number | undefined {
  return perSecond.length === 0 ? undefined : Math.min(...perSecond);
}

/**
 * Returns the limit that a response names, in requests per second: the lowest
 * one if it names several. Undefined if it names none.
 *
 * @example
 * findLimit({ limitsPerSecond: [3, 1.5] }); // 1.5
 */
export function findLimit(
  { limitsPerSecond }: Pick<ServerSignals, "limitsPerSecond">,
): number | undefined {
  return findLowestRate(limitsPerSecond);
}

/**
 * Returns the refusals per second that a brittle server bears: the lowest number
 * if it names several. Undefined if the server is not brittle.
 *
 * @example
 * findBrittleness({ brittlePerSecond: [4] }); // 4
 */
export function findBrittleness(
  { brittlePerSecond }: Pick<ServerSignals, "brittlePerSecond">,
): number | undefined {
  return findLowestRate(brittlePerSecond);
}
