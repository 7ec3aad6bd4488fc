/** Headers, error classification and connection pool for calls to backend servers. */
import * as undici from "undici";
import * as resettingClient from "./resetting_client.ts";

/** Header with the request identifier, which the response echoes. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header with the attempt number, which the response echoes. */
export const ATTEMPT_HEADER = "x-attempt";
/** Header that a backend server sets to `no` if it refused the request without executing it. */
export const RAN_HEADER = "x-ran";
/** Header of engine responses with the load as `running/waiting/cacheFree`. */
export const LOAD_HEADER = "x-load";

/** Error codes which prove that no byte of the request was sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const TIMEOUT_CODES = new Set([
  "UND_ERR_HEADERS_TIMEOUT",
  "UND_ERR_BODY_TIMEOUT",
]);

/** Transport failure of a call. */
export type TransportFailure = "not_sent" | "timeout" | "connection_lost";

/**
 * Classifies an error of undici. Every error except a failure to connect counts
 * as sent.
 *
 * @example
 * classifyTransportError(error); // "connection_lost"
 */
export function classifyTransportError(thrown: unknown): TransportFailure {
  const code = (thrown as { code?: string }).code ?? "";
  if (NOT_SENT_CODES.has(code)) return "not_sent";
  return TIMEOUT_CODES.has(code) ? "timeout" : "connection_lost";
}

/**
 * Whether an error says that nothing listens at the address, as after the end of a
 * process. A server that is out of reach is silent instead.
 *
 * @example
 * isRefusedConnection(error); // true
 */
export function isRefusedConnection(thrown: unknown): boolean {
  return (thrown as { code?: string }).code === "ECONNREFUSED";
}

/**
 * Creates the connection pool for backend servers. Idle connections are closed
 * before the server would close them, because a call that is sent while the server
 * closes the connection has an unknown outcome.
 *
 * @example
 * const agent = createBackendAgent();
 */
export function createBackendAgent(): undici.Agent {
  return new undici.Agent({
    connections: 256,
    pipelining: 1,
    keepAliveTimeout: 3_000,
    keepAliveMaxTimeout: 3_000,
    connect: { timeout: 2_000 },
    headersTimeout: 120_000,
    bodyTimeout: 60_000,
    factory: resettingClient.createResettingPool,
  });
}

/** Hop-by-hop headers, which apply to a single connection. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Hop-by-hop headers, and headers that the host itself sets or must not forward. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  "authorization",
  "content-length",
  "cookie",
  "host",
  "idempotency-key",
  "x-api-key",
  "x-class",
  ATTEMPT_HEADER,
  REQUEST_ID_HEADER,
]);

/**
 * Returns the headers of a message that may be forwarded.
 *
 * @example
 * const headers = filterHeaders(request.headers);
 */
export function filterHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string] =>
      entry[1] !== undefined && !DROPPED_HEADERS.has(entry[0].toLowerCase())
    ),
  );
}

/**
 * Removes hop-by-hop headers, including those that the `connection` header names,
 * and the headers in `reserved`.
 *
 * @example
 * const headers = removeHopByHopHeaders(request.headers, new Set(["x-tenant"]));
 */
export function removeHopByHopHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  reserved: ReadonlySet<string> = new Set(),
): Record<string, string | string[]> {
  const connectionHeaders = new Set(
    String(headers.connection ?? "").toLowerCase().split(",")
      .map((name) => name.trim()),
  );
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string] =>
      entry[1] !== undefined && !HOP_BY_HOP_HEADERS.has(entry[0]) &&
      !connectionHeaders.has(entry[0]) && !reserved.has(entry[0])
    ),
  );
}
