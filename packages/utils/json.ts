/** JSON parsing, and canonical JSON, which formats equal values as equal text for digests. */
import * as stable from "safe-stable-stringify";

const stringify = stable.configure({ deterministic: true, strict: true });

/**
 * Formats `value` as JSON with sorted keys.
 *
 * @example
 * formatCanonical({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export function formatCanonical(value: unknown): string {
  return stringify(value) ?? "null";
}

/**
 * Parses JSON; returns undefined if it is malformed.
 *
 * @example
 * parseJson("{}"); // {}
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
