/** A host's settings: one typed object, resolved once at the start and passed on. */
import * as fs from "node:fs";
import * as z from "zod";
import * as caller from "@banyangrade/caller";
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

/** What a settings file holds. */
export const SETTINGS_SCHEMA = z.strictObject({
  host: z.strictObject({
    name: NAME.describe("Name of this host, unique among all hosts."),
    failure_domain: NAME.describe("Failure domain this host stands in."),
  }).describe("This host."),
  caller: z.strictObject({
    address: ADDRESS.describe("Where callers connect."),
    cert_file: z.string().optional().describe("Certificate, PEM."),
    key_file: z.string().optional().describe("Private key, PEM."),
    max_body_bytes: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxBodyBytes,
    ).describe("Largest body of a request."),
    max_buffered_bytes: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxBufferedBytes,
    ).describe("Most bytes of bodies in memory at once."),
    max_connections: z.number().int().positive().default(
      caller.DEFAULT_LIMITS.maxConnections,
    ).describe("Most connections of callers."),
  }).describe("The port for callers."),
  operations: z.strictObject({
    address: ADDRESS.describe("Where health, metrics and status are served."),
  }).describe("The port for operations."),
  peer: z.strictObject({
    address: ADDRESS.describe("Where other hosts and operators connect."),
    advertised_address: ADDRESS.optional().describe(
      "Address that other hosts are told, if it is another one.",
    ),
    secret_file: z.string().describe(
      "File with the shared secret of all hosts; a second line is accepted too.",
    ),
    cert_file: z.string().optional().describe(
      "Certificate for mutual TLS, PEM.",
    ),
    key_file: z.string().optional().describe("Private key, PEM."),
    ca_file: z.string().optional().describe("Authority of all hosts, PEM."),
    seeds: z.array(z.strictObject({
      name: NAME.describe("Name of the host."),
      failure_domain: NAME.describe("Its failure domain."),
      address: ADDRESS.describe("Its peer address."),
    })).default([]).describe("Some other hosts, for the first contact."),
  }).describe("The port between hosts."),
  platform: z.strictObject({
    store_url: URL_OPTION.describe("Key-value service."),
    fleet_url: URL_OPTION.describe("Host list, backend servers and orders."),
    usage_url: URL_OPTION.describe("Usage reports."),
  }).describe("The platform's services."),
  usage: z.strictObject({
    window_seconds: z.number().int().positive().default(60).describe(
      "Length of a usage window.",
    ),
    grace_seconds: z.number().nonnegative().default(5).describe(
      "Time after a window's end for usage to arrive.",
    ),
  }).prefault({}).describe("Usage windows."),
  control: z.strictObject({
    lease_seconds: z.number().int().min(1).default(8).describe(
      "Length of a control role's lease.",
    ),
    offline_seconds: z.number().positive().default(900).describe(
      "Time without word from the store after which keys are refused.",
    ),
    drain_seconds: z.number().positive().default(120).describe(
      "Longest time a planned stop waits for running requests.",
    ),
  }).prefault({}).describe("Control roles and limits in outages."),
  log: z.strictObject({
    level: z.enum(utils.LOG_LEVELS).default("info").describe(
      "Least severe level that is logged.",
    ),
  }).prefault({}).describe("Logging."),
});

/** Settings, resolved. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>;

/**
 * Returns the peer address that other hosts are told.
 *
 * @example
 * getAdvertisedAddress(settings); // "10.0.0.7:7000"
 */
export function getAdvertisedAddress(settings: Settings): string {
  return settings.peer.advertised_address ?? settings.peer.address;
}

/**
 * Reads the shared secrets: the first line is used, the others are accepted.
 *
 * @example
 * const [own] = readSecrets(settings);
 */
export function readSecrets(settings: Settings): string[] {
  return fs.readFileSync(settings.peer.secret_file, "utf8")
    .split("\n").map((line) => line.trim()).filter((line) => line !== "");
}

/**
 * Reads the certificate towards callers; undefined without TLS.
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
 * Reads the certificate between hosts; undefined without TLS.
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
