/** Removes the caller's API key from requests that are forwarded to a backend server. */

/** Text that replaces the key. */
const REDACTED = "removed";

/** Query parameters in which common clients send API keys. */
const KEY_PARAMETERS = ["api_key", "api-key", "apikey", "key", "access_token"];

/**
 * Removes the key from a path and query: each query parameter that contains the
 * key is deleted, and each path segment that contains it, also percent-encoded, is
 * replaced.
 *
 * @example
 * removeKeyFromPath("/rooms?api_key=bg_1_x", "bg_1_x"); // "/rooms"
 */
export function removeKeyFromPath(path: string, secret: string): string {
  const url = new URL(path, "http://host");
  KEY_PARAMETERS.filter((name) => url.searchParams.get(name) === secret)
    .forEach((name) => url.searchParams.delete(name));
  const redactedPath = decodePercentEncoding(url.pathname).includes(secret)
    ? url.pathname.split("/").map((segment) =>
      decodePercentEncoding(segment).includes(secret) ? REDACTED : segment
    ).join("/")
    : url.pathname;
  [...url.searchParams].filter(([name, value]) =>
    value.includes(secret) || name.includes(secret)
  ).forEach(([name]) => url.searchParams.delete(name));
  return redactedPath + url.search;
}

function decodePercentEncoding(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

/**
 * Removes the headers that contain the key.
 *
 * @example
 * removeKeyFromHeaders({ "x-extra": "bg_1_x" }, "bg_1_x"); // {}
 */
export function removeKeyFromHeaders(
  headers: Readonly<Record<string, string | string[]>>,
  secret: string,
): Record<string, string | string[]> {
  return Object.fromEntries(
    Object.entries(headers).filter(([, value]) =>
      ![value].flat().some((item) => item.includes(secret))
    ),
  );
}

/**
 * Removes the key, also percent-encoded, from a body of any content type.
 *
 * @example
 * removeKeyFromBody(Buffer.from("a bg_1_x b"), "bg_1_x").toString(); // "a removed b"
 */
export function removeKeyFromBody(body: Buffer, secret: string): Buffer {
  const encodings = [...new Set([secret, encodeURIComponent(secret)])];
  return encodings.reduce(
    (rest, encoding) =>
      rest.includes(encoding)
        ? Buffer.from(
          rest.toString("latin1").replaceAll(encoding, REDACTED),
          "latin1",
        )
        : rest,
    body,
  );
}

/**
 * Removes the key from every string and property name of a parsed JSON value,
 * regardless of its escaping in the JSON text.
 *
 * @example
 * removeKeyFromJson({ user: "bg_1_x" }, "bg_1_x"); // { user: "removed" }
 */
export function removeKeyFromJson(value: unknown, secret: string): unknown {
  if (typeof value === "string") return value.replaceAll(secret, REDACTED);
  if (Array.isArray(value)) {
    return value.map((item) => removeKeyFromJson(item, secret));
  }
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, item]) => [
      name.replaceAll(secret, REDACTED),
      removeKeyFromJson(item, secret),
    ]),
  );
}
