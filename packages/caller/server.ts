/**
 * The HTTP server for callers: limits, routes and bodies. What a request leads
 * to is decided elsewhere.
 */
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import * as answers from "./answers.ts";
import * as bodies from "./body.ts";

/** Bytes of an unwanted body that are read past, in lengths of the longest body. */
const DROP_FACTOR = 4;
/** When to come back after the memory for bodies was full, in ms. */
const OVERLOADED_WAIT_MS = 2_000;

/** Bounds on what one caller can cost. Sizes in bytes, times in ms. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Most bytes of bodies held at once, over all requests. */
  readonly maxBufferedBytes: number;
  readonly maxConnections: number;
  readonly headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Defaults; settings may change them. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  maxBufferedBytes: 64 * 1024 * 1024,
  maxConnections: 8_000,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 15_000,
};

/** Where a request is headed. */
export type Route =
  | { readonly kind: "generate"; readonly api: "chat" | "completion" }
  | { readonly kind: "models" }
  | { readonly kind: "ticket" }
  | {
    readonly kind: "call";
    readonly service: string;
    /** Path and query at the service. */
    readonly path: string;
  };

/** A request as far as its headers, and the way to answer it. */
export interface CallerHead {
  /** Made here; also in the answer's headers. */
  readonly requestId: string;
  readonly route: Route;
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly answer: answers.CallerAnswer;
}

/** A whole request. */
export interface CallerRequest extends CallerHead {
  readonly body: Buffer;
}

/** Certificate and key towards callers. */
export interface CallerTls {
  readonly cert: string;
  readonly key: string;
}

/** Options of {@link startCallerServer}. */
export interface CallerServerOptions {
  readonly hostname: string;
  readonly port: number;
  readonly limits: CallerLimits;
  readonly tls?: CallerTls;
  /**
   * Decides by the headers alone whether the body is worth reading, and answers
   * if it is not: a caller without a key costs no memory.
   */
  readonly acceptHead: (head: CallerHead) => boolean;
  readonly onRequest: (request: CallerRequest) => void;
}

/** A running server. */
export interface CallerServer {
  readonly port: number;
  /** Takes over a new certificate for the connections to come. */
  readonly setTls: (tls: CallerTls) => void;
  /** Takes no new connections, and closes the others as they fall idle. */
  readonly drain: () => void;
  readonly close: () => Promise<void>;
}

/**
 * Starts the server.
 *
 * @example
 * const server = await startCallerServer({ hostname, port: 8080, limits, acceptHead, onRequest });
 */
