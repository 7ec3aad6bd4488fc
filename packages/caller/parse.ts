/** Parses and validates generation requests. */
import * as z from "zod";
import * as utils from "@banyangrade/utils";

/** Maximum number of generated tokens if the request sets none. */
const DEFAULT_MAX_TOKENS = 1_024;
/** Average number of characters per token, for estimates. */
const CHARACTERS_PER_TOKEN = 4;
/** Length of the prompt prefix that identifies a cache entry, in characters. */
const PREFIX_CHARACTERS = 512;

const SCHEMA = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string() })).min(1).optional(),
  prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
});

/** Validated body of a generation request. */
export interface GenerateBody {
  readonly model: string;
  readonly stream: boolean;
  readonly maxTokens: number;
  readonly promptTokens: number;
  /** Digest of the prompt prefix. */
  readonly prefix: string;
  /** All fields of the body. */
  readonly value: Readonly<Record<string, unknown>>;
}

/**
 * Parses the body of a generation request. The error is a message for the
 * caller.
 *
 * @example
 * const body = parseGenerate(text, "chat").unwrap();
 */
export function parseGenerate(
  body: Buffer,
  kind: "chat" | "completion",
): utils.Result<GenerateBody, string> {
  const parsed = parseJson(body);
  if (parsed.err) return parsed;
  const checked = SCHEMA.safeParse(parsed.val);
  if (!checked.success) return utils.Err(describeIssues(checked.error));
  const value = checked.data;
  const prompt = kind === "chat" ? value.messages : value.prompt;
  if (prompt === undefined) {
    const field = kind === "chat" ? "messages" : "prompt";
    return utils.Err(`The field "${field}" is missing.`);
  }
  const text = JSON.stringify(prompt);
  return utils.Ok({
    model: value.model,
    stream: value.stream ?? false,
    maxTokens: value.max_completion_tokens ?? value.max_tokens ??
      DEFAULT_MAX_TOKENS,
    promptTokens: Math.ceil(text.length / CHARACTERS_PER_TOKEN),
    prefix: utils.computeDigest(text.slice(0, PREFIX_CHARACTERS)),
    value,
  });
}

function parseJson(body: Buffer): utils.Result<unknown, string> {
  try {
    const text = new TextDecoder("utf-8", { fatal: true }).decode(body);
    return utils.Ok(JSON.parse(text) as unknown);
  } catch (thrown) {
    const reason = thrown instanceof SyntaxError ? "JSON" : "UTF-8";
    return utils.Err(`The body is not valid ${reason}.`);
  }
}

function describeIssues(error: z.ZodError): string {
  return error.issues.map((issue) => {
    const field = issue.path.join(".");
    return field === ""
      ? "The body must be a JSON object."
      : `The field "${field}" is invalid: ${issue.message}.`;
  }).join(" ");
}
