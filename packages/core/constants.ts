/** Constants that several modules share. */

/** Engine time per prompt token, relative to the time per generated token. */
export const PROMPT_TOKEN_COST = 0.05;

/** Maximum number of retries, as a share of first attempts. */
export const RETRY_SHARE = 0.1;
/** Maximum number of retries in a burst. */
export const RETRY_BURST = 10;

/** Maximum number of attempts of a request, including the first. */
export const MAX_ATTEMPTS = 3;

/** Number of consecutive failures after which a server is ejected, so that it gets no work for some time. */
export const EJECT_AFTER_FAILURES = 3;
/** Duration of a server's first ejection, in ms; doubles with each further ejection. */
export const EJECT_MS = 2_000;
/** Maximum duration of an ejection, in ms. */
export const EJECT_MAX_MS = 60_000;
/** Time over which a server that came back is ramped up to its full slots, in ms. */
export const SLOW_START_MS = 5_000;

/** Number of servers lost to requests with the same fingerprint at which the fingerprint is quarantined. */
export const POISON_LIMIT = 2;
/** Time for which a suspect request is refused because another host may be retrying it, in ms. */
export const SUSPECT_HOLD_MS = 10_000;
/** Time within which two losses of one incarnation of a server are the same one, in ms; one that ended may be back before its entry changes. */
export const SAME_LOSS_MS = 2_000;
/** Time after which it is mostly known whether a server has ended that may only be out of reach, in ms. */
export const DOUBT_MS = 1_500;
/** Time for which a quarantined fingerprint is refused, in ms. */
export const QUARANTINE_MS = 600_000;
/** The requests in flight at a lost server become suspects only if there are fewer of them than this number. */
export const SUSPECT_MAX_IN_FLIGHT = 64;

/** Age from which a grant no longer shows what runs on other hosts, in ms. */
export const GRANT_VALID_MS = 3_000;

/** Age up to which another failure domain's report on its free slots is used, in ms. */
export const OVERFLOW_REPORT_VALID_MS = 2_000;
/** Maximum number of servers that a failure domain lends to one host of another failure domain at a time. */
export const MAX_LENT_SERVERS = 4;

/** Share of a request's maximum queue time after which lower-priority work is preempted for it. */
export const PREEMPT_AT_QUEUE_TIME_SHARE = 0.5;
/** Share of a request's latency target after which lower-priority work is preempted for it. */
export const PREEMPT_AT_TARGET_SHARE = 0.25;

/** Time that an overdue request gets to start after work is preempted or recalled for it, in ms. */
export const POSTPONE_MS = 100;

/** Maximum number of times that an overdue request gets this time while other hosts return slots. */
export const MAX_POSTPONEMENTS = 10;

/** Maximum number of requests queued at a host, over all classes. */
export const MAX_QUEUED = 20_000;

/** Prefix affinity applies while the server's load is below this multiple of the mean load. */
export const AFFINITY_LOAD_BOUND = 1.25;
/** One in this many routing decisions ignores that a server seems too slow, to measure whether it still is. */
export const SPEED_PROBE_ONE_IN = 50;
/** Largest time between tokens at which a server is chosen for a class, as a share of the class's target. */
export const TOKEN_TIME_TARGET_SHARE = 0.9;
/** Number of tokens of a stream over which the time between tokens is measured. */
export const SPEED_SAMPLE_TOKENS = 8;
/** Number of prompt tokens in prefill that slow a server as much as one running request. */
export const PROMPT_TOKENS_PER_LOAD = 500;
/** Weight of each stream of a higher tier that the prefill of a long prompt would delay. */
export const DELAYED_STREAM_WEIGHT = 0.3;
/** Maximum number of prompt prefixes that are remembered for affinity. */
export const MAX_PREFIXES = 20_000;

/** Largest pool, in servers, for which hosts share their request counts of all servers. */
export const MAX_SHARED_SERVERS = 8;

/** Slots granted for calls of plain services, as a multiple of the existing slots. */
export const CALL_GRANT_FACTOR = 1.25;

/** Weight of a new sample in exponentially weighted moving averages. */
export const EWMA_WEIGHT = 0.1;

/** Minimum retry delay in a refusal, in ms. */
export const RETRY_AFTER_MIN_MS = 1_000;
/** Maximum retry delay in a refusal, in ms. */
export const RETRY_AFTER_MAX_MS = 60_000;

/**
 * Options of a cache with an entry for each server that asked for something. Its
 * size is bounded without the memory that `max` would allocate at once.
 */
export const SERVER_CACHE = {
  maxSize: 20_000,
  sizeCalculation: () => 1,
} as const;
