/** A host's settings: their schema, and readers of the files that they name. */
import * as fs from "node:fs";
import * as z from "zod";
import * as caller from "@banyangrade/caller";
import * as core from "@banyangrade/core";
import type * as peer from "@banyangrade/peer";
import * as utils from "@banyangrade/utils";

const ADDRESS = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$/,
  {
    error: "An address is an IP number and a port, such as 127.0.0.1:8080.",
  },
);
const URL_OPTION = z.string().regex(
  /^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\])(:\d+)?$/,
  { error: "A URL has an IP number, such as http://127.0.0.1:2379." },
);
const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]*$/, {
  error: "A name has lower-case letters, digits and '-'.",
});

/** Memory that clients may hold by default, in bytes. */
const DEFAULT_HELD_BYTES = 64 * 1024 * 1024;
/** Memory below which ordinary callers would be closed, in bytes. */
const MIN_HELD_BYTES = 1024 * 1024;
const DEFAULT_OPERATIONS_CONNECTIONS = 64;
/** Share of the connections of callers that other hosts and operators may have by default. */
const PEER_SHARE = 0.25;

/** Schema of a host's settings file. */
export const SETTINGS_SCHEMA = z.strictObject({
  host: z.strictObject({
    name: NAME.describe("Name of this host, unique among all hosts."),
    failure_domain: NAME.describe("Failure domain of this host."),
  }).describe("This host."),
  caller: z.strictObject({
    address: ADDRESS.describe("Address at which callers connect."),
    cert_file: z.string().optional().describe("Certificate, PEM."),
    key_file: z.string().optional().describe("Private key, PEM."),
    max_body_bytes: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxBodyBytes,
    ).describe("Maximum size of a request body."),
    max_buffered_bytes: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxBufferedBytes,
    ).describe("Maximum total size of request bodies in memory."),
    max_connections: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxConnections,
    ).describe("Maximum number of connections of callers."),
    max_requests_ahead: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxRequestsAhead,
    ).describe(
      "Maximum number of requests of one connection that are read before the first is answered.",
    ),
    max_held_bytes: z.number().int().min(MIN_HELD_BYTES).default(
      DEFAULT_HELD_BYTES,
    ).describe(
      "Memory that unanswered requests and unread responses of all clients may take, apart from bodies; beyond it the connections that hold most are closed.",
    ),
    max_body_bytes_per_second: z.number().int().positive().default(
      core.computeClientLimits({}).maxBodyBytesPerSecond,
    ).describe(
      "Bytes of all request bodies that are read in a second, beyond the first 64 KiB of each.",
    ),
  }).describe("The port for callers."),
  operations: z.strictObject({
    address: ADDRESS.describe(
      "Address at which health, metrics and status are served.",
    ),
    max_connections: z.number().int().positive().default(
      DEFAULT_OPERATIONS_CONNECTIONS,
    ).describe("Maximum number of connections."),
  }).describe("The port for operations."),
  peer: z.strictObject({
    address: ADDRESS.describe(
      "Address at which other hosts and operators connect.",
    ),
    advertised_address: ADDRESS.optional().describe(
      "Address that other hosts use, if it differs from address.",
    ),
    max_connections: z.number().int().positive().optional().describe(
      "Maximum number of connections of other hosts and operators. By default a quarter of those of callers.",
    ),
    secret_file: z.string().describe(
      "File with the shared secret of all hosts. Secrets on further lines are accepted, too.",
    ),
    cert_file: z.string().optional().describe(
      "Certificate for mutual TLS, PEM.",
    ),
    key_file: z.string().optional().describe("Private key, PEM."),
    ca_file: z.string().optional().describe(
      "Certificate authority of all hosts, PEM.",
    ),
    seeds: z.array(z.strictObject({
      name: NAME.describe("Name of the host."),
      failure_domain: NAME.describe("Its failure domain."),
      address: ADDRESS.describe("Its peer address."),
    })).default([]).describe("Hosts that this host contacts first to join."),
  }).describe("The port between hosts."),
  platform: z.strictObject({
    store_url: URL_OPTION.describe("Key-value service."),
    fleet_url: URL_OPTION.describe(
      "Fleet service: hosts, backend servers and orders.",
    ),
    usage_url: URL_OPTION.describe("Service that receives usage reports."),
  }).describe("The platform's services."),
  usage: z.strictObject({
    window_seconds: z.number().int().positive().default(60).describe(
      "Length of a usage window.",
    ),
    grace_seconds: z.number().nonnegative().default(5).describe(
      "Time after a window's end in which usage may still arrive.",
    ),
  }).prefault({}).describe("Usage windows."),
  control: z.strictObject({
    lease_seconds: z.number().int().min(1).default(8).describe(
      "Length of a control role's lease.",
    ),
    offline_seconds: z.number().positive().default(900).describe(
      "Time without contact to the store after which keys are refused.",
    ),
    drain_seconds: z.number().positive().default(120).describe(
      "Maximum time a planned stop waits for running requests.",
    ),
  }).prefault({}).describe("Control roles and limits in outages."),
  log: z.strictObject({
    level: z.enum(utils.LOG_LEVELS).default("info").describe(
      "Lowest severity that is logged.",
    ),
  }).prefault({}).describe("Logging."),
});

