/** Reads TOML files and validates them against a schema; errors name the file, line, option and remedy. */
import * as fs from "node:fs";
import * as levenshtein from "fastest-levenshtein";
import * as toml from "smol-toml";
import * as z from "zod";
import * as errors from "./errors.ts";
import * as result from "./result.ts";

/** A validation error in a file. */
export interface FileProblem {
  readonly file: string;
  readonly line: number;
  readonly option: string;
  readonly message: string;
  /** Instruction for correcting the error. */
  readonly remedy: string;
}

/** Maximum edit distance between an unknown option and a suggested name. */
const MAX_SUGGESTION_DISTANCE = 3;

/**
 * Reads and validates a file.
 *
 * @example
 * const settings = readTomlFile("host.toml", SETTINGS_SCHEMA);
 */
export function readTomlFile<Value>(
  file: string,
  schema: z.ZodType<Value>,
): result.Result<Value, readonly FileProblem[]> {
  try {
    return parseToml(fs.readFileSync(file, "utf8"), { file, schema });
  } catch (thrown) {
    return result.Err([{
      file,
      line: 0,
      option: "",
      message: errors.getErrorMessage(thrown),
      remedy: "Give the path of a file that can be read.",
    }]);
  }
}

/**
 * Parses and validates the text of a file.
 *
 * @example
 * const parsed = parseToml(text, { file: "host.toml", schema });
 */
export function parseToml<Value>(
  text: string,
  { file, schema }: {
    readonly file: string;
    readonly schema: z.ZodType<Value>;
  },
): result.Result<Value, readonly FileProblem[]> {
  const parsed = parseText(text, file);
  if (parsed.err) return parsed;
  const checked = schema.safeParse(parsed.val);
  if (checked.success) return result.Ok(checked.data);
  return result.Err(
    checked.error.issues.flatMap((issue) =>
      describeIssue(issue, { text, file, schema })
    ),
  );
}

function parseText(
  text: string,
  file: string,
): result.Result<unknown, readonly FileProblem[]> {
  try {
    return result.Ok(toml.parse(text) as unknown);
  } catch (thrown) {
    const line = thrown instanceof toml.TomlError ? thrown.line : 0;
    const message = errors.getErrorMessage(thrown).split("\n")[0];
    const remedy = "Correct the TOML syntax; strings must be in double quotes.";
    return result.Err([{ file, line, option: "", message, remedy }]);
  }
}

interface IssueContext {
  readonly text: string;
  readonly file: string;
  readonly schema: z.ZodType;
}

function describeIssue(
  issue: z.core.$ZodIssue,
  context: IssueContext,
): FileProblem[] {
  const { text, file } = context;
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => {
      const path = [...issue.path, key];
      const suggestion = suggestName(key, listOptions(context.schema));
      return {
        file,
        line: findLine(text, path),
        option: path.join("."),
        message: "Unknown option.",
        remedy: suggestion === undefined
          ? "Remove the option; the reference page lists all options."
          : `Did you mean "${suggestion}"?`,
      };
    });
  }
  return [{
    file,
    line: findLine(text, issue.path),
    option: issue.path.join("."),
    message: issue.message,
    remedy: describeRemedy(issue),
  }];
}

function describeRemedy(issue: z.core.$ZodIssue): string {
  switch (issue.code) {
    case "invalid_type":
      return `Specify a value of type ${issue.expected}.`;
    case "invalid_value":
      return `Use one of: ${issue.values.join(", ")}.`;
    case "too_small":
      return `Specify at least ${issue.minimum}.`;
    case "too_big":
      return `Specify at most ${issue.maximum}.`;
    default:
      return "The reference page describes the allowed values.";
  }
}

/** Returns the known name with the smallest edit distance, or undefined if the distance is too large. */
function suggestName(
  name: string,
  known: readonly string[],
): string | undefined {
  if (known.length === 0) return undefined;
  const suggestion = levenshtein.closest(name, [...known]);
  const distance = levenshtein.distance(name, suggestion);
  return distance <= MAX_SUGGESTION_DISTANCE ? suggestion : undefined;
}

/** Lists the names of all options in a schema. */
function listOptions(schema: z.ZodType): string[] {
  const text = JSON.stringify(z.toJSONSchema(schema, { io: "input" }));
  const names = new Set<string>();
  JSON.parse(text, (_key, value) => {
    if (value?.properties) {
      Object.keys(value.properties).forEach((name) => names.add(name));
    }
    return value;
  });
  return [...names];
}

/**
 * Returns the line of an option: the last name of its path after the headers of
 * the enclosing tables. Returns 0 if the file does not contain the option.
 */
function findLine(text: string, path: readonly PropertyKey[]): number {
  const lines = text.split("\n");
  let from = 0;
  let found = -1;
  path.forEach((step, index) => {
    if (typeof step === "number") {
      const table = String(path[index - 1]);
      from = findNthTable(lines, { table, number: step });
      found = from;
      return;
    }
    const name = formatNamePattern(String(step));
    const pattern = new RegExp(
      `^\\s*(\\[+[\\w.-]*\\b${name}\\]+|${name}\\s*=)`,
    );
    const at = lines.findIndex((line, at) => at >= from && pattern.test(line));
    if (at >= 0) {
      from = at;
      found = at;
    }
  });
  return found + 1;
}

function findNthTable(
  lines: readonly string[],
  { table, number }: { readonly table: string; readonly number: number },
): number {
  const headers = lines.flatMap((line, at) =>
    line.trim() === `[[${table}]]` ? [at] : []
  );
  return headers[number] ?? 0;
}

function formatNamePattern(name: string): string {
  return name.replaceAll(/[^\w-]/g, "\\$&");
}

/**
 * Formats a problem for a terminal.
 *
 * @example
 * formatProblem(problem); // "host.toml:3: host.name: Invalid input. Specify ..."
 */
export function formatProblem(problem: FileProblem): string {
  const place = problem.line > 0
    ? `${problem.file}:${problem.line}`
    : problem.file;
  const option = problem.option === "" ? "" : ` ${problem.option}:`;
  return `${place}:${option} ${problem.message} ${problem.remedy}`;
}
