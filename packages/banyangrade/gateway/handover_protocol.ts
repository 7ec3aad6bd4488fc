/**
 * Protocol by which a host that has lost its links to the servers hands requests
 * to another host: the caller's HTTP request with headers of its own, at the port
 * for other hosts. No caller reaches that port, and each process has a secret.
 */
import type * as http from "node:http";
import * as core from "@banyangrade/core";
import * as utils from "@banyangrade/utils";
import type * as ingress from "./ingress.ts";

/** Header names in lower case, as Node.js provides them. */
const HEADERS = {
  /** Secret of the process that is called. */
  secret: "x-handover-secret",
  /** Set on a question about the links of the called host, or on news of lost servers, instead of a request. */
  question: "x-handover-question",
  /** Time since the request arrived at the calling host, in ms. */
  elapsedMs: "x-handover-elapsed-ms",
  /** Number of attempts of the request that were sent to servers. */
  sent: "x-handover-sent",
  /** Software version that began the stream, encoded like a part of a URL. */
  software: "x-handover-software",
  /** Whether a refused request ran; in responses. */
  ran: "x-handover-ran",
} as const;

/** Value of the header of a question that says that the message is news of lost servers. */
const SUSPECTS = "suspects";

/** Bounds of the numbers in these headers. */
const MAX_ELAPSED_MS = 3_600_000;
const MAX_SENT = 1_000;

/** Answer to the question about the links of a host. */
export interface LinkReport {
  /** Services of which it has just reached a server and for which it takes requests. */
  readonly targets: readonly string[];
  /** Requests that wait there. */
  readonly queued: number;
}

/** A call of another host. */
export type HostCall =
  | { readonly kind: "question" }
  /** Requests that were in flight at lost servers. */
  | { readonly kind: "suspects" }
  | { readonly kind: "request"; readonly handover: ingress.Handover }
  /** The secret is wrong or missing. */
  | { readonly kind: "stranger" };

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/**
 * Builds the headers of a question.
 *
 * @example
 * const headers = buildQuestionHeaders({ secret });
 */
export function buildQuestionHeaders(
  { secret }: { readonly secret: string },
): Record<string, string> {
  return { [HEADERS.secret]: secret, [HEADERS.question]: "links" };
}

/**
 * Builds the headers of news of lost servers.
 *
 * @example
 * const headers = buildSuspectsHeaders({ secret });
 */
export function buildSuspectsHeaders(
  { secret }: { readonly secret: string },
): Record<string, string> {
  return { [HEADERS.secret]: secret, [HEADERS.question]: SUSPECTS };
}

/**
 * Builds the headers that a request gets when it is handed over.
 *
 * @example
 * const headers = buildRequestHeaders({ elapsedMs: 40, sent: 0 }, { secret });
 */
export function buildRequestHeaders(
  { elapsedMs, sent, software }: ingress.Handover,
  { secret }: { readonly secret: string },
): Record<string, string> {
  return {
    [HEADERS.secret]: secret,
    [HEADERS.elapsedMs]: String(Math.round(elapsedMs)),
    [HEADERS.sent]: String(sent),
    ...(software !== undefined &&
      { [HEADERS.software]: encodeURIComponent(software) }),
  };
}

/**
 * Builds the headers of a refusal that goes to another host.
 *
 * @example
 * buildRefusalHeaders({ ran: "no" });
 */
export function buildRefusalHeaders(
  { ran }: Pick<core.Refusal, "ran">,
): Record<string, string> {
  return { [HEADERS.ran]: ran };
}

/**
 * Reads whether a request that another host refused may have run; undefined if
 * the response is no refusal of a host.
 *
 * @example
 * readRan(response.headers); // "no"
 */
export function readRan(headers: Headers): core.Ran | undefined {
  switch (headers[HEADERS.ran]) {
    case undefined:
      return undefined;
    case "no":
      return "no";
    default:
      return "unknown";
  }
}

/**
 * Reads what a call of another host is.
 *
 * @example
 * const call = readCall(request.headers, { secretDigest });
 */
export function readCall(
  headers: http.IncomingHttpHeaders,
  { secretDigest }: { readonly secretDigest: string },
): HostCall {
  const digest = utils.computeDigest(String(headers[HEADERS.secret] ?? ""));
  if (!utils.isSameDigest(digest, secretDigest)) return { kind: "stranger" };
  if (headers[HEADERS.question] === SUSPECTS) return { kind: "suspects" };
  if (headers[HEADERS.question] !== undefined) return { kind: "question" };
  const software = headers[HEADERS.software];
  return {
    kind: "request",
    handover: {
      elapsedMs: readCount(headers[HEADERS.elapsedMs], MAX_ELAPSED_MS),
      sent: readCount(headers[HEADERS.sent], MAX_SENT),
      ...(typeof software === "string" && {
        software: decodeURIComponent(software),
      }),
    },
  };
}

function readCount(value: string | string[] | undefined, max: number): number {
  const count = Number(value);
  return Number.isFinite(count) ? Math.min(max, Math.max(0, count)) : 0;
}

/**
 * Removes the headers of this protocol.
 *
 * @example
 * const forwarded = removeHeaders(response.headers);
 */
export function removeHeaders<Value>(
  headers: Readonly<Record<string, Value>>,
): Record<string, Value> {
  const own: ReadonlySet<string> = new Set(Object.values(HEADERS));
  return Object.fromEntries(
    Object.entries(headers).filter(([name]) => !own.has(name)),
  );
}

/**
 * Parses the answer to a question; undefined if it is none.
 *
 * @example
 * parseLinkReport(text)?.targets;
 */
export function parseLinkReport(text: string): LinkReport | undefined {
  const report = utils.parseJson(text) as Partial<LinkReport> | undefined;
  const isValid = typeof report?.queued === "number" &&
    Array.isArray(report.targets) &&
    report.targets.every((target) => typeof target === "string");
  return isValid ? report as LinkReport : undefined;
}
