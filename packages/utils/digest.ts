/** SHA-256 digests and identifiers. */
import * as crypto from "node:crypto";
import * as nanoid from "nanoid";

/**
 * Returns the SHA-256 digest of `text` in hexadecimal.
 *
 * @example
 * computeDigest("a").length; // 64
 */
export function computeDigest(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two hexadecimal digests in constant time, so that the time taken
 * tells a caller nothing about how many characters of a key it guessed.
 *
 * @example
 * isSameDigest(computeDigest("a"), computeDigest("a")); // true
 */
export function isSameDigest(left: string, right: string): boolean {
  const a = Buffer.from(left, "hex");
  const b = Buffer.from(right, "hex");
  return a.length === b.length && a.length > 0 && crypto.timingSafeEqual(a, b);
}

/**
 * Makes a random identifier with 126 bits of entropy, safe in URLs.
 *
 * @example
 * const id = createId();
 */
export function createId(): string {
  return nanoid.nanoid();
}
