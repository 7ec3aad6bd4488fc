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
 * Compares two hexadecimal digests in constant time. This guards against timing
 * attacks that guess a key character by character.
 *
 * @example
 * isSameDigest(computeDigest("a"), computeDigest("a")); // true
 */
export function isSameDigest(left: string, right: string): boolean {
  const a = Buffer.from(left, "hex");
  const b = Buffer.from(right, "hex");
  return a.length === b.length && a.length > 0 && crypto.timingSafeEqual(a, b);
}

/** Letters and digits only, because a command line parses an argument with a leading dash as an option. */
const ID_ALPHABET =
  "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
const ID_LENGTH = 22;
const drawId = nanoid.customAlphabet(ID_ALPHABET, ID_LENGTH);

/**
 * Generates a random identifier with 130 bits of entropy, safe in URLs and on a
 * command line.
 *
 * @example
 * const id = createId();
 */
export function createId(): string {
  return drawId();
}
