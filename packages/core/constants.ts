/** Numbers that the decisions share, with what they were weighed against. */

/** Cost of a prompt token against a generated one, in an engine's time. */
export const PROMPT_TOKEN_COST = 0.05;

/** Retries as a share of first attempts. */
export const RETRY_SHARE = 0.1;
/** Retries that may come at once. */
export const RETRY_BURST = 10;

/** Most attempts of one request, the first one included. */
export const MAX_ATTEMPTS = 3;

/** Consecutive failures after which a server gets no work for a while. */
export const EJECT_AFTER_FAILURES = 3;
/** First ejection in ms; doubles with each further one. */
export const EJECT_MS = 2_000;
/** Longest ejection in ms. */
export const EJECT_MAX_MS = 60_000;
/** Time over which a server that came back is given its full slots again, in ms. */
export const SLOW_START_MS = 5_000;

/** Servers lost to one fingerprint before it is quarantined. */
export const POISON_LIMIT = 2;
/** Time for which a suspect that another host may be trying is refused, in ms. */
export const SUSPECT_HOLD_MS = 10_000;
/** How long a quarantined fingerprint is refused, in ms. */
export const QUARANTINE_MS = 600_000;
/** A server lost with this many requests in flight points at none of them. */
export const SUSPECT_MAX_IN_FLIGHT = 64;

/** Age at which a grant no longer proves what runs on other hosts, in ms. */
export const GRANT_VALID_MS = 3_000;

/** Age up to which another failure domain's answer says whether it has slots, in ms. */
export const OVERFLOW_KNOWN_MS = 2_000;
/** Servers that a failure domain lends to one host of another at a time. */
export const LENT_SERVERS = 4;

/** Share of the time to start that may pass before lower work is preempted. */
export const PREEMPT_AT_SLACK = 0.5;
/** Share of the target that may pass before lower work is preempted. */
export const PREEMPT_AT_TARGET = 0.25;

/** Time that an overdue request is given once work was preempted for it, in ms. */
export const POSTPONE_MS = 100;

/** Times that a request may be given that while other hosts give slots back. */
export const MAX_POSTPONED = 10;

/** Most requests queued at a host, over all classes. */
export const MAX_QUEUED = 20_000;

/** Prefix affinity holds while the server's load is below this multiple of the mean. */
export const AFFINITY_LOAD_BOUND = 1.25;
/** One in so many choices ignores that a server seems too slow, to learn whether it still is. */
export const PROBE_ONE_IN = 50;
/** Share of a class's time between tokens that a server may take to be chosen for it. */
export const SPEED_MARGIN = 0.9;
/** Tokens of a stream over which the time between tokens is measured. */
export const SPEED_SAMPLE_TOKENS = 8;
/** Prompt tokens that slow a server as much as one more running request. */
export const PROMPT_TOKENS_PER_LOAD = 500;
/** Weight of a stream of a higher tier that a long prompt would hold up. */
export const DISTURBANCE = 0.3;
/** Prefixes remembered for affinity. */
export const MAX_PREFIXES = 20_000;

/** In pools of no more servers than this, hosts share their counts of all of them. */
export const MAX_SHARED_SERVERS = 8;

/** Slots granted for calls of plain services, as a multiple of those that there are. */
export const CALL_GRANT_FACTOR = 1.25;

/** Weight of a new sample in moving averages. */
export const EWMA_WEIGHT = 0.1;

/** Shortest time to come back that a refusal gives, in ms. */
export const RETRY_AFTER_MIN_MS = 1_000;
/** Longest time to come back, in ms. */
export const RETRY_AFTER_MAX_MS = 60_000;