export async function startCallerServer(
  options: CallerServerOptions,
): Promise<CallerServer> {
  let draining = false;
  const budget = { used: 0, limit: options.limits.maxBufferedBytes };
  const listener: http.RequestListener = (request, response) => {
    // Told with each answer during a drain, so that callers go elsewhere.
    if (draining) response.setHeader("connection", "close");
    handle({ request, response }, { ...options, budget }).catch(() =>
      response.destroy()
    );
  };
  const server = createServer(options, listener);
  server.maxConnections = options.limits.maxConnections;
  server.headersTimeout = options.limits.headersTimeoutMs;
  server.requestTimeout = options.limits.requestTimeoutMs;
  server.keepAliveTimeout = options.limits.idleTimeoutMs;
  server.on(
    "clientError",
    (error, socket) => refuseMalformed(error, socket as net.Socket),
  );
  await new Promise<void>((resolve) =>
    server.listen(options.port, options.hostname, resolve)
  );
  return {
    port: (server.address() as net.AddressInfo).port,
    setTls: (tls) => {
      if ("setSecureContext" in server) server.setSecureContext(tls);
    },
    drain: () => {
      draining = true;
      server.close();
      server.closeIdleConnections();
    },
    close: () => {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

function createServer(
  options: CallerServerOptions,
  listener: http.RequestListener,
): http.Server | https.Server {
  const shared = {
    maxHeaderSize: options.limits.maxHeaderBytes,
    connectionsCheckingInterval: 5_000,
  };
  if (options.tls === undefined) return http.createServer(shared, listener);
  return https.createServer({ ...shared, ...options.tls }, listener);
}

/** What callers are told when Node's parser refuses, by its error code. */
const MALFORMED: Readonly<Record<string, readonly [string, string]>> = {
  HPE_HEADER_OVERFLOW: [
    "431 Request Header Fields Too Large",
    "The headers are too long.",
  ],
  ERR_HTTP_REQUEST_TIMEOUT: [
    "408 Request Timeout",
    "The request took too long to arrive.",
  ],
};

/** Answers what Node's parser refused, for example over-long headers or two lengths. */
function refuseMalformed(
  error: Error & { code?: string },
  socket: net.Socket,
): void {
  if (!socket.writable) return void socket.destroy();
  const [status, message] = MALFORMED[error.code ?? ""] ??
    ["400 Bad Request", "The request is not valid HTTP."];
  const refusal = core.buildRefusal({
    code: "bad_request",
    ran: "no",
    step: "caller.parse",
    message,
  });
  const body = answers.formatRefusal(refusal);
  socket.end(
    `HTTP/1.1 ${status}\r\nconnection: close\r\n` +
      `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  );
}

interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

async function handle(
  { request, response }: Exchange,
  options: CallerServerOptions & { readonly budget: bodies.BodyBudget },
): Promise<void> {
  const { maxBodyBytes } = options.limits;
  const answer = new answers.CallerAnswer(response);
  const requestId = utils.createId();
  answer.setRequestId(requestId);
  const dropRest = () => bodies.dropBody(request, DROP_FACTOR * maxBodyBytes);
  const route = findRoute(request);
  if (route === undefined) {
    answer.refuse(buildParseRefusal("not_found"));
    return dropRest();
  }
  const head = {
    requestId,
    route,
    method: request.method ?? "GET",
    url: request.url ?? "/",
    headers: request.headers,
    answer,
  };
  if (!options.acceptHead(head)) return dropRest();
  const body = await bodies.readBody({ request, response }, {
    limit: maxBodyBytes,
    budget: options.budget,
  });
  if (typeof body === "string") {
    const refusal = buildParseRefusal(body);
    answer.refuse(isKeyedCall(head) ? core.markRanUnknown(refusal) : refusal);
    return dropRest();
  }
  options.onRequest({ ...head, body });
}

/**
 * Whether a request is a call that may have been sent before under the same
 * idempotency key.
 *
 * @example
 * if (isKeyedCall(head)) refusal = core.clearUnproven(refusal);
 */
export function isKeyedCall(
  head: Pick<CallerHead, "route" | "headers">,
): boolean {
  return head.route.kind === "call" &&
    head.headers["idempotency-key"] !== undefined;
}

function buildParseRefusal(code: core.RefusalCode): core.Refusal {
  const waitMs = code === "overloaded" ? OVERLOADED_WAIT_MS : undefined;
  return core.buildRefusal({ code, ran: "no", step: "caller.parse", waitMs });
}

const GENERATE_PATHS: Readonly<Record<string, "chat" | "completion">> = {
  "/v1/chat/completions": "chat",
  "/v1/completions": "completion",
};

/**
 * Finds the route of a request; undefined if there is none.
 *
 * @example
 * findRoute({ method: "GET", url: "/v1/models" }); // { kind: "models" }
 */
export function findRoute(
  request: { readonly method?: string; readonly url?: string },
): Route | undefined {
  const url = request.url ?? "/";
  const path = url.split("?", 1)[0];
  const api = GENERATE_PATHS[path];
  if (api !== undefined && request.method === "POST") {
    return { kind: "generate", api };
  }
  if (path === "/v1/models" && request.method === "GET") {
    return { kind: "models" };
  }
  if (path === "/operations" && request.method === "POST") {
    return { kind: "ticket" };
  }
  const match = /^\/services\/([A-Za-z0-9._-]+)(\/.*|\?.*|)$/.exec(url);
  if (match === null) return undefined;
  const rest = match[2];
  return {
    kind: "call",
    service: match[1],
    path: rest.startsWith("/") ? rest : `/${rest}`,
  };
}

/**
 * Returns the key that a request presents, by any of the usual headers.
 *
 * @example
 * getPresentedKey({ authorization: "Bearer bg_1_x" }); // "bg_1_x"
 */
export function getPresentedKey(
  headers: http.IncomingHttpHeaders,
): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(headers.authorization ?? "");
  const other = headers["x-api-key"];
  return match?.[1] ?? (typeof other === "string" ? other : undefined);
}

/**
 * Keeps the headers that may go on to a backend server.
 *
 * @example
 * const headers = keepHeaders(request.headers);
 */
export function keepHeaders(
  headers: http.IncomingHttpHeaders,
): Record<string, string | string[]> {
  return utils.filterHeaders(headers);
}
