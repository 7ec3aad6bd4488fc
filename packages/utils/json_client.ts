/** HTTP client for JSON APIs that returns results instead of throwing. */
import * as undici from "undici";
import * as z from "zod";
import * as backend from "./backend.ts";
import * as boundedBody from "./bounded_body.ts";
import * as decoding from "./decoding.ts";
import * as errors from "./errors.ts";
import * as resettingClient from "./resetting_client.ts";
import * as result from "./result.ts";

const agent = new undici.Agent({
  factory: resettingClient.createResettingPool,
});

/** Largest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Longest part of an answer that an error quotes, in characters. */
const MAX_QUOTED_LENGTH = 500;

/** A call of a JSON API. */
export interface JsonCall<Answer = unknown> {
  readonly method: "GET" | "PUT" | "POST" | "DELETE";
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  readonly step: string;
  readonly peer: string;
  /** Form of the answer's body. @default any */
  readonly schema?: z.ZodType<Answer>;
  /** @default 2000 */
  readonly timeoutMs?: number;
}

/**
 * Sends a call and parses the body of the response.
 *
 * @example
 * const response = await sendJson({ method: "GET", url, step: "fleet.list", peer: "fleet", schema });
 */
export async function sendJson<Answer = unknown>(
  call: JsonCall<Answer>,
): Promise<result.Result<Answer, errors.StepError>> {
  const { step, peer } = call;
  try {
    const url = new URL(call.url);
    const answer = await agent.request({
      origin: url.origin,
      path: `${url.pathname}${url.search}`,
      method: call.method,
      headers: { "content-type": "application/json", ...call.headers },
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: AbortSignal.timeout(call.timeoutMs ?? 2_000),
    });
    const text = await boundedBody.readBoundedText(
      answer.body,
      MAX_ANSWER_BYTES,
    );
    if (text === undefined) {
      const message = `The answer has more than ${MAX_ANSWER_BYTES} bytes.`;
      return result.Err(
        errors.createStepError("unknown_outcome", { step, peer, message }),
      );
    }
    if (answer.statusCode < 300) {
      return result.Ok(
        decoding.decodeBody(
          call.schema ?? z.any() as z.ZodType<Answer>,
          JSON.parse(text || "null"),
        ),
      );
    }
    return result.Err(errors.createStepError(getCode(answer.statusCode), {
      step,
      peer,
      message: `Status ${answer.statusCode}: ${
        text.slice(0, MAX_QUOTED_LENGTH)
      }`,
    }));
  } catch (thrown) {
    const failure = backend.classifyTransportError(thrown);
    const code = failure === "not_sent" ? "unreachable" : "unknown_outcome";
    const message = errors.getErrorMessage(thrown);
    return result.Err(errors.createStepError(code, { step, peer, message }));
  }
}

function getCode(status: number): errors.FailureCode {
  switch (status) {
    case 404:
      return "not_found";
    case 409:
      return "conflict";
    case 429:
      return "rate_limited";
    default:
      return "rejected";
  }
}
