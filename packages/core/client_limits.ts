/** Limits of what clients make a process hold. */

/** Limits of a process. */
export interface ClientLimits {
  /** Connections of callers. */
  readonly maxConnections: number;
  /** Connections from other hosts. */
  readonly maxPeerConnections: number;
  /** Connections of the load balancer's checks and of readers of metrics, at each of these ports. */
  readonly maxControlConnections: number;
  /** Requests of one connection that are parsed and not yet answered. */
  readonly maxRequestsAhead: number;
  /** Bytes that all connections make the process hold, apart from whole bodies. */
  readonly maxHeldBytes: number;
  /** Bytes of bodies that are read in a second, beyond the beginning of each. */
  readonly maxBodyBytesPerSecond: number;
}

/** Memory and descriptors of a machine. */
export interface MachineSize {
  /** @default 250 */
  readonly memoryMb?: number;
  /** @default 4096 */
  readonly descriptors?: number;
}

const DEFAULT_MEMORY_MB = 250;
const DEFAULT_DESCRIPTORS = 4_096;
/** Share of the memory that connections may hold. */
const HELD_SHARE = 0.1;
const BYTES_PER_MB = 1_000_000;
/** A quarter of a link of 1,000 Mbit/s. */
const MAX_BODY_BYTES_PER_SECOND = 32 * BYTES_PER_MB;
/** Shares of the descriptors; the rest is for servers, the store and files. */
const CALLER_SHARE = 0.6;
const PEER_SHARE = 0.15;
const CONTROL_SHARE = 0.03;
/** Fewest connections at each port. */
const MIN_CONNECTIONS = 8;
/** More than any browser or proxy sends ahead by itself. */
const MAX_REQUESTS_AHEAD = 8;
/** Share of a port's connections that one address may have: callers may all come through one proxy. */
const ADDRESS_SHARE = 0.75;

/**
 * Computes the limits that fit a machine.
 *
 * @example
 * computeClientLimits({ memoryMb: 350, descriptors: 4_100 }).maxConnections; // 2_460
 */
export function computeClientLimits(
  { memoryMb = DEFAULT_MEMORY_MB, descriptors = DEFAULT_DESCRIPTORS }:
    MachineSize,
): ClientLimits {
  const share = (part: number) =>
    Math.max(MIN_CONNECTIONS, Math.floor(part * descriptors));
  return {
    maxConnections: share(CALLER_SHARE),
    maxPeerConnections: share(PEER_SHARE),
    maxControlConnections: share(CONTROL_SHARE),
    maxRequestsAhead: MAX_REQUESTS_AHEAD,
    maxHeldBytes: Math.floor(HELD_SHARE * memoryMb * BYTES_PER_MB),
    maxBodyBytesPerSecond: MAX_BODY_BYTES_PER_SECOND,
  };
}

/**
 * Computes how many connections of a port one address may have.
 *
 * @example
 * computeAddressLimit(256); // 192
 */
export function computeAddressLimit(maxConnections: number): number {
  return Math.max(1, Math.floor(ADDRESS_SHARE * maxConnections));
}
