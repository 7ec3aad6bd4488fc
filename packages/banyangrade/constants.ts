/** Times of the daemon's tasks, in ms unless named otherwise. */

/** Between two looks at queues and deadlines while requests wait. */
export const TICK_MS = 20;
/** The same while requests run and none waits: for the averages that are told. */
export const RUNNING_TICK_MS = 100;
/** The same while no request is open. */
export const IDLE_TICK_MS = 250;
/** Between two demands to the capacity leader. */
export const DEMAND_MS = 250;
/** Hosts up to which demand is sent at the full rate; beyond, more seldom. */
export const HOSTS_AT_FULL_RATE = 8;
/** Least time between two allocations at the leader, and between two urgent demands. */
export const ALLOCATE_MS = 50;
/** A new leader listens for this long before it grants anything. */
export const LEADER_WARMUP_MS = 600;
/** Failed demands after which the grants are no longer relied on. */
export const LOST_LEADER_TRIES = 4;
/** Between two readings of the store's log by a relay. */
export const CONFIRM_MS = 2_000;
/** Before a watch that ended is opened again. */
export const REWATCH_MS = 500;
/** Between two listings of the failure domain's servers. */
export const SERVERS_MS = 2_000;
/** Between two listings of hosts by a relay. */
export const HOSTS_MS = 10_000;
/** Between two flushes of usage. */
export const FLUSH_MS = 1_000;
/** Between two rounds of window reports. */
export const REPORT_MS = 1_000;
/** Between two rounds of the autoscaler. */
export const ORDERS_MS = 5_000;
/** Between two load polls. */
export const LOAD_POLL_MS = 1_000;
/** Servers polled each time. */
export const LOAD_POLL_SERVERS = 16;
/** Margin of a lease for clock drift and scheduling. */
export const LEASE_MARGIN_MS = 500;
/** Hosts that try for a control role. */
export const ROLE_CANDIDATES = 2;
/** Changes kept for hosts that are behind. */
export const KEPT_CHANGES = 1_024;
/** Between two tries to take back claims whose answers were lost. */
export const CLAIM_CLEANUP_MS = 2_000;
/** Longest time a forwarded operation may take. */
export const TICKET_TIMEOUT_MS = 60_000;
