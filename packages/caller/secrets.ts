/** Removal of a caller's key from whatever goes on to a backend server. */

/** Stands where the key stood. */
const REMOVED = "removed";

/** Query parameters that carry keys in common clients. */
const KEY_PARAMETERS = ["api_key", "api-key", "apikey", "key", "access_token"];

/**
 * Removes the key from a path and query: known parameters whole, and the key's
 * text wherever else it stands, also percent-encoded.
 *
 * @example
 * removeKeyFromPath("/rooms?api_key=bg_1_x", "bg_1_x"); // "/rooms"
 */
export function removeKeyFromPath(path: string, secret: string): string {
  const url = new URL(path, "http://host");
  KEY_PARAMETERS.filter((name) => url.searchParams.get(name) === secret)
    .forEach((name) => url.searchParams.delete(name));
  const decoded = decodeSafely(url.pathname).includes(secret)
    ? url.pathname.split("/").map((segment) =>
      decodeSafely(segment).includes(secret) ? REMOVED : segment
    ).join("/")
    : url.pathname;
  [...url.searchParams].filter(([name, value]) =>
    value.includes(secret) || name.includes(secret)
  ).forEach(([name]) => url.searchParams.delete(name));
  return decoded + url.search;
}

function decodeSafely(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

/**
 * Removes headers that carry the key.
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
      ![value].flat().some((one) => one.includes(secret))
    ),
  );
}

/**
 * Removes the key from a body of any kind.
 *
 * @example
 * removeKeyFromBody(Buffer.from("a bg_1_x b"), "bg_1_x").toString(); // "a removed b"
 */
export function removeKeyFromBody(body: Buffer, secret: string): Buffer {
  const forms = [...new Set([secret, encodeURIComponent(secret)])];
  return forms.reduce(
    (rest, form) =>
      rest.includes(form)
        ? Buffer.from(
          rest.toString("latin1").replaceAll(form, REMOVED),
          "latin1",
        )
        : rest,
    body,
  );
}

/**
 * Removes the key from every string of a parsed JSON value, however it was
 * escaped in the text.
 *
 * @example
 * removeKeyFromJson({ user: "bg_1_x" }, "bg_1_x"); // { user: "removed" }
 */
export function removeKeyFromJson(value: unknown, secret: string): unknown {
  if (typeof value === "string") return value.replaceAll(secret, REMOVED);
  if (Array.isArray(value)) {
    return value.map((one) => removeKeyFromJson(one, secret));
  }
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, one]) => [
      name.replaceAll(secret, REMOVED),
      removeKeyFromJson(one, secret),
    ]),
  );
}
