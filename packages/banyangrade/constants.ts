/** Intervals and limits of a host's tasks; names in _MS are in milliseconds. */

/** Interval between ticks of the dispatcher while requests are queued. */
export const TICK_MS = 20;
/** Interval between ticks while requests run and none is queued; each one checks for servers that send nothing. */
export const RUNNING_TICK_MS = 50;
/** Interval between ticks while no request is open. */
export const IDLE_TICK_MS = 250;
/** Interval between demands to a capacity leader. */
export const DEMAND_MS = 250;
/**
 * Number of hosts up to which each sends its demand every {@link DEMAND_MS}; with more
 * hosts, the interval grows in proportion.
 */
export const HOSTS_AT_FULL_RATE = 8;
/** Shortest time between two allocations at the leader and between two demands of a host. */
export const ALLOCATE_MS = 50;
/** Time for which a new leader collects demand before it grants slots. */
export const LEADER_WARMUP_MS = 600;
/** Number of consecutive failed demands after which a host drops its grants. */
export const MAX_FAILED_DEMANDS = 4;
/** Interval at which a relay reads the configuration log in the store. */
export const CONFIG_READ_MS = 2_000;
/** Delay before a configuration watch that ended is opened again. */
export const WATCH_RETRY_MS = 500;
/** Interval at which the failure domain's servers are listed. */
export const SERVERS_MS = 2_000;
/** Interval at which a relay lists the hosts of all failure domains. */
export const HOSTS_MS = 10_000;
/** Interval between usage flushes. */
export const FLUSH_MS = 1_000;
/** Interval between rounds of usage window reports. */
export const REPORT_MS = 1_000;
/** Interval between rounds of the autoscaler. */
export const AUTOSCALER_MS = 5_000;
/** Interval between load polls of the engines. */
export const LOAD_POLL_MS = 1_000;
/** Maximum number of servers in a load poll. */
export const LOAD_POLL_SERVERS = 16;
/** Safety margin of a lease for clock drift and scheduling delays. */
export const LEASE_MARGIN_MS = 500;
/** Number of hosts that compete for a control role. */
export const ROLE_CANDIDATES = 2;
/** Maximum number of configuration changes kept for hosts with an older revision. */
export const MAX_KEPT_CHANGES = 1_024;
/** Interval between attempts to release claims that could not be released before. */
export const CLAIM_CLEANUP_MS = 2_000;
/** Timeout of an operation that is forwarded to the host that issued its ticket. */
export const TICKET_TIMEOUT_MS = 60_000;
