/** Hashes by which all hosts rank alike. */
import * as lru from "lru-cache";
import * as utils from "@banyangrade/utils";

/** Texts whose hashes are remembered; engines and subjects come and go. */
const MAX_HASHES = 20_000;

const hashes = new lru.LRUCache<string, number>({ max: MAX_HASHES });

/**
 * Returns a number that is the same on every host, and differs between texts.
 *
 * @example
 * engines.toSorted((a, b) => hashText(a.name) - hashText(b.name));
 */
export function hashText(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  const hash = utils.hashSeed(text);
  hashes.set(text, hash);
  return hash;
}
