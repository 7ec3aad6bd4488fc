/** What calls to backend servers of every kind have in common. */
import * as undici from "undici";
import * as resettingClient from "./resetting_client.ts";

/** Header that ties an answer to its request. */
export const REQUEST_ID_HEADER = "x-request-id";
/** Header that ties an answer to its attempt. */
export const ATTEMPT_HEADER = "x-attempt";
/** Set to `no` by a backend server that refused without running anything. */
export const RAN_HEADER = "x-ran";
/** Load as `running/waiting/cacheFree`, on each answer of an engine. */
export const LOAD_HEADER = "x-load";

/** Codes that prove that no byte of a request was sent. */
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

/** How a call failed below HTTP. */
export type TransportFailure = "not_sent" | "timeout" | "connection_lost";

/**
 * Classifies what undici threw. Everything that is not a failure to connect
 * counts as sent.
 *
 * @example
 * classifyThrown(error); // "connection_lost"
 */
export function classifyThrown(thrown: unknown): TransportFailure {
  const code = (thrown as { code?: string }).code ?? "";
  if (NOT_SENT_CODES.has(code)) return "not_sent";
  return TIMEOUT_CODES.has(code) ? "timeout" : "connection_lost";
}

/**
 * Makes the connection pool towards backend servers. Idle connections are
 * closed before a server would close them, since a call that is sent into a
 * closing connection has an unknown outcome.
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

/** Headers that concern one connection only. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Headers that belong to one connection, or that only this system sets. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_HEADERS,
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
 * Keeps the headers of a message that may be passed on.
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
 * Drops the headers that concern one connection only, those that the message
 * itself names as such included, and the names in `reserved`.
 *
 * @example
 * const headers = dropHopHeaders(request.headers, new Set(["x-tenant"]));
 */
export function dropHopHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  reserved: ReadonlySet<string> = new Set(),
): Record<string, string | string[]> {
  const named = new Set(
    String(headers.connection ?? "").toLowerCase().split(",")
      .map((name) => name.trim()),
  );
  return Object.fromEntries(
    Object.entries(headers).filter((entry): entry is [string, string] =>
      entry[1] !== undefined && !HOP_HEADERS.has(entry[0]) &&
      !named.has(entry[0]) && !reserved.has(entry[0])
    ),
  );
}