/** A host's settings with all defaults filled in. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/**
 * Returns the limits of what clients make the process hold.
 *
 * @example
 * getClientLimits(settings).maxConnections; // 8000
 */
export function getClientLimits(
  { caller, operations, peer }: Settings,
): core.ClientLimits {
  return {
    maxConnections: caller.max_connections,
    maxPeerConnections: peer.max_connections ??
      Math.max(1, Math.floor(PEER_SHARE * caller.max_connections)),
    maxControlConnections: operations.max_connections,
    maxRequestsAhead: caller.max_requests_ahead,
    maxHeldBytes: caller.max_held_bytes,
    maxBodyBytesPerSecond: caller.max_body_bytes_per_second,
  };
}

/**
 * Returns the peer address at which other hosts connect to this host.
 *
 * @example
 * getAdvertisedAddress(settings); // "10.0.0.7:7000"
 */
export function getAdvertisedAddress(settings: Settings): string {
  return settings.peer.advertised_address ?? settings.peer.address;
}

/**
 * Reads the shared secrets. This host sends the first one and accepts them all,
 * so that the secret can be replaced host by host.
 *
 * @example
 * const [own] = readSecrets(settings);
 */
export function readSecrets(settings: Settings): string[] {
  return fs.readFileSync(settings.peer.secret_file, "utf8")
    .split("\n").map((line) => line.trim()).filter((line) => line !== "");
}

/**
 * Reads the certificate and key of the port for callers. Returns undefined if
 * the settings do not name both, and the port then works without TLS.
 *
 * @example
 * const tls = readCallerTls(settings);
 */
export function readCallerTls(
  settings: Settings,
): caller.CallerTls | undefined {
  const { cert_file, key_file } = settings.caller;
  if (cert_file === undefined || key_file === undefined) return undefined;
  return {
    cert: fs.readFileSync(cert_file, "utf8"),
    key: fs.readFileSync(key_file, "utf8"),
  };
}

/**
 * Reads the certificate, key and certificate authority for mutual TLS between
 * hosts. Returns undefined if the settings do not name all three.
 *
 * @example
 * const tls = readPeerTls(settings);
 */
export function readPeerTls(settings: Settings): peer.PeerTls | undefined {
  const { cert_file, key_file, ca_file } = settings.peer;
  if (!cert_file || !key_file || !ca_file) return undefined;
  return {
    cert: fs.readFileSync(cert_file, "utf8"),
    key: fs.readFileSync(key_file, "utf8"),
    ca: fs.readFileSync(ca_file, "utf8"),
  };
}
