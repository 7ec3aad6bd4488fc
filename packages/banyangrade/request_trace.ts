/** Traces one request through the log lines of the hosts. */
import * as utils from "@banyangrade/utils";

/** The fields of a log line that the trace uses. */
interface LogLine {
  readonly time: number;
  readonly host?: string;
  readonly msg: string;
  readonly requestId?: string;
  readonly attempt?: number;
  readonly server?: string;
  readonly route?: string;
  readonly version?: number;
  readonly waitedMs?: number;
  readonly resumeAfter?: number;
  readonly software?: string;
  readonly resumes?: string;
  readonly callerHas?: number;
  readonly failure?: string;
  readonly reason?: string;
  readonly events?: number;
  readonly parts?: string;
  readonly fingerprint?: string;
  readonly fingerprints?: string;
  readonly servers?: string;
  readonly change?: string;
  readonly attempts?: number;
  readonly totalMs?: number;
  readonly firstMs?: number;
  readonly code?: string;
  readonly ran?: string;
  readonly step?: string;
  readonly peer?: string;
  readonly cause?: string;
  readonly brittle?: boolean;
  readonly status?: number;
  readonly outcome?: string;
  readonly proofAgeMs?: number;
  readonly stage?: string;
  readonly runningMs?: number;
  readonly loopDelayMs?: number;
  readonly afterMs?: number;
  readonly error?: utils.StepError;
}

/** Time before a request's end in which its host's state changes are shown, in ms. */
const BACKGROUND_MS = 10_000;
/** Prefixes of the log lines that record changes of a host's state. */
const BACKGROUND_PREFIX =
  /^(belief|roles|handover): |^server: (Links|Parts|Sender|Brittleness|Suspects) /;
/** Largest number of these lines that are shown. */
const MAX_BACKGROUND = 12;

/**
 * Returns what happened to a request, one sentence per line; empty if no log line
 * names the request.
 *
 * @example
 * formatRequestTrace(fs.readFileSync("hosts.log", "utf8"), "attempt-7");
 */
export function formatRequestTrace(text: string, requestId: string): string[] {
  const lines = text.split("\n").flatMap(parseLine);
  const own = lines.filter((line) => line.requestId === requestId)
    .toSorted((a, b) => a.time - b.time);
  if (own.length === 0) return [];
  const end = own[own.length - 1];
  const background = lines.filter((line) =>
    line.host === end.host && BACKGROUND_PREFIX.test(line.msg) &&
    line.time <= end.time && end.time - line.time <= BACKGROUND_MS
  ).slice(-MAX_BACKGROUND);
  return [
    ...own.map((line) => `${describeTime(line, own[0])} ${describe(line)}`),
    ...(background.length === 0 ? [] : [
      `State changes of ${end.host} in the ${BACKGROUND_MS / 1_000} s before:`,
    ]),
    ...background.map((line) =>
      `${describeTime(line, own[0])} ${line.msg}${describeSuspects(line)}` +
      describeError(line)
    ),
  ];
}

/** Parses a log line; a log collector may have added text such as a timestamp in front of it. */
function parseLine(text: string): LogLine[] {
  const parsed = utils.parseJson(text.slice(Math.max(0, text.indexOf("{"))));
  const line = parsed as LogLine | undefined;
  return typeof line?.msg === "string" && typeof line.time === "number"
    ? [line]
    : [];
}

function describeTime(line: LogLine, first: LogLine): string {
  const ms = line.time - first.time;
  return `${ms < 0 ? "" : "+"}${ms} ms`;
}

function describe(line: LogLine): string {
  switch (line.msg.replace(/^\w+: /, "")) {
    case "Attempt started.": {
      const resumed = line.resumeAfter === undefined
        ? ""
        : `, to resume after event ${line.resumeAfter}`;
      const software = line.software === undefined
        ? ""
        : `, software ${line.software}`;
      return `${line.host} sent it to ${line.server} (attempt ${line.attempt}` +
        `${software}, route ${line.route}, configuration ${line.version}) ` +
        `after ${line.waitedMs} ms${resumed}${describeTakenUp(line)}.`;
    }
    case "Attempt failed.":
      return `${line.server}${line.brittle ? ", which is brittle," : ""} ` +
        `failed it (${line.failure}): ${line.reason} ` +
        `The caller had received ${line.events} events.${describeParts(line)}` +
        describeFingerprint(line);
    case "Request handed over.":
      return `${line.host} ${describeCause(line)} and handed it to ` +
        `${line.peer} (route ${line.route}) after ${line.waitedMs} ms.`;
    case "Handover failed.":
      return `${line.peer} ${
        line.outcome === "lost" ? "was lost, so it may have run" : "declined it"
      }: ${line.reason}`;
    case "Request answered.":
      return `Answered completely after ${line.totalMs} ms, the first part after ` +
        `${line.firstMs} ms.`;
    case "Failure passed on.":
      return `The error response of ${line.server} was forwarded (status ` +
        `${line.status}).`;
    case "Request refused.":
      return `${line.host} refused it at ${line.step} (${line.code}); ran: ` +
        `${line.ran}; peer: ${line.peer}${describeProof(line)}.` +
        describeFingerprint(line);
    case "Caller left.":
      return `The caller disconnected after ${line.totalMs} ms${
        describeCallerLeft(line)
      }.`;
    case "Attempt stopped.":
      return `${line.host} stopped the attempt at ${line.server} ${line.afterMs} ms after ` +
        `that.`;
    default:
      return line.msg;
  }
}

/** Describes why a request was handed over; lines of earlier versions name no cause. */
function describeCause({ cause }: LogLine): string {
  return cause === "brittle"
    ? "does not send to the brittle servers"
    : "has no links to the servers";
}

function describeParts({ parts = "" }: LogLine): string {
  return parts === "" ? "" : ` Its prompt has the parts ${parts}.`;
}

function describeFingerprint({ fingerprint }: LogLine): string {
  return fingerprint === undefined ? "" : ` Fingerprint ${fingerprint}.`;
}

function describeSuspects(
  { change, fingerprints, servers }: LogLine,
): string {
  return change === undefined || fingerprints === undefined
    ? ""
    : ` ${change}: ${fingerprints} at ${servers}.`;
}

/** Describes which stream the caller takes up. */
function describeTakenUp({ callerHas, resumes }: LogLine): string {
  return callerHas === undefined
    ? ""
    : `; the caller takes up ${resumes ?? "an unnamed attempt"} after event ` +
      `${callerHas}`;
}

function describeCallerLeft(
  { stage, runningMs, loopDelayMs }: LogLine,
): string {
  if (stage === undefined) return "";
  const running = runningMs === undefined
    ? ""
    : `, ${runningMs} ms after it was sent`;
  return ` (${stage}${running}; detected up to ${loopDelayMs} ms late)`;
}

function describeProof({ proofAgeMs }: LogLine): string {
  return proofAgeMs === undefined
    ? ""
    : `; last confirmed by the store ${proofAgeMs} ms before`;
}

function describeError({ error }: LogLine): string {
  return error === undefined ? "" : ` ${utils.formatStepError(error)}`;
}
